//! Encodes events into pieces of a response body and counts the encoded data.
use crate::batch::{encode_at_level, placeholder, write_event, write_heartbeat, Encoding};
use crate::event::{Event, EventNumber};
use crate::log::LogEntry;
use crate::scope::Scope;
use larchway_unix_time::UnixMicros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The index of a scope in the relay's settings.
pub(super) type ScopeIndex = usize;

/// The scope and encoding of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PieceFormat {
    /// `None` for the unfiltered list, and for pieces without list events, which all scopes share.
    pub scope: Option<ScopeIndex>,
    pub encoding: Encoding,
}

/// An event to be encoded. Its text is shared with the log.
#[derive(Debug, Clone)]
pub(super) struct OutgoingEvent {
    pub number: EventNumber,
    /// JSON text; `None` for an event that a later one has replaced.
    pub data: Option<Arc<str>>,
    /// Whether the event carries stores.
    pub has_stores: bool,
}

impl OutgoingEvent {
    /// Creates the outgoing form of an event that has not been replaced.
    pub(super) fn of_event(event: &Event) -> OutgoingEvent {
        OutgoingEvent { number: event.number, data: Some(event.data.clone()), has_stores: event.has_stores() }
    }

    /// Creates the outgoing form of a log entry.
    pub(super) fn of_entry(number: EventNumber, entry: LogEntry<'_>) -> OutgoingEvent {
        match entry {
            LogEntry::Current(event) => OutgoingEvent::of_event(event),
            LogEntry::Replaced => OutgoingEvent { number, data: None, has_stores: false },
        }
    }

    /// Length of the event's text in bytes; 0 if replaced.
    pub(super) fn bytes(&self) -> usize {
        self.data.as_ref().map_or(0, |data| data.len())
    }
}

/// Counters of the data that a relay has encoded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayStatistics {
    /// Number of encoded pieces of live batches.
    pub batches_encoded: u64,
    /// Number of encoded catch-up pages.
    pub pages_encoded: u64,
    /// Number of encoded snapshots.
    pub snapshots_encoded: u64,
    /// Bytes of text before encoding.
    pub text_bytes: u64,
    /// Bytes after encoding.
    pub encoded_bytes: u64,
}

/// Encodes pieces with the scopes and the gzip level of one relay.
#[derive(Debug)]
pub(super) struct Encoder {
    gzip_level: u32,
    scopes: Vec<Scope>,
    by_name: BTreeMap<String, ScopeIndex>,
    pub statistics: RelayStatistics,
}

impl Encoder {
    pub(super) fn new(gzip_level: u32, scopes: &BTreeMap<String, Scope>) -> Encoder {
        let by_name = scopes.keys().cloned().enumerate().map(|(index, name)| (name, index)).collect();
        let statistics = RelayStatistics::default();
        Encoder { gzip_level, scopes: scopes.values().cloned().collect(), by_name, statistics }
    }

    pub(super) fn scope_index(&self, name: &str) -> Option<ScopeIndex> {
        self.by_name.get(name).copied()
    }

    pub(super) fn scope(&self, index: ScopeIndex) -> &Scope {
        &self.scopes[index]
    }

    /// Encodes events, followed by a heartbeat if given.
    pub(super) fn encode(
        &mut self,
        events: &[OutgoingEvent],
        source_alive_at: Option<UnixMicros>,
        format: PieceFormat,
    ) -> Arc<[u8]> {
        let mut text = String::new();
        for event in events {
            write_event(&mut text, event.number, &self.data(event, format.scope));
        }
        if let Some(source_alive_at) = source_alive_at {
            write_heartbeat(&mut text, source_alive_at);
        }
        self.encode_text(&text, format.encoding)
    }

    /// Encodes one event from its number and data.
    pub(super) fn encode_event(&mut self, number: EventNumber, data: &str, encoding: Encoding) -> Arc<[u8]> {
        let mut text = String::new();
        write_event(&mut text, number, data);
        self.encode_text(&text, encoding)
    }

    fn data(&self, event: &OutgoingEvent, scope: Option<ScopeIndex>) -> Arc<str> {
        match (&event.data, scope) {
            (None, _) => placeholder(event.number).into(),
            (Some(data), Some(scope)) if event.has_stores => {
                self.scopes[scope].filter(event.number, data).into()
            }
            (Some(data), _) => data.clone(),
        }
    }

    fn encode_text(&mut self, text: &str, encoding: Encoding) -> Arc<[u8]> {
        let piece = encode_at_level(text, encoding, self.gzip_level);
        self.statistics.text_bytes += text.len() as u64;
        self.statistics.encoded_bytes += piece.len() as u64;
        piece
    }
}
