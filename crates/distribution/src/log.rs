//! The ordered, bounded and compacted event log of a relay.
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

/// Limits of an [`EventLog`]. The oldest events are evicted when either is exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Maximum number of events in the log's range, including replaced ones.
    pub events: usize,
    /// Maximum size in bytes, as counted by [`EventLog::bytes`].
    pub bytes: usize,
}

/// An ordered event log. An append costs amortized O(log n) for n events.
#[derive(Debug)]
pub struct EventLog {
    limits: LogLimits,
    base: Base,
    /// One slot per event number. Bounded by `limits`; the oldest slots are evicted.
    slots: VecDeque<Slot>,
    subjects: SubjectIndex,
    bytes: usize,
    stores: StoreList,
    documents: DocumentTable,
}

impl EventLog {
    /// Creates an empty log, whose next event is number 1.
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

    /// Number of the oldest event in the log's range; one more than [`EventLog::last`] if the range is empty.
    pub fn first(&self) -> EventNumber {
        self.base.number + 1
    }

    /// Number of the last event.
    pub fn last(&self) -> EventNumber {
        self.base.number + self.slots.len() as EventNumber
    }

    /// Counted size in bytes: text, names and [`EVENT_OVERHEAD`] per event, [`PLACEHOLDER_BYTES`] per replaced event.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of events in the log's range, including replaced ones.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the log's range is empty.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The store list as of the last event.
    pub fn stores(&self) -> &StoreList {
        &self.stores
    }

    /// The documents as of the last event, including those whose events are no longer in the log's range.
    pub fn documents(&self) -> &DocumentTable {
        &self.documents
    }

    /// Serializes the stores that pass `filter` and all documents as one event. Returns `None` while the store list is
    /// incomplete.
    pub fn snapshot(&self, number: EventNumber, filter: impl Fn(&StoreEntry) -> bool) -> Option<String> {
        let documents = self.documents.full_list().map(|event| event.json());
        self.stores.snapshot(number, filter, documents.as_deref())
    }

    /// The event with this number, if it is in the log's range.
    pub fn get(&self, number: EventNumber) -> Option<LogEntry<'_>> {
        Some(match self.slot(number)? {
            Slot::Current(current) => LogEntry::Current(&current.event),
            Slot::Replaced { .. } => LogEntry::Replaced,
        })
    }

    /// The event with this number, if it is in the log's range and has not been replaced.
    pub fn current(&self, number: EventNumber) -> Option<&Event> {
        match self.slot(number)? {
            Slot::Current(current) => Some(&current.event),
            Slot::Replaced { .. } => None,
        }
    }

    /// Whether the event with this number carried stores. Known for the log's range and for the event before it.
    pub fn has_stores(&self, number: EventNumber) -> bool {
        match self.slot(number) {
            Some(slot) => slot.has_stores(),
            None => number == self.base.number && self.base.has_stores,
        }
    }

    /// The digest of this event's data as sent by the source, if known.
    pub fn digest(&self, number: EventNumber) -> Option<u64> {
        match self.base.digest {
            BaseDigest::Event(digest) if number == self.base.number => Some(digest),
            _ => self.slot(number)?.digest(),
        }
    }

    /// Compares a subscriber's digest of an event with the log's digest.
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

    /// Appends the next event, marks the events it replaces, and evicts the oldest events beyond the limits.
    ///
    /// # Errors
    ///
    /// Fails if events before this one are missing, or if the log has a different event with this number.
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

    /// Restarts the log after a gap with the first event that followed it, and drops all earlier events.
    pub fn restart_at(&mut self, event: Event) {
        self.slots.clear();
        self.subjects.clear();
        self.bytes = 0;
        // Without a full list, the documents from before the gap are dropped, as on gateways.
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

    /// Adds an event at the end. Returns the number of earlier events touched.
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

    /// Records the latest event about a subject and removes the subject from the previous one. Returns the number of
    /// earlier events touched.
    fn replace(&mut self, subject: Subject, number: EventNumber) -> usize {
        let mut touched = self.replace_narrower(&subject);
        if let Some(earlier) = self.subjects.get(&subject) {
            // A purge that was issued before the recorded one does not replace it.
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

    /// Drops the narrower subjects that this subject includes: a full list includes all earlier entries, a document
    /// version for all gateways includes the staged one. Each entry is dropped once, so the amortized cost is O(log n).
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

    /// Evicts the oldest events beyond the limits but always keeps the last event. Returns the number evicted.
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
