//! The listener and the connections of subscribers and operators. Each turn does a bounded amount of work.
use super::connection::{Connection, Stage, WriteState, Written};
use super::request::{Request, RequestError};
use super::response;
use crate::deadlines::{Deadlines, Due};
use crate::log;
use crate::slots::{Key, Slots};
use crate::sockets::{exhausted, polled_in_time};
use larchway::Micros;
use larchway_distribution::relay::SubscriberId;
use polling::{Event, PollMode, Poller};
use rustix::process::{getrlimit, Resource};
use socket2::SockRef;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Connections that may wait at the listener: thousands return at once when another relay is lost.
const BACKLOG: i32 = 4096;
/// Connections taken in a turn at most.
const ACCEPTED_AT_ONCE: usize = 64;
/// Connections beside those of subscribers: operators, requests not whole yet, responses not read yet.
const SPARE_CONNECTIONS: usize = 256;
/// Descriptors kept back for the source's connection, signals, the poller, standard streams and the operator file.
const RESERVED_DESCRIPTORS: usize = 24;
/// Bytes that the system keeps for a connection that does not read.
const SEND_BUFFER: usize = 256 << 10;
/// µs within which a request must be whole.
const WHOLE_REQUEST: Micros = 2_000_000;
/// µs for which the other side may take to close after a response.
const LINGER: Micros = 2_000_000;
/// µs for which the listener rests when there is no descriptor.
const ACCEPT_AGAIN: Micros = 100_000;
/// Time spent on writing in a turn, after which upstream and new connections are looked at again.
const WRITING_TURN: Duration = Duration::from_millis(2);

/// What came in on a connection.
#[derive(Debug)]
pub enum Received {
    /// A request.
    Request(Request),
    /// The connection of a subscriber has ended.
    Gone,
}

/// The listener and all connections.
pub struct Server {
    poller: Rc<Poller>,
    listener: TcpListener,
    listener_key: usize,
    most_connections: usize,
    /// At most `most_connections`; past it new ones are closed at once.
    connections: Slots<Connection>,
    /// Those of [`WriteState::Queued`], and some that are gone.
    queue: VecDeque<Key>,
    /// Streams of [`WriteState::Idle`].
    idle: BTreeSet<Key>,
    deadlines: Deadlines,
    bytes_written: u64,
}

