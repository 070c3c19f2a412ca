//! Connections of clients: capacity, the bound on buffered bytes, final answers and the orderly end.
use super::Gateway;
use crate::connection::{Buffer, Connection, ConnectionState, Role, LINGER};
use crate::core::{FinalReply, ReplyHandle, NO_CAPACITY_RETRY_AFTER};
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use larchway_object_cache::MemoryBudget;
use std::net::Shutdown as Side;
use tracing::warn;

/// Divisor of the memory limit that gives what the bytes of all clients' connections, read and not dealt with or
/// written and not sent, may take before a client that has answers waiting is refused more.
const UNREAD_CLIENT_MEMORY_DIVISOR: usize = 6;
/// Divisor of the memory limit that gives what these bytes may take before every client is refused more.
const ADMIT_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory limit that gives the most that these bytes may take: beyond it answers that have come are
/// refused too, and whoever holds most of a message that is not complete is ended. Slow readers are no fault, and
/// cutting one off loses what it was owed.
pub(super) const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory limit that gives what the bytes of open requests may take.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Requests that may be open at once.
const MAX_OPEN_REQUESTS: usize = 4000;
/// Bytes of answers that one client may always leave waiting. Where memory is nearly used up (seven eighths of what
/// clients may hold), one that leaves more waiting is not read from: what is answered in a few bytes adds up too.
pub(super) const SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// Whether so many bytes of a client take more memory than any client may.
fn is_large_input(input: &usize) -> bool {
    *input > SMALL_ANSWER_BYTES
}

impl Gateway {
    /// Whether there is room for one more client; to make it, the end of another is begun, or one that has been
    /// half-closed is closed.
    pub(super) fn ensure_client_capacity(&mut self, now: MonotonicTime) -> bool {
        if self.client_count - self.half_closed_count >= self.descriptor_limits.clients
            && !self.evict_idle_client(now)
        {
            return false;
        }
        if self.half_closed_count <= self.descriptor_limits.half_closed_clients {
            return true;
        }
        let half_closed_until = |c: &Connection| {
            if let ConnectionState::HalfClosed { until } = c.state {
                Some(until)
            } else {
                None
            }
        };
        let clients = self.connections.iter().filter(|(_, c)| c.role.is_client());
        let oldest = clients.filter_map(|(key, c)| Some((half_closed_until(c)?, key))).min();
        oldest.into_iter().for_each(|(_, key)| self.close(now, key, None));
        true
    }

    /// Ends a client's connection to make room: the one that has been idle for longest, and before all others one that
    /// never asked for anything.
    fn evict_idle_client(&mut self, now: MonotonicTime) -> bool {
        let idle_clients = self.connections.iter().filter(|(_, c)| c.is_idle());
        let mut by_age: Vec<_> =
            idle_clients.map(|(key, c)| (c.has_requested, c.last_activity, key)).collect();
        by_age.sort_unstable();
        let has_no_unread_input =
            |key: &SlotKey| self.connections.get(*key).is_some_and(Connection::has_nothing_to_read);
        let oldest = by_age.into_iter().map(|(.., key)| key).find(has_no_unread_input);
        oldest.map(|key| self.half_close(now, key)).is_some()
    }

    /// Gives the final reply, by the front at which the request came in.
    pub(super) fn reply(&mut self, now: MonotonicTime, reply_to: ReplyHandle, reply: &FinalReply<'_>) {
        let Some(conn) = self.connections.get_mut(reply_to.connection) else { return };
        match &mut conn.role {
            Role::PlatformClient(session) => {
                session.finish(reply_to.sequence as i32, reply, &mut conn.output.bytes);
            }
            _ => return self.finish_signed_request(now, reply_to, reply),
        }
        self.flush(now, reply_to.connection);
        self.enforce_client_bytes(now);
    }

    /// Counts what a client's connection holds.
    pub(super) fn update_client_bytes(&mut self, key: SlotKey) {
        if let Some(conn) = self.connections.get_mut(key).filter(|c| c.role.is_client()) {
            let buffered = conn.output.remaining().len() + conn.input.remaining().len();
            self.client_bytes = self.client_bytes + buffered - conn.counted_bytes;
            conn.counted_bytes = buffered;
        }
    }

    /// Bounds what all clients' connections hold. Danger: some hundred readers of 1 MB a second, or
    /// senders of half a message, together take more than there is, each with little.
    pub(super) fn enforce_client_bytes(&mut self, now: MonotonicTime) {
        // Replies that clients are slow to read take precedence over cached objects.
        let memory = self.memory_limit / self.processes.process_count();
        let budget = MemoryBudget { limit: memory, reserved: self.client_bytes };
        self.core.object_cache.iter_mut().for_each(|cache| cache.set_capacity(budget));
        while self.client_bytes > self.max_client_bytes {
            let Some((key, input)) = self.largest_input() else { return };
            self.cut_off(now, key, input);
        }
    }

