//! The loop of a source: its listener, its followers and its log.
use super::messages::{Command, Counted};
use polling::{Event, PollMode, Poller};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Duration, Instant};

/// The poller's key of the listener; followers have theirs by their place.
const LISTENER: usize = usize::MAX - 1;
/// Time between two rounds in which new events are sent to all.
const ROUND: Duration = Duration::from_millis(10);
/// Time between two comment lines.
const COMMENT_EVERY: Duration = Duration::from_secs(1);
/// Most bytes sent to one follower in a round: one that catches up must not hold up the others.
const MOST_A_ROUND: usize = 256 * 1024;
/// Most bytes of a request's head.
const LONGEST_HEAD: usize = 4096;
/// Connections that may wait to be accepted. With the usual 128, followers that come back at once lose their first
/// packet, and wait seconds to send it again.
const BACKLOG: i32 = 4096;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// A follower's connection.
struct Connection {
    stream: TcpStream,
    /// The part of the request's head that has come; none once it is complete.
    head: Option<Vec<u8>>,
    /// Up to where in the log it was sent.
    sent: usize,
    /// Whether its socket takes no more for now.
    full: bool,
}

/// The source.
pub struct Source {
    poller: Poller,
    listener: TcpListener,
    connections: Vec<Option<Connection>>,
    /// Events and comments as they go over the wire.
    log: Vec<u8>,
    /// Where in the log each event ends, by its number less 1.
    ends: Vec<usize>,
    rate: u64,
    /// When the rate began.
    rate_since: Instant,
    /// How many purges were published at the rate since.
    published_at_rate: u64,
    last_comment: Instant,
    counted: Counted,
}

