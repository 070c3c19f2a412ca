//! Admission of subscribers: where they begin to read, and which of them wait or are rejected.
use super::encoder::ScopeIndex;
use super::messages::{Output, RejectReason, SubscribeRequest, SubscriberId};
use super::subscribers::{ReadState, WaitingRequest};
use super::{Readiness, Relay};
use crate::event::{self, EventNumber};
use crate::log::HistoryCheck;
use crate::scope::Scope;
use larchway::{duration_micros, MonotonicTime};
use rand::Rng;
use std::time::Duration;

impl Relay {
    /// Handles a subscriber's request for events.
    pub(super) fn subscribe(
        &mut self,
        now: MonotonicTime,
        id: SubscriberId,
        request: SubscribeRequest,
        out: &mut Vec<Output>,
    ) {
        if self.subscribers.len() >= self.settings.max_subscribers {
            return self.reject(id, RejectReason::TooManySubscribers, out);
        }
        if self.names_unknown_scope(&request) {
            return self.reject(id, RejectReason::UnknownScope, out);
        }
        match self.readiness {
            Readiness::Ready => self.subscribe_when_ready(now, id, request, out),
            Readiness::Unready => self.enqueue(id, WaitingRequest { request, since: now }, out),
            Readiness::Stopped => self.reject(id, RejectReason::NotReady, out),
        }
    }

    fn subscribe_when_ready(
        &mut self,
        now: MonotonicTime,
        id: SubscriberId,
        request: SubscribeRequest,
        out: &mut Vec<Output>,
    ) {
        match self.initial_state(&request) {
            Err(reason) => self.reject(id, reason, out),
            Ok(state) if state.is_catching_up() && !self.may_catch_up() => {
                self.enqueue(id, WaitingRequest { request, since: now }, out);
            }
            Ok(state) => {
                let scope = self.scope_of(&request);
                self.subscribers.insert(id, &request, scope, state);
                self.accept(now, id, out);
            }
        }
    }

    /// Marks the relay as ready and admits waiting subscribers in order; those that have to catch up only while there
    /// is capacity.
    pub(super) fn become_ready(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        self.readiness = Readiness::Ready;
        for id in self.subscribers.waiting_ids() {
            self.admit(now, id, out);
        }
    }

    /// Marks the relay as not ready. Subscribers waiting for catch-up now wait for readiness, for at most its timeout.
    pub(super) fn become_unready(&mut self, now: MonotonicTime) {
        self.readiness = Readiness::Unready;
        let latest = now + self.settings.readiness_timeout;
        for id in self.subscribers.waiting_ids() {
            self.subscribers.limit_deadline(id, latest);
        }
    }

    /// Admits waiting subscribers while there is catch-up capacity.
    pub(super) fn admit_waiting(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        while self.is_ready() && self.may_catch_up() {
            let Some(id) = self.subscribers.first_waiting() else { return };
            self.admit(now, id, out);
        }
    }

    /// Handles the expired deadline of a waiting subscriber. It is rejected, unless the relay has become ready in the
    /// meantime and the admission timeout has not passed yet.
    pub(super) fn handle_waiting_deadline(
        &mut self,
        now: MonotonicTime,
        id: SubscriberId,
        out: &mut Vec<Output>,
    ) {
        let waiting = self.subscribers.get(id).and_then(|subscriber| subscriber.waiting.as_ref());
        let deadline = waiting.map_or(now, |waiting| self.waiting_deadline(waiting.since));
        if self.is_ready() && deadline > now {
            return self.subscribers.set_deadline(id, deadline);
        }
        self.subscribers.remove(id);
        self.reject(id, self.waiting_reason(), out);
    }

    pub(super) fn reject(&mut self, id: SubscriberId, reason: RejectReason, out: &mut Vec<Output>) {
        let jitter = self.random.random_range(0..=duration_micros(self.settings.retry_jitter));
        let jitter = Duration::from_micros(jitter);
        out.push(Output::Reject { id, reason, retry_after: self.settings.retry_after + jitter });
    }

    /// The event number for a snapshot for this subscriber; `None` if there is none or the store list is incomplete. It
    /// is beyond the number that the subscriber expects next, so that the jump is visible (E1). If possible an event
    /// follows the snapshot, because only that event's digest identifies the history.
    pub(super) fn snapshot_number(&self, cursor: EventNumber) -> Option<EventNumber> {
        let last = self.ring.last().max(self.log.first() - 1);
        let before_last = last.saturating_sub(1).max(self.log.first() - 1);
        let is_visible = |number: &EventNumber| shows_as_jump(cursor, *number);
        [before_last, last].into_iter().find(is_visible).filter(|_| self.log.stores().is_complete())
    }

    /// Whether there is capacity for another subscriber to catch up.
    fn may_catch_up(&self) -> bool {
        self.subscribers.catching_up() < self.settings.max_catching_up
    }

    /// Deadline of a subscriber waiting since this time, given the relay's current readiness.
    fn waiting_deadline(&self, since: MonotonicTime) -> MonotonicTime {
        let admission_timeout = self.settings.admission_timeout;
        match self.readiness {
            Readiness::Ready => since + admission_timeout,
            _ => since + self.settings.readiness_timeout.min(admission_timeout),
        }
    }

