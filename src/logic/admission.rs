//! Admission: admits requests, rejects those for which no answer can be in time, and gives final answers.
use super::load::{CROWDED_STRETCH, LOAD_REPORT_SPAN};
use super::server::Server;
use super::state::{
    OpenRequest, HIT_RECORD_LIFETIME, INITIAL_MISS_PENALTY, INITIAL_SENDING_TIME, OBSERVATION_WEIGHT,
};
use super::view::RejectionReason;
use super::Router;
use crate::hashing::{mix, unit};
use crate::interface::*;
use crate::time::micros_f64;
use std::time::Duration;

/// Share of the latency objective that the predicted duration of an answer of known size may use: the load
/// may grow in the meantime.
const SIZED_OBJECTIVE_SHARE: f64 = 0.75;
/// Like [`SIZED_OBJECTIVE_SHARE`], for an answer of unknown size.
const UNSIZED_OBJECTIVE_SHARE: f64 = 0.65;
/// Lower bound of the sending time of an object observed before, as a share of the expected one.
const KNOWN_MIN_WORK_SHARE: f64 = 0.8;
/// Like [`KNOWN_MIN_WORK_SHARE`], for an object not observed before.
const UNKNOWN_MIN_WORK_SHARE: f64 = 0.2;
/// Ratio of requested fills to fills completed in time above which some fills are withheld.
const OVERLOAD_RATIO: f64 = 1.2;
/// Maximum share of the fills that is withheld.
const WITHHELD_LIMIT: f64 = 0.97;
/// Weight of the newest fill in the share of fills that fail.
pub(super) const FAILED_FILL_WEIGHT: f64 = 0.3;
/// Share of the latency objective from which a fill counts as late: as the queue grows, the next fill takes
/// longer than the last completed one.
pub(super) const LATE_FILL_SHARE: f64 = 0.55;
/// Divisor of the latency objective that gives the Retry-After of a rejected request. Congestion passes
/// quickly, and the objective counts from the first attempt: later answers use as much capacity and have next
/// to no value.
pub(super) const RETRY_AFTER_DIVISOR: u64 = 6;

impl OpenRequest {
    /// Lower bound of the sending time in microseconds. Uses only part of the expected time until an attempt
    /// was made: object sizes vary widely, so a mean above the client's timeout does not show that this
    /// answer would be late.
    pub(super) fn min_work(&self) -> f64 {
        match (self.attempts.is_empty() && !self.sized, self.work_known) {
            (false, _) => self.work,
            (_, true) => KNOWN_MIN_WORK_SHARE * self.work,
            _ => UNKNOWN_MIN_WORK_SHARE * self.work,
        }
    }

    /// Number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| !a.done).count()
    }
}

impl Router {
    /// Admits a request and makes its first attempt.
    pub(super) fn on_request(&mut self, req: Request, actions: &mut Vec<Action>) {
        let (id, now) = (req.id, self.now);
        if req.class >= self.settings.classes.len() {
            return actions.push(Action::Fail(id));
        }
        let key = (req.object, req.part);
        let known = self.items.count(now, key, req.group, 4 * HIT_RECORD_LIFETIME);
        let sized = req.size_kb > 0.0 && self.settings.flow_kb_per_s > 0.0;
        let mut work = known.unwrap_or_else(|| self.work[req.class].or(INITIAL_SENDING_TIME));
        if sized {
            work = req.size_kb / self.settings.flow_kb_per_s * 1e6;
            self.work[req.class].add(work, OBSERVATION_WEIGHT);
        }
        let open = OpenRequest {
            req,
            arrived: now,
            work,
            sized,
            work_known: known.is_some(),
            ..OpenRequest::default()
        };
        self.open.insert(id, open);
        self.advance(id, actions);
    }

    /// Gives up a request with its final answer: a rejection if the client may safely retry, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, retry_after: Duration, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.req.class];
        let repeats_dropped = class.effect == Effect::IdempotencyKey && class.group == Group::All;
        let safe_to_retry = open.first_run.is_none() || class.effect == Effect::Idempotent || repeats_dropped;
        let retry_after = retry_after.min(self.settings.limits_of(open.req.class).max_retry_after);
        actions.push(if safe_to_retry { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.close(id, actions);
    }

    /// Why no server was chosen for a request that is still allowed an attempt.
    pub(super) fn rejection_reason(&self, open: &OpenRequest) -> RejectionReason {
        let key = mix(open.req.object ^ mix(open.req.part + 1));
        let own = &self.candidates.own;
        let is_up = |s: &Server| s.host.state == State::Up && !s.is_ejected(self.now);
        if self.first(own, key, is_up).is_none() {
            return RejectionReason::NoServer;
        }
        let mean = self.mean_work(open);
        match self.first(own, key, |s| self.usable(s, mean)) {
            None => RejectionReason::SlowStart,
            Some(_) => RejectionReason::NotInTime,
        }
    }

    /// Closes a request: cancels its attempts in flight, and removes it once all outcomes are received.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.closed = true;
        if self.settings.limits_of(open.req.class).cancel && !open.streaming {
            for (n, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| !a.done && !a.cancelled) {
                a.cancelled = true;
                actions.push(Action::Cancel { id, attempt: n as u64 });
            }
        }
        if open.in_flight() == 0 {
            self.open.remove(&id);
        }
    }

    /// Whether an answer can be in time, given the stretch at the edge cache and the probability of a miss.
    /// During congestion of a cache or of the location's link, all requests slow down until none is in time,
    /// so those that cannot be are rejected at once. The cost: a late answer would still have had some value.
    pub(super) fn in_time(&self, open: &OpenRequest, class: &Class, edge: f64, miss: f64) -> bool {
        let estimate = self.link_flows.map_or(1.0, |flows| (self.link_load() + 1.0) / flows);
        let link = self.link_load_report.or(estimate, self.now, LOAD_REPORT_SPAN);
        let objective = class.latency_objective_of(open.work)
            * if open.sized { SIZED_OBJECTIVE_SHARE } else { UNSIZED_OBJECTIVE_SHARE };
        let stretch = edge + miss * (link - edge).max(0.0);
        let min_time = open.min_work() * stretch
            + miss * self.penalty.or(INITIAL_MISS_PENALTY).min(INITIAL_MISS_PENALTY);
        // An object that is too large to meet the objective even on an idle server is rejected only under
        // load.
        stretch <= if open.work > objective { CROWDED_STRETCH } else { objective / open.work.max(1.0) }
            && min_time <= micros_f64(open.req.ttl)
            || open.attempts.iter().any(|a| a.choice.link || a.choice.positive.edge)
    }

    /// Whether a request's fill is withheld, by the share of fills that fail; a failed fill is not retried
    /// then. Overloaded parents or origins would be kept overloaded by retries and new fills, and others
    /// would follow. The cost: some withheld fills would have succeeded.
    pub(super) fn withholds_fill(&self, open: &OpenRequest) -> bool {
        let share = (1.0 - OVERLOAD_RATIO * (1.0 - self.failed_fill_share)).min(WITHHELD_LIMIT);
        let source_failed = open.attempts.iter().any(|a| a.source_failed && !a.choice.sibling);
        open.req.spare_origin || share > 0.0 && (source_failed || unit(self.seed ^ mix(open.req.id)) < share)
    }
}
