//! Means, sums and estimates over time, without any decision or tuned value.
use crate::time::{micros_f64, MonotonicTime};
use std::collections::VecDeque;
use std::time::Duration;

/// A mean in which older observations count less.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingMean(pub Option<f64>);

impl DecayingMean {
    /// Adds an observation with this weight; the first one becomes the mean.
    pub fn add(&mut self, seen: f64, weight: f64) {
        self.0 = Some(self.0.map_or(seen, |old| old + weight * (seen - old)));
    }

    /// The mean, or `usual` before anything was seen.
    pub fn or(self, usual: f64) -> f64 {
        self.0.unwrap_or(usual)
    }
}

/// A quantity that goes up and down in steps, and its mean, in which older spans of time count less.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingLevel {
    /// What it is now.
    pub now: f64,
    mean: f64,
    /// When it was settled last.
    pub at: MonotonicTime,
}

impl DecayingLevel {
    /// The mean at a later time, with the span after which a level counts for a third.
    pub fn mean(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.now
            + (self.mean - self.now) * (-micros_f64(at.saturating_since(self.at)) / micros_f64(span)).exp()
    }

    /// The mean alone, for whoever has nothing out yet.
    pub fn without_current(&self, at: MonotonicTime, span: Duration) -> DecayingLevel {
        DecayingLevel { now: 0.0, mean: self.mean(at, span), at }
    }

    /// Counts an amount at one moment into the mean, as a rate.
    pub fn add_pulse(&mut self, amount: f64, at: MonotonicTime, span: Duration) {
        self.add(0.0, at, span);
        self.mean += amount / micros_f64(span);
    }

    /// Changes the level, never below none.
    pub fn add(&mut self, by: f64, at: MonotonicTime, span: Duration) {
        self.mean = self.mean(at, span);
        self.at = self.at.max(at);
        self.now = (self.now + by).max(0.0);
    }
}

/// A quantity that is reported from outside at times, and counts less the older the report is.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DecayingReport {
    value: f64,
    at: Option<MonotonicTime>,
}

impl DecayingReport {
    /// Adds a report of now; it has this weight against reports within the span.
    pub fn report(&mut self, value: f64, at: MonotonicTime, span: Duration, weight: f64) {
        let weight_left = (1.0 - weight) * self.report_weight(at, span);
        *self = DecayingReport { value: value + weight_left * (self.value - value), at: Some(at) };
    }

    /// From 1 for a report of now to 0 for none or one of long ago.
    fn report_weight(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.at.map_or(0.0, |reported| (-micros_f64(at.saturating_since(reported)) / micros_f64(span)).exp())
    }

    /// Between the report and the caller's own estimate, by the report's age.
    pub fn or(&self, estimate: f64, at: MonotonicTime, span: Duration) -> f64 {
        estimate + self.report_weight(at, span) * (self.value - estimate)
    }
}

/// A sum over the last span of time.
#[derive(Debug, Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SlidingSum(VecDeque<(MonotonicTime, f64)>);

impl SlidingSum {
    /// Takes in an amount, and drops what is older than the span.
    pub fn add(&mut self, amount: f64, at: MonotonicTime, span: Duration) {
        self.0.push_back((at, amount));
        while self.0.front().is_some_and(|&(since, _)| since + span < at) {
            self.0.pop_front();
        }
    }

    /// Takes in what another window holds.
    pub fn merge(&mut self, other: SlidingSum) {
        self.0.extend(other.0);
        self.0.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// The sum over the span that ends at this time.
    pub fn sum(&self, at: MonotonicTime, span: Duration) -> f64 {
        self.0.iter().filter(|(since, _)| *since + span >= at).map(|(_, amount)| amount).sum()
    }
}

impl FromIterator<(MonotonicTime, f64)> for SlidingSum {
    /// Amounts in the order of time.
    fn from_iter<T: IntoIterator<Item = (MonotonicTime, f64)>>(amounts: T) -> Self {
        SlidingSum(amounts.into_iter().collect())
    }
}

/// How well records of hits indicate what a cache has, as fractions from 0 to 1 (the paper's FP, FN, q).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IndicationRates {
    /// FP: the fraction of positive records among objects that the cache lacks.
    pub false_positives: f64,
    /// FN: the fraction of negative records among objects that the cache has.
    pub false_negatives: f64,
    /// q: the fraction of positive records among all objects asked for.
    pub positives: f64,
}

/// What is recorded of an object at a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Indication {
    /// A hit.
    Positive,
    /// No hit.
    Negative,
}

impl Indication {
    /// Positive if there is a record of a hit.
    pub fn from_record(recorded: bool) -> Self {
        if recorded {
            Indication::Positive
        } else {
            Indication::Negative
        }
    }
}

/// Chance of a miss by Bayes, Eq. (1) to (3) of the paper, with the design's clamps: from the rates of a
/// cache, and its indication.
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

/// Transfers that fit at full pace, from how long one took while so many were out. A pace above the bar is a
/// jam.
pub fn learned_flows(weight: f64, jam_pace: f64, old: f64, pace: f64, load: f64) -> f64 {
    old + weight * if pace > jam_pace { load / pace - old } else { (load - old).max(0.0) }
}

/// The plain mean, if there is any number.
pub fn mean(numbers: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = numbers.fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
    (n > 0.0).then_some(sum / n)
}
