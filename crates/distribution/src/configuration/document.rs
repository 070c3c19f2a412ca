//! A version of a document.
use super::{
    DocumentError, DocumentId, DocumentVersion, Targets, MAX_CONTENT_BYTES, MAX_DOCUMENT_NAME_BYTES,
};
use std::sync::Arc;

/// Bytes counted for a document beside its texts: as many as the keys and numbers of its entry in an event have at
/// most.
const ENTRY_OVERHEAD: usize = 192;

/// Bytes counted for a zone beside its name.
const ZONE_OVERHEAD: usize = 3;

/// Bytes of JSON for a byte of a name or zone at most: none of their characters needs more than a backslash.
const ESCAPED_BYTES: usize = 2;

/// A version of a document. It is in force at a gateway in place of what the gateway's file says under the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Document {
    /// Which document.
    pub id: DocumentId,
    /// Which version.
    pub version: DocumentVersion,
    /// Its JSON text, unchanged; none for a document that is withdrawn: the file's value is in force again.
    pub content: Option<Arc<str>>,
    /// The gateways that it is for; none for all.
    pub targets: Option<Targets>,
}

impl Document {
    /// Whether it is only for some gateways.
    pub fn is_staged(&self) -> bool {
        self.targets.is_some()
    }

    /// Whether it is for this gateway.
    pub fn includes(&self, gateway: &str, zone: &str) -> bool {
        let includes = |targets: &Targets| targets.includes(gateway, zone, &self.id, self.version.version);
        self.targets.as_ref().is_none_or(includes)
    }

    /// Whether it puts the same in force as another: the same content under the same version, whatever the stage.
    pub fn same_content_as(&self, other: &Document) -> bool {
        self.version.version == other.version.version && self.content == other.content
    }

    /// Bytes counted for it: no fewer than those of its entry in an event.
    pub fn bytes(&self) -> usize {
        let zones = self.targets.iter().flat_map(|targets| &targets.zones);
        let zones: usize = zones.map(|zone| ESCAPED_BYTES * zone.len() + ZONE_OVERHEAD).sum();
        let content = self.content.as_ref().map_or(0, |content| content.len());
        ENTRY_OVERHEAD + ESCAPED_BYTES * self.id.name.len() + content + zones
    }

    /// Checks it against the bounds.
    ///
    /// # Errors
    ///
    /// Fails at the first key whose value is not allowed.
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

/// Whether a text may name a document or a zone.
pub(super) fn is_name(text: &str) -> bool {
    (1..=MAX_DOCUMENT_NAME_BYTES).contains(&text.len()) && !text.contains(char::is_control)
}
