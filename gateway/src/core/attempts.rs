//! Attempts in flight, until their first byte is written: what each waits for and whether it may still be
//! sent.
use super::origin::OriginFetch;
use super::requests::OpenRequest;
use super::Core;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use crate::system_errors::backoff;
use larchway::{Effect, Get, MonotonicTime, ServerId, Status};
use std::time::Duration;

/// How long the first byte of a retry is given to reach its store.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(10);

/// How long a store is given at least: the unit in which a request states how long the gateway
/// waits. With less left nothing is sent, since it would state more than there is.
pub(super) const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// An attempt that has not ended.
pub struct Attempt {
    /// The request that it is made for.
    pub(super) request: SlotKey,
    /// Its number among the attempts of that request.
    pub(super) number: u64,
    /// What the module decided.
    pub(super) get: Get,
    /// When the module decided it.
    pub(super) created_at: MonotonicTime,
    /// When its first byte was written.
    pub(super) first_byte_at: Option<MonotonicTime>,
    /// The connection that carries it.
    pub connection: Option<SlotKey>,
    /// Whether it has left a broken connection for another.
    pub(super) reconnected: bool,
    /// What the shield has admitted for it.
    pub(super) fetch: Option<OriginFetch>,
}

impl Attempt {
    /// An attempt that was decided now.
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

    /// When it is given up, as an attempt of this request.
    pub(super) fn deadline(&self, request: &OpenRequest) -> MonotonicTime {
        self.get.stop_at.map_or(request.deadline, |at| at.min(request.deadline))
    }
}

impl Core {
    /// Whether the first byte of an attempt may be written now. Danger: it has waited for its connection, and
    /// meanwhile its client may have left or been answered, and its time or that of its idempotency key may
    /// be over.
    pub fn may_begin(&mut self, now: MonotonicTime, key: SlotKey) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        let fit = self.requests.get(attempt.request).is_some_and(|open| {
            !open.answered
                && !self.deduplication_lapsed(now, open)
                && attempt.deadline(open) >= now + SHORTEST_WAIT
        });
        if !fit {
            self.withdraw(now, key, Status::NeverSent);
        }
        fit
    }

    /// Whether stores would no longer drop a retry under the request's idempotency key, counted from the
    /// first attempt that has run or may be running. The module decided by the same rule, but before the
    /// wait.
    fn deduplication_lapsed(&self, now: MonotonicTime, open: &OpenRequest) -> bool {
        let Some(slot) = self.classes.get(open.request.class) else {
            return false;
        };
        let running = open.attempts.iter().filter_map(|key| self.attempts.get(*key)?.first_byte_at);
        let first = running.chain(open.first_possible_run_at).min();
        slot.settings.class.effect == Effect::IdempotencyKey
            && first.is_some_and(|at| now + TRANSIT_ALLOWANCE >= at + slot.settings.class.window)
    }

    /// The first byte of an attempt is written.
    pub fn record_first_byte(&mut self, now: MonotonicTime, key: SlotKey) {
        self.unsent_attempts.remove(&key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.first_byte_at = Some(now);
        }
    }

    /// Whether an attempt belongs to a request that is not idempotent by itself.
    pub fn has_side_effects(&self, key: SlotKey) -> bool {
        let class = self.request_of(key).and_then(|open| self.classes.get(open.request.class));
        class.is_some_and(|slot| slot.settings.class.effect != Effect::Idempotent)
    }

    /// The attempt, if it has not ended.
    pub fn attempt(&mut self, key: SlotKey) -> Option<&mut Attempt> {
        self.attempts.get_mut(key)
    }

    /// The store that an attempt goes to, and the id it is sent under.
    pub fn target(&self, key: SlotKey) -> Option<(ServerId, &str)> {
        let attempt = self.attempts.get(key)?;
        Some((attempt.get.server, &self.requests.get(attempt.request)?.request.call_id))
    }

    /// The connection of the client for whom an attempt is made, while that waits for its reply.
    pub fn client_connection(&self, key: SlotKey) -> Option<SlotKey> {
        self.request_of(key).filter(|open| !open.answered).map(|open| open.reply_to.connection)
    }

    fn request_of(&self, key: SlotKey) -> Option<&OpenRequest> {
        self.attempts.get(key).and_then(|attempt| self.requests.get(attempt.request))
    }

    /// Whether the store of an attempt is informed of a copy that the client holds.
    pub fn offered_copy(&self, key: SlotKey) -> bool {
        self.request_of(key).is_some_and(|open| open.request.client_tag.is_some())
    }

    /// Whether an attempt whose connection broke before a byte was written may use another one; true once.
    pub fn reconnect_once(&mut self, key: SlotKey) -> bool {
        self.attempts.get_mut(key).is_some_and(|attempt| !std::mem::replace(&mut attempt.reconnected, true))
    }

    /// Sends an attempt again after a backoff, because this machine had no capacity to connect for it.
    /// Returns false once `patience` has passed since it was decided: then another store may have a
    /// connection.
    pub fn resend_after_backoff(&mut self, now: MonotonicTime, key: SlotKey, patience: Duration) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        let waited = now.saturating_since(attempt.created_at);
        if waited >= patience {
            return false;
        }
        self.deadlines.set(now + backoff(waited), DeadlineKind::Dispatch(key));
        true
    }
}
