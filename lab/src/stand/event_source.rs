//! A stand-in source of events for thousands of followers: one thread that gives each the same bytes from its cursor
//! on. It can be killed, and come back at its address with its history or with another one.
use crate::clock::now;
use larchway::Micros;
use larchway_distribution::batch::write_event;
use larchway_distribution::EventNumber;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const COMMENT_EVERY: Micros = 1_000_000;
/// Time between two looks at all followers.
const STEP: Duration = Duration::from_millis(20);
/// Clock ticks of the system a second, as the kernel reports times (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

#[derive(Default)]
struct Shared {
    pending: Mutex<Vec<String>>,
    stop: AtomicBool,
    bytes: AtomicU64,
    cpu_ms: AtomicU64,
}

/// A source of events.
pub struct EventSource {
    /// Where it listens.
    pub address: SocketAddr,
    /// When each event was published, the first one first, Unix µs.
    pub sent: Vec<Micros>,
    /// The data of each event published, the first one first.
    history: Vec<String>,
    shared: Arc<Shared>,
    /// Bytes sent and processor time used before it came back last.
    bytes_before: u64,
    cpu_before: Duration,
    /// Its thread; none while it is dead.
    thread: Option<JoinHandle<()>>,
}

struct Follower {
    stream: TcpStream,
    request: Vec<u8>,
    /// The offset in the text of what is sent next; none before its request is complete.
    place: Option<usize>,
    head_sent: bool,
}

struct Server {
    listener: TcpListener,
    followers: Vec<Follower>,
    /// All events and comments so far.
    text: Vec<u8>,
    /// Where in the text what follows an event begins, the first event's first.
    ends: Vec<usize>,
    commented: Micros,
}

impl EventSource {
    /// Starts one that has published nothing.
    pub fn start() -> std::io::Result<EventSource> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut source = EventSource {
            address: listener.local_addr()?,
            sent: Vec::new(),
            history: Vec::new(),
            shared: Arc::default(),
            bytes_before: 0,
            cpu_before: Duration::ZERO,
            thread: None,
        };
        source.serve(listener)?;
        Ok(source)
    }

    /// Publishes an event; `data` is given its number. One published while the source is dead is sent after its return.
    pub fn publish(&mut self, data: impl FnOnce(EventNumber) -> String) {
        let data = data(self.last() + 1);
        self.sent.push(now());
        self.history.push(data.clone());
        let mut pending = self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.push(data);
    }

    /// The number of the last event published.
    pub fn last(&self) -> EventNumber {
        self.history.len() as EventNumber
    }

    /// Ends all its connections and listens no more.
    pub fn kill(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked is as dead.
            let _ = thread.join();
        }
    }

    /// Comes back at the same address, with the history that it had.
    pub fn come_back(&mut self) -> std::io::Result<()> {
        self.kill();
        (self.bytes_before, self.cpu_before) = (self.bytes(), self.cpu());
        self.serve(TcpListener::bind(self.address)?)
    }

    /// Comes back at the same address, with another history.
    pub fn come_back_with(&mut self, history: Vec<String>) -> std::io::Result<()> {
        self.sent = vec![now(); history.len()];
        self.history = history;
        self.come_back()
    }

    fn serve(&mut self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        SockRef::from(&listener).listen(BACKLOG)?;
        self.shared = Arc::new(Shared { pending: Mutex::new(self.history.clone()), ..Shared::default() });
        let shared = self.shared.clone();
        let server =
            Server { listener, followers: Vec::new(), text: Vec::new(), ends: Vec::new(), commented: 0 };
        self.thread = Some(std::thread::spawn(move || server.run(&shared)));
        Ok(())
    }

    /// Bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.bytes_before + self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Processor time of its thread so far.
    pub fn cpu(&self) -> Duration {
        self.cpu_before + Duration::from_millis(self.shared.cpu_ms.load(Ordering::Relaxed))
    }
}

impl Drop for EventSource {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Server {
    fn run(mut self, shared: &Shared) {
        while !shared.stop.load(Ordering::Relaxed) {
            while let Ok((stream, _)) = self.listener.accept() {
                if stream.set_nonblocking(true).is_ok() {
                    self.followers.push(Follower {
                        stream,
                        request: Vec::new(),
                        place: None,
                        head_sent: false,
                    });
                }
            }
            self.append(shared);
            let (text, ends) = (&self.text, &self.ends);
            let mut sent = 0;
            self.followers.retain_mut(|follower| follower.serve(text, ends, &mut sent).is_some());
            shared.bytes.fetch_add(sent, Ordering::Relaxed);
            shared.cpu_ms.store(thread_cpu_ms(), Ordering::Relaxed);
            std::thread::sleep(STEP);
        }
    }

    fn append(&mut self, shared: &Shared) {
        let mut pending = shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
        for data in pending.drain(..) {
            let mut event = String::new();
            write_event(&mut event, self.ends.len() as EventNumber + 1, &data);
            self.text.extend_from_slice(event.as_bytes());
            self.ends.push(self.text.len());
        }
        if now() >= self.commented + COMMENT_EVERY {
            self.commented = now();
            self.text.extend_from_slice(b": here\n\n");
        }
    }
}

impl Follower {
    /// None once its connection has ended.
    fn serve(&mut self, text: &[u8], ends: &[usize], sent: &mut u64) -> Option<()> {
        let mut bytes = [0; 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(count) => self.request.extend_from_slice(&bytes[..count]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        if self.place.is_none() {
            self.place = self.start(ends);
        }
        let Some(place) = self.place else { return Some(()) };
        let place = place.min(text.len());
        if !self.head_sent {
            self.head_sent = true;
            self.stream.write_all(HEAD).ok()?;
        }
        match self.stream.write(&text[place..]) {
            Ok(count) => {
                *sent += count as u64;
                self.place = Some(place + count);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        Some(())
    }

    /// The offset at which it begins, once its request is complete.
    fn start(&self, ends: &[usize]) -> Option<usize> {
        let request = String::from_utf8_lossy(&self.request);
        if !request.contains("\r\n\r\n") {
            return None;
        }
        let cursor = request.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let cursor: usize = cursor.and_then(|cursor| cursor.trim().parse().ok()).unwrap_or(0);
        Some(cursor.checked_sub(1).and_then(|last| ends.get(last)).copied().unwrap_or(0))
    }
}

/// Processor time of the calling thread, ms.
fn thread_cpu_ms() -> u64 {
    cpu_ms("/proc/thread-self/stat").unwrap_or(0)
}

/// Processor time that the kernel reports in such a file, ms.
pub fn cpu_ms(stat: &str) -> Option<u64> {
    /// Fields behind the name in parentheses: user and system time.
    const USER: usize = 11;
    let text = std::fs::read_to_string(stat).ok()?;
    let (_, fields) = text.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1000 / TICKS_PER_SECOND)
}
