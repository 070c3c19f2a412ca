//! Connections of every role: registration with the poller, writing, time-outs and closing.
use super::errors::CloseReason;
use super::memory::SMALL_ANSWER_BYTES;
use super::poll_key::PollKey;
use super::Gateway;
use crate::connection::{
    ConnectFailure, Connection, ConnectionState, Interest, Role, Timeouts, MAX_BACKLOG_BYTES,
};
use crate::deadlines::DeadlineKind;
use crate::input_budget::{InputBudget, MAX_ITERATION_TIME};
use crate::memory::{InputBuffer, OutputBuffer};
use crate::nonblocking::write_available;
use crate::reply_history::{ReplyHistory, UNREAD_ANSWERS_TIMEOUT};
use crate::slots::SlotKey;
use crate::sockets::begin_connect;
use crate::system_errors::{is_reset, Failure};
use crate::unsent_replies::UnsentReplies;
use larchway::MonotonicTime;
use polling::{Event, PollMode};
use std::net::{SocketAddr, TcpStream};
use tracing::{error, warn};

impl Gateway {
    /// Counts a connection, stores it in a slot and registers it with the poller. `deadline`: its first time-out check.
    pub(super) fn register(
        &mut self,
        now: MonotonicTime,
        stream: TcpStream,
        role: Role,
        state: ConnectionState,
        deadline: MonotonicTime,
    ) -> Option<SlotKey> {
        match role {
            Role::Store(_) => self.store_connection_count += 1,
            Role::PlatformClient(_) | Role::SignedClient(_) => self.client_count += 1,
            Role::Events | Role::Ensemble => {}
        }
        let polled_interest = Interest { readable: true, writable: !state.is_connected() };
        let key = self.connections.insert(Connection {
            stream,
            input: InputBuffer::default(),
            output: OutputBuffer::default(),
            role,
            state,
            opened_at: now,
            last_activity: now,
            last_read: now,
            fully_read: true,
            has_requested: false,
            incomplete_since: None,
            budget: InputBudget::default(),
            unsent_replies: UnsentReplies::default(),
            has_postponed_input: false,
            polled_interest,
            deadline,
            reply_history: ReplyHistory::default(),
            counted_bytes: 0,
            is_counted_on_pages: false,
            awaits_memory: false,
        });
        self.core.deadlines.set(deadline, DeadlineKind::Connection(key));
        let conn = self.connections.get(key)?;
        let event = poll_event(key, polled_interest);
        if let Err(error) = self.poller.add_with_mode(&conn.stream, event, PollMode::Level) {
            error!(%error, "cannot poll a connection");
            self.close(now, key, None);
            return None;
        }
        Some(key)
    }

    /// Starts to connect and registers the connection; `due`: the connect time-out. The outcome is handled later; an
    /// error means that connecting could not be started.
    pub(super) fn connect(
        &mut self,
        now: MonotonicTime,
        address: SocketAddr,
        role: Role,
        due: MonotonicTime,
    ) -> Result<SlotKey, ConnectFailure> {
        match begin_connect(address) {
            Ok(stream) => self
                .register(now, stream, role, ConnectionState::Connecting, due)
                .ok_or(ConnectFailure::LocalShortage),
            Err(error) => {
                warn!(%error, "cannot connect to {address}");
                let is_local_shortage = Failure::of_connect(&error) == Failure::LocalShortage;
                Err(if is_local_shortage {
                    ConnectFailure::LocalShortage
                } else {
                    ConnectFailure::Unreachable
                })
            }
        }
    }

    /// Handles the readiness of a connection that the poller reported.
    pub(super) fn handle_connection_event(&mut self, now: MonotonicTime, key: SlotKey, event: &Event) {
        let Some(conn) = self.connections.get(key) else { return };
        if !conn.state.is_connected() && !self.finish_connecting(now, key, event.writable) {
            return;
        }
        if event.readable {
            self.read(now, key);
        }
        if event.writable {
            self.flush(now, key);
        }
        self.update_interest(key);
    }

    /// Checks the progress of a connect. Returns false if it failed and the connection was closed.
    fn finish_connecting(&mut self, now: MonotonicTime, key: SlotKey, writable: bool) -> bool {
        let Some(conn) = self.connections.get_mut(key) else { return false };
        match conn.stream.take_error() {
            Ok(None) if writable && conn.stream.peer_addr().is_ok() => {
                (conn.state, conn.last_activity) = (ConnectionState::Open, now);
                match conn.role {
                    Role::Store(_) => self.send_waiting(now, key),
                    Role::Ensemble => {
                        let effects =
                            self.membership.as_mut().map(|m| m.handle_connected(now)).unwrap_or_default();
                        self.apply_membership_effects(now, effects);
                    }
                    _ => {}
                }
                true
            }
            Ok(None) => true,
            Ok(Some(e)) | Err(e) => {
                // A reset shows that the connection had been established; a refusal shows that nothing listens there.
                if is_reset(&e) {
                    conn.state = ConnectionState::Open;
                }
                self.close(now, key, Some(&e.into()));
                false
            }
        }
    }

