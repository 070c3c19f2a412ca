//! The estimated load of one store: a weighted mean of reports, whose weight decays with time.
use larchway::{duration_micros, MonotonicTime};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Time in which the weight of an estimate decays to 1/e (about a third). It is long enough to cover several reports
/// of a store, although each gateway receives few.
const WEIGHT_DECAY_TIME: Duration = Duration::from_secs(6);
/// Greatest weight of an estimate, in reports. It bounds the effect of gateways that count the same report repeatedly
/// through gossip.
const MAX_WEIGHT: f64 = 30.0;
/// Least weight at which an estimate is used.
const MIN_USABLE_WEIGHT: f64 = 0.25;
/// Weight from which on a store need not be sampled: responses and gossip suffice.
const SUFFICIENT_WEIGHT: f64 = 3.0;
/// Range of loads that are accepted in a report.
const ACCEPTED_LOADS: RangeInclusive<f64> = 0.0..=100.0;

/// The estimated load of one store.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadEstimate {
    load: f64,
    /// The weight of the estimate at `updated_at`, in reports.
    weight: f64,
    updated_at: MonotonicTime,
}

impl LoadEstimate {
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    /// The weight after decay.
    pub(crate) fn weight_at(&self, now: MonotonicTime) -> f64 {
        let age = duration_micros(now.saturating_since(self.updated_at)) as f64;
        self.weight * (-age / duration_micros(WEIGHT_DECAY_TIME) as f64).exp()
    }

    /// Whether the weight suffices to act on the estimate.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.weight_at(now) >= MIN_USABLE_WEIGHT
    }

    /// Whether reports are so rare that the store should be sampled.
    pub(crate) fn needs_sample(&self, now: MonotonicTime) -> bool {
        self.weight_at(now) < SUFFICIENT_WEIGHT
    }

    /// Adds a load report of the store; ignores one out of range.
    pub(crate) fn record_report(&mut self, now: MonotonicTime, load: f64) {
        if !ACCEPTED_LOADS.contains(&load) {
            return;
        }
        let current = self.weight_at(now);
        self.load = (self.load * current + load) / (current + 1.0);
        self.weight = (current + 1.0).min(MAX_WEIGHT);
        self.updated_at = now;
    }

    /// Merges the estimate of a peer; ignores one whose weight is too low.
    ///
    /// Both may result from the same reports, so the new weight is the mean of both, not their sum. With the larger of
    /// the two, estimates would never decay and would circulate forever (loads oscillated by a tenth).
    pub(crate) fn merge(&mut self, now: MonotonicTime, load: f64, weight: f64) {
        if weight < MIN_USABLE_WEIGHT {
            return;
        }
        let weight = weight.min(MAX_WEIGHT);
        let current = self.weight_at(now);
        self.load = (self.load * current + load * weight) / (current + weight);
        self.weight = (current + weight) / 2.0;
        self.updated_at = now;
    }
}
