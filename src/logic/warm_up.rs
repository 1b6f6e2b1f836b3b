//! Slow start of endpoints that return from an outage, and the rate of suspected ones.
use super::tuning::*;
use crate::interface::*;
use crate::state::*;

impl EndpointRecord {
    /// Starts the slow start at this time, with a random part of a token.
    pub(super) fn start_slow_start(&mut self, at: Nanos, draw: f64) {
        self.breaker = CircuitBreaker::SlowStart { since: at };
        self.bucket = TokenBucket { level: draw, refilled_at: at };
        self.failure_share = 0.0;
    }

    /// Refills the tokens of a suspected or returning endpoint. Guards against overloading it, in an outage
    /// as after it: it is sent at most this forwarder's own demand, times the share of its capacity that is
    /// back and the multiple that it bears. Where all forwarders do so, the sum is what the endpoint can
    /// take.
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

    /// Closes the breaker once the endpoint is warm.
    pub(super) fn end_slow_start(&mut self, now: Nanos, warm_up: Nanos) {
        if matches!(self.breaker, CircuitBreaker::SlowStart { since } if now - since >= warm_up) {
            self.breaker = CircuitBreaker::Closed;
        }
    }
}
