//! Plain records of what is known of indications, attempts and requests; nothing is decided here.
use crate::interface::{Request, ServerId};
use crate::records::Choice;
use crate::statistics::DecayingMean;
use crate::time::MonotonicTime;
use std::time::Duration;

/// How long a hit record counts; about as long as a cache holds what nobody requests.
pub(super) const HIT_RECORD_LIFETIME: Duration = Duration::from_secs(12);
/// Requests in an epoch of q (the paper's T) of one cache in one role: seconds of its traffic.
pub(super) const CACHE_EPOCH_REQUESTS: u32 = 50;
/// Requests in an epoch of q (the paper's T) of all caches taken together.
pub(super) const FLEET_EPOCH_REQUESTS: u32 = 8;
/// Weight of the newest epoch in q (the paper's delta).
const EPOCH_WEIGHT: f64 = 0.25;
/// Weight of the newest observation in an aged mean: about the last twenty count.
pub(super) const OBSERVATION_WEIGHT: f64 = 0.05;
/// FP of a role before any observation in it; with the next two, a guess that makes a first look pay.
pub(super) const INITIAL_FALSE_POSITIVES: f64 = 0.2;
/// FN of a role before any observation in it.
pub(super) const INITIAL_FALSE_NEGATIVES: f64 = 0.4;
/// q of a role before any observation in it.
pub(super) const INITIAL_POSITIVES: f64 = 0.4;
/// Microseconds: the miss penalty before any was observed.
pub(super) const INITIAL_MISS_PENALTY: f64 = 150_000.0;
/// Microseconds: a sibling's access cost before any was observed.
pub(super) const INITIAL_ACCESS_COST: f64 = 15_000.0;
/// Microseconds: a class's sending time before any was observed.
pub(super) const INITIAL_SENDING_TIME: f64 = 100_000.0;

/// What is known of the indications (hit records) of one cache in one role.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(super) struct Indicator {
    /// FP of the paper.
    pub false_positives: DecayingMean,
    /// FN of the paper.
    pub false_negatives: DecayingMean,
    /// Share of positive indications, by epochs: q of the paper.
    pub q: Option<f64>,
    /// Indications counted in this epoch.
    pub asked: u32,
    /// Of these, the positive ones.
    pub positive: u32,
    /// Mean hit latency, less the sending time that every choice pays alike.
    pub cost: DecayingMean,
}

impl Indicator {
    /// Counts an indication; q moves once an epoch, Eq. (10).
    pub(super) fn count(&mut self, positive: bool, epoch: u32) {
        self.asked += 1;
        self.positive += u32::from(positive);
        if self.asked == epoch {
            let seen = f64::from(self.positive) / f64::from(epoch);
            self.q = Some(self.q.map_or(seen, |old| EPOCH_WEIGHT * seen + (1.0 - EPOCH_WEIGHT) * old));
            (self.asked, self.positive) = (0, 0);
        }
    }
    /// Whether anything was observed.
    pub(super) fn is_observed(&self) -> bool {
        self.false_positives.0.or(self.false_negatives.0).or(self.q).or(self.cost.0).is_some()
    }
    pub(super) fn observe(&mut self, positive: bool, hit: bool) {
        let wrong = if hit { &mut self.false_negatives } else { &mut self.false_positives };
        wrong.add(f64::from(u8::from(positive != hit)), OBSERVATION_WEIGHT);
    }
}

/// Where a server stood when an attempt went to it: the list may say otherwise by now, or name it no more.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Location {
    pub zone: usize,
    pub cell: u64,
}

/// An attempt that may have run.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstRun {
    pub sent: MonotonicTime,
    /// Where its edge cache stood.
    pub location: Location,
}

/// One attempt of a request.
#[derive(Default)]
pub(super) struct Attempt {
    /// Where it went.
    pub choice: Choice,
    /// Where its edge cache stood.
    pub location: Location,
    pub sent: MonotonicTime,
    /// When it is overdue.
    pub check_at: MonotonicTime,
    /// How long it may be silent.
    pub response_timeout: Duration,
    /// Whether its outcome is in.
    pub done: bool,
    pub cancelled: bool,
    pub edge_failed: bool,
    pub source_failed: bool,
    /// Whether it has counted as a fill that comes too late.
    pub late: bool,
    /// Whether it is of the first sample of its class's work.
    pub sampled: bool,
}

impl Attempt {
    /// This attempt, as one that may have run.
    pub(super) fn as_first_run(&self) -> FirstRun {
        FirstRun { sent: self.sent, location: self.location }
    }

    /// Whether a parent or the origin fetches what it lacks.
    pub(super) fn fetches(&self) -> bool {
        let Choice { edge, source, sibling, cached_only, link, .. } = self.choice;
        link && !sibling && !cached_only && source != edge
    }
}

/// A request not yet forgotten.
#[derive(Default)]
pub(super) struct OpenRequest {
    pub req: Request,
    pub arrived: MonotonicTime,
    /// Microseconds: the expected sending time.
    pub work: f64,
    /// Whether the client named the size.
    pub sized: bool,
    /// Whether the sending time is of this object, not of its class.
    pub work_known: bool,
    pub attempts: Vec<Attempt>,
    /// Its final answer is given, or the client has left.
    pub closed: bool,
    pub streaming: bool,
    /// First attempt that may have run.
    pub first_run: Option<FirstRun>,
}

/// What is wanted of a sibling.
pub(super) struct SiblingQuery<'a> {
    pub key: u64,
    /// The sending time, and the one by which budgets go.
    pub work: f64,
    pub budget_work: f64,
    /// The servers with a record of a hit.
    pub holders: &'a [ServerId],
}

/// What a request costs at an edge cache.
pub(super) struct EdgeCost {
    pub server: ServerId,
    /// Its access cost.
    pub access: f64,
    /// The miss penalty times the chance of a miss there.
    pub miss: f64,
}

impl EdgeCost {
    /// Eq. (11), with a source of this access cost and chance of a miss.
    pub fn with_source(&self, source_access: f64, source_miss: f64) -> f64 {
        self.access + source_access + self.miss * source_miss
    }
}
