//! Events on their way to the subscribers that are caught up: the batch that gathers, and those that are sealed.
use super::encoder::{Encoder, OutgoingEvent, PieceFormat};
use crate::event::EventNumber;
use larchway::MonotonicTime;
use larchway_unix_time::UnixMicros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The number of a batch among all batches of a relay.
pub(super) type BatchNumber = u64;

/// A sealed batch, encoded once a form on first use.
#[derive(Debug)]
struct Batch {
    /// The last event before this batch, and the last in it.
    last_before: EventNumber,
    last: EventNumber,
    events: Vec<OutgoingEvent>,
    heartbeat: Option<UnixMicros>,
    sealed_at: MonotonicTime,
    /// Whether it holds a list event, whose text differs between scopes.
    contains_list: bool,
    /// Bytes of the texts and the pieces.
    bytes: usize,
    /// At most two a scope.
    pieces: BTreeMap<PieceFormat, Arc<[u8]>>,
}

/// The batch that gathers.
#[derive(Debug, Default)]
struct OpenBatch {
    events: Vec<OutgoingEvent>,
    heartbeat: Option<UnixMicros>,
    bytes: usize,
    seal_at: Option<MonotonicTime>,
}

/// Bounds of a [`BatchRing`]; see the fields of the same names in `RelaySettings`.
#[derive(Debug, Clone, Copy)]
pub(super) struct RingLimits {
    pub batch_interval: Duration,
    pub batch_bytes: usize,
    pub max_batches: usize,
    pub ring_bytes: usize,
}

/// A bounded ring of sealed batches. All subscribers share one encoded piece of a batch.
#[derive(Debug)]
pub(super) struct BatchRing {
    limits: RingLimits,
    open: OpenBatch,
    /// At most `RingLimits::max_batches` batches and `ring_bytes` bytes; the oldest is dropped.
    sealed: VecDeque<Batch>,
    oldest: BatchNumber,
    bytes: usize,
    last: EventNumber,
}

/// Whether the batch that gathers has just been sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchState {
    /// It gathers, or there is nothing in it.
    Open,
    /// It is sealed: there is something to send.
    Sealed,
}

/// A piece of a batch, and how far it takes a subscriber.
#[derive(Debug)]
pub(super) struct BatchPiece {
    pub bytes: Arc<[u8]>,
    pub last: EventNumber,
}

impl BatchRing {
    pub(super) fn new(limits: RingLimits) -> BatchRing {
        BatchRing {
            limits,
            open: OpenBatch::default(),
            sealed: VecDeque::new(),
            oldest: 0,
            bytes: 0,
            last: 0,
        }
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
    pub(super) fn seal_at(&self) -> Option<MonotonicTime> {
        self.open.seal_at
    }

    /// Adds an event to the open batch, which is sealed once it is full.
    pub(super) fn add(&mut self, now: MonotonicTime, event: OutgoingEvent) -> BatchState {
        self.open.seal_at.get_or_insert(now + self.limits.batch_interval);
        self.open.bytes += event.bytes();
        self.open.events.push(event);
        match self.open.bytes >= self.limits.batch_bytes {
            true => self.seal(now),
            false => BatchState::Open,
        }
    }

    /// Adds a heartbeat behind the events of the open batch.
    pub(super) fn add_heartbeat(&mut self, now: MonotonicTime, source_alive_at: UnixMicros) {
        self.open.seal_at.get_or_insert(now + self.limits.batch_interval);
        self.open.heartbeat = Some(source_alive_at);
    }

    /// Seals the open batch, unless there is nothing in it.
    pub(super) fn seal(&mut self, now: MonotonicTime) -> BatchState {
        let open = std::mem::take(&mut self.open);
        if open.seal_at.is_none() {
            return BatchState::Open;
        }
        let last_before = self.last;
        self.last = open.events.last().map_or(last_before, |event| event.number);
        self.bytes += open.bytes;
        self.sealed.push_back(Batch {
            last_before,
            last: self.last,
            contains_list: open.events.iter().any(|event| event.has_stores),
            events: open.events,
            heartbeat: open.heartbeat,
            sealed_at: now,
            bytes: open.bytes,
            pieces: BTreeMap::new(),
        });
        self.evict();
        BatchState::Sealed
    }

    /// Since when a subscriber that pulled last at `progress` has left this batch unread; none if it is not sealed.
    pub(super) fn unread_since(&self, number: BatchNumber, progress: MonotonicTime) -> Option<MonotonicTime> {
        if number >= self.next() {
            return None;
        }
        let index = number.checked_sub(self.oldest);
        let batch = index.and_then(|index| self.sealed.get(index as usize));
        Some(batch.map_or(progress, |batch| batch.sealed_at.max(progress)))
    }

    /// The batch that a subscriber with this cursor needs next; none if it is not here any more.
    pub(super) fn batch_after(&self, cursor: EventNumber) -> Option<BatchNumber> {
        if cursor >= self.last {
            return Some(self.next());
        }
        let index = self.sealed.partition_point(|batch| batch.last <= cursor);
        let batch = self.sealed.get(index)?;
        (batch.last_before <= cursor).then(|| self.oldest + index as BatchNumber)
    }

    /// The piece of a batch in the form asked for; none if the batch is not sealed yet or not here any more.
    pub(super) fn piece(
        &mut self,
        number: BatchNumber,
        mut format: PieceFormat,
        encoder: &mut Encoder,
    ) -> Option<BatchPiece> {
        let index = number.checked_sub(self.oldest)?;
        let batch = self.sealed.get_mut(index as usize)?;
        format.scope = format.scope.filter(|_| batch.contains_list);
        let last = batch.last;
        if let Some(bytes) = batch.pieces.get(&format) {
            return Some(BatchPiece { bytes: bytes.clone(), last });
        }
        let bytes = encoder.encode(&batch.events, batch.heartbeat, format);
        encoder.statistics.batches_encoded += 1;
        batch.pieces.insert(format, bytes.clone());
        batch.bytes += bytes.len();
        self.bytes += bytes.len();
        self.evict();
        Some(BatchPiece { bytes, last })
    }

    /// Drops the oldest batches past the bounds; the newest always stays.
    fn evict(&mut self) {
        while self.sealed.len() > 1
            && (self.sealed.len() > self.limits.max_batches || self.bytes > self.limits.ring_bytes)
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
        self.open = OpenBatch::default();
        self.bytes = 0;
        self.last = 0;
    }
}
