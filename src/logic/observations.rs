//! The exchange of observations with peers: reports local observations and applies those of peers.
//!
//! A peer's observation has the same effect as a local outcome, and only if no newer local outcome exists. It
//! never lifts a restriction: an unknown endpoint already counts as healthy, so a favourable observation can
//! at most mark it as warming up, and a false one costs at most one trial.
use super::tuning::{MIN_PEER_PACE, PEER_TRIAL_SPREAD_SECS};
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Returns the local observations with their ages. Observations received from peers are not included,
    /// because passing them on would keep outdated observations alive.
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

    /// Returns whether regular messages are kept away from this endpoint because calls fail there and only
    /// trials are sent.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        self.endpoints
            .get(&endpoint)
            .is_some_and(|endpoint| matches!(endpoint.breaker, CircuitBreaker::Open { .. }))
    }

    /// Applies a peer's observation.
    pub(super) fn apply_peer_observation(&mut self, observation: &Observation) {
        // Drawn for every observation, so that the sequence of random numbers does not depend on the known
        // endpoints.
        let draw = self.random.next();
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&observation.host) else { return };
        let health_before = endpoint.health();
        let route = self.routes.entry(endpoint.route).or_default();
        let seen_at = now - observation.age;
        match observation.finding {
            Finding::RetryAfter { left } => route.record_peer_retry_after(now, left),
            Finding::RateLimit { rate } if route.reduced_at < seen_at && rate.is_finite() => {
                route.apply_peer_pace(now, rate)
            }
            // Local outcomes take precedence over a peer's observation unless they are older.
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
        let Some(endpoint) = self.endpoints.get_mut(&observation.host) else { return };
        if endpoint.health() != health_before {
            endpoint.permits.restart(now, &mut self.permit_random);
            self.report_health(observation.host, HealthReason::PeerObservation);
        }
    }
}

impl EndpointRecord {
    /// Records a local outcome. From now on the breaker's state counts as locally observed. A capacity or a
    /// latency from a peer counts as local only once a local outcome replaces it.
    pub(super) fn record_local_outcome(&mut self, now: Nanos, outcome: Outcome) {
        // These outcomes say nothing about the endpoint.
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
            // Makes the sample that follows the first one.
            self.latency.mean = 0.0;
        }
    }

    /// Returns the locally observed health of the endpoint and the time of the observation.
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
            _ if self.latency.mean > 0.0 && self.last_response_at > Nanos(0) => {
                let finding = Finding::Healthy { mean: self.latency.mean, dev: self.latency.deviation };
                Some((finding, self.last_response_at))
            }
            _ => None,
        }
    }

    /// Applies an outage reported by a peer: only trials are sent, the first one soon and at a random time.
    fn apply_peer_outage(&mut self, now: Nanos, since: Nanos, may_lose_calls: bool, draw: f64) {
        if matches!(self.breaker, CircuitBreaker::Open { .. }) {
            return;
        }
        self.breaker = CircuitBreaker::Open {
            since: now - since,
            next_trial: now + PEER_TRIAL_SPREAD_SECS * draw,
            may_lose_calls,
        };
        self.breaker_from_peer = true;
    }

    /// Applies a recovery reported by a peer.
    fn apply_peer_recovery(&mut self, now: Nanos, since: Nanos, warm_up: Nanos, draw: f64) {
        match &mut self.breaker {
            // A local trial must confirm the recovery. It is scheduled soon, but at a random time, so that
            // forwarders do not all try at once.
            CircuitBreaker::Open { next_trial, .. } => {
                *next_trial = (*next_trial).min(now + PEER_TRIAL_SPREAD_SECS * draw);
            }
            CircuitBreaker::Closed if since < warm_up => {
                self.breaker = CircuitBreaker::SlowStart { since: now - since };
                self.breaker_from_peer = true;
            }
            // If peers report different start times, the later one is the safe choice.
            CircuitBreaker::SlowStart { since: at } if self.breaker_from_peer => {
                *at = (*at).max(now - since);
            }
            CircuitBreaker::SlowStart { .. } | CircuitBreaker::Closed => {}
        }
    }

    /// Adopts the latency that a peer measured if no local latency is known.
    fn apply_peer_latency(&mut self, mean: f64, deviation: f64) {
        let sensible = mean.is_finite() && deviation.is_finite() && mean > 0.0 && deviation >= 0.0;
        if self.latency.mean == 0.0 && sensible {
            self.latency = Latency { mean, deviation, lowest_mean: mean };
            self.latency_from_peer = true;
        }
    }
}

impl Route {
    /// Adopts the pace of a peer if the route is not paced here.
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
