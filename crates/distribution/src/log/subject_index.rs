//! Index of the latest event about each subject.
use crate::event::{EventNumber, Subject};
use std::collections::BTreeMap;

/// The latest event about each subject in an event log. Stores and documents have their own tables because a full list
/// replaces all of them.
#[derive(Debug, Default)]
pub(super) struct SubjectIndex {
    /// Subjects other than stores and documents. Bounded by the number of subjects in the log's range.
    others: BTreeMap<Subject, EventNumber>,
    /// Stores since the last full list. Bounded like `others`.
    stores: BTreeMap<Subject, EventNumber>,
    /// Documents since the last full list. Bounded like `others`.
    documents: BTreeMap<Subject, EventNumber>,
}

impl SubjectIndex {
    /// The number of the latest event about a subject.
    pub(super) fn get(&self, subject: &Subject) -> Option<EventNumber> {
        let table = match subject {
            Subject::Store(_) => &self.stores,
            Subject::Document(_) | Subject::StagedDocument(_) => &self.documents,
            _ => &self.others,
        };
        table.get(subject).copied()
    }

    /// Sets the latest event about a subject.
    pub(super) fn insert(&mut self, subject: Subject, number: EventNumber) {
        self.table(&subject).insert(subject, number);
    }

    /// Removes a subject if the event with this number is the latest about it.
    pub(super) fn remove(&mut self, subject: &Subject, number: EventNumber) {
        let table = self.table(subject);
        if table.get(subject) == Some(&number) {
            table.remove(subject);
        }
    }

    /// Removes a subject and returns the number of the latest event about it.
    pub(super) fn take(&mut self, subject: &Subject) -> Option<EventNumber> {
        self.table(subject).remove(subject)
    }

    /// Removes all stores and returns the number of the latest event about each.
    pub(super) fn take_stores(&mut self) -> Vec<EventNumber> {
        std::mem::take(&mut self.stores).into_values().collect()
    }

    /// Removes all documents and returns the number of the latest event about each.
    pub(super) fn take_documents(&mut self) -> Vec<EventNumber> {
        std::mem::take(&mut self.documents).into_values().collect()
    }

    /// Removes all subjects.
    pub(super) fn clear(&mut self) {
        self.others.clear();
        self.stores.clear();
        self.documents.clear();
    }

    fn table(&mut self, subject: &Subject) -> &mut BTreeMap<Subject, EventNumber> {
        match subject {
            Subject::Store(_) => &mut self.stores,
            Subject::Document(_) | Subject::StagedDocument(_) => &mut self.documents,
            _ => &mut self.others,
        }
    }
}
