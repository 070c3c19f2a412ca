//! What relays report of the gateways, as far as a rollout needs it.
use super::{DocumentId, DocumentVersion, RejectedVersion};
use crate::event_number::EventNumber;

/// How far all gateways are, and what they reject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Observation {
    /// Every gateway has applied or rejected all events up to this one.
    pub applied: EventNumber,
    /// Gateways counted in `applied`, those lost included.
    pub gateways: u64,
    /// Gateways that are gone, counted with their last position.
    pub lost: u64,
    /// Versions that gateways reject.
    pub rejections: Vec<RejectedVersion>,
    /// Whether versions are rejected that are not among `rejections`.
    pub rejections_omitted: bool,
}

impl Observation {
    /// Whether every gateway is past this event. Without a gateway that is not known.
    pub fn is_applied(&self, number: EventNumber) -> bool {
        self.gateways > 0 && self.applied >= number
    }

    /// Gateways known to reject a version.
    pub fn rejecting_gateways(&self, id: &DocumentId, version: DocumentVersion) -> u64 {
        let of_version = self.rejections.iter().filter(|rejected| rejected.matches(id, version));
        of_version.map(|rejected| rejected.gateways).sum()
    }
}
