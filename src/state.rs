//! Records of the decision module and their arithmetic. The decisions are made in `logic.rs`.
#![warn(missing_docs)]

mod bisection;
mod call_permits;
mod destination;
mod endpoint;
mod message;
mod ordering;
mod pending_index;
mod random;
mod route;
mod served_rate;
mod suspicion;
mod token_bucket;

pub(crate) use bisection::bisect;
pub(crate) use call_permits::CallPermits;
pub(crate) use destination::DestinationQueue;
pub(crate) use endpoint::{CircuitBreaker, EndpointRecord, IdleLoss, Latency};
pub(crate) use message::{FirstRun, InFlight, PendingMessage};
pub(crate) use ordering::OrderingKey;
pub(crate) use random::Random;
pub(crate) use route::{Route, RouteKey};
pub(crate) use served_rate::ServedRate;
pub(crate) use suspicion::{Suspicion, SuspicionCause, MIN_OUTAGE_SECS};
pub(crate) use token_bucket::TokenBucket;
