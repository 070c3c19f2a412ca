//! A stand-in store: answers the wire to stores (RESP arrays of bulk strings) at a fixed capacity, and can go silent,
//! die and come back. It records when which gateway sent it a request.
use super::accepted::{Client, Connections};
use super::service_time::ServiceTime;
use super::store_load::{StoreLoad, LOAD_SPAN};
use crate::clock::now;
use larchway::Micros;
use larchway_gateway::resp;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Whether a store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// It answers.
    Up,
    /// Its machine is gone: connections stay open and silent, new ones are taken and say nothing.
    Silent,
    /// Its process is gone: connections are reset, new ones refused.
    Dead,
}

/// One request that came in.
#[derive(Debug, Clone)]
pub struct Seen {
    /// When its first bytes were read.
    pub at: Micros,
    /// Which gateway sent it: the first byte of its id.
    pub gateway: u8,
    /// The source of a fill that it names.
    pub source: Option<String>,
    /// The idempotency key of a write.
    pub replay: Option<String>,
}

/// Bytes read at once.
const BUFFER_LENGTH: usize = 16 * 1024;
/// Time between two looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// How long a read waits before the mode is looked at.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between two looks whether the client of a request that waits for a worker is still there.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The commands of the wire to stores.
const GET_COMMAND: &str = "PULL";
const LOAD_COMMAND: &str = "METER";

struct Shared {
    mode: AtomicU8,
    seen: Mutex<Vec<Seen>>,
    /// How many workers are busy.
    busy_workers: Mutex<usize>,
    worker_idle: Condvar,
    workers: usize,
    service: ServiceTime,
    body: Vec<u8>,
    load: StoreLoad,
    accepted: AtomicU64,
    connections: Connections,
    /// Whether the store has ended, for good.
    has_ended: Mutex<bool>,
    ended: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// The share of the workers that were busy in the last complete span, as it is reported now.
    fn reported_utilization(&self, time: Micros) -> f64 {
        let work = self.load.reported_requests(time) as f64 * self.service.mean().as_micros() as f64;
        work / (LOAD_SPAN as f64 * self.workers as f64)
    }

    fn is_in_mode(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::Relaxed) == mode as u8
    }

    fn has_ended(&self) -> bool {
        *lock(&self.has_ended)
    }

    /// Waits for an idle worker, and occupies it for the service time of an object. The request of a client that has
    /// left is worked on all the same, but its descriptor is closed.
    fn work(&self, object: u64, client: &mut Client) {
        let mut busy = lock(&self.busy_workers);
        while *busy >= self.workers && !self.has_ended() {
            let waited = self.worker_idle.wait_timeout(busy, CLIENT_CHECK_INTERVAL);
            let (workers, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            busy = workers;
            if timeout.timed_out() {
                client.close_if_left();
            }
        }
        *busy += 1;
        drop(busy);
        let goes_on = |has_ended: &mut bool| !*has_ended;
        let time = self.service.of(object);
        drop(self.ended.wait_timeout_while(lock(&self.has_ended), time, goes_on));
        *lock(&self.busy_workers) -= 1;
        self.worker_idle.notify_one();
    }

    /// Ends what waits for a worker or is worked on.
    fn end(&self) {
        *lock(&self.has_ended) = true;
        self.ended.notify_all();
        self.worker_idle.notify_all();
    }
}

/// A store. Its listener, its connections and their threads end with this.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    listening: Option<JoinHandle<()>>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.end();
        if let Some(thread) = self.listening.take() {
            // A thread that panicked has ended as well.
            let _ = thread.join();
        }
        self.shared.connections.close();
    }
}

impl Store {
    /// Starts one with one worker, which takes so long for a request.
    pub fn start(service: Duration, body: usize) -> std::io::Result<Self> {
        Store::wide(service, body, 1)
    }

    /// Starts one with several workers.
    pub fn wide(service: Duration, body: usize, workers: usize) -> std::io::Result<Self> {
        Store::with_service_time(ServiceTime::Equal(service), body, workers)
    }

