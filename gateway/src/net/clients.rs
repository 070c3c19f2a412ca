//! Client connections: connection capacity, the limit on buffered bytes, final replies and graceful closing.
use super::Gateway;
use crate::connection::{Buffer, Connection, ConnectionState, Role, LINGER, MIN_LINGER};
use crate::core::{FinalReply, ReplyHandle, NO_CAPACITY_RETRY_AFTER};
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use larchway_object_cache::MemoryBudget;
use std::net::Shutdown as Side;
use tracing::warn;

/// Divisor of the memory limit for the buffered bytes of all client connections (unprocessed input and unsent output)
/// above which a client that has unsent replies gets no further request admitted.
const UNREAD_CLIENT_MEMORY_DIVISOR: usize = 6;
/// Divisor of the memory limit for these buffered bytes above which no client gets a further request admitted.
const ADMIT_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory limit for the hard limit on these buffered bytes: beyond it, requests whose replies have
/// arrived are rejected too, and the client with the most unprocessed input is disconnected. Clients that read slowly
/// are not: that is no fault, and disconnecting one loses the replies that are still to be sent to it.
pub(super) const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory limit for the bodies of all open requests.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 4000;
/// Bytes of unsent replies that each client may always have. While the clients' buffers are over seven eighths of their
/// limit, a client with more unsent bytes is not read from, since even small replies to many requests add up.
pub(super) const SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// Whether this number of unprocessed input bytes is above the size that a client may always buffer.
fn is_large_input(input: &usize) -> bool {
    *input > SMALL_ANSWER_BYTES
}

impl Gateway {
    /// Returns whether one more client can be accepted. To make capacity, half-closes an idle client, or closes the
    /// half-closed one whose time-out comes first.
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

    /// Half-closes an idle client to make capacity: first one that has never sent a request, otherwise the one that has
    /// been idle for longest. Returns whether there was one.
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

    /// Sends the final reply to the client, in the protocol of the front that received the request.
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

    /// Updates the count of buffered bytes of all clients with those of this connection.
    pub(super) fn update_client_bytes(&mut self, key: SlotKey) {
        if let Some(conn) = self.connections.get_mut(key).filter(|c| c.role.is_client()) {
            let buffered = conn.output.remaining().len() + conn.input.remaining().len();
            self.client_bytes = self.client_bytes + buffered - conn.counted_bytes;
            conn.counted_bytes = buffered;
        }
    }

    /// Enforces the limit on the buffered bytes of all client connections: several hundred clients that read 1 MB per
    /// second, or that send half a message, exhaust the memory together although each buffers little.
    pub(super) fn enforce_client_bytes(&mut self, now: MonotonicTime) {
        // The object cache shrinks first: buffered replies take precedence over cached objects.
        let memory = self.memory_limit / self.processes.process_count();
        let budget = MemoryBudget { limit: memory, reserved: self.client_bytes };
        self.core.object_cache.iter_mut().for_each(|cache| cache.set_capacity(budget));
        while self.client_bytes > self.max_client_bytes {
            let Some((key, input)) = self.largest_input() else { return };
            self.disconnect_for_memory(now, key, input);
        }
    }

