//! Token bucket: one token is one call.
use crate::interface::Nanos;

/// Least rate that a wait is computed with, in tokens a second, so that no division by zero occurs.
const MIN_RATE: f64 = 1e-3;

/// A token bucket. Rate and depth are passed with each refill, since both change over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    /// Tokens at hand; negative after calls that were not limited.
    pub level: f64,
    /// When it was last refilled.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// Adds the tokens of the time since the last refill. `rate` is in tokens a second.
    pub fn refill(&mut self, now: Nanos, rate: f64, depth: f64) {
        self.level = (self.level + rate * (now - self.refilled_at).secs()).min(depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// When the next whole token is available.
    pub fn next_token(&self, now: Nanos, rate: f64) -> Nanos {
        now + (1.0 - self.level).max(0.0) / rate.max(MIN_RATE)
    }
}
