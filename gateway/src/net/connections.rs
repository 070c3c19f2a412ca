//! Connections of every role: registration with the poller, reading, writing, time-outs and closing.
use super::clients::SMALL_ANSWER_BYTES;
use super::errors::CloseReason;
use super::poll_key::PollKey;
use super::{Gateway, MAX_ITERATION_TIME};
use crate::connection::{
    Buffer, ConnectFailure, Connection, ConnectionState, Interest, Role, Timeouts, MAX_BACKLOG_BYTES,
    MAX_BYTES_PER_ITERATION, MESSAGE_TIMEOUT, UNREAD_ANSWERS_TIMEOUT,
};
use crate::deadlines::DeadlineKind;
use crate::input_budget::InputBudget;
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use crate::resp;
use crate::slots::SlotKey;
use crate::sockets::{begin_connect, is_hung_up};
use crate::system_errors::{is_reset, Failure};
use crate::unsent_replies::UnsentReplies;
use larchway::MonotonicTime;
use polling::{Event, PollMode};
use std::net::{SocketAddr, TcpStream};
use tracing::{error, warn};

/// Size in bytes of one read while the input buffer holds at most this many bytes.
const SMALL_READ_BYTES: usize = 8 * 1024;
/// Size in bytes of one read while the input buffer holds more, as within a large message.
pub(super) const LARGE_READ_BYTES: usize = 64 * 1024;

/// Limit on the bytes to read for which one read is made.
const PIECE: usize = 1;

/// The result of reading from a connection.
#[derive(Default)]
struct ReadResult {
    /// Why the connection has ended, if it has.
    end_reason: Option<CloseReason>,
    /// Why its input cannot be understood, if it cannot.
    malformed: Option<CloseReason>,
}

impl ReadResult {
    /// The connection has ended.
    fn ended(reason: CloseReason) -> ReadResult {
        ReadResult { end_reason: Some(reason), malformed: None }
    }
}