    /// Makes capacity for a reply of `answer_bytes` and returns whether there is enough. Disconnects the clients with
    /// the largest unprocessed inputs, if all large inputs together free enough: otherwise a reply that a client waits
    /// for would be lost in favour of incomplete messages. Clients with small inputs stay connected.
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
            self.disconnect_for_memory(now, key, input);
        }
        self.can_buffer(answer_bytes)
    }

    fn disconnect_for_memory(&mut self, now: MonotonicTime, key: SlotKey, input: usize) {
        warn!(
            client_input_bytes = input,
            all_clients_bytes = self.client_bytes,
            "a client is cut off: too many bytes wait to be dealt with"
        );
        self.finish_client(now, key);
    }

    /// The open client connections, each with the number of its unprocessed input bytes.
    fn client_inputs(&self) -> impl Iterator<Item = (SlotKey, usize)> + '_ {
        let open =
            self.connections.iter().filter(|(_, c)| c.role.is_client() && c.state == ConnectionState::Open);
        open.map(|(key, c)| (key, c.input.remaining().len()))
    }

    /// The open client connection with the most unprocessed input bytes, if any has some.
    fn largest_input(&self) -> Option<(SlotKey, usize)> {
        self.client_inputs().filter(|(_, input)| *input > 0).max_by_key(|(_, input)| *input)
    }

    /// Whether a reply of `answer_bytes` can be buffered until its client reads it; a small one always can.
    pub(super) fn can_buffer(&self, answer_bytes: usize) -> bool {
        answer_bytes <= SMALL_ANSWER_BYTES || self.client_bytes + answer_bytes <= self.max_client_bytes
    }

    /// Whether memory use and the number of open requests allow one more request of this client.
    pub(super) fn has_capacity(&self, key: SlotKey) -> bool {
        // Replies of this iteration may not be written yet.
        let has_unread_answers = self.connections.get(key).is_some_and(|c| c.polled_interest.writable);
        let divisor = if has_unread_answers { UNREAD_CLIENT_MEMORY_DIVISOR } else { ADMIT_MEMORY_DIVISOR };
        let processes = self.processes.process_count();
        self.core.request_body_bytes < self.memory_limit / processes / REQUEST_MEMORY_DIVISOR
            && self.core.open_requests() < MAX_OPEN_REQUESTS
            && self.client_bytes < self.memory_limit / processes / divisor
    }

    /// Half-closes client connections without open requests and without unsent or unread bytes, so that clients connect
    /// to another gateway.
    pub(super) fn half_close_idle(&mut self, now: MonotonicTime) {
        let is_idle =
            |c: &Connection| c.is_idle() && c.input.remaining().is_empty() && c.has_nothing_to_read();
        let idle_clients: Vec<SlotKey> =
            self.connections.iter().filter(|(_, c)| is_idle(c)).map(|(key, _)| key).collect();
        idle_clients.into_iter().for_each(|key| self.half_close(now, key));
    }

    /// Closes a client connection gracefully: shuts the write side down, then reads and discards input until the client
    /// has closed too. If the socket were closed at once, a request that arrives after it would trigger a reset, and
    /// replies still in transit would be lost.
    pub(super) fn half_close(&mut self, now: MonotonicTime, key: SlotKey) {
        let is_open = |c: &&Connection| !matches!(c.state, ConnectionState::HalfClosed { .. });
        let Some(conn) = self.connections.get(key).filter(is_open) else { return };
        // If the connection is broken, the next read reports it.
        let _ = conn.stream.shutdown(Side::Write);
        self.half_closed_count += 1;
        self.linger(key, linger_until(now, self.final_reply_due()));
    }

    /// Shortens the wait of the connections that are half-closed already, since the process received the
    /// signal to stop.
    pub(super) fn shorten_lingering(&mut self, now: MonotonicTime) {
        let latest = linger_until(now, self.final_reply_due());
        let is_beyond =
            |c: &Connection| matches!(c.state, ConnectionState::HalfClosed { until } if until > latest);
        let beyond: Vec<SlotKey> =
            self.connections.iter().filter(|(_, c)| is_beyond(c)).map(|(key, _)| key).collect();
        beyond.into_iter().for_each(|key| self.linger(key, latest));
    }

    /// Sets until when a half-closed connection waits for the client to close it.
    fn linger(&mut self, key: SlotKey, until: MonotonicTime) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.state = ConnectionState::HalfClosed { until };
        self.core.deadlines.clear(conn.deadline, DeadlineKind::Connection(key));
        conn.deadline = until;
        self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
    }

    /// Ends a client connection from which no more input is accepted: gives up its open requests, whose replies are
    /// sent at once, and half-closes it when those are written.
    pub(super) fn finish_client(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key).filter(|c| c.state == ConnectionState::Open) else {
            return;
        };
        conn.state = ConnectionState::Finishing;
        (conn.input, conn.incomplete_since, conn.has_postponed_input) = (Buffer::default(), None, false);
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

/// Returns until when a connection that is half-closed now waits for its client. `final_reply_due`: when the last
/// replies of a stopping process are due.
fn linger_until(now: MonotonicTime, final_reply_due: Option<MonotonicTime>) -> MonotonicTime {
    let until = now + LINGER;
    final_reply_due.map_or(until, |due| until.min(due).max(now + MIN_LINGER))
}
