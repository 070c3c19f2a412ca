//! Catch-up: pages of the log aligned to fixed numbers and snapshots, each encoded once and shared.
use super::encoder::{Encoder, OutgoingEvent, PieceFormat};
use crate::event::EventNumber;
use crate::log::EventLog;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CachedContent {
    /// The page of this index.
    Page(u64),
    Snapshot,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CacheKey {
    content: CachedContent,
    format: PieceFormat,
}

#[derive(Debug)]
struct CachedPiece {
    bytes: Arc<[u8]>,
    /// The last event in a page, the number of a snapshot.
    last: EventNumber,
    audience: Audience,
    /// When it was used last, in order of use.
    last_use: u64,
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
    max_bytes: usize,
    pieces: BTreeMap<CacheKey, CachedPiece>,
    by_use: BTreeMap<u64, CacheKey>,
    use_count: u64,
    bytes: usize,
}

impl PageCache {
    pub(super) fn new(page_events: u64, max_bytes: usize) -> PageCache {
        PageCache {
            page_events: page_events.max(1),
            max_bytes,
            pieces: BTreeMap::new(),
            by_use: BTreeMap::new(),
            use_count: 0,
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
        format: PieceFormat,
        encoder: &mut Encoder,
    ) -> CatchUpPiece {
        let index = cursor / self.page_events;
        if let Some(found) = self.cached_page(index, cursor, format) {
            return found;
        }
        let first = (index * self.page_events + 1).max(log.first());
        let last = last.min((index + 1) * self.page_events);
        let events = log_events(log, first, last);
        let audience = match events.iter().any(|event| event.has_stores) {
            true => Audience::OneScope,
            false => Audience::AllScopes,
        };
        let format = PieceFormat { scope: format.scope.filter(|_| audience == Audience::OneScope), ..format };
        let bytes = encoder.encode(&events, None, format);
        encoder.statistics.pages_encoded += 1;
        self.insert(CacheKey { content: CachedContent::Page(index), format }, bytes, last, audience)
    }

    fn cached_page(&mut self, index: u64, cursor: EventNumber, format: PieceFormat) -> Option<CatchUpPiece> {
        let content = CachedContent::Page(index);
        let shared = CacheKey { content, format: PieceFormat { scope: None, ..format } };
        let scoped = CacheKey { content, format };
        let applies_to_scope =
            |cached: &CachedPiece| cached.audience == Audience::AllScopes || format.scope.is_none();
        // A page that was cut short at the log's end is of no use to one that has got so far.
        let extends_cursor = |cached: &&CachedPiece| cached.last > cursor;
        if self.pieces.get(&shared).filter(extends_cursor).is_some_and(applies_to_scope) {
            return self.mark_used(shared);
        }
        self.pieces.get(&scoped).filter(extends_cursor)?;
        self.mark_used(scoped)
    }

    /// A cached snapshot, if its number is one of `usable`.
    pub(super) fn snapshot(
        &mut self,
        format: PieceFormat,
        usable: impl Fn(EventNumber) -> bool,
    ) -> Option<CatchUpPiece> {
        let key = CacheKey { content: CachedContent::Snapshot, format };
        self.pieces.get(&key).filter(|cached| usable(cached.last))?;
        self.mark_used(key)
    }

    /// Encodes a snapshot and caches it.
    pub(super) fn add_snapshot(
        &mut self,
        number: EventNumber,
        data: &str,
        format: PieceFormat,
        encoder: &mut Encoder,
    ) -> CatchUpPiece {
        let bytes = encoder.encode_event(number, data, format.encoding);
        encoder.statistics.snapshots_encoded += 1;
        self.insert(CacheKey { content: CachedContent::Snapshot, format }, bytes, number, Audience::OneScope)
    }

    fn mark_used(&mut self, key: CacheKey) -> Option<CatchUpPiece> {
        let cached = self.pieces.get_mut(&key)?;
        self.by_use.remove(&cached.last_use);
        self.use_count += 1;
        cached.last_use = self.use_count;
        self.by_use.insert(self.use_count, key);
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
        self.use_count += 1;
        self.bytes += bytes.len();
        self.by_use.insert(self.use_count, key);
        self.pieces
            .insert(key, CachedPiece { bytes: bytes.clone(), last, audience, last_use: self.use_count });
        self.evict();
        CatchUpPiece { bytes, last }
    }

    fn evict(&mut self) {
        while self.bytes > self.max_bytes && self.pieces.len() > 1 {
            let Some((_, key)) = self.by_use.first_key_value() else { return };
            self.remove(*key);
        }
    }

    fn remove(&mut self, key: CacheKey) {
        let Some(cached) = self.pieces.remove(&key) else { return };
        self.by_use.remove(&cached.last_use);
        self.bytes -= cached.bytes.len();
    }
}

/// The events from `first` to `last` that the log holds.
fn log_events(log: &EventLog, first: EventNumber, last: EventNumber) -> Vec<OutgoingEvent> {
    let event = |number| log.get(number).map(|entry| OutgoingEvent::of_entry(number, entry));
    (first..=last).filter_map(event).collect()
}
