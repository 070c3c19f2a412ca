//! A stand-in bulletin: numbered events by server-sent events, a comment every 500 ms. An event is written to its
//! subscribers as soon as it is published; events published meanwhile go out in one write.
use super::accepted::Acceptor;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two comments.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// A bulletin. It ends with the last of its clones.
#[derive(Clone)]
pub struct Bulletin {
    /// Where it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
}

/// What all clones of a bulletin have: its connections end with it.
struct Server {
    shared: Arc<Shared>,
    _acceptor: Acceptor,
}

impl Drop for Server {
    fn drop(&mut self) {
        // Under the lock: a subscriber that looks for events at this moment would wait on for its heartbeat.
        let _events = self.shared.lock_events();
        self.shared.has_ended.store(true, Ordering::Relaxed);
        self.shared.published.notify_all();
    }
}

#[derive(Default)]
struct Shared {
    /// The data of all events; the first has number 1.
    events: Mutex<Vec<String>>,
    published: Condvar,
    written: AtomicU64,
    has_ended: AtomicBool,
}

impl Shared {
    fn lock_events(&self) -> MutexGuard<'_, Vec<String>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bulletin {
    /// Starts one that has published nothing.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        let (acceptor, address) = Acceptor::start(move |stream| serve(&stream, &served))?;
        Ok(Bulletin { address, server: Arc::new(Server { shared, _acceptor: acceptor }) })
    }

    /// Publishes entries of the list of stores.
    pub fn roster(&self, complete: bool, hosts: &[String]) {
        let hosts = hosts.join(",");
        self.publish(|no| {
            format!(r#"{{"no":{no},"roster":{{"seq":{no},"whole":{complete},"hosts":[{hosts}]}}}}"#)
        });
    }

    /// Publishes the purge of an object, issued at a time in ms of the Unix clock.
    pub fn purge(&self, object: u64, issued_ms: u64) {
        self.publish(|no| {
            format!(r#"{{"no":{no},"recall":{{"item":"{object:016x}","issued":{issued_ms}}}}}"#)
        });
    }

    /// Publishes a change of one document of configuration, whose entry is JSON.
    pub fn document(&self, entry: &str) {
        self.publish(|no| format!(r#"{{"no":{no},"documents":{{"whole":false,"entries":[{entry}]}}}}"#));
    }

    /// Bytes written to all subscribers so far, heads and comments among them.
    pub fn bytes_written(&self) -> u64 {
        self.server.shared.written.load(Ordering::Relaxed)
    }

    fn publish(&self, data: impl FnOnce(usize) -> String) {
        let shared = &self.server.shared;
        let mut events = shared.lock_events();
        let no = events.len() + 1;
        events.push(data(no));
        shared.published.notify_all();
    }
}

/// The number after which a subscriber wants the events.
fn cursor(stream: &TcpStream) -> usize {
    let mut last = 0;
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.is_empty() {
            break;
        }
        if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
            last = number.trim().parse().unwrap_or(0);
        }
    }
    last
}

fn serve(mut stream: &TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut last = cursor(stream);
    let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_string();
    let mut heartbeat = Instant::now();
    while !shared.has_ended.load(Ordering::Relaxed) {
        if !text.is_empty() {
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            shared.written.fetch_add(text.len() as u64, Ordering::Relaxed);
            text.clear();
        }
        last = next_events(shared, last, HEARTBEAT.saturating_sub(heartbeat.elapsed()), &mut text);
        if heartbeat.elapsed() >= HEARTBEAT {
            heartbeat = Instant::now();
            text.push_str(": here\n\n");
        }
    }
}

/// Waits for events after a number, for so long at most; writes them and returns the last one's number.
fn next_events(shared: &Shared, last: usize, wait: Duration, text: &mut String) -> usize {
    let events = shared.lock_events();
    let nothing_new =
        |events: &mut Vec<String>| events.len() <= last && !shared.has_ended.load(Ordering::Relaxed);
    let waited = shared.published.wait_timeout_while(events, wait, nothing_new);
    let (events, _) = waited.unwrap_or_else(PoisonError::into_inner);
    for (at, event) in events.iter().enumerate().skip(last) {
        text.push_str(&format!("id: {}\ndata: {event}\n\n", at + 1));
    }
    last.max(events.len())
}
