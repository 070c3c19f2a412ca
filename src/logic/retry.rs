//! Retries and hedged requests: when a further attempt is made, and when an unanswered one is given up.
use super::admission::{FAILED_FILL_WEIGHT, LATE_FILL_SHARE, RETRY_AFTER_DIVISOR};
use super::ejection::{EJECTION_THRESHOLD, LONGEST_BACKOFF};
use super::load::{LOAD_SPAN, USUAL_RATE_SPAN};
use super::slow_start::RECORDED_FILL_SHARE;
use super::state::{Attempt, Location, OpenRequest, CACHE_EPOCH_REQUESTS, FLEET_EPOCH_REQUESTS};
use super::view::RejectionReason;
use super::Router;
use crate::interface::*;
use crate::records::Choice;
use crate::time::{duration_micros, micros_f64};
use std::time::Duration;

/// Multiple of its expected duration after which an attempt without a response is overdue.
const RESPONSE_TIMEOUT_FACTOR: f64 = 2.0;
/// Time added to that multiple, to allow for jitter.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_millis(150);
/// Interval between checks for overdue attempts.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts for one request, whatever the settings allow: more could cause a retry storm.
const ATTEMPT_LIMIT: usize = 4;
/// Maximum number of hedged requests in flight, as a share of the open requests: hedging must not double the
/// load during congestion.
const HEDGED_SHARE: f64 = 0.1;
/// Number of hedged requests that may be in flight in addition to that share.
const HEDGED_MINIMUM: f64 = 2.0;

/// Upper bound of [`Get::rank`], the cache priority of a copy.
const HIGHEST_RANK: u32 = 3;

/// The result of checking an attempt.
#[derive(PartialEq)]
enum Overdue {
    /// The attempt goes on or was cancelled.
    Waiting,
    /// A hedged request was to be sent in addition.
    Hedged,
}

