//! The module's source of random numbers.

/// Small random number generator (xorshift). The seed must not be zero.
#[derive(Default)]
pub(crate) struct Random(pub u64);

impl Random {
    /// The next number, from 0 up to 1.
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