    /// Writes as much output as the socket accepts. Returns whether the connection is still open.
    pub(super) fn flush(&mut self, now: MonotonicTime, key: SlotKey) -> bool {
        let Some(conn) = self.connections.get_mut(key) else { return false };
        conn.record_reply();
        if conn.state.is_connected() && !conn.output.is_empty() {
            let Connection { output, stream, .. } = conn;
            match output.write_with(|bytes| write_available(&*stream, bytes)) {
                Ok(0) => {}
                Ok(count) => {
                    conn.unsent_replies.record_written(count);
                    conn.last_activity = now;
                }
                Err(e) => {
                    self.close(now, key, Some(&e.into()));
                    return false;
                }
            }
        }
        conn.output.compact(&mut self.memory.reply_scratch);
        conn.reply_history.record_write(now, !conn.output.is_empty());
        self.schedule_postponed_input(key);
        self.update_buffer_use(now, key);
        let Some(conn) = self.connections.get_mut(key) else { return false };
        let all_written = conn.output.is_empty();
        if all_written && conn.state == ConnectionState::Finishing && conn.role.is_client_without_requests() {
            self.half_close(now, key);
        }
        let Some(conn) = self.connections.get_mut(key) else { return false };
        match &mut conn.role {
            Role::Store(session) if all_written => {
                if std::mem::take(&mut session.is_partly_written) {
                    self.core.counters.count_attempt();
                }
                self.send_waiting(now, key);
            }
            // A buffered request that waited for the client to read earlier replies can be handled now.
            Role::SignedClient(_) if all_written && !conn.input.remaining().is_empty() => {
                self.input_schedule.resumable.push(key);
            }
            _ => {}
        }
        self.update_interest(key);
        true
    }

    /// Updates the events that a connection is polled for.
    pub(super) fn update_interest(&mut self, key: SlotKey) {
        let memory_is_scarce = self.memory.client_bytes > self.memory.shares.clients / 8 * 7;
        let Some(conn) = self.connections.get_mut(key) else { return };
        let interest = conn.interest(if memory_is_scarce { SMALL_ANSWER_BYTES } else { MAX_BACKLOG_BYTES });
        if interest != conn.polled_interest {
            conn.polled_interest = interest;
            let event = poll_event(key, interest);
            if let Err(error) = self.poller.modify_with_mode(&conn.stream, event, PollMode::Level) {
                error!(%error, "cannot poll a connection");
            }
        }
    }

    /// Closes a connection and ends its requests or attempts.
    pub(super) fn close(&mut self, now: MonotonicTime, key: SlotKey, reason: Option<&CloseReason>) {
        let Some(conn) = self.connections.remove(key) else { return };
        self.memory.client_bytes -= conn.counted_bytes;
        self.memory.store_inputs_on_pages -= usize::from(conn.is_counted_on_pages);
        self.half_closed_count -= usize::from(matches!(conn.state, ConnectionState::HalfClosed { .. }));
        self.core.deadlines.clear(conn.deadline, DeadlineKind::Connection(key));
        // The socket is dropped with the connection, which ends polling too, so an error has no effect.
        let _ = self.poller.delete(&conn.stream);
        match conn.role {
            Role::PlatformClient(session) => {
                self.client_count -= 1;
                for request in session.open_requests() {
                    self.core.client_left(now, request);
                }
            }
            Role::SignedClient(session) => {
                self.client_count -= 1;
                if let Some(request) = session.open_request() {
                    self.core.client_left(now, request);
                }
            }
            Role::Store(session) => {
                self.store_connection_count -= 1;
                self.end_store_connection(
                    now,
                    key,
                    session,
                    conn.state.is_connected(),
                    &describe_close(reason),
                );
                self.resume_store_inputs(now);
            }
            Role::Ensemble if self.ensemble_connection == Some(key) => {
                self.ensemble_connection = None;
                let effects =
                    self.membership.as_mut().map(|m| m.handle_connection_lost(now, &describe_close(reason)));
                self.apply_membership_effects(now, effects.unwrap_or_default());
            }
            // Closed by the membership protocol itself, which needs no notification.
            Role::Ensemble => {}
            Role::Events if self.events_connection == Some(key) => {
                warn!(reason = %describe_close(reason), "the bulletin is lost");
                self.events_connection = None;
                let effects = self.events.disconnected(now);
                self.apply_event_effects(now, effects);
            }
            // Closed by the event subscription itself, which needs no notification.
            Role::Events => {}
        }
    }

    /// Closes a connection that was not established in time, stalls or has been idle for too long; otherwise sets its
    /// next check.
    pub(super) fn check_timeout(&mut self, now: MonotonicTime, key: SlotKey) {
        let timeouts =
            Timeouts { connect: self.wire_settings.connect_timeout, idle: self.wire_settings.idle_timeout };
        let Some(conn) = self.connections.get_mut(key) else { return };
        let limit = conn.timeout_at(now, timeouts);
        if limit <= now && conn.is_idle() {
            if conn.has_nothing_to_read() {
                return self.half_close(now, key);
            }
            // Input has arrived meanwhile and is read first.
            conn.deadline = now + MAX_ITERATION_TIME;
            return self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
        }
        if limit <= now {
            let reason = match conn.incomplete_since {
                _ if !conn.state.is_connected() => CloseReason::ConnectTimeout,
                Some(_) => CloseReason::MessageStalled,
                None => CloseReason::Idle,
            };
            // The last replies may still be in transit to the client, so the connection is closed gracefully.
            if conn.role.is_client_without_requests()
                && conn.output.is_empty()
                && conn.state == ConnectionState::Open
            {
                return self.half_close(now, key);
            }
            return self.close(now, key, Some(&reason));
        }
        conn.deadline = limit.min(now + UNREAD_ANSWERS_TIMEOUT);
        self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
    }
}

/// The poller's interest for a connection.
fn poll_event(key: SlotKey, interest: Interest) -> Event {
    let Interest { readable, writable } = interest;
    Event { key: PollKey::Connection(key).into(), readable, writable }
}

/// The text of a close reason for logs and effects.
fn describe_close(reason: Option<&CloseReason>) -> String {
    reason.map_or_else(|| "closed".to_string(), CloseReason::to_string)
}
