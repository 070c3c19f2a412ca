//! The change of one weight in steps.
use super::{MigrationSettings, MigrationState};
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

/// Added to the number of complete steps before rounding down, so that rounding errors do not delay a step that is due.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The change of the weight of one parent from one value to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WeightRamp {
    /// The weight at the start.
    pub(super) from: f64,
    /// The weight at the end.
    pub(super) to: f64,
    /// The fraction of the change that was done when the ramp last started or resumed.
    done: f64,
    /// When the ramp last started or resumed.
    resumed_at: MonotonicTime,
}

impl WeightRamp {
    /// A weight that does not change.
    pub(super) fn constant(now: MonotonicTime, weight: f64) -> Self {
        WeightRamp { from: weight, to: weight, done: 1.0, resumed_at: now }
    }

    /// A ramp that starts now.
    pub(super) fn new(now: MonotonicTime, from: f64, to: f64) -> Self {
        let done = if from == to { 1.0 } else { 0.0 };
        WeightRamp { from, to, done, resumed_at: now }
    }

    /// Returns the ramp as resumed at `now` with this fraction done.
    pub(super) fn resumed(self, now: MonotonicTime, done: f64) -> Self {
        WeightRamp { done, resumed_at: now, ..self }
    }

    /// The fraction that is done when `elapsed` has passed since the last start or resumption, in complete steps.
    fn done_after(&self, settings: &MigrationSettings, elapsed: Duration) -> f64 {
        let done = self.done + duration_micros(elapsed) as f64 / duration_micros(settings.duration()) as f64;
        let steps = settings.step_count();
        ((done * steps + ROUNDING_TOLERANCE).floor() / steps).min(1.0)
    }

    /// The fraction that is done now, in complete steps.
    pub(super) fn progress(
        &self,
        settings: &MigrationSettings,
        now: MonotonicTime,
        state: MigrationState,
    ) -> f64 {
        let elapsed = match state {
            MigrationState::Running => now.saturating_since(self.resumed_at),
            MigrationState::Paused => Duration::ZERO,
        };
        self.done_after(settings, elapsed)
    }

    /// The weight at this progress.
    pub(super) fn weight(&self, progress: f64) -> f64 {
        if progress < 1.0 {
            self.from + (self.to - self.from) * progress
        } else {
            self.to
        }
    }

    /// When the last step is due; if the ramp is paused, when it would be due if resumed now.
    pub(super) fn ends_at(
        &self,
        settings: &MigrationSettings,
        now: MonotonicTime,
        state: MigrationState,
    ) -> MonotonicTime {
        let duration = duration_micros(settings.duration()) as f64;
        let remaining = Duration::from_micros(((1.0 - self.done).max(0.0) * duration).ceil() as u64);
        match state {
            MigrationState::Running => self.resumed_at + remaining,
            MigrationState::Paused => now + remaining,
        }
    }
}
