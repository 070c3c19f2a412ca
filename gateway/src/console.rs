//! The operators' console: HTTP/1.1 on an address of its own, one call to a connection. It knows its clients and the
//! form of a call; what is answered comes from the loop. Callers wait a second at most, so the loop serves it first.
use crate::sockets::accepted;
use larchway::Micros;
use larchway_operations::cordon::Verdict;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// Callers at once, at most.
pub const MOST: usize = 16;
/// Longest head and longest body of a call.
const HEAD: usize = 4096;
const BODY: usize = 4096;
/// µs after which a caller that has finished no call is told so and closed.
const PATIENCE: Micros = 10_000_000;
/// µs for which a connection lingers after its answer, until the caller closes it.
const LINGER: Micros = 1_000_000;

/// A call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Readiness,
    /// The figures.
    Stats,
    /// The gateway's own copies.
    Copies,
    /// The stores' load as the fleet sees it.
    Spread,
    /// The gateways of the tier, and the shares that this one may use.
    Fleet,
    /// The stream of events.
    Events,
    /// A store out or back.
    Store {
        /// Its id.
        who: String,
        /// Out or back.
        down: bool,
    },
}

/// An answer: status and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    status: u16,
    text: String,
    /// The methods that a path takes, where another was used.
    allow: Option<&'static str>,
}

impl Reply {
    /// With this status and line of text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Reply { status, text: text.into(), allow: None }
    }

    /// What a part tells of itself; `none`: why it tells nothing.
    pub fn told(told: Option<String>, none: &str) -> Self {
        match told {
            Some(told) => Reply::new(200, told + "\n"),
            None => Reply::new(404, format!("{none}\n")),
        }
    }

    /// Of a call about a store.
    pub fn store(who: &str, down: bool, verdict: Verdict) -> Self {
        let who = who.escape_default();
        match (verdict, down) {
            (Verdict::Yes, true) => Reply::new(200, format!("{who} is out\n")),
            (Verdict::Yes, false) => Reply::new(200, format!("{who} is back\n")),
            (Verdict::Unknown, _) => Reply::new(404, format!("who: nobody has the id {who}\n")),
            (Verdict::Full, _) => Reply::new(409, "who: too many stores are out\n"),
        }
    }

    fn write(&self) -> Vec<u8> {
        let words = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Error",
        };
        let allow = self.allow.map_or(String::new(), |a| format!("Allow: {a}\r\n"));
        format!(
            "HTTP/1.1 {} {words}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
             Cache-Control: no-store\r\n{allow}Connection: close\r\n\r\n{}",
            self.status,
            self.text.len(),
            self.text
        )
        .into_bytes()
    }
}

