//! Selects the local observations to publish to one subscriber, without I/O: first all of them, then the changed ones.
use super::frame::EndpointObservation;
use super::topic::Topic;
use crate::interface::{Finding, Nanos};
use std::collections::{HashMap, HashSet};

/// Minimum time before an unchanged finding that was observed again is published again, in seconds. Subscribers prefer
/// recent observations; a shorter interval costs bandwidth for little benefit.
const REFRESH_SECS: f64 = 1.0;
/// The same for the unchanged finding of a healthy endpoint, in seconds: it is of less use to a subscriber.
const HEALTHY_REFRESH_SECS: f64 = 5.0;
/// Rates, latencies and capacities that differ by at most this fraction of the published value are unchanged.
const RELATIVE_TOLERANCE: f64 = 0.2;
/// Lower bound of the value to which the tolerance applies, so that the tolerance is above zero for values near zero.
const MIN_REFERENCE_VALUE: f64 = 1e-6;
/// Starts of an outage or recovery, and ends of a wait, that differ by at most this many seconds are the same: spans are
/// sampled at slightly different times.
const TIME_TOLERANCE_SECS: f64 = 0.05;
/// Stale entries are removed once the table has this many entries more than twice the number of local observations.
const MAX_EXCESS_ENTRIES: usize = 64;

/// A published finding, with times on this forwarder's clock.
struct Published {
    finding: Finding,
    observed_at: Nanos,
    published_at: Nanos,
}

/// The latest publication to one subscriber for each endpoint and topic.
#[derive(Default)]
pub struct PublicationState {
    published: HashMap<(String, Topic), Published>,
}

impl PublicationState {
    /// Selects the local observations to publish now, and records them as published.
    pub fn select_due(&mut self, now: Nanos, local: &[EndpointObservation]) -> Vec<EndpointObservation> {
        let mut due = Vec::new();
        for observation in local {
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
        self.remove_stale_entries(local);
        due
    }

    /// Bounds the table by removing the entries that have no local observation any more.
    fn remove_stale_entries(&mut self, local: &[EndpointObservation]) {
        if self.published.len() > 2 * local.len() + MAX_EXCESS_ENTRIES {
            let keys: HashSet<_> = local.iter().map(key).collect();
            self.published.retain(|key, _| keys.contains(key));
        }
    }
}

fn key(observation: &EndpointObservation) -> (String, Topic) {
    (observation.uid.clone(), Topic::of(&observation.finding))
}

impl Published {
    /// Returns whether the published finding must be replaced by the current one.
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
            // The state of the endpoint has changed.
            (_, _) => true,
        }
    }

    /// Returns whether the start of a span differs from the published one.
    fn starts_differ(&self, old_elapsed: Nanos, now: Nanos, new_elapsed: Nanos) -> bool {
        let old_start = self.published_at.secs() - old_elapsed.secs();
        let new_start = now.secs() - new_elapsed.secs();
        (old_start - new_start).abs() > TIME_TOLERANCE_SECS
    }

    /// Returns whether the end of a wait differs from the published one.
    fn ends_differ(&self, old_left: Nanos, now: Nanos, new_left: Nanos) -> bool {
        (self.published_at.secs() + old_left.secs() - now.secs() - new_left.secs()).abs()
            > TIME_TOLERANCE_SECS
    }
}

fn differs(published: f64, current: f64) -> bool {
    (current - published).abs() > RELATIVE_TOLERANCE * published.abs().max(MIN_REFERENCE_VALUE)
}

#[cfg(test)]
mod tests;
