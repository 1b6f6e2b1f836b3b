//! Bisection on a monotonic condition.

/// Number of halvings of the interval; the remaining error is below the precision of the compared counts.
const STEPS: usize = 40;

/// Returns the point above `low` at which a condition that holds at `low` stops holding, or `high` if it
/// holds throughout.
pub(crate) fn bisect(mut low: f64, mut high: f64, holds: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..STEPS {
        let middle = (low + high) / 2.0;
        if holds(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}
