//! Aggregates the observations of several peers, without I/O. Converts them to this forwarder's clock, expires them, and
//! selects the effective observation where peers disagree: at most one for each endpoint and topic. The decision module
//! compares the result with local observations, which take precedence unless they are older.
//!
//! | observation | valid for | effective observation where peers disagree |
//! | --- | --- | --- |
//! | outage | its duration when observed, between 2 s and 60 s | the latest; of two within a second, the worse state |
//! | recovery | 30 s, because it only reduces the sending rate | as for an outage; of two recoveries, the later start |
//! | health | 1 s | as for an outage |
//! | Retry-After | until the time that the partner requested | the latest end |
//! | rate limit, connection capacity | 10 s | the latest |
use super::frame::EndpointObservation;
use super::topic::Topic;
use crate::interface::{Finding, Nanos};
use std::collections::BTreeMap;

/// Shortest validity of an outage, in seconds: long enough to prevent the first calls after a restart.
const MIN_OUTAGE_VALIDITY_SECS: f64 = 2.0;
/// Longest validity of an outage, in seconds: the partner is tried again at most a minute after the last observation.
const MAX_OUTAGE_VALIDITY_SECS: f64 = 60.0;
/// Validity of a recovery, in seconds. A recovered endpoint has warmed up after this time.
const RECOVERY_VALIDITY_SECS: f64 = 30.0;
/// Validity of a healthy state, in seconds: short, because the endpoint may have failed since.
const HEALTH_VALIDITY_SECS: f64 = 1.0;
/// Validity of a rate limit or connection capacity, in seconds: both change with the partner's load.
const LIMIT_VALIDITY_SECS: f64 = 10.0;
/// Two observations this close together, in seconds, have no known order: their transit and encoding times can differ by
/// more.
const ORDER_UNCERTAINTY_SECS: f64 = 1.0;
/// Interval at which unchanged effective observations are returned again, in seconds, for endpoints that discovery listed
/// in the meantime.
const REPEAT_INTERVAL_SECS: f64 = 1.0;
/// Longest accepted Retry-After wait, in seconds. No partner requests a longer one, so a longer one is ignored: a faulty
/// peer must not delay messages further.
const MAX_RETRY_AFTER_SECS: f64 = 600.0;

/// Maximum number of endpoints in the table. New endpoints are ignored while the table is full.
const MAX_ENDPOINTS: usize = 20_000;
/// Maximum number of peers for each endpoint and topic. An observation of a further peer replaces the oldest one.
const MAX_PEERS: usize = 8;

/// Identifies a peer by its session number, so a peer that restarts under the same name has a new ID.
pub type PeerId = u64;

/// A finding whose times are on this forwarder's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DatedFinding {
    Outage { started_at: Nanos, risky: bool },
    Recovering { started_at: Nanos },
    Healthy { mean: f64, dev: f64 },
    RetryAfter { until: Nanos },
    RateLimit { rate: f64 },
    ConnectionCapacity { calls: f64 },
}

/// Severity of an endpoint's state. Of two concurrent states the more severe one is effective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Severity {
    Normal,
    Recovering,
    Outage,
}

/// One peer's observation of an endpoint on one topic, on this forwarder's clock.
#[derive(Clone, Copy, Debug)]
struct DatedObservation {
    observed_at: Nanos,
    finding: DatedFinding,
}

impl DatedObservation {
    /// Converts an observation that arrived at `now` to this forwarder's clock. `transit` is the upper bound of its
    /// transit time; all times are moved back by it, so a wait never ends later than the partner requested.
    fn from_received(now: Nanos, transit: Nanos, age: Nanos, finding: Finding) -> DatedObservation {
        let finding = match finding {
            Finding::Outage { since, risky } => {
                DatedFinding::Outage { started_at: now - transit - since, risky }
            }
            Finding::Recovering { since } => DatedFinding::Recovering { started_at: now - transit - since },
            Finding::Healthy { mean, dev } => DatedFinding::Healthy { mean, dev },
            Finding::RetryAfter { left } => {
                let left = left - transit;
                let is_credible = left.secs() <= MAX_RETRY_AFTER_SECS;
                DatedFinding::RetryAfter { until: if is_credible { now + left } else { now } }
            }
            Finding::RateLimit { rate } => DatedFinding::RateLimit { rate },
            Finding::ConnectionCapacity { calls } => DatedFinding::ConnectionCapacity { calls },
        };
        DatedObservation { observed_at: now - age - transit, finding }
    }

