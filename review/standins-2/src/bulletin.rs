//! A stand-in of the bulletin: numbered events as server-sent events, a comment each second.
use crate::record::Record;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How calls are served.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    /// Time from a call to the head of its answer.
    pub head: Duration,
    /// Time from a call to the first event or comment.
    pub events: Duration,
}

struct Shared {
    record: Record,
    address: SocketAddr,
    events: Mutex<Vec<(u64, String)>>,
    pace: Mutex<Pace>,
    open: Mutex<Vec<TcpStream>>,
    down: AtomicBool,
}

/// The bulletin.
#[derive(Clone)]
pub struct Bulletin(Arc<Shared>);

impl Bulletin {
    /// Listens at a free port of an address.
    pub fn start(record: &Record, host: &str) -> std::io::Result<Bulletin> {
        let listener = TcpListener::bind((host, 0))?;
        let shared = Shared {
            record: record.clone(),
            address: listener.local_addr()?,
            events: Mutex::default(),
            pace: Mutex::default(),
            open: Mutex::default(),
            down: AtomicBool::new(false),
        };
        let bulletin = Bulletin(Arc::new(shared));
        bulletin.serve(listener);
        Ok(bulletin)
    }

    fn serve(&self, listener: TcpListener) {
        let bulletin = self.clone();
        let _ = listener.set_nonblocking(true);
        std::thread::spawn(move || loop {
            if bulletin.0.down.load(Ordering::SeqCst) {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let bulletin = bulletin.clone();
                    std::thread::spawn(move || bulletin.answer(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        });
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// The events so far, as `known` holds them.
    pub fn known(&self) -> String {
        let events = self.0.events.lock().unwrap();
        let items: Vec<&str> = events.iter().map(|event| event.1.as_str()).collect();
        format!(r#"{{"no":{},"items":[{}]}}"#, events.last().map_or(0, |event| event.0), items.join(","))
    }

    /// Adds an event; `body` is what follows its number. Returns the number.
    pub fn tell(&self, body: &str) -> u64 {
        let mut events = self.0.events.lock().unwrap();
        let number = events.last().map_or(0, |event| event.0) + 1;
        events.push((number, format!(r#"{{"no":{number},{body}}}"#)));
        self.0.record.tell(format!("bulletin: event {number} is in the bulletin: {body}"));
        number
    }

    /// Serves calls from now on at this pace.
    pub fn set_pace(&self, pace: Pace) {
        *self.0.pace.lock().unwrap() = pace;
        let (head, events) = (pace.head.as_millis(), pace.events.as_millis());
        self.0.record.tell(format!(
            "bulletin: calls are answered {head} ms late, events come {events} ms after the call"
        ));
    }

    /// Breaks all connections.
    pub fn break_connections(&self) {
        let open = std::mem::take(&mut *self.0.open.lock().unwrap());
        self.0.record.tell(format!("bulletin: breaks {} connections", open.len()));
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Goes down: nothing listens, connections break.
    pub fn go_down(&self) {
        self.0.down.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
        self.0.record.tell("bulletin: is down");
        self.break_connections();
    }

    /// Comes back at the same address.
    pub fn come_back(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.0.address)?;
        self.0.down.store(false, Ordering::SeqCst);
        self.0.record.tell("bulletin: is back");
        self.serve(listener);
        Ok(())
    }

    fn answer(&self, mut stream: TcpStream) {
        let called = Instant::now();
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_string();
        let after: u64 = head
            .lines()
            .find_map(|line| {
                line.to_ascii_lowercase().strip_prefix("last-event-id:").map(|id| id.trim().to_string())
            })
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let pace = *self.0.pace.lock().unwrap();
        let record = self.0.record.clone();
        record.tell(format!("bulletin: a call for the events after {after}"));
        if let Ok(copy) = stream.try_clone() {
            self.0.open.lock().unwrap().push(copy);
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        let reply = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        if !wait_until(&mut stream, called + pace.head) || stream.write_all(reply.as_bytes()).is_err() {
            return record.tell(format!(
                "bulletin: the caller hung up after {} ms, before the head",
                called.elapsed().as_millis()
            ));
        }
        if !wait_until(&mut stream, called + pace.events) {
            return record.tell(format!(
                "bulletin: the caller hung up after {} ms, before the events",
                called.elapsed().as_millis()
            ));
        }
        let (mut sent, mut comment_at) = (after, Instant::now());
        loop {
            let due: Vec<(u64, String)> =
                self.0.events.lock().unwrap().iter().filter(|event| event.0 > sent).cloned().collect();
            for (number, event) in due {
                if stream.write_all(format!("id: {number}\ndata: {event}\n\n").as_bytes()).is_err() {
                    return;
                }
                record.tell(format!("bulletin: event {number} is sent to the caller"));
                sent = number;
            }
            if Instant::now() >= comment_at {
                if stream.write_all(b": alive\n\n").is_err() {
                    return;
                }
                comment_at = Instant::now() + Duration::from_secs(1);
            }
            if !wait_until(&mut stream, Instant::now() + Duration::from_millis(5)) {
                return record.tell("bulletin: the caller hung up");
            }
        }
    }
}

/// Waits; false if the caller hangs up meanwhile.
fn wait_until(stream: &mut TcpStream, until: Instant) -> bool {
    let mut buffer = [0; 256];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
        if Instant::now() >= until {
            return true;
        }
    }
}
