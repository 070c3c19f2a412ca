//! A numbered event as relays store it: its text unchanged, and what it concerns.
pub use crate::event_number::{EventNumber, ListKind, FIRST_EVENT, MAX_EVENT_NUMBER};

use crate::configuration::{Document, DocumentId, DocumentsEvent};
use larchway_unix_time::UnixMicros;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The digest of an event's data, by which histories are compared.
pub fn digest(data: &str) -> u64 {
    xxh3_64(data.as_bytes())
}

/// What an event concerns: a later event about the same subject replaces an earlier one.
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
    /// All documents that there are.
    DocumentList,
    /// The version of a document for all gateways. A later one replaces a staged one as well.
    Document(DocumentId),
    /// The version of a document for some gateways.
    StagedDocument(DocumentId),
}

/// Bytes of an index entry about a store or a document beside its name.
const INDEX_ENTRY_BYTES: usize = 64;

impl Subject {
    /// Whether it is a document, or all of them.
    pub fn is_document(&self) -> bool {
        matches!(self, Subject::DocumentList | Subject::Document(_) | Subject::StagedDocument(_))
    }

    /// Whether it is a purge.
    pub fn is_purge(&self) -> bool {
        matches!(self, Subject::Object(_) | Subject::Group(_))
    }

    /// Bytes that the subject takes beside its own size, for bounds on memory.
    pub fn name_bytes(&self) -> usize {
        match self {
            Subject::Store(host) => 2 * (host.len() + INDEX_ENTRY_BYTES),
            Subject::Document(id) | Subject::StagedDocument(id) => 2 * (id.name.len() + INDEX_ENTRY_BYTES),
            _ => 0,
        }
    }
}

/// Why the text of an event cannot be used.
#[derive(Debug, Error)]
pub enum EventError {
    /// It is not JSON of the expected form.
    #[error("an event cannot be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// An object's name is not hexadecimal.
    #[error("item: {0:?} is no object")]
    ObjectName(String),
    /// The number is past [`MAX_EVENT_NUMBER`].
    #[error("no: {0} is past {MAX_EVENT_NUMBER}")]
    NumberTooLarge(EventNumber),
}

/// An event as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number.
    pub number: EventNumber,
    /// Its JSON text, unchanged.
    pub data: Arc<str>,
    /// What it concerns; none for what is not known here, which is forwarded all the same.
    pub subjects: Vec<Subject>,
    /// For a purge: when it was issued.
    pub issued: Option<UnixMicros>,
    /// Hash of the text: two histories that differ at a number have different digests there.
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

/// The subjects of an event's documents; those of versions for all come first, for they replace staged ones.
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
    /// Whether it carries stores: the full list or entries of it.
    pub fn has_stores(&self) -> bool {
        self.subjects.iter().any(|subject| matches!(subject, Subject::StoreList | Subject::Store(_)))
    }

    /// Whether it carries documents that can be read.
    pub fn has_documents(&self) -> bool {
        self.subjects.iter().any(Subject::is_document)
    }

    /// Reads the text of an event: `no` with `roster`, `recall`, `documents`, or what is not known here. Documents that
    /// cannot be read are forwarded like what is not known: they replace nothing.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON of this form, or holds a number or name that is not valid.
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
