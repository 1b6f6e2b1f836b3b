//! micaladder decides for a message forwarder which pending message goes to which endpoint, and when.
//!
//! The forwarder owns time, ids and the network. It makes one [`Balancer`] from its [`Settings`], and calls
//! [`Balancer::handle`] with all [`Event`]s of a moment; the module takes them all in, decides once, and appends
//! the [`Action`]s to carry out, in order. Times are [`Nanos`] on any clock that only moves forward. When the
//! module asks for a [`Action::WakeAt`], call `handle` at that time with [`Event::Due`]; a wake-up that comes too
//! often, or a little early, does no harm. Every [`Action::Send`] must be followed by exactly one
//! [`Event::AttemptEnded`]. A message ends by an outcome marked `over` (or `Ok`), an [`Action::Reject`] or an
//! [`Action::Fail`], and then the module sends nothing more for it.
//!
//! A restart loses everything: make a new `Balancer` and report the endpoint list first. Messages of the old one are
//! submitted again by the clients or, where the forwarder has stored them, come as [`Event::Resumed`].
//!
//! ```
//! use micaladder::*;
//!
//! let class = Class {
//!     latency_objective: Nanos::from_secs(1.0),
//!     deadline: Nanos::from_secs(5.0),
//!     priority_weight: 1.0,
//!     late_weight_share: 0.5,
//!     effect: Effect::Idempotent,
//!     fifo_by_key: false,
//! };
//! let settings = Settings { slots: 4, max_pending: 100, max_attempts: 3, classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 42);
//! let (now, mut actions) = (Nanos::from_secs(100.0), Vec::new());
//!
//! let entry =
//!     EndpointEntry { host: EndpointId(7), zone: 0, kind: 0, dest: DestinationId(1), state: EndpointState::Running, rate: 0.0 };
//! let deadline = now + Nanos::from_secs(5.0);
//! let message = Message { id: MessageId(1), class: 0, tenant: 0, key: None, dest: DestinationId(1), deadline };
//! let list = Event::EndpointList { complete: true, entries: vec![entry] };
//! balancer.handle(now, &[list, Event::Message(message)], &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: MessageId(1), host: EndpointId(7), .. }));
//!
//! actions.clear();
//! let took = Nanos::from_secs(0.2);
//! let ended =
//!     AttemptEnded { id: MessageId(1), attempt: 0, outcome: Outcome::Ok, over: true, took, report: None };
//! balancer.handle(now + took, &[Event::AttemptEnded(ended)], &mut actions);
//! assert!(actions.iter().all(|a| !matches!(a, Action::Send { .. })));
//! ```
//!
//! The rest of the crate is the daemon's parts, so that tools, models and benchmarks drive what is shipped:
//! [`core`] and [`journal`] without a wire, the wires themselves in [`client`] and [`upstream`], which meet in
//! [`exchange`], and [`daemon`], which wires them together.
#![forbid(unsafe_code)]
#[deny(missing_docs)]
mod interface;
#[deny(missing_docs)]
mod logic;
mod state;

pub mod acme;
pub mod as2;
pub mod backoff;
pub mod check;
pub mod client;
pub mod clock;
pub mod config_error;
pub mod core;
pub mod daemon;
pub mod deduplication;
pub mod discovery;
pub mod exchange;

pub mod callbacks;
pub mod flags;
pub mod fleet;
pub mod journal;
pub mod logger;
pub mod metrics;
pub mod mgmt;
pub mod peers;
pub mod takeover;

pub mod plugins;
pub mod reload;
pub mod request;
pub mod settings;
pub mod upstream;

pub use interface::*;
pub use logic::Balancer;
