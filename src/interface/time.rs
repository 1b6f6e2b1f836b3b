//! Time values of the decision module.
use std::ops::{Add, Sub};

/// A point in time or a duration, in nanoseconds. Points in time count from an arbitrary zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// Returns the value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }
    /// Converts from seconds. Negative values and NaN give zero; values that are too large give the largest
    /// time.
    pub fn from_secs(s: f64) -> Self {
        Nanos((s * 1e9) as u64)
    }
}

impl Add for Nanos {
    type Output = Nanos;
    fn add(self, o: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(o.0))
    }
}

impl Add<f64> for Nanos {
    type Output = Nanos;
    fn add(self, secs: f64) -> Nanos {
        self + Nanos::from_secs(secs)
    }
}

impl Sub for Nanos {
    type Output = Nanos;
    fn sub(self, o: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(o.0))
    }
}
