//! The documents of configuration that a relay holds, as operators and `larchway rollout` see them.
use larchway_distribution::configuration::{DocumentId, DocumentVersion, RejectedVersion, Targets};
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::{DocumentStatus, Relay};
use larchway_distribution::EventNumber;
use serde::{Deserialize, Serialize};

/// The answer to `GET /documents`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentsStatus {
    /// The last event that the relay has.
    pub last_event: EventNumber,
    /// The versions held; of a document that for all gateways before the staged one.
    pub documents: Vec<HeldVersion>,
    /// How far all gateways below are, and what they reject.
    pub positions: PositionReport,
}

/// A version of a document that a relay holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldVersion {
    /// Which document.
    #[serde(flatten)]
    pub id: DocumentId,
    /// Which version.
    #[serde(flatten)]
    pub version: DocumentVersion,
    /// The gateways that it is for; none for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub targets: Option<Targets>,
    /// Whether it withdraws the document: the file's value holds.
    pub withdrawn: bool,
    /// The event that brought it.
    pub event: EventNumber,
    /// Whether all gateways below that it is for have applied it.
    pub applied: bool,
    /// What gateways below reject of it.
    pub rejections: Vec<RejectedVersion>,
}

impl DocumentsStatus {
    /// The status of now.
    pub fn new(relay: &Relay) -> DocumentsStatus {
        let positions = relay.positions().aggregate();
        let documents =
            relay.documents().map(|status| HeldVersion::new(&status, &positions.rejections)).collect();
        DocumentsStatus { last_event: relay.log().last(), documents, positions }
    }
}

impl HeldVersion {
    fn new(status: &DocumentStatus<'_>, rejections: &[RejectedVersion]) -> HeldVersion {
        let document = &status.stored.document;
        let of_version =
            rejections.iter().filter(|rejected| rejected.matches(&document.id, document.version));
        HeldVersion {
            id: document.id.clone(),
            version: document.version,
            targets: document.targets.clone(),
            withdrawn: document.content.is_none(),
            event: status.stored.number,
            applied: status.is_applied,
            rejections: of_version.cloned().collect(),
        }
    }
}
