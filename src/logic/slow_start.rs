//! Slow start of endpoints that return from an outage, and the call rate of endpoints that are not healthy.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// Up to this number of expected calls, the budget allows for `SMALL_BUDGET_DEVIATIONS` of chance.
const SMALL_BUDGET_CALLS: f64 = 30.0;
/// Standard deviations of chance in the budget of fewer than `SMALL_BUDGET_CALLS` calls.
const SMALL_BUDGET_DEVIATIONS: f64 = 3.0;
/// Standard deviations of chance in the budget of at least `SMALL_BUDGET_CALLS` calls.
const BUDGET_DEVIATIONS: f64 = 2.0;

/// Returns the calls that a returning destination tolerates in one overload window (operators' page), if the
/// settings allow `expected` calls in it.
fn call_budget(expected: f64) -> f64 {
    let deviations = if expected < SMALL_BUDGET_CALLS { SMALL_BUDGET_DEVIATIONS } else { BUDGET_DEVIATIONS };
    expected + deviations * expected.sqrt() + deviations
}

/// Returns the mean of a Poisson distribution that exceeds `budget` with `BUDGET_SAFETY_DEVIATIONS` at most.
fn mean_within(budget: f64) -> f64 {
    let half = BUDGET_SAFETY_DEVIATIONS / 2.0;
    ((budget + half * half).sqrt() - half).powi(2)
}

impl Settings {
    /// Returns the calls per second that all forwarders together may send to a destination of this capacity
    /// when `share` of it has returned.
    fn slow_start_rate(&self, capacity: f64, share: f64) -> f64 {
        let window = self.overload_window.secs().max(MIN_WINDOW_SECS);
        let expected = self.overload_multiple.max(1.0) * share * capacity * window;
        mean_within(call_budget(expected)) / window
    }
}

impl EndpointRecord {
    /// Returns the share of its capacity that the endpoint has at least.
    fn returned_share(&self, settings: &Settings, now: Nanos) -> f64 {
        let cold_share = settings.cold_capacity_share;
        match self.breaker {
            CircuitBreaker::SlowStart { since } if self.suspicion.is_none() => {
                let warm_up = settings.warm_up.secs().max(MIN_WARM_UP_SECS);
                cold_share + (1.0 - cold_share) * ((now - since).secs() / warm_up).min(1.0)
            }
            _ => cold_share,
        }
    }

    /// Closes the breaker once the endpoint has warmed up. Returns whether it did. A call that failed during
    /// the warm-up may belong to another outage, so the slow start lasts until a call is served again.
    pub(super) fn end_slow_start(&mut self, now: Nanos, warm_up: Nanos) -> bool {
        let is_warm = matches!(self.breaker, CircuitBreaker::SlowStart { since } if now - since >= warm_up);
        let is_over = is_warm && self.suspicion.is_none();
        if is_over {
            self.breaker = CircuitBreaker::Closed;
        }
        is_over
    }
}

impl Balancer {
    /// Starts the slow start of an endpoint that has served a call.
    pub(super) fn start_slow_start(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.breaker = CircuitBreaker::SlowStart { since: self.now };
        endpoint.suspicion = None;
        endpoint.failure_share = 0.0;
        endpoint.permits.restart(self.now, &mut self.permit_random);
        self.report_health(id, HealthReason::Served);
    }

