//! The ordered, bounded, compacted log of events that a relay holds.
use crate::batch::placeholder;
use crate::event::{Event, EventNumber, Subject};
use crate::stores::{ListEvent, StoreList};
use larchway::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Bytes counted for each event in the log's range beside its text: the slot, the event, its subjects' index.
pub const EVENT_OVERHEAD: usize = 256;

/// Bytes counted for an event that a later one has replaced.
pub const PLACEHOLDER_BYTES: usize = std::mem::size_of::<Slot>();

/// Bounds of an [`EventLog`]; past either the oldest events are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Numbers in the log's range at most, those of replaced events included.
    pub events: usize,
    /// Bytes at most, as counted by [`EventLog::bytes`].
    pub bytes: usize,
}

/// What an append did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The event is the log's last.
    Stored {
        /// Earlier events looked at because they concern the same subjects.
        replaced: usize,
        /// Events evicted at the bound.
        evicted: usize,
    },
    /// The log has this event already, or has evicted it.
    Duplicate,
}

/// Why an event was not appended. The log is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The log has an event with other text at this number: the source tells another history.
    OtherHistory {
        /// The number at which the histories differ.
        number: EventNumber,
    },
    /// Events are missing before this one.
    Gap {
        /// The number that would have come next.
        expected: EventNumber,
    },
}

impl std::fmt::Display for AppendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AppendError::OtherHistory { number } => {
                write!(f, "event {number} differs from the one in the log")
            }
            AppendError::Gap { expected } => write!(f, "events are missing from {expected} on"),
        }
    }
}

impl std::error::Error for AppendError {}

/// Whether a subscriber's history is the log's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryCheck {
    /// The digests are the same.
    Same,
    /// They differ.
    Other,
    /// The log does not know the digest of this event.
    Unknown,
}

/// A number in the log's range.
#[derive(Debug)]
enum Slot {
    /// The event, not replaced yet.
    Current(Box<Current>),
    /// A later event has replaced it.
    Replaced {
        /// None if it was replaced already when it came.
        digest: Option<u64>,
        /// Whether it carried stores, whose text differs between scopes.
        list: bool,
    },
}

#[derive(Debug)]
struct Current {
    event: Event,
    /// Subjects that no later event concerns; at 0 the event is replaced.
    subjects: usize,
}

/// An event in the log, as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Logged<'a> {
    /// The event, not replaced.
    Current(&'a Event),
    /// Replaced by a later one.
    Replaced,
}

/// Where a log's range begins: the event before the first.
#[derive(Debug, Clone, Copy, Default)]
struct Base {
    number: EventNumber,
    digest: Option<u64>,
    /// Whether the digest is that of a snapshot's text, which differs between relays.
    snapshot: bool,
    /// Whether it carried stores.
    list: bool,
}

/// The ordered log. An append costs O(log n) for n events, amortized.
#[derive(Debug)]
pub struct EventLog {
    limits: LogLimits,
    base: Base,
    /// Bounded by `limits`; the oldest is evicted.
    slots: VecDeque<Slot>,
    /// The last event about each subject but single stores; no more entries than subjects in `slots`.
    last_about: BTreeMap<Subject, EventNumber>,
    /// The last event about each single store since the last whole list; bounded as `last_about`.
    last_about_store: BTreeMap<Subject, EventNumber>,
    bytes: usize,
    stores: StoreList,
}

impl EventLog {
    /// An empty log: the next event is number 1.
    pub fn new(limits: LogLimits) -> EventLog {
        EventLog {
            limits,
            base: Base::default(),
            slots: VecDeque::new(),
            last_about: BTreeMap::new(),
            last_about_store: BTreeMap::new(),
            bytes: 0,
            stores: StoreList::default(),
        }
    }

    /// Number of the oldest event in the log's range; one more than [`EventLog::last`] if there is none.
    pub fn first(&self) -> EventNumber {
        self.base.number + 1
    }

    /// Number of the last event.
    pub fn last(&self) -> EventNumber {
        self.base.number + self.slots.len() as EventNumber
    }

