//! The documents that events have brought, whether or not the log still has those events.
use super::{Document, DocumentEntry, DocumentId, DocumentsEvent};
use crate::event_number::{EventNumber, ListKind};
use std::collections::{BTreeMap, BTreeSet};

/// Documents remembered at most, those withdrawn included; past it the one withdrawn first is forgotten, and without
/// such a one the new document is ignored.
pub const MAX_DOCUMENTS: usize = 8192;

/// Bytes of all documents remembered at most, as counted by [`Document::bytes`]; past it as past [`MAX_DOCUMENTS`].
/// Some 6,000 documents of 300 bytes each. With 1 MiB of stores a snapshot of all still fits the 4 MiB of an event that
/// readers take.
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;

/// A version of a document, and the event that brought it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredDocument {
    /// The version.
    pub document: Document,
    /// The number of the event that brought it, or of a later full list that does not say which one did.
    pub number: EventNumber,
}

/// What a documents event did to a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableChange {
    /// Documents with another version than before, or none any more.
    pub changed: BTreeSet<DocumentId>,
    /// Versions that were ignored at a bound.
    pub ignored: Vec<StoredDocument>,
}

/// The versions of a document that are remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Versions {
    for_all: Option<StoredDocument>,
    /// Came after the one for all.
    staged: Option<StoredDocument>,
}

impl Versions {
    fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.for_all.iter().chain(&self.staged)
    }

    fn bytes(&self) -> usize {
        self.iter().map(|stored| stored.document.bytes()).sum()
    }

    /// Takes in a version: one for all replaces both of before, a staged one the staged one of before.
    fn update(&mut self, stored: StoredDocument) {
        let is_newer = |other: &StoredDocument| other.number > stored.number;
        if self.for_all.as_ref().is_some_and(is_newer) {
            return;
        }
        if stored.document.is_staged() {
            self.staged = self.staged.take().filter(is_newer).or(Some(stored));
        } else {
            let is_staged_after = |other: &StoredDocument| other.number >= stored.number;
            self.staged = self.staged.take().filter(is_staged_after);
            self.for_all = Some(stored);
        }
    }

    /// The event that withdrew the document, if there is nothing else of it.
    fn withdrawn_by(&self) -> Option<EventNumber> {
        let withdrawn = self.for_all.as_ref().filter(|stored| stored.document.content.is_none())?;
        self.staged.is_none().then_some(withdrawn.number)
    }
}

/// Of each document the last version for all gateways and the last staged one after it, by the numbers of the events
/// that brought them: a full list may be ahead of its own number, and the events that follow it change nothing then.
/// An entry costs O(log n) for n documents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DocumentTable {
    /// At most [`MAX_DOCUMENTS`] and [`MAX_DOCUMENT_BYTES`], see there.
    documents: BTreeMap<DocumentId, Versions>,
    /// Those that are withdrawn, by the event that withdrew them.
    withdrawn: BTreeSet<(EventNumber, DocumentId)>,
    bytes: usize,
}

impl DocumentTable {
    /// Takes in the documents of an event.
    pub fn apply(&mut self, number: EventNumber, event: DocumentsEvent) -> TableChange {
        let mut change = TableChange::default();
        if event.kind == ListKind::Full {
            change.changed.extend(self.documents.keys().cloned());
            *self = DocumentTable::default();
        }
        // A version for all replaces a staged one, so it goes first where an event has both.
        let (staged, for_all): (Vec<_>, Vec<_>) =
            event.documents.into_iter().partition(|entry| entry.document.is_staged());
        for DocumentEntry { document, introduced_by } in for_all.into_iter().chain(staged) {
            let stored = StoredDocument { document, number: introduced_by.unwrap_or(number) };
            self.insert(stored, &mut change);
        }
        change
    }

    /// Documents remembered, those withdrawn included.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether no document is remembered.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Bytes of all documents, as counted by [`Document::bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All versions remembered, by document; the one for all gateways before the staged one.
    pub fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.documents.values().flat_map(Versions::iter)
    }

    /// The version of a document for all gateways.
    pub fn for_all(&self, id: &DocumentId) -> Option<&StoredDocument> {
        self.documents.get(id)?.for_all.as_ref()
    }

    /// The version of a document for some gateways.
    pub fn staged(&self, id: &DocumentId) -> Option<&StoredDocument> {
        self.documents.get(id)?.staged.as_ref()
    }

    /// The version of a document that is for this gateway.
    pub fn version_for(&self, id: &DocumentId, gateway: &str, zone: &str) -> Option<&StoredDocument> {
        let staged = self.staged(id).filter(|stored| stored.document.includes(gateway, zone));
        staged.or_else(|| self.for_all(id))
    }

    /// All documents as one event; none if there are none.
    pub fn full_list(&self) -> Option<DocumentsEvent> {
        if self.is_empty() {
            return None;
        }
        let entry = |stored: &StoredDocument| DocumentEntry {
            document: stored.document.clone(),
            introduced_by: Some(stored.number),
        };
        Some(DocumentsEvent { kind: ListKind::Full, documents: self.iter().map(entry).collect() })
    }

    fn insert(&mut self, stored: StoredDocument, change: &mut TableChange) {
        let id = stored.document.id.clone();
        let before = self.documents.get(&id).cloned().unwrap_or_default();
        let mut versions = before.clone();
        versions.update(stored.clone());
        if versions == before {
            return;
        }
        if !self.free_capacity(&id, versions.bytes(), change) {
            change.ignored.push(stored);
            return;
        }
        self.remove(&id);
        self.bytes += versions.bytes();
        if let Some(number) = versions.withdrawn_by() {
            self.withdrawn.insert((number, id.clone()));
        }
        self.documents.insert(id.clone(), versions);
        change.changed.insert(id);
    }

    /// Forgets withdrawn documents until this one has room; returns whether it has.
    fn free_capacity(&mut self, id: &DocumentId, bytes: usize, change: &mut TableChange) -> bool {
        loop {
            let existing = self.documents.get(id);
            let others = self.documents.len() - usize::from(existing.is_some());
            let other_bytes = self.bytes - existing.map_or(0, Versions::bytes);
            if others < MAX_DOCUMENTS && other_bytes + bytes <= MAX_DOCUMENT_BYTES {
                return true;
            }
            let Some((_, oldest)) = self.withdrawn.iter().find(|(_, other)| other != id).cloned() else {
                return false;
            };
            self.remove(&oldest);
            change.changed.insert(oldest);
        }
    }

    fn remove(&mut self, id: &DocumentId) {
        let Some(versions) = self.documents.remove(id) else { return };
        self.bytes -= versions.bytes();
        if let Some(number) = versions.withdrawn_by() {
            self.withdrawn.remove(&(number, id.clone()));
        }
    }
}
