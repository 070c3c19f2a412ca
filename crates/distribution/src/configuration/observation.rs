//! The state of the gateways reported by relays, as needed by a rollout.
use super::{DocumentId, DocumentVersion, RejectedVersion};
use crate::event_number::EventNumber;

/// The positions and rejections of all gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Observation {
    /// Every gateway has applied or rejected all events up to this one.
    pub applied: EventNumber,
    /// Number of gateways counted in `applied`, including lost ones.
    pub gateways: u64,
    /// Number of disconnected gateways, which are counted with their last position.
    pub lost: u64,
    /// Versions that gateways have rejected.
    pub rejections: Vec<RejectedVersion>,
    /// Whether further versions are rejected that `rejections` does not list.
    pub rejections_omitted: bool,
}

impl Observation {
    /// Whether every gateway has reached this event. False without gateways.
    pub fn is_applied(&self, number: EventNumber) -> bool {
        self.gateways > 0 && self.applied >= number
    }

    /// Number of gateways known to reject a version.
    pub fn rejecting_gateways(&self, id: &DocumentId, version: DocumentVersion) -> u64 {
        let of_version = self.rejections.iter().filter(|rejected| rejected.matches(id, version));
        of_version.map(|rejected| rejected.gateways).sum()
    }
}