impl Gateway {
    /// Schedules a connection for parsing of the input that is already buffered.
    pub(super) fn resume(&mut self, key: SlotKey) {
        self.resumable.push(key);
    }

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
        let (input, output) = (Buffer::default(), Buffer::default());
        let polled_interest = Interest { readable: true, writable: !state.is_connected() };
        let key = self.connections.insert(Connection {
            stream,
            input,
            output,
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
            counted_bytes: 0,
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

    /// Reads available bytes, handles the complete messages in them up to the limits of one iteration, and closes the
    /// connection if the peer has closed it or a message is malformed. Nothing is read while messages of an earlier
    /// iteration are left.
    pub(super) fn read(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        let is_client = conn.role.is_client();
        let mut input = std::mem::take(&mut conn.input);
        let ReadResult { end_reason, malformed } = match is_client {
            true => self.read_client(now, key, &mut input),
            false => self.read_peer(now, key, &mut input),
        };
        input.compact();
        self.store_unprocessed_input(now, key, input);
        self.update_client_bytes(key);
        self.enforce_client_bytes(now);
        if let Some(reason) = malformed {
            warn!(%reason, "a connection is closed");
            if is_client {
                self.finish_client(now, key);
            } else {
                self.close(now, key, Some(&reason));
            }
        } else if let Some(reason) = end_reason {
            self.close(now, key, Some(&reason));
        }
    }

    /// Reads from a client piece by piece and handles the messages of each piece, so that no more input is buffered than
    /// what one iteration leaves of a piece. No request is begun for a client that has disconnected.
    fn read_client(&mut self, now: MonotonicTime, key: SlotKey, input: &mut Buffer) -> ReadResult {
        let mut total_read = 0;
        loop {
            let Some(conn) = self.connections.get_mut(key) else { return ReadResult::default() };
            // The end may have arrived behind bytes that are not read yet.
            if total_read == 0 && is_hung_up(&conn.stream) {
                return ReadResult::ended(CloseReason::ClosedByPeer);
            }
            let is_postponed = std::mem::take(&mut conn.has_postponed_input);
            if !is_postponed {
                let buffered = input.bytes.len();
                if let Some(reason) = read_available(now, conn, input, &mut self.read_buffer, PIECE) {
                    return ReadResult::ended(reason);
                }
                total_read += input.bytes.len() - buffered;
            }
            if let Err(reason) = self.handle_messages(now, key, input) {
                return ReadResult { end_reason: None, malformed: Some(reason) };
            }
            let has_more = |conn: &Connection| !conn.fully_read && !conn.has_postponed_input;
            if is_postponed
                || total_read >= MAX_BYTES_PER_ITERATION
                || !self.connections.get(key).is_some_and(has_more)
            {
                return ReadResult::default();
            }
        }
    }

    /// Reads from a peer other than a client, whose last messages are handled also if it has disconnected.
    fn read_peer(&mut self, now: MonotonicTime, key: SlotKey, input: &mut Buffer) -> ReadResult {
        let Some(conn) = self.connections.get_mut(key) else { return ReadResult::default() };
        let end_reason = match std::mem::take(&mut conn.has_postponed_input) {
            true => None,
            false => read_available(now, conn, input, &mut self.read_buffer, MAX_BYTES_PER_ITERATION),
        };
        let handled = match end_reason {
            Some(_) => self.handle_last_messages(now, key, input),
            None => self.handle_messages(now, key, input),
        };
        ReadResult { end_reason, malformed: handled.err() }
    }

    /// Stores unprocessed input for the next read, and sets an earlier deadline if needed, so that an incomplete
    /// message times out.
    fn store_unprocessed_input(&mut self, now: MonotonicTime, key: SlotKey, input: Buffer) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        let is_incomplete = !input.remaining().is_empty() && !conn.has_postponed_input;
        conn.incomplete_since = is_incomplete.then(|| conn.incomplete_since.unwrap_or(now));
        conn.input = input;
        let complete_by = match conn.role {
            Role::PlatformClient(_) => now + MESSAGE_TIMEOUT,
            Role::Store(_) => now + resp::STALLED_REPLY_TIMEOUT,
            _ => MonotonicTime::MAX,
        };
        if is_incomplete && conn.deadline > complete_by {
            self.core.deadlines.clear(conn.deadline, DeadlineKind::Connection(key));
            conn.deadline = complete_by;
            self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
        }
    }

    /// Handles complete messages of the input up to the limits of one iteration, and schedules the rest for the next.
    /// Writes the replies to a client together.
    fn handle_messages(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut Buffer,
    ) -> Result<(), CloseReason> {
        let handled = self.handle_messages_in_budget(now, key, input);
        let has_replies = |conn: &Connection| conn.role.is_client() && !conn.output.remaining().is_empty();
        if self.connections.get(key).is_some_and(has_replies) {
            self.flush(now, key);
        }
        handled
    }

    fn handle_messages_in_budget(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut Buffer,
    ) -> Result<(), CloseReason> {
        loop {
            let iteration = self.iteration;
            let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
            let may_handle = conn.budget.allows(iteration) && !conn.has_too_many_unanswered();
            if !input.remaining().is_empty() && !may_handle {
                self.postpone_input(key);
                return Ok(());
            }
            let used = self.handle_message(now, key, input)?;
            if used == 0 {
                return Ok(());
            }
            if let Some(conn) = self.connections.get_mut(key) {
                conn.budget.charge(iteration, used);
                conn.unsent_replies.record_output(conn.output.remaining().len());
            }
        }
    }

    /// Handles all complete messages of the input of a peer that has closed the connection.
    fn handle_last_messages(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut Buffer,
    ) -> Result<(), CloseReason> {
        while self.handle_message(now, key, input)? > 0 {}
        Ok(())
    }

    /// Schedules a connection's buffered input for the next iteration of the loop. Input of a client that has too many
    /// unsent replies waits until some are written.
    fn postpone_input(&mut self, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.has_postponed_input = true;
        if conn.has_ready_input() {
            self.postponed_input.push(key);
        }
    }

    /// Decodes and handles the first message of the input, with the codec of the connection's role. Returns the number
    /// of bytes consumed; 0 if there is no complete message that can be handled now.
    fn handle_message(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut Buffer,
    ) -> Result<usize, CloseReason> {
        let Some(conn) = self.connections.get_mut(key) else { return Ok(0) };
        if conn.state.ignores_input() {
            input.consume(input.remaining().len());
            return Ok(0);
        }
        let parsed = match &mut conn.role {
            Role::SignedClient(_) => Ok(self.handle_signed_input(now, key, input.remaining())),
            Role::PlatformClient(_) => {
                self.handle_platform_input(now, key, input.remaining()).map_err(CloseReason::from)
            }
            Role::Store(_) => self.handle_store_input(now, key, input.remaining()).map_err(CloseReason::from),
            Role::Ensemble => {
                let effects = self.membership.as_mut().map(|m| m.handle_bytes(now, input.remaining()));
                self.apply_membership_effects(now, effects.unwrap_or_default());
                Ok(input.remaining().len())
            }
            Role::Events => {
                let effects = self.events.take_bytes(now, input.remaining(), &self.wire_settings);
                self.apply_event_effects(now, effects);
                Ok(input.remaining().len())
            }
        };
        let used = parsed?;
        if used > 0 {
            input.consume(used);
            if let Some(conn) = self.connections.get_mut(key) {
                (conn.has_requested, conn.incomplete_since) = (true, None);
            }
        }
        Ok(used)
    }

    /// Writes as much output as the socket accepts. Returns whether the connection is still open.
    pub(super) fn flush(&mut self, now: MonotonicTime, key: SlotKey) -> bool {
        let Some(conn) = self.connections.get_mut(key) else { return false };
        if conn.state.is_connected() && !conn.output.remaining().is_empty() {
            match write_available(&conn.stream, conn.output.remaining()) {
                Ok(0) => {}
                Ok(count) => {
                    conn.output.consume(count);
                    conn.unsent_replies.record_written(count);
                    conn.last_activity = now;
                }
                Err(e) => {
                    self.close(now, key, Some(&e.into()));
                    return false;
                }
            }
        }
        conn.output.compact();
        if conn.has_ready_input() {
            self.postponed_input.push(key);
        }
        self.update_client_bytes(key);
        let Some(conn) = self.connections.get_mut(key) else { return false };
        let all_written = conn.output.remaining().is_empty();
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
                self.resumable.push(key);
            }
            _ => {}
        }
        self.update_interest(key);
        true
    }

    /// Updates the events that a connection is polled for.
    pub(super) fn update_interest(&mut self, key: SlotKey) {
        let memory_is_scarce = self.client_bytes > self.max_client_bytes / 8 * 7;
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
        self.client_bytes -= conn.counted_bytes;
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
                && conn.output.remaining().is_empty()
                && conn.state == ConnectionState::Open
            {
                return self.half_close(now, key);
            }
            return self.close(now, key, Some(&reason));
        }
        conn.deadline = limit.min(now + UNREAD_ANSWERS_TIMEOUT);
        self.core.deadlines.set(conn.deadline, DeadlineKind::Connection(key));
    }

    /// Handles buffered input of the connections that [`Self::resume`] scheduled.
    pub(super) fn resume_all(&mut self, now: MonotonicTime) {
        for key in std::mem::take(&mut self.resumable) {
            let Some(conn) = self.connections.get_mut(key) else { continue };
            conn.has_postponed_input = false;
            let mut input = std::mem::take(&mut conn.input);
            let malformed = self.handle_messages(now, key, &mut input).err();
            if let Some(conn) = self.connections.get_mut(key) {
                conn.input = input;
            }
            if let Some(reason) = malformed {
                self.close(now, key, Some(&reason));
            }
            self.update_interest(key);
        }
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

/// Reads until the socket has no more bytes or `max_read` are read. Returns why the connection has ended, if it has.
/// `buffer`: scratch space for one read.
fn read_available(
    now: MonotonicTime,
    conn: &mut Connection,
    input: &mut Buffer,
    buffer: &mut [u8],
    max_read: usize,
) -> Option<CloseReason> {
    let is_client = conn.role.is_client();
    let mut total_read = 0;
    conn.fully_read = false;
    while total_read < max_read {
        // Large messages are read in large pieces.
        let read_bytes =
            if input.bytes.len() > SMALL_READ_BYTES { LARGE_READ_BYTES } else { SMALL_READ_BYTES };
        match read_once(&conn.stream, &mut buffer[..read_bytes]) {
            Ok(ReadOutcome::Ended) => return Some(CloseReason::ClosedByPeer),
            Ok(ReadOutcome::Received(count)) => {
                input.bytes.extend_from_slice(&buffer[..count]);
                total_read += count;
                (conn.last_activity, conn.last_read) = (now, now);
                if let Role::SignedClient(session) = &mut conn.role {
                    session.record_read(now, count);
                }
                // A client's socket is read on to detect its end: no request is begun for a client that has
                // disconnected.
                if count < read_bytes && !is_client {
                    return None;
                }
            }
            Ok(ReadOutcome::NotReady) => {
                conn.fully_read = true;
                return None;
            }
            Err(e) => return Some(e.into()),
        }
    }
    None
}
