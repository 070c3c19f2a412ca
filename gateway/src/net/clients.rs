//! Client connections: connection capacity, final replies and graceful closing.
use super::memory::SMALL_ANSWER_BYTES;
use super::Gateway;
use crate::connection::{Connection, ConnectionState, Role, LINGER, MIN_LINGER};
use crate::core::{FinalReply, ReplyHandle, NO_CAPACITY_RETRY_AFTER};
use crate::deadlines::DeadlineKind;
use crate::memory::InputBuffer;
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use std::net::Shutdown as Side;

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
        if let FinalReply::Served(served) = reply {
            conn.reply_history.record_served(now, served.body.len() > SMALL_ANSWER_BYTES);
        }
        match &mut conn.role {
            Role::PlatformClient(session) => {
                conn.output.use_scratch(&mut self.memory.reply_scratch);
                session.finish(reply_to.sequence as i32, reply, conn.output.tail());
            }
            _ => return self.finish_signed_request(now, reply_to, reply),
        }
        self.flush(now, reply_to.connection);
        self.enforce_client_bytes(now);
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
        (conn.input, conn.incomplete_since, conn.has_postponed_input) = (InputBuffer::default(), None, false);
        let open_requests: Vec<SlotKey> = match &mut conn.role {
            Role::PlatformClient(session) => session.open_requests().collect(),
            Role::SignedClient(session) => session.disable_keep_alive().into_iter().collect(),
            Role::Store(_) | Role::Events | Role::Ensemble => Vec::new(),
        };
        self.update_buffer_use(now, key);
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
