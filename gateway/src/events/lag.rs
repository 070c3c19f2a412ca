//! Whether what is known of the events is recent enough to answer by (E3).
use larchway::Micros;

/// Time after which it is said again that purges may be missed, µs: well under the time that a purge takes to be done.
const REPEAT: Micros = 500_000;

/// What follows from the present lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is within the limit, or nothing new is to be said.
    Nothing,
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
    limit: Micros,
    exceeded: bool,
    due: Micros,
}

impl LagWatch {
    /// Nothing is known yet, so the limit counts as passed.
    pub fn new(now: Micros, limit: Micros) -> Self {
        LagWatch { limit, exceeded: true, due: now }
    }

    /// Takes another limit.
    pub fn set_limit(&mut self, now: Micros, limit: Micros) {
        (self.limit, self.due) = (limit, now);
    }

    /// Whether the limit is passed.
    pub fn exceeded(&self) -> bool {
        self.exceeded
    }

    /// When the lag is to be looked at again, at the latest.
    pub fn next_due(&self) -> Micros {
        self.due
    }

    /// Looks at the lag; none: nothing was heard yet.
    pub fn look(&mut self, now: Micros, lag: Option<Micros>) -> Verdict {
        let left = lag.and_then(|lag| self.limit.checked_sub(lag));
        let was = std::mem::replace(&mut self.exceeded, left.is_none());
        if let Some(left) = left {
            self.due = now + left + 1;
            return if was { Verdict::Recovered } else { Verdict::Nothing };
        }
        if was && now < self.due {
            return Verdict::Nothing;
        }
        self.due = now + REPEAT;
        if was {
            Verdict::StillExceeded
        } else {
            Verdict::Exceeded
        }
    }
}

#[cfg(test)]
mod tests;
