//! The bulletin: purges and changes to the list of stores, as numbered server-sent events over HTTP.
use crate::json_fields::{address, list, text, whole};
use crate::terms::Terms;
use larchway::settings::{as_f64, as_u64, get, micros};
use larchway::{Host, Micros, State};
use miniserde::json::{self, Value};
use std::net::SocketAddr;

/// One numbered event.
#[derive(Debug, Clone)]
pub struct Item {
    /// Its number.
    pub no: u64,
    /// What it tells.
    pub news: News,
}

/// What an event tells.
#[derive(Debug, Clone)]
pub enum News {
    /// Entries of the list of stores; whether they are the whole list.
    Roster {
        /// Whether the entries are the whole list.
        whole: bool,
        /// The entries.
        stores: Vec<Store>,
    },
    /// A purge.
    Recall {
        /// The object, or none for a whole group.
        object: Option<u64>,
        /// The group.
        group: u64,
        /// When it was purged, on the Unix clock.
        issued: Micros,
    },
    /// Nothing known here.
    Other,
}

pub use larchway_members::entry::store_id;
pub use larchway_members::Entry as Store;

fn place(names: &[String], value: &Value, key: &str) -> Result<usize, String> {
    match get(value, key) {
        Some(Value::Number(_)) => whole(value, key, 0, 0).map(|n| n as usize),
        _ => {
            let name = text(value, key)?.unwrap_or("");
            larchway_members::entry::place(names, name).ok_or_else(|| format!("{key}: {name:?} is unknown"))
        }
    }
}

/// Reads an entry of a list of stores.
pub fn store(value: &Value, terms: &Terms) -> Result<Store, String> {
    let name = text(value, "host")?.ok_or("host is missing")?.to_string();
    let state = match text(value, "health")?.unwrap_or("up") {
        "up" => State::Up,
        "draining" => State::Draining,
        "removed" => State::Removed,
        other => return Err(format!("health: {other:?} is unknown")),
    };
    let gone = state == State::Removed;
    let number = |key: &str, default: f64| get(value, key).and_then(as_f64).unwrap_or(default);
    let host = Host {
        server: store_id(&name),
        zone: place(&terms.zones, value, "site").or_else(|e| if gone { Ok(0) } else { Err(e) })?,
        kind: place(&terms.kinds, value, "class").or_else(|e| if gone { Ok(0) } else { Err(e) })?,
        cell: get(value, "block").and_then(as_u64).unwrap_or(0),
        state,
        weight: number("share", 1.0),
        started: micros(number("born_ms", 0.0)),
    };
    Ok(Store { host, name, dial: address(value, "dial")? })
}

/// Reads one event.
pub fn item(value: &Value, terms: &Terms) -> Result<Item, String> {
    let no = get(value, "no").and_then(as_u64).ok_or("no is missing")?;
    let news = if let Some(roster) = get(value, "roster") {
        let hosts = list(roster, "hosts")?;
        let whole = matches!(get(roster, "whole"), Some(Value::Bool(true)));
        News::Roster { whole, stores: hosts.iter().map(|h| store(h, terms)).collect::<Result<_, _>>()? }
    } else if let Some(recall) = get(value, "recall") {
        let object = match text(recall, "item")? {
            None => None,
            Some(t) => Some(u64::from_str_radix(t, 16).map_err(|_| format!("item: {t:?} is no object"))?),
        };
        let issued = get(recall, "issued").and_then(as_f64).ok_or("issued is missing")?;
        News::Recall { object, group: whole(recall, "lot", 0, 0)?, issued: micros(issued) }
    } else {
        News::Other
    };
    Ok(Item { no, news })
}

/// The call that asks for the events after a number.
pub fn call(host: SocketAddr, last: u64) -> String {
    format!(
        "GET /bulletins HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
    )
}

/// Reads the answer to the call: a head, then events, plain or in chunks, until the connection ends.
#[derive(Debug, Default)]
pub struct Reader {
    raw: Vec<u8>,
    lines: Vec<u8>,
    head: bool,
    chunked: bool,
    chunk: usize,
    data: String,
}

/// Most bytes of one event or head: a full list of thousands of stores fits.
const LONGEST: usize = 4 << 20;

impl Reader {
    /// Takes in what was read and returns the data of the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<String>, String> {
        self.raw.extend_from_slice(bytes);
        if !self.head {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.raw).map_err(|e| format!("its head is malformed: {e}"))? {
                httparse::Status::Partial if self.raw.len() > 65_536 => {
                    return Err("its head is too long".into())
                }
                httparse::Status::Partial => return Ok(Vec::new()),
                httparse::Status::Complete(end) => {
                    if response.code != Some(200) {
                        return Err(format!("it answered {}", response.code.unwrap_or(0)));
                    }
                    self.chunked = response.headers.iter().any(|h| {
                        h.name.eq_ignore_ascii_case("transfer-encoding")
                            && h.value.to_ascii_lowercase().ends_with(b"chunked")
                    });
                    self.head = true;
                    self.raw.drain(..end);
                }
            }
        }
        self.unpack()?;
        if self.lines.len().max(self.raw.len()).max(self.data.len()) > LONGEST {
            return Err("an event is too long".into());
        }
        let mut whole = Vec::new();
        while let Some(end) = self.lines.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.lines.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end_matches(['\n', '\r']);
            if line.is_empty() {
                if !self.data.is_empty() {
                    whole.push(std::mem::take(&mut self.data));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
        }
        Ok(whole)
    }

    fn unpack(&mut self) -> Result<(), String> {
        if !self.chunked {
            self.lines.append(&mut self.raw);
            return Ok(());
        }
        loop {
            if self.chunk > 0 {
                let n = self.chunk.min(self.raw.len());
                self.lines.extend(self.raw.drain(..n));
                self.chunk -= n;
                if self.chunk > 0 {
                    return Ok(());
                }
            }
            // The line break after a chunk is skipped with the blank before the next size.
            let blank = self.raw.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            let Some(end) = self.raw[blank..].iter().position(|&b| b == b'\n') else { return Ok(()) };
            let line = String::from_utf8_lossy(&self.raw[blank..blank + end]).into_owned();
            let size = line.split(';').next().unwrap_or("").trim();
            self.chunk = usize::from_str_radix(size, 16).map_err(|_| format!("{size:?} is no chunk size"))?;
            self.raw.drain(..=blank + end);
            if self.chunk == 0 {
                return Err("it ended".into());
            }
            if self.chunk > LONGEST {
                return Err("a chunk is too long".into());
            }
        }
    }
}

/// Reads the data of one event.
pub fn event(data: &str, terms: &Terms) -> Result<Item, String> {
    let value: Value = json::from_str(data).map_err(|_| "an event is not JSON".to_string())?;
    item(&value, terms)
}

#[cfg(test)]
mod tests;
