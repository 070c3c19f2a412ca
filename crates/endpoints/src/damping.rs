//! Flap damping in the manner of RFC 2439. Each flap adds to a penalty that decays exponentially; an endpoint whose
//! penalty exceeds one threshold is suppressed until the penalty falls below another. A flap counts 1,000.
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

/// The parameters of flap damping, from the operator's file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DampingSettings {
    /// Time in which a penalty decays to half.
    pub half_life: Duration,
    /// Penalty above which an endpoint is suppressed.
    pub suppress: f64,
    /// Penalty below which a suppressed endpoint is used again.
    pub reuse: f64,
    /// Longest time from the last flap until the endpoint is used again.
    pub max_suppress_time: Duration,
}

impl DampingSettings {
    /// The highest penalty: it decays to the reuse threshold within `max_suppress_time` (RFC 2439, section 4.2).
    pub fn ceiling(&self) -> f64 {
        self.reuse * self.half_lives_in(self.max_suppress_time).exp2()
    }

    fn half_lives_in(&self, span: Duration) -> f64 {
        duration_micros(span) as f64 / duration_micros(self.half_life).max(1) as f64
    }
}

/// Whether flap damping suppresses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suppression {
    /// It does: the endpoint gets no work.
    Active,
    /// It does not.
    Inactive,
}

/// The penalty of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Damping {
    /// The penalty at the time `updated_at`.
    penalty: f64,
    updated_at: MonotonicTime,
    suppressed: bool,
}

impl Damping {
    /// A penalty that was saved by an earlier process.
    pub fn restored(penalty: f64, suppression: Suppression, updated_at: MonotonicTime) -> Self {
        Damping { penalty, updated_at, suppressed: suppression == Suppression::Active }
    }

    /// The decayed penalty.
    pub fn penalty(&self, now: MonotonicTime, settings: &DampingSettings) -> f64 {
        let half_lives = settings.half_lives_in(now.saturating_since(self.updated_at));
        self.penalty * (-half_lives).exp2()
    }

    /// Adds to the penalty; a full flap has the weight 1,000.
    pub fn flap(&mut self, now: MonotonicTime, weight: f64, settings: &DampingSettings) {
        self.penalty = (self.penalty(now, settings) + weight).min(settings.ceiling());
        self.updated_at = now.max(self.updated_at);
        self.suppressed |= self.penalty > settings.suppress;
    }

    /// Ends the suppression if the penalty has decayed. Returns whether the endpoint is suppressed.
    pub fn update_suppression(&mut self, now: MonotonicTime, settings: &DampingSettings) -> bool {
        self.suppressed &= self.penalty(now, settings) > settings.reuse;
        self.suppressed
    }

    /// When the suppression ends if there is no further flap; none if the endpoint is not suppressed.
    pub fn suppressed_until(&self, settings: &DampingSettings) -> Option<MonotonicTime> {
        if !self.suppressed {
            return None;
        }
        let half_lives = (self.penalty / settings.reuse).log2().max(0.0);
        let micros = (half_lives * duration_micros(settings.half_life) as f64).ceil() as u64 + 1;
        Some(self.updated_at + Duration::from_micros(micros))
    }
}
