//! Requests in flight: their admission, and exactly one final reply for each.
use super::messages::{Command, FailureCause, ReplyHandle, Request};
use super::origin::part_key;
use super::Core;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use larchway::{duration_micros, Effect, Event, MonotonicTime, RequestState};
use larchway_hierarchy::origin_admission::{AdmissionDecision, Joining, OriginAdmission};
use larchway_operations::RequestEnd;
use std::time::Duration;

/// The final reply is sent before the client's own deadline, since the request and the reply both spend time on the
/// network. This margin is the client's timeout divided by this number, within bounds.
const REPLY_MARGIN_DIVISOR: u64 = 16;
/// The largest reply margin.
pub(super) const LONGEST_REPLY_MARGIN: Duration = Duration::from_millis(30);
/// The smallest reply margin.
const SHORTEST_REPLY_MARGIN: Duration = Duration::from_millis(2);

/// How long the call id of a request that must not run again is remembered, as a multiple of its class's deadline:
/// the longest time that a client may wait for it.
const REMEMBERED_DEADLINES: u32 = 2;

/// The key returned for a request that was answered from the cache and has no slot.
const ANSWERED_FROM_CACHE: SlotKey = SlotKey(u64::MAX);

/// A request that has not ended.
pub(super) struct OpenRequest {
    /// The connection and the number to which the reply is sent.
    pub(super) reply_to: ReplyHandle,
    /// The request of the client.
    pub(super) request: Request,
    /// When the final reply must be sent.
    pub(super) deadline: MonotonicTime,
    /// The attempts by number; those that have ended are no longer in the table of attempts.
    pub(super) attempts: Vec<SlotKey>,
    /// The number of attempts that have not ended.
    pub(super) running_attempts: usize,
    /// Whether the final reply was sent.
    pub(super) answered: bool,
    /// Whether the deadline was shortened because the process ends.
    pub(super) ends_with_process: bool,
    /// When the first byte was written of the earliest ended attempt that may have run.
    pub(super) first_possible_run_at: Option<MonotonicTime>,
}

impl OpenRequest {
    fn new(reply_to: ReplyHandle, request: Request, deadline: MonotonicTime) -> Self {
        OpenRequest {
            reply_to,
            request,
            deadline,
            attempts: Vec::new(),
            running_attempts: 0,
            answered: false,
            // The deadline of a request that arrives during shutdown lies before the end already.
            ends_with_process: false,
            first_possible_run_at: None,
        }
    }

    /// The state of the request for the decision module.
    pub(super) fn state(&self) -> RequestState {
        if self.answered {
            RequestState::Closed
        } else {
            RequestState::Open
        }
    }
}

/// The time that the gateway may take for a request with this client timeout.
fn time_to_answer(timeout: Duration) -> Duration {
    let share = Duration::from_micros(duration_micros(timeout) / REPLY_MARGIN_DIVISOR);
    let margin = share.clamp(SHORTEST_REPLY_MARGIN, LONGEST_REPLY_MARGIN);
    timeout.saturating_sub(margin)
}

impl Core {
    /// `wanted`, or the longest `Retry-After` allowed if that is shorter: by the settings of the class, or by those
    /// of the first class in force if the class is unknown.
    pub fn retry_after(&self, class: Option<usize>, wanted: Duration) -> Duration {
        let settings = class.and_then(|slot| self.classes.get(slot)).map(|slot| &slot.settings);
        let settings = settings.or_else(|| self.classes.current().next().map(|slot| &slot.settings));
        let limits = settings.and_then(|settings| settings.class.limits).unwrap_or_default();
        wanted.min(limits.max_retry_after)
    }

    /// Counts a well-formed request that was rejected before it was admitted.
    pub fn count_rejected(&mut self, class: usize) {
        self.counters.count_received();
        self.count_ended(class, RequestEnd::Rejected);
    }