impl Server {
    /// Listens. `stop`: tells of SIGTERM while the address is still held by another process.
    pub fn new(
        poller: Rc<Poller>,
        address: SocketAddr,
        listener_key: usize,
        subscribers: usize,
        stop: &UnixStream,
    ) -> Result<Server, String> {
        let listener = polled_in_time(&poller, address, listener_key, false, stop)?;
        SockRef::from(&listener).listen(BACKLOG).map_err(|e| format!("cannot listen on {address}: {e}"))?;
        Ok(Server {
            poller,
            listener,
            listener_key,
            most_connections: most_connections(subscribers),
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
    pub fn next_due(&self) -> Option<Micros> {
        self.deadlines.next()
    }

    /// Takes new connections in, a bounded number.
    pub fn accept(&mut self, now: Micros) {
        for _ in 0..ACCEPTED_AT_ONCE {
            match self.listener.accept() {
                Ok((stream, _)) => self.adopt(now, stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if exhausted(&e) => return self.rest_listener(now, &e),
                // One that has gone while it waited says nothing of those behind it.
                Err(e) => log!("a connection cannot be taken in: {e}"),
            }
        }
    }

    /// Reads from a connection. Returns what the relay has to know of, in order.
    pub fn read(&mut self, now: Micros, key: Key) -> Vec<Received> {
        let Some(connection) = self.connections.get_mut(key) else { return Vec::new() };
        if !connection.read() {
            return self.lose(key).into_iter().collect();
        }
        let mut received = Vec::new();
        loop {
            let Some(connection) = self.connections.get_mut(key) else { return received };
            match connection.next_request() {
                Ok(Some(request)) => received.extend(self.take_request(now, key, request)),
                Ok(None) => break,
                Err(error) => {
                    received.extend(self.refuse_request(now, key, error));
                    return received;
                }
            }
        }
        self.set_request_due(now, key, !received.is_empty());
        received
    }

    /// The socket of a connection takes more.
    pub fn writable(&mut self, key: Key) {
        let Some(connection) = self.connections.get(key) else { return };
        if connection.write_state == WriteState::Blocked {
            self.poll(key, Event::readable(key.0 as usize));
            self.enqueue(key);
        }
    }

    /// The relay takes this subscriber.
    pub fn start_stream(&mut self, id: SubscriberId) {
        let key = Key(id);
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.stage = Stage::Streaming;
        connection.send(response::stream_head(connection.encoding));
        self.enqueue(key);
    }

    /// Sends a whole response, after which the connection ends.
    pub fn respond(&mut self, now: Micros, key: Key, response: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.stage = Stage::Responding;
        connection.send(response);
        self.deadlines.shift(&mut connection.due, Some(now + LINGER), Due::Connection(key));
        self.enqueue(key);
    }

    /// Closes a connection.
    pub fn close(&mut self, key: Key) {
        let Some(mut connection) = self.connections.remove(key) else { return };
        self.idle.remove(&key);
        self.deadlines.shift(&mut connection.due, None, Due::Connection(key));
        if let Err(e) = self.poller.delete(&connection.stream) {
            log!("cannot stop polling a connection: {e}");
        }
    }

    /// All streams have something to write.
    pub fn wake_streams(&mut self) {
        for key in std::mem::take(&mut self.idle) {
            self.enqueue(key);
        }
    }

    /// Writes to those whose turn it is, for a bounded time; `next` gives a subscriber's next piece. Returns the
    /// subscribers whose connections have ended.
    pub fn write_queued(
        &mut self,
        now: Micros,
        mut next: impl FnMut(SubscriberId) -> Option<Arc<[u8]>>,
    ) -> Vec<Key> {
        let began = Instant::now();
        let mut gone = Vec::new();
        while let Some(key) = self.queue.pop_front() {
            gone.extend(self.write(now, key, &mut next));
            if began.elapsed() > WRITING_TURN {
                break;
            }
        }
        gone
    }

    /// Ends what has taken too long. Returns the subscribers whose connections have ended.
    pub fn expire(&mut self, now: Micros) -> Vec<Key> {
        let mut gone = Vec::new();
        while let Some(due) = self.deadlines.pop(now) {
            match due {
                Due::Accept => self.poll_listener(Event::readable(self.listener_key)),
                Due::Connection(key) => gone.extend(self.lose(key).map(|_| key)),
                _ => {}
            }
        }
        gone
    }

    fn adopt(&mut self, now: Micros, stream: TcpStream) {
        if self.connections.len() >= self.most_connections {
            return log!("a connection is turned away: {} are open", self.connections.len());
        }
        if let Err(e) = configure(&stream) {
            return log!("a connection cannot be set up: {e}");
        }
        let key = self.connections.insert(Connection::new(stream));
        let Some(connection) = self.connections.get_mut(key) else { return };
        let interest = Event::readable(key.0 as usize);
        if let Err(e) = self.poller.add_with_mode(&connection.stream, interest, PollMode::Level) {
            log!("cannot poll a connection: {e}");
            self.connections.remove(key);
            return;
        }
        self.deadlines.shift(&mut connection.due, Some(now + WHOLE_REQUEST), Due::Connection(key));
    }

    /// Notes what a request means for its connection, and passes it on unless it comes at the wrong place.
    fn take_request(&mut self, now: Micros, key: Key, request: Request) -> Option<Received> {
        let connection = self.connections.get_mut(key)?;
        match (connection.stage, &request) {
            (Stage::Request, Request::Subscribe(hello)) => {
                connection.stage = Stage::Admission;
                connection.encoding = hello.encoding;
            }
            (Stage::Request, Request::Status | Request::Done(_)) => connection.stage = Stage::Responding,
            (Stage::Admission | Stage::Streaming, Request::Position(_)) => {}
            (Stage::Responding | Stage::Lingering, _) => return None,
            _ => return self.refuse_request(now, key, RequestError::Malformed),
        }
        Some(Received::Request(request))
    }

    fn refuse_request(&mut self, now: Micros, key: Key, error: RequestError) -> Option<Received> {
        let connection = self.connections.get(key)?;
        if matches!(connection.stage, Stage::Admission | Stage::Streaming) {
            log!("a subscriber sent a request that cannot be used: {error:?}");
            return self.lose(key);
        }
        self.respond(now, key, response::refusal(error.status(), None));
        None
    }

    fn set_request_due(&mut self, now: Micros, key: Key, got_on: bool) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !matches!(connection.stage, Stage::Admission | Stage::Streaming) {
            return;
        }
        let due = match (connection.has_partial_request(), connection.due) {
            (false, _) => None,
            (true, Some(due)) if !got_on => Some(due),
            (true, _) => Some(now + WHOLE_REQUEST),
        };
        self.deadlines.shift(&mut connection.due, due, Due::Connection(key));
    }

    /// Closes a connection that is of no use any more. Returns what the relay has to know.
    fn lose(&mut self, key: Key) -> Option<Received> {
        let stage = self.connections.get(key)?.stage;
        self.close(key);
        matches!(stage, Stage::Admission | Stage::Streaming).then_some(Received::Gone)
    }

    fn write(
        &mut self,
        now: Micros,
        key: Key,
        next: &mut impl FnMut(SubscriberId) -> Option<Arc<[u8]>>,
    ) -> Option<Key> {
        let connection = self.connections.get_mut(key)?;
        if connection.write_state != WriteState::Queued {
            return None;
        }
        let streaming = connection.stage == Stage::Streaming;
        let written = connection.write(|| if streaming { next(key.0) } else { None });
        let Ok((written, bytes)) = written else { return self.lose(key).map(|_| key) };
        self.bytes_written += bytes as u64;
        match written {
            Written::Some => self.enqueue(key),
            Written::Full => self.block(key),
            Written::All if streaming => self.rest(key),
            Written::All => self.linger(now, key),
        }
        None
    }

    fn enqueue(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Queued;
        self.queue.push_back(key);
    }

    fn rest(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Idle;
        self.idle.insert(key);
    }

    fn block(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Blocked;
        self.poll(key, Event::all(key.0 as usize));
    }

    /// A whole response is written. Danger: closing now would reset the connection if input is unread, and the
    /// response could be lost with it.
    fn linger(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Idle;
        connection.stage = Stage::Lingering;
        if connection.half_close().is_err() {
            return self.close(key);
        }
        self.deadlines.shift(&mut connection.due, Some(now + LINGER), Due::Connection(key));
    }

    fn poll(&mut self, key: Key, interest: Event) {
        let Some(connection) = self.connections.get(key) else { return };
        if let Err(e) = self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level) {
            log!("cannot poll a connection: {e}");
        }
    }

    /// There is no descriptor for one more connection. Danger: whoever waits stays in the listener's queue, and the
    /// poller tells of it again at once, for ever.
    fn rest_listener(&mut self, now: Micros, why: &io::Error) {
        log!("cannot accept: {why}");
        self.poll_listener(Event::none(self.listener_key));
        self.deadlines.set(now + ACCEPT_AGAIN, Due::Accept);
    }

    fn poll_listener(&mut self, interest: Event) {
        if let Err(e) = self.poller.modify_with_mode(&self.listener, interest, PollMode::Level) {
            log!("cannot poll the listener: {e}");
        }
    }
}

/// Connections that may be open. Danger: where subscribers take the last descriptor, the source cannot be dialled again.
fn most_connections(subscribers: usize) -> usize {
    let wanted = subscribers + SPARE_CONNECTIONS;
    let limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let allowed = limit.saturating_sub(RESERVED_DESCRIPTORS);
    if allowed < wanted {
        log!(
            "subscribers: the limit of {limit} descriptors leaves room for {allowed} connections of {wanted}"
        );
    }
    wanted.min(allowed)
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER)
}