    /// Makes room for an answer of so many bytes, and returns whether there is any. Danger: an answer that is owed
    /// would be refused for messages of which half has come, and that nobody owes anything. The largest of these
    /// give way, if together they are enough; small ones stay.
    pub(super) fn ensure_answer_capacity(&mut self, now: MonotonicTime, answer_bytes: usize) -> bool {
        if self.can_buffer(answer_bytes) {
            return true;
        }
        let large_inputs: usize = self.client_inputs().map(|(_, input)| input).filter(is_large_input).sum();
        let excess = (self.client_bytes + answer_bytes).saturating_sub(self.max_client_bytes);
        while !self.can_buffer(answer_bytes) && large_inputs >= excess {
            let Some((key, input)) = self.largest_input().filter(|(_, input)| is_large_input(input)) else {
                break;
            };
            self.cut_off(now, key, input);
        }
        self.can_buffer(answer_bytes)
    }

    fn cut_off(&mut self, now: MonotonicTime, key: SlotKey, input: usize) {
        warn!(
            client_input_bytes = input,
            all_clients_bytes = self.client_bytes,
            "a client is cut off: too many bytes wait to be dealt with"
        );
        self.finish_client(now, key);
    }

    /// Clients' connections that can be cut off, with the bytes that were read of each and not dealt with.
    fn client_inputs(&self) -> impl Iterator<Item = (SlotKey, usize)> + '_ {
        let open =
            self.connections.iter().filter(|(_, c)| c.role.is_client() && c.state == ConnectionState::Open);
        open.map(|(key, c)| (key, c.input.remaining().len()))
    }

    /// The client's connection with the most bytes that were read and not dealt with.
    fn largest_input(&self) -> Option<(SlotKey, usize)> {
        self.client_inputs().filter(|(_, input)| *input > 0).max_by_key(|(_, input)| *input)
    }

    /// Whether an answer of so many bytes can be buffered until its client reads it; a small one always can.
    pub(super) fn can_buffer(&self, answer_bytes: usize) -> bool {
        answer_bytes <= SMALL_ANSWER_BYTES || self.client_bytes + answer_bytes <= self.max_client_bytes
    }

    /// Whether more can be taken in from a client; beyond that, memory would run out.
    pub(super) fn has_capacity(&self, key: SlotKey) -> bool {
        let has_unread_answers = self.connections.get(key).is_some_and(|c| !c.output.remaining().is_empty());
        let divisor = if has_unread_answers { UNREAD_CLIENT_MEMORY_DIVISOR } else { ADMIT_MEMORY_DIVISOR };
        let processes = self.processes.process_count();
        self.core.request_body_bytes < self.memory_limit / processes / REQUEST_MEMORY_DIVISOR
            && self.core.open_requests() < MAX_OPEN_REQUESTS
            && self.client_bytes < self.memory_limit / processes / divisor
    }

    /// Half-closes clients' connections with nothing open, unsent or unread on them, so that clients turn elsewhere.
    pub(super) fn half_close_idle(&mut self, now: MonotonicTime) {
        let is_idle =
            |c: &Connection| c.is_idle() && c.input.remaining().is_empty() && c.has_nothing_to_read();
        let idle_clients: Vec<SlotKey> =
            self.connections.iter().filter(|(_, c)| is_idle(c)).map(|(key, _)| key).collect();
        idle_clients.into_iter().for_each(|key| self.half_close(now, key));
    }

    /// Ends a client's connection in order. Danger: a request that crosses a plain close makes it a reset, and
    /// answers that are still on their way are lost with it. So the write side is shut first, and what comes
    /// meanwhile is read, and sent nowhere, until the client has closed too.
    pub(super) fn half_close(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(conn) =
            self.connections.get_mut(key).filter(|c| !matches!(c.state, ConnectionState::HalfClosed { .. }))
        else {
            return;
        };
        self.half_closed_count += 1;
        conn.state = ConnectionState::HalfClosed { until: now + LINGER };
        // A connection that is broken is found out when it is read.
        let _ = conn.stream.shutdown(Side::Write);
        self.core.deadlines.clear(conn.deadline, DeadlineKind::Connection(key));
        conn.deadline = now + LINGER;
        self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
    }

    /// Ends a client's connection from which nothing more can be taken: what is open on it is answered at once, and its
    /// write side is shut once that is written.
    pub(super) fn finish_client(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key).filter(|c| c.state == ConnectionState::Open) else {
            return;
        };
        conn.state = ConnectionState::Finishing;
        (conn.input, conn.incomplete_since) = (Buffer::default(), None);
        let open_requests: Vec<SlotKey> = match &mut conn.role {
            Role::PlatformClient(session) => session.open_requests().collect(),
            Role::SignedClient(session) => session.disable_keep_alive().into_iter().collect(),
            Role::Store(_) | Role::Events | Role::Ensemble => Vec::new(),
        };
        self.update_client_bytes(key);
        for request in open_requests {
            self.core.give_up(now, request, NO_CAPACITY_RETRY_AFTER);
        }
        self.flush(now, key);
    }
}