impl Source {
    /// Starts one that has published nothing.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket2::SockRef::from(&listener).listen(BACKLOG)?;
        listener.set_nonblocking(true)?;
        let poller = Poller::new()?;
        poller.add_with_mode(&listener, Event::readable(LISTENER), PollMode::Level)?;
        let port = listener.local_addr()?.port();
        let now = Instant::now();
        Ok(Source {
            poller,
            listener,
            connections: Vec::new(),
            log: Vec::new(),
            ends: Vec::new(),
            rate: 0,
            rate_since: now,
            published_at_rate: 0,
            last_comment: now,
            counted: Counted { port, ..Counted::default() },
        })
    }

    /// Carries out commands until there are none any more.
    pub fn run(&mut self, commands: &Receiver<Command>, mut answers: impl Write) -> std::io::Result<()> {
        let mut events = Vec::new();
        let mut next = Instant::now() + ROUND;
        loop {
            match commands.try_recv() {
                Ok(command) => {
                    let answer = self.execute(command);
                    writeln!(answers, "{}", serde_json::to_string(&answer)?)?;
                    answers.flush()?;
                }
                Err(TryRecvError::Disconnected) => return Ok(()),
                Err(TryRecvError::Empty) => {}
            }
            events.clear();
            self.poller.wait(&mut events, Some(next.saturating_duration_since(Instant::now())))?;
            for event in &events {
                self.ready(event);
            }
            if Instant::now() >= next {
                next = Instant::now() + ROUND;
                self.round();
            }
        }
    }

    fn execute(&mut self, command: Command) -> Counted {
        match command {
            Command::Rate { events } => {
                (self.rate, self.rate_since, self.published_at_rate) = (events, Instant::now(), 0);
            }
            Command::Burst { events } => (0..events).for_each(|_| self.publish_purge()),
            Command::Stores { complete, hosts } => self.publish_stores(complete, &hosts),
            Command::Report => {
                let followers = self.connections.iter().flatten().filter(|c| c.head.is_none()).count();
                let last = self.ends.len() as u64;
                self.counted = Counted { last, followers, log_bytes: self.log.len(), ..self.counted.clone() };
                return self.counted.clone();
            }
        }
        Counted { port: self.counted.port, last: self.ends.len() as u64, ..Counted::default() }
    }

    /// Publishes what is due, and sends it to all whose sockets take it.
    fn round(&mut self) {
        let due = self.rate_since.elapsed().as_micros() as u64 * self.rate / 1_000_000;
        while self.published_at_rate < due {
            self.published_at_rate += 1;
            self.publish_purge();
        }
        if self.last_comment.elapsed() >= COMMENT_EVERY {
            self.last_comment = Instant::now();
            self.log.extend_from_slice(b": here\n\n");
        }
        for index in 0..self.connections.len() {
            self.send(index);
        }
    }

    fn publish_purge(&mut self) {
        let number = self.ends.len() as u64 + 1;
        let object = larchway::mix(number);
        let issued = crate::clock::now() as f64 / 1000.0;
        let group = number % 100;
        self.publish(&format!(
            r#"{{"no":{number},"recall":{{"issued":{issued:.3},"item":"{object:016x}","lot":{group}}}}}"#
        ));
    }

    fn publish_stores(&mut self, complete: bool, hosts: &[serde_json::Value]) {
        let number = self.ends.len() as u64 + 1;
        let hosts = serde_json::to_string(hosts).unwrap_or_default();
        self.publish(&format!(
            r#"{{"no":{number},"roster":{{"seq":{number},"whole":{complete},"hosts":{hosts}}}}}"#
        ));
    }

    fn publish(&mut self, data: &str) {
        let number = self.ends.len() as u64 + 1;
        self.log.extend_from_slice(format!("id: {number}\ndata: {data}\n\n").as_bytes());
        self.ends.push(self.log.len());
        self.counted.published_us.insert(number, crate::clock::now());
    }

    fn ready(&mut self, event: &Event) {
        if event.key == LISTENER {
            return self.accept();
        }
        let Some(Some(connection)) = self.connections.get_mut(event.key) else { return };
        if event.writable {
            connection.full = false;
            let _ =
                self.poller.modify_with_mode(&connection.stream, Event::readable(event.key), PollMode::Level);
        }
        if event.readable {
            self.read(event.key);
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let prepared = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            let interest = Event::readable(self.connections.len());
            let added = prepared.and_then(|()| self.poller.add_with_mode(&stream, interest, PollMode::Level));
            if added.is_ok() {
                let head = Some(Vec::new());
                self.connections.push(Some(Connection { stream, head, sent: 0, full: false }));
            }
        }
    }

    /// Reads of a request's head; all that comes after it, and an end, closes the connection.
    fn read(&mut self, index: usize) {
        let Some(Some(connection)) = self.connections.get_mut(index) else { return };
        let mut bytes = [0; 1024];
        let read = match connection.stream.read(&mut bytes) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            other => other.unwrap_or(0),
        };
        let Some(head) = connection.head.as_mut().filter(|_| read > 0) else { return self.close(index) };
        head.extend_from_slice(&bytes[..read]);
        if head.len() > LONGEST_HEAD {
            return self.close(index);
        }
        if head.ends_with(b"\r\n\r\n") {
            let after = last_event_id(head).min(self.ends.len());
            connection.sent = if after == 0 { 0 } else { self.ends[after - 1] };
            connection.head = None;
            if connection.stream.write_all(HEAD).is_err() {
                self.close(index);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let Some(connection) = self.connections[index].as_mut().filter(|c| c.head.is_none() && !c.full)
        else {
            return;
        };
        let end = self.log.len().min(connection.sent + MOST_A_ROUND);
        while connection.sent < end {
            match connection.stream.write(&self.log[connection.sent..end]) {
                Ok(written) => {
                    connection.sent += written;
                    self.counted.bytes += written as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    connection.full = true;
                    let interest = Event::all(index);
                    let _ = self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level);
                    return;
                }
                Err(_) => return self.close(index),
            }
        }
    }

    fn close(&mut self, index: usize) {
        if let Some(connection) = self.connections[index].take() {
            let _ = self.poller.delete(&connection.stream);
        }
    }
}

/// The number that a request's head names, or 0.
fn last_event_id(head: &[u8]) -> usize {
    let text = String::from_utf8_lossy(head);
    let named = text.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
    named.and_then(|number| number.trim().parse().ok()).unwrap_or(0)
}
