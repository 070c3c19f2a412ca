//! Connections of the daemon: their buffers, what each is for, and how far it has come.
use crate::resp;
use crate::signed;
use crate::sockets;
use crate::thrift;
use larchway::MonotonicTime;
use std::net::TcpStream;
use std::time::Duration;

/// The time after which a client that reads nothing of its answers is cut off.
pub(crate) const UNREAD_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);
/// The time after which a client that asks for nothing is cut off.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The time in which a client's message must be complete, the first one from when it connected.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which a connection lingers after its last answer.
pub(crate) const LINGER: Duration = Duration::from_secs(1);
/// Bytes waiting for a client of the front for signed links above which nothing more is read from it.
pub(crate) const MAX_BACKLOG_BYTES: usize = 1 << 20;
/// Bytes read from one connection before others get their turn.
pub(crate) const MAX_BYTES_PER_ITERATION: usize = 512 * 1024;
/// Readings of a client in a row that look for its end: as much as the kernel buffers of one connection at most.
pub(crate) const MAX_READS_FOR_HANGUP: usize = 16;

/// Consumed bytes above which a buffer is compacted.
const COMPACTION_THRESHOLD_BYTES: usize = 64 * 1024;

/// Bytes on their way in or out.
#[derive(Default)]
pub struct Buffer {
    /// The bytes, those that are consumed in front.
    pub bytes: Vec<u8>,
    /// How many are consumed.
    pub consumed: usize,
}

impl Buffer {
    /// The bytes that are not consumed.
    pub fn remaining(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Consumes so many bytes; a buffer that is empty gives its memory back, so that a quiet connection costs next to
    /// nothing.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.bytes.len() {
            *self = Buffer::default();
        }
    }

    /// Gives the memory of consumed bytes back once they are many.
    pub(crate) fn compact(&mut self) {
        if self.consumed > COMPACTION_THRESHOLD_BYTES {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
    }
}

/// What a connection is for.
pub enum Role {
    /// A client of the platform's front.
    PlatformClient(thrift::Session),
    /// A client of the front for signed links.
    SignedClient(signed::Session),
    /// A connection to a store.
    Store(resp::Session),
    /// The source of events.
    Events,
    /// A server of the ensemble.
    Ensemble,
}

impl Role {
    /// Whether a client is at the other end.
    pub(crate) fn is_client(&self) -> bool {
        matches!(self, Role::PlatformClient(_) | Role::SignedClient(_))
    }

    /// Whether a client is at the other end that waits for no reply.
    pub(crate) fn is_client_without_requests(&self) -> bool {
        match self {
            Role::PlatformClient(session) => !session.has_open_requests(),
            Role::SignedClient(session) => !session.has_open_request(),
            _ => false,
        }
    }
}

/// Why a connect could not be begun.
pub(crate) enum ConnectFailure {
    /// This machine is short of something for it, which says nothing of the other side.
    LocalShortage,
    /// The other side cannot be reached.
    Unreachable,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is being dialled.
    Connecting,
    /// Bytes go both ways.
    Open,
    /// It is half-closed once all that is written has gone out; what comes in is passed over.
    Finishing,
    /// Its write side is shut: no answer could be delivered. What comes in is read and passed over, since a close over
    /// unread bytes would reset what is still on its way, until the other side has closed or this time has come.
    HalfClosed {
        /// When it is closed all the same.
        until: MonotonicTime,
    },
}

impl ConnectionState {
    /// Whether it is up, in any way.
    pub(crate) fn is_connected(self) -> bool {
        self != ConnectionState::Connecting
    }

    /// Whether what comes in is passed over.
    pub(crate) fn ignores_input(self) -> bool {
        matches!(self, ConnectionState::Finishing | ConnectionState::HalfClosed { .. })
    }
}

/// What a connection is polled for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Interest {
    /// Whether it is polled for reading.
    pub(crate) readable: bool,
    /// Whether it is polled for writing.
    pub(crate) writable: bool,
}

/// How long connections to stores, to the ensemble and to the source of events may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timeouts {
    /// To be established.
    pub(crate) connect: Duration,
    /// Without a byte until the other side closes them.
    pub(crate) idle: Duration,
}

