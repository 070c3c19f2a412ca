//! Bounds on the error of this machine's Unix clock, by the times that other machines report.
use larchway::MonotonicTime;
use std::time::Duration;

/// Bounds on the error of the own clock. All times are on the monotonic clock, converted by the Unix clock at the
/// start of the process.
#[derive(Debug, Default)]
pub(super) struct ClockError {
    /// The smallest lag of a reported time behind the own clock when it was reported; none before the first.
    min_lag: Option<Duration>,
    /// The amount by which the own clock is known to be slow: the most by which a time of the event source was ahead
    /// of it.
    slow_by: Duration,
}

impl ClockError {
    /// Observes a reported time, which cannot lie in the future.
    pub(super) fn observe(&mut self, now: MonotonicTime, reported: MonotonicTime) {
        let lag = now.saturating_since(reported);
        self.min_lag = Some(self.min_lag.map_or(lag, |least| least.min(lag)));
    }

    /// Observes a time reported by the event source, whose clock is the reference of the fleet.
    pub(super) fn observe_source(&mut self, now: MonotonicTime, reported: MonotonicTime) {
        self.observe(now, reported);
        self.slow_by = self.slow_by.max(reported.saturating_since(now));
    }

    /// The most that the own clock can be fast, since no reported time lies in the future. None before a time was
    /// reported.
    pub(super) fn max_clock_lead(&self) -> Option<Duration> {
        self.min_lag
    }

    /// The latest time that other machines may report as the present.
    pub(super) fn latest(&self, now: MonotonicTime) -> MonotonicTime {
        now.saturating_add(self.slow_by)
    }

    /// The lowest possible age of an event with a reported time. If no reported time is close to the own clock, the
    /// clock may be fast, and ages are computed from the latest reported time.
    pub(super) fn min_age(&self, now: MonotonicTime, reported: MonotonicTime) -> Duration {
        let age = now.saturating_since(reported);
        match self.min_lag {
            Some(lag) if lag > super::CLOCK_TOLERANCE => age.saturating_sub(lag),
            _ => age,
        }
    }
}