/// Takes a call from what has come in: none while it is not whole. What can be no call is an error with its answer.
/// `ended`: nothing more will come.
pub fn call(input: &[u8], ended: bool) -> Result<Option<Call>, Reply> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let short = |what: &str| {
        if ended {
            Err(Reply::new(400, format!("{what} is cut short\n")))
        } else {
            Ok(None)
        }
    };
    let start = match request.parse(input) {
        Err(httparse::Error::TooManyHeaders) => return Err(Reply::new(431, "too many header fields\n")),
        Err(e) => return Err(Reply::new(400, format!("the head cannot be read: {e}\n"))),
        Ok(httparse::Status::Partial) if input.len() > HEAD => {
            return Err(Reply::new(431, format!("the head is over {HEAD} bytes\n")))
        }
        Ok(httparse::Status::Partial) => return short("the head"),
        Ok(httparse::Status::Complete(start)) => start,
    };
    if start > HEAD {
        return Err(Reply::new(431, format!("the head is over {HEAD} bytes\n")));
    }
    let method = request.method.unwrap_or("");
    let target = request.path.unwrap_or("");
    let path = target.split('?').next().unwrap_or("");
    let (takes, down) = match path {
        "/ops/readiness" | "/ops/stats" | "/ops/copies" | "/ops/spread" | "/ops/fleet" | "/ops/events" => {
            ("GET", false)
        }
        "/ops/stores/down" => ("PUT", true),
        "/ops/stores/up" => ("PUT", false),
        _ => return Err(Reply::new(404, format!("there is no {}\n", path.escape_default()))),
    };
    if method != takes {
        let text = format!("{path} takes {takes}, not {}\n", method.escape_default());
        return Err(Reply { allow: Some(takes), ..Reply::new(405, text) });
    }
    let field = |name: &str| {
        let mut all = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let first = all.next().map(|h| h.value);
        // Two lengths are two ways to read one message.
        (first, all.any(|h| Some(h.value) != first))
    };
    if field("transfer-encoding").0.is_some() {
        return Err(Reply::new(411, "Transfer-Encoding is not read here: give Content-Length\n"));
    }
    let wrong = || Reply::new(400, "Content-Length is no length\n");
    let length = match field("content-length") {
        (_, true) => return Err(Reply::new(400, "Content-Length stands twice\n")),
        (None, _) => None,
        (Some(digits), _) => {
            let text = std::str::from_utf8(digits).map_err(|_| wrong())?.trim();
            let plain = !text.is_empty() && text.len() <= 9 && text.bytes().all(|b| b.is_ascii_digit());
            Some(text.parse::<usize>().ok().filter(|_| plain).ok_or_else(wrong)?)
        }
    };
    let body = &input[start..];
    if takes == "GET" {
        let length = length.unwrap_or(0);
        if length > BODY {
            return Err(Reply::new(413, format!("the body is over {BODY} bytes\n")));
        }
        return match body.len().cmp(&length) {
            std::cmp::Ordering::Less => short("the body"),
            std::cmp::Ordering::Equal => Ok(Some(match path {
                "/ops/stats" => Call::Stats,
                "/ops/copies" => Call::Copies,
                "/ops/events" => Call::Events,
                "/ops/spread" => Call::Spread,
                "/ops/fleet" => Call::Fleet,
                _ => Call::Readiness,
            })),
            std::cmp::Ordering::Greater => {
                Err(Reply::new(400, "there is more than one call on the connection\n"))
            }
        };
    }
    let Some(length) = length else { return Err(Reply::new(411, "Content-Length is missing\n")) };
    if length > BODY {
        return Err(Reply::new(413, format!("the body is over {BODY} bytes\n")));
    }
    if body.len() > length {
        return Err(Reply::new(400, format!("the body goes on behind its {length} bytes\n")));
    }
    if body.len() < length {
        return short("the body");
    }
    let told: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| Reply::new(400, format!("the body is not JSON: {e}\n")))?;
    let Some(members) = told.as_object() else {
        return Err(Reply::new(400, "the body is not an object\n"));
    };
    match members.get("who") {
        None => Err(Reply::new(400, "who is missing\n")),
        Some(serde_json::Value::String(who)) => Ok(Some(Call::Store { who: who.clone(), down })),
        Some(_) => Err(Reply::new(400, "who must be a string\n")),
    }
}

struct Client {
    stream: TcpStream,
    since: Micros,
    input: Vec<u8>,
    /// The answer, once there is one, and how much of it is written.
    output: Option<(Vec<u8>, usize)>,
    /// When the answer was written whole.
    told: Option<Micros>,
}

/// What became of a caller.
pub enum Turn {
    /// It waits to be read from, or to be written to.
    Waits {
        /// To be written to.
        write: bool,
    },
    /// It asks this; answer with [`Console::answer`].
    Asks(Call),
    /// It is gone.
    Gone(TcpStream),
}

/// The console.
pub struct Console {
    /// Where callers come in.
    pub listener: TcpListener,
    clients: Vec<Option<Client>>,
}

impl Console {
    /// Takes a listener in, which is not to block, with so many places for callers.
    pub fn new(listener: TcpListener, places: usize) -> Self {
        Console { listener, clients: (0..places.clamp(2, MOST)).map(|_| None).collect() }
    }

    /// Takes a caller in: its place, its stream to be polled, and whoever had to leave for it. Danger: callers that
    /// connect and say nothing keep out one who does speak; the one that has been there for longest leaves.
    pub fn accept(&mut self, at: Micros) -> io::Result<Option<(usize, &TcpStream, Option<TcpStream>)>> {
        let Some((stream, _)) = accepted(self.listener.accept())? else { return Ok(None) };
        Ok(self.admit(at, stream))
    }

