//! Shared helper of the tests that count the calls of a whole fleet at a returning destination.

/// Steps in which the share of the capacity is integrated over a window.
const INTEGRATION_STEPS: usize = 150;
/// Up to this number of allowed calls, the terms allow for three standard deviations of chance instead of two.
const SMALL_BUDGET_CALLS: f64 = 30.0;

/// Returns the calls that a returning destination tolerates in a window in which the settings allow this number: N + 2√N + 2, or
/// N + 3√N + 3 where N is under 30.
pub fn tolerated_calls(allowed: f64) -> f64 {
    let deviations = if allowed < SMALL_BUDGET_CALLS { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

/// The settings that the budget of a returning destination follows from. Times are in seconds.
pub struct CallBudget {
    /// Calls per second that the warm destination processes.
    pub capacity: f64,
    pub overload_multiple: f64,
    /// Share of the capacity at the return.
    pub cold_share: f64,
    /// Time from the return until all of the capacity is back.
    pub warm_up_secs: f64,
    pub window_secs: f64,
}

impl CallBudget {
    /// Returns the calls that the destination tolerates in the window that ends this long after its return.
    pub fn in_window(&self, after_return_secs: f64) -> f64 {
        let step = self.window_secs / INTEGRATION_STEPS as f64;
        let share_at = |index: usize| {
            let at = after_return_secs - self.window_secs + (index as f64 + 0.5) * step;
            let warm = (at / self.warm_up_secs).clamp(0.0, 1.0);
            self.cold_share + (1.0 - self.cold_share) * warm
        };
        let share_secs: f64 = (0..INTEGRATION_STEPS).map(share_at).sum::<f64>() * step;
        tolerated_calls(self.overload_multiple * self.capacity * share_secs)
    }
}

/// A xorshift generator.
pub struct Random(pub u64);

impl Random {
    /// Returns the next number from 0 (included) to 1 (excluded).
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
