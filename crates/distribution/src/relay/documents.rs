//! The documents that a relay holds, and how far they are applied below it.
use super::Relay;
use crate::configuration::{Observation, StoredDocument};

/// A version of a document at a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DocumentStatus<'a> {
    /// The version, and the event that brought it.
    pub stored: &'a StoredDocument,
    /// Whether all gateways below that it is for have applied it.
    pub is_applied: bool,
}

impl Relay {
    /// All versions stored, by document; the one for all gateways before the staged one.
    pub fn documents(&self) -> impl Iterator<Item = DocumentStatus<'_>> {
        let stored = self.log.documents().iter();
        stored.map(|stored| DocumentStatus { stored, is_applied: self.is_document_applied(stored) })
    }

    /// Whether all gateways below that a version is for have applied it: all are past its event, and none rejects it.
    pub fn is_document_applied(&self, stored: &StoredDocument) -> bool {
        self.positions.is_document_applied(stored.number, &stored.document.id, stored.document.version)
    }

    /// What a rollout needs to know of the gateways below.
    pub fn observation(&self) -> Observation {
        self.positions.aggregate().observation()
    }
}
