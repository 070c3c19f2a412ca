//! The platform's front: Thrift, framed transport, strict binary protocol.
use crate::connection::{Conn, Final, Role};
use crate::core::{Ask, Ticket};
use crate::log;
use crate::net::Gateway;
use crate::slots::Key;
use crate::terms::Terms;
use larchway::Micros;
use std::collections::BTreeMap;

/// Longest frame taken: a write of 48,000 bytes and its fields.
pub const LONGEST: usize = 128 * 1024;
/// Longest body of a write.
const LONGEST_BODY: usize = 48_000;
/// Largest size of a part that a request may tell, in KB: far above any object, below what breaks arithmetic.
const MOST_KB: f64 = 1e9;
/// Highest part of an object.
const LAST_PART: u64 = 1_000_000;
/// Longest wait in milliseconds, where the settings tell none.
const LONGEST_WAIT: u64 = 600_000;
/// µs for which a client is asked to stay away for which there is no room, where it may be told: what is under way has
/// answers to write, which takes moments.
const COME_BACK: Micros = 200_000;
/// Requests that may be open on one connection.
pub const OPEN: usize = 32;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
/// Application exceptions: method unknown, and the message is at odds with the protocol.
pub const UNKNOWN_METHOD: i32 = 1;
/// See [`UNKNOWN_METHOD`].
pub const PROTOCOL_ERROR: i32 = 7;

/// What a client sent, as slices of the read buffer.
#[derive(Debug, PartialEq)]
pub enum Call<'a> {
    /// A request: its fields and its body.
    Serve(Vec<(&'a str, &'a str)>, &'a [u8]),
    /// The client has given up the request of this sequence number.
    Forget(i32),
    /// Whether the gateway can serve.
    IsWell,
    /// A method that is not known here.
    Unknown(&'a str),
}

/// A message: its sequence number and the call.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// Sequence number on the connection.
    pub seq: i32,
    /// The call.
    pub call: Call<'a>,
}

struct Cursor<'a> {
    input: &'a [u8],
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if n > self.input.len() {
            return Err("a length goes past the end of its frame".into());
        }
        let (head, rest) = self.input.split_at(n);
        self.input = rest;
        Ok(head)
    }
    fn byte(&mut self) -> Result<u8, String> {
        Ok(self.take(1)?[0])
    }
    fn i16(&mut self) -> Result<i16, String> {
        let b = self.take(2)?;
        Ok(i16::from_be_bytes([b[0], b[1]]))
    }
    fn i32(&mut self) -> Result<i32, String> {
        let b = self.take(4)?;
        Ok(i32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn length(&mut self) -> Result<usize, String> {
        usize::try_from(self.i32()?).map_err(|_| "a length is negative".into())
    }
    fn bytes(&mut self) -> Result<&'a [u8], String> {
        let n = self.length()?;
        self.take(n)
    }
    fn text(&mut self) -> Result<&'a str, String> {
        std::str::from_utf8(self.bytes()?).map_err(|_| "a string is not UTF-8".into())
    }
    /// The next field of a struct: its type and number; none at the end.
    fn field(&mut self) -> Result<Option<(u8, i16)>, String> {
        match self.byte()? {
            STOP => Ok(None),
            kind => Ok(Some((kind, self.i16()?))),
        }
    }
    fn map(&mut self) -> Result<Vec<(&'a str, &'a str)>, String> {
        let (key, value) = (self.byte()?, self.byte()?);
        let n = self.length()?;
        if n > 0 && (key, value) != (STRING, STRING) {
            return Err("a map is not of strings".into());
        }
        // A count is not to be trusted with memory: each entry takes eight bytes at least.
        if n > self.input.len() / 8 {
            return Err("a map is longer than its frame".into());
        }
        (0..n).map(|_| Ok((self.text()?, self.text()?))).collect()
    }
    fn skip(&mut self, kind: u8, depth: u8) -> Result<(), String> {
        if depth == 0 {
            return Err("values are nested too deep".into());
        }
        match kind {
            BOOL | 3 => self.take(1).map(drop),
            6 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            4 | 10 => self.take(8).map(drop),
            STRING => self.bytes().map(drop),
            STRUCT => {
                while let Some((kind, _)) = self.field()? {
                    self.skip(kind, depth - 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key, value) = (self.byte()?, self.byte()?);
                for _ in 0..self.length()? {
                    self.skip(key, depth - 1)?;
                    self.skip(value, depth - 1)?;
                }
                Ok(())
            }
            14 | 15 => {
                let item = self.byte()?;
                for _ in 0..self.length()? {
                    self.skip(item, depth - 1)?;
                }
                Ok(())
            }
            other => Err(format!("type {other} is unknown")),
        }
    }
}