    /// Starts one with several workers that take so long.
    pub fn with_service_time(service: ServiceTime, body: usize, workers: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(Mode::Up as u8),
            seen: Mutex::new(Vec::new()),
            busy_workers: Mutex::new(0),
            worker_idle: Condvar::new(),
            workers,
            service,
            body: vec![b'x'; body],
            load: StoreLoad::default(),
            accepted: AtomicU64::new(0),
            connections: Connections::default(),
            has_ended: Mutex::new(false),
            ended: Condvar::new(),
        });
        let own = shared.clone();
        let listening = std::thread::spawn(move || listen(listener, address, &own));
        Ok(Store { address, shared, listening: Some(listening) })
    }

    /// Changes whether it answers.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Makes its reports of its load late by so many half seconds.
    pub fn report_late(&self, spans: u64) {
        self.shared.load.report_late(spans);
    }

    /// Connections taken so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// What has come in so far.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }
}

/// Accepts connections until the store ends; while it is dead, it does not listen.
fn listen(first: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(first);
    while !shared.has_ended() {
        if shared.is_in_mode(Mode::Dead) {
            listener = None;
            shared.connections.shut_down();
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            accept(listener, shared);
        }
        std::thread::sleep(ACCEPT_INTERVAL);
    }
}

/// Accepts the connections that wait; each is served by a thread.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let _ = listener.set_nonblocking(true);
    while let Ok((stream, _)) = listener.accept() {
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let own = shared.clone();
        shared.connections.serve(stream, move |stream| serve(stream, &own));
    }
}

/// Answers the requests of a connection until it ends or the store is dead.
fn serve(stream: Arc<TcpStream>, shared: &Shared) {
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut client = Client::new(stream);
    let (mut input, mut buffer) = (Vec::new(), vec![0; BUFFER_LENGTH]);
    while let Some(mut stream) = client.stream() {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => input.extend_from_slice(&buffer[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        if shared.is_in_mode(Mode::Dead) || shared.has_ended() {
            return;
        }
        while let Ok(Some(resp::Array { strings, length })) = resp::decode_array(&input) {
            let string_at = |index: usize| {
                let bytes = strings.get(index).copied().unwrap_or_default();
                std::str::from_utf8(bytes).unwrap_or("").to_string()
            };
            let (command, id, fields) = (string_at(0), string_at(1), string_at(2));
            input.drain(..length);
            let answer = match command.as_str() {
                LOAD_COMMAND => Some(load_report(shared, &id)),
                GET_COMMAND => get(shared, &id, &fields, &mut client),
                _ => None,
            };
            let Some(mut stream) = client.stream() else { return };
            if answer.is_some_and(|answer| stream.write_all(&answer).is_err()) {
                return;
            }
        }
    }
}

/// The answer to a request for the load.
fn load_report(shared: &Shared, id: &str) -> Vec<u8> {
    let fields = format!("report=util:{:.3}", shared.reported_utilization(now()));
    let mut answer = Vec::new();
    resp::encode_array(&mut answer, &[id.as_bytes(), b"yes", fields.as_bytes(), b""]);
    answer
}

/// The answer to a request for an object, once a worker has served it; none while the store is silent.
fn get(shared: &Shared, id: &str, fields: &str, client: &mut Client) -> Option<Vec<u8>> {
    let gateway = u8::from_str_radix(id.get(..2).unwrap_or(""), 16).unwrap_or(0);
    let source = resp::field(fields, "miss").map(String::from);
    let replay = resp::field(fields, "replay").map(String::from);
    let seen = Seen { at: now(), gateway, source, replay };
    shared.load.count_request(seen.at);
    let utilization = shared.reported_utilization(seen.at);
    lock(&shared.seen).push(seen);
    if shared.is_in_mode(Mode::Silent) {
        return None;
    }
    let object = resp::field(fields, "thing").and_then(|digits| u64::from_str_radix(digits, 16).ok());
    shared.work(object.unwrap_or(0), client);
    if shared.is_in_mode(Mode::Silent) {
        return None;
    }
    let issued = now() / 1000;
    let fields = format!("entity=t1,issued={issued},remark=HIT,report=util:{utilization:.3}");
    let mut answer = Vec::new();
    resp::encode_array(&mut answer, &[id.as_bytes(), b"ok", fields.as_bytes(), &shared.body]);
    Some(answer)
}
