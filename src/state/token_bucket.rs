//! A token bucket in which one token allows one call.
use crate::interface::Nanos;

/// Lowest rate in tokens per second used to compute a wait; it prevents a division by zero.
const MIN_RATE: f64 = 1e-3;

/// A token bucket. Rate and depth are passed to each refill because both change over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    /// Available tokens; negative after calls that were not limited.
    pub level: f64,
    /// Time of the last refill.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// Adds the tokens for the time since the last refill. `rate` is in tokens per second.
    pub fn refill(&mut self, now: Nanos, rate: f64, depth: f64) {
        self.level = (self.level + rate * (now - self.refilled_at).secs()).min(depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the time at which the next whole token is available.
    pub fn next_token(&self, now: Nanos, rate: f64) -> Nanos {
        now + (1.0 - self.level).max(0.0) / rate.max(MIN_RATE)
    }
}
