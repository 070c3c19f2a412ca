//! What a request of a class whose clients state no sizes counts for in the budgets of slow start.
use super::state::OBSERVATION_WEIGHT;
use crate::statistics::DecayingMean;

/// Attempts that are the first sample of a class, in the order in which they begin.
const SAMPLE_SIZE: u32 = 20;
/// How many observations the assumption before any of them counts for.
const ASSUMPTION_WEIGHT: f64 = 2.0;

/// The work of one class. Danger: all routers take a request for less than it is, and push over a server that
/// has started. Answers that come first are the short ones, so an attempt of the first sample counts as what
/// is assumed until it has ended. Harm: where less is true, servers idle until some answers have come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnsizedWork {
    begun: u32,
    /// Attempts of the sample that have ended with an observation.
    observed: u32,
    /// Microseconds: the sum of these.
    total: f64,
    /// Microseconds: the aged mean, once the sample is complete.
    mean: DecayingMean,
}

impl UnsizedWork {
    /// An attempt begins. Returns whether it is one of the sample.
    pub(super) fn begin(&mut self) -> bool {
        let is_sampled = self.begun < SAMPLE_SIZE;
        self.begun += u32::from(is_sampled);
        is_sampled
    }

    /// An attempt of the sample has ended. `work`: what it showed, in microseconds; none: nothing.
    pub(super) fn end_sampled(&mut self, work: Option<f64>, assumed: f64) {
        if self.observed == self.begun {
            return; // The class has begun anew meanwhile.
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

    /// An attempt that was not one of the sample has shown this work, in microseconds.
    pub(super) fn observe(&mut self, work: f64) {
        if self.mean.0.is_some() {
            self.mean.add(work, OBSERVATION_WEIGHT);
        }
    }

    /// What a request counts for, in microseconds; `assumed`: as long as nothing was observed.
    pub(super) fn estimate(&self, assumed: f64) -> f64 {
        let unobserved = ASSUMPTION_WEIGHT + f64::from(self.begun - self.observed);
        let sample_mean = (unobserved * assumed + self.total) / (ASSUMPTION_WEIGHT + f64::from(self.begun));
        self.mean.or(sample_mean)
    }
}
