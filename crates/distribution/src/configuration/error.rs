//! Why documents cannot be used; each error names the key at fault.
use super::{DocumentId, MAX_CONTENT_BYTES, MAX_DOCUMENT_NAME_BYTES, MAX_ENTRIES, MAX_ZONES};
use thiserror::Error;

/// Why one document cannot be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum DocumentError {
    /// The name is empty, too long, or has a control character; its length.
    #[error("name: {0} bytes, must have 1 to {MAX_DOCUMENT_NAME_BYTES} and no control character")]
    Name(usize),
    /// Versions begin at 1.
    #[error("version: 0, must be 1 or more")]
    Version,
    /// The content is too long.
    #[error("content: {0} bytes, at most {MAX_CONTENT_BYTES}")]
    Content(usize),
    /// The content has a line break, which an event's data cannot have.
    #[error("content: has a line break, must be one line")]
    LineBreak,
    /// The share is none.
    #[error("targets.share: {0}, must be from 0 to 1")]
    Share(f64),
    /// The name of a zone is empty, too long, or has a control character.
    #[error("targets.zones[{0}]: must have 1 to {MAX_DOCUMENT_NAME_BYTES} bytes and no control character")]
    Zone(usize),
    /// There are too many zones.
    #[error("targets.zones: {0}, at most {MAX_ZONES}")]
    TooManyZones(usize),
    /// No gateway is included.
    #[error("targets: neither a share nor a zone")]
    NoTargets,
}

/// Why the documents of an event cannot be used.
#[derive(Debug, Error)]
pub enum DocumentsError {
    /// They are not JSON of the expected form.
    #[error("documents: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A list of changes has too many.
    #[error("documents.entries: {0}, at most {MAX_ENTRIES}")]
    TooManyEntries(usize),
    /// A document cannot be used.
    #[error("documents.entries[{index}] ({id}).{error}")]
    Document {
        /// Its place among the entries.
        index: usize,
        /// Which one.
        id: DocumentId,
        /// Why.
        #[source]
        error: DocumentError,
    },
    /// One document has two versions for the same gateways.
    #[error("documents.entries[{index}] ({id}): repeated")]
    Repeated {
        /// The place of the second one.
        index: usize,
        /// Which one.
        id: DocumentId,
    },
}
