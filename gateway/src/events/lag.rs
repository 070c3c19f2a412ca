//! Whether what is known of the events is recent enough to answer by (E3).
use larchway::MonotonicTime;
use std::time::Duration;

/// Time after which [`LagChange::StillExceeded`] is repeated: well under the time that a purge takes to be done.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What has changed by the present lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// It is within the limit, or a repetition is not due.
    Unchanged,
    /// It has passed the limit: purges may be missed from now on.
    Exceeded,
    /// It is past the limit: purges may still be missed.
    StillExceeded,
    /// It is back within the limit: purges may have been missed until now.
    Recovered,
}

/// Watches the lag against a limit.
#[derive(Debug)]
pub struct LagWatch {
    limit: Duration,
    exceeded: bool,
    due: MonotonicTime,
}

impl LagWatch {
    /// Nothing is known yet, so the limit counts as passed.
    pub fn new(now: MonotonicTime, limit: Duration) -> Self {
        LagWatch { limit, exceeded: true, due: now }
    }

    /// Takes another limit.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: Duration) {
        (self.limit, self.due) = (limit, now);
    }

    /// Whether the limit is passed.
    pub fn exceeded(&self) -> bool {
        self.exceeded
    }

    /// When the lag is to be looked at again, at the latest.
    pub fn next_due(&self) -> MonotonicTime {
        self.due
    }

    /// Compares the lag with the limit; none: nothing has come from the source yet.
    pub fn check(&mut self, now: MonotonicTime, lag: Option<Duration>) -> LagChange {
        let remaining = lag.and_then(|lag| self.limit.checked_sub(lag));
        let was_exceeded = std::mem::replace(&mut self.exceeded, remaining.is_none());
        if let Some(remaining) = remaining {
            self.due = now + remaining + Duration::from_micros(1);
            return if was_exceeded { LagChange::Recovered } else { LagChange::Unchanged };
        }
        if was_exceeded && now < self.due {
            return LagChange::Unchanged;
        }
        self.due = now + REPEAT_INTERVAL;
        if was_exceeded {
            LagChange::StillExceeded
        } else {
            LagChange::Exceeded
        }
    }
}

#[cfg(test)]
mod tests;
