//! A stand-in box: answers the wire to stores (RESP arrays of bulk strings) at a fixed capacity, and can go silent,
//! die and come back. It notes when which gateway asked it.
use crate::clock::now;
use larchway_gateway::resp;
use larchway_keeper::Micros;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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
    /// Held while a request is worked on: the box's capacity.
    work: Mutex<()>,
    service: Duration,
    body: Vec<u8>,
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
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(Mode::Up as u8),
            seen: Mutex::new(Vec::new()),
            work: Mutex::new(()),
            service,
            body: vec![b'x'; body],
        });
        let own = shared.clone();
        std::thread::spawn(move || listen(listener, address, &own));
        Ok(Store { address, shared })
    }

    /// Changes how it is.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
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
            if command != "PULL" {
                continue;
            }
            let gateway = u8::from_str_radix(id.get(..2).unwrap_or(""), 16).unwrap_or(0);
            let source = resp::field(&fields, "miss").map(String::from);
            let replay = resp::field(&fields, "replay").map(String::from);
            let seen = Seen { at: now(), gateway, source, replay };
            shared.seen.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
            if is(shared, Mode::Silent) {
                continue;
            }
            {
                let _one = shared.work.lock().unwrap_or_else(PoisonError::into_inner);
                std::thread::sleep(shared.service);
            }
            if is(shared, Mode::Silent) {
                continue;
            }
            let mut out = Vec::new();
            let issued = now() / 1000;
            let told = format!("entity=t1,issued={issued},remark=HIT");
            resp::write_words(&mut out, &[id.as_bytes(), b"ok", told.as_bytes(), &shared.body]);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }
}