/// Takes a whole frame off the front of the input: its content and its length in all.
pub fn frame(input: &[u8]) -> Result<Option<(&[u8], usize)>, String> {
    let Some(head) = input.get(..4) else { return Ok(None) };
    let length = i32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let length = usize::try_from(length).ok().filter(|n| *n <= LONGEST);
    let length = length.ok_or_else(|| {
        format!("a frame of {} bytes", u32::from_be_bytes([head[0], head[1], head[2], head[3]]))
    })?;
    Ok(input.get(4..4 + length).map(|content| (content, 4 + length)))
}

/// Reads the content of a frame.
pub fn message(content: &[u8]) -> Result<Message<'_>, String> {
    let mut c = Cursor { input: content };
    let head = c.i32()? as u32;
    if head >> 16 != 0x8001 {
        return Err(format!("{head:#x} is not the strict binary protocol"));
    }
    let kind = head as u8;
    if kind != CALL && kind != ONEWAY {
        return Err(format!("a message of type {kind}"));
    }
    let name = c.text()?;
    let seq = c.i32()?;
    let call = match name {
        "serve" => {
            let (mut fields, mut body): (_, &[u8]) = (Vec::new(), &[]);
            while let Some((kind, number)) = c.field()? {
                match (kind, number) {
                    (MAP, 1) => fields = c.map()?,
                    (STRING, 2) => body = c.bytes()?,
                    _ => c.skip(kind, 16)?,
                }
            }
            Call::Serve(fields, body)
        }
        "forget" => {
            let mut given_up = 0;
            while let Some((kind, number)) = c.field()? {
                match (kind, number) {
                    (I32, 1) => given_up = c.i32()?,
                    _ => c.skip(kind, 16)?,
                }
            }
            Call::Forget(given_up)
        }
        "isWell" => {
            while let Some((kind, _)) = c.field()? {
                c.skip(kind, 16)?;
            }
            Call::IsWell
        }
        other => return Ok(Message { seq, call: Call::Unknown(other) }),
    };
    if !c.input.is_empty() {
        return Err("a frame is longer than its message".into());
    }
    Ok(Message { seq, call })
}

/// Writes a message: the frame's length is set when its content is there.
fn write(out: &mut Vec<u8>, kind: u8, name: &str, seq: i32, content: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&(0x8001_0000 | u32::from(kind)).to_be_bytes());
    string(out, name.as_bytes());
    out.extend_from_slice(&seq.to_be_bytes());
    content(out);
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

fn begin(out: &mut Vec<u8>, kind: u8, number: i16) {
    out.push(kind);
    out.extend_from_slice(&number.to_be_bytes());
}

fn map(out: &mut Vec<u8>, number: i16, fields: &[(&str, &str)]) {
    begin(out, MAP, number);
    out.extend_from_slice(&[STRING, STRING]);
    out.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        string(out, name.as_bytes());
        string(out, value.as_bytes());
    }
}

/// Writes an `Answer`.
pub fn answer(out: &mut Vec<u8>, name: &str, seq: i32, fields: &[(&str, &str)], body: &[u8], good: bool) {
    write(out, REPLY, name, seq, |out| {
        begin(out, STRUCT, 0);
        begin(out, STRING, 1);
        string(out, body);
        map(out, 2, fields);
        begin(out, BOOL, 3);
        out.extend_from_slice(&[u8::from(good), STOP, STOP]);
    });
}

