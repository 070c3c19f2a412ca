//! A numbered event as relays store it: the unchanged JSON text and the subjects it concerns.
pub use crate::event_number::{EventNumber, ListKind, FIRST_EVENT, MAX_EVENT_NUMBER};

use crate::configuration::{Document, DocumentId, DocumentsEvent};
use larchway_unix_time::UnixMicros;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the XXH3 hash of an event's data. Equal digests at the same number mean equal histories.
pub fn digest(data: &str) -> u64 {
    xxh3_64(data.as_bytes())
}

/// The subject of an event. A later event about the same subject replaces an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A purge of an object.
    Object(u64),
    /// A purge of a group.
    Group(u64),
    /// The full list of stores.
    StoreList,
    /// One store of the list, by its host name.
    Store(String),
    /// The full list of documents.
    DocumentList,
    /// The version of a document for all gateways. It replaces earlier staged versions as well.
    Document(DocumentId),
    /// A staged version of a document, for some gateways only.
    StagedDocument(DocumentId),
}

/// Bytes counted for an index entry of a store or a document, excluding its name.
const INDEX_ENTRY_BYTES: usize = 64;

impl Subject {
    /// Whether the subject is a document or the full list of documents.
    pub fn is_document(&self) -> bool {
        matches!(self, Subject::DocumentList | Subject::Document(_) | Subject::StagedDocument(_))
    }

    /// Whether the subject is a purged object or group.
    pub fn is_purge(&self) -> bool {
        matches!(self, Subject::Object(_) | Subject::Group(_))
    }

    /// Bytes counted for the subject's name and index entries; 0 for subjects without a name. Used for memory limits.
    pub fn name_bytes(&self) -> usize {
        match self {
            Subject::Store(host) => 2 * (host.len() + INDEX_ENTRY_BYTES),
            Subject::Document(id) | Subject::StagedDocument(id) => 2 * (id.name.len() + INDEX_ENTRY_BYTES),
            _ => 0,
        }
    }
}

/// Reasons why an event's text is rejected.
#[derive(Debug, Error)]
pub enum EventError {
    /// The text is not JSON of the expected form.
    #[error("malformed event: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The object's name is not a hexadecimal number.
    #[error("item: {0:?} is not a hexadecimal object number")]
    ObjectName(String),
    /// The number exceeds [`MAX_EVENT_NUMBER`].
    #[error("no: {0} exceeds {MAX_EVENT_NUMBER}")]
    NumberTooLarge(EventNumber),
}

/// An event as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Position in the history, from [`FIRST_EVENT`] on.
    pub number: EventNumber,
    /// The event's JSON text, unchanged.
    pub data: Arc<str>,
    /// The subjects it concerns; empty for an unknown kind of event, which is forwarded as well.
    pub subjects: Vec<Subject>,
    /// When the purge was issued; absent for other events.
    pub issued: Option<UnixMicros>,
    /// Hash of `data`. Two histories that differ at this number have different digests.
    pub digest: u64,
}

#[derive(Deserialize)]
struct EventForm {
    #[serde(rename = "no")]
    number: EventNumber,
    #[serde(rename = "roster")]
    list: Option<ListForm>,
    #[serde(rename = "recall")]
    purge: Option<PurgeForm>,
    documents: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ListForm {
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default)]
    hosts: Vec<HostForm>,
}

#[derive(Deserialize)]
struct HostForm {
    host: String,
}

#[derive(Deserialize)]
struct PurgeForm {
    #[serde(rename = "item")]
    object: Option<String>,
    #[serde(default, rename = "lot")]
    group: u64,
    issued: f64,
}

impl ListForm {
    fn subjects(self) -> Vec<Subject> {
        match ListKind::from_wire(self.is_full) {
            ListKind::Full => vec![Subject::StoreList],
            ListKind::Delta => self.hosts.into_iter().map(|entry| Subject::Store(entry.host)).collect(),
        }
    }
}

impl PurgeForm {
    fn subject(self) -> Result<Subject, EventError> {
        let Some(object) = self.object else { return Ok(Subject::Group(self.group)) };
        let number = u64::from_str_radix(&object, 16).map_err(|_| EventError::ObjectName(object))?;
        Ok(Subject::Object(number))
    }
}

/// The subjects of an event's documents. Versions for all gateways come first because they replace staged ones.
fn document_subjects(data: &str) -> Vec<Subject> {
    let Ok(Some(event)) = DocumentsEvent::read(data) else { return Vec::new() };
    if event.kind == ListKind::Full {
        return vec![Subject::DocumentList];
    }
    let documents = event.documents.into_iter().map(|entry| entry.document);
    let (staged, for_all): (Vec<_>, Vec<_>) = documents.partition(Document::is_staged);
    let for_all = for_all.into_iter().map(|document| Subject::Document(document.id));
    for_all.chain(staged.into_iter().map(|document| Subject::StagedDocument(document.id))).collect()
}

impl Event {
    /// Whether the event carries the store list or entries of it.
    pub fn has_stores(&self) -> bool {
        self.subjects.iter().any(|subject| matches!(subject, Subject::StoreList | Subject::Store(_)))
    }

    /// Whether the event carries readable documents.
    pub fn has_documents(&self) -> bool {
        self.subjects.iter().any(Subject::is_document)
    }

    /// Parses an event: `no` with `roster`, `recall`, `documents` or unknown keys. Documents that cannot be read are
    /// treated like unknown keys: they have no subject and replace nothing.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON of this form, or if its number or object name is invalid.
    pub fn read(data: &str) -> Result<Event, EventError> {
        let form: EventForm = serde_json::from_str(data).map_err(EventError::Malformed)?;
        let number = form.number;
        if number > MAX_EVENT_NUMBER {
            return Err(EventError::NumberTooLarge(number));
        }
        let issued = form.purge.as_ref().map(|purge| UnixMicros::from_millis(purge.issued));
        let mut subjects = match (form.list, form.purge) {
            (Some(list), _) => list.subjects(),
            (None, Some(purge)) => vec![purge.subject()?],
            (None, None) => Vec::new(),
        };
        if form.documents.is_some() {
            subjects.extend(document_subjects(data));
        }
        Ok(Event { number, data: data.into(), subjects, issued, digest: digest(data) })
    }
}
