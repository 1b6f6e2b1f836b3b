//! Collects the observations that this forwarder made itself, for publication to peers.
use super::frame::EndpointObservation;
use super::REFRESH_INTERVAL;
use crate::clock;
use crate::exchange::Exchange;
use crate::interface::{Finding, Nanos};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::interval;

/// Local observations and the time of their collection.
#[derive(Clone, Default)]
pub struct LocalObservations {
    /// Observations with their ages at `collected_at`.
    pub observations: Arc<Vec<EndpointObservation>>,
    /// Time of the collection.
    pub collected_at: Nanos,
}

impl LocalObservations {
    /// Returns the observations as of `now`: advances all ages and spans, and omits waits that have ended.
    pub fn as_of(&self, now: Nanos) -> Vec<EndpointObservation> {
        let elapsed = now - self.collected_at;
        self.observations.iter().filter_map(|observation| advance(observation, elapsed)).collect()
    }
}

fn advance(observation: &EndpointObservation, elapsed: Nanos) -> Option<EndpointObservation> {
    let finding = match observation.finding {
        Finding::Outage { since, risky } => Finding::Outage { since: since + elapsed, risky },
        Finding::Recovering { since } => Finding::Recovering { since: since + elapsed },
        Finding::RetryAfter { left } if left <= elapsed => return None,
        Finding::RetryAfter { left } => Finding::RetryAfter { left: left - elapsed },
        finding @ (Finding::Healthy { .. }
        | Finding::RateLimit { .. }
        | Finding::ConnectionCapacity { .. }) => finding,
    };
    Some(EndpointObservation { uid: observation.uid.clone(), finding, age: observation.age + elapsed })
}

/// Collects local observations at each `REFRESH_INTERVAL` while there is a subscriber.
pub async fn collect(exchange: Exchange, collected: watch::Sender<LocalObservations>) {
    let mut ticks = interval(REFRESH_INTERVAL);
    loop {
        ticks.tick().await;
        // The acceptor has one receiver; each session has a further one.
        if collected.receiver_count() > 1 {
            let observations = Arc::new(exchange.observations().await);
            collected.send_replace(LocalObservations { observations, collected_at: clock::now() });
        }
    }
}
