//! Topics of observations. For each endpoint and topic only the latest observation of a peer is used.
use crate::interface::Finding;

/// The topic of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The state of the endpoint (outage, recovery or health). A new state replaces the previous one.
    State,
    /// The wait that the partner requested.
    RetryAfter,
    /// The rate of calls that the partner accepts.
    RateLimit,
    /// The number of concurrent calls that the partner accepts.
    ConnectionCapacity,
}

impl Topic {
    /// Returns the topic of a finding.
    pub fn of(finding: &Finding) -> Topic {
        match finding {
            Finding::Outage { .. } | Finding::Recovering { .. } | Finding::Healthy { .. } => Topic::State,
            Finding::RetryAfter { .. } => Topic::RetryAfter,
            Finding::RateLimit { .. } => Topic::RateLimit,
            Finding::ConnectionCapacity { .. } => Topic::ConnectionCapacity,
        }
    }
}
