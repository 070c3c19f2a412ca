//! Versions of configuration documents.
use super::{
    DocumentError, DocumentId, DocumentVersion, Targets, MAX_CONTENT_BYTES, MAX_DOCUMENT_NAME_BYTES,
};
use std::sync::Arc;

/// Bytes counted for a document in addition to its texts: the maximum length of the keys and numbers of its event
/// entry.
const ENTRY_OVERHEAD: usize = 192;

/// Bytes counted for a zone in addition to its name: its quotes and comma in JSON.
const ZONE_OVERHEAD: usize = 3;

/// Maximum JSON bytes per byte of a document or zone name. Their characters need at most one backslash, because control
/// characters are not allowed.
const ESCAPED_BYTES: usize = 2;

/// A version of a document. When in force, it overrides the value of the same key in the gateway's configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Document {
    /// Identity of the document.
    pub id: DocumentId,
    /// Version and stage.
    pub version: DocumentVersion,
    /// Unchanged JSON text; `None` if the document is withdrawn, which puts the file's value back in force.
    pub content: Option<Arc<str>>,
    /// The targeted gateways; `None` for all.
    pub targets: Option<Targets>,
}

impl Document {
    /// Whether the version is staged, that is, only for some gateways.
    pub fn is_staged(&self) -> bool {
        self.targets.is_some()
    }

    /// Whether the version is for this gateway.
    pub fn includes(&self, gateway: &str, zone: &str) -> bool {
        let includes = |targets: &Targets| targets.includes(gateway, zone, &self.id, self.version.version);
        self.targets.as_ref().is_none_or(includes)
    }

    /// Whether both have the same content and version number. Stages may differ.
    pub fn same_content_as(&self, other: &Document) -> bool {
        self.version.version == other.version.version && self.content == other.content
    }

    /// Counted size in bytes; an upper bound of the size of its event entry.
    pub fn bytes(&self) -> usize {
        let zones = self.targets.iter().flat_map(|targets| &targets.zones);
        let zones: usize = zones.map(|zone| ESCAPED_BYTES * zone.len() + ZONE_OVERHEAD).sum();
        let content = self.content.as_ref().map_or(0, |content| content.len());
        ENTRY_OVERHEAD + ESCAPED_BYTES * self.id.name.len() + content + zones
    }

    /// Checks the document against the limits.
    ///
    /// # Errors
    ///
    /// Fails at the first key with an invalid value.
    pub fn check(&self) -> Result<(), DocumentError> {
        if !is_name(&self.id.name) {
            return Err(DocumentError::Name(self.id.name.len()));
        }
        if self.version.version == 0 {
            return Err(DocumentError::Version);
        }
        match &self.content {
            Some(content) if content.len() > MAX_CONTENT_BYTES => {
                return Err(DocumentError::Content(content.len()));
            }
            Some(content) if content.contains(['\r', '\n']) => return Err(DocumentError::LineBreak),
            _ => {}
        }
        self.targets.as_ref().map_or(Ok(()), Targets::check)
    }
}

/// Whether a text is a valid name of a document or a zone.
pub(super) fn is_name(text: &str) -> bool {
    (1..=MAX_DOCUMENT_NAME_BYTES).contains(&text.len()) && !text.contains(char::is_control)
}
