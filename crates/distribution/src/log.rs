//! The ordered, bounded, compacted log of events that a relay holds.
mod results;
mod slot;
mod subject_index;

pub use results::{AppendError, Appended, HistoryCheck, LogEntry};
pub use slot::{EVENT_OVERHEAD, PLACEHOLDER_BYTES};

use crate::configuration::{DocumentTable, DocumentsEvent};
use crate::event::{Event, EventNumber, ListKind, Subject};
use crate::stores::{ListEvent, StoreEntry, StoreList};
use larchway_unix_time::UnixMicros;
use slot::{is_placeholder, Base, BaseDigest, Slot};
use std::collections::VecDeque;
use subject_index::SubjectIndex;

/// Bounds of an [`EventLog`]; past either the oldest events are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Numbers in the log's range at most, those of replaced events included.
    pub events: usize,
    /// Bytes at most, as counted by [`EventLog::bytes`].
    pub bytes: usize,
}

/// The ordered log. An append costs O(log n) for n events, amortized.
#[derive(Debug)]
pub struct EventLog {
    limits: LogLimits,
    base: Base,
    /// Bounded by `limits`; the oldest is evicted.
    slots: VecDeque<Slot>,
    subjects: SubjectIndex,
    bytes: usize,
    stores: StoreList,
    documents: DocumentTable,
}

