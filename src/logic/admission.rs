//! Admission: a request is taken in, is declined where no answer can be in time, and is given its final
//! answer.
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

/// Share of the latency objective that a predicted answer of known size may take: load grows meanwhile.
const SIZED_OBJECTIVE_SHARE: f64 = 0.75;
/// The same for an answer of unknown size.
const UNSIZED_OBJECTIVE_SHARE: f64 = 0.65;
/// Share of the expected sending time that an answer takes at the least, its object observed before.
const KNOWN_MIN_WORK_SHARE: f64 = 0.8;
/// The same for an object not observed before.
const UNKNOWN_MIN_WORK_SHARE: f64 = 0.2;
/// Fills requested over those completed in time above which fills are withheld.
const OVERLOAD_RATIO: f64 = 1.2;
/// Share of the fills that is withheld at the most.
const WITHHELD_LIMIT: f64 = 0.97;
/// Weight of the newest fill in the share of fills that fail.
pub(super) const FAILED_FILL_WEIGHT: f64 = 0.3;
/// Share of the latency objective from which a fill counts as too late: what is requested next waits longer
/// than what has come.
pub(super) const LATE_FILL_SHARE: f64 = 0.55;
/// Part of its latency objective after which a rejected client may retry: a jam passes in moments, and the
/// objective counts from the first attempt. Later answers earn next to nothing and take as much.
pub(super) const RETRY_AFTER_DIVISOR: u64 = 6;

impl OpenRequest {
    /// Danger: sizes vary widely, so a mean above the client's patience is no reason to give up.
    pub(super) fn min_work(&self) -> f64 {
        match (self.attempts.is_empty() && !self.sized, self.work_known) {
            (false, _) => self.work,
            (_, true) => KNOWN_MIN_WORK_SHARE * self.work,
            _ => UNKNOWN_MIN_WORK_SHARE * self.work,
        }
    }

    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| !a.done).count()
    }
}

impl Router {
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

    /// Gives up: the final answer, at once, as the class allows.
    pub(super) fn give_up(&mut self, id: RequestId, retry_after: Duration, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.req.class];
        let repeats_dropped = class.effect == Effect::IdempotencyKey && class.group == Group::All;
        let safe_to_retry = open.first_run.is_none() || class.effect == Effect::Idempotent || repeats_dropped;
        let retry_after = retry_after.min(self.settings.limits_of(open.req.class).max_retry_after);
        actions.push(if safe_to_retry { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.close(id, actions);
    }

    /// Why no server was chosen for a request that may still be tried.
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

    /// Ends a request: withdraws what is out and forgets it when all outcomes are in.
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

    /// Danger: in a jam of a cache or of the location's link, all slow down until none is in time. What
    /// can't be is declined at once, before it takes room from what can. Harm: a late answer earns a little.
    pub(super) fn in_time(&self, open: &OpenRequest, class: &Class, edge: f64, miss: f64) -> bool {
        let estimate = self.link_flows.map_or(1.0, |flows| (self.link_load() + 1.0) / flows);
        let link = self.link_load_report.or(estimate, self.now, LOAD_REPORT_SPAN);
        let objective = class.latency_objective_of(open.work)
            * if open.sized { SIZED_OBJECTIVE_SHARE } else { UNSIZED_OBJECTIVE_SHARE };
        let stretch = edge + miss * (link - edge).max(0.0);
        let min_time = open.min_work() * stretch
            + miss * self.penalty.or(INITIAL_MISS_PENALTY).min(INITIAL_MISS_PENALTY);
        // Danger: what is too large to be in time even alone is declined on the quietest day.
        stretch <= if open.work > objective { CROWDED_STRETCH } else { objective / open.work.max(1.0) }
            && min_time <= micros_f64(open.req.ttl)
            || open.attempts.iter().any(|a| a.choice.link || a.choice.positive.edge)
    }

    /// Danger: when origin or parents can do no more, retries and new fetches keep them there, and neighbours
    /// follow. Fills are withheld by the share that fails, none is tried again. Harm: one would have come.
    pub(super) fn withholds_fill(&self, open: &OpenRequest) -> bool {
        let share = (1.0 - OVERLOAD_RATIO * (1.0 - self.failed_fill_share)).min(WITHHELD_LIMIT);
        let source_failed = open.attempts.iter().any(|a| a.source_failed && !a.choice.sibling);
        open.req.spare_origin || share > 0.0 && (source_failed || unit(self.seed ^ mix(open.req.id)) < share)
    }
}
