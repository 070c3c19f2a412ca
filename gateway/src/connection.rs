//! Connections of the gateway: buffers, role, state and time-outs.
use crate::input_budget::{InputBudget, MAX_ITERATION_TIME};
use crate::memory::{InputBuffer, OutputBuffer};
use crate::reply_history::{ReplyHistory, UNREAD_ANSWERS_TIMEOUT};
use crate::resp;
use crate::signed;
use crate::sockets;
use crate::thrift;
use crate::unsent_replies::UnsentReplies;
use larchway::MonotonicTime;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which a client without requests is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a client's message must be complete; for the first one it starts at the connect.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a half-closed connection waits for the client to close it. It equals the time that a client may leave
/// replies unread, since replies that the kernel has accepted may still be in transit.
pub(crate) const LINGER: Duration = UNREAD_ANSWERS_TIMEOUT;
/// Minimum of that time, which applies even while the process is stopping.
pub(crate) const MIN_LINGER: Duration = Duration::from_secs(1);
/// Unsent output or unprocessed input, in bytes, above which a client of the front for signed links is not read from.
pub(crate) const MAX_BACKLOG_BYTES: usize = 1 << 20;
/// Maximum number of bytes read from one connection per event, so that other connections are not delayed.
pub(crate) const MAX_BYTES_PER_ITERATION: usize = 512 * 1024;

/// Requests that are open and replies that are unsent at which no further message of a client is handled: twice as
/// many as a client may have open.
const MAX_UNANSWERED_MESSAGES: usize = 2 * thrift::MAX_OPEN_REQUESTS;

/// The role of a connection, with the state of its protocol.
pub enum Role {
    /// A client of the platform's front.
    PlatformClient(thrift::Session),
    /// A client of the front for signed links.
    SignedClient(signed::Session),
    /// A connection to a store.
    Store(resp::Session),
    /// The connection to the source of events.
    Events,
    /// The connection to a server of the ensemble.
    Ensemble,
}

impl Role {
    /// Whether the peer is a client.
    pub(crate) fn is_client(&self) -> bool {
        matches!(self, Role::PlatformClient(_) | Role::SignedClient(_))
    }

    /// Whether the peer is a client that waits for no reply.
    pub(crate) fn is_client_without_requests(&self) -> bool {
        self.is_client() && self.open_requests() == 0
    }

    /// Number of requests of a client that wait for their final reply.
    fn open_requests(&self) -> usize {
        match self {
            Role::PlatformClient(session) => session.open_request_count(),
            Role::SignedClient(session) => usize::from(session.has_open_request()),
            Role::Store(_) | Role::Events | Role::Ensemble => 0,
        }
    }
}

/// Why connecting could not be started.
pub(crate) enum ConnectFailure {
    /// This machine lacks a resource, which says nothing about the peer.
    LocalShortage,
    /// The peer cannot be reached.
    Unreachable,
}

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being established.
    Connecting,
    /// The connection is established.
    Open,
    /// The connection is half-closed once its output is sent; input is discarded.
    Finishing,
    /// The write side is shut, so nothing can be sent any more. Input is read and discarded until the peer closes or a
    /// time-out expires: closing with unread input would reset the connection and lose replies in transit.
    HalfClosed {
        /// When the connection is closed even if the peer has not closed it.
        until: MonotonicTime,
    },
}

impl ConnectionState {
    /// Whether the connection has been established.
    pub(crate) fn is_connected(self) -> bool {
        self != ConnectionState::Connecting
    }

    /// Whether input is discarded.
    pub(crate) fn ignores_input(self) -> bool {
        matches!(self, ConnectionState::Finishing | ConnectionState::HalfClosed { .. })
    }
}

/// The events that a connection is polled for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Interest {
    /// Polled for readability.
    pub(crate) readable: bool,
    /// Polled for writability.
    pub(crate) writable: bool,
}

/// Time-outs of connections to stores, to the ensemble and to the source of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timeouts {
    /// Time to establish the connection.
    pub(crate) connect: Duration,
    /// Time without a byte after which the peer closes the connection.
    pub(crate) idle: Duration,
}

/// A connection.
pub struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) input: InputBuffer,
    /// Output that is still to be written.
    pub output: OutputBuffer,
    /// The role of the connection.
    pub role: Role,
    /// The state of the connection.
    pub state: ConnectionState,
    /// When it was accepted, or connecting was started.
    pub(crate) opened_at: MonotonicTime,
    /// When bytes were last read or written.
    pub last_activity: MonotonicTime,
    /// When bytes were last read, or when waiting for a reply began.
    pub last_read: MonotonicTime,
    /// Whether the last read left nothing unread.
    pub(crate) fully_read: bool,
    /// Whether a complete message was received.
    pub(crate) has_requested: bool,
    /// When the first byte of an incomplete message was received.
    pub(crate) incomplete_since: Option<MonotonicTime>,
    /// The messages handled in the current iteration of the loop.
    pub(crate) budget: InputBudget,
    /// The replies in the output.
    pub(crate) unsent_replies: UnsentReplies,
    /// Whether the input may hold a complete message that was left to the next iteration.
    pub(crate) has_postponed_input: bool,
    /// The events that it is polled for.
    pub(crate) polled_interest: Interest,
    /// When its time-outs are checked next.
    pub(crate) deadline: MonotonicTime,
    /// How its client has taken its replies of late.
    pub(crate) reply_history: ReplyHistory,
    /// Memory of its buffers that is included in the sum of all clients.
    pub(crate) counted_bytes: usize,
    /// Whether it is included in the number of connections to stores with input on pages.
    pub(crate) is_counted_on_pages: bool,
    /// Whether it is not read from until there is memory for a long reply of its store.
    pub(crate) awaits_memory: bool,
}

