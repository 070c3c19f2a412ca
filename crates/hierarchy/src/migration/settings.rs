//! Settings of migrations.
use larchway::duration_micros;
use std::time::Duration;

/// Lower bound of the duration of a step and, as a divisor, of the warm-up time.
const MIN_DURATION: Duration = Duration::from_micros(1);

/// Settings of [`super::Migration`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MigrationSettings {
    /// Number of steps in which weights change.
    pub steps: u32,
    /// The time between two steps.
    pub step: Duration,
    /// Fraction of its weight that a parent can serve when it has just started.
    pub initial_share: f64,
    /// The time in which the fraction that a parent can serve grows linearly from `initial_share` to 1.
    pub warm_up: Duration,
    /// The time after a migration for which previous parents are still asked for cached objects.
    pub previous_hold: Duration,
}

impl Default for MigrationSettings {
    fn default() -> Self {
        MigrationSettings {
            steps: 20,
            step: Duration::from_secs(1),
            initial_share: 0.06,
            warm_up: Duration::from_secs(21),
            previous_hold: Duration::from_secs(20),
        }
    }
}

impl MigrationSettings {
    /// The number of steps, at least one.
    pub(super) fn step_count(&self) -> f64 {
        f64::from(self.steps.max(1))
    }

    /// The time between two steps, at least a microsecond.
    pub(super) fn step_interval(&self) -> Duration {
        self.step.max(MIN_DURATION)
    }

    /// The time that all steps take.
    pub(super) fn duration(&self) -> Duration {
        self.step_interval() * self.steps.max(1)
    }

    /// The fraction of its weight that a parent can serve when its process has run for `age`.
    pub(super) fn warm_up_share(&self, age: Duration) -> f64 {
        let progress = duration_micros(age) as f64 / duration_micros(self.warm_up.max(MIN_DURATION)) as f64;
        (self.initial_share + (1.0 - self.initial_share) * progress).min(1.0)
    }
}
