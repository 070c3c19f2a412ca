//! Means, sums and estimates over time, without decisions or tuned values.
use crate::time::{micros_f64, MonotonicTime};
use std::collections::VecDeque;
use std::time::Duration;

/// An exponentially weighted moving average; none before the first observation.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingMean(pub Option<f64>);

impl DecayingMean {
    /// Adds an observation with a weight from 0 to 1; the first observation becomes the mean.
    pub fn add(&mut self, seen: f64, weight: f64) {
        self.0 = Some(self.0.map_or(seen, |old| old + weight * (seen - old)));
    }

    /// The mean, or `usual` before the first observation.
    pub fn or(self, usual: f64) -> f64 {
        self.0.unwrap_or(usual)
    }
}

/// A level that changes in steps, such as requests in flight, and its exponentially decaying mean over time.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingLevel {
    /// The present level.
    pub now: f64,
    mean: f64,
    /// When the mean was last updated.
    pub at: MonotonicTime,
}

impl DecayingLevel {
    /// The mean at a later time. `span` is the time constant: the weight of a level decays to 1/e within it.
    pub fn mean(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.now
            + (self.mean - self.now) * (-micros_f64(at.saturating_since(self.at)) / micros_f64(span)).exp()
    }

    /// The mean at this time with a present level of zero, for a new process that has nothing in flight.
    pub fn without_current(&self, at: MonotonicTime, span: Duration) -> DecayingLevel {
        DecayingLevel { now: 0.0, mean: self.mean(at, span), at }
    }

    /// Adds an amount at a point in time to the mean, as a rate per microsecond.
    pub fn add_pulse(&mut self, amount: f64, at: MonotonicTime, span: Duration) {
        self.add(0.0, at, span);
        self.mean += amount / micros_f64(span);
    }

    /// Adds to the present level, which never falls below zero.
    pub fn add(&mut self, by: f64, at: MonotonicTime, span: Duration) {
        self.mean = self.mean(at, span);
        self.at = self.at.max(at);
        self.now = (self.now + by).max(0.0);
    }
}

/// A value reported from outside, whose weight decays with the age of the report.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingReport {
    value: f64,
    at: Option<MonotonicTime>,
}

impl DecayingReport {
    /// Adds a report made at this time, with a weight from 0 to 1 against reports that have not yet decayed.
    pub fn report(&mut self, value: f64, at: MonotonicTime, span: Duration, weight: f64) {
        let weight_left = (1.0 - weight) * self.report_weight(at, span);
        *self = DecayingReport { value: value + weight_left * (self.value - value), at: Some(at) };
    }

    /// The weight of the report: 1 if it is new, decaying to 0; 0 if there is none.
    fn report_weight(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.at.map_or(0.0, |reported| (-micros_f64(at.saturating_since(reported)) / micros_f64(span)).exp())
    }

    /// The mean of the report and the caller's own estimate, weighted by the report's age.
    pub fn or(&self, estimate: f64, at: MonotonicTime, span: Duration) -> f64 {
        estimate + self.report_weight(at, span) * (self.value - estimate)
    }
}

/// A sum of amounts over a sliding window of time.
#[derive(Debug, Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SlidingSum(VecDeque<(MonotonicTime, f64)>);

impl SlidingSum {
    /// Adds an amount and drops those older than the window.
    pub fn add(&mut self, amount: f64, at: MonotonicTime, span: Duration) {
        self.0.push_back((at, amount));
        while self.0.front().is_some_and(|&(since, _)| since + span < at) {
            self.0.pop_front();
        }
    }

    /// Adds the amounts of another sum.
    pub fn merge(&mut self, other: SlidingSum) {
        self.0.extend(other.0);
        self.0.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// The sum over the window of this length that ends at this time.
    pub fn sum(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.0.iter().filter(|(since, _)| *since + span >= at).map(|(_, amount)| amount).sum()
    }
}

impl FromIterator<(MonotonicTime, f64)> for SlidingSum {
    /// Collects amounts that are ordered by time.
    fn from_iter<T: IntoIterator<Item = (MonotonicTime, f64)>>(amounts: T) -> Self {
        SlidingSum(amounts.into_iter().collect())
    }
}

/// Reliability of hit records as indications of a cache's content (the paper's FP, FN and q), as fractions
/// from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IndicationRates {
    /// FP: the fraction of positive records among objects that the cache does not have.
    pub false_positives: f64,
    /// FN: the fraction of negative records among objects that the cache has.
    pub false_negatives: f64,
    /// q: the fraction of positive records among all requested objects.
    pub positives: f64,
}

/// Whether a hit of an object is recorded at a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Indication {
    /// A hit is recorded.
    Positive,
    /// No hit is recorded.
    Negative,
}

impl Indication {
    /// Positive if a hit is recorded.
    pub fn from_record(recorded: bool) -> Self {
        if recorded {
            Indication::Positive
        } else {
            Indication::Negative
        }
    }
}

/// Probability of a miss by Bayes' theorem, Eq. (1) to (3) of the paper, from the rates of a cache and its
/// indication. Values out of range are clamped; rates that carry no information give 1.
pub fn miss_chance(rates: IndicationRates, indication: Indication) -> f64 {
    let IndicationRates { false_positives, false_negatives, positives } = rates;
    if positives <= 0.0 || positives >= 1.0 || false_positives + false_negatives >= 1.0 {
        return 1.0;
    }
    let hit_rate =
        ((positives - false_positives) / (1.0 - false_positives - false_negatives)).clamp(0.0, 1.0);
    let miss_chance = match indication {
        Indication::Positive => false_positives * (1.0 - hit_rate) / positives,
        Indication::Negative => (1.0 - false_positives) * (1.0 - hit_rate) / (1.0 - positives),
    };
    miss_chance.clamp(0.0, 1.0)
}

/// Updates the estimated number of transfers at full pace from the pace of one transfer (time taken over
/// sending time) and the number of transfers at that time. A pace above `jam_pace` shows congestion; other
/// transfers only raise the estimate.
pub fn learned_flows(weight: f64, jam_pace: f64, old: f64, pace: f64, load: f64) -> f64 {
    old + weight * if pace > jam_pace { load / pace - old } else { (load - old).max(0.0) }
}

/// The arithmetic mean; none without numbers.
pub fn mean(numbers: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = numbers.fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
    (n > 0.0).then_some(sum / n)
}
