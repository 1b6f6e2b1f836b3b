//! Decides which local observations are due to one subscriber, without I/O: all of them at first, then what changed.
use super::frame::EndpointObservation;
use super::topic::Topic;
use crate::interface::{Finding, Nanos};
use std::collections::{HashMap, HashSet};

/// An unchanged finding that was observed again is published again after so many seconds: an observation of a second
/// ago counts for more than one of a minute ago, and a shorter interval is more bytes for little.
const REFRESH_SECS: f64 = 1.0;
/// The same for a healthy endpoint, which is worth less to a subscriber.
const HEALTHY_REFRESH_SECS: f64 = 5.0;
/// Rates, latencies and capacities that differ by less, relative to the published value, count as unchanged.
const RELATIVE_TOLERANCE: f64 = 0.2;
/// Keeps the tolerance above zero for published values near zero.
const SMALLEST_REFERENCE: f64 = 1e-6;
/// Two ends of a wait, or two starts of an outage, that are closer count as the same, in seconds: spans are sampled at
/// slightly different times.
const SAME_TIME_SECS: f64 = 0.05;
/// Published entries that are kept beyond twice those that are known, before the rest is dropped.
const SPARE_ENTRIES: usize = 64;

/// A finding as it was published, in this forwarder's own time.
struct Published {
    finding: Finding,
    observed_at: Nanos,
    published_at: Nanos,
}

/// What has been published to one subscriber.
#[derive(Default)]
pub struct PublicationState {
    published: HashMap<(String, Topic), Published>,
}

impl PublicationState {
    /// Selects what is due now among all known observations, and records it as published.
    pub fn due(&mut self, now: Nanos, known: &[EndpointObservation]) -> Vec<EndpointObservation> {
        let mut due = Vec::new();
        for observation in known {
            let observed_at = now - observation.age;
            let finding = observation.finding;
            let previous = self.published.get(&key(observation));
            if previous.is_some_and(|previous| !previous.is_outdated(now, observed_at, &finding)) {
                continue;
            }
            let published = Published { finding, observed_at, published_at: now };
            self.published.insert(key(observation), published);
            due.push(observation.clone());
        }
        self.drop_unknown(known);
        due
    }

    /// Bounds the table by what is known: entries of endpoints that are known no more are dropped.
    fn drop_unknown(&mut self, known: &[EndpointObservation]) {
        if self.published.len() > 2 * known.len() + SPARE_ENTRIES {
            let keys: HashSet<_> = known.iter().map(key).collect();
            self.published.retain(|key, _| keys.contains(key));
        }
    }
}

fn key(observation: &EndpointObservation) -> (String, Topic) {
    (observation.uid.clone(), Topic::of(&observation.finding))
}

impl Published {
    /// Whether the subscriber needs the finding of now instead of the published one.
    fn is_outdated(&self, now: Nanos, observed_at: Nanos, current: &Finding) -> bool {
        let since_published = (now - self.published_at).secs();
        let was_observed_again = observed_at > self.observed_at;
        let needs_refresh = was_observed_again && since_published >= REFRESH_SECS;
        match (self.finding, *current) {
            (Finding::Outage { since: old, risky: old_risky }, Finding::Outage { since: new, risky }) => {
                self.starts_differ(old, now, new) || old_risky != risky || needs_refresh
            }
            (Finding::Recovering { since: old }, Finding::Recovering { since: new }) => {
                self.starts_differ(old, now, new) || needs_refresh
            }
            (Finding::Healthy { mean: old, .. }, Finding::Healthy { mean: new, .. }) => {
                let needs_healthy_refresh = was_observed_again && since_published >= HEALTHY_REFRESH_SECS;
                let changed = differs(old, new) && since_published >= REFRESH_SECS;
                needs_healthy_refresh || changed
            }
            (Finding::RetryAfter { left: old }, Finding::RetryAfter { left: new }) => {
                self.ends_differ(old, now, new)
            }
            (Finding::RateLimit { rate: old }, Finding::RateLimit { rate: new }) => {
                (differs(old, new) && was_observed_again) || needs_refresh
            }
            (Finding::ConnectionCapacity { calls: old }, Finding::ConnectionCapacity { calls: new }) => {
                differs(old, new) || needs_refresh
            }
            // Another state of the endpoint.
            (_, _) => true,
        }
    }

    /// Whether a span that began before it was published has another start now.
    fn starts_differ(&self, old_elapsed: Nanos, now: Nanos, new_elapsed: Nanos) -> bool {
        let old_start = self.published_at.secs() - old_elapsed.secs();
        let new_start = now.secs() - new_elapsed.secs();
        (old_start - new_start).abs() > SAME_TIME_SECS
    }

    /// Whether a wait has another end now.
    fn ends_differ(&self, old_left: Nanos, now: Nanos, new_left: Nanos) -> bool {
        (self.published_at.secs() + old_left.secs() - now.secs() - new_left.secs()).abs() > SAME_TIME_SECS
    }
}

fn differs(published: f64, current: f64) -> bool {
    (current - published).abs() > RELATIVE_TOLERANCE * published.abs().max(SMALLEST_REFERENCE)
}

#[cfg(test)]
mod tests;
