//! What neighbours say, weighed, without I/O: who saw what and when, by this forwarder's own clock; which of several
//! that disagree counts; and for how long. What this forwarder has seen itself is the decision module's to weigh
//! against it: own experience wins there unless it is older.
//!
//! | news | counts for | where neighbours disagree |
//! | --- | --- | --- |
//! | out | as long as the outage had lasted when it was seen, from 2 s to a minute | the youngest sight wins; two within a second of each other count as bad |
//! | back | half a minute: it is a reason for less, not for more | the same; of two that say so, the later start |
//! | well | a second | the same |
//! | wait | to the end that the partner told | the latest end |
//! | pace, room | ten seconds | the youngest sight |
use super::frame::EndpointObservation;
use crate::interface::{Finding, Nanos};
use std::collections::BTreeMap;

/// Bad news counts at the least and at the most for so long, in seconds.
const OUT_LEAST: f64 = 2.0;
const OUT_MOST: f64 = 60.0;
/// A start that is longer ago is a cold one no more, in seconds.
const BACK: f64 = 30.0;
/// Good news ages fast: a partner may have gone cold since. In seconds.
const WELL: f64 = 1.0;
/// A limit that was met is soon another, in seconds.
const LIMIT: f64 = 10.0;
/// Two sights this close, in seconds, tell nothing of which was later: path and build times differ by more.
const TOGETHER: f64 = 1.0;
/// What counts is said again after so long, in seconds, for endpoints that discovery lists only now.
const AGAIN: f64 = 1.0;
/// No wait of a partner is longer, in seconds; a neighbour that says so is not believed.
const WAIT_MOST: f64 = 600.0;

/// Endpoints of which something is kept, and neighbours of which it is kept for each.
const ENDPOINTS_MOST: usize = 20_000;
const NEIGHBOURS_MOST: usize = 8;

/// A neighbour, by a number that a restart under the same name does not keep.
pub type PeerId = u64;

/// What news is about: of each only the last counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    State,
    Wait,
    Pace,
    Room,
}

/// What a neighbour saw, in this forwarder's own time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sight {
    Out { began: Nanos, risky: bool },
    Back { began: Nanos },
    Well { mean: f64, dev: f64 },
    Wait { until: Nanos },
    Pace { rate: f64 },
    Room { calls: f64 },
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Nanos,
    sight: Sight,
}

impl Seen {
    /// Until when it counts.
    fn until(&self) -> Nanos {
        match self.sight {
            Sight::Out { began, .. } => self.at + (self.at - began).secs().clamp(OUT_LEAST, OUT_MOST),
            Sight::Back { .. } => self.at + BACK,
            Sight::Well { .. } => self.at + WELL,
            Sight::Wait { until } => until,
            Sight::Pace { .. } | Sight::Room { .. } => self.at + LIMIT,
        }
    }

    fn topic(&self) -> Topic {
        match self.sight {
            Sight::Out { .. } | Sight::Back { .. } | Sight::Well { .. } => Topic::State,
            Sight::Wait { .. } => Topic::Wait,
            Sight::Pace { .. } => Topic::Pace,
            Sight::Room { .. } => Topic::Room,
        }
    }

    /// How bad it is: of two sights at once the worse one counts.
    fn badness(&self) -> u8 {
        match self.sight {
            Sight::Out { .. } => 2,
            Sight::Back { .. } => 1,
            Sight::Well { .. } | Sight::Wait { .. } | Sight::Pace { .. } | Sight::Room { .. } => 0,
        }
    }
}

#[derive(Default)]
struct Endpoint {
    seen: BTreeMap<(Topic, PeerId), Seen>,
    /// When it was last said, and whether there is something new since.
    said: Nanos,
    fresh: bool,
}

/// All that neighbours said and that may still count.
#[derive(Default)]
pub struct Aggregator {
    endpoints: BTreeMap<String, Endpoint>,
}

