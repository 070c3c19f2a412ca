//! A stand-in of a client: framed Thrift, one request at a time.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long after the client's time an answer still counts: half a second, and 50 ms on sockets.
const ANSWER_BY_MS: u64 = 550;

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served, with these bytes.
    Served(Vec<u8>),
    /// Served: the client's own copy is current.
    Keep,
    /// Refused; the client stays away for so many milliseconds.
    Busy(u64),
    /// Failed, or an application exception.
    Failed,
    /// No connection could be made.
    NoConnection,
    /// The connection ended before an answer.
    Closed,
    /// No answer in the time in which one counts.
    Nothing,
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    sequence: i32,
}

fn string(output: &mut Vec<u8>, bytes: &[u8]) {
    output.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    output.extend_from_slice(bytes);
}

fn frame(content: Vec<u8>) -> Vec<u8> {
    let mut output = (content.len() as u32).to_be_bytes().to_vec();
    output.extend(content);
    output
}

fn message(kind: u8, name: &str, sequence: i32) -> Vec<u8> {
    let mut output = (0x8001_0000 | u32::from(kind)).to_be_bytes().to_vec();
    string(&mut output, name.as_bytes());
    output.extend_from_slice(&sequence.to_be_bytes());
    output
}

/// The message of a request.
fn request(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut content = message(1, "serve", sequence);
    content.extend_from_slice(&[13, 0, 1, 11, 11]);
    content.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        string(&mut content, name.as_bytes());
        string(&mut content, value.as_bytes());
    }
    content.extend_from_slice(&[11, 0, 2]);
    string(&mut content, body);
    content.push(0);
    frame(content)
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(head)
    }

    fn int(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        let length = self.int()?;
        self.take(usize::try_from(length).ok()?)
    }

    fn field(&mut self) -> Option<(u8, i16)> {
        let kind = self.take(1)?[0];
        if kind == 0 {
            return Some((0, 0));
        }
        Some((kind, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }

    fn map(&mut self) -> Option<Vec<(String, String)>> {
        self.take(2)?;
        let count = self.int()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            let key = String::from_utf8_lossy(self.string()?).to_string();
            entries.push((key, String::from_utf8_lossy(self.string()?).to_string()));
        }
        Some(entries)
    }
}

/// Reads the answer to a request; none if it cannot be read.
fn read_answer(content: &[u8]) -> Option<Answer> {
    let mut reader = Reader(content);
    let kind = reader.int()? as u8;
    reader.string()?;
    reader.int()?;
    if kind == 3 {
        return Some(Answer::Failed);
    }
    let (_, number) = reader.field()?;
    let (mut body, mut fields) = (Vec::new(), Vec::new());
    loop {
        match reader.field()? {
            (0, _) => break,
            (11, _) => body = reader.string()?.to_vec(),
            (13, _) => fields = reader.map()?,
            (2, _) => drop(reader.take(1)?),
            _ => return None,
        }
    }
    let value = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| field.1.clone());
    Some(match number {
        0 if value("keep").as_deref() == Some("1") && body.is_empty() => Answer::Keep,
        0 => Answer::Served(body),
        1 => Answer::Busy(value("pushback").and_then(|text| text.parse().ok()).unwrap_or(0)),
        _ => Answer::Failed,
    })
}

impl Client {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { stream, sequence: 0 })
    }

    /// Whether the gateway is well.
    pub fn is_well(&mut self) -> bool {
        self.sequence += 1;
        let mut content = message(1, "isWell", self.sequence);
        content.extend_from_slice(&[2, 0, 1, 0, 0]);
        if self.stream.write_all(&frame(content)).is_err() {
            return false;
        }
        // The answer is `good`, the last field of the result: the bytes 1, 0, 0 at its end.
        self.read_frame(Duration::from_secs(1)).ok().is_some_and(|content| content.ends_with(&[1, 0, 0]))
    }

    /// Sends a request. Returns whether it could be written.
    fn send(&mut self, fields: &[(&str, String)], body: &[u8]) -> bool {
        self.sequence += 1;
        self.stream.write_all(&request(self.sequence, fields, body)).is_ok()
    }

    /// Sends a request and waits for its answer, for as long as one counts.
    pub fn ask(&mut self, fields: &[(&str, String)], body: &[u8], ttl_ms: u64) -> Answer {
        if !self.send(fields, body) {
            return Answer::Closed;
        }
        match self.read_frame(Duration::from_millis(ttl_ms + ANSWER_BY_MS)) {
            Ok(content) => read_answer(&content).unwrap_or(Answer::Failed),
            Err(answer) => answer,
        }
    }

    fn read_frame(&mut self, wait: Duration) -> Result<Vec<u8>, Answer> {
        let until = Instant::now() + wait;
        let mut input = Vec::new();
        let mut buffer = [0; 16384];
        loop {
            if let Some(head) = input.first_chunk::<4>() {
                let length = u32::from_be_bytes(*head) as usize;
                if input.len() == 4 + length {
                    return Ok(input.split_off(4));
                }
            }
            // One frame at a time: what follows it stays in the socket.
            let wanted = match input.first_chunk::<4>() {
                None => 4 - input.len(),
                Some(head) => (4 + u32::from_be_bytes(*head) as usize - input.len()).min(buffer.len()),
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Answer::Nothing);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut buffer[..wanted]) {
                Ok(0) => return Err(Answer::Closed),
                Ok(count) => input.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return Err(Answer::Closed),
            }
        }
    }
}