impl Connection {
    /// Whether the peer is a client without open requests, unsent replies or an incomplete message.
    pub(crate) fn is_idle(&self) -> bool {
        self.role.is_client_without_requests()
            && self.state == ConnectionState::Open
            && self.output.is_empty()
            && self.incomplete_since.is_none()
            && !self.has_postponed_input
    }

    /// Counts the reply at the end of a client's output, unless it is counted already.
    pub(crate) fn record_reply(&mut self) {
        if self.role.is_client() {
            self.unsent_replies.record_output(self.output.len());
        }
    }

    /// Whether the client has not read all replies. Those of this iteration may not be written yet.
    pub(crate) fn has_unread_output(&self) -> bool {
        self.polled_interest.writable
    }

    /// Whether the peer is a client with too many open requests and unsent replies: none of its messages is handled
    /// until it has read some.
    pub(crate) fn has_too_many_unanswered(&self) -> bool {
        let unsent_replies = self.unsent_replies.count();
        unsent_replies > 0 && self.role.open_requests() + unsent_replies >= MAX_UNANSWERED_MESSAGES
    }

    /// Whether buffered input can be handled in the next iteration.
    pub(crate) fn has_ready_input(&self) -> bool {
        self.has_postponed_input && !self.has_too_many_unanswered()
    }

    /// When the connection times out unless there is activity on it.
    pub(crate) fn timeout_at(&self, now: MonotonicTime, timeouts: Timeouts) -> MonotonicTime {
        let unsent_bytes = !self.output.is_empty();
        match &self.role {
            _ if matches!(self.state, ConnectionState::HalfClosed { .. }) => self.deadline,
            _ if !self.state.is_connected() => self.opened_at + timeouts.connect,
            role if role.is_client() && unsent_bytes => self.last_activity + UNREAD_ANSWERS_TIMEOUT,
            // The gateway is late, not the peer.
            _ if self.has_postponed_input || self.awaits_memory => now + MESSAGE_TIMEOUT,
            // A stalled message does not time out while requests are open, since closing would lose their replies.
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
            // A stalled reply blocks all replies behind it.
            Role::Store(_) if self.incomplete_since.is_some() => self.last_read + resp::STALLED_REPLY_TIMEOUT,
            // Timed from the first byte: a request that is sent byte by byte has to time out despite its activity.
            Role::SignedClient(session) if session.incomplete_since().is_some() => {
                session.incomplete_since().unwrap_or(now) + signed::REQUEST_TIMEOUT
            }
            role if role.is_client_without_requests() => self.last_activity + IDLE_TIMEOUT,
            role if role.is_client() => now + IDLE_TIMEOUT,
            // Closed well before the store closes it: a request sent at that moment would fail and waste time.
            Role::Store(session) if session.is_idle() => self.last_activity + timeouts.idle / 2,
            _ => now + timeouts.idle / 2,
        }
    }

    /// The events to poll for. `max_unsent_bytes`: unsent output above which a client is not read from.
    pub(crate) fn interest(&self, max_unsent_bytes: usize) -> Interest {
        let unsent_bytes = self.output.len();
        // A client of the front for signed links that does not read its replies, or that pipelines too much, is not
        // read from. A platform client is read from unless memory is scarce: its requests have to be handled as soon as
        // they are written, and would be late if left unread. There are few such clients, and few replies to them.
        let is_backlogged = match self.role {
            Role::SignedClient(_) => unsent_bytes.max(self.input.remaining().len()) > max_unsent_bytes,
            Role::PlatformClient(_) => {
                max_unsent_bytes < MAX_BACKLOG_BYTES && unsent_bytes > max_unsent_bytes
            }
            Role::Store(_) | Role::Events | Role::Ensemble => false,
        };
        // An attempt whose first write would have blocked also waits for the connection to be writable.
        let has_waiting = matches!(&self.role, Role::Store(session) if !session.waiting.is_empty());
        Interest {
            readable: !is_backlogged && !self.awaits_memory && !self.has_too_many_unanswered(),
            writable: !self.state.is_connected() || unsent_bytes > 0 || has_waiting,
        }
    }

    /// Whether all that the peer has sent until now was read, and handled as far as it is complete.
    pub(crate) fn is_caught_up(&self, now: MonotonicTime) -> bool {
        let was_just_read = self.fully_read && now < self.last_read + MAX_ITERATION_TIME;
        !self.has_postponed_input && (was_just_read || self.has_nothing_to_read())
    }

    /// Whether there is nothing to read, not even the end of the stream.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        sockets::has_nothing_to_read(&self.stream)
    }
}
