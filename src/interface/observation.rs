//! Observations of endpoints that peers exchange.
use super::{EndpointId, Nanos};

/// What is known of an endpoint beside its entry in the list: this module's own experience, or a peer's.
/// Times are spans, never stamps, so that no two clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Calls fail there.
    Outage {
        /// How long the outage has lasted.
        since: Nanos,
        /// Calls are lost rather than rejected: they may be swallowed or half done.
        risky: bool,
    },
    /// It serves again after an outage; it may still be warming up.
    Recovering {
        /// How long ago the first call was served.
        since: Nanos,
    },
    /// It serves.
    Healthy {
        /// Mean latency in seconds.
        mean: f64,
        /// Mean deviation of the latency in seconds.
        dev: f64,
    },
    /// Its route sent a Retry-After.
    RetryAfter {
        /// How long nothing may be sent there.
        left: Nanos,
    },
    /// Its route rejected calls; one forwarder's pace there.
    RateLimit {
        /// Calls a second.
        rate: f64,
    },
    /// It accepts a limited number of calls at once.
    ConnectionCapacity {
        /// Calls at once.
        calls: f64,
    },
}

/// A finding on an endpoint, and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint, as this module knows it.
    pub host: EndpointId,
    /// What was seen there.
    pub finding: Finding,
    /// How long ago the observer saw it.
    pub age: Nanos,
}
