//! Random numbers of the decision module.

/// A small random number generator (xorshift64). The seed must not be zero.
#[derive(Default)]
pub(crate) struct Random(pub u64);

impl Random {
    /// Returns the next number in the range 0 (included) to 1 (excluded).
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
