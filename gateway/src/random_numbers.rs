//! Unpredictable numbers without repetition, for the ids of calls and sessions.
use larchway::{mix, MonotonicTime};

/// A source of unpredictable numbers.
#[derive(Debug)]
pub struct RandomNumbers {
    seed: u64,
    draws: u64,
}

impl RandomNumbers {
    /// Creates a source with the seed of a configuration.
    pub fn new(seed: u64) -> Self {
        RandomNumbers { seed, draws: 0 }
    }

    /// The next number. It depends on the time too, since the seed is the same after a restart.
    pub fn next(&mut self, now: MonotonicTime) -> u64 {
        self.draws += 1;
        mix(self.seed ^ mix(self.draws ^ now.as_micros() << 20))
    }
}
