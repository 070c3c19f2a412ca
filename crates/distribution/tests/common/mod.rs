//! Events for the tests, and a subscriber that reads what a relay sends.
#![allow(dead_code)]
pub mod documents;

use flate2::{Decompress, FlushDecompress};
use larchway::MonotonicTime;
use larchway_distribution::batch::{placeholder, Encoding, GZIP_HEADER};
use larchway_distribution::log::{EventLog, LogEntry};
use larchway_distribution::relay::{Input, Output, Relay, SubscribeRequest, SubscriberId};
use larchway_distribution::{Event, EventNumber};
use larchway_unix_time::UnixMicros;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

pub const MICROSECOND: Duration = Duration::from_micros(1);
pub const MILLISECOND: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);
/// When the clock of a test begins.
pub const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

/// Unix ms at which the first purge of a test is issued.
pub const ISSUED_FROM: u64 = 1_764_576_000_000;

pub fn read(data: &str) -> Event {
    Event::read(data).expect("an event of a test")
}

/// A purge of an object, issued `number` ms after the first.
pub fn purge(number: EventNumber, object: u64) -> Event {
    let issued = ISSUED_FROM + number;
    read(&format!("{{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}"))
}

pub fn group_purge(number: EventNumber, group: u64) -> Event {
    let issued = ISSUED_FROM + number;
    read(&format!("{{\"no\":{number},\"recall\":{{\"lot\":{group},\"issued\":{issued}}}}}"))
}

/// One store's entry; its site goes by its number.
pub fn store_json(store: u64, health: &str) -> String {
    let site = ["east", "west", "north"][store as usize % 3];
    placed_store_json(store, Some(site), "std", health)
}

/// The entry of a store that may be listed at any site, or at none, under the same host name.
pub fn placed_store_json(store: u64, site: Option<&str>, class: &str, health: &str) -> String {
    let site = site.map_or_else(String::new, |site| format!("\"site\":\"{site}\","));
    let dial = "10.1.0.9:4100";
    format!("{{\"host\":\"s-{store:08x}\",\"dial\":\"{dial}\",{site}\"class\":\"{class}\",\"health\":\"{health}\"}}")
}

pub fn list(number: EventNumber, is_full: bool, entries: &[String]) -> Event {
    let hosts = entries.join(",");
    read(&format!(
        "{{\"no\":{number},\"roster\":{{\"seq\":{number},\"whole\":{is_full},\"hosts\":[{hosts}]}}}}"
    ))
}

pub fn request(cursor: EventNumber) -> SubscribeRequest {
    SubscribeRequest {
        cursor: Some(cursor),
        digest: None,
        encoding: Encoding::Identity,
        scope: None,
        name: None,
    }
}

/// A moment of a test on a Unix clock that runs with the monotonic one.
pub fn unix_time(moment: MonotonicTime) -> UnixMicros {
    UnixMicros::from_micros(moment.as_micros())
}

/// What came over a stream, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    Event { number: EventNumber, data: String },
    Heartbeat { source_alive_ms: u64 },
}

/// Reads the text of a stream; what is not complete yet stays in `text`.
pub fn parse(text: &mut String) -> Vec<StreamItem> {
    let mut received = Vec::new();
    while let Some(end) = text.find("\n\n") {
        let block: String = text.drain(..end + 2).collect();
        received.push(parse_block(block.trim_end()));
    }
    received
}

fn parse_block(block: &str) -> StreamItem {
    if let Some(time) = block.strip_prefix(": heard ") {
        return StreamItem::Heartbeat { source_alive_ms: time.parse().expect("a time") };
    }
    let (id, data) = block.split_once('\n').expect("id and data");
    let number = id.strip_prefix("id: ").expect("an id").parse().expect("a number");
    StreamItem::Event { number, data: data.strip_prefix("data: ").expect("data").to_string() }
}

/// Decodes a gzip body that never ends.
pub struct GzipReader {
    header: Vec<u8>,
    inflate: Decompress,
}

impl GzipReader {
    pub fn new() -> GzipReader {
        GzipReader { header: Vec::new(), inflate: Decompress::new(false) }
    }

    pub fn read(&mut self, bytes: &[u8]) -> String {
        let missing_header_bytes = GZIP_HEADER.len() - self.header.len();
        let (header, body) = bytes.split_at(missing_header_bytes.min(bytes.len()));
        self.header.extend_from_slice(header);
        assert_eq!(self.header, GZIP_HEADER[..self.header.len()]);
        let mut text = Vec::new();
        let mut consumed = 0;
        while consumed < body.len() {
            let before = self.inflate.total_in();
            text.reserve(4096);
            self.inflate
                .decompress_vec(&body[consumed..], &mut text, FlushDecompress::Sync)
                .expect("deflate");
            consumed += (self.inflate.total_in() - before) as usize;
        }
        loop {
            let before = text.len();
            text.reserve(4096);
            self.inflate.decompress_vec(&[], &mut text, FlushDecompress::Sync).ok();
            if text.len() == before {
                return String::from_utf8(text).expect("text");
            }
        }
    }
}

/// What a subscriber holds: the last time each object and group was purged, and its list of stores.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    pub cursor: EventNumber,
    /// Digest of the last event that came with its text, and its number.
    pub verified: Option<(EventNumber, u64)>,
    /// By object or group text: the number of the last purge applied.
    pub purged: BTreeMap<String, EventNumber>,
    /// All copies from before this event are void.
    pub floor: EventNumber,
    pub stores: BTreeMap<String, String>,
    pub applied: u64,
    /// A planted fault: a store that a relay takes off because it has left the scope stays listed.
    pub keeps_moved_stores: bool,
}