fn thrown(out: &mut Vec<u8>, seq: i32, number: i16, fields: &[(&str, &str)]) {
    write(out, REPLY, "serve", seq, |out| {
        begin(out, STRUCT, number);
        map(out, 1, fields);
        out.extend_from_slice(&[STOP, STOP]);
    });
}

/// Writes a `Busy`, with the milliseconds to stay away if there is advice.
pub fn busy(out: &mut Vec<u8>, seq: i32, pushback: u64) {
    let text = pushback.to_string();
    let fields = [("pushback", text.as_str())];
    thrown(out, seq, 1, if pushback > 0 { &fields } else { &[] });
}

/// Writes a `Failed`.
pub fn failed(out: &mut Vec<u8>, seq: i32) {
    thrown(out, seq, 2, &[]);
}

/// Writes an application exception.
pub fn exception(out: &mut Vec<u8>, name: &str, seq: i32, kind: i32, text: &str) {
    write(out, EXCEPTION, name, seq, |out| {
        begin(out, STRING, 1);
        string(out, text.as_bytes());
        begin(out, I32, 2);
        out.extend_from_slice(&kind.to_be_bytes());
        out.push(STOP);
    });
}

// The driver.

/// A client's connection.
#[derive(Debug, Default)]
pub struct Calls {
    /// Its open requests by sequence number.
    pub open: BTreeMap<u64, Key>,
    /// The highest number so far.
    last: i32,
}

/// A number in its one form, within bounds.
fn figure(name: &str, text: &str, most: u64) -> Result<u64, String> {
    let digits = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit());
    let number = text.parse().ok().filter(|n| digits && *n <= most);
    number.ok_or_else(|| format!("{name} cannot be {text:?}"))
}

/// A number of 16 hexadecimal digits.
fn digits(name: &str, text: &str) -> Result<u64, String> {
    let fit = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| fit);
    number.ok_or_else(|| format!("{name} cannot be {text:?}"))
}

/// Reads a request's fields. Guards the stores against what they could not read or use: they close on it, with
/// all else that is open on the connection.
fn ask(terms: &Terms, fields: &[(&str, &str)], body: &[u8]) -> Result<Ask, String> {
    let field = |name: &str| fields.iter().find(|(n, _)| *n == name).map(|(_, value)| *value);
    let required = |name: &str| field(name).ok_or_else(|| format!("{name} is missing"));
    // What goes on to a store as part of a list of fields must not add fields to it.
    let plain = |name: &str, text: &str| {
        let fit = text.len() <= 64 && text.bytes().all(|b| b.is_ascii_graphic() && !b",=".contains(&b));
        if fit && !text.is_empty() {
            Ok(text.to_string())
        } else {
            Err(format!("{name} cannot be {text:?}"))
        }
    };
    let mut names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    if let Some(twice) = names.windows(2).find(|w| w[0] == w[1]) {
        return Err(format!("{} stands twice", twice[0]));
    }
    let op = required("op")?;
    let class = terms.class(op).ok_or_else(|| format!("op {op:?} is unknown"))?;
    let (call, thing) = (required("call")?, required("row")?);
    digits("call", call)?;
    let longest = terms.deadlines.get(class).map_or(LONGEST_WAIT, |d| 2 * d / 1000);
    let ttl = figure("ttl", required("ttl")?, longest)?;
    if ttl == 0 || body.len() > LONGEST_BODY {
        return Err(format!("ttl {ttl} with a body of {} bytes", body.len()));
    }
    let dedupe = field("dedupe").map(|d| plain("dedupe", d)).transpose()?;
    let size_kb = field("heap").map(size).transpose()?.unwrap_or(0.0);
    if dedupe.is_none() && terms.keyed.get(class) == Some(&true) {
        return Err("dedupe is missing".into());
    }
    Ok(Ask {
        class,
        call: call.to_string(),
        object: digits("row", thing)?,
        thing: thing.to_string(),
        part: figure("block", field("block").unwrap_or("0"), LAST_PART)?,
        group: figure("family", field("family").unwrap_or("0"), 255)?,
        ttl: ttl * 1000,
        dedupe,
        mine: field("cached")
            .map(|t| plain("cached", t.trim_start_matches("W/").trim_matches('"')))
            .transpose()?,
        via: String::new(),
        body: body.to_vec(),
        size_kb,
    })
}

