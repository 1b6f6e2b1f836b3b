//! micaladder decides for a message forwarder which pending message goes to which endpoint, and when.
//!
//! The forwarder manages time, ids and the network. It creates one [`Balancer`] from its [`Settings`] and calls
//! [`Balancer::handle`] with all [`Event`]s that occur at the same time. The balancer processes them together, decides once, and
//! appends the [`Action`]s to carry out, in order. Times are [`Nanos`] on any monotonic clock. After an [`Action::WakeAt`], call
//! `handle` at that time with [`Event::Due`]; additional or slightly early calls are harmless. Every [`Action::Send`] must be
//! followed by exactly one [`Event::AttemptEnded`]. A message is complete after an outcome that is `Ok` or marked `over`, an
//! [`Action::Reject`] or an [`Action::Fail`]; the balancer then sends nothing more for it.
//!
//! A balancer keeps its state only in memory. After a restart, create a new one and report the endpoint list first. Clients
//! submit their pending messages again; a message that the forwarder has stored is reported as [`Event::Resumed`], and the
//! [`HealthChange`] of an endpoint as [`Event::HealthRestored`].
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
//! The other modules are the daemon's parts, public so that tools, models and benchmarks run the shipped code. [`core`] and
//! [`journal`] do no networking, [`client`] and [`upstream`] are the network sides, which [`exchange`] connects, and [`daemon`]
//! assembles all parts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod interface;
mod logic;
mod state;

pub mod acme;
pub mod as2;
pub mod backoff;
pub mod body;
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
pub mod memory;
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
