//! micaladder decides for a message relay which held message goes to which endpoint, and when.
//!
//! The relay owns time, ids and the network. It makes one [`Balancer`] from its [`Settings`], and calls
//! [`Balancer::handle`] with all [`Event`]s of a moment; the module takes them all in, decides once, and appends
//! the [`Action`]s to carry out, in order. Times are [`Nanos`] on any clock that only moves forward. When the
//! module asks for a [`Action::WakeAt`], call `handle` at that time with [`Event::Due`]; a wake-up that comes too
//! often, or a little early, does no harm. Every [`Action::Send`] must be followed by exactly one
//! [`Event::Ended`]. A message ends by an outcome marked `over` (or `Ok`), an [`Action::Refuse`] or an
//! [`Action::Fail`], and then the module sends nothing more for it.
//!
//! A restart loses everything: make a new `Balancer` and hand in the list of hosts first. Messages that the old
//! one held are the clients' to hand in again, or, where the relay kept them, come as [`Event::Resumed`].
//!
//! ```
//! use micaladder::*;
//!
//! let class = Class {
//!     aim: Nanos::from_secs(1.0),
//!     deadline: Nanos::from_secs(5.0),
//!     points: 1.0,
//!     late_share: 0.5,
//!     effect: Effect::Repeatable,
//!     fifo_by_key: false,
//! };
//! let settings = Settings { slots: 4, open_cap: 100, most_tries: 3, classes: vec![class], ..Settings::default() };
//! let mut relay = Balancer::new(settings, 42);
//! let (now, mut actions) = (Nanos::from_secs(100.0), Vec::new());
//!
//! let entry =
//!     Entry { host: HostId(7), zone: 0, kind: 0, dest: DestId(1), state: Listed::Running, rate: 0.0 };
//! let deadline = now + Nanos::from_secs(5.0);
//! let message = Message { id: MsgId(1), class: 0, tenant: 0, key: None, dest: DestId(1), deadline };
//! let list = Event::List { whole: true, entries: vec![entry] };
//! relay.handle(now, &[list, Event::Message(message)], &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: MsgId(1), host: HostId(7), .. }));
//!
//! actions.clear();
//! let took = Nanos::from_secs(0.2);
//! let ended =
//!     Ended { id: MsgId(1), attempt: 0, outcome: Outcome::Ok, over: true, took, report: None };
//! relay.handle(now + took, &[Event::Ended(ended)], &mut actions);
//! assert!(actions.iter().all(|a| !matches!(a, Action::Send { .. })));
//! ```
//!
//! The rest of the crate is the daemon's parts, so that tools, models and benchmarks drive what is shipped:
//! [`core`] and [`journal`] without a wire, the wires themselves in [`client`] and [`upstream`], which meet in
//! [`exchange`]. `main.rs` only wires them together.
#![forbid(unsafe_code)]
mod hints;
#[deny(missing_docs)]
mod interface;
#[deny(missing_docs)]
mod logic;
mod pile;
mod state;

pub mod acme;
pub mod as2;
pub mod backoff;
pub mod check;
pub mod client;
pub mod clock;
pub mod core;
pub mod deduplication;
pub mod discovery;
pub mod exchange;
pub mod fault;

pub mod flags;
pub mod fleet;
pub mod handover;
pub mod journal;
pub mod logger;
pub mod metrics;
pub mod mgmt;
pub mod neighbours;
pub mod notices;

pub mod plugins;
pub mod reload;
pub mod request;
pub mod settings;
pub mod upstream;

pub use interface::*;
pub use logic::Balancer;
