//! Input of connections of every role: reading, and handling the messages within the limits of one iteration of the
//! loop.
use super::errors::CloseReason;
use super::poll_key::PollKey;
use super::Gateway;
use crate::connection::{Connection, Role, MAX_BYTES_PER_ITERATION, MESSAGE_TIMEOUT};
use crate::deadlines::DeadlineKind;
use crate::memory::input_buffer::MAX_HEAP_INPUT_BYTES;
use crate::memory::InputBuffer;
use crate::nonblocking::{read_once, ReadOutcome};
use crate::resp;
use crate::slots::SlotKey;
use crate::sockets::is_hung_up;
use larchway::MonotonicTime;
use polling::Event;
use std::collections::BTreeSet;
use tracing::warn;

/// Size in bytes of one read while the input buffer holds at most this many bytes.
const SMALL_READ_BYTES: usize = 8 * 1024;
/// Size in bytes of one read while the input buffer holds more, as within a large message.
pub(super) const LARGE_READ_BYTES: usize = 64 * 1024;

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

/// Why no more input of a connection is handled.
enum InputEnd {
    /// The peer has closed the connection, or it has failed.
    Closed(CloseReason),
    /// A message is malformed.
    Malformed(CloseReason),
}

/// The outcome of one read from a connection.
struct Piece {
    /// Number of bytes received; 0 if none were available.
    bytes: usize,
    /// Whether as many were received as the read had room for, so that more may be available.
    is_full: bool,
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
        let outcome = match is_client {
            true => self.read_client(now, key, &mut input),
            false => self.read_peer(now, key, &mut input),
        };
        input.compact();
        self.store_unprocessed_input(now, key, input);
        self.update_buffer_use(now, key);
        self.enforce_client_bytes(now);
        match outcome {
            Ok(()) => {}
            Err(InputEnd::Closed(reason)) => self.close(now, key, Some(&reason)),
            Err(InputEnd::Malformed(reason)) => {
                warn!(%reason, "a connection is closed");
                if is_client {
                    self.finish_client(now, key);
                } else {
                    self.close(now, key, Some(&reason));
                }
            }
        }
    }

    /// Reads from a client piece by piece and handles the messages of each piece, so that no more input is buffered
    /// than what one iteration leaves of a piece. No request is begun for a client that has disconnected.
    fn read_client(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut InputBuffer,
    ) -> Result<(), InputEnd> {
        let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
        // The end may have arrived behind bytes that are not read yet.
        if is_hung_up(&conn.stream) {
            return Err(InputEnd::Closed(CloseReason::ClosedByPeer));
        }
        if std::mem::take(&mut conn.has_postponed_input) {
            return self.handle_messages(now, key, input).map_err(InputEnd::Malformed);
        }
        let mut total_read = 0;
        while total_read < MAX_BYTES_PER_ITERATION {
            let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
            let piece =
                read_piece(now, conn, input, usize::MAX, &mut self.read_buffer).map_err(InputEnd::Closed)?;
            total_read += piece.bytes;
            self.handle_messages(now, key, input).map_err(InputEnd::Malformed)?;
            // Read until nothing is available, and not only until a piece is not full, to detect the client's end.
            let has_more = |conn: &Connection| !conn.fully_read && !conn.has_postponed_input;
            if !self.connections.get(key).is_some_and(has_more) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads from a peer other than a client, whose last messages are handled also if it has disconnected.
    fn read_peer(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut InputBuffer,
    ) -> Result<(), InputEnd> {
        let Some(conn) = self.connections.get(key) else { return Ok(()) };
        let max_input = self.max_input_bytes(conn);
        let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
        let is_postponed = std::mem::take(&mut conn.has_postponed_input);
        let read = match is_postponed {
            true => Ok(()),
            false => read_available(now, conn, input, max_input, &mut self.read_buffer),
        };
        let handled = match read {
            Ok(()) => self.handle_messages(now, key, input),
            Err(_) => self.handle_last_messages(now, key, input),
        };
        handled.map_err(InputEnd::Malformed)?;
        if max_input == MAX_HEAP_INPUT_BYTES && input.remaining().len() >= max_input {
            self.await_memory(key);
        }
        read.map_err(InputEnd::Closed)
    }

    /// Stores unprocessed input for the next read, and sets an earlier deadline if needed, so that an incomplete
    /// message times out.
    fn store_unprocessed_input(&mut self, now: MonotonicTime, key: SlotKey, input: InputBuffer) {
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
        input: &mut InputBuffer,
    ) -> Result<(), CloseReason> {
        let handled = self.handle_messages_in_budget(now, key, input);
        let has_replies = |conn: &Connection| conn.role.is_client() && !conn.output.is_empty();
        if self.connections.get(key).is_some_and(has_replies) {
            self.flush(now, key);
        }
        handled
    }

    fn handle_messages_in_budget(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut InputBuffer,
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
                // Replies are written together, and counted one by one.
                conn.record_reply();
            }
        }
    }

    /// Handles all complete messages of the input of a peer that has closed the connection.
    fn handle_last_messages(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut InputBuffer,
    ) -> Result<(), CloseReason> {
        while self.handle_message(now, key, input)? > 0 {}
        Ok(())
    }

    /// Schedules a connection's buffered input for the next iteration of the loop. Input of a client that has too
    /// many unsent replies waits until some are written.
    fn postpone_input(&mut self, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.has_postponed_input = true;
        self.schedule_postponed_input(key);
    }

    /// Schedules a connection's postponed input, if there is any that can be handled now.
    pub(super) fn schedule_postponed_input(&mut self, key: SlotKey) {
        if self.connections.get(key).is_some_and(Connection::has_ready_input) {
            self.input_schedule.postponed.push(key);
        }
    }

    /// Begins an iteration: adds an event for each connection whose buffered input was left to it, unless the poller
    /// reported one. Connections stay listed until their input is handled: this iteration may be cut short as well.
    pub(super) fn begin_input_iteration(&mut self, events: &mut Vec<Event>) {
        let InputSchedule { iteration, postponed, .. } = &mut self.input_schedule;
        *iteration += 1;
        if postponed.is_empty() {
            return;
        }
        postponed.retain(|key| self.connections.get(*key).is_some_and(Connection::has_ready_input));
        postponed.sort_unstable();
        postponed.dedup();
        let reported: BTreeSet<usize> =
            events.iter().filter(|event| event.readable).map(|event| event.key).collect();
        let keys = postponed.iter().map(|key| PollKey::Connection(*key).into());
        events.extend(keys.filter(|key| !reported.contains(key)).map(Event::readable));
    }

    /// Decodes and handles the first message of the input, with the codec of the connection's role. Returns the
    /// number of bytes consumed; 0 if there is no complete message that can be handled now.
    fn handle_message(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &mut InputBuffer,
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

/// Reads until the socket seems to have no more bytes or [`MAX_BYTES_PER_ITERATION`] are read. An error is why the
/// connection has ended. `max_input`: number of bytes up to which is buffered. `buffer`: scratch space for one read.
fn read_available(
    now: MonotonicTime,
    conn: &mut Connection,
    input: &mut InputBuffer,
    max_input: usize,
    buffer: &mut [u8],
) -> Result<(), CloseReason> {
    let mut total_read = 0;
    while total_read < MAX_BYTES_PER_ITERATION {
        let piece = read_piece(now, conn, input, max_input, buffer)?;
        if !piece.is_full {
            break;
        }
        total_read += piece.bytes;
    }
    Ok(())
}

/// Reads once. An error is why the connection has ended. `max_input`: number of bytes up to which is buffered.
/// `buffer`: scratch space.
fn read_piece(
    now: MonotonicTime,
    conn: &mut Connection,
    input: &mut InputBuffer,
    max_input: usize,
    buffer: &mut [u8],
) -> Result<Piece, CloseReason> {
    // Large messages are read in large pieces.
    let buffered = input.remaining().len();
    let room = if buffered > SMALL_READ_BYTES { LARGE_READ_BYTES } else { SMALL_READ_BYTES };
    let room = room.min(max_input - buffered.min(max_input));
    if room == 0 {
        return Ok(Piece { bytes: 0, is_full: false });
    }
    conn.fully_read = false;
    let stream = &conn.stream;
    let bytes = match input.read_with(room, buffer, |space| read_once(stream, space))? {
        ReadOutcome::Ended => return Err(CloseReason::ClosedByPeer),
        ReadOutcome::Received(bytes) => bytes,
        ReadOutcome::NotReady => {
            conn.fully_read = true;
            return Ok(Piece { bytes: 0, is_full: false });
        }
    };
    (conn.last_activity, conn.last_read) = (now, now);
    if let Role::SignedClient(session) = &mut conn.role {
        session.record_read(now, bytes);
    }
    Ok(Piece { bytes, is_full: bytes == room })
}