/// The size of a part in KB as the module counts it (`heap`): a plain decimal from 0, within what a part can be.
fn size(text: &str) -> Result<f64, String> {
    let plain = !text.is_empty() && text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = text.parse::<f64>().ok().filter(|n| plain && n.is_finite() && *n <= MOST_KB);
    number.ok_or_else(|| format!("heap cannot be {text:?}"))
}

/// Writes the final answer of a request.
pub fn finish(out: &mut Vec<u8>, seq: i32, done: &Final<'_>) {
    match done {
        Final::Served(reply) if reply.same => answer(out, "serve", seq, &[("keep", "1")], &[], true),
        Final::Served(reply) => answer(out, "serve", seq, &[], reply.body, true),
        Final::Refused(pushback) => busy(out, seq, pushback.div_ceil(1000)),
        Final::Failed { .. } => failed(out, seq),
    }
}

/// Takes one message off the input of a connection and returns how much was used.
pub fn drive(gateway: &mut Gateway, at: Micros, key: Key, input: &[u8]) -> Result<usize, String> {
    let Some((content, used)) = frame(input)? else { return Ok(0) };
    let message = message(content)?;
    let (seq, well, room) = (message.seq, gateway.core.well, gateway.has_room(key));
    let asked = match &message.call {
        Call::Serve(fields, body) => Some(ask(&gateway.terms, fields, body)),
        _ => None,
    };
    let class = asked.as_ref().and_then(|ask| ask.as_ref().ok()).map(|ask| ask.class);
    let advice = gateway.core.advice(class, COME_BACK);
    let Some(conn) = gateway.conn(key) else { return Ok(0) };
    let Role::Client(calls) = &mut conn.role else { return Ok(0) };
    if !matches!(message.call, Call::Forget(_)) {
        // A second answer under a number would pass for the first request's.
        if seq <= calls.last {
            return Err(format!("number {seq} after {}", calls.last));
        }
        calls.last = seq;
    }
    let out = &mut conn.output.bytes;
    match (message.call, asked) {
        (_, Some(Ok(ask))) if room && calls.open.len() < OPEN => {
            let (ticket, call) = (Ticket { client: key, seq: seq as u64 }, ask.call.clone());
            let Some(request) = gateway.core.request(at, ticket, ask) else {
                log!("a request is malformed: {call} is open already");
                if let Some(conn) = gateway.conn(key) {
                    exception(&mut conn.output.bytes, "serve", seq, PROTOCOL_ERROR, "call is open already");
                }
                gateway.flush(at, key);
                return Ok(used);
            };
            // Its final answer may be among the orders already; then the entry goes with it.
            if let Some(Conn { role: Role::Client(calls), .. }) = gateway.conn(key) {
                calls.open.insert(seq as u64, request);
            }
            return Ok(used);
        }
        (_, Some(Ok(ask))) => {
            busy(out, seq, advice.div_ceil(1000));
            gateway.core.turn_away(ask.class);
        }
        (_, Some(Err(why))) => {
            log!("a request is malformed: {why}");
            exception(out, "serve", seq, PROTOCOL_ERROR, &why);
        }
        (Call::IsWell, _) => answer(out, "isWell", seq, &[], &[], well),
        (Call::Forget(given_up), _) => {
            if let Some(request) = calls.open.remove(&(given_up as u64)) {
                gateway.core.gone(at, request);
            }
        }
        (Call::Unknown(name), _) => exception(out, name, seq, UNKNOWN_METHOD, "the method is unknown"),
        (Call::Serve(..), None) => {}
    }
    gateway.flush(at, key);
    Ok(used)
}

#[cfg(test)]
mod tests;