impl Aggregator {
    /// Takes in what a neighbour told. `way` is the longest that the frame can have been on its way: all in it is
    /// that much older, and a wait has that much less left, so that it never ends later than the partner said.
    pub fn take(&mut self, now: Nanos, from: PeerId, way: Nanos, items: Vec<EndpointObservation>) {
        for item in items {
            let at = now - item.age - way;
            let sight = match item.finding {
                Finding::Outage { since, risky } => Sight::Out { began: now - way - since, risky },
                Finding::Recovering { since } => Sight::Back { began: now - way - since },
                Finding::Healthy { mean, dev } => Sight::Well { mean, dev },
                Finding::RetryAfter { left } => {
                    let left = left - way;
                    Sight::Wait { until: if left.secs() > WAIT_MOST { now } else { now + left } }
                }
                Finding::RateLimit { rate } => Sight::Pace { rate },
                Finding::ConnectionCapacity { calls } => Sight::Room { calls },
            };
            let seen = Seen { at, sight };
            if seen.until() <= now || !self.make_room(now, &item.uid) {
                continue;
            }
            let endpoint = self.endpoints.entry(item.uid).or_default();
            let key = (seen.topic(), from);
            // What was on its way longer may come later.
            if endpoint.seen.get(&key).is_some_and(|before| before.at > at) {
                continue;
            }
            let crowded = endpoint.seen.keys().filter(|k| k.0 == key.0).count() >= NEIGHBOURS_MOST;
            if crowded && !endpoint.seen.contains_key(&key) {
                let oldest = endpoint.seen.iter().filter(|(k, _)| k.0 == key.0).min_by_key(|(_, s)| s.at);
                let oldest = oldest.map(|(k, _)| *k);
                oldest.map(|k| endpoint.seen.remove(&k));
            }
            endpoint.seen.insert(key, seen);
            endpoint.fresh = true;
        }
    }

    /// Whether there is a place for this endpoint. When all are taken those that no longer count go; if none does,
    /// the new one is not taken in: a neighbour cannot push out what others said.
    fn make_room(&mut self, now: Nanos, uid: &str) -> bool {
        if self.endpoints.len() >= ENDPOINTS_MOST && !self.endpoints.contains_key(uid) {
            self.endpoints.retain(|_, e| e.seen.values().any(|s| s.until() > now));
        }
        self.endpoints.len() < ENDPOINTS_MOST || self.endpoints.contains_key(uid)
    }

    /// What counts now and is new, or has not been said for a while.
    pub fn counts(&mut self, now: Nanos) -> Vec<EndpointObservation> {
        let mut items = Vec::new();
        self.endpoints.retain(|uid, endpoint| {
            endpoint.seen.retain(|_, s| s.until() > now);
            if endpoint.fresh || (now - endpoint.said).secs() >= AGAIN {
                (endpoint.said, endpoint.fresh) = (now, false);
                items.extend(endpoint.counts(now).map(|(finding, age)| EndpointObservation {
                    uid: uid.clone(),
                    finding,
                    age,
                }));
            }
            !endpoint.seen.is_empty()
        });
        items
    }

    /// How many endpoints something is kept of.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

impl Endpoint {
    fn of(&self, topic: Topic) -> impl Iterator<Item = &Seen> {
        self.seen.iter().filter(move |(k, _)| k.0 == topic).map(|(_, s)| s)
    }

    fn counts(&self, now: Nanos) -> impl Iterator<Item = (Finding, Nanos)> {
        let youngest = |topic| self.of(topic).max_by_key(|s| s.at).copied();
        let latest = self.of(Topic::Wait).max_by_key(|s| s.until()).copied();
        [self.state(), latest, youngest(Topic::Pace), youngest(Topic::Room)]
            .into_iter()
            .flatten()
            .map(move |s| (s.finding(now), now - s.at))
    }

    fn state(&self) -> Option<Seen> {
        let last = self.of(Topic::State).map(|s| s.at).max()?;
        let together = |s: &&Seen| (last - s.at).secs() <= TOGETHER;
        let worst = self.of(Topic::State).filter(together).map(Seen::badness).max()?;
        let alike: Vec<Seen> =
            self.of(Topic::State).filter(together).filter(|s| s.badness() == worst).copied().collect();
        let mut state = *alike.iter().max_by_key(|s| s.at)?;
        for other in &alike {
            state.sight = match (state.sight, other.sight) {
                (Sight::Out { began, risky }, Sight::Out { risky: r, .. }) => {
                    Sight::Out { began, risky: risky | r }
                }
                (Sight::Back { began }, Sight::Back { began: b }) => Sight::Back { began: began.max(b) },
                (sight, _) => sight,
            };
        }
        Some(state)
    }
}

impl Seen {
    fn finding(&self, now: Nanos) -> Finding {
        match self.sight {
            Sight::Out { began, risky } => Finding::Outage { since: now - began, risky },
            Sight::Back { began } => Finding::Recovering { since: now - began },
            Sight::Well { mean, dev } => Finding::Healthy { mean, dev },
            Sight::Wait { until } => Finding::RetryAfter { left: until - now },
            Sight::Pace { rate } => Finding::RateLimit { rate },
            Sight::Room { calls } => Finding::ConnectionCapacity { calls },
        }
    }
}

#[cfg(test)]
mod tests;
