//! Slow start of endpoints that return from an outage, and the rate limit of suspected endpoints.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl EndpointRecord {
    /// Starts the slow start at this time. `draw`, a random number from 0 to 1, is the initial fraction of a
    /// token.
    pub(super) fn start_slow_start(&mut self, at: Nanos, draw: f64) {
        self.breaker = CircuitBreaker::SlowStart { since: at };
        self.bucket = TokenBucket { level: draw, refilled_at: at };
        self.failure_share = 0.0;
    }

    /// Returns the calls per second that may be sent to a suspected or returning endpoint. The rate must not
    /// overload the endpoint during or after an outage: apart from a small minimum, it is this forwarder's
    /// own demand, multiplied by the share of capacity that has returned and by the overload multiple that
    /// the endpoint tolerates. If all forwarders do this, the sum of their rates is what the endpoint can
    /// handle.
    pub(super) fn slow_start_rate(&self, settings: &Settings, now: Nanos, demand: f64) -> f64 {
        let since = match self.breaker {
            CircuitBreaker::SlowStart { since } => since,
            CircuitBreaker::Closed | CircuitBreaker::Open { .. } => now,
        };
        let warm_up_progress =
            ((now - since).secs() / settings.warm_up.secs().max(MIN_WARM_UP_SECS)).min(1.0);
        let cold_share = settings.cold_capacity_share;
        let share =
            (cold_share + (1.0 - cold_share) * warm_up_progress) * settings.overload_multiple.max(1.0);
        (demand * share).max(MIN_SLOW_START_RATE / settings.forwarders.max(1) as f64)
    }

    /// Refills the tokens of a suspected or returning endpoint.
    pub(super) fn refill(&mut self, settings: &Settings, now: Nanos, demand: f64) {
        self.limited_rate = self.slow_start_rate(settings, now, demand);
        let depth = (self.limited_rate * BURST_SECS).max(self.bucket.level).max(1.0);
        self.bucket.refill(now, self.limited_rate, depth);
    }

    /// Closes the breaker once the endpoint has warmed up. Returns whether it did.
    pub(super) fn end_slow_start(&mut self, now: Nanos, warm_up: Nanos) -> bool {
        let is_over = matches!(self.breaker, CircuitBreaker::SlowStart { since } if now - since >= warm_up);
        if is_over {
            self.breaker = CircuitBreaker::Closed;
        }
        is_over
    }
}

impl Balancer {
    /// Returns the demand at an endpoint from which its rate in slow start follows, in calls per second.
    pub(super) fn slow_start_demand(&self, destination: &DestinationQueue, endpoint: &EndpointRecord) -> f64 {
        let is_returning = matches!(endpoint.breaker, CircuitBreaker::SlowStart { .. });
        let equal_share = if is_returning && self.settings.listed_rates == ListedRates::Nominal {
            endpoint.listed_rate * EQUAL_SHARE_DEMAND_FACTOR / self.settings.forwarders.max(1) as f64
        } else {
            0.0
        };
        destination.demand.max(equal_share) / destination.endpoints.len().max(1) as f64
    }

    /// Reports that the health of an endpoint has changed.
    pub(super) fn report_health(&mut self, host: EndpointId, reason: HealthReason) {
        let Some(endpoint) = self.endpoints.get(&host) else { return };
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return };
        let health = endpoint.health();
        let demand = self.slow_start_demand(destination, endpoint);
        let is_limited = health != EndpointHealth::Healthy;
        let rate = is_limited.then(|| endpoint.slow_start_rate(&self.settings, self.now, demand));
        let has_responded = endpoint.last_response_at > Nanos(0);
        let last_response_age = has_responded.then(|| self.now - endpoint.last_response_at);
        let change = HealthChange { host, health, reason, rate, last_response_age };
        self.actions.push(Action::HealthChanged(change));
    }
}
