//! The slots of an event log: one for each event number in its range, and the event before the first.
use crate::batch::placeholder;
use crate::event::{Event, EventNumber, Subject};
use std::collections::BTreeSet;

/// Bytes counted for each event in the log's range beside its text: the slot, the event, its subjects' index.
pub const EVENT_OVERHEAD: usize = 256;

/// Bytes counted for an event that a later one has replaced.
pub const PLACEHOLDER_BYTES: usize = std::mem::size_of::<Slot>();

/// An event number in the log's range.
#[derive(Debug)]
pub(super) enum Slot {
    /// The event, not replaced yet.
    Current(Box<CurrentEvent>),
    /// A later event has replaced it.
    Replaced {
        /// None if it was replaced already when it came.
        digest: Option<u64>,
        /// Whether it carried stores, whose text differs between scopes.
        has_stores: bool,
    },
}

/// An event that no later one has replaced.
#[derive(Debug)]
pub(super) struct CurrentEvent {
    pub event: Event,
    /// Subjects that no later event concerns; at 0 the event is replaced.
    pub subject_count: usize,
}

impl Slot {
    /// The slot of an event that has just come.
    pub(super) fn new(event: Event) -> Slot {
        if is_placeholder(&event) {
            return Slot::Replaced { digest: None, has_stores: false };
        }
        let subject_count = event.subjects.iter().collect::<BTreeSet<_>>().len();
        Slot::Current(Box::new(CurrentEvent { event, subject_count }))
    }

    /// Bytes counted for the slot.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Slot::Current(current) => event_bytes(&current.event),
            Slot::Replaced { .. } => PLACEHOLDER_BYTES,
        }
    }

    /// The digest of the event's data; none if it came as a placeholder.
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

    /// Takes one subject from the event, which a later event concerns; without its last one it is replaced. Returns the
    /// bytes freed.
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

/// The event before the log's range.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Base {
    pub number: EventNumber,
    pub digest: BaseDigest,
    /// Whether it carried stores.
    pub has_stores: bool,
}

/// What is known of the data of the event before the log's range.
#[derive(Debug, Clone, Copy, Default)]
pub(super) enum BaseDigest {
    /// Nothing.
    #[default]
    Unknown,
    /// The digest of the event's data.
    Event(u64),
    /// The digest of a snapshot's data, which differs between relays.
    Snapshot(u64),
}

/// Bytes counted for an event.
fn event_bytes(event: &Event) -> usize {
    let names: usize = event.subjects.iter().map(Subject::name_bytes).sum();
    event.data.len() + EVENT_OVERHEAD + names
}

/// Whether the event came as the placeholder of one that was replaced further up.
pub(super) fn is_placeholder(event: &Event) -> bool {
    event.subjects.is_empty() && *event.data == *placeholder(event.number)
}
