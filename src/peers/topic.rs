//! What an observation is about. Of each endpoint and topic only the latest observation of a peer counts.
use crate::interface::Finding;

/// The topic of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Outage, recovery and health are states of one thing: each replaces the others.
    State,
    /// The wait that the partner asked for.
    RetryAfter,
    /// The rate that the partner accepts.
    RateLimit,
    /// The connections that the partner accepts.
    ConnectionCapacity,
}

impl Topic {
    /// The topic of a finding.
    pub fn of(finding: &Finding) -> Topic {
        match finding {
            Finding::Outage { .. } | Finding::Recovering { .. } | Finding::Healthy { .. } => Topic::State,
            Finding::RetryAfter { .. } => Topic::RetryAfter,
            Finding::RateLimit { .. } => Topic::RateLimit,
            Finding::ConnectionCapacity { .. } => Topic::ConnectionCapacity,
        }
    }
}
