//! The documents of one gateway: received versions, versions in force, and rejected versions.
use super::{
    Document, DocumentId, DocumentTable, DocumentVersion, DocumentsEvent, StoredDocument, TableChange,
};
use crate::event_number::{EventNumber, ListKind};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of remembered versions that the table ignored at its limit. Beyond it, only a flag records that there
/// were more.
const MAX_IGNORED: usize = 64;

/// Rejection reason of a version that the table ignored at its limit.
const IGNORED_REASON: &str = "documents: too many documents or bytes of them";

/// A change of the version in force of one document.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentChange {
    /// Identity of the document.
    pub id: DocumentId,
    /// The new version; 0.0 for a document that is no longer in the full list.
    pub version: DocumentVersion,
    /// The document to put in force; `None` to put the file's value in force.
    pub document: Option<Document>,
    /// Number of the version's event. Changes of one event are accepted or rejected together.
    pub number: EventNumber,
}

/// Changes to be tried together. [`GatewayDocuments::documents_with`] returns the resulting set of documents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    changes: Vec<DocumentChange>,
}

impl Candidate {
    /// The changes in order of document.
    pub fn changes(&self) -> &[DocumentChange] {
        &self.changes
    }
}

/// A document version that the gateway cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Rejection {
    /// Identity of the document.
    pub id: DocumentId,
    /// The rejected version.
    pub version: DocumentVersion,
    /// The reason, naming the key.
    pub reason: String,
    /// Number of the version's event.
    pub number: EventNumber,
}

/// The documents of one gateway. Each [`Candidate`] must be accepted or rejected before the gateway reports a position
/// at or past its event. Until then the previous versions stay in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GatewayDocuments {
    name: String,
    zone: String,
    /// The received versions. [`DocumentTable`] states the limits.
    table: DocumentTable,
    /// Documents in force: those of the table, and those missing from a full list that could not be applied.
    in_force: BTreeMap<DocumentId, Document>,
    /// Documents whose wanted version is neither in force nor rejected.
    unsettled: BTreeSet<DocumentId>,
    /// Rejections of wanted versions, for documents of the table or just removed from it.
    rejected: BTreeMap<DocumentId, Rejection>,
    /// Versions that the table ignored at its limit; at most [`MAX_IGNORED`].
    ignored: BTreeMap<DocumentId, Rejection>,
    /// Whether further versions were ignored beyond [`MAX_IGNORED`], or documents could not be read.
    ignored_omitted: bool,
    /// Number of the last event with documents.
    last_documents_event: EventNumber,
}

impl GatewayDocuments {
    /// Creates the state of the gateway with this name and zone, without documents.
    pub fn new(name: impl Into<String>, zone: impl Into<String>) -> GatewayDocuments {
        GatewayDocuments {
            name: name.into(),
            zone: zone.into(),
            table: DocumentTable::default(),
            in_force: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            rejected: BTreeMap::new(),
            ignored: BTreeMap::new(),
            ignored_omitted: false,
            last_documents_event: 0,
        }
    }

    /// Handles the documents of the next event. Returns the changes to try, if any.
    pub fn handle(&mut self, number: EventNumber, event: DocumentsEvent) -> Option<Candidate> {
        self.last_documents_event = number;
        if event.kind == ListKind::Full {
            self.ignored.clear();
            self.ignored_omitted = false;
        }
        let TableChange { changed, ignored } = self.table.apply(number, event);
        changed.iter().for_each(|id| self.mark_unsettled(id));
        ignored.into_iter().for_each(|stored| self.record_ignored(stored));
        self.candidate()
    }

    /// Handles the first event after a gap or of a different history. Unless it has a full list, all earlier documents
    /// are dropped.
    pub fn handle_gap(&mut self, number: EventNumber, event: Option<DocumentsEvent>) -> Option<Candidate> {
        if event.as_ref().is_none_or(|event| event.kind == ListKind::Delta) {
            let none = DocumentsEvent { kind: ListKind::Full, documents: Vec::new() };
            self.handle(number, none);
        }
        match event {
            Some(event) => self.handle(number, event),
            None => self.candidate(),
        }
    }

    /// Handles an event whose documents cannot be read. Their versions are unknown, so no version counts as applied by
    /// this gateway until the next full list.
    pub fn handle_unreadable(&mut self) {
        self.ignored_omitted = true;
    }

    /// Records that a candidate's changes are in force.
    pub fn accept(&mut self, candidate: Candidate) {
        for change in candidate.changes {
            if self.wanted_change(&change.id) == change {
                self.unsettled.remove(&change.id);
            }
            match change.document {
                Some(document) => self.in_force.insert(change.id, document),
                None => self.in_force.remove(&change.id),
            };
        }
    }

