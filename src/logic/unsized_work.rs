//! Estimates the work of a request without a stated size, for the slow start budgets.
use super::state::OBSERVATION_WEIGHT;
use crate::statistics::DecayingMean;

/// Number of attempts in the initial sample of a class: the first ones to begin.
const SAMPLE_SIZE: u32 = 20;
/// Weight of the assumed work in the estimate, as a number of observations.
const ASSUMPTION_WEIGHT: f64 = 2.0;

/// The estimated work of one class. An estimate that is too low would make all routers together overload a
/// server that has just started. Short answers arrive first, so each attempt of the sample counts with the
/// assumed work until it has ended. The cost: if the real work is less, servers idle until answers arrive.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnsizedWork {
    /// Attempts of the sample that have begun.
    begun: u32,
    /// Attempts of the sample that have ended with an observation.
    observed: u32,
    /// Sum of these observations in microseconds.
    total: f64,
    /// Moving average in microseconds, once the sample is complete.
    mean: DecayingMean,
}

impl UnsizedWork {
    /// Counts an attempt that begins. Returns whether it belongs to the sample.
    pub(super) fn begin(&mut self) -> bool {
        let is_sampled = self.begun < SAMPLE_SIZE;
        self.begun += u32::from(is_sampled);
        is_sampled
    }

    /// Counts the end of an attempt of the sample. `work` is its observed work in microseconds; none if it
    /// showed nothing.
    pub(super) fn end_sampled(&mut self, work: Option<f64>, assumed: f64) {
        if self.observed == self.begun {
            return; // The sample of the class was reset in the meantime.
        }
        let Some(work) = work else {
            self.begun -= 1;
            return;
        };
        self.observed += 1;
        self.total += work;
        if self.observed == SAMPLE_SIZE {
            self.mean = DecayingMean(Some(self.estimate(assumed)));
        }
    }

    /// Adds the observed work of an attempt outside the sample, in microseconds.
    pub(super) fn observe(&mut self, work: f64) {
        if self.mean.0.is_some() {
            self.mean.add(work, OBSERVATION_WEIGHT);
        }
    }

    /// The estimated work of a request in microseconds; `assumed` is the work before any observation.
    pub(super) fn estimate(&self, assumed: f64) -> f64 {
        let unobserved = ASSUMPTION_WEIGHT + f64::from(self.begun - self.observed);
        let sample_mean = (unobserved * assumed + self.total) / (ASSUMPTION_WEIGHT + f64::from(self.begun));
        self.mean.or(sample_mean)
    }
}
