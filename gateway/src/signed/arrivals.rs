//! When the bytes of a connection arrived, so that a request that waits behind another one on it is timed from its own
//! arrival.
use larchway::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The time within which bytes that come one after another count as one arrival, at the time of the first of them.
const COALESCE_INTERVAL: Duration = Duration::from_millis(10);

/// Arrival times of the bytes that were read and not used, oldest first. Bounded by the bytes that are buffered, and
/// by one entry in 10 ms for as long as a request waits.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Bytes read and used in all.
    total_read: u64,
    total_used: u64,
    /// How many bytes had been read after each arrival, and its time.
    arrivals: VecDeque<(u64, MonotonicTime)>,
}

impl Arrivals {
    /// Bytes were read.
    pub fn record(&mut self, now: MonotonicTime, bytes: usize) {
        self.total_read += bytes as u64;
        match self.arrivals.back_mut() {
            Some((end, arrived)) if now < *arrived + COALESCE_INTERVAL => *end = self.total_read,
            _ => self.arrivals.push_back((self.total_read, now)),
        }
    }

    /// The oldest of these bytes that are left were used; returns when the last of them arrived.
    pub fn consume(&mut self, bytes: usize) -> Option<MonotonicTime> {
        self.total_used += bytes as u64;
        while self.arrivals.front().is_some_and(|(end, _)| *end < self.total_used) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|(_, arrived)| *arrived)
    }
}

#[cfg(test)]
mod tests;
