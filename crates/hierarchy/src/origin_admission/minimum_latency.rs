//! The minimum latency of the recent past.
use larchway::MonotonicTime;
use std::time::Duration;

/// The minimum latency measured in one window.
#[derive(Debug, Clone, Copy)]
struct Window {
    least: Duration,
    started_at: MonotonicTime,
}

/// The minimum latency over the current window and the one before it, so that it covers one to two windows.
#[derive(Debug, Clone)]
pub(super) struct MinimumLatency {
    length: Duration,
    current: Window,
    previous: Window,
}

impl MinimumLatency {
    /// Creates a minimum without measurements, with windows of this length.
    pub(super) fn new(length: Duration) -> Self {
        let empty = Window { least: Duration::MAX, started_at: MonotonicTime::MIN };
        MinimumLatency { length, current: empty, previous: empty }
    }

    /// The minimum latency, if any has been measured.
    pub(super) fn get(&self) -> Option<Duration> {
        let least = self.current.least.min(self.previous.least);
        (least < Duration::MAX).then_some(least)
    }

    /// Records a measured latency.
    pub(super) fn record(&mut self, now: MonotonicTime, latency: Duration) {
        if now >= self.current.started_at + self.length {
            self.previous = self.current;
            self.current = Window { least: Duration::MAX, started_at: now };
            if now >= self.previous.started_at + self.length * 2 {
                self.previous.least = Duration::MAX;
            }
        }
        self.current.least = self.current.least.min(latency);
    }
}