    /// Records that a candidate cannot be applied because of the document `fault`. All changes of that document's event
    /// are rejected, or all changes of the candidate if `fault` is `None`; the previous versions stay in force. Returns
    /// the changes to try next, if any.
    pub fn reject(
        &mut self,
        candidate: Candidate,
        fault: Option<&DocumentId>,
        reason: &str,
    ) -> Option<Candidate> {
        let at_fault = fault.and_then(|id| candidate.changes.iter().find(|change| change.id == *id));
        let number = at_fault.map(|change| change.number);
        let rejected =
            candidate.changes.iter().filter(|change| number.is_none_or(|event| event == change.number));
        for change in rejected {
            if self.wanted_change(&change.id) == *change {
                self.record_rejected(change, reason);
            }
        }
        self.candidate()
    }

    /// Returns all rejected versions to be tried again because the gateway's file has changed.
    pub fn retry(&mut self) -> Option<Candidate> {
        let rejected = std::mem::take(&mut self.rejected);
        self.unsettled.extend(rejected.into_keys());
        self.candidate()
    }

    /// The documents in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Document> {
        self.in_force.values()
    }

    /// The documents that would be in force after accepting a candidate.
    pub fn documents_with<'a>(&'a self, candidate: &'a Candidate) -> impl Iterator<Item = &'a Document> {
        let changed =
            |id: &DocumentId| candidate.changes.binary_search_by(|change| change.id.cmp(id)).is_ok();
        let unchanged = self.in_force.values().filter(move |document| !changed(&document.id));
        unchanged.chain(candidate.changes.iter().filter_map(|change| change.document.as_ref()))
    }

    /// The rejected and the ignored versions.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.values().chain(self.ignored.values())
    }

    /// Whether there are further versions not applied that [`GatewayDocuments::rejections`] does not return.
    pub fn rejections_omitted(&self) -> bool {
        self.ignored_omitted
    }

    /// Whether every candidate has been accepted or rejected.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// All received document versions.
    pub fn table(&self) -> &DocumentTable {
        &self.table
    }

    /// Marks a document whose version has changed as unsettled. If its previous version was rejected, the other changes
    /// of that event are tried again.
    fn mark_unsettled(&mut self, id: &DocumentId) {
        self.ignored.remove(id);
        self.unsettled.insert(id.clone());
        let Some(rejection) = self.rejected.remove(id) else { return };
        let same_event = self.rejected.extract_if(.., |_, other| other.number == rejection.number);
        self.unsettled.extend(same_event.map(|(other, _)| other));
    }

    fn record_ignored(&mut self, stored: StoredDocument) {
        if self.ignored.len() >= MAX_IGNORED && !self.ignored.contains_key(&stored.document.id) {
            self.ignored_omitted = true;
            return;
        }
        let Document { id, version, .. } = stored.document;
        let reason = IGNORED_REASON.to_string();
        self.ignored.insert(id.clone(), Rejection { id, version, reason, number: stored.number });
    }

    fn record_rejected(&mut self, change: &DocumentChange, reason: &str) {
        let DocumentChange { id, version, number, .. } = change;
        self.unsettled.remove(id);
        let rejection =
            Rejection { id: id.clone(), version: *version, reason: reason.to_string(), number: *number };
        self.rejected.insert(id.clone(), rejection);
    }

    /// The change that puts the wanted version of a document in force.
    fn wanted_change(&self, id: &DocumentId) -> DocumentChange {
        let stored = self.table.version_for(id, &self.name, &self.zone);
        let document = stored.map(|stored| &stored.document).filter(|document| document.content.is_some());
        DocumentChange {
            id: id.clone(),
            version: stored.map(|stored| stored.document.version).unwrap_or_default(),
            document: document.cloned(),
            number: stored.map_or(self.last_documents_event, |stored| stored.number),
        }
    }

    /// The changes to try: all unsettled documents whose wanted version differs from the one in force.
    fn candidate(&mut self) -> Option<Candidate> {
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.unsettled) {
            let change = self.wanted_change(&id);
            match (self.in_force.get_mut(&id), &change.document) {
                (None, None) => {}
                (Some(current), Some(wanted)) if current.same_content_as(wanted) => *current = wanted.clone(),
                _ => {
                    self.unsettled.insert(id);
                    changes.push(change);
                }
            }
        }
        (!changes.is_empty()).then_some(Candidate { changes })
    }
}
