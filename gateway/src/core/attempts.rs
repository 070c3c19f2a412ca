//! Attempts in flight: their deadlines, and the check before their first byte is written that they may still be sent.
use super::origin::OriginFetch;
use super::requests::OpenRequest;
use super::Core;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use crate::system_errors::backoff;
use larchway::{Effect, Get, MonotonicTime, ServerId, Status};
use std::time::Duration;

/// Time allowed for the first byte of a retry to reach its store.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(10);

/// The shortest time for which a store can be asked to answer: requests state the wait in whole milliseconds. With
/// less time left nothing is sent, since the request would state a longer wait than the client's.
pub(super) const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// An attempt that has not ended.
pub struct Attempt {
    /// The request that it belongs to.
    pub(super) request: SlotKey,
    /// The index of this attempt among the attempts of that request.
    pub(super) number: u64,
    /// The decision of the module: the store, the source and the conditions.
    pub(super) get: Get,
    /// When the module decided on it.
    pub(super) created_at: MonotonicTime,
    /// When its first byte was written; none before that.
    pub(super) first_byte_at: Option<MonotonicTime>,
    /// The connection that carries it; none while it waits for one.
    pub connection: Option<SlotKey>,
    /// Whether the attempt was moved once from a broken connection to another one.
    pub(super) reconnected: bool,
    /// The fetch from the origin that the shield has admitted for it, if it needs one.
    pub(super) fetch: Option<OriginFetch>,
}

impl Attempt {
    /// Creates an attempt of which nothing is written yet.
    pub(super) fn new(
        now: MonotonicTime,
        request: SlotKey,
        number: u64,
        get: Get,
        fetch: Option<OriginFetch>,
    ) -> Self {
        Attempt {
            request,
            number,
            get,
            created_at: now,
            first_byte_at: None,
            connection: None,
            reconnected: false,
            fetch,
        }
    }

    /// When it is abandoned: at its own stop time, or at the deadline of its request if that is earlier.
    pub(super) fn deadline(&self, request: &OpenRequest) -> MonotonicTime {
        self.get.stop_at.map_or(request.deadline, |at| at.min(request.deadline))
    }
}

impl Core {
    /// Whether the first byte of an attempt may be written now; withdraws the attempt if not. While it waited for its
    /// connection, its client may have left or been answered, its deadline may have passed, or stores may have
    /// forgotten its idempotency key, so that a retry would run twice.
    pub fn may_send(&mut self, now: MonotonicTime, key: SlotKey) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        let is_sendable = self.requests.get(attempt.request).is_some_and(|open| {
            !open.answered
                && !self.deduplication_lapsed(now, open)
                && attempt.deadline(open) >= now + SHORTEST_WAIT
        });
        if !is_sendable {
            self.withdraw(now, key, Status::NeverSent);
        }
        is_sendable
    }

    /// Whether the deduplication window of the request's idempotency key is over, counted from the first attempt that
    /// has run or may be running: stores would run a retry again. The module applied the same rule, but before the
    /// attempt waited for a connection.
    fn deduplication_lapsed(&self, now: MonotonicTime, open: &OpenRequest) -> bool {
        let Some(slot) = self.classes.get(open.request.class) else {
            return false;
        };
        let running = open.attempts.iter().filter_map(|key| self.attempts.get(*key)?.first_byte_at);
        let first = running.chain(open.first_possible_run_at).min();
        slot.settings.class.effect == Effect::IdempotencyKey
            && first.is_some_and(|at| now + TRANSIT_ALLOWANCE >= at + slot.settings.class.window)
    }

    /// Records that the first byte of an attempt is written.
    pub fn record_first_byte(&mut self, now: MonotonicTime, key: SlotKey) {
        self.unsent_attempts.remove(&key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.first_byte_at = Some(now);
        }
    }

    /// Whether an attempt belongs to a class whose requests are not idempotent by themselves.
    pub fn has_side_effects(&self, key: SlotKey) -> bool {
        let class = self.request_of(key).and_then(|open| self.classes.get(open.request.class));
        class.is_some_and(|slot| slot.settings.class.effect != Effect::Idempotent)
    }

    /// The attempt, if it has not ended.
    pub fn attempt(&mut self, key: SlotKey) -> Option<&mut Attempt> {
        self.attempts.get_mut(key)
    }

    /// The store that an attempt goes to, and the call id under which it is sent.
    pub fn target(&self, key: SlotKey) -> Option<(ServerId, &str)> {
        let attempt = self.attempts.get(key)?;
        Some((attempt.get.server, &self.requests.get(attempt.request)?.request.call_id))
    }

    /// The connection of the client whose request an attempt belongs to, while the client waits for its reply.
    pub fn client_connection(&self, key: SlotKey) -> Option<SlotKey> {
        self.request_of(key).filter(|open| !open.answered).map(|open| open.reply_to.connection)
    }

    fn request_of(&self, key: SlotKey) -> Option<&OpenRequest> {
        self.attempts.get(key).and_then(|attempt| self.requests.get(attempt.request))
    }

    /// Whether the client stated the entity tag of its own copy, so that the store may reply that it is current.
    pub fn has_client_tag(&self, key: SlotKey) -> bool {
        self.request_of(key).is_some_and(|open| open.request.client_tag.is_some())
    }

    /// Whether an attempt whose connection broke before a byte was written may use another connection. Returns true
    /// only once per attempt.
    pub fn reconnect_once(&mut self, key: SlotKey) -> bool {
        self.attempts.get_mut(key).is_some_and(|attempt| !std::mem::replace(&mut attempt.reconnected, true))
    }

    /// Sends an attempt again after a backoff, because this machine had no capacity to connect for it. Returns false
    /// once `max_wait` has passed since the attempt was created: another store may have a connection.
    pub fn resend_after_backoff(&mut self, now: MonotonicTime, key: SlotKey, max_wait: Duration) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        let waited = now.saturating_since(attempt.created_at);
        if waited >= max_wait {
            return false;
        }
        self.deadlines.set(now + backoff(waited), DeadlineKind::Dispatch(key));
        true
    }
}
