//! The wire format of documents in events.
use super::{
    Document, DocumentError, DocumentId, DocumentKind, DocumentVersion, DocumentsError, Targets,
    MAX_DOCUMENTS,
};
use crate::event_number::{EventNumber, ListKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;

/// Maximum number of entries in an event: per document one version for all gateways and one staged.
pub const MAX_ENTRIES: usize = 2 * MAX_DOCUMENTS;

/// A document entry of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentEntry {
    /// The document version.
    pub document: Document,
    /// Number of the event that introduced the version. Only set in full lists, and only if known.
    pub introduced_by: Option<EventNumber>,
}

impl From<Document> for DocumentEntry {
    fn from(document: Document) -> DocumentEntry {
        DocumentEntry { document, introduced_by: None }
    }
}

/// The documents of an event: the full list or changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentsEvent {
    /// Whether `documents` is the full list or a set of changes.
    pub kind: ListKind,
    /// The entries in the order of the event.
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
    /// Number of the event that introduced the version; only in full lists.
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

/// JSON text of the content of a withdrawn document.
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
    /// Creates a change to these documents. Each gateway applies all of it or nothing.
    pub fn changes(documents: impl IntoIterator<Item = Document>) -> DocumentsEvent {
        let documents = documents.into_iter().map(DocumentEntry::from).collect();
        DocumentsEvent { kind: ListKind::Delta, documents }
    }

    /// Reads the documents from an event's data. Returns `None` if it has none.
    ///
    /// # Errors
    ///
    /// Fails, naming the key, if the documents are malformed or exceed a limit.
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

    /// Checks each document, and that no document occurs twice for the same gateways.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid entry.
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

    /// The data of an event with this number that carries these documents.
    pub fn data(&self, number: EventNumber) -> String {
        serde_json::to_string(&EventOutput { number, documents: self.output() }).unwrap_or_default()
    }

    /// The JSON text of the documents alone, for an event that carries other data as well.
    pub fn json(&self) -> String {
        serde_json::to_string(&self.output()).unwrap_or_default()
    }

    fn output(&self) -> DocumentsOutput<'_> {
        let entries = self.documents.iter().filter_map(entry_form).collect();
        DocumentsOutput { is_full: self.kind == ListKind::Full, entries }
    }
}

/// The serialized form of an entry; `None` if its content is not JSON, which [`DocumentsEvent::read`] never returns.
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
