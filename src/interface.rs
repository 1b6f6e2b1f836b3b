//! The interface of the decision module: settings and events in, actions out. This module holds data types
//! only and makes no decisions.
#![warn(missing_docs)]

mod action;
mod event;
mod health;
mod message;
mod observation;
mod outcome;
mod settings;
mod time;

pub use action::Action;
pub use event::{AttemptEnded, EndpointEntry, EndpointState, Event};
pub use health::{CallAllowance, EndpointHealth, HealthChange, HealthReason, PaceReduction, RestrictedCall};
pub use message::{DestinationId, EndpointId, Message, MessageId, PriorAttempts};
pub use observation::{Finding, Observation};
pub use outcome::{LoadReport, Outcome};
pub use settings::{Class, Effect, EndpointKind, IdempotencyScope, ListedRates, Settings, ValueDecay};
pub use time::Nanos;
