//! Traffic on connections to stores: sending waiting attempts, handling replies, and abandoning attempts.
use super::errors::CloseReason;
use super::Gateway;
use crate::connection::{Connection, Role};
use crate::core::{AttemptResult, FinalReply, ServedReply, NO_CAPACITY_RETRY_AFTER};
use crate::memory::OutputBuffer;
use crate::resp::{self, AfterAbandon, AttemptReply, Context, ProtocolError, StoreInput};
use crate::slots::SlotKey;
use crate::sockets::{is_closed_by_peer, is_hung_up};
use crate::system_errors::Failure;
use larchway::{MonotonicTime, ServerId, Status};
use std::io::{self, Write};
use std::time::Duration;

/// Whether the client of an attempt is still connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientPresence {
    /// It is, and has not cancelled the request.
    Connected,
    /// It has disconnected.
    Left,
    /// Not known: it has sent more than is handled in one iteration.
    Unknown,
}

impl Gateway {
    /// Requests a load report from a store on a connection without unsent output. If there is none, nothing is sent:
    /// other gateways sample the store too.
    pub(super) fn request_load_report(&mut self, now: MonotonicTime, store: ServerId) {
        let connections = self.pools.get(&store).map(|p| p.connections.clone()).unwrap_or_default();
        let is_free = |key: &SlotKey| {
            let conn = self.connections.get(*key);
            conn.is_some_and(|c| {
                c.state.is_connected()
                    && c.output.is_empty()
                    && matches!(&c.role, Role::Store(session) if !session.is_doubtful)
            })
        };
        let Some(key) = connections.into_iter().find(is_free) else { return };
        let request_id = format!("{:016x}", self.random());
        if let Some(conn) = self.connections.get_mut(key) {
            resp::encode_load_probe(conn.output.tail(), &request_id);
        }
        self.flush(now, key);
    }

    /// Whether the client of an attempt is still connected; if not, closes the connection. No attempt may begin for a
    /// client that has disconnected, and the disconnect may be in an event that is not handled yet, or behind bytes
    /// that are not read yet.
    fn check_client(&mut self, now: MonotonicTime, attempt: SlotKey) -> ClientPresence {
        let Some(client) = self.core.client_connection(attempt) else { return ClientPresence::Connected };
        let Some(conn) = self.connections.get(client) else { return ClientPresence::Connected };
        let is_read_from = conn.polled_interest.readable;
        if is_read_from && conn.is_caught_up(now) {
            return ClientPresence::Connected;
        }
        if is_read_from {
            // The end of the stream, or the cancellation of the request, may be behind other messages.
            self.read(now, client);
        }
        let Some(conn) = self.connections.get(client) else { return ClientPresence::Left };
        if is_hung_up(&conn.stream) {
            self.close(now, client, Some(&CloseReason::ClosedByPeer));
            return ClientPresence::Left;
        }
        match is_read_from && !conn.is_caught_up(now) {
            true => ClientPresence::Unknown,
            false => ClientPresence::Connected,
        }
    }

    /// Postpones an attempt because its client has sent more than is handled in one iteration, and may have left or
    /// cancelled the request behind it. Its request is given up once that has lasted for the connect time-out.
    fn postpone_attempt(&mut self, now: MonotonicTime, attempt: SlotKey) {
        if let Some(attempt) = self.core.attempt(attempt) {
            attempt.connection = None;
        }
        if !self.core.resend_after_backoff(now, attempt, self.wire_settings.connect_timeout) {
            self.core.give_up_request_of(now, attempt, NO_CAPACITY_RETRY_AFTER);
        }
    }

    /// Sends the attempts that wait for a connection, each when the one before it is completely written.
    pub(super) fn send_waiting(&mut self, now: MonotonicTime, key: SlotKey) {
        loop {
            let Some(conn) =
                self.connections.get_mut(key).filter(|c| c.state.is_connected() && c.output.is_empty())
            else {
                return;
            };
            let Role::Store(session) = &mut conn.role else { return };
            let Some(attempt) = session.waiting.pop_front() else { return };
            match self.check_client(now, attempt) {
                ClientPresence::Connected => {}
                ClientPresence::Left => continue,
                ClientPresence::Unknown => {
                    self.postpone_attempt(now, attempt);
                    continue;
                }
            }
            // The request may have ended while the attempt waited.
            if !self.core.may_send(now, attempt) {
                continue;
            }
            let Some(conn) = self.connections.get_mut(key) else { return };
            let Role::Store(session) = &mut conn.role else { return };
            // The store may have closed the connection in an event that is not handled yet. Bytes written to it then
            // count as executed, so a non-idempotent request that never ran would fail.
            if session.open.is_empty()
                && self.core.has_side_effects(attempt)
                && is_closed_by_peer(&conn.stream)
            {
                session.waiting.push_front(attempt);
                return self.close(now, key, Some(&CloseReason::ClosedByPeer));
            }
            if let Err(error) = self.write_attempt(now, key, attempt) {
                let failure = Failure::of(&error);
                if failure.is_retried_when_ready() || failure == Failure::Interrupted {
                    return self.update_interest(key);
                }
                return self.close(now, key, Some(&error.into()));
            }
        }
    }