    /// The number of requests that have not ended, including answered ones with running attempts.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of requests that wait for their final reply.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.iter().filter(|(_, open)| !open.answered).count()
    }

    /// Admits a request; its final reply comes as a command or from [`Core::end_attempt_with_reply`]. Returns none if
    /// its call id is that of a request that has not ended, since stores could not distinguish the two, or of one
    /// that may have run and must not run again.
    pub fn admit(&mut self, now: MonotonicTime, reply_to: ReplyHandle, request: Request) -> Option<SlotKey> {
        if self.open_call_ids.contains(&request.call_id) || self.recent_calls.contains(now, &request.call_id)
        {
            return None;
        }
        let until_end = self.answer_all_before.map_or(Duration::MAX, |end| end.saturating_since(now));
        let time_left = time_to_answer(request.timeout).min(until_end);
        if let Some(hit) = self.lookup_cached(now, &request, time_left) {
            self.counters.count_received();
            self.count_ended(request.class, RequestEnd::Served);
            self.commands.push_back(Command::ReplyFromCache(reply_to, hit));
            return Some(ANSWERED_FROM_CACHE);
        }
        Some(self.open_request(now, reply_to, request, time_left))
    }

    /// Opens a request that was not answered from the cache, and lets the module decide on it.
    fn open_request(
        &mut self,
        now: MonotonicTime,
        reply_to: ReplyHandle,
        request: Request,
        time_left: Duration,
    ) -> SlotKey {
        let (class, object, part) = (request.class, request.object, request.part);
        let (group, size_kb) = (request.group, request.size_kb);
        let spare_origin = self.shield_would_refuse(now, &request);
        self.open_call_ids.insert(request.call_id.clone());
        self.request_body_bytes += request.body.len();
        self.counters.count_received();
        self.classes.acquire(class);
        let key = self.requests.insert(OpenRequest::new(reply_to, request, now + time_left));
        self.deadlines.set(now + time_left, DeadlineKind::Request(key));
        let request = larchway::Request {
            id: key.0,
            class,
            object,
            part,
            group,
            ttl: time_left,
            size_kb,
            spare_origin,
        };
        self.handle_event(now, Event::Request(request));
        key
    }

    /// Whether the shield would refuse a fetch from the origin for a request now.
    fn shield_would_refuse(&self, now: MonotonicTime, request: &Request) -> bool {
        let refuses = |shield: &OriginAdmission| {
            !matches!(
                shield.decision_before_hub_limit(now, part_key(request), Joining::Allowed),
                None | Some(AdmissionDecision::Join)
            )
        };
        self.shield.as_ref().is_some_and(refuses) && !self.uncacheable(request.class)
    }

    /// Handles that the client has left: the request gets no reply.
    pub fn client_left(&mut self, now: MonotonicTime, request: SlotKey) {
        if self.mark_answered(now, request, RequestEnd::Failed).is_some() {
            self.handle_event(now, Event::ClientLeft(request.0));
            self.withdraw_unsent(now, request);
        }
    }

    /// Gives up a request whose attempt cannot be sent: it is rejected if it had no effect, and failed if it may have
    /// run. `retry_after` is sent to the client, up to the limit of the settings.
    pub fn give_up(&mut self, now: MonotonicTime, request: SlotKey, retry_after: Duration) {
        let Some(open) = self.requests.get(request) else { return };
        let class = open.request.class;
        let may_have_run = self.may_have_run(open);
        let end = if may_have_run { RequestEnd::Failed } else { RequestEnd::Rejected };
        let Some(reply_to) = self.mark_answered(now, request, end) else { return };
        self.commands.push_back(if may_have_run {
            Command::ReplyFailed(reply_to, FailureCause::Unserved)
        } else {
            Command::ReplyRejected(reply_to, self.retry_after(Some(class), retry_after))
        });
        self.handle_event(now, Event::ClientLeft(request.0));
        self.withdraw_unsent(now, request);
        self.remove_if_finished(request);
    }

    /// Gives up the request of an attempt.
    pub fn give_up_request_of(&mut self, now: MonotonicTime, attempt: SlotKey, retry_after: Duration) {
        if let Some(request) = self.attempts.get(attempt).map(|attempt| attempt.request) {
            self.give_up(now, request, retry_after);
        }
    }

    /// Whether a request may have had an effect; never for one that only reads.
    fn may_have_run(&self, open: &OpenRequest) -> bool {
        let class = self.classes.get(open.request.class);
        let only_reads = class.is_some_and(|slot| slot.settings.class.effect == Effect::Idempotent);
        let is_begun =
            |key: &SlotKey| self.attempts.get(*key).is_some_and(|attempt| attempt.first_byte_at.is_some());
        !only_reads && (open.first_possible_run_at.is_some() || open.attempts.iter().any(is_begun))
    }

    /// Fails an unanswered request whose deadline has passed, without waiting for the module: each request must get a
    /// reply.
    pub(super) fn fail_overdue(&mut self, now: MonotonicTime, request: SlotKey) {
        if let Some(reply_to) = self.mark_answered(now, request, RequestEnd::Failed) {
            self.commands.push_back(Command::ReplyFailed(reply_to, FailureCause::DeadlineExceeded));
            self.handle_event(now, Event::ClientLeft(request.0));
        }
    }

    /// Makes all open requests, and those that are still admitted, get their reply before the process ends at `end`.
    pub fn answer_all_by(&mut self, now: MonotonicTime, end: MonotonicTime) {
        self.answer_all_before = Some(end);
        let is_due_later = |open: &OpenRequest| !open.answered && open.deadline > end;
        let cut_short: Vec<SlotKey> =
            self.requests.iter().filter(|(_, open)| is_due_later(open)).map(|(key, _)| key).collect();
        for key in cut_short {
            let Some(open) = self.requests.get_mut(key) else { continue };
            self.deadlines.clear(open.deadline, DeadlineKind::Request(key));
            open.deadline = end.max(now);
            open.ends_with_process = true;
            self.deadlines.set(open.deadline, DeadlineKind::Request(key));
        }
    }

    /// Sends the final reply of a request, unless one was sent before.
    pub(super) fn answer(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        end: RequestEnd,
        command: impl FnOnce(ReplyHandle) -> Command,
    ) {
        let Some(reply_to) = self.mark_answered(now, key, end) else { return };
        self.commands.push_back(command(reply_to));
        self.remove_if_finished(key);
    }

    /// Marks a request as answered, once, counts how it ended, and remembers its call id if it must not run again.
    /// Returns where its reply goes.
    pub(super) fn mark_answered(
        &mut self,
        now: MonotonicTime,
        request: SlotKey,
        end: RequestEnd,
    ) -> Option<ReplyHandle> {
        let open = self.requests.get_mut(request).filter(|open| !open.answered)?;
        open.answered = true;
        let (reply_to, class) = (open.reply_to, open.request.class);
        self.count_ended(class, end);
        self.remember_unsafe_call(now, request);
        Some(reply_to)
    }

    /// Remembers the call id of a request that has ended and that must not run again, if it may have run.
    fn remember_unsafe_call(&mut self, now: MonotonicTime, request: SlotKey) {
        let Some(open) = self.requests.get(request) else { return };
        let Some(slot) = self.classes.get(open.request.class) else { return };
        if slot.settings.class.effect == Effect::Unsafe && self.may_have_run(open) {
            let until = now + slot.settings.deadline * REMEMBERED_DEADLINES;
            self.recent_calls.insert(now, &open.request.call_id, until);
        }
    }

    fn count_ended(&mut self, class: usize, end: RequestEnd) {
        if let Some(slot) = self.classes.get(class) {
            self.counters.count_ended(&slot.name, end);
        }
    }

    /// Removes a request that is answered and has no running attempt.
    pub(super) fn remove_if_finished(&mut self, key: SlotKey) {
        let finished = |open: &OpenRequest| open.answered && open.running_attempts == 0;
        if !self.requests.get(key).is_some_and(finished) {
            return;
        }
        if let Some(open) = self.requests.remove(key) {
            self.request_body_bytes -= open.request.body.len();
            self.open_call_ids.remove(&open.request.call_id);
            self.classes.release(open.request.class);
            self.deadlines.clear(open.deadline, DeadlineKind::Request(key));
        }
    }
}
