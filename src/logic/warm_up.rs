//! Slow start of endpoints that return from an outage, and the rate limit of suspected endpoints.
use super::tuning::*;
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

    /// Refills the tokens of a suspected or returning endpoint. The rate must not overload the endpoint
    /// during or after an outage: apart from a small minimum, it is this forwarder's own demand, multiplied
    /// by the share of capacity that has returned and by the overload multiple that the endpoint tolerates.
    /// If all forwarders do this, the sum of their rates is what the endpoint can handle.
    pub(super) fn refill(&mut self, settings: &Settings, now: Nanos, demand: f64) {
        let since = match self.breaker {
            CircuitBreaker::SlowStart { since } => since,
            CircuitBreaker::Closed | CircuitBreaker::Open { .. } => now,
        };
        let warm_up_progress =
            ((now - since).secs() / settings.warm_up.secs().max(MIN_WARM_UP_SECS)).min(1.0);
        let cold_share = settings.cold_capacity_share;
        let share =
            (cold_share + (1.0 - cold_share) * warm_up_progress) * settings.overload_multiple.max(1.0);
        self.limited_rate = (demand * share).max(MIN_SLOW_START_RATE / settings.forwarders.max(1) as f64);
        let depth = (self.limited_rate * BURST_SECS).max(self.bucket.level).max(1.0);
        self.bucket.refill(now, self.limited_rate, depth);
    }

    /// Closes the breaker once the endpoint has warmed up.
    pub(super) fn end_slow_start(&mut self, now: Nanos, warm_up: Nanos) {
        if matches!(self.breaker, CircuitBreaker::SlowStart { since } if now - since >= warm_up) {
            self.breaker = CircuitBreaker::Closed;
        }
    }
}
