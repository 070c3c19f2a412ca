//! Events on their way to the subscribers that are caught up: the batch that gathers, and those that are sealed.
use super::encoder::{Encoder, Line, PieceKey};
use crate::event::EventNumber;
use larchway::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The place of a batch among all batches of a relay.
pub(super) type BatchNumber = u64;

/// A sealed batch, encoded once a form on first use.
#[derive(Debug)]
struct Batch {
    /// The last event before this batch, and the last in it.
    before: EventNumber,
    last: EventNumber,
    lines: Vec<Line>,
    heartbeat: Option<Micros>,
    sealed_at: Micros,
    list: bool,
    /// Bytes of the texts and the pieces.
    bytes: usize,
    /// At most two a scope.
    pieces: BTreeMap<PieceKey, Arc<[u8]>>,
}

/// The batch that gathers.
#[derive(Debug, Default)]
struct Open {
    lines: Vec<Line>,
    heartbeat: Option<Micros>,
    bytes: usize,
    due: Option<Micros>,
}

/// Bounds of a [`BatchRing`]; see the fields of the same names in `RelayTerms`.
#[derive(Debug, Clone, Copy)]
pub(super) struct RingTerms {
    pub batch: Micros,
    pub batch_bytes: usize,
    pub ring: usize,
    pub ring_bytes: usize,
}

/// A bounded ring of sealed batches. All subscribers share one encoded piece of a batch.
#[derive(Debug)]
pub(super) struct BatchRing {
    terms: RingTerms,
    open: Open,
    /// At most `RingTerms::ring` batches and `ring_bytes` bytes; the oldest is dropped.
    sealed: VecDeque<Batch>,
    oldest: BatchNumber,
    bytes: usize,
    last: EventNumber,
}

/// A piece of a batch, and how far it takes a subscriber.
#[derive(Debug)]
pub(super) struct BatchPiece {
    pub bytes: Arc<[u8]>,
    pub last: EventNumber,
}

impl BatchRing {
    pub(super) fn new(terms: RingTerms) -> BatchRing {
        BatchRing { terms, open: Open::default(), sealed: VecDeque::new(), oldest: 0, bytes: 0, last: 0 }
    }

    /// The last event that is sealed.
    pub(super) fn last(&self) -> EventNumber {
        self.last
    }

    /// The oldest batch that is still here, and the one to be sealed next.
    pub(super) fn oldest(&self) -> BatchNumber {
        self.oldest
    }

    /// See [`BatchRing::oldest`].
    pub(super) fn next(&self) -> BatchNumber {
        self.oldest + self.sealed.len() as BatchNumber
    }

    /// Bytes of all sealed batches.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the open batch is to be sealed.
    pub(super) fn due(&self) -> Option<Micros> {
        self.open.due
    }

    /// Adds an event to the open batch. Returns whether the batch is full and has been sealed.
    pub(super) fn add(&mut self, now: Micros, line: Line) -> bool {
        self.open.due.get_or_insert(now + self.terms.batch);
        self.open.bytes += line.bytes();
        self.open.lines.push(line);
        self.open.bytes >= self.terms.batch_bytes && self.seal(now)
    }

    /// Adds a heartbeat behind the events of the open batch.
    pub(super) fn add_heartbeat(&mut self, now: Micros, heard: Micros) {
        self.open.due.get_or_insert(now + self.terms.batch);
        self.open.heartbeat = Some(heard);
    }

    /// Seals the open batch; false if there is nothing in it.
    pub(super) fn seal(&mut self, now: Micros) -> bool {
        let open = std::mem::take(&mut self.open);
        if open.due.is_none() {
            return false;
        }
        let before = self.last;
        self.last = open.lines.last().map_or(before, |line| line.number);
        self.bytes += open.bytes;
        self.sealed.push_back(Batch {
            before,
            last: self.last,
            list: open.lines.iter().any(|line| line.list),
            lines: open.lines,
            heartbeat: open.heartbeat,
            sealed_at: now,
            bytes: open.bytes,
            pieces: BTreeMap::new(),
        });
        self.evict();
        true
    }

    /// Since when a subscriber that pulled last at `progress` has left this batch unread; none if it is not sealed.
    pub(super) fn unread_since(&self, number: BatchNumber, progress: Micros) -> Option<Micros> {
        if number >= self.next() {
            return None;
        }
        let place = number.checked_sub(self.oldest);
        let batch = place.and_then(|place| self.sealed.get(place as usize));
        Some(batch.map_or(progress, |batch| batch.sealed_at.max(progress)))
    }

    /// The batch that a subscriber with this cursor needs next; none if it is not here any more.
    pub(super) fn place_after(&self, cursor: EventNumber) -> Option<BatchNumber> {
        if cursor >= self.last {
            return Some(self.next());
        }
        let place = self.sealed.partition_point(|batch| batch.last <= cursor);
        let batch = self.sealed.get(place)?;
        (batch.before <= cursor).then(|| self.oldest + place as BatchNumber)
    }

    /// The piece of a batch in the form asked for; none if the batch is not sealed yet or not here any more.
    pub(super) fn piece(
        &mut self,
        number: BatchNumber,
        mut key: PieceKey,
        encoder: &mut Encoder,
    ) -> Option<BatchPiece> {
        let place = number.checked_sub(self.oldest)?;
        let batch = self.sealed.get_mut(place as usize)?;
        key.scope = key.scope.filter(|_| batch.list);
        let last = batch.last;
        if let Some(bytes) = batch.pieces.get(&key) {
            return Some(BatchPiece { bytes: bytes.clone(), last });
        }
        let bytes = encoder.encode(&batch.lines, batch.heartbeat, key);
        encoder.statistics.batches_encoded += 1;
        batch.pieces.insert(key, bytes.clone());
        batch.bytes += bytes.len();
        self.bytes += bytes.len();
        self.evict();
        Some(BatchPiece { bytes, last })
    }

    /// Drops the oldest batches past the bounds; the newest always stays.
    fn evict(&mut self) {
        while self.sealed.len() > 1
            && (self.sealed.len() > self.terms.ring || self.bytes > self.terms.ring_bytes)
        {
            let Some(batch) = self.sealed.pop_front() else { return };
            self.bytes -= batch.bytes;
            self.oldest += 1;
        }
    }

    /// Drops all batches and begins anew with a history whose numbers may be lower.
    pub(super) fn reset(&mut self) {
        self.oldest = self.next();
        self.sealed.clear();
        self.open = Open::default();
        self.bytes = 0;
        self.last = 0;
    }
}
