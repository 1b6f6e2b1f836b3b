//! Aggregates the observations of several peers, without I/O: dates them by this forwarder's own clock, decides which of
//! several that disagree counts, and for how long. What this forwarder observed itself is compared with the result by
//! the decision module, where a local observation wins unless it is older.
//!
//! | observation | counts for | where peers disagree |
//! | --- | --- | --- |
//! | outage | as long as the outage had lasted when it was observed, from 2 s to a minute | the latest observation; of two within a second of each other, the worse state |
//! | recovery | half a minute: it is a reason to send less, not more | the same; of two recoveries, the later start |
//! | health | a second | the same |
//! | retry-after | to the end that the partner asked for | the latest end |
//! | rate limit, connection capacity | ten seconds | the latest observation |
use super::frame::EndpointObservation;
use super::topic::Topic;
use crate::interface::{Finding, Nanos};
use std::collections::BTreeMap;

/// Bounds of the time for which an outage counts, in seconds: long enough to spare the first calls, short enough that a
/// partner is tried again a minute after the last peer was heard of.
const MIN_OUTAGE_VALIDITY_SECS: f64 = 2.0;
const MAX_OUTAGE_VALIDITY_SECS: f64 = 60.0;
/// After so long a recovered endpoint has warmed up, in seconds.
const RECOVERY_VALIDITY_SECS: f64 = 30.0;
/// Good news expires fast, in seconds: the endpoint may have failed since.
const HEALTH_VALIDITY_SECS: f64 = 1.0;
/// A limit changes with the partner's load, in seconds.
const LIMIT_VALIDITY_SECS: f64 = 10.0;
/// The order of two observations this close is not known, in seconds: transit and build times differ by more.
const ORDER_UNCERTAINTY_SECS: f64 = 1.0;
/// What counts is handed over again after so many seconds, for endpoints that discovery has listed only since.
const REPEAT_SECS: f64 = 1.0;
/// A longer wait is ignored, in seconds: no partner asks for one, and a faulty peer must not hold messages for longer.
const MAX_RETRY_AFTER_SECS: f64 = 600.0;

/// Endpoints in the table. Further ones are ignored until entries expire.
const MAX_ENDPOINTS: usize = 20_000;
/// Peers in the table for each endpoint and topic; a further one replaces the oldest observation.
const MAX_PEERS: usize = 8;

/// A peer, by the number of its session: a restart under the same name is another one.
pub type PeerId = u64;

/// A finding with its times on this forwarder's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DatedFinding {
    Outage { began: Nanos, risky: bool },
    Recovering { began: Nanos },
    Healthy { mean: f64, dev: f64 },
    RetryAfter { until: Nanos },
    RateLimit { rate: f64 },
    ConnectionCapacity { calls: f64 },
}

/// Severity of an endpoint's state: of two states at the same time the worse one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Severity {
    Normal,
    Recovering,
    Outage,
}

/// One peer's observation of an endpoint on one topic.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    observed_at: Nanos,
    finding: DatedFinding,
}

impl Evidence {
    /// Dates an observation that arrived now. `transit` is the longest time for which it can have been in transit:
    /// everything is that much older, so a wait never ends later than the partner asked for.
    fn dated(now: Nanos, transit: Nanos, age: Nanos, finding: Finding) -> Evidence {
        let finding = match finding {
            Finding::Outage { since, risky } => DatedFinding::Outage { began: now - transit - since, risky },
            Finding::Recovering { since } => DatedFinding::Recovering { began: now - transit - since },
            Finding::Healthy { mean, dev } => DatedFinding::Healthy { mean, dev },
            Finding::RetryAfter { left } => {
                let left = left - transit;
                let is_credible = left.secs() <= MAX_RETRY_AFTER_SECS;
                DatedFinding::RetryAfter { until: if is_credible { now + left } else { now } }
            }
            Finding::RateLimit { rate } => DatedFinding::RateLimit { rate },
            Finding::ConnectionCapacity { calls } => DatedFinding::ConnectionCapacity { calls },
        };
        Evidence { observed_at: now - age - transit, finding }
    }

