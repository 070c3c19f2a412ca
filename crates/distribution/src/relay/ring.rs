//! Events for subscribers that are caught up: the open batch and the ring of sealed batches.
use super::encoder::{Encoder, OutgoingEvent, PieceFormat};
use crate::event::EventNumber;
use larchway::MonotonicTime;
use larchway_unix_time::UnixMicros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The sequence number of a batch within a relay.
pub(super) type BatchNumber = u64;

/// A sealed batch. It is encoded once per format, on first use.
#[derive(Debug)]
struct Batch {
    /// The last event before this batch, and the last in it.
    last_before: EventNumber,
    last: EventNumber,
    events: Vec<OutgoingEvent>,
    heartbeat: Option<UnixMicros>,
    sealed_at: MonotonicTime,
    /// Whether the batch contains a list event, whose text differs between scopes.
    contains_list: bool,
    /// Bytes of the event texts and of the encoded pieces.
    bytes: usize,
    /// Encoded pieces; at most two per scope.
    pieces: BTreeMap<PieceFormat, Arc<[u8]>>,
}

/// The batch to which events are added.
#[derive(Debug, Default)]
struct OpenBatch {
    events: Vec<OutgoingEvent>,
    heartbeat: Option<UnixMicros>,
    bytes: usize,
    seal_at: Option<MonotonicTime>,
}

/// Limits of a [`BatchRing`]. `RelaySettings` describes the fields under the same names.
#[derive(Debug, Clone, Copy)]
pub(super) struct RingLimits {
    pub batch_interval: Duration,
    pub batch_bytes: usize,
    pub max_batches: usize,
    pub ring_bytes: usize,
}

/// A bounded ring of sealed batches. Subscribers with the same format share the encoded piece of a batch.
#[derive(Debug)]
pub(super) struct BatchRing {
    limits: RingLimits,
    open: OpenBatch,
    /// At most `RingLimits::max_batches` batches and `ring_bytes` bytes; the oldest are dropped.
    sealed: VecDeque<Batch>,
    oldest: BatchNumber,
    bytes: usize,
    last: EventNumber,
}

/// Whether an operation has sealed the open batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchState {
    /// The batch is still open or empty.
    Open,
    /// The batch was sealed and can be sent.
    Sealed,
}

/// An encoded batch, and the subscriber's cursor after it.
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

    /// Number of the last event in a sealed batch.
    pub(super) fn last(&self) -> EventNumber {
        self.last
    }

    /// Number of the oldest batch in the ring, or of the next one if the ring is empty.
    pub(super) fn oldest(&self) -> BatchNumber {
        self.oldest
    }

    /// Number of the batch that will be sealed next.
    pub(super) fn next(&self) -> BatchNumber {
        self.oldest + self.sealed.len() as BatchNumber
    }

    /// Bytes of all sealed batches and their encoded pieces.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the open batch is to be sealed.
    pub(super) fn seal_at(&self) -> Option<MonotonicTime> {
        self.open.seal_at
    }

    /// Adds an event to the open batch and seals the batch if it is full.
    pub(super) fn add(&mut self, now: MonotonicTime, event: OutgoingEvent) -> BatchState {
        self.open.seal_at.get_or_insert(now + self.limits.batch_interval);
        self.open.bytes += event.bytes();
        self.open.events.push(event);
        match self.open.bytes >= self.limits.batch_bytes {
            true => self.seal(now),
            false => BatchState::Open,
        }
    }

    /// Sets the heartbeat that is sent after the events of the open batch.
    pub(super) fn add_heartbeat(&mut self, now: MonotonicTime, source_alive_at: UnixMicros) {
        self.open.seal_at.get_or_insert(now + self.limits.batch_interval);
        self.open.heartbeat = Some(source_alive_at);
    }

    /// Seals the open batch unless it is empty.
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

    /// Time since which a subscriber that last pulled at `progress` has left this batch unread; `None` if the batch is
    /// not sealed yet.
    pub(super) fn unread_since(&self, number: BatchNumber, progress: MonotonicTime) -> Option<MonotonicTime> {
        if number >= self.next() {
            return None;
        }
        let index = number.checked_sub(self.oldest);
        let batch = index.and_then(|index| self.sealed.get(index as usize));
        Some(batch.map_or(progress, |batch| batch.sealed_at.max(progress)))
    }

    /// The batch that a subscriber with this cursor needs next; `None` if it is no longer in the ring.
    pub(super) fn batch_after(&self, cursor: EventNumber) -> Option<BatchNumber> {
        if cursor >= self.last {
            return Some(self.next());
        }
        let index = self.sealed.partition_point(|batch| batch.last <= cursor);
        let batch = self.sealed.get(index)?;
        (batch.last_before <= cursor).then(|| self.oldest + index as BatchNumber)
    }

    /// Returns a batch in this format; `None` if the batch is not sealed yet or no longer in the ring.
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

    /// Drops the oldest batches beyond the limits but always keeps the newest.
    fn evict(&mut self) {
        while self.sealed.len() > 1
            && (self.sealed.len() > self.limits.max_batches || self.bytes > self.limits.ring_bytes)
        {
            let Some(batch) = self.sealed.pop_front() else { return };
            self.bytes -= batch.bytes;
            self.oldest += 1;
        }
    }

    /// Drops all batches and restarts for a history whose event numbers may be lower.
    pub(super) fn reset(&mut self) {
        self.oldest = self.next();
        self.sealed.clear();
        self.open = OpenBatch::default();
        self.bytes = 0;
        self.last = 0;
    }
}