    /// Bytes counted: texts, [`EVENT_OVERHEAD`] for each event, [`PLACEHOLDER_BYTES`] for each one replaced.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Numbers in the log's range.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no event is in the log's range.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The list of stores after the last event.
    pub fn stores(&self) -> &StoreList {
        &self.stores
    }

    /// The event of this number, if it is in the log's range.
    pub fn get(&self, number: EventNumber) -> Option<Logged<'_>> {
        Some(match self.slot(number)? {
            Slot::Current(current) => Logged::Current(&current.event),
            Slot::Replaced { .. } => Logged::Replaced,
        })
    }

    /// The event of this number, if it is in the log's range and not replaced.
    pub fn current(&self, number: EventNumber) -> Option<&Event> {
        match self.slot(number)? {
            Slot::Current(current) => Some(&current.event),
            Slot::Replaced { .. } => None,
        }
    }

    /// Whether the event of this number, in the log's range or the last before it, carried stores.
    pub fn is_list(&self, number: EventNumber) -> bool {
        match self.slot(number) {
            Some(Slot::Current(current)) => current.event.is_list(),
            Some(Slot::Replaced { list, .. }) => *list,
            None => number == self.base.number && self.base.list,
        }
    }

    /// The digest of this event's data as the source told it, if the log has seen that.
    pub fn digest(&self, number: EventNumber) -> Option<u64> {
        if number == self.base.number && !self.base.snapshot {
            return self.base.digest;
        }
        match self.slot(number)? {
            Slot::Current(current) => Some(current.event.digest),
            Slot::Replaced { digest, .. } => *digest,
        }
    }

    /// Compares a subscriber's digest of an event with the log's.
    pub fn check_history(&self, number: EventNumber, digest: u64) -> HistoryCheck {
        if number == self.base.number && self.base.snapshot {
            let same = self.base.digest == Some(digest);
            return if same { HistoryCheck::Same } else { HistoryCheck::Unknown };
        }
        match self.digest(number) {
            None => HistoryCheck::Unknown,
            Some(known) if known == digest => HistoryCheck::Same,
            Some(_) => HistoryCheck::Other,
        }
    }

    /// Adds the next event, replaces what it replaces, and evicts the oldest past the bounds.
    pub fn append(&mut self, event: Event) -> Result<Appended, AppendError> {
        let expected = self.last() + 1;
        if event.number > expected {
            return Err(AppendError::Gap { expected });
        }
        if event.number < expected {
            return self.compare(&event);
        }
        let replaced = self.push(event);
        let evicted = self.evict();
        Ok(Appended::Stored { replaced, evicted })
    }

    /// Begins anew after a gap, with the first event that came after it. What was before is out of the log.
    pub fn restart_at(&mut self, event: Event) {
        self.slots.clear();
        self.last_about.clear();
        self.last_about_store.clear();
        self.bytes = 0;
        let list = ListEvent::read(&event.data);
        if let Some(list) = list.filter(|list| list.whole) {
            self.base = Base { number: event.number, digest: Some(event.digest), snapshot: true, list: true };
            self.stores.apply(list);
            return;
        }
        self.base = Base { number: event.number.saturating_sub(1), ..Base::default() };
        self.stores.forget();
        self.push(event);
    }

    fn slot(&self, number: EventNumber) -> Option<&Slot> {
        let place = number.checked_sub(self.first())?;
        self.slots.get(place as usize)
    }

    fn compare(&self, event: &Event) -> Result<Appended, AppendError> {
        let replaced = is_placeholder(event);
        match self.digest(event.number) {
            Some(digest) if !replaced && digest != event.digest => {
                Err(AppendError::OtherHistory { number: event.number })
            }
            _ => Ok(Appended::Duplicate),
        }
    }

    fn push(&mut self, event: Event) -> usize {
        if is_placeholder(&event) {
            self.bytes += PLACEHOLDER_BYTES;
            self.slots.push_back(Slot::Replaced { digest: None, list: false });
            return 0;
        }
        if event.is_list() {
            self.apply_list(&event);
        }
        let number = event.number;
        let subjects = event.subjects.clone();
        self.bytes += cost(&event);
        let count = distinct(&subjects);
        self.slots.push_back(Slot::Current(Box::new(Current { event, subjects: count })));
        subjects.into_iter().map(|subject| self.replace(subject, number)).sum()
    }

    fn apply_list(&mut self, event: &Event) {
        match ListEvent::read(&event.data) {
            Some(list) => self.stores.apply(list),
            None => self.stores.forget(),
        }
    }

    /// Notes the last event about a subject and takes the subject from the one before. Returns the events touched.
    fn replace(&mut self, subject: Subject, number: EventNumber) -> usize {
        let mut touched = 0;
        if subject == Subject::Roster {
            touched += self.replace_store_entries();
        }
        if let Some(&earlier) = self.index(&subject).get(&subject) {
            // A purge that was issued before the one remembered does not cover it.
            if earlier == number || self.issued(earlier) > self.issued(number) {
                return touched;
            }
            self.drop_subject(earlier);
            touched += 1;
        }
        self.index(&subject).insert(subject, number);
        touched
    }

    fn index(&mut self, subject: &Subject) -> &mut BTreeMap<Subject, EventNumber> {
        match subject {
            Subject::Store(_) => &mut self.last_about_store,
            _ => &mut self.last_about,
        }
    }

    /// A whole list replaces all entries before it. Each entry is dropped once for its one append.
    fn replace_store_entries(&mut self) -> usize {
        let entries = std::mem::take(&mut self.last_about_store);
        for earlier in entries.values() {
            self.drop_subject(*earlier);
        }
        entries.len()
    }

    fn issued(&self, number: EventNumber) -> Option<Micros> {
        match self.slot(number)? {
            Slot::Current(current) => current.event.issued,
            Slot::Replaced { .. } => None,
        }
    }

    fn drop_subject(&mut self, number: EventNumber) {
        let Some(place) = number.checked_sub(self.first()) else { return };
        let Some(slot) = self.slots.get_mut(place as usize) else { return };
        let Slot::Current(current) = slot else { return };
        current.subjects -= 1;
        if current.subjects > 0 {
            return;
        }
        self.bytes = self.bytes - cost(&current.event) + PLACEHOLDER_BYTES;
        let list = current.event.is_list();
        *slot = Slot::Replaced { digest: Some(current.event.digest), list };
    }

    /// Evicts the oldest events past the bounds; the last one always stays.
    fn evict(&mut self) -> usize {
        let mut evicted = 0;
        while self.slots.len() > 1
            && (self.slots.len() > self.limits.events || self.bytes > self.limits.bytes)
        {
            self.evict_first();
            evicted += 1;
        }
        evicted
    }

    fn evict_first(&mut self) {
        let number = self.first();
        let list = self.is_list(number);
        let Some(slot) = self.slots.pop_front() else { return };
        let digest = match slot {
            Slot::Replaced { digest, .. } => {
                self.bytes -= PLACEHOLDER_BYTES;
                digest
            }
            Slot::Current(current) => {
                self.bytes -= cost(&current.event);
                self.forget_subjects(&current.event);
                Some(current.event.digest)
            }
        };
        self.base = Base { number, digest, snapshot: false, list };
    }

    fn forget_subjects(&mut self, event: &Event) {
        for subject in &event.subjects {
            let index = self.index(subject);
            if index.get(subject) == Some(&event.number) {
                index.remove(subject);
            }
        }
    }
}

/// Bytes counted for an event.
fn cost(event: &Event) -> usize {
    let names: usize = event.subjects.iter().map(Subject::name_bytes).sum();
    event.data.len() + EVENT_OVERHEAD + names
}

fn distinct(subjects: &[Subject]) -> usize {
    subjects.iter().collect::<std::collections::BTreeSet<_>>().len()
}

/// Whether the event came as the placeholder of one that was replaced further up.
fn is_placeholder(event: &Event) -> bool {
    event.subjects.is_empty() && *event.data == *placeholder(event.number)
}
