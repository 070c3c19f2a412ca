//! Numbers that are not known beforehand, of which no two are the same: ids of calls and sessions.
use larchway::{mix, MonotonicTime};

/// A source of such numbers.
#[derive(Debug)]
pub struct RandomNumbers {
    seed: u64,
    draws: u64,
}

impl RandomNumbers {
    /// By the seed of a configuration.
    pub fn new(seed: u64) -> Self {
        RandomNumbers { seed, draws: 0 }
    }

    /// The next number. The time goes into it: the seed is the same after a restart.
    pub fn next(&mut self, now: MonotonicTime) -> u64 {
        self.draws += 1;
        mix(self.seed ^ mix(self.draws ^ now.as_micros() << 20))
    }
}
