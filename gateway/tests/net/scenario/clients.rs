//! Clients of both fronts and operators: what they send and what they are answered.
use super::expectations::soon;
use super::machine_sockets::{connection_end, ESTABLISHED};
use super::script::{hex, id};
use super::thrift_calls::{call_frame, request_body, request_fields, CALL, ONEWAY};
use super::{Scenario, PATIENCE};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long the end of a client's connection is given to come to the other side.
const END_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(100);

/// An answer of the platform's front in words, and its body.
pub(super) fn describe(frame: &[u8]) -> (String, Vec<u8>) {
    let word =
        |at: usize| u32::from_be_bytes([frame[at], frame[at + 1], frame[at + 2], frame[at + 3]]) as usize;
    let text = |at: usize| (&frame[at + 4..at + 4 + word(at)], at + 4 + word(at));
    let (name, mut at) = text(4);
    let seq = word(at);
    at += 4;
    if frame[3] == 3 {
        return (format!("exception {seq}"), Vec::new());
    }
    let kind = i16::from_be_bytes([frame[at + 1], frame[at + 2]]);
    at += 3;
    let (mut body, mut fields, mut good) = (Vec::new(), String::new(), true);
    while frame[at] != 0 {
        let wire = frame[at];
        at += 3;
        match wire {
            11 => {
                let (bytes, end) = text(at);
                (body, at) = (bytes.to_vec(), end);
            }
            13 => {
                let n = word(at + 2);
                at += 6;
                for _ in 0..2 * n {
                    let (bytes, end) = text(at);
                    fields.push(' ');
                    fields.push_str(&String::from_utf8_lossy(bytes));
                    at = end;
                }
            }
            _ => {
                good = frame[at] == 1;
                at += 1;
            }
        }
    }
    let name = match (kind, name) {
        (0, b"isWell") if good => "well",
        (0, b"isWell") => "unwell",
        (0, _) if good => "served",
        (1, _) => "busy",
        (2, _) => "failed",
        _ => "odd",
    };
    (format!("{name} {seq}{fields}"), body)
}

