//! The error of this machine's Unix clock, as far as the times that other machines report show it.
use larchway::MonotonicTime;
use std::time::Duration;

/// Bounds of the error. All times are on the monotonic clock, as the Unix clock had it at the start of the process.
#[derive(Debug, Default)]
pub(super) struct ClockError {
    /// How far the latest reported time lies behind the own clock, at least; none before one was reported.
    min_lag: Option<Duration>,
    /// How far times of the source of events lie ahead of the own clock: the own clock is slow by that much.
    slow_by: Duration,
}

impl ClockError {
    /// Observes a time that was reported as past: the present is no earlier.
    pub(super) fn observe(&mut self, now: MonotonicTime, reported: MonotonicTime) {
        let lag = now.saturating_since(reported);
        self.min_lag = Some(self.min_lag.map_or(lag, |least| least.min(lag)));
    }

    /// Observes a time that the source of events reports, whose clock is that of the fleet.
    pub(super) fn observe_source(&mut self, now: MonotonicTime, reported: MonotonicTime) {
        self.observe(now, reported);
        self.slow_by = self.slow_by.max(reported.saturating_since(now));
    }

    /// How far the own clock may be fast, at most: nothing that others report lies in the future. None before a time
    /// was reported.
    pub(super) fn max_fast(&self) -> Option<Duration> {
        self.min_lag
    }

    /// The latest time that other machines may report as the present.
    pub(super) fn latest(&self, now: MonotonicTime) -> MonotonicTime {
        now.saturating_add(self.slow_by)
    }

    /// The least age that something of a reported time can have. Where no reported time is close to the own clock, that
    /// may be fast, and ages count from the latest reported time.
    pub(super) fn min_age(&self, now: MonotonicTime, reported: MonotonicTime) -> Duration {
        let age = now.saturating_since(reported);
        match self.min_lag {
            Some(lag) if lag > super::CLOCK_TOLERANCE => age.saturating_sub(lag),
            _ => age,
        }
    }
}
