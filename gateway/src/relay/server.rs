//! The listener and the connections of subscribers and operators. Each turn does a bounded amount of work.
mod accept;
mod output;

use super::connection::{Connection, InputState, Stage};
use super::request::{Request, RequestError};
use super::response;
use crate::deadlines::{DeadlineKind, Deadlines};
use crate::slots::{SlotKey, Slots};
use crate::sockets::{listen_and_poll_at_start, ListenError};
use accept::max_connections;
use larchway::MonotonicTime;
use polling::{Event, Poller};
use socket2::SockRef;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, warn};

/// Connections that may wait at the listener: thousands return at once when another relay is lost.
const BACKLOG: i32 = 4096;
/// The time within which a request must be complete.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that the other side may take to close after a response.
const LINGER: Duration = Duration::from_secs(2);

/// What the relay has to know of a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A request came.
    Request(Request),
    /// The connection of a subscriber has ended.
    SubscriberDisconnected,
}

/// Whether a read completed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestProgress {
    Completed,
    None,
}

/// The listener and all connections.
pub struct Server {
    poller: Rc<Poller>,
    listener: TcpListener,
    listener_key: usize,
    max_connections: usize,
    /// At most `max_connections`; past it new ones are closed at once.
    connections: Slots<Connection>,
    /// Those of [`WriteState::Queued`], and some that are gone.
    queue: VecDeque<SlotKey>,
    /// Streams of [`WriteState::Idle`].
    idle: BTreeSet<SlotKey>,
    deadlines: Deadlines,
    bytes_written: u64,
}

impl Server {
    /// Listens. `stop`: readable at SIGTERM, while the address is still held by another process.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on, or at SIGTERM.
    pub fn new(
        poller: Rc<Poller>,
        address: SocketAddr,
        listener_key: usize,
        subscribers: usize,
        stop: &UnixStream,
    ) -> Result<Server, ListenError> {
        let listener = listen_and_poll_at_start(&poller, address, listener_key, false, stop)?;
        SockRef::from(&listener).listen(BACKLOG).map_err(|source| ListenError::Open { address, source })?;
        Ok(Server {
            poller,
            listener,
            listener_key,
            max_connections: max_connections(subscribers),
            connections: Slots::default(),
            queue: VecDeque::new(),
            idle: BTreeSet::new(),
            deadlines: Deadlines::default(),
            bytes_written: 0,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections open.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Whether a connection waits for its turn to write.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When [`Server::expire`] is wanted.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.deadlines.next()
    }

    /// Reads from a connection. Returns what the relay has to know of, in order.
    pub fn read(&mut self, now: MonotonicTime, key: SlotKey) -> Vec<ConnectionEvent> {
        let Some(connection) = self.connections.get_mut(key) else { return Vec::new() };
        if connection.read() == InputState::Closed {
            return self.drop_connection(key).into_iter().collect();
        }
        let mut connection_events = Vec::new();
        loop {
            let Some(connection) = self.connections.get_mut(key) else { return connection_events };
            match connection.next_request() {
                Ok(Some(request)) => connection_events.extend(self.take_request(now, key, request)),
                Ok(None) => break,
                Err(error) => {
                    connection_events.extend(self.refuse_request(now, key, error));
                    return connection_events;
                }
            }
        }
        let progress = match connection_events.is_empty() {
            true => RequestProgress::None,
            false => RequestProgress::Completed,
        };
        self.set_request_deadline(now, key, progress);
        connection_events
    }

    /// Closes a connection.
    pub fn close(&mut self, key: SlotKey) {
        let Some(mut connection) = self.connections.remove(key) else { return };
        self.idle.remove(&key);
        self.deadlines.reschedule(&mut connection.deadline, None, DeadlineKind::Connection(key));
        if let Err(error) = self.poller.delete(&connection.stream) {
            error!(%error, "cannot stop polling a connection");
        }
    }

    /// Closes connections whose deadline has come. Returns the subscribers whose connections have ended.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<SlotKey> {
        let mut disconnected = Vec::new();
        while let Some(due) = self.deadlines.pop(now) {
            match due {
                DeadlineKind::Accept => self.poll_listener(Event::readable(self.listener_key)),
                DeadlineKind::Connection(key) => disconnected.extend(self.drop_connection(key).map(|_| key)),
                _ => {}
            }
        }
        disconnected
    }

    /// Sets what a request means for its connection, and returns it unless it comes at the wrong point.
    fn take_request(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        request: Request,
    ) -> Option<ConnectionEvent> {
        let connection = self.connections.get_mut(key)?;
        match (connection.stage, &request) {
            (Stage::Request, Request::Subscribe(request)) => {
                connection.stage = Stage::Admission;
                connection.encoding = request.encoding;
            }
            (Stage::Request, Request::Status | Request::Documents | Request::EventProgress(_)) => {
                connection.stage = Stage::Responding;
            }
            (Stage::Admission | Stage::Streaming, Request::Position(_)) => {}
            (Stage::Responding | Stage::Lingering, _) => return None,
            _ => return self.refuse_request(now, key, RequestError::Malformed),
        }
        Some(ConnectionEvent::Request(request))
    }

    fn refuse_request(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        error: RequestError,
    ) -> Option<ConnectionEvent> {
        let connection = self.connections.get(key)?;
        if matches!(connection.stage, Stage::Admission | Stage::Streaming) {
            warn!(?error, "a subscriber sent a request that cannot be used");
            return self.drop_connection(key);
        }
        self.respond(now, key, response::refusal(error.status(), None));
        None
    }

    fn set_request_deadline(&mut self, now: MonotonicTime, key: SlotKey, progress: RequestProgress) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !matches!(connection.stage, Stage::Admission | Stage::Streaming) {
            return;
        }
        let deadline = match (connection.has_partial_request(), connection.deadline) {
            (false, _) => None,
            (true, Some(deadline)) if progress == RequestProgress::None => Some(deadline),
            (true, _) => Some(now + REQUEST_TIMEOUT),
        };
        self.deadlines.reschedule(&mut connection.deadline, deadline, DeadlineKind::Connection(key));
    }

    /// Closes a connection that is of no use any more. Returns what the relay has to know.
    fn drop_connection(&mut self, key: SlotKey) -> Option<ConnectionEvent> {
        let stage = self.connections.get(key)?.stage;
        self.close(key);
        matches!(stage, Stage::Admission | Stage::Streaming)
            .then_some(ConnectionEvent::SubscriberDisconnected)
    }
}
