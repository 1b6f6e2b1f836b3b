//! The observations that this forwarder made itself, as it publishes them to peers.
use super::frame::EndpointObservation;
use super::REFRESH_INTERVAL;
use crate::clock;
use crate::exchange::Exchange;
use crate::interface::{Finding, Nanos};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::interval;

/// Local observations and the time at which they were collected.
#[derive(Clone, Default)]
pub struct LocalObservations {
    /// Observations; their ages hold for `collected_at`.
    pub observations: Arc<Vec<EndpointObservation>>,
    /// When they were collected.
    pub collected_at: Nanos,
}

impl LocalObservations {
    /// The observations as of a later time: everything has aged, and a wait that has ended since is left out.
    pub fn at(&self, now: Nanos) -> Vec<EndpointObservation> {
        let elapsed = now - self.collected_at;
        self.observations.iter().filter_map(|observation| aged(observation, elapsed)).collect()
    }
}

fn aged(observation: &EndpointObservation, elapsed: Nanos) -> Option<EndpointObservation> {
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

/// Collects local observations over and over, while there is a subscriber.
pub async fn collect(exchange: Exchange, collected: watch::Sender<LocalObservations>) {
    let mut ticks = interval(REFRESH_INTERVAL);
    loop {
        ticks.tick().await;
        // The acceptor holds one receiver; each further one belongs to a session.
        if collected.receiver_count() > 1 {
            let observations = Arc::new(exchange.observations().await);
            collected.send_replace(LocalObservations { observations, collected_at: clock::now() });
        }
    }
}
