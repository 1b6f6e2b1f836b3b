//! What a module tells of its own experience, and what it makes of a neighbour's. A hint becomes what an own outcome
//! would have made of it, and only where there is no younger own one; it frees nothing: an unknown host counts as well,
//! so good news can only make it a cold one, and the worst that false news costs is one trial.
use crate::interface::*;
use crate::logic::Balancer;
use crate::state::{Breaker, Bucket, Host, Route};

/// The first trial after a hint of an outage goes out at a moment of this span, in seconds, drawn anew by each
/// forwarder: those that learn of it together do not try together.
const TRIAL_WITHIN: f64 = 2.0;
/// A pace learned from a neighbour is not lower than this, in calls a second: it would take too long to rise.
const PACE_LEAST: f64 = 0.5;

impl Balancer {
    /// What this module has seen itself, with its age. What it has from neighbours is not among it, so that no echo
    /// keeps a rumour alive.
    pub fn observations(&self, now: Nanos) -> Vec<Observation> {
        let mut hints = Vec::new();
        for (id, h) in &self.hosts {
            let Some(own_at) = h.own_at else { continue };
            let mut add = |finding, at: Nanos| hints.push(Observation { host: *id, finding, age: now - at });
            match h.breaker {
                Breaker::Open { since, risky, .. } if !h.hearsay => {
                    add(Finding::Outage { since: now - since.max(h.own_since), risky }, own_at)
                }
                Breaker::Ramp { since } if !h.hearsay => {
                    add(Finding::Recovering { since: now - since.max(h.own_since) }, own_at)
                }
                _ if h.mean > 0.0 && h.heard > Nanos(0) => {
                    add(Finding::Healthy { mean: h.mean, dev: h.dev }, h.heard)
                }
                _ => {}
            }
            if let Some(room) = h.room.filter(|_| !h.room_hearsay) {
                add(Finding::ConnectionCapacity { calls: room }, own_at);
            }
            let Some(r) = self.routes.get(&h.route) else { continue };
            if r.own_wait > now {
                add(Finding::RetryAfter { left: r.own_wait - now }, r.cut_at);
            }
            if let Some(rate) = r.pace.filter(|_| !r.hearsay) {
                add(Finding::RateLimit { rate }, r.cut_at);
            }
        }
        hints
    }

    /// Whether usual messages are kept from this host by choice: calls fail there, and only trials go.
    pub fn is_avoided(&self, host: EndpointId) -> bool {
        self.hosts.get(&host).is_some_and(|h| matches!(h.breaker, Breaker::Open { .. }))
    }

    /// Takes a neighbour's word.
    pub(crate) fn hint(&mut self, hint: &Observation) {
        let (now, luck) = (self.now, self.random.next());
        let Some(host) = self.hosts.get_mut(&hint.host) else { return };
        let route = self.routes.entry(host.route).or_default();
        let seen = now - hint.age;
        match hint.finding {
            Finding::RetryAfter { left } => route.told_another(now, left),
            Finding::RateLimit { rate } if route.cut_at < seen && rate.is_finite() => route.paced(now, rate),
            // Own experience wins over hearsay unless it is older.
            _ if host.own_at.is_some_and(|at| at >= seen) => {}
            Finding::Outage { since, risky } => host.hear_out(now, since, risky, luck),
            Finding::Recovering { since } => host.hear_back(now, since, self.set.warm_up, luck),
            Finding::Healthy { mean, dev } => host.hear_well(mean, dev),
            Finding::ConnectionCapacity { calls } if host.room.is_none() && calls.is_finite() => {
                (host.room, host.room_hearsay) = (Some(calls.max(1.0)), true);
            }
            Finding::ConnectionCapacity { .. } | Finding::RateLimit { .. } => {}
        }
    }
}

impl Host {
    /// An own outcome: from now on what is known here is own experience, whatever it was before.
    pub(crate) fn saw(&mut self, now: Nanos, outcome: Outcome) {
        // These say nothing of the host.
        if matches!(outcome, Outcome::Cancelled | Outcome::Skipped | Outcome::NotSent) {
            return;
        }
        if self.hearsay || self.own_at.is_none() {
            self.own_since = now;
        }
        (self.own_at, self.hearsay) = (Some(now), false);
        self.room_hearsay &= outcome != Outcome::ConnectionLimit;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) && std::mem::take(&mut self.mean_hearsay) {
            // The sample that follows is the first.
            self.mean = 0.0;
        }
    }

    fn hear_out(&mut self, now: Nanos, since: Nanos, risky: bool, luck: f64) {
        if matches!(self.breaker, Breaker::Open { .. }) {
            return;
        }
        self.breaker = Breaker::Open { since: now - since, next: now + TRIAL_WITHIN * luck, risky };
        self.bucket = Bucket { level: 1.0, at: now };
        self.hearsay = true;
    }

    fn hear_back(&mut self, now: Nanos, since: Nanos, warm_up: Nanos, luck: f64) {
        match &mut self.breaker {
            // A trial of its own says whether it is so: soon, and not with all others at once.
            Breaker::Open { next, .. } => *next = (*next).min(now + TRIAL_WITHIN * luck),
            Breaker::Closed if since < warm_up => {
                self.breaker = Breaker::Ramp { since: now - since };
                self.bucket = Bucket { level: luck, at: now };
                self.hearsay = true;
            }
            // Where neighbours disagree on the moment, the later one is the safe one.
            Breaker::Ramp { since: at } if self.hearsay => *at = (*at).max(now - since),
            Breaker::Ramp { .. } | Breaker::Closed => {}
        }
    }

    fn hear_well(&mut self, mean: f64, dev: f64) {
        if self.mean == 0.0 && mean.is_finite() && dev.is_finite() && mean > 0.0 && dev >= 0.0 {
            (self.mean, self.dev, self.best, self.mean_hearsay) = (mean, dev, mean, true);
        }
    }
}

impl Route {
    fn paced(&mut self, now: Nanos, rate: f64) {
        if self.pace.is_none() {
            let rate = rate.max(PACE_LEAST);
            (self.pace, self.low, self.top) = (Some(rate), rate, rate);
            (self.low_at, self.hearsay) = (now, true);
            self.bucket.level = self.bucket.level.min(1.0);
            self.bucket.at = now;
        }
    }
}

#[cfg(test)]
mod tests;
