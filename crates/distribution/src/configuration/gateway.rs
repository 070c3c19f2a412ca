//! The documents of one gateway: what events have brought, what is in force, and what it cannot apply.
use super::{
    Document, DocumentId, DocumentTable, DocumentVersion, DocumentsEvent, StoredDocument, TableChange,
};
use crate::event_number::{EventNumber, ListKind};
use std::collections::{BTreeMap, BTreeSet};

/// Versions ignored at the table's bound that are remembered at most; past it further ones are only counted.
const MAX_IGNORED: usize = 64;

/// Why a version is ignored at the table's bound.
const IGNORED_REASON: &str = "documents: too many documents or bytes of them";

/// What would be in force of one document.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentChange {
    /// Which document.
    pub id: DocumentId,
    /// Which version; 0.0 for a document that a full list has not any more.
    pub version: DocumentVersion,
    /// The version that would be in force; none if the file's value would be.
    pub document: Option<Document>,
    /// The event that brought the version. Changes of one event are accepted or rejected together.
    pub number: EventNumber,
}

/// Changes that are wanted in force, to be tried together: [`GatewayDocuments::documents_with`] gives the whole set.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    changes: Vec<DocumentChange>,
}

impl Candidate {
    /// The changes, by document.
    pub fn changes(&self) -> &[DocumentChange] {
        &self.changes
    }
}

/// A version that the gateway cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Rejection {
    /// Which document.
    pub id: DocumentId,
    /// Which version.
    pub version: DocumentVersion,
    /// Why, naming the key.
    pub reason: String,
    /// The event that brought it.
    pub number: EventNumber,
}

/// The documents of one gateway. Each [`Candidate`] is to be accepted or rejected before the gateway reports a position
/// at or past its event; until then the versions before stay in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GatewayDocuments {
    name: String,
    zone: String,
    /// What events have brought, bounded as stated there.
    table: DocumentTable,
    /// Documents of the table, and those that a full list has dropped while that list could not be applied.
    in_force: BTreeMap<DocumentId, Document>,
    /// Documents that are neither in force as wanted nor rejected.
    unsettled: BTreeSet<DocumentId>,
    /// Documents of the table, or just out of it, whose wanted version cannot be applied.
    rejected: BTreeMap<DocumentId, Rejection>,
    /// Versions that the table ignored; at most [`MAX_IGNORED`], see there.
    ignored: BTreeMap<DocumentId, Rejection>,
    /// Whether versions were ignored that are not remembered, or documents could not be read.
    ignored_omitted: bool,
    /// The last event with documents.
    last_documents_event: EventNumber,
}

impl GatewayDocuments {
    /// A gateway of this name in this zone, without documents.
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

    /// Takes in the documents of the next event. Returns what has to be tried, if anything.
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

    /// Takes in the first event after a gap in the numbers, or of another history: without a full list there are no
    /// documents before it.
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

    /// The documents of an event cannot be read. Which versions they are is not known, so that none counts as applied
    /// by this gateway until the next full list.
    pub fn handle_unreadable(&mut self) {
        self.ignored_omitted = true;
    }

    /// What a candidate changes is in force from now on.
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

    /// A candidate cannot be applied because of this document; if none is known, because of all. All changes of its
    /// event are rejected: the versions before stay in force. Returns what has to be tried next, if anything.
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

    /// What has to be tried again because the file has changed: all versions that were rejected.
    pub fn retry(&mut self) -> Option<Candidate> {
        let rejected = std::mem::take(&mut self.rejected);
        self.unsettled.extend(rejected.into_keys());
        self.candidate()
    }

    /// The documents in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Document> {
        self.in_force.values()
    }

    /// The documents that would be in force with a candidate.
    pub fn documents_with<'a>(&'a self, candidate: &'a Candidate) -> impl Iterator<Item = &'a Document> {
        let changed =
            |id: &DocumentId| candidate.changes.binary_search_by(|change| change.id.cmp(id)).is_ok();
        let unchanged = self.in_force.values().filter(move |document| !changed(&document.id));
        unchanged.chain(candidate.changes.iter().filter_map(|change| change.document.as_ref()))
    }

    /// The versions that cannot be applied.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.values().chain(self.ignored.values())
    }

    /// Whether there are more versions not applied than [`GatewayDocuments::rejections`] gives.
    pub fn rejections_omitted(&self) -> bool {
        self.ignored_omitted
    }

    /// Whether every candidate has been accepted or rejected.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// All that events have brought.
    pub fn table(&self) -> &DocumentTable {
        &self.table
    }

    /// A document has another version. If the one before was rejected, what came with that is tried again.
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

    /// What is wanted of a document.
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

    /// The changes that are to be tried: all that are unsettled and differ from what is in force.
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
