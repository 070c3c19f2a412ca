//! The documents stored by a relay, and whether the gateways below have applied them.
use super::Relay;
use crate::configuration::{Observation, StoredDocument};

/// A document version stored by a relay, and its status below the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DocumentStatus<'a> {
    /// The version and the number of its event.
    pub stored: &'a StoredDocument,
    /// Whether all targeted gateways below have applied the version.
    pub is_applied: bool,
}

impl Relay {
    /// All stored versions, ordered by document; the version for all gateways comes before the staged one.
    pub fn documents(&self) -> impl Iterator<Item = DocumentStatus<'_>> {
        let stored = self.log.documents().iter();
        stored.map(|stored| DocumentStatus { stored, is_applied: self.is_document_applied(stored) })
    }

    /// Whether all targeted gateways below have applied a version: all have reached its event, and none rejects it.
    pub fn is_document_applied(&self, stored: &StoredDocument) -> bool {
        self.positions.is_document_applied(stored.number, &stored.document.id, stored.document.version)
    }

    /// The aggregated state of the gateways below, as needed by a rollout.
    pub fn observation(&self) -> Observation {
        self.positions.aggregate().observation()
    }
}
