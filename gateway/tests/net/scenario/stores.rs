//! Stand-ins for stores.
use super::expectations::soon;
use super::machine_sockets::{machine_sockets, SYN_SENT};
use super::script::id;
use super::{unix_ms, ReceivedMessage, Scenario};
use larchway_gateway::resp::{decode_array, encode_array, Array};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

/// A store that listens and takes no connection in: its queue is full, so that dials stay under way.
pub(super) struct HeldStore {
    pub(super) listener: TcpListener,
    pub(super) fill: Vec<Socket>,
}

impl HeldStore {
    pub(super) fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("binds");
        socket.listen(0).expect("listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let mut fill = Vec::new();
        for _ in 0..4 {
            let one = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            // Once the queue is full, none comes up any more.
            let full = one.connect_timeout(&address.into(), Duration::from_millis(150)).is_err();
            fill.push(one);
            if full {
                return HeldStore { listener, fill };
            }
        }
        panic!("the queue is never full");
    }

    /// Whether anyone but the fill has a connection to it under way.
    pub(super) fn dialled(&self) -> bool {
        let own = self.listener.local_addr().expect("an address");
        let fill: Vec<_> = self.fill.iter().filter_map(|s| s.local_addr().ok()?.as_socket()).collect();
        machine_sockets().iter().any(|socket| {
            socket.state == SYN_SENT
                && socket.remote_port == own.port()
                && fill.iter().all(|one| one.port() != socket.local_port)
        })
    }

    /// Takes in what dials from now on, as any store.
    pub(super) fn admit(self, sender: Sender<ReceivedMessage>, name: &'static str) {
        let fill: Vec<_> = self.fill.iter().filter_map(|s| s.local_addr().ok()?.as_socket()).collect();
        drop(self.fill);
        std::thread::spawn(move || {
            while let Ok((stream, from)) = self.listener.accept() {
                if fill.contains(&from) {
                    continue;
                }
                let (at, word) = (name.to_string(), "admitted".to_string());
                let (id, fields, body) = (name.to_string(), String::new(), Vec::new());
                let _ =
                    sender.send(ReceivedMessage { who: "store", at, word, id, fields, body, stream: None });
                let sender = sender.clone();
                std::thread::spawn(move || read_store(stream, &sender, name));
            }
        });
    }
}

/// The entry of a store in a list.
pub fn entry(name: &str, dial: SocketAddr, class: &str, health: &str) -> String {
    let site = if class == "standard" { "edge" } else { "east" };
    format!(
        r#"{{"host":"s-{name}","dial":"{dial}","site":"{site}","class":"{class}","health":"{health}","share":4,"born_ms":0}}"#
    )
}

pub(super) fn listen(sender: Sender<ReceivedMessage>, name: &'static str) -> SocketAddr {
    accept_with(move |stream| read_store(stream, &sender, name))
}

/// Listens, and serves each connection on a thread of its own.
fn accept_with(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn read_store(mut stream: TcpStream, sender: &Sender<ReceivedMessage>, name: &str) {
    let mut input = Vec::new();
    let mut piece = [0; 65536];
    let mut last = String::new();
    while let Ok(n) = stream.read(&mut piece) {
        if n == 0 {
            let (at, word, fields) = (name.to_string(), "closed".to_string(), String::new());
            let _ = sender.send(ReceivedMessage {
                who: "store",
                at,
                word,
                id: last,
                fields,
                body: Vec::new(),
                stream: None,
            });
            return;
        }
        input.extend_from_slice(&piece[..n]);
        while let Ok(Some(Array { strings, length })) = decode_array(&input) {
            let text = |at: usize| {
                strings.get(at).map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned())
            };
            let message = ReceivedMessage {
                who: "store",
                at: name.to_string(),
                word: text(0),
                id: text(1),
                fields: text(2),
                body: strings.get(3).map_or(Vec::new(), |w| w.to_vec()),
                stream: stream.try_clone().ok(),
            };
            input.drain(..length);
            last = message.id.clone();
            if sender.send(message).is_err() {
                return;
            }
        }
    }
}

/// A store that answers every request at once with an object of so many bytes.
pub(super) fn serve_objects_of(bytes: usize) -> SocketAddr {
    let object: Arc<[u8]> = vec![7; bytes].into();
    accept_with(move |stream| answer_requests(stream, &object))
}

fn answer_requests(mut stream: TcpStream, object: &[u8]) {
    let mut input = Vec::new();
    let mut piece = [0; 65536];
    loop {
        let Ok(count @ 1..) = stream.read(&mut piece) else { return };
        input.extend_from_slice(&piece[..count]);
        while let Ok(Some(Array { strings, length })) = decode_array(&input) {
            let mut answer = Vec::new();
            if let [b"PULL", call, ..] = &strings[..] {
                let fields = format!("remark=HIT,issued={}", unix_ms());
                encode_array(&mut answer, &[call, b"ok", fields.as_bytes(), object]);
            }
            input.drain(..length);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

impl Scenario {
    /// A line on what a store does. Returns whether it is one.
    pub(super) fn play_store_line(&mut self, line: &str, words: &[&str], head: &str, body: &[u8]) -> bool {
        match words {
            ["store", "dialled", name] => {
                let store = self.held_stores.get(name).expect("it is held");
                soon(line, || store.dialled());
            }
            ["store", "admit", name] => {
                let (name, store) = self.held_stores.remove_entry(*name).expect("it is held");
                store.admit(self.message_sender.clone(), name);
            }
            ["store", ">", call, word, fields @ ..] => {
                let call = if *call == "*" { self.last_request.clone() } else { id(call) };
                let mut out = Vec::new();
                let fields = fields.first().copied().unwrap_or("-");
                encode_array(&mut out, &[call.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
                self.request_streams.get_mut(&call).expect("it was asked").write_all(&out).expect("writes");
            }
            ["store", "raw", call, ..] => {
                let text = head.splitn(4, ' ').nth(3).expect("text").replace("\\r\\n", "\r\n");
                self.request_streams
                    .get_mut(&id(call))
                    .expect("it was asked")
                    .write_all(text.as_bytes())
                    .expect("writes");
            }
            ["store", "reset" | "close", call] => {
                self.request_streams[&id(call)].shutdown(Shutdown::Both).expect("closes");
            }
            ["store", "abort", call] => {
                let stream = self.request_streams.remove(&id(call)).expect("it was asked");
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("sets");
                // Whoever reads it lets go of it; the last to do so resets the connection.
                stream.shutdown(Shutdown::Read).expect("ends reading");
                drop(stream);
                self.expect_message(line, "store", &["closed", call], b"");
            }
            _ => return false,
        }
        true
    }

    /// The id of the request that was taken last.
    pub fn last_call(&self) -> &str {
        &self.last_request
    }

    /// The connection of a request to a store, at the store.
    pub fn request_stream(&self, call: &str) -> TcpStream {
        self.request_streams[&id(call)].try_clone().expect("the same connection")
    }

    /// Writes bytes on the connection of a request to a store, unless that has ended.
    pub fn try_store_bytes(&mut self, call: &str, bytes: &[u8]) {
        if let Some(stream) = self.request_streams.get_mut(&id(call)) {
            // It may be closed at any moment, which is what the test is about.
            let _ = stream.write_all(bytes);
        }
    }
}
