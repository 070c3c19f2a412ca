//! Events for the tests, a relay with a clock, and a subscriber that reads what a relay sends.
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
/// Start time of the tests' monotonic clock.
pub const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

/// Base of the issue times of purges, in Unix ms.
pub const ISSUED_FROM: u64 = 1_764_576_000_000;

pub fn read(data: &str) -> Event {
    Event::read(data).expect("an event of a test")
}

/// A purge of an object, issued `number` ms after the first purge.
pub fn purge(number: EventNumber, object: u64) -> Event {
    let issued = ISSUED_FROM + number;
    read(&format!("{{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}"))
}

/// A purge of a group, issued `number` ms after the first purge.
pub fn group_purge(number: EventNumber, group: u64) -> Event {
    let issued = ISSUED_FROM + number;
    read(&format!("{{\"no\":{number},\"recall\":{{\"lot\":{group},\"issued\":{issued}}}}}"))
}

/// The entry of a store in an endpoint list; its number determines its site.
pub fn store_json(store: u64, health: &str) -> String {
    let site = ["east", "west", "north"][store as usize % 3];
    placed_store_json(store, Some(site), "std", health)
}

/// The entry of a store in an endpoint list, at any site or at none; its host name depends only on its number.
pub fn placed_store_json(store: u64, site: Option<&str>, class: &str, health: &str) -> String {
    let site = site.map_or_else(String::new, |site| format!("\"site\":\"{site}\","));
    let dial = "10.1.0.9:4100";
    format!("{{\"host\":\"s-{store:08x}\",\"dial\":\"{dial}\",{site}\"class\":\"{class}\",\"health\":\"{health}\"}}")
}

/// An event with an endpoint list, or with changes of the list if it is not full.
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

/// The Unix time at a moment of a test: the Unix clock of the tests shows the same time as the monotonic clock.
pub fn unix_time(moment: MonotonicTime) -> UnixMicros {
    UnixMicros::from_micros(moment.as_micros())
}

/// A decoded part of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    Event { number: EventNumber, data: String },
    Heartbeat { source_alive_ms: u64 },
}

/// Decodes the complete items of a stream and removes them from `text`; an incomplete item stays in `text`.
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

/// Decodes a gzip body without an end, chunk by chunk.
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

/// The state that a subscriber derives from events: the last purge of each object and group, and the list of stores.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    pub cursor: EventNumber,
    /// Number and digest of the last purge or list that came with its own text; `None` if that one followed a gap.
    pub verified: Option<(EventNumber, u64)>,
    /// By object or group, as JSON text: the number of the last purge applied.
    pub purged: BTreeMap<String, EventNumber>,
    /// All copies from before this event are invalid, since events before it were missed.
    pub floor: EventNumber,
    pub stores: BTreeMap<String, String>,
    /// Number of events applied.
    pub applied: u64,
    /// A planted fault: a store stays listed although a relay removes it because it has left the subscriber's scope.
    pub keeps_moved_stores: bool,
}

impl View {
    /// Applies an event; events up to the cursor are skipped.
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
            // An entry from the source itself has the address to dial; a removal without it is by a relay.
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

/// A subscriber with the received part of its stream.
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

    /// Takes the next chunk from the relay and applies its events; false if there was none.
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
        assert!(self.text.is_empty(), "a chunk ends with a complete event");
    }
}

/// A relay with the clock of a test.
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

    /// Advances the clock and passes a tick whenever one is due.
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

    /// Passes a heartbeat of the present to the relay, which makes it ready.
    pub fn heartbeat(&mut self) -> Vec<Output> {
        let source_alive_at = unix_time(self.now);
        self.input(Input::Heartbeat { source_alive_at })
    }

    pub fn subscribe(&mut self, id: SubscriberId, request: SubscribeRequest) -> Vec<Output> {
        self.input(Input::Subscribe { id, request })
    }
}

/// An event as the source's log has it: a placeholder if a later event has replaced it.
pub fn compacted(source: &EventLog, event: &Event) -> Event {
    match source.get(event.number) {
        Some(LogEntry::Replaced) => read(&placeholder(event.number)),
        _ => event.clone(),
    }
}

/// The next inputs of a relay: up to `events` events after its last one, as far as the source has them, and a heartbeat
/// if they include the source's last event or the relay already has it.
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

/// A gap with the source's snapshot, which has the number before that of the source's last event.
pub fn snapshot_before_last(source: &EventLog) -> Input {
    let number = source.last() - 1;
    let data = source.snapshot(number, |_| true).expect("a full list");
    Input::UpstreamGap(read(&data))
}