    /// Returns the time at which the observation expires.
    fn expires_at(&self) -> Nanos {
        match self.finding {
            DatedFinding::Outage { started_at, .. } => {
                let lasted = (self.observed_at - started_at).secs();
                self.observed_at + lasted.clamp(MIN_OUTAGE_VALIDITY_SECS, MAX_OUTAGE_VALIDITY_SECS)
            }
            DatedFinding::Recovering { .. } => self.observed_at + RECOVERY_VALIDITY_SECS,
            DatedFinding::Healthy { .. } => self.observed_at + HEALTH_VALIDITY_SECS,
            DatedFinding::RetryAfter { until } => until,
            DatedFinding::RateLimit { .. } | DatedFinding::ConnectionCapacity { .. } => {
                self.observed_at + LIMIT_VALIDITY_SECS
            }
        }
    }

    fn severity(&self) -> Severity {
        match self.finding {
            DatedFinding::Outage { .. } => Severity::Outage,
            DatedFinding::Recovering { .. } => Severity::Recovering,
            DatedFinding::Healthy { .. }
            | DatedFinding::RetryAfter { .. }
            | DatedFinding::RateLimit { .. }
            | DatedFinding::ConnectionCapacity { .. } => Severity::Normal,
        }
    }

    /// Merges another peer's observation of the same state: an outage is risky if either peer says so, a recovery has the
    /// later start.
    fn merge(&mut self, other: &DatedObservation) {
        match (&mut self.finding, other.finding) {
            (DatedFinding::Outage { risky, .. }, DatedFinding::Outage { risky: other_risky, .. }) => {
                *risky |= other_risky;
            }
            (
                DatedFinding::Recovering { started_at },
                DatedFinding::Recovering { started_at: other_started_at },
            ) => {
                *started_at = other_started_at.max(*started_at);
            }
            (_, _) => {}
        }
    }

    /// Returns the finding with its spans relative to `now`.
    fn finding_at(&self, now: Nanos) -> Finding {
        match self.finding {
            DatedFinding::Outage { started_at, risky } => Finding::Outage { since: now - started_at, risky },
            DatedFinding::Recovering { started_at } => Finding::Recovering { since: now - started_at },
            DatedFinding::Healthy { mean, dev } => Finding::Healthy { mean, dev },
            DatedFinding::RetryAfter { until } => Finding::RetryAfter { left: until - now },
            DatedFinding::RateLimit { rate } => Finding::RateLimit { rate },
            DatedFinding::ConnectionCapacity { calls } => Finding::ConnectionCapacity { calls },
        }
    }
}

/// The observations of one endpoint by all peers.
#[derive(Default)]
struct EndpointEntry {
    by_peer: BTreeMap<(Topic, PeerId), DatedObservation>,
    last_returned_at: Nanos,
    has_changed: bool,
}

impl EndpointEntry {
    /// Records a peer's observation unless a later one of that peer is already recorded.
    fn record(&mut self, topic: Topic, peer: PeerId, observation: DatedObservation) {
        let key = (topic, peer);
        // A frame with a longer transit time can carry an older observation than a frame that arrived before it.
        if self.by_peer.get(&key).is_some_and(|known| known.observed_at > observation.observed_at) {
            return;
        }
        let is_full = self.observations_on(topic).count() >= MAX_PEERS;
        if is_full && !self.by_peer.contains_key(&key) {
            self.remove_oldest(topic);
        }
        self.by_peer.insert(key, observation);
        self.has_changed = true;
    }

