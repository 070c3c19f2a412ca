//! Catch-up: pages of the log aligned to fixed numbers and snapshots, each encoded once and shared.
use super::encoder::{Encoder, OutgoingEvent, PieceKey};
use crate::event::EventNumber;
use crate::log::EventLog;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Content {
    /// The page of this index.
    Page(u64),
    Snapshot,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CacheKey {
    content: Content,
    piece: PieceKey,
}

#[derive(Debug)]
struct Cached {
    bytes: Arc<[u8]>,
    /// The last event in a page, the number of a snapshot.
    last: EventNumber,
    audience: Audience,
    /// When it was used last, in order of use.
    used: u64,
}

/// Which scopes share an encoded piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// All: it holds no list event.
    AllScopes,
    /// Only the one of its key.
    OneScope,
}

/// An encoded page or snapshot, and how far it takes a subscriber.
#[derive(Debug, Clone)]
pub(super) struct CatchUpPiece {
    pub bytes: Arc<[u8]>,
    pub last: EventNumber,
}

/// The cache of encoded pages and snapshots.
#[derive(Debug)]
pub(super) struct PageCache {
    page_events: u64,
    /// Bytes at most; the piece used longest ago is dropped, the newest always stays.
    limit: usize,
    pieces: BTreeMap<CacheKey, Cached>,
    by_use: BTreeMap<u64, CacheKey>,
    uses: u64,
    bytes: usize,
}

impl PageCache {
    pub(super) fn new(page_events: u64, limit: usize) -> PageCache {
        PageCache {
            page_events: page_events.max(1),
            limit,
            pieces: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            bytes: 0,
        }
    }

    /// Bytes of all pieces.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops everything: the log has begun anew.
    pub(super) fn clear(&mut self) {
        self.pieces.clear();
        self.by_use.clear();
        self.bytes = 0;
    }

    /// The page that holds the event after `cursor`, with events up to `last` at most. The caller has made sure that
    /// the log holds that event.
    pub(super) fn page(
        &mut self,
        log: &EventLog,
        cursor: EventNumber,
        last: EventNumber,
        piece: PieceKey,
        encoder: &mut Encoder,
    ) -> CatchUpPiece {
        let index = cursor / self.page_events;
        if let Some(found) = self.cached_page(index, cursor, piece) {
            return found;
        }
        let first = (index * self.page_events + 1).max(log.first());
        let last = last.min((index + 1) * self.page_events);
        let events = log_events(log, first, last);
        let audience = match events.iter().any(|event| event.has_stores) {
            true => Audience::OneScope,
            false => Audience::AllScopes,
        };
        let piece = PieceKey { scope: piece.scope.filter(|_| audience == Audience::OneScope), ..piece };
        let bytes = encoder.encode(&events, None, piece);
        encoder.statistics.pages_encoded += 1;
        self.insert(CacheKey { content: Content::Page(index), piece }, bytes, last, audience)
    }

    fn cached_page(&mut self, index: u64, cursor: EventNumber, piece: PieceKey) -> Option<CatchUpPiece> {
        let content = Content::Page(index);
        let shared = CacheKey { content, piece: PieceKey { scope: None, ..piece } };
        let own = CacheKey { content, piece };
        let for_all = |cached: &Cached| cached.audience == Audience::AllScopes || piece.scope.is_none();
        // A page that was cut short at the log's end is of no use to one that has got so far.
        let useful = |cached: &&Cached| cached.last > cursor;
        if self.pieces.get(&shared).filter(useful).is_some_and(for_all) {
            return self.mark_used(shared);
        }
        self.pieces.get(&own).filter(useful)?;
        self.mark_used(own)
    }

    /// A cached snapshot, if its number is one of `usable`.
    pub(super) fn snapshot(
        &mut self,
        piece: PieceKey,
        usable: impl Fn(EventNumber) -> bool,
    ) -> Option<CatchUpPiece> {
        let key = CacheKey { content: Content::Snapshot, piece };
        self.pieces.get(&key).filter(|cached| usable(cached.last))?;
        self.mark_used(key)
    }

    /// Encodes a snapshot and caches it.
    pub(super) fn add_snapshot(
        &mut self,
        number: EventNumber,
        data: &str,
        piece: PieceKey,
        encoder: &mut Encoder,
    ) -> CatchUpPiece {
        let bytes = encoder.encode_event(number, data, piece.encoding);
        encoder.statistics.snapshots_encoded += 1;
        self.insert(CacheKey { content: Content::Snapshot, piece }, bytes, number, Audience::OneScope)
    }

    fn mark_used(&mut self, key: CacheKey) -> Option<CatchUpPiece> {
        let cached = self.pieces.get_mut(&key)?;
        self.by_use.remove(&cached.used);
        self.uses += 1;
        cached.used = self.uses;
        self.by_use.insert(self.uses, key);
        Some(CatchUpPiece { bytes: cached.bytes.clone(), last: cached.last })
    }

    fn insert(
        &mut self,
        key: CacheKey,
        bytes: Arc<[u8]>,
        last: EventNumber,
        audience: Audience,
    ) -> CatchUpPiece {
        self.remove(key);
        self.uses += 1;
        self.bytes += bytes.len();
        self.by_use.insert(self.uses, key);
        self.pieces.insert(key, Cached { bytes: bytes.clone(), last, audience, used: self.uses });
        self.evict();
        CatchUpPiece { bytes, last }
    }

    fn evict(&mut self) {
        while self.bytes > self.limit && self.pieces.len() > 1 {
            let Some((_, key)) = self.by_use.first_key_value() else { return };
            self.remove(*key);
        }
    }

    fn remove(&mut self, key: CacheKey) {
        let Some(cached) = self.pieces.remove(&key) else { return };
        self.by_use.remove(&cached.used);
        self.bytes -= cached.bytes.len();
    }
}

/// The events from `first` to `last` that the log holds.
fn log_events(log: &EventLog, first: EventNumber, last: EventNumber) -> Vec<OutgoingEvent> {
    let event = |number| log.get(number).map(|entry| OutgoingEvent::of_entry(number, entry));
    (first..=last).filter_map(event).collect()
}
