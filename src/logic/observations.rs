//! Observations exchanged with peers: what this module reports of its own experience, and what it makes of a
//! peer's.
//!
//! A peer's observation has the effect that an own outcome would have had, and only where there is no younger
//! own one. It frees nothing: an unknown endpoint counts as healthy, so a good observation can only make it a
//! warming one, and the worst that a false one costs is one trial.
use super::tuning::{MIN_PEER_PACE, PEER_TRIAL_SPREAD_SECS};
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// What this module has seen itself, with its age. What it has from peers is not included, so that no
    /// echo keeps an outdated observation alive.
    pub fn observations(&self, now: Nanos) -> Vec<Observation> {
        let mut observations = Vec::new();
        for (id, endpoint) in &self.endpoints {
            let Some(local_outcome_at) = endpoint.local_outcome_at else { continue };
            let mut add = |finding, seen_at: Nanos| {
                observations.push(Observation { host: *id, finding, age: now - seen_at });
            };
            if let Some((finding, seen_at)) = endpoint.local_health(now, local_outcome_at) {
                add(finding, seen_at);
            }
            if let Some(calls) = endpoint.capacity.filter(|_| !endpoint.capacity_from_peer) {
                add(Finding::ConnectionCapacity { calls }, local_outcome_at);
            }
            let Some(route) = self.routes.get(&endpoint.route) else { continue };
            if route.local_retry_after_until > now {
                add(Finding::RetryAfter { left: route.local_retry_after_until - now }, route.reduced_at);
            }
            if let Some(rate) = route.pace.filter(|_| !route.pace_from_peer) {
                add(Finding::RateLimit { rate }, route.reduced_at);
            }
        }
        observations
    }

    /// Whether usual messages are kept from this endpoint by choice: calls fail there, and only trials go.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        self.endpoints
            .get(&endpoint)
            .is_some_and(|endpoint| matches!(endpoint.breaker, CircuitBreaker::Open { .. }))
    }

    /// Takes in a peer's observation.
    pub(super) fn apply_peer_observation(&mut self, observation: &Observation) {
        // Drawn for every observation, so that the sequence of random numbers does not depend on what is
        // known.
        let draw = self.random.next();
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&observation.host) else { return };
        let route = self.routes.entry(endpoint.route).or_default();
        let seen_at = now - observation.age;
        match observation.finding {
            Finding::RetryAfter { left } => route.record_peer_retry_after(now, left),
            Finding::RateLimit { rate } if route.reduced_at < seen_at && rate.is_finite() => {
                route.apply_peer_pace(now, rate)
            }
            // Own experience wins over a peer's unless it is older.
            _ if endpoint.local_outcome_at.is_some_and(|at| at >= seen_at) => {}
            Finding::Outage { since, risky } => endpoint.apply_peer_outage(now, since, risky, draw),
            Finding::Recovering { since } => {
                endpoint.apply_peer_recovery(now, since, self.settings.warm_up, draw)
            }
            Finding::Healthy { mean, dev } => endpoint.apply_peer_latency(mean, dev),
            Finding::ConnectionCapacity { calls } if endpoint.capacity.is_none() && calls.is_finite() => {
                endpoint.capacity = Some(calls.max(1.0));
                endpoint.capacity_from_peer = true;
            }
            Finding::ConnectionCapacity { .. } | Finding::RateLimit { .. } => {}
        }
    }
}

impl EndpointRecord {
    /// Notes an own outcome: from now on what is known here is own experience, whatever it was before.
    pub(super) fn record_local_outcome(&mut self, now: Nanos, outcome: Outcome) {
        // These say nothing of the endpoint.
        if matches!(outcome, Outcome::Cancelled | Outcome::Skipped | Outcome::NotSent) {
            return;
        }
        if self.breaker_from_peer || self.local_outcome_at.is_none() {
            self.local_since = now;
        }
        self.local_outcome_at = Some(now);
        self.breaker_from_peer = false;
        if outcome == Outcome::ConnectionLimit {
            self.capacity_from_peer = false;
        }
        if self.latency_from_peer && matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.latency_from_peer = false;
            // The sample that follows is the first.
            self.latency.mean = 0.0;
        }
    }

    /// What own experience says of its health, and when it was seen.
    fn local_health(&self, now: Nanos, local_outcome_at: Nanos) -> Option<(Finding, Nanos)> {
        match self.breaker {
            CircuitBreaker::Open { since, may_lose_calls, .. } if !self.breaker_from_peer => {
                let since = now - since.max(self.local_since);
                Some((Finding::Outage { since, risky: may_lose_calls }, local_outcome_at))
            }
            CircuitBreaker::SlowStart { since } if !self.breaker_from_peer => {
                let since = now - since.max(self.local_since);
                Some((Finding::Recovering { since }, local_outcome_at))
            }
            _ if self.latency.mean > 0.0 && self.last_answer_at > Nanos(0) => {
                let finding = Finding::Healthy { mean: self.latency.mean, dev: self.latency.deviation };
                Some((finding, self.last_answer_at))
            }
            _ => None,
        }
    }

    /// A peer met an outage: only trials go, the first one soon and at a random moment.
    fn apply_peer_outage(&mut self, now: Nanos, since: Nanos, may_lose_calls: bool, draw: f64) {
        if matches!(self.breaker, CircuitBreaker::Open { .. }) {
            return;
        }
        self.breaker = CircuitBreaker::Open {
            since: now - since,
            next_trial: now + PEER_TRIAL_SPREAD_SECS * draw,
            may_lose_calls,
        };
        self.bucket = TokenBucket { level: 1.0, refilled_at: now };
        self.breaker_from_peer = true;
    }

    /// A peer was served again after an outage.
    fn apply_peer_recovery(&mut self, now: Nanos, since: Nanos, warm_up: Nanos, draw: f64) {
        match &mut self.breaker {
            // A trial of its own shows whether it is so: soon, and not at the same time as all others.
            CircuitBreaker::Open { next_trial, .. } => {
                *next_trial = (*next_trial).min(now + PEER_TRIAL_SPREAD_SECS * draw);
            }
            CircuitBreaker::Closed if since < warm_up => {
                self.breaker = CircuitBreaker::SlowStart { since: now - since };
                self.bucket = TokenBucket { level: draw, refilled_at: now };
                self.breaker_from_peer = true;
            }
            // Where peers disagree on the moment, the later one is the safe one.
            CircuitBreaker::SlowStart { since: at } if self.breaker_from_peer => {
                *at = (*at).max(now - since);
            }
            CircuitBreaker::SlowStart { .. } | CircuitBreaker::Closed => {}
        }
    }

    /// Takes in the latency that a peer measured, where none is known.
    fn apply_peer_latency(&mut self, mean: f64, deviation: f64) {
        let sensible = mean.is_finite() && deviation.is_finite() && mean > 0.0 && deviation >= 0.0;
        if self.latency.mean == 0.0 && sensible {
            self.latency = Latency { mean, deviation, lowest_mean: mean };
            self.latency_from_peer = true;
        }
    }
}

impl Route {
    /// Takes over the pace of a peer, where the own one is free.
    fn apply_peer_pace(&mut self, now: Nanos, rate: f64) {
        if self.pace.is_some() {
            return;
        }
        let rate = rate.max(MIN_PEER_PACE);
        self.pace = Some(rate);
        self.reduced_pace = rate;
        self.rejected_rate = rate;
        self.reduced_pace_at = now;
        self.pace_from_peer = true;
        self.bucket.level = self.bucket.level.min(1.0);
        self.bucket.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
