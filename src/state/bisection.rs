//! Bisection on a monotonic condition.

/// Halvings of the interval: enough that the remaining error is below the precision of the counts compared.
const STEPS: usize = 40;

/// The point above `low` from which a condition that holds at `low` fails.
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
