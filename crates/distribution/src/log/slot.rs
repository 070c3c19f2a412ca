//! The slots of an event log: one per event number in its range, and the base event before the range.
use crate::batch::placeholder;
use crate::event::{Event, EventNumber, Subject};
use std::collections::BTreeSet;

/// Bytes counted per event in addition to its text and names: the slot, the event and its index entries.
pub const EVENT_OVERHEAD: usize = 256;

/// Bytes counted for a replaced event.
pub const PLACEHOLDER_BYTES: usize = std::mem::size_of::<Slot>();

/// The state of an event number in the log's range.
#[derive(Debug)]
pub(super) enum Slot {
    /// The event has not been replaced.
    Current(Box<CurrentEvent>),
    /// A later event has replaced it.
    Replaced {
        /// Digest of the event's data; absent if the event was received as a placeholder.
        digest: Option<u64>,
        /// Whether the event carried stores. Their text, and so the digest, differs between scopes.
        has_stores: bool,
    },
}

/// An event that has not been replaced.
#[derive(Debug)]
pub(super) struct CurrentEvent {
    pub event: Event,
    /// Number of subjects without a later event. The event is replaced when it reaches 0.
    pub subject_count: usize,
}

impl Slot {
    /// Creates the slot of a newly received event.
    pub(super) fn new(event: Event) -> Slot {
        if is_placeholder(&event) {
            return Slot::Replaced { digest: None, has_stores: false };
        }
        let subject_count = event.subjects.iter().collect::<BTreeSet<_>>().len();
        Slot::Current(Box::new(CurrentEvent { event, subject_count }))
    }

    /// Bytes counted for the event and its slot.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Slot::Current(current) => event_bytes(&current.event),
            Slot::Replaced { .. } => PLACEHOLDER_BYTES,
        }
    }

    /// The digest of the event's data; absent if the event was received as a placeholder.
    pub(super) fn digest(&self) -> Option<u64> {
        match self {
            Slot::Current(current) => Some(current.event.digest),
            Slot::Replaced { digest, .. } => *digest,
        }
    }

    /// Whether the event carried stores.
    pub(super) fn has_stores(&self) -> bool {
        match self {
            Slot::Current(current) => current.event.has_stores(),
            Slot::Replaced { has_stores, .. } => *has_stores,
        }
    }

    /// Removes one subject because a later event concerns it. The event is replaced when its last subject is removed.
    /// Returns the number of bytes freed.
    pub(super) fn drop_subject(&mut self) -> usize {
        let Slot::Current(current) = self else { return 0 };
        current.subject_count -= 1;
        if current.subject_count > 0 {
            return 0;
        }
        let freed = event_bytes(&current.event) - PLACEHOLDER_BYTES;
        *self = Slot::Replaced { digest: self.digest(), has_stores: self.has_stores() };
        freed
    }
}

/// The last event before the log's range.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Base {
    pub number: EventNumber,
    pub digest: BaseDigest,
    /// Whether the event carried stores.
    pub has_stores: bool,
}

/// The known digest of the last event before the log's range.
#[derive(Debug, Clone, Copy, Default)]
pub(super) enum BaseDigest {
    /// The digest is unknown.
    #[default]
    Unknown,
    /// The digest of the event's data.
    Event(u64),
    /// The digest of a snapshot's data. It differs between relays, so a mismatch does not mean a different history.
    Snapshot(u64),
}

/// Bytes counted for an event that has not been replaced.
fn event_bytes(event: &Event) -> usize {
    let names: usize = event.subjects.iter().map(Subject::name_bytes).sum();
    event.data.len() + EVENT_OVERHEAD + names
}

/// Whether the event is a placeholder for one that was already replaced upstream.
pub(super) fn is_placeholder(event: &Event) -> bool {
    event.subjects.is_empty() && *event.data == *placeholder(event.number)
}
