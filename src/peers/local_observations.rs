//! What this forwarder has seen itself, as it is told to others.
use super::frame::EndpointObservation;
use crate::interface::{Finding, Nanos};
use std::sync::Arc;

/// What this forwarder has seen itself, and when that was looked up.
#[derive(Clone, Default)]
pub struct LocalObservations {
    pub items: Arc<Vec<EndpointObservation>>,
    pub at: Nanos,
}

impl LocalObservations {
    /// The same at a later time: all is that much older, and a wait has that much less left.
    pub fn at(&self, now: Nanos) -> Vec<EndpointObservation> {
        let past = now - self.at;
        let later = |item: &EndpointObservation| {
            let finding = match item.finding {
                Finding::Outage { since, risky } => Finding::Outage { since: since + past, risky },
                Finding::Recovering { since } => Finding::Recovering { since: since + past },
                Finding::RetryAfter { left } if left <= past => return None,
                Finding::RetryAfter { left } => Finding::RetryAfter { left: left - past },
                finding @ (Finding::Healthy { .. }
                | Finding::RateLimit { .. }
                | Finding::ConnectionCapacity { .. }) => finding,
            };
            Some(EndpointObservation { uid: item.uid.clone(), finding, age: item.age + past })
        };
        self.items.iter().filter_map(later).collect()
    }
}