/// Closes a connection and waits a moment until the other side's kernel knows: a busy machine delivers the end later
/// than what the scenario does next. One that stands behind more bytes than there is room for comes later anyway.
fn end_connection(stream: TcpStream) {
    let own = stream.local_addr().expect("an address").port();
    let other = stream.peer_addr().map(|address| address.port());
    drop(stream);
    let Ok(other) = other else { return };
    let deadline = Instant::now() + END_ARRIVAL_TIMEOUT;
    let is_open = || connection_end(other, own).is_some_and(|end| end.state == ESTABLISHED);
    while is_open() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Connects with little room for what is not read.
pub fn connect_narrow(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("sets");
    socket.connect(&address.into()).expect("connects");
    socket.into()
}

impl Scenario {
    /// A line on what a client does or is answered. Returns whether it is one.
    pub(super) fn play_client_line(&mut self, line: &str, words: &[&str], head: &str, body: &[u8]) -> bool {
        match words {
            [client, ">", "GET" | "HEAD" | "POST" | "PUT", ..] => self.send_http(client, head, body),
            [client, ">", rest @ ..] => self.send_call(client, rest, body),
            [client, "arrived"] => self.wait_until_arrived(line, client),
            [client, "bytewise"] => drop(self.bytewise.insert(client.to_string())),
            [client, "raw", digits] => self.write(client, &hex(digits)),
            [client, "text", ..] => {
                let text = head.split_once("text ").expect("text").1.replace("\\r\\n", "\r\n");
                self.write(client, text.as_bytes());
            }
            [client, "connect"] => drop(self.client(client)),
            [client, "narrow"] => {
                let stream = connect_narrow(self.front);
                stream.set_read_timeout(Some(PATIENCE)).expect("sets");
                self.clients.insert(client.to_string(), (stream, Vec::new()));
            }
            [client, "close"] => {
                if let Some((stream, _)) = self.clients.remove(*client) {
                    end_connection(stream);
                }
            }
            [client, "reset"] => {
                let (stream, _) = self.clients.remove(*client).expect("it is connected");
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("sets");
                end_connection(stream);
            }
            [_, "refused"] => {
                TcpStream::connect(self.front).expect_err("nobody listens any more");
            }
            [client, "<", "closed"] => {
                let (stream, input) = self.client(client);
                let mut piece = [0; 4096];
                while let Ok(n) = stream.read(&mut piece) {
                    if n == 0 {
                        break;
                    }
                    input.extend_from_slice(&piece[..n]);
                }
                assert!(input.is_empty(), "{line}: it got {:?}", String::from_utf8_lossy(input));
                self.clients.remove(*client);
            }
            [client, "<", rest @ ..] if client.starts_with(['w', 'o']) => {
                self.expect_http(line, client, rest, body);
            }
            [client, "<", rest @ ..] => {
                let (got, bytes) = describe(&self.frame(client));
                assert_eq!(got, rest.join(" "), "{line}");
                assert!(
                    bytes == body,
                    "{line}: {} bytes: {:?}",
                    bytes.len(),
                    String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
                );
            }
            _ => return false,
        }
        true
    }

    /// The address that a client whose name begins so uses.
    pub fn front_address(&self, initial: char) -> SocketAddr {
        match initial {
            'w' => self.second,
            'o' => self.console.expect("a console"),
            _ => self.front,
        }
    }

    pub(super) fn client(&mut self, name: &str) -> &mut (TcpStream, Vec<u8>) {
        let address = self.front_address(name.chars().next().expect("a name"));
        self.clients.entry(name.to_string()).or_insert_with(|| {
            let stream = TcpStream::connect(address).expect("connects");
            stream.set_read_timeout(Some(PATIENCE)).expect("sets");
            (stream, Vec::new())
        })
    }

    /// Waits until the other side's kernel has acknowledged all that a client wrote, so that the client's end, if it
    /// comes next, stands behind no byte of its own machine.
    fn wait_until_arrived(&mut self, line: &str, client: &str) {
        let stream = &self.client(client).0;
        let own = stream.local_addr().expect("an address").port();
        let other = stream.peer_addr().expect("an address").port();
        soon(line, || connection_end(own, other).is_some_and(|end| end.unacknowledged_bytes == 0));
    }

    pub(super) fn write(&mut self, client: &str, bytes: &[u8]) {
        let pieces = if self.bytewise.contains(client) { 1 } else { bytes.len().max(1) };
        for piece in bytes.chunks(pieces) {
            // Without a delay of small writes each byte is a segment of its own.
            let stream = &mut self.client(client).0;
            stream.set_nodelay(true).expect("sets");
            stream.write_all(piece).expect("writes");
        }
    }

    pub(super) fn send_call(&mut self, client: &str, words: &[&str], body: &[u8]) {
        let (name, seq) = (words[0], words[1].parse::<i32>().expect("a number"));
        let frame = match name {
            "forget" => {
                let cancelled = words[2].parse::<i32>().expect("a number");
                call_frame(ONEWAY, name, seq, &[&[8, 0, 1][..], &cancelled.to_be_bytes()].concat())
            }
            "serve" => {
                let pairs = words[2..].iter().map(|word| word.split_once('=').expect("name=value"));
                let value_of = |name, value: &str| if name == "call" { id(value) } else { value.to_string() };
                let fields: Vec<_> =
                    pairs.map(|(name, value)| (name.to_string(), value_of(name, value))).collect();
                call_frame(CALL, name, seq, &[request_fields(&fields), request_body(body)].concat())
            }
            _ => call_frame(CALL, name, seq, &[]),
        };
        self.write(client, &frame);
    }

    pub(super) fn frame(&mut self, client: &str) -> Vec<u8> {
        let (stream, _) = self.client(client);
        let mut head = [0; 4];
        stream.read_exact(&mut head).expect("an answer");
        let mut frame = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut frame).expect("a whole answer");
        frame
    }

    /// The words of the client's next answer, and its body.
    pub fn next_answer(&mut self, client: &str) -> (String, Vec<u8>) {
        describe(&self.frame(client))
    }

    /// The words of the answers that have come for a client by now, and whether its connection has ended in order.
    pub fn answers_so_far(&mut self, client: &str) -> (Vec<String>, bool) {
        let has_ended = self.read_so_far(client);
        let (_, input) = self.client(client);
        let mut answers = Vec::new();
        while let Some(head) = input.first_chunk::<4>() {
            let end = 4 + u32::from_be_bytes(*head) as usize;
            if input.len() < end {
                break;
            }
            answers.push(describe(&input[4..end]).0);
            input.drain(..end);
        }
        (answers, has_ended)
    }

    /// Reads what has come for a client by now. Returns whether its connection has ended in order.
    fn read_so_far(&mut self, client: &str) -> bool {
        let (stream, input) = self.client(client);
        stream.set_nonblocking(true).expect("sets");
        let mut piece = [0; 65536];
        let ended = loop {
            match stream.read(&mut piece) {
                Ok(0) => break true,
                Ok(n) => input.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) => panic!("{client}: {e}"),
            }
        };
        stream.set_nonblocking(false).expect("sets");
        ended
    }

    /// How many replies have come for a client since this was last asked. Those of the second front must have one line of
    /// status each and a body that has none.
    pub fn replies_so_far(&mut self, client: &str) -> usize {
        if !client.starts_with('w') {
            return self.answers_so_far(client).0.len();
        }
        self.read_so_far(client);
        let (_, input) = self.client(client);
        let text = String::from_utf8_lossy(input).into_owned();
        let Some((complete, rest)) = text.rsplit_once("well") else { return 0 };
        *input = rest.as_bytes().to_vec();
        complete.matches("HTTP/1.1 200").count()
    }

    /// The number of the client's next answer, which must have a body of this length.
    pub fn next_seq(&mut self, client: &str, length: usize) -> i32 {
        let (words, body) = describe(&self.frame(client));
        assert_eq!(body.len(), length, "{words}");
        words.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number")
    }

    pub(super) fn send_http(&mut self, client: &str, head: &str, body: &[u8]) {
        let request = head.split_once("> ").expect("a request").1;
        let mut parts = request.split(" ; ");
        let mut text = format!("{} HTTP/1.1\r\nHost: files.test\r\n", parts.next().expect("a request line"));
        for header in parts {
            text.push_str(&format!("{header}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        self.write(client, &[text.as_bytes(), body].concat());
    }

    /// The words of the next answer that a client gets, whichever it is.
    pub fn answer(&mut self, client: &str) -> String {
        describe(&self.frame(client)).0
    }
}