impl Router {
    /// Makes the next attempt of a request, or rejects it if none is possible and none is in flight.
    pub(super) fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let class_index = open.req.class;
        let class = &self.settings.classes[class_index];
        let exhausted = self.exhausted(open, class);
        let choice = if exhausted { None } else { self.choose(open, class) };
        let Some(choice) = choice else {
            if open.in_flight() == 0 {
                let reason = match exhausted {
                    true => RejectionReason::AttemptsExhausted,
                    false => self.rejection_reason(open),
                };
                self.rejections.count(reason);
                let class = &self.settings.classes[class_index];
                let retry_after = duration_micros(class.latency_objective) / RETRY_AFTER_DIVISOR;
                self.give_up(id, Duration::from_micros(retry_after), actions);
            }
            return;
        };
        let expected = Duration::from_micros((RESPONSE_TIMEOUT_FACTOR * choice.expected) as u64);
        let response_timeout = expected + RESPONSE_TIMEOUT_MARGIN;
        let get = self.build_get(open, class, &choice, response_timeout);
        let work = self.mean_work(open);
        let is_sized = open.sized;
        self.record_sent_work(&choice, class_index, work, is_sized);
        if !self.count_attempt(&choice) {
            return;
        }
        let location = self.location(choice.edge);
        if let Some(open) = self.open.get_mut(&id) {
            let (sent, check_at) = (self.now, self.now + response_timeout);
            let sampled = !open.sized && self.unsized_work[class_index].begin();
            let attempt =
                Attempt { choice, location, sent, check_at, response_timeout, sampled, ..Attempt::default() };
            open.attempts.push(attempt);
        }
        actions.push(Action::Get(get));
    }

    /// Zone and cell of a server as listed.
    fn location(&self, server: ServerId) -> Location {
        let host = self.servers.get(&server).map(|server| &server.host);
        host.map_or_else(Location::default, |host| Location { zone: host.zone, cell: host.cell })
    }

    /// Whether no further attempt is allowed, or none could end before the client gives up.
    fn exhausted(&self, open: &OpenRequest, class: &Class) -> bool {
        let end = open.arrived + open.req.ttl;
        open.attempts.len() >= ATTEMPT_LIMIT.min(self.settings.attempts_of(class))
            || open.min_work() > micros_f64(end.saturating_since(self.now))
            || match (class.effect, open.first_run) {
                (_, None) | (Effect::Idempotent, _) => false,
                (Effect::IdempotencyKey, Some(first)) => {
                    self.now + CHECK_INTERVAL > first.sent + class.window
                }
                (Effect::Unsafe, _) => true,
            }
    }

    /// The attempt for a choice, with the time-out and cache parameters of the request.
    fn build_get(
        &self,
        open: &OpenRequest,
        class: &Class,
        choice: &Choice,
        response_timeout: Duration,
    ) -> Get {
        // A stale copy is acceptable only after a failure; a sibling without the object is not a failure.
        let grace = open.attempts.iter().any(|a| a.edge_failed || a.source_failed && !a.choice.sibling);
        let request_count = self.items.get(&(open.req.object, open.req.part)).map_or(1, |i| i.seen.max(1));
        let cancel = self.settings.limits_of(open.req.class).cancel;
        Get {
            id: open.req.id,
            server: choice.edge,
            source: choice.source,
            stop_at: (!cancel).then(|| self.now + 2 * response_timeout),
            rank: if class.uncacheable { 0 } else { (1 + request_count.ilog2()).min(HIGHEST_RANK) as u8 },
            max_age: self.max_age(&open.req, class, grace),
            cached_only: choice.cached_only,
            join_fill: self.settings.joins && open.attempts.is_empty() && !class.uncacheable,
            renew_stale: !class.fresh.is_zero(),
        }
    }

    /// Counts an attempt's work at its edge cache and source, for slow start budgets and the rate of work. An
    /// attempt at an ejected server uses its trial until the next backoff has passed.
    fn record_sent_work(&mut self, choice: &Choice, class: usize, work: f64, is_sized: bool) {
        let (now, span) = (self.now, self.settings.overload_span);
        let record = choice.positive.edge;
        let fill = (choice.source, if record { RECORDED_FILL_SHARE } else { 1.0 });
        let reached = [Some((choice.edge, 1.0)), (choice.source != choice.edge).then_some(fill)];
        for (server, share) in reached.into_iter().flatten() {
            let Some(s) = self.servers.get_mut(&server) else { continue };
            match is_sized {
                true => s.sent.add_sized(work * share, now, span),
                false => s.sent.add_unsized(class, share, work * share, now, span),
            }
            s.rate.add_pulse(work * share, now, USUAL_RATE_SPAN);
            self.candidates.reset_mean_rate();
            if !s.backoff.is_zero() && (server == choice.edge || !record) {
                s.retry_at = now + s.backoff; // This attempt is the single trial before the next backoff.
            }
        }
    }

    /// Counts an attempt in flight and its indications. Returns whether its edge cache is listed.
    fn count_attempt(&mut self, choice: &Choice) -> bool {
        let now = self.now;
        let Some(edge) = self.servers.get_mut(&choice.edge) else { return false };
        edge.in_flight.add(1.0, now, LOAD_SPAN);
        self.in_flight.add(1.0, now, LOAD_SPAN);
        edge.roles.edge.count(choice.positive.edge, CACHE_EPOCH_REQUESTS);
        self.all_caches.edge.count(choice.positive.edge, FLEET_EPOCH_REQUESTS);
        self.fills_in_flight.add(f64::from(u8::from(choice.link)), now, LOAD_SPAN);
        if let (true, Some(s)) = (choice.sibling, self.servers.get_mut(&choice.source)) {
            s.roles.source.count(choice.positive.source, CACHE_EPOCH_REQUESTS);
            self.candidates.observed_sources.extend(s.roles.source.is_observed().then_some(choice.source));
            self.all_caches.source.count(choice.positive.source, FLEET_EPOCH_REQUESTS);
        }
        true
    }

    /// Records the outcome of an attempt, and if necessary retries its request or gives the final answer.
    pub(super) fn on_outcome(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.id;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(outcome.attempt as usize).filter(|a| !a.done) else {
            return;
        };
        attempt.done = true;
        let first_run = attempt.as_first_run();
        if !outcome.status.never_ran() && outcome.status != Status::Ok && open.first_run.is_none() {
            open.first_run = Some(first_run);
        }
        self.learn(outcome);
        let Some(open) = self.open.get_mut(&id) else { return };
        if outcome.request == RequestState::Closed || open.closed {
            return self.close(id, actions);
        }
        if open.streaming || open.in_flight() > 0 {
            return;
        }
        // No retry after a failure of the origin: it would add load to an origin that may be overloaded.
        if outcome.note == Note::OriginFailed {
            return self.give_up(id, LONGEST_BACKOFF, actions);
        }
        // The client has given up. Otherwise an attempt that was never sent, because its store was removed or
        // a purge arrived while it waited, is made elsewhere.
        if self.now >= open.arrived + open.req.ttl {
            actions.push(Action::Fail(id));
            return self.close(id, actions);
        }
        self.advance(id, actions);
    }

    /// Checks for overdue attempts; runs every [`CHECK_INTERVAL`] while requests are open.
    pub(super) fn on_timer(&mut self, actions: &mut Vec<Action>) {
        self.timer_set = false;
        let now = self.now;
        let overdue = |a: &Attempt| !a.done && !a.cancelled && now >= a.check_at;
        let is_waiting =
            |o: &OpenRequest| !o.closed && !o.streaming && o.attempts.last().is_some_and(overdue);
        let overdue_requests: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| is_waiting(o)).map(|(&id, _)| id).collect();
        self.count_late_fills();
        let mut hedged = self.open.values().filter(|o| o.in_flight() > 1).count() as f64;
        let limit = HEDGED_MINIMUM + HEDGED_SHARE * self.open.len() as f64;
        for id in overdue_requests {
            if self.check_overdue(id, hedged < limit, actions) == Overdue::Hedged {
                hedged += 1.0;
            }
        }
    }

    /// Counts fills in flight that are already late as failed: an overloaded origin may answer nothing for a
    /// second, and would be sent fills all that time. The cost: a large object may count as late before it
    /// can be complete.
    fn count_late_fills(&mut self) {
        let now = self.now;
        for open in self.open.values_mut().filter(|o| !o.closed) {
            let class = &self.settings.classes[open.req.class];
            let limit = (LATE_FILL_SHARE * class.latency_objective_of(open.work)) as u64;
            let limit = Duration::from_micros(limit);
            let is_waiting = |a: &&mut Attempt| !a.done && !a.late && a.fetches() && now > a.sent + limit;
            for attempt in open.attempts.iter_mut().filter(is_waiting) {
                attempt.late = true;
                self.failed_fill_share += FAILED_FILL_WEIGHT * (1.0 - self.failed_fill_share);
            }
        }
    }

    /// Checks an overdue attempt. If its server has sent no response to any attempt since, records a failure
    /// and sends a hedged request or cancels the attempt: a server that accepts work without answering would
    /// hold requests until their clients give up. The cost: a merely slow server may be ejected for a moment.
    fn check_overdue(&mut self, id: RequestId, may_hedge: bool, actions: &mut Vec<Action>) -> Overdue {
        let Some(open) = self.open.get_mut(&id) else { return Overdue::Waiting };
        let single_attempt =
            self.settings.classes[open.req.class].effect == Effect::Unsafe || open.in_flight() > 1;
        let limits = self.settings.limits_of(open.req.class);
        let last_index = open.attempts.len() as u64 - 1;
        let Some(attempt) = open.attempts.last_mut() else { return Overdue::Waiting };
        let (edge, source, sent) = (attempt.choice.edge, attempt.choice.source, attempt.sent);
        let first_run = attempt.as_first_run();
        let edge_responded = self.servers.get(&edge).is_some_and(|s| s.last_response > sent);
        let source_filled = self.servers.get(&source).is_some_and(|s| s.last_fill > sent);
        attempt.check_at = self.now + attempt.response_timeout;
        let silent_server = if !edge_responded {
            attempt.edge_failed = true;
            edge
        } else if !attempt.choice.positive.edge && !source_filled && source != edge {
            attempt.source_failed = true;
            source
        } else {
            return Overdue::Waiting;
        };
        if let Some(s) = self.servers.get_mut(&silent_server) {
            s.record_failure(self.now, EJECTION_THRESHOLD);
        }
        if single_attempt {
            return Overdue::Waiting;
        }
        if limits.duplicates && may_hedge {
            open.first_run.get_or_insert(first_run);
            self.advance(id, actions);
            return Overdue::Hedged;
        }
        if limits.cancel {
            attempt.cancelled = true;
            actions.push(Action::Cancel { id, attempt: last_index });
        }
        Overdue::Waiting
    }
}
