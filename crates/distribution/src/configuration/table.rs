//! The table of received documents, independent of whether the log still has their events.
use super::{Document, DocumentEntry, DocumentId, DocumentsEvent};
use crate::event_number::{EventNumber, ListKind};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of documents, including withdrawn ones. Beyond it, the document withdrawn first is removed; if none
/// is withdrawn, the new document is ignored.
pub const MAX_DOCUMENTS: usize = 8192;

/// Maximum size of all documents in bytes, as counted by [`Document::bytes`]; enforced like [`MAX_DOCUMENTS`]. Allows
/// about 6,000 documents of 300 bytes. Together with 1 MiB of stores, a full snapshot fits the 4 MiB limit of an event.
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;

/// A document version and the number of its event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredDocument {
    /// The document version.
    pub document: Document,
    /// Number of the event that introduced the version, or of a later full list that does not state it.
    pub number: EventNumber,
}

/// The effect of a documents event on a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableChange {
    /// Documents whose versions have changed or were removed.
    pub changed: BTreeSet<DocumentId>,
    /// Versions that were ignored because a limit was reached.
    pub ignored: Vec<StoredDocument>,
}

/// The stored versions of a document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Versions {
    for_all: Option<StoredDocument>,
    /// A staged version that is not older than the one for all gateways.
    staged: Option<StoredDocument>,
}

impl Versions {
    fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.for_all.iter().chain(&self.staged)
    }

    fn bytes(&self) -> usize {
        self.iter().map(|stored| stored.document.bytes()).sum()
    }

    /// Adds a version. One for all gateways replaces both earlier versions; a staged one replaces an earlier staged
    /// one.
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

    /// Number of the event that withdrew the document, if there is no staged version.
    fn withdrawn_by(&self) -> Option<EventNumber> {
        let withdrawn = self.for_all.as_ref().filter(|stored| stored.document.content.is_none())?;
        self.staged.is_none().then_some(withdrawn.number)
    }
}

/// For each document, the latest version for all gateways and the latest staged version after it, ordered by the
/// numbers of their events. A full list may contain versions of events after its own number; these events change
/// nothing when they follow. An entry costs O(log n) for n documents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DocumentTable {
    /// Bounded by [`MAX_DOCUMENTS`] and [`MAX_DOCUMENT_BYTES`].
    documents: BTreeMap<DocumentId, Versions>,
    /// Withdrawn documents, by the number of the event that withdrew them.
    withdrawn: BTreeSet<(EventNumber, DocumentId)>,
    bytes: usize,
}

impl DocumentTable {
    /// Applies the documents of an event.
    pub fn apply(&mut self, number: EventNumber, event: DocumentsEvent) -> TableChange {
        let mut change = TableChange::default();
        if event.kind == ListKind::Full {
            change.changed.extend(self.documents.keys().cloned());
            *self = DocumentTable::default();
        }
        // A version for all gateways replaces a staged one, so it is applied first if an event has both.
        let (staged, for_all): (Vec<_>, Vec<_>) =
            event.documents.into_iter().partition(|entry| entry.document.is_staged());
        for DocumentEntry { document, introduced_by } in for_all.into_iter().chain(staged) {
            let stored = StoredDocument { document, number: introduced_by.unwrap_or(number) };
            self.insert(stored, &mut change);
        }
        change
    }

    /// Number of documents, including withdrawn ones.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether the table has no documents.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Bytes of all documents, as counted by [`Document::bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All versions, ordered by document; the version for all gateways comes before the staged one.
    pub fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.documents.values().flat_map(Versions::iter)
    }

    /// The version of a document for all gateways.
    pub fn for_all(&self, id: &DocumentId) -> Option<&StoredDocument> {
        self.documents.get(id)?.for_all.as_ref()
    }

    /// The staged version of a document.
    pub fn staged(&self, id: &DocumentId) -> Option<&StoredDocument> {
        self.documents.get(id)?.staged.as_ref()
    }

    /// The version of a document that this gateway should apply.
    pub fn version_for(&self, id: &DocumentId, gateway: &str, zone: &str) -> Option<&StoredDocument> {
        let staged = self.staged(id).filter(|stored| stored.document.includes(gateway, zone));
        staged.or_else(|| self.for_all(id))
    }

    /// All documents as one full list event; `None` if there are none.
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

    /// Removes withdrawn documents until this one fits the limits. Returns whether it does.
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
