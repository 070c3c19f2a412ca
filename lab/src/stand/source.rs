//! A source of numbered events on one thread, for thousands of followers: one log of encoded bytes, and of each follower
//! only how far it was sent. It is driven by [`Command`]s as JSON lines, and answers each with one JSON line.
use polling::{Event, PollMode, Poller};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, ErrorKind, Read, Write};
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
/// Connections that may wait to be accepted. With the usual 128, followers that come back at once lose their first packet,
/// and wait whole seconds to send it again.
const BACKLOG: i32 = 4096;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// What the source is asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Tell so many purges a second from now on; 0: none.
    Rate {
        /// Purges a second.
        events: u64,
    },
    /// Tell so many purges at once.
    Burst {
        /// How many.
        events: u64,
    },
    /// Tell this list of stores, as the JSON of its entries.
    Stores {
        /// Whether it is the whole list.
        whole: bool,
        /// The entries.
        hosts: Vec<serde_json::Value>,
    },
    /// Tell what was counted: see [`Counted`].
    Report,
}

/// What the source has done.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counted {
    /// Where it listens.
    pub port: u16,
    /// The number of the last event.
    pub last: u64,
    /// Bytes sent to all followers.
    pub bytes: u64,
    /// Followers that are connected.
    pub followers: usize,
    /// Bytes of the log.
    pub log_bytes: usize,
    /// When each event was told, in µs of the Unix clock, by its number.
    pub told_us: BTreeMap<u64, u64>,
}

/// A follower's connection.
struct Connection {
    stream: TcpStream,
    /// What came of the request's head; none once it is whole.
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
    /// When the rate began, and how many purges were told since.
    began: Instant,
    told: u64,
    commented: Instant,
    counted: Counted,
}

impl Source {
    /// One that has told nothing.
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
            began: now,
            told: 0,
            commented: now,
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
                    let answer = self.obey(command);
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

    fn obey(&mut self, command: Command) -> Counted {
        match command {
            Command::Rate { events } => (self.rate, self.began, self.told) = (events, Instant::now(), 0),
            Command::Burst { events } => (0..events).for_each(|_| self.tell_purge()),
            Command::Stores { whole, hosts } => self.tell_stores(whole, &hosts),
            Command::Report => {
                let followers = self.connections.iter().flatten().filter(|c| c.head.is_none()).count();
                let last = self.ends.len() as u64;
                self.counted = Counted { last, followers, log_bytes: self.log.len(), ..self.counted.clone() };
                return self.counted.clone();
            }
        }
        Counted { port: self.counted.port, last: self.ends.len() as u64, ..Counted::default() }
    }

    /// Tells what is due, and sends it to all whose sockets take it.
    fn round(&mut self) {
        let due = self.began.elapsed().as_micros() as u64 * self.rate / 1_000_000;
        while self.told < due {
            self.told += 1;
            self.tell_purge();
        }
        if self.commented.elapsed() >= COMMENT_EVERY {
            self.commented = Instant::now();
            self.log.extend_from_slice(b": here\n\n");
        }
        for at in 0..self.connections.len() {
            self.send(at);
        }
    }

    fn tell_purge(&mut self) {
        let number = self.ends.len() as u64 + 1;
        let object = larchway::mix(number);
        let issued = crate::clock::now() as f64 / 1000.0;
        let group = number % 100;
        self.tell(&format!(
            r#"{{"no":{number},"recall":{{"issued":{issued:.3},"item":"{object:016x}","lot":{group}}}}}"#
        ));
    }

    fn tell_stores(&mut self, whole: bool, hosts: &[serde_json::Value]) {
        let number = self.ends.len() as u64 + 1;
        let hosts = serde_json::to_string(hosts).unwrap_or_default();
        self.tell(&format!(
            r#"{{"no":{number},"roster":{{"seq":{number},"whole":{whole},"hosts":{hosts}}}}}"#
        ));
    }

    fn tell(&mut self, data: &str) {
        let number = self.ends.len() as u64 + 1;
        self.log.extend_from_slice(format!("id: {number}\ndata: {data}\n\n").as_bytes());
        self.ends.push(self.log.len());
        self.counted.told_us.insert(number, crate::clock::now());
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
    fn read(&mut self, at: usize) {
        let Some(Some(connection)) = self.connections.get_mut(at) else { return };
        let mut bytes = [0; 1024];
        let read = match connection.stream.read(&mut bytes) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            other => other.unwrap_or(0),
        };
        let Some(head) = connection.head.as_mut().filter(|_| read > 0) else { return self.close(at) };
        head.extend_from_slice(&bytes[..read]);
        if head.len() > LONGEST_HEAD {
            return self.close(at);
        }
        if head.ends_with(b"\r\n\r\n") {
            let after = last_event_id(head).min(self.ends.len());
            connection.sent = if after == 0 { 0 } else { self.ends[after - 1] };
            connection.head = None;
            if connection.stream.write_all(HEAD).is_err() {
                self.close(at);
            }
        }
    }

    fn send(&mut self, at: usize) {
        let Some(connection) = self.connections[at].as_mut().filter(|c| c.head.is_none() && !c.full) else {
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
                    let interest = Event::all(at);
                    let _ = self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level);
                    return;
                }
                Err(_) => return self.close(at),
            }
        }
    }

    fn close(&mut self, at: usize) {
        if let Some(connection) = self.connections[at].take() {
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

/// The process: reads commands from the standard input until it ends.
pub fn run() -> Result<(), String> {
    let (sender, commands) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str::<Command>(&line) else { return };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    let mut source = Source::start().map_err(|e| format!("the source: {e}"))?;
    source.run(&commands, std::io::stdout().lock()).map_err(|e| e.to_string())
}
