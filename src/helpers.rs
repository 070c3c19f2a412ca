//! Arithmetic without any decision or tuned value.
use std::collections::VecDeque;

/// A mean in which older observations count less.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Aged(pub Option<f64>);

impl Aged {
    /// Takes in an observation with this weight, the first one whole.
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
pub struct Level {
    /// What it is now.
    pub now: f64,
    mean: f64,
    at: u64,
}

impl Level {
    /// The mean at a later time, with the span after which a level counts for a third.
    pub fn mean(&self, at: u64, span: f64) -> f64 {
        self.now + (self.mean - self.now) * (-(at.saturating_sub(self.at) as f64) / span).exp()
    }

    /// The mean alone, for whoever has nothing out yet.
    pub fn settled(&self, at: u64, span: f64) -> Level {
        Level { now: 0.0, mean: self.mean(at, span), at }
    }

    /// Counts an amount at one moment into the mean, as a rate.
    pub fn pulse(&mut self, amount: f64, at: u64, span: f64) {
        self.step(0.0, at, span);
        self.mean += amount / span;
    }

    /// Changes the level, never below none.
    pub fn step(&mut self, by: f64, at: u64, span: f64) {
        self.mean = self.mean(at, span);
        self.at = self.at.max(at);
        self.now = (self.now + by).max(0.0);
    }
}

/// A quantity told from outside now and then, which counts less the longer ago that was.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Told {
    value: f64,
    at: Option<u64>,
}

impl Told {
    /// Takes in what is told now; the newest has this weight against what was told within the span.
    pub fn hear(&mut self, value: f64, at: u64, (span, weight): (f64, f64)) {
        let kept = (1.0 - weight) * self.trust(at, span);
        *self = Told { value: value + kept * (self.value - value), at: Some(at) };
    }

    /// From 1 for what was told now to 0 for what never was or is long ago.
    fn trust(&self, at: u64, span: f64) -> f64 {
        self.at.map_or(0.0, |told| (-(at.saturating_sub(told) as f64) / span).exp())
    }

    /// Between what was told and one's own guess, by its age.
    pub fn or(&self, guess: f64, at: u64, span: f64) -> f64 {
        guess + self.trust(at, span) * (self.value - guess)
    }
}

/// A sum over the last span of time.
#[derive(Debug, Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Window(VecDeque<(u64, f64)>);

impl Window {
    /// Takes in an amount, and drops what is older than the span.
    pub fn add(&mut self, amount: f64, at: u64, span: u64) {
        self.0.push_back((at, amount));
        while self.0.front().is_some_and(|&(since, _)| since + span < at) {
            self.0.pop_front();
        }
    }

    /// The sum of what came later than this time.
    pub fn after(&self, at: u64) -> f64 {
        self.0.iter().rev().take_while(|(since, _)| *since > at).map(|(_, amount)| amount).sum()
    }

    /// Takes in what another window holds.
    pub fn join(&mut self, other: Window) {
        self.0.extend(other.0);
        self.0.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// The sum over the span that ends at this time.
    pub fn sum(&self, at: u64, span: u64) -> f64 {
        self.0.iter().filter(|(since, _)| since + span >= at).map(|(_, amount)| amount).sum()
    }
}

/// Chance of a miss by Bayes, Eq. (1) to (3) of the paper, with the design's clamps: from FP, FN and q of a cache,
/// and whether there is a record of a hit.
pub fn miss_chance([fp, fn_, q]: [f64; 3], positive: bool) -> f64 {
    if q <= 0.0 || q >= 1.0 || fp + fn_ >= 1.0 {
        return 1.0;
    }
    let h = ((q - fp) / (1.0 - fp - fn_)).clamp(0.0, 1.0);
    let rho = if positive { fp * (1.0 - h) / q } else { (1.0 - fp) * (1.0 - h) / (1.0 - q) };
    rho.clamp(0.0, 1.0)
}

/// Transfers that fit at full pace, from how long one took while so many were out. A pace above the bar is a jam.
pub fn learned_flows(weight: f64, bar: f64, old: f64, pace: f64, load: f64) -> f64 {
    old + weight * if pace > bar { load / pace - old } else { (load - old).max(0.0) }
}

/// The plain mean, if there is any number.
pub fn mean(numbers: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = numbers.fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
    (n > 0.0).then_some(sum / n)
}

/// The place of a server in the order of homes of an object, the least first: weighted rendezvous hashing, so that a
/// server whose weight grows takes objects from the others and moves none among them.
pub fn place(key: u64, server: u64, weight: f64) -> f64 {
    -unit(key ^ mix(server.wrapping_add(0x9e37_79b9))).ln() / weight
}

/// What goes with servers of these weights, in the order of their places for a key; the lesser id goes first where two
/// are the same.
pub fn ranked<T>(key: u64, all: impl Iterator<Item = (u64, f64, T)>) -> Vec<T> {
    let mut all: Vec<_> =
        all.map(|(server, weight, item)| (place(key, server, weight), server, item)).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    all.into_iter().map(|(_, _, item)| item).collect()
}

/// Spreads a number over all 64 bits, the same on every machine.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number above 0 and up to 1, evenly spread, the same on every machine.
pub fn unit(x: u64) -> f64 {
    ((mix(x) >> 11) as f64 + 1.0) / (1u64 << 53) as f64
}