/// Requests that a bad client sends at once.
const REQUESTS_AT_ONCE: usize = 300;

/// A bad client: sends hundreds of requests of a class that does not exist at once, and the same again, at full speed,
/// and reads what it is sent. Returns the number of bytes that it sent.
pub fn flood(address: SocketAddr, stop: &AtomicBool) -> usize {
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    let _ = stream.set_nodelay(true);
    // A write that the gateway does not take for long ends with the flood.
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    let Ok(mut reader) = stream.try_clone() else { return 0 };
    std::thread::spawn(move || {
        let mut buffer = vec![0; 65536];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let (mut sequence, mut sent) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let mut output = Vec::new();
        for _ in 0..REQUESTS_AT_ONCE {
            sequence += 1;
            let fields = [
                ("op", "no-such-class".to_string()),
                ("call", format!("{sequence:016x}")),
                ("ttl", "1500".to_string()),
                ("row", "7f3a9c21e0b4d655".to_string()),
            ];
            output.extend(request(sequence, &fields, b""));
        }
        let mut written = 0;
        while written < output.len() && !stop.load(Ordering::SeqCst) {
            match stream.write(&output[written..]) {
                Ok(count) => written += count,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return sent + written,
            }
        }
        sent += written;
    }
    sent
}

/// The most requests that may be open on a connection, and the time of a request of [`read_slowly`].
const MOST_OPEN: usize = 32;
const READER_TTL: Duration = Duration::from_millis(6000);

/// A client that sends requests at a steady pace and reads at most so many bytes a second. Returns the numbers of requests
/// sent and of bytes read.
pub fn read_slowly(
    address: SocketAddr,
    stop: &AtomicBool,
    fields: impl Fn(u64) -> Vec<(&'static str, String)>,
    pause: Duration,
    bytes_per_s: usize,
    note: impl Fn(String),
) -> (u64, usize) {
    const TURN: Duration = Duration::from_millis(20);
    let Ok(mut stream) = TcpStream::connect(address) else { return (0, 0) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    let (started, mut sequence, mut sent, mut read) = (Instant::now(), 0, 0, 0);
    let mut open: Vec<(i32, Instant)> = Vec::new();
    let (mut input, mut buffer) = (Vec::new(), vec![0; 65536]);
    let mut next_request = Instant::now();
    while !stop.load(Ordering::SeqCst) {
        while Instant::now() >= next_request {
            next_request += pause;
            if open.len() < MOST_OPEN {
                (sequence, sent) = (sequence + 1, sent + 1);
                let fields = fields(sent);
                note(format!("request {sequence} is sent: {fields:?}"));
                if stream.write_all(&request(sequence, &fields, b"")).is_err() {
                    return (sent, read);
                }
                open.push((sequence, Instant::now()));
            }
        }
        let (late, in_time): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(_, at)| at.elapsed() > READER_TTL);
        open = in_time;
        for (taken_back, _) in late {
            sequence += 1;
            note(format!("request {taken_back} is taken back"));
            let mut content = message(4, "forget", sequence);
            content.extend_from_slice(&[8, 0, 1]);
            content.extend_from_slice(&taken_back.to_be_bytes());
            content.push(0);
            if stream.write_all(&frame(content)).is_err() {
                return (sent, read);
            }
        }
        let allowed = (started.elapsed().as_secs_f64() * bytes_per_s as f64) as usize;
        while read < allowed {
            let wanted = (allowed - read).min(buffer.len());
            match stream.read(&mut buffer[..wanted]) {
                Ok(0) => return (sent, read),
                Ok(count) => {
                    read += count;
                    input.extend_from_slice(&buffer[..count]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                Err(_) => return (sent, read),
            }
        }
        while let Some(length) = input.first_chunk::<4>().map(|head| 4 + u32::from_be_bytes(*head) as usize) {
            if input.len() < length {
                break;
            }
            // The number of a request stands behind the kind, the length of the name and the name, `serve`.
            let number =
                input.get(17..21).map(|bytes| i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]));
            note(format!("an answer of {length} bytes to request {} is read", number.unwrap_or(0)));
            open.retain(|(sequence, _)| Some(*sequence) != number);
            input.drain(..length);
        }
        std::thread::sleep(TURN);
    }
    (sent, read)
}