    fn admit(&mut self, at: Micros, stream: TcpStream) -> Option<(usize, &TcpStream, Option<TcpStream>)> {
        stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).ok()?;
        let free = self.clients.iter().position(Option::is_none);
        // Answered ones go first, then those that have finished no call, the oldest first.
        let rank = |c: &Option<Client>| c.as_ref().map_or((false, 0), |c| (c.told.is_none(), c.since));
        let oldest = || (0..self.clients.len()).min_by_key(|&at| rank(&self.clients[at]));
        let place = free.or_else(oldest)?;
        let client = Client { stream, since: at, input: Vec::new(), output: None, told: None };
        let old = self.clients[place].replace(client).map(|c| c.stream);
        self.clients[place].as_ref().map(|c| (place, &c.stream, old))
    }

    /// The stream of a caller.
    pub fn stream(&self, place: usize) -> Option<&TcpStream> {
        self.clients.get(place)?.as_ref().map(|c| &c.stream)
    }

    /// A caller can be read from or written to.
    pub fn turn(&mut self, at: Micros, place: usize) -> Option<Turn> {
        let client = self.clients.get_mut(place)?.as_mut()?;
        let mut piece = [0; 4096];
        if client.output.is_some() {
            // What is not read would make the close a reset, and the answer might be lost with it.
            let ended = match client.stream.read(&mut piece) {
                Ok(0) => true,
                Ok(_) => false,
                Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
            };
            if ended && client.told.is_some() {
                return self.gone(place);
            }
            return self.write(at, place);
        }
        let ended = match client.stream.read(&mut piece) {
            Ok(0) => true,
            Ok(n) => {
                client.input.extend_from_slice(&piece[..n]);
                false
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Some(Turn::Waits { write: false })
            }
            Err(_) => return self.gone(place),
        };
        if ended && client.input.is_empty() {
            return self.gone(place);
        }
        match call(&client.input, ended) {
            Ok(None) => Some(Turn::Waits { write: false }),
            Ok(Some(call)) => Some(Turn::Asks(call)),
            Err(reply) => self.answer(at, place, &reply),
        }
    }

    /// Answers a caller.
    pub fn answer(&mut self, at: Micros, place: usize, reply: &Reply) -> Option<Turn> {
        let client = self.clients.get_mut(place)?.as_mut()?;
        client.output = Some((reply.write(), 0));
        client.input = Vec::new();
        self.write(at, place)
    }

    fn write(&mut self, at: Micros, place: usize) -> Option<Turn> {
        let client = self.clients.get_mut(place)?.as_mut()?;
        let (bytes, done) = client.output.as_mut()?;
        while *done < bytes.len() {
            match client.stream.write(&bytes[*done..]) {
                Ok(n) if n > 0 => *done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(Turn::Waits { write: true }),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.gone(place),
            }
        }
        if client.told.is_none() {
            client.told = Some(at);
            if client.stream.shutdown(Shutdown::Write).is_err() {
                return self.gone(place);
            }
        }
        Some(Turn::Waits { write: false })
    }

    fn gone(&mut self, place: usize) -> Option<Turn> {
        self.clients[place].take().map(|c| Turn::Gone(c.stream))
    }

    /// When somebody is to be looked at.
    pub fn next_due(&self) -> Option<Micros> {
        let due = |c: &Client| c.told.map_or(c.since + PATIENCE, |told| told + LINGER);
        self.clients.iter().flatten().map(due).min()
    }

    /// Tells callers that have finished no call in time, and closes those that do not close: their places, and what
    /// became of them.
    pub fn tick(&mut self, at: Micros) -> Vec<(usize, Turn)> {
        let mut turns = Vec::new();
        for place in 0..self.clients.len() {
            let Some(client) = &self.clients[place] else { continue };
            let turn = match (client.told, &client.output) {
                (Some(told), _) if at >= told + LINGER => self.gone(place),
                (None, None) if at >= client.since + PATIENCE => {
                    self.answer(at, place, &Reply::new(408, "no call was finished in time\n"))
                }
                // One that does not read its answer.
                (None, Some(_)) if at >= client.since + PATIENCE + LINGER => self.gone(place),
                _ => None,
            };
            turns.extend(turn.map(|t| (place, t)));
        }
        turns
    }
}

#[cfg(test)]
mod tests;