    /// When it stops counting.
    fn expires_at(&self) -> Nanos {
        match self.finding {
            DatedFinding::Outage { began, .. } => {
                let lasted = (self.observed_at - began).secs();
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

    /// Takes over what another peer knows of the same state: the risk of an outage, the later start of a recovery.
    fn merge(&mut self, other: &Evidence) {
        match (&mut self.finding, other.finding) {
            (DatedFinding::Outage { risky, .. }, DatedFinding::Outage { risky: other_risky, .. }) => {
                *risky |= other_risky;
            }
            (DatedFinding::Recovering { began }, DatedFinding::Recovering { began: other_began }) => {
                *began = other_began.max(*began);
            }
            (_, _) => {}
        }
    }

    /// The finding as of now.
    fn at(&self, now: Nanos) -> Finding {
        match self.finding {
            DatedFinding::Outage { began, risky } => Finding::Outage { since: now - began, risky },
            DatedFinding::Recovering { began } => Finding::Recovering { since: now - began },
            DatedFinding::Healthy { mean, dev } => Finding::Healthy { mean, dev },
            DatedFinding::RetryAfter { until } => Finding::RetryAfter { left: until - now },
            DatedFinding::RateLimit { rate } => Finding::RateLimit { rate },
            DatedFinding::ConnectionCapacity { calls } => Finding::ConnectionCapacity { calls },
        }
    }
}

/// What peers observed of one endpoint.
#[derive(Default)]
struct EndpointEvidence {
    by_peer: BTreeMap<(Topic, PeerId), Evidence>,
    handed_over_at: Nanos,
    has_changed: bool,
}

impl EndpointEvidence {
    /// Records a peer's observation unless it already has a later one of that peer.
    fn record(&mut self, topic: Topic, peer: PeerId, evidence: Evidence) {
        let key = (topic, peer);
        // A frame that was longer in transit may arrive after a later one.
        if self.by_peer.get(&key).is_some_and(|known| known.observed_at > evidence.observed_at) {
            return;
        }
        let is_full = self.on(topic).count() >= MAX_PEERS;
        if is_full && !self.by_peer.contains_key(&key) {
            self.remove_oldest(topic);
        }
        self.by_peer.insert(key, evidence);
        self.has_changed = true;
    }

    fn remove_oldest(&mut self, topic: Topic) {
        let of_topic = self.by_peer.iter().filter(|((of, _), _)| *of == topic);
        let oldest = of_topic.min_by_key(|(_, evidence)| evidence.observed_at).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.by_peer.remove(&key);
        }
    }

    fn on(&self, topic: Topic) -> impl Iterator<Item = &Evidence> {
        self.by_peer.iter().filter(move |((of, _), _)| *of == topic).map(|(_, evidence)| evidence)
    }

    /// What counts, one for each topic at the most.
    fn aggregate(&self) -> impl Iterator<Item = Evidence> {
        let latest = |topic| self.on(topic).max_by_key(|evidence| evidence.observed_at).copied();
        let longest_wait = self.on(Topic::RetryAfter).max_by_key(|evidence| evidence.expires_at()).copied();
        let counting =
            [self.state(), longest_wait, latest(Topic::RateLimit), latest(Topic::ConnectionCapacity)];
        counting.into_iter().flatten()
    }

    /// The endpoint's state: of the latest observations whose order is not known, the worst.
    fn state(&self) -> Option<Evidence> {
        let latest_at = self.on(Topic::State).map(|evidence| evidence.observed_at).max()?;
        let is_recent = |e: &&Evidence| (latest_at - e.observed_at).secs() <= ORDER_UNCERTAINTY_SECS;
        let recent: Vec<&Evidence> = self.on(Topic::State).filter(is_recent).collect();
        let worst = recent.iter().map(|evidence| evidence.severity()).max()?;
        let agreeing: Vec<&Evidence> = recent.into_iter().filter(|e| e.severity() == worst).collect();
        let mut state = **agreeing.iter().max_by_key(|evidence| evidence.observed_at)?;
        for other in agreeing {
            state.merge(other);
        }
        Some(state)
    }
}

/// All that peers observed and that may still count.
#[derive(Default)]
pub struct Aggregator {
    endpoints: BTreeMap<String, EndpointEvidence>,
}

impl Aggregator {
    /// Records the observations of one frame, which arrived now. `transit` is the longest time for which it can have
    /// been in transit.
    pub fn record(
        &mut self, now: Nanos, peer: PeerId, transit: Nanos, observations: Vec<EndpointObservation>,
    ) {
        for EndpointObservation { uid, finding, age } in observations {
            let evidence = Evidence::dated(now, transit, age, finding);
            if evidence.expires_at() <= now || !self.has_capacity_for(now, &uid) {
                continue;
            }
            self.endpoints.entry(uid).or_default().record(Topic::of(&finding), peer, evidence);
        }
    }

    /// Whether the endpoint is in the table or can be added. A full table drops expired endpoints first; if there are
    /// none, the new one is ignored, so that one peer cannot displace what others observed.
    fn has_capacity_for(&mut self, now: Nanos, uid: &str) -> bool {
        if self.endpoints.contains_key(uid) {
            return true;
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| endpoint.by_peer.values().any(|e| e.expires_at() > now));
        }
        self.endpoints.len() < MAX_ENDPOINTS
    }

    /// What counts now and has changed, or was last handed over a while ago.
    pub fn due(&mut self, now: Nanos) -> Vec<EndpointObservation> {
        let mut due = Vec::new();
        self.endpoints.retain(|uid, endpoint| {
            endpoint.by_peer.retain(|_, evidence| evidence.expires_at() > now);
            if endpoint.has_changed || (now - endpoint.handed_over_at).secs() >= REPEAT_SECS {
                endpoint.handed_over_at = now;
                endpoint.has_changed = false;
                due.extend(endpoint.aggregate().map(|evidence| EndpointObservation {
                    uid: uid.clone(),
                    finding: evidence.at(now),
                    age: now - evidence.observed_at,
                }));
            }
            !endpoint.by_peer.is_empty()
        });
        due
    }

    /// Number of endpoints in the table.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

#[cfg(test)]
mod tests;