    /// The reason for rejecting a subscriber whose wait has failed: no readiness, or no catch-up capacity.
    fn waiting_reason(&self) -> RejectReason {
        match self.readiness {
            Readiness::Ready => RejectReason::Busy,
            _ => RejectReason::NotReady,
        }
    }

    fn enqueue(&mut self, id: SubscriberId, waiting: WaitingRequest, out: &mut Vec<Output>) {
        if self.subscribers.waiting() >= self.settings.max_waiting {
            return self.reject(id, self.waiting_reason(), out);
        }
        let scope = self.scope_of(&waiting.request);
        let deadline = self.waiting_deadline(waiting.since);
        self.subscribers.insert_waiting(id, waiting, scope);
        self.subscribers.set_deadline(id, deadline);
    }

    /// Admits or rejects a waiting subscriber. It keeps waiting if it has to catch up and there is no capacity.
    fn admit(&mut self, now: MonotonicTime, id: SubscriberId, out: &mut Vec<Output>) {
        let waiting = self.subscribers.get(id).and_then(|subscriber| subscriber.waiting.as_ref());
        let Some(waiting) = waiting else { return };
        match self.initial_state(&waiting.request) {
            Ok(state) if state.is_catching_up() && !self.may_catch_up() => {}
            Ok(state) => {
                self.subscribers.set_state(id, state);
                self.accept(now, id, out);
            }
            Err(reason) => {
                self.subscribers.remove(id);
                self.reject(id, reason, out);
            }
        }
    }

    fn accept(&mut self, now: MonotonicTime, id: SubscriberId, out: &mut Vec<Output>) {
        let Some(subscriber) = self.subscribers.get_mut(id) else { return };
        subscriber.progress = now;
        let catches_up = subscriber.state.is_catching_up();
        let timeout = if catches_up { self.settings.catch_up_timeout } else { self.settings.stall_timeout };
        self.subscribers.set_deadline(id, now + timeout);
        out.push(Output::Accept(id));
    }

    /// The initial read state of a subscriber of a ready relay, or the reason for rejecting it.
    fn initial_state(&self, request: &SubscribeRequest) -> Result<ReadState, RejectReason> {
        let cursor = request.cursor.unwrap_or(0);
        if cursor > self.log.last() {
            return Err(RejectReason::Behind);
        }
        if cursor < self.log.first() - 1 {
            return self.start_with_snapshot(cursor);
        }
        if cursor == 0 && self.snapshot_saves_pages() {
            return Ok(ReadState::Snapshot);
        }
        match self.check_history(cursor, request) {
            HistoryCheck::Other => Err(RejectReason::OtherHistory),
            HistoryCheck::Unknown => self.start_with_snapshot(cursor),
            HistoryCheck::Same => {
                Ok(self.ring.batch_after(cursor).map_or(ReadState::CatchUp, ReadState::Live))
            }
        }
    }

    fn names_unknown_scope(&self, request: &SubscribeRequest) -> bool {
        request.scope.is_some() && self.scope_of(request).is_none()
    }

    /// The scope that a request names; `None` if it names none or an unknown one.
    fn scope_of(&self, request: &SubscribeRequest) -> Option<ScopeIndex> {
        request.scope.as_deref().and_then(|name| self.encoder.scope_index(name))
    }

    /// Whether a subscriber without events should get a snapshot, because the history is longer than one page.
    fn snapshot_saves_pages(&self) -> bool {
        self.ring.last() > self.settings.page_events && self.snapshot_number(0).is_some()
    }

    fn start_with_snapshot(&self, cursor: EventNumber) -> Result<ReadState, RejectReason> {
        self.snapshot_number(cursor).map(|_| ReadState::Snapshot).ok_or(RejectReason::NotReady)
    }

    /// Compares histories. A subscriber that sends no digest is trusted, and one without events has no history to
    /// compare.
    fn check_history(&self, cursor: EventNumber, request: &SubscribeRequest) -> HistoryCheck {
        let Some(digest) = request.digest.filter(|_| cursor > 0) else { return HistoryCheck::Same };
        let check = self.log.check_history(cursor, digest);
        let scope = self.scope_of(request);
        match scope {
            Some(scope) if check == HistoryCheck::Other && self.log.has_stores(cursor) => {
                self.check_scoped(cursor, digest, self.encoder.scope(scope))
            }
            _ => check,
        }
    }

    /// Compares the digest of a list event as filtered by the scope, because its text differs between scopes.
    fn check_scoped(&self, cursor: EventNumber, digest: u64, scope: &Scope) -> HistoryCheck {
        let Some(event) = self.log.current(cursor) else { return HistoryCheck::Unknown };
        let scoped = scope.filter(cursor, &event.data);
        match event::digest(&scoped) == digest {
            true => HistoryCheck::Same,
            false => HistoryCheck::Other,
        }
    }
}

/// Whether a subscriber recognizes a snapshot with this number by a jump. Otherwise it would mistake the snapshot for
/// the event with that number, and the snapshot's digest for one that identifies the history.
pub(super) fn shows_as_jump(cursor: EventNumber, number: EventNumber) -> bool {
    let next_expected = cursor + 1;
    number > next_expected
}