impl EventLog {
    /// An empty log: the next event is number 1.
    pub fn new(limits: LogLimits) -> EventLog {
        EventLog {
            limits,
            base: Base::default(),
            slots: VecDeque::new(),
            subjects: SubjectIndex::default(),
            bytes: 0,
            stores: StoreList::default(),
            documents: DocumentTable::default(),
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

    /// The documents after the last event, those included whose events are not in the log's range any more.
    pub fn documents(&self) -> &DocumentTable {
        &self.documents
    }

    /// The full list of the stores that pass `filter`, and all documents, as one event; none while the list is not
    /// complete.
    pub fn snapshot(&self, number: EventNumber, filter: impl Fn(&StoreEntry) -> bool) -> Option<String> {
        let documents = self.documents.full_list().map(|event| event.json());
        self.stores.snapshot(number, filter, documents.as_deref())
    }

    /// The event of this number, if it is in the log's range.
    pub fn get(&self, number: EventNumber) -> Option<LogEntry<'_>> {
        Some(match self.slot(number)? {
            Slot::Current(current) => LogEntry::Current(&current.event),
            Slot::Replaced { .. } => LogEntry::Replaced,
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
    pub fn has_stores(&self, number: EventNumber) -> bool {
        match self.slot(number) {
            Some(slot) => slot.has_stores(),
            None => number == self.base.number && self.base.has_stores,
        }
    }

    /// The digest of this event's data as the source sent it, if the log has seen that.
    pub fn digest(&self, number: EventNumber) -> Option<u64> {
        match self.base.digest {
            BaseDigest::Event(digest) if number == self.base.number => Some(digest),
            _ => self.slot(number)?.digest(),
        }
    }

    /// Compares a subscriber's digest of an event with the log's.
    pub fn check_history(&self, number: EventNumber, digest: u64) -> HistoryCheck {
        match (self.base.digest, self.digest(number)) {
            (BaseDigest::Snapshot(stored), _) if number == self.base.number && stored == digest => {
                HistoryCheck::Same
            }
            (_, None) => HistoryCheck::Unknown,
            (_, Some(stored)) if stored == digest => HistoryCheck::Same,
            (_, Some(_)) => HistoryCheck::Other,
        }
    }

    /// Adds the next event, replaces what it replaces, and evicts the oldest past the bounds.
    ///
    /// # Errors
    ///
    /// Fails if events are missing before this one, or if it differs from the one of its number in the log.
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

    /// Starts anew after a gap, with the first event that came after it. What was before is out of the log.
    pub fn restart_at(&mut self, event: Event) {
        self.slots.clear();
        self.subjects.clear();
        self.bytes = 0;
        // Without a full list there are no documents before this event: a gateway takes it so as well.
        self.documents = DocumentTable::default();
        let list = ListEvent::read(&event.data);
        if let Some(list) = list.filter(|list| list.kind == ListKind::Full) {
            let digest = BaseDigest::Snapshot(event.digest);
            self.base = Base { number: event.number, digest, has_stores: true };
            self.stores.apply(list);
            self.apply_documents(&event);
            return;
        }
        self.base = Base { number: event.number.saturating_sub(1), ..Base::default() };
        self.stores.clear();
        self.push(event);
    }

    fn index_of(&self, number: EventNumber) -> Option<usize> {
        number.checked_sub(self.first()).map(|index| index as usize)
    }

    fn slot(&self, number: EventNumber) -> Option<&Slot> {
        self.slots.get(self.index_of(number)?)
    }

    fn compare(&self, event: &Event) -> Result<Appended, AppendError> {
        let is_placeholder = is_placeholder(event);
        match self.digest(event.number) {
            Some(digest) if !is_placeholder && digest != event.digest => {
                Err(AppendError::OtherHistory { number: event.number })
            }
            _ => Ok(Appended::Duplicate),
        }
    }

    /// Adds an event as the last one. Returns the earlier events looked at.
    fn push(&mut self, event: Event) -> usize {
        if event.has_stores() {
            self.apply_list(&event);
        }
        self.apply_documents(&event);
        let number = event.number;
        let subjects = event.subjects.clone();
        let slot = Slot::new(event);
        self.bytes += slot.bytes();
        self.slots.push_back(slot);
        subjects.into_iter().map(|subject| self.replace(subject, number)).sum()
    }

    fn apply_list(&mut self, event: &Event) {
        match ListEvent::read(&event.data) {
            Some(list) => self.stores.apply(list),
            None => self.stores.clear(),
        }
    }

    fn apply_documents(&mut self, event: &Event) {
        if !event.has_documents() {
            return;
        }
        if let Ok(Some(documents)) = DocumentsEvent::read(&event.data) {
            self.documents.apply(event.number, documents);
        }
    }

    /// Records the last event about a subject and takes the subject from the one before. Returns the events touched.
    fn replace(&mut self, subject: Subject, number: EventNumber) -> usize {
        let mut touched = self.replace_narrower(&subject);
        if let Some(earlier) = self.subjects.get(&subject) {
            // A purge that was issued before the one recorded does not cover it.
            let is_covered = !subject.is_purge() || self.issued(earlier) <= self.issued(number);
            if earlier == number || !is_covered {
                return touched;
            }
            self.drop_subject(earlier);
            touched += 1;
        }
        self.subjects.insert(subject, number);
        touched
    }

    /// Replaces the entries that a subject covers beside itself: a full list all before it, a document's version for
    /// all gateways the staged one. Each entry is dropped once for its one append.
    fn replace_narrower(&mut self, subject: &Subject) -> usize {
        let entries = match subject {
            Subject::StoreList => self.subjects.take_stores(),
            Subject::DocumentList => self.subjects.take_documents(),
            Subject::Document(id) => {
                let staged = Subject::StagedDocument(id.clone());
                self.subjects.take(&staged).into_iter().collect()
            }
            _ => Vec::new(),
        };
        for earlier in &entries {
            self.drop_subject(*earlier);
        }
        entries.len()
    }

    fn issued(&self, number: EventNumber) -> Option<UnixMicros> {
        self.current(number).and_then(|event| event.issued)
    }

    fn drop_subject(&mut self, number: EventNumber) {
        let Some(index) = self.index_of(number) else { return };
        let Some(slot) = self.slots.get_mut(index) else { return };
        self.bytes -= slot.drop_subject();
    }

    /// Evicts the oldest events past the bounds; the last one always stays. Returns how many.
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
        let Some(slot) = self.slots.pop_front() else { return };
        self.bytes -= slot.bytes();
        let digest = slot.digest().map_or(BaseDigest::Unknown, BaseDigest::Event);
        self.base = Base { number, digest, has_stores: slot.has_stores() };
        if let Slot::Current(current) = slot {
            let subjects = &current.event.subjects;
            subjects.iter().for_each(|subject| self.subjects.remove(subject, number));
        }
    }
}
