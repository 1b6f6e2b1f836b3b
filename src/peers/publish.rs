//! What of its own experience a forwarder still has to tell one neighbour, without I/O: all of it at first, then what
//! changed.
use super::frame::EndpointObservation;
use crate::interface::{Finding, Nanos};
use std::collections::HashMap;
use std::mem::{discriminant, Discriminant};

/// Finding that only grew older is told anew after so long, in seconds: a sight of a second ago counts for more than one
/// of a minute ago, and more often is more bytes for little.
const AFRESH: f64 = 1.0;
/// That an endpoint is well, and how fast, is worth less.
const WELL_AFRESH: f64 = 5.0;
/// A pace or a latency that moved by less, as a share, is the same.
const SAME: f64 = 0.2;
/// Two ends of one wait, or two beginnings of one outage, in seconds.
const SAME_TIME: f64 = 0.05;

/// One thing that was told, in this forwarder's own time.
struct Told {
    finding: Finding,
    /// When it was seen, and when it was told.
    seen: Nanos,
    at: Nanos,
}

/// What one neighbour has been told.
#[derive(Default)]
pub struct PublicationState {
    told: HashMap<(String, Discriminant<Finding>), Told>,
}

impl PublicationState {
    /// What is to be told now of all that is known.
    pub fn due(&mut self, now: Nanos, known: &[EndpointObservation]) -> Vec<EndpointObservation> {
        let mut due = Vec::new();
        for item in known {
            let key = (item.uid.clone(), topic(&item.finding));
            let seen = now - item.age;
            if self.told.get(&key).is_some_and(|t| !t.needs(now, seen, &item.finding)) {
                continue;
            }
            self.told.insert(key, Told { finding: item.finding, seen, at: now });
            due.push(item.clone());
        }
        // Bounded by what is known: what is known no more is forgotten here too.
        if self.told.len() > 2 * known.len() + 64 {
            let keys: std::collections::HashSet<_> =
                known.iter().map(|i| (i.uid.clone(), topic(&i.finding))).collect();
            self.told.retain(|key, _| keys.contains(key));
        }
        due
    }
}

/// Out, back and well are states of one thing; of each thing only the last word counts.
fn topic(finding: &Finding) -> Discriminant<Finding> {
    match finding {
        Finding::Outage { .. } | Finding::Recovering { .. } | Finding::Healthy { .. } => {
            discriminant(&Finding::Recovering { since: Nanos(0) })
        }
        Finding::RetryAfter { .. } | Finding::RateLimit { .. } | Finding::ConnectionCapacity { .. } => {
            discriminant(finding)
        }
    }
}

impl Told {
    fn needs(&self, now: Nanos, seen: Nanos, finding: &Finding) -> bool {
        let apart = |a: f64, b: f64| (a - b).abs() > SAME * b.abs().max(1e-6);
        // A span of now against one that was told then.
        let moved =
            |then: Nanos, now_: f64| (self.at.secs() + then.secs() - now.secs() - now_).abs() > SAME_TIME;
        let began = |then: Nanos, now_: Nanos| {
            ((self.at.secs() - then.secs()) - (now.secs() - now_.secs())).abs() > SAME_TIME
        };
        let afresh = seen > self.seen && (now - self.at).secs() >= AFRESH;
        match (self.finding, *finding) {
            (Finding::Outage { since: a, risky: r }, Finding::Outage { since: b, risky }) => {
                began(a, b) || r != risky || afresh
            }
            (Finding::Recovering { since: a }, Finding::Recovering { since: b }) => began(a, b) || afresh,
            (Finding::Healthy { mean: a, .. }, Finding::Healthy { mean: b, .. }) => {
                let long = (now - self.at).secs() >= WELL_AFRESH && seen > self.seen;
                long || apart(b, a) && (now - self.at).secs() >= AFRESH
            }
            (Finding::RetryAfter { left: a }, Finding::RetryAfter { left: b }) => moved(a, b.secs()),
            (Finding::RateLimit { rate: a }, Finding::RateLimit { rate: b }) => {
                apart(b, a) && seen > self.seen || afresh
            }
            (Finding::ConnectionCapacity { calls: a }, Finding::ConnectionCapacity { calls: b }) => {
                apart(b, a) || afresh
            }
            (_, _) => true,
        }
    }
}

#[cfg(test)]
mod tests;