/// A connection.
pub struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) input: Buffer,
    /// What is to be written.
    pub output: Buffer,
    /// What it is for.
    pub role: Role,
    /// How far it has come.
    pub state: ConnectionState,
    /// When it was accepted or begun to be dialled.
    pub(crate) opened_at: MonotonicTime,
    /// When bytes last moved on it.
    pub last_activity: MonotonicTime,
    /// When bytes last came in, or began to be awaited.
    pub last_read: MonotonicTime,
    /// Whether its last reading took in all that had come.
    pub(crate) fully_read: bool,
    /// Whether a complete message has come in on it.
    pub(crate) has_requested: bool,
    /// When the first byte came of a message that is not complete.
    pub(crate) incomplete_since: Option<MonotonicTime>,
    /// What it is polled for.
    pub(crate) polled_interest: Interest,
    /// When it is looked at next, unless something moves on it.
    pub(crate) deadline: MonotonicTime,
    /// Bytes that count among those of all clients.
    pub(crate) counted_bytes: usize,
}

impl Connection {
    /// Whether a client is at the other end that is owed nothing and has asked for nothing that was read.
    pub(crate) fn is_idle(&self) -> bool {
        self.role.is_client_without_requests()
            && self.state == ConnectionState::Open
            && self.output.remaining().is_empty()
            && self.incomplete_since.is_none()
    }

    /// When it is to be ended unless something moves on it.
    pub(crate) fn timeout_at(&self, now: MonotonicTime, timeouts: Timeouts) -> MonotonicTime {
        let unsent_bytes = !self.output.remaining().is_empty();
        match &self.role {
            _ if matches!(self.state, ConnectionState::HalfClosed { .. }) => self.deadline,
            _ if !self.state.is_connected() => self.opened_at + timeouts.connect,
            role if role.is_client() && unsent_bytes => self.last_activity + UNREAD_ANSWERS_TIMEOUT,
            // Danger: what it asked for before is still owed; a message that does not go on ends nothing of that.
            Role::PlatformClient(session)
                if self.incomplete_since.is_some() && session.has_open_requests() =>
            {
                now + MESSAGE_TIMEOUT
            }
            Role::PlatformClient(_) if self.incomplete_since.is_some() => {
                self.incomplete_since.unwrap_or(now) + MESSAGE_TIMEOUT
            }
            Role::PlatformClient(_) if !self.has_requested => self.opened_at + MESSAGE_TIMEOUT,
            Role::SignedClient(_) if !self.has_requested => self.opened_at + signed::REQUEST_TIMEOUT,
            // A reply that stops halfway holds up all that are behind it.
            Role::Store(_) if self.incomplete_since.is_some() => self.last_read + resp::STALLED_REPLY_TIMEOUT,
            // A request that comes byte by byte is cut off however lively it looks.
            Role::SignedClient(session) if session.incomplete_since().is_some() => {
                session.incomplete_since().unwrap_or(now) + signed::REQUEST_TIMEOUT
            }
            role if role.is_client_without_requests() => self.last_activity + IDLE_TIMEOUT,
            role if role.is_client() => now + IDLE_TIMEOUT,
            // Closed well before the store does: a request that crosses a close is lost time.
            Role::Store(session) if session.is_idle() => self.last_activity + timeouts.idle / 2,
            _ => now + timeouts.idle / 2,
        }
    }

    /// What it is to be polled for; `max_unsent_bytes`: bytes that may wait for a client before it is not read from.
    pub(crate) fn interest(&self, max_unsent_bytes: usize) -> Interest {
        let unsent_bytes = self.output.remaining().len();
        // A client of the front for signed links that reads no replies, or sends on and on before one, is not read
        // from. One of the platform's is, unless memory is scarce: its requests are taken once they are written, and
        // would be late unread. They are few, and so are their answers.
        let is_backlogged = match self.role {
            Role::SignedClient(_) => unsent_bytes.max(self.input.remaining().len()) > max_unsent_bytes,
            Role::PlatformClient(_) => {
                max_unsent_bytes < MAX_BACKLOG_BYTES && unsent_bytes > max_unsent_bytes
            }
            Role::Store(_) | Role::Events | Role::Ensemble => false,
        };
        // An attempt whose first byte found no room waits for the connection to be writable too.
        let has_waiting = matches!(&self.role, Role::Store(session) if !session.waiting.is_empty());
        Interest {
            readable: !is_backlogged,
            writable: !self.state.is_connected() || unsent_bytes > 0 || has_waiting,
        }
    }

    /// Whether nothing waits to be read, not even the end.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        sockets::has_nothing_to_read(&self.stream)
    }
}
