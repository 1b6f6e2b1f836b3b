//! Observations of endpoints that peers exchange.
use super::{EndpointId, Nanos};

/// A local or peer observation of an endpoint's behaviour, beyond its entry in the list. All times are
/// durations rather than timestamps, so that clocks of different machines are never compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Calls to the endpoint fail.
    Outage {
        /// Duration of the outage so far.
        since: Nanos,
        /// Calls are lost rather than rejected: they may disappear or be processed in part.
        risky: bool,
    },
    /// The endpoint serves calls again after an outage and may still be warming up.
    Recovering {
        /// Time since the first served call.
        since: Nanos,
    },
    /// The endpoint serves calls.
    Healthy {
        /// Mean latency in seconds.
        mean: f64,
        /// Mean deviation of the latency in seconds.
        dev: f64,
    },
    /// The endpoint's route sent a Retry-After.
    RetryAfter {
        /// Remaining time during which no call may start.
        left: Nanos,
    },
    /// The endpoint's route rejected calls, and the observer reduced its pace there.
    RateLimit {
        /// Pace of the observing forwarder, in calls per second.
        rate: f64,
    },
    /// The endpoint accepts a limited number of concurrent calls.
    ConnectionCapacity {
        /// Number of concurrent calls.
        calls: f64,
    },
}

/// A finding about an endpoint, and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint, under this module's identifier.
    pub host: EndpointId,
    /// The finding.
    pub finding: Finding,
    /// Time since the observer made the finding.
    pub age: Nanos,
}
