//! Input of connections of every role: reading, and handling the messages within the limits of one iteration of the
//! loop.
use super::errors::CloseReason;
use super::Gateway;
use crate::connection::{Buffer, Connection, Role, MAX_BYTES_PER_ITERATION, MESSAGE_TIMEOUT};
use crate::deadlines::DeadlineKind;
use crate::nonblocking::{read_once, ReadOutcome};
use crate::resp;
use crate::slots::SlotKey;
use crate::sockets::is_hung_up;
use larchway::MonotonicTime;
use tracing::warn;

/// Size in bytes of one read while the input buffer holds at most this many bytes.
const SMALL_READ_BYTES: usize = 8 * 1024;
/// Size in bytes of one read while the input buffer holds more, as within a large message.
pub(super) const LARGE_READ_BYTES: usize = 64 * 1024;

/// Limit on the bytes to read for which one read is made.
const PIECE: usize = 1;

/// The connections whose buffered input is to be handled.
#[derive(Debug, Default)]
pub(super) struct InputSchedule {
    /// Number of the current iteration of the loop.
    pub(super) iteration: u64,
    /// Connections whose buffered input may be parsed for the next request in this iteration.
    pub(super) resumable: Vec<SlotKey>,
    /// Connections whose buffered input was left to the next iteration; some may be listed twice or no longer apply.
    pub(super) postponed: Vec<SlotKey>,
}

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
        self.input_schedule.resumable.push(key);
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

    /// Reads from a client piece by piece and handles the messages of each piece, so that no more input is buffered
    /// than what one iteration leaves of a piece. No request is begun for a client that has disconnected.
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
            let iteration = self.input_schedule.iteration;
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

    /// Schedules a connection's buffered input for the next iteration of the loop. Input of a client that has too
    /// many unsent replies waits until some are written.
    fn postpone_input(&mut self, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.has_postponed_input = true;
        if conn.has_ready_input() {
            self.input_schedule.postponed.push(key);
        }
    }

    /// Decodes and handles the first message of the input, with the codec of the connection's role. Returns the
    /// number of bytes consumed; 0 if there is no complete message that can be handled now.
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

    /// Handles buffered input of the connections that [`Self::resume`] scheduled.
    pub(super) fn resume_all(&mut self, now: MonotonicTime) {
        for key in std::mem::take(&mut self.input_schedule.resumable) {
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
