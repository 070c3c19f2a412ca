//! Arrival times of the bytes on a connection, so that a pipelined request is timed from its own arrival.
use larchway::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Bytes that arrive within this interval are recorded as one arrival, at the time of the first of them.
const COALESCE_INTERVAL: Duration = Duration::from_millis(10);

/// Arrival times of the buffered bytes, oldest first. The number of entries is limited by the number of buffered bytes
/// and to one per `COALESCE_INTERVAL` for as long as a request waits.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Total number of bytes read.
    total_read: u64,
    /// Total number of bytes consumed.
    total_used: u64,
    /// For each arrival, the total number of bytes read up to its end, and its time.
    arrivals: VecDeque<(u64, MonotonicTime)>,
}

impl Arrivals {
    /// Records that bytes were read.
    pub fn record(&mut self, now: MonotonicTime, bytes: usize) {
        self.total_read += bytes as u64;
        match self.arrivals.back_mut() {
            Some((end, arrived)) if now < *arrived + COALESCE_INTERVAL => *end = self.total_read,
            _ => self.arrivals.push_back((self.total_read, now)),
        }
    }

    /// Consumes the oldest buffered bytes and returns when the last of them arrived; none if that is not recorded.
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
