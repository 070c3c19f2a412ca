//! Validation errors of documents. Each error names the invalid key.
use super::{DocumentId, MAX_CONTENT_BYTES, MAX_DOCUMENT_NAME_BYTES, MAX_ENTRIES, MAX_ZONES};
use thiserror::Error;

/// Reasons why a document is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum DocumentError {
    /// The name is empty, too long, or has a control character. Holds its length in bytes.
    #[error("name: {0} bytes, must have 1 to {MAX_DOCUMENT_NAME_BYTES} and no control character")]
    Name(usize),
    /// The version is 0; versions begin at 1.
    #[error("version: 0, must be 1 or more")]
    Version,
    /// The content is too long. Holds its length in bytes.
    #[error("content: {0} bytes, at most {MAX_CONTENT_BYTES}")]
    Content(usize),
    /// The content has a line break, which event data cannot contain.
    #[error("content: has a line break, must be one line")]
    LineBreak,
    /// The share is not in the range from 0 to 1.
    #[error("targets.share: {0}, must be from 0 to 1")]
    Share(f64),
    /// The name of the zone with this index is empty, too long, or has a control character.
    #[error("targets.zones[{0}]: must have 1 to {MAX_DOCUMENT_NAME_BYTES} bytes and no control character")]
    Zone(usize),
    /// Too many zones. Holds their number.
    #[error("targets.zones: {0}, at most {MAX_ZONES}")]
    TooManyZones(usize),
    /// The targets include no gateway.
    #[error("targets: neither a share nor a zone")]
    NoTargets,
}

/// Reasons why the documents of an event are rejected.
#[derive(Debug, Error)]
pub enum DocumentsError {
    /// The documents are not JSON of the expected form.
    #[error("documents: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Too many entries. Holds their number.
    #[error("documents.entries: {0}, at most {MAX_ENTRIES}")]
    TooManyEntries(usize),
    /// A document is invalid.
    #[error("documents.entries[{index}] ({id}).{error}")]
    Document {
        /// Index of the entry.
        index: usize,
        /// Identity of the document.
        id: DocumentId,
        /// The reason.
        #[source]
        error: DocumentError,
    },
    /// A document occurs twice for all gateways, or twice as a staged version.
    #[error("documents.entries[{index}] ({id}): repeated")]
    Repeated {
        /// Index of the second entry.
        index: usize,
        /// Identity of the document.
        id: DocumentId,
    },
}
