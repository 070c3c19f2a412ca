//! Documents as events carry them.
use super::{
    Document, DocumentError, DocumentId, DocumentKind, DocumentVersion, DocumentsError, Targets,
    MAX_DOCUMENTS,
};
use crate::event_number::{EventNumber, ListKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;

/// Entries of an event at most: for each document the version for all and a staged one.
pub const MAX_ENTRIES: usize = 2 * MAX_DOCUMENTS;

/// A document among those of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentEntry {
    /// The document.
    pub document: Document,
    /// In a full list: the event that brought it, if that is known.
    pub introduced_by: Option<EventNumber>,
}

impl From<Document> for DocumentEntry {
    fn from(document: Document) -> DocumentEntry {
        DocumentEntry { document, introduced_by: None }
    }
}

/// The documents of an event: all that there are, or changes to them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentsEvent {
    /// What the documents are.
    pub kind: ListKind,
    /// The documents.
    pub documents: Vec<DocumentEntry>,
}

#[derive(Deserialize)]
struct EventForm<'a> {
    #[serde(borrow)]
    documents: Option<DocumentsForm<'a>>,
}

#[derive(Deserialize)]
struct DocumentsForm<'a> {
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(borrow)]
    entries: Vec<EntryForm<'a>>,
}

#[derive(Serialize, Deserialize)]
struct EntryForm<'a> {
    kind: DocumentKind,
    name: String,
    version: u64,
    #[serde(default)]
    stage: u32,
    #[serde(borrow)]
    content: &'a RawValue,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    targets: Option<Targets>,
    /// In a full list: the event that brought it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    event: Option<EventNumber>,
}

#[derive(Serialize)]
struct EventOutput<'a> {
    #[serde(rename = "no")]
    number: EventNumber,
    documents: DocumentsOutput<'a>,
}

#[derive(Serialize)]
struct DocumentsOutput<'a> {
    #[serde(rename = "whole")]
    is_full: bool,
    entries: Vec<EntryForm<'a>>,
}

/// The text of a content that withdraws the document.
const WITHDRAWN: &str = "null";

impl EntryForm<'_> {
    fn into_entry(self) -> DocumentEntry {
        let content = self.content.get();
        let document = Document {
            id: DocumentId { kind: self.kind, name: self.name },
            version: DocumentVersion { version: self.version, stage: self.stage },
            content: (content != WITHDRAWN).then(|| content.into()),
            targets: self.targets,
        };
        DocumentEntry { document, introduced_by: self.event }
    }
}

impl DocumentsEvent {
    /// A change to these documents, which every gateway applies together or not at all.
    pub fn changes(documents: impl IntoIterator<Item = Document>) -> DocumentsEvent {
        let documents = documents.into_iter().map(DocumentEntry::from).collect();
        DocumentsEvent { kind: ListKind::Delta, documents }
    }

    /// Reads the documents out of an event's data; none where it carries none.
    ///
    /// # Errors
    ///
    /// Fails, naming the key, if the documents are not of this form or past a bound.
    pub fn read(data: &str) -> Result<Option<DocumentsEvent>, DocumentsError> {
        let form: EventForm<'_> = serde_json::from_str(data).map_err(DocumentsError::Malformed)?;
        let Some(form) = form.documents else { return Ok(None) };
        if form.entries.len() > MAX_ENTRIES {
            return Err(DocumentsError::TooManyEntries(form.entries.len()));
        }
        let documents = form.entries.into_iter().map(EntryForm::into_entry).collect();
        let event = DocumentsEvent { kind: ListKind::from_wire(form.is_full), documents };
        event.check()?;
        Ok(Some(event))
    }

    /// Checks each document, and that none is repeated.
    ///
    /// # Errors
    ///
    /// Fails at the first entry that is not allowed.
    pub fn check(&self) -> Result<(), DocumentsError> {
        let mut seen = BTreeSet::new();
        for (index, DocumentEntry { document, .. }) in self.documents.iter().enumerate() {
            let id = || document.id.clone();
            let named = |error: DocumentError| DocumentsError::Document { index, id: id(), error };
            document.check().map_err(named)?;
            if !seen.insert((&document.id, document.is_staged())) {
                return Err(DocumentsError::Repeated { index, id: id() });
            }
        }
        Ok(())
    }

    /// The data of an event under `number` that carries these documents.
    pub fn data(&self, number: EventNumber) -> String {
        serde_json::to_string(&EventOutput { number, documents: self.output() }).unwrap_or_default()
    }

    /// The JSON text of the documents alone, as an event with other contents carries them.
    pub fn json(&self) -> String {
        serde_json::to_string(&self.output()).unwrap_or_default()
    }

    fn output(&self) -> DocumentsOutput<'_> {
        let entries = self.documents.iter().filter_map(entry_form).collect();
        DocumentsOutput { is_full: self.kind == ListKind::Full, entries }
    }
}

/// The entry of a document; none if its content is not JSON, which [`DocumentsEvent::read`] never gives.
fn entry_form(entry: &DocumentEntry) -> Option<EntryForm<'_>> {
    let Document { id, version, content, targets } = &entry.document;
    Some(EntryForm {
        kind: id.kind,
        name: id.name.clone(),
        version: version.version,
        stage: version.stage,
        content: serde_json::from_str(content.as_deref().unwrap_or(WITHDRAWN)).ok()?,
        targets: targets.clone(),
        event: entry.introduced_by,
    })
}