    /// Writes as much of an attempt as the socket accepts, on a connection without unsent output. After an error no
    /// byte of it was sent, and it stays in the queue.
    fn write_attempt(&mut self, now: MonotonicTime, key: SlotKey, attempt: SlotKey) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
        let Role::Store(session) = &mut conn.role else { return Ok(()) };
        let Some(request) = self.core.store_request(now, attempt) else { return Ok(()) };
        let call_id = request.request.call_id.clone();
        resp::encode_request(conn.output.tail(), &request, &self.wire_settings.classes);
        let Connection { output, stream, .. } = conn;
        match output.write_with(|bytes| stream.write(bytes)) {
            Ok(_) => {
                output.compact(&mut self.memory.reply_scratch);
                conn.last_activity = now;
                if session.open.is_empty() {
                    conn.last_read = now;
                }
                session.open.push((call_id, attempt));
                session.is_partly_written = !conn.output.is_empty();
                if !session.is_partly_written {
                    self.core.counters.count_attempt();
                }
                self.core.record_first_byte(now, attempt);
                Ok(())
            }
            Err(error) => {
                conn.output = OutputBuffer::default();
                session.waiting.push_front(attempt);
                Err(error)
            }
        }
    }

    /// Handles the first reply of a store's input. Returns its length in bytes; 0 if it is incomplete.
    pub(super) fn handle_store_input(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &[u8],
    ) -> Result<usize, ProtocolError> {
        let core = &self.core;
        let is_copy_offered = |attempt| core.has_client_tag(attempt);
        let context =
            Context { load_fields: &self.wire_settings.load_fields, is_copy_offered: &is_copy_offered };
        let Some(Connection { role: Role::Store(session), .. }) = self.connections.get_mut(key) else {
            return Ok(0);
        };
        let store = session.store;
        let Some(handled) = session.handle(input, &context)? else { return Ok(0) };
        match handled.input {
            StoreInput::LoadReport(load) => self.core.record_load_report(store, &load),
            StoreInput::Reply(reply) => self.end_replied_attempt(now, reply),
            StoreInput::Ignored => {}
        }
        Ok(handled.used)
    }

    /// Ends an attempt with its store's reply, and forwards the reply to the client if it is the final one.
    fn end_replied_attempt(&mut self, now: MonotonicTime, attempt_reply: AttemptReply<'_>) {
        let AttemptReply { attempt, status, load, reply } = attempt_reply;
        if status == Status::Ok && !reply.not_modified {
            if let Some(times) = self.wire_times.copy(now, reply.issued) {
                self.core.cache_copy(now, attempt, times, reply.entity_tag, reply.body);
            }
            self.bound_clock(now);
        }
        if status == Status::Ok && !self.ensure_answer_capacity(now, reply.body.len()) {
            self.core.give_up_request_of(now, attempt, NO_CAPACITY_RETRY_AFTER);
        }
        let result = AttemptResult { status, note: reply.note, source_wait: reply.source_wait, load };
        if let Some(reply_to) = self.core.end_attempt_with_reply(now, attempt, result) {
            let served = ServedReply {
                not_modified: reply.not_modified,
                entity_tag: reply.entity_tag,
                body: reply.body,
            };
            self.reply(now, reply_to, &FinalReply::Served(served));
        }
    }

    /// Abandons an attempt on the connection that carries it.
    pub(super) fn abandon_attempt(
        &mut self,
        now: MonotonicTime,
        connection: SlotKey,
        attempt: SlotKey,
        call_id: &str,
    ) {
        let Some(conn) = self.connections.get_mut(connection) else { return };
        let silence = match conn.awaits_memory {
            true => Duration::ZERO,
            false => now.saturating_since(conn.last_read),
        };
        let Role::Store(session) = &mut conn.role else { return };
        let Some(after) = session.abandon(attempt, call_id, silence, conn.output.tail()) else { return };
        if self.flush(now, connection) && after == AfterAbandon::Close {
            self.close(now, connection, Some(&CloseReason::NoAnswer));
        }
    }
}