    /// Restricts the calls to an endpoint that was not healthy when the last process ended. The outage may
    /// still last, so the slow start begins with the first served call.
    pub(super) fn restore_health(&mut self, id: EndpointId, served_rate: f64) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let dest = endpoint.dest;
        if served_rate.is_finite() {
            self.destination(dest).served_calls = ServedRate::held(self.now, served_rate.max(0.0));
        }
        self.suspect(id, SuspicionCause::Outage, HealthReason::Restored);
    }

    /// Returns the calls per second that this forwarder may send to an endpoint that is not healthy.
    ///
    /// Forwarders do not communicate, so each takes a part of the budget such that the parts add up to no
    /// more than the whole, however the traffic is distributed: half of the budget is divided equally, and
    /// the other half by the calls that were served before the outage.
    pub(super) fn slow_start_rate(&self, endpoint: &EndpointRecord) -> f64 {
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return 0.0 };
        let settings = &self.settings;
        let forwarders = settings.forwarders.max(1) as f64;
        let share = endpoint.returned_share(settings, self.now);
        let served = destination.served_calls.at(self.now);
        let capacity = endpoint.listed_rate;
        let has_capacity = settings.listed_rates == ListedRates::Nominal && capacity > 0.0;
        let rate = if has_capacity && capacity.is_finite() {
            let part = EQUAL_PART / forwarders + (1.0 - EQUAL_PART) * (served / capacity).min(1.0);
            part * settings.slow_start_rate(capacity, share)
        } else {
            // Without a capacity, this forwarder's own part of it is what was served, or else its demand.
            let usual = if served > 0.0 { served } else { destination.demand };
            usual * share * settings.overload_multiple.max(1.0) * UNLISTED_BUDGET_SHARE
        };
        let endpoints = if endpoint.route.1.is_some() { 1 } else { destination.endpoints.len().max(1) };
        rate.max(MIN_SLOW_START_RATE / forwarders) / endpoints as f64
    }

    /// Advances the permits of the endpoints of active destinations, and the tokens of their routes.
    pub(super) fn refill_tokens(&mut self) {
        let active = self.active.iter().filter_map(|dest| self.destinations.get(dest));
        let endpoints: Vec<EndpointId> = active.flat_map(|queue| queue.endpoints.iter().copied()).collect();
        for id in endpoints {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            self.routes.entry(endpoint.route).or_default().refill(self.now);
            if endpoint.health() != EndpointHealth::Healthy {
                self.advance_permits(id);
            }
        }
    }

    /// Advances the permits of an endpoint that is not healthy.
    fn advance_permits(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let rate = self.slow_start_rate(endpoint);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.limited_rate = rate;
        endpoint.permits.advance(self.now, rate, &mut self.permit_random);
    }

    /// Starts the wait for permits anew at a destination that becomes active. Valid permits stay.
    pub(super) fn restart_permits(&mut self, dest: DestinationId) {
        let Some(destination) = self.destinations.get(&dest) else { return };
        for id in &destination.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.permits.restart_if_unused(self.now, &mut self.permit_random);
            }
        }
    }

    /// Reports that a call to an endpoint starts, unless the endpoint is healthy.
    pub(super) fn report_restricted_call(&mut self, host: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&host) else { return };
        let health = endpoint.health();
        if health == EndpointHealth::Healthy {
            return;
        }
        let allowance = endpoint.call_allowance(self.now);
        let call = RestrictedCall { host, health, allowance, rate: endpoint.limited_rate };
        self.actions.push(Action::RestrictedCall(call));
    }

    /// Reports that the health of an endpoint has changed, and holds the served rate of its destination while
    /// not all of its endpoints are healthy.
    pub(super) fn report_health(&mut self, host: EndpointId, reason: HealthReason) {
        let Some(endpoint) = self.endpoints.get(&host) else { return };
        let health = endpoint.health();
        let has_responded = endpoint.last_response_at > Nanos(0);
        let last_response_age = has_responded.then(|| self.now - endpoint.last_response_at);
        let dest = endpoint.dest;
        let endpoints = &self.endpoints;
        let is_healthy =
            |id: &EndpointId| endpoints.get(id).is_none_or(|e| e.health() == EndpointHealth::Healthy);
        let Some(destination) = self.destinations.get_mut(&dest) else { return };
        let all_healthy = destination.endpoints.iter().all(is_healthy);
        destination.served_calls.set_held(self.now, !all_healthy);
        let served_rate = destination.served_calls.at(self.now);
        let is_limited = health != EndpointHealth::Healthy;
        let Some(endpoint) = self.endpoints.get(&host) else { return };
        let rate = is_limited.then(|| self.slow_start_rate(endpoint));
        let (listed_rate, failed_calls) = (endpoint.listed_rate, endpoint.failed_calls);
        let change = HealthChange {
            host,
            health,
            reason,
            rate,
            last_response_age,
            served_rate,
            listed_rate,
            failed_calls,
        };
        self.actions.push(Action::HealthChanged(change));
    }
}