impl View {
    /// Applies an event; one that it has already is skipped.
    pub fn apply(&mut self, number: EventNumber, data: &str) {
        if number <= self.cursor {
            return;
        }
        let is_jump = number > self.cursor + 1;
        if is_jump {
            self.floor = number;
        }
        self.cursor = number;
        self.applied += 1;
        let value: serde_json::Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(value["no"], number);
        if value.get("recall").is_some() || value.get("roster").is_some() {
            self.verified = (!is_jump).then(|| (number, xxh3_64(data.as_bytes())));
        }
        if let Some(recall) = value.get("recall") {
            let subject = recall.get("item").or(recall.get("lot")).expect("a subject").to_string();
            self.purged.insert(subject, number);
        }
        if let Some(list) = value.get("roster") {
            self.apply_list(list);
        }
    }

    fn apply_list(&mut self, list: &serde_json::Value) {
        if list["whole"] == true {
            self.stores.clear();
        }
        for entry in list["hosts"].as_array().expect("hosts") {
            let host = entry["host"].as_str().expect("a host").to_string();
            // What the source itself sends of a store says where it is dialled.
            let is_moved = entry["health"] == "removed" && entry.get("dial").is_none();
            if is_moved && self.keeps_moved_stores {
                continue;
            }
            if entry["health"] == "removed" {
                self.stores.remove(&host);
            } else {
                self.stores.insert(host, entry.to_string());
            }
        }
    }
}

/// A subscriber with its connection.
pub struct Reader {
    pub id: SubscriberId,
    pub gzip: Option<GzipReader>,
    pub text: String,
    pub view: View,
    pub heartbeats: Vec<u64>,
    pub bytes: usize,
}

impl Reader {
    pub fn new(id: SubscriberId, encoding: Encoding) -> Reader {
        let gzip = (encoding == Encoding::Gzip).then(GzipReader::new);
        Reader { id, gzip, text: String::new(), view: View::default(), heartbeats: Vec::new(), bytes: 0 }
    }

    /// Pulls one chunk; false if there was none.
    pub fn pull(&mut self, relay: &mut Relay, now: MonotonicTime) -> bool {
        let Some(chunk) = relay.next_chunk(now, self.id) else { return false };
        self.decode(&chunk);
        true
    }

    pub fn pull_all(&mut self, relay: &mut Relay, now: MonotonicTime) {
        while self.pull(relay, now) {}
    }

    fn decode(&mut self, chunk: &[u8]) {
        self.bytes += chunk.len();
        let text = match &mut self.gzip {
            Some(gzip) => gzip.read(chunk),
            None => String::from_utf8(chunk.to_vec()).expect("text"),
        };
        self.text.push_str(&text);
        for received in parse(&mut self.text) {
            match received {
                StreamItem::Event { number, data } => self.view.apply(number, &data),
                StreamItem::Heartbeat { source_alive_ms } => self.heartbeats.push(source_alive_ms),
            }
        }
        assert!(self.text.is_empty(), "a chunk ends with a whole event");
    }
}

/// A relay with its clock.
pub struct Driver {
    pub relay: Relay,
    pub now: MonotonicTime,
    pub out: Vec<Output>,
}

impl Driver {
    pub fn new(relay: Relay) -> Driver {
        Driver { relay, now: START, out: Vec::new() }
    }

    pub fn input(&mut self, input: Input) -> Vec<Output> {
        self.relay.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Lets time pass, with a tick whenever one is due.
    pub fn advance(&mut self, time: Duration) -> Vec<Output> {
        let end = self.now + time;
        let mut out = Vec::new();
        while let Some(due) = self.relay.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            out.extend(self.input(Input::Tick));
        }
        self.now = end;
        out
    }

    /// Makes the relay ready.
    pub fn heartbeat(&mut self) -> Vec<Output> {
        let source_alive_at = unix_time(self.now);
        self.input(Input::Heartbeat { source_alive_at })
    }

    pub fn subscribe(&mut self, id: SubscriberId, request: SubscribeRequest) -> Vec<Output> {
        self.input(Input::Subscribe { id, request })
    }
}

/// An event as the source's log has it: a placeholder if a later one has replaced it.
pub fn compacted(source: &EventLog, event: &Event) -> Event {
    match source.get(event.number) {
        Some(LogEntry::Replaced) => read(&placeholder(event.number)),
        _ => event.clone(),
    }
}

/// What a relay is sent next: so many events past its last one, as far as the source has them, and a heartbeat behind
/// the source's last.
pub fn next_inputs(
    driver: &Driver,
    events: u64,
    source_last: EventNumber,
    event: impl Fn(EventNumber) -> Event,
) -> Vec<Input> {
    let last = driver.relay.log().last();
    let end = (last + events).min(source_last);
    let mut inputs: Vec<Input> = (last + 1..=end).map(|number| Input::Event(event(number))).collect();
    if end == source_last {
        inputs.push(Input::Heartbeat { source_alive_at: unix_time(driver.now) });
    }
    inputs
}

/// The source's snapshot, under the number before its last.
pub fn snapshot_before_last(source: &EventLog) -> Input {
    let number = source.last() - 1;
    let data = source.snapshot(number, |_| true).expect("a full list");
    Input::UpstreamGap(read(&data))
}
