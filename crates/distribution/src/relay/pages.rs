//! The cache of catch-up data: log pages aligned to fixed numbers, and snapshots. Each is encoded once and shared.
use super::encoder::{Encoder, OutgoingEvent, PieceFormat};
use crate::event::EventNumber;
use crate::log::EventLog;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The kind of data in a cached piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CachedContent {
    /// The page with this index.
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
    /// Number of the last event in a page, or of a snapshot.
    last: EventNumber,
    audience: Audience,
    /// Value of the use counter at the last use.
    last_use: u64,
}

/// Which scopes share an encoded piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// All scopes, because it contains no list event.
    AllScopes,
    /// Only the scope in its key.
    OneScope,
}

/// An encoded page or snapshot, and the subscriber's cursor after it.
#[derive(Debug, Clone)]
pub(super) struct CatchUpPiece {
    pub bytes: Arc<[u8]>,
    pub last: EventNumber,
}

/// The cache of encoded pages and snapshots.
#[derive(Debug)]
pub(super) struct PageCache {
    page_events: u64,
    /// Maximum size in bytes. The least recently used piece is dropped beyond it, except the newest.
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

    /// Bytes of all cached pieces.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Clears the cache, for when the log restarts.
    pub(super) fn clear(&mut self) {
        self.pieces.clear();
        self.by_use.clear();
        self.bytes = 0;
    }

    /// Returns the page that contains the event after `cursor`, with events up to at most `last`. The caller ensures
    /// that the log has that event.
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
        // A page that ended at the log's end when encoded has no new events for a cursor at its last event.
        let extends_cursor = |cached: &&CachedPiece| cached.last > cursor;
        if self.pieces.get(&shared).filter(extends_cursor).is_some_and(applies_to_scope) {
            return self.mark_used(shared);
        }
        self.pieces.get(&scoped).filter(extends_cursor)?;
        self.mark_used(scoped)
    }

    /// Returns the cached snapshot if `usable` accepts its number.
    pub(super) fn snapshot(
        &mut self,
        format: PieceFormat,
        usable: impl Fn(EventNumber) -> bool,
    ) -> Option<CatchUpPiece> {
        let key = CacheKey { content: CachedContent::Snapshot, format };
        self.pieces.get(&key).filter(|cached| usable(cached.last))?;
        self.mark_used(key)
    }

    /// Encodes and caches a snapshot.
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

/// The log's events from `first` to `last`.
fn log_events(log: &EventLog, first: EventNumber, last: EventNumber) -> Vec<OutgoingEvent> {
    let event = |number| log.get(number).map(|entry| OutgoingEvent::of_entry(number, entry));
    (first..=last).filter_map(event).collect()
}
