//! State of indications, attempts and requests; nothing is decided here.
use crate::interface::{Request, ServerId};
use crate::records::Choice;
use crate::statistics::DecayingMean;
use crate::time::MonotonicTime;
use std::time::Duration;

/// How long a hit record is valid: about as long as a cache keeps an object that nobody requests.
pub(super) const HIT_RECORD_LIFETIME: Duration = Duration::from_secs(12);
/// Requests in an epoch of q (the paper's T) of one cache in one role: seconds of its traffic.
pub(super) const CACHE_EPOCH_REQUESTS: u32 = 50;
/// Requests in an epoch of q (the paper's T) of all caches together.
pub(super) const FLEET_EPOCH_REQUESTS: u32 = 8;
/// Weight of the newest epoch in q (the paper's delta).
const EPOCH_WEIGHT: f64 = 0.25;
/// Weight of the newest observation in a moving average: about the last twenty count.
pub(super) const OBSERVATION_WEIGHT: f64 = 0.05;
/// FP of a role before any observation. With these values of FP, FN and q, a first request to an unobserved
/// sibling is worth its cost.
pub(super) const INITIAL_FALSE_POSITIVES: f64 = 0.2;
/// FN of a role before any observation.
pub(super) const INITIAL_FALSE_NEGATIVES: f64 = 0.4;
/// q of a role before any observation.
pub(super) const INITIAL_POSITIVES: f64 = 0.4;
/// Miss penalty in microseconds before any observation.
pub(super) const INITIAL_MISS_PENALTY: f64 = 150_000.0;
/// Access cost in microseconds before any observation.
pub(super) const INITIAL_ACCESS_COST: f64 = 15_000.0;
/// Sending time of a class in microseconds before any observation.
pub(super) const INITIAL_SENDING_TIME: f64 = 100_000.0;

/// Quality of the indications (hit records) of one cache in one role.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(super) struct Indicator {
    /// FP of the paper.
    pub false_positives: DecayingMean,
    /// FN of the paper.
    pub false_negatives: DecayingMean,
    /// q of the paper: share of positive indications, updated once per epoch.
    pub q: Option<f64>,
    /// Indications counted in this epoch.
    pub asked: u32,
    /// Positive indications counted in this epoch.
    pub positive: u32,
    /// Mean hit latency in microseconds, without the sending time, which is the same for every choice.
    pub cost: DecayingMean,
}

impl Indicator {
    /// Counts an indication; q is updated once per epoch by Eq. (10).
    pub(super) fn count(&mut self, positive: bool, epoch: u32) {
        self.asked += 1;
        self.positive += u32::from(positive);
        if self.asked == epoch {
            let share = f64::from(self.positive) / f64::from(epoch);
            self.q = Some(self.q.map_or(share, |old| EPOCH_WEIGHT * share + (1.0 - EPOCH_WEIGHT) * old));
            (self.asked, self.positive) = (0, 0);
        }
    }
    /// Whether anything was observed.
    pub(super) fn is_observed(&self) -> bool {
        self.false_positives.0.or(self.false_negatives.0).or(self.q).or(self.cost.0).is_some()
    }
    /// Updates FP or FN with an indication and whether the cache had the object.
    pub(super) fn observe(&mut self, positive: bool, hit: bool) {
        let error_rate = if hit { &mut self.false_negatives } else { &mut self.false_positives };
        error_rate.add(f64::from(u8::from(positive != hit)), OBSERVATION_WEIGHT);
    }
}

/// Zone and cell of a server when an attempt was sent to it. The server may since have moved or left the
/// list.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Location {
    pub zone: usize,
    pub cell: u64,
}

/// The first attempt of a request that may have been executed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstRun {
    pub sent: MonotonicTime,
    /// Location of its edge cache.
    pub location: Location,
}

/// One attempt of a request.
#[derive(Default)]
pub(super) struct Attempt {
    /// The chosen servers.
    pub choice: Choice,
    /// Location of its edge cache.
    pub location: Location,
    pub sent: MonotonicTime,
    /// When it is next checked for being overdue.
    pub check_at: MonotonicTime,
    /// How long it may go without a response before it is overdue.
    pub response_timeout: Duration,
    /// Whether its outcome has been received.
    pub done: bool,
    pub cancelled: bool,
    /// Whether its edge cache failed.
    pub edge_failed: bool,
    /// Whether its source failed or lacked the object.
    pub source_failed: bool,
    /// Whether it has already been counted as a late fill.
    pub late: bool,
    /// Whether it belongs to the sample that estimates the work of its class.
    pub sampled: bool,
}

impl Attempt {
    /// This attempt as the first one that may have been executed.
    pub(super) fn as_first_run(&self) -> FirstRun {
        FirstRun { sent: self.sent, location: self.location }
    }

    /// Whether its source, a parent or the origin, may fetch what it does not have.
    pub(super) fn fetches(&self) -> bool {
        let Choice { edge, source, sibling, cached_only, link, .. } = self.choice;
        link && !sibling && !cached_only && source != edge
    }
}

/// A request without a final answer, or with attempts still in flight.
#[derive(Default)]
pub(super) struct OpenRequest {
    pub req: Request,
    pub arrived: MonotonicTime,
    /// Expected sending time in microseconds.
    pub work: f64,
    /// Whether the client stated the size.
    pub sized: bool,
    /// Whether the sending time was observed for this object, not just for its class.
    pub work_known: bool,
    pub attempts: Vec<Attempt>,
    /// Whether the final answer was given or the client has disconnected.
    pub closed: bool,
    /// Whether its answer is being streamed to the client.
    pub streaming: bool,
    /// The first attempt that may have been executed.
    pub first_run: Option<FirstRun>,
}

/// A request for which a sibling is sought.
pub(super) struct SiblingQuery<'a> {
    /// Rendezvous hashing key of the requested part.
    pub key: u64,
    /// Expected sending time in microseconds.
    pub work: f64,
    /// Work in microseconds that slow start budgets count.
    pub budget_work: f64,
    /// The servers with a recorded hit.
    pub holders: &'a [ServerId],
}

/// Expected cost of a request at an edge cache, in microseconds.
pub(super) struct EdgeCost {
    pub server: ServerId,
    /// Access cost of the edge cache.
    pub access: f64,
    /// The miss penalty times the probability of a miss at the edge cache.
    pub miss: f64,
}

impl EdgeCost {
    /// Eq. (11) for a source with this access cost and probability of a miss.
    pub fn with_source(&self, source_access: f64, source_miss: f64) -> f64 {
        self.access + source_access + self.miss * source_miss
    }
}
