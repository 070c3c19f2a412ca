//! Seeded random fractions: the same seed gives the same sequence on every machine.
use larchway::{mix, unit};

/// 2^64 divided by the golden ratio: spreads consecutive counts over all 64 bits.
const COUNT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A generator of random fractions.
#[derive(Debug)]
pub(crate) struct Random {
    seed: u64,
    draw_count: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random { seed, draw_count: 0 }
    }

    /// A random fraction above 0 and at most 1. Seed and count are hashed differently: with the same hash they would
    /// cancel out when they are equal.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.draw_count += 1;
        unit(mix(self.seed) ^ self.draw_count.wrapping_mul(COUNT_MULTIPLIER))
    }
}