    fn remove_oldest(&mut self, topic: Topic) {
        let of_topic = self.by_peer.iter().filter(|((entry_topic, _), _)| *entry_topic == topic);
        let oldest = of_topic.min_by_key(|(_, observation)| observation.observed_at).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.by_peer.remove(&key);
        }
    }

    fn observations_on(&self, topic: Topic) -> impl Iterator<Item = &DatedObservation> {
        self.by_peer
            .iter()
            .filter(move |((entry_topic, _), _)| *entry_topic == topic)
            .map(|(_, observation)| observation)
    }

    /// Returns the effective observations, at most one for each topic.
    fn effective(&self) -> impl Iterator<Item = DatedObservation> {
        let latest =
            |topic| self.observations_on(topic).max_by_key(|observation| observation.observed_at).copied();
        let longest_wait = self
            .observations_on(Topic::RetryAfter)
            .max_by_key(|observation| observation.expires_at())
            .copied();
        let effective =
            [self.state(), longest_wait, latest(Topic::RateLimit), latest(Topic::ConnectionCapacity)];
        effective.into_iter().flatten()
    }

    /// Returns the effective state: the most severe of the latest observations, whose order is not known.
    fn state(&self) -> Option<DatedObservation> {
        let latest_at =
            self.observations_on(Topic::State).map(|observation| observation.observed_at).max()?;
        let is_recent = |e: &&DatedObservation| (latest_at - e.observed_at).secs() <= ORDER_UNCERTAINTY_SECS;
        let recent: Vec<&DatedObservation> = self.observations_on(Topic::State).filter(is_recent).collect();
        let worst = recent.iter().map(|observation| observation.severity()).max()?;
        let agreeing: Vec<&DatedObservation> = recent.into_iter().filter(|e| e.severity() == worst).collect();
        let mut state = **agreeing.iter().max_by_key(|observation| observation.observed_at)?;
        for other in agreeing {
            state.merge(other);
        }
        Some(state)
    }
}

/// Table of the observations of all peers that have not expired.
#[derive(Default)]
pub struct Aggregator {
    endpoints: BTreeMap<String, EndpointEntry>,
}

impl Aggregator {
    /// Records the observations of one frame that arrived at `now`. `transit` is the upper bound of its transit time.
    pub fn record(
        &mut self, now: Nanos, peer: PeerId, transit: Nanos, observations: Vec<EndpointObservation>,
    ) {
        for EndpointObservation { uid, finding, age } in observations {
            let observation = DatedObservation::from_received(now, transit, age, finding);
            if observation.expires_at() <= now || !self.has_capacity_for(now, &uid) {
                continue;
            }
            self.endpoints.entry(uid).or_default().record(Topic::of(&finding), peer, observation);
        }
    }

    /// Returns whether the endpoint is in the table or can be added. A full table removes expired endpoints to make room,
    /// but never current ones, so that one peer cannot displace the observations of others.
    fn has_capacity_for(&mut self, now: Nanos, uid: &str) -> bool {
        if self.endpoints.contains_key(uid) {
            return true;
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| endpoint.by_peer.values().any(|e| e.expires_at() > now));
        }
        self.endpoints.len() < MAX_ENDPOINTS
    }

    /// Returns the effective observations of endpoints that have changed since the last call or whose repeat interval has
    /// passed.
    pub fn due(&mut self, now: Nanos) -> Vec<EndpointObservation> {
        let mut due = Vec::new();
        self.endpoints.retain(|uid, endpoint| {
            endpoint.by_peer.retain(|_, observation| observation.expires_at() > now);
            if endpoint.has_changed || (now - endpoint.last_returned_at).secs() >= REPEAT_INTERVAL_SECS {
                endpoint.last_returned_at = now;
                endpoint.has_changed = false;
                due.extend(endpoint.effective().map(|observation| EndpointObservation {
                    uid: uid.clone(),
                    finding: observation.finding_at(now),
                    age: now - observation.observed_at,
                }));
            }
            !endpoint.by_peer.is_empty()
        });
        due
    }

    /// Returns the number of endpoints in the table.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

#[cfg(test)]
mod tests;
