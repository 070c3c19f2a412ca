//! A stand-in box: answers the wire to stores (RESP arrays of bulk strings) at a fixed capacity, and can go silent,
//! die and come back. It notes when which gateway asked it.
use crate::clock::now;
use larchway_gateway::resp;
use larchway_keeper::Micros;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// How it is.
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

struct Shared {
    mode: AtomicU8,
    seen: Mutex<Vec<Seen>>,
    /// How many requests are worked on: the box's capacity.
    work: Mutex<usize>,
    done: Condvar,
    workers: usize,
    service: Duration,
    body: Vec<u8>,
    /// Requests by spans of [`REPORTED`] µs, the newest last, and by how many of these reports are late.
    spans: Mutex<VecDeque<(Micros, u64)>>,
    late: AtomicU64,
}

/// µs of the spans over which a box's load is reported, and how many spans are kept.
const REPORTED: Micros = 500_000;
const SPANS: usize = 16;

impl Shared {
    /// Counts a request.
    fn count(&self, at: Micros) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let span = at / REPORTED;
        if spans.back().is_none_or(|(last, _)| *last < span) {
            spans.push_back((span, 0));
        }
        if let Some(last) = spans.back_mut() {
            last.1 += 1;
        }
        while spans.len() > SPANS {
            spans.pop_front();
        }
    }

    /// The share of the workers that were busy in the last whole span, as it is told now.
    fn told(&self, at: Micros) -> f64 {
        let (spans, span) = (self.spans.lock().unwrap_or_else(PoisonError::into_inner), at / REPORTED);
        let told = span.saturating_sub(1 + self.late.load(Ordering::Relaxed));
        let of = spans.iter().find(|(s, _)| *s == told).map_or(0, |(_, n)| *n);
        of as f64 * self.service.as_micros() as f64 / (REPORTED as f64 * self.workers as f64)
    }
}

/// A box.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts one that takes so long for a request, one at a time.
    pub fn start(service: Duration, body: usize) -> std::io::Result<Self> {
        Store::wide(service, body, 1)
    }

    /// The same with so many at a time.
    pub fn wide(service: Duration, body: usize, workers: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(Mode::Up as u8),
            seen: Mutex::new(Vec::new()),
            work: Mutex::new(0),
            done: Condvar::new(),
            workers,
            service,
            body: vec![b'x'; body],
            spans: Mutex::default(),
            late: AtomicU64::new(0),
        });
        let own = shared.clone();
        std::thread::spawn(move || listen(listener, address, &own));
        Ok(Store { address, shared })
    }

    /// Changes how it is.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Makes its reports of its load late by so many half seconds.
    pub fn report_late(&self, spans: u64) {
        self.shared.late.store(spans, Ordering::Relaxed);
    }

    /// What has come in so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn is(shared: &Shared, mode: Mode) -> bool {
    shared.mode.load(Ordering::Relaxed) == mode as u8
}

fn listen(first: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(first);
    let mut open: Vec<TcpStream> = Vec::new();
    loop {
        if is(shared, Mode::Dead) {
            listener = None;
            for stream in open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            let _ = listener.set_nonblocking(true);
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    open.push(kept);
                }
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let (mut input, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) => return,
            Ok(n) => input.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        if is(shared, Mode::Dead) {
            return;
        }
        while let Ok(Some((words, used))) = resp::words(&input) {
            let word = |at: usize| words.get(at).map_or("", |w| std::str::from_utf8(w).unwrap_or(""));
            let (command, id, fields) = (word(0).to_string(), word(1).to_string(), word(2).to_string());
            input.drain(..used);
            if command == "METER" {
                let told = format!("report=util:{:.3}", shared.told(now()));
                let mut out = Vec::new();
                resp::write_words(&mut out, &[id.as_bytes(), b"yes", told.as_bytes(), b""]);
                if stream.write_all(&out).is_err() {
                    return;
                }
                continue;
            }
            if command != "PULL" {
                continue;
            }
            let gateway = u8::from_str_radix(id.get(..2).unwrap_or(""), 16).unwrap_or(0);
            let source = resp::field(&fields, "miss").map(String::from);
            let replay = resp::field(&fields, "replay").map(String::from);
            let seen = Seen { at: now(), gateway, source, replay };
            shared.count(seen.at);
            let util = shared.told(seen.at);
            shared.seen.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
            if is(shared, Mode::Silent) {
                continue;
            }
            {
                let busy = shared.work.lock().unwrap_or_else(PoisonError::into_inner);
                let full = |busy: &mut usize| *busy >= shared.workers;
                let mut busy = shared.done.wait_while(busy, full).unwrap_or_else(PoisonError::into_inner);
                *busy += 1;
            }
            std::thread::sleep(shared.service);
            *shared.work.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
            shared.done.notify_one();
            if is(shared, Mode::Silent) {
                continue;
            }
            let mut out = Vec::new();
            let issued = now() / 1000;
            let told = format!("entity=t1,issued={issued},remark=HIT,report=util:{util:.3}");
            resp::write_words(&mut out, &[id.as_bytes(), b"ok", told.as_bytes(), &shared.body]);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }
}
