//! Which versions gateways cannot apply: parts of the reports that go up the tree of relays.
use super::{DocumentId, DocumentVersion, Rejection};
use serde::{Deserialize, Serialize};

/// Rejected versions in a report at most: those that the most gateways reject. A report says if it left some out.
pub const MAX_REJECTIONS: usize = 16;

/// Gateways named for a rejected version at most: the first by name.
pub const MAX_REJECTING_GATEWAYS: usize = 5;

/// Bytes of a reason at most; longer ones are cut.
pub const MAX_REASON_BYTES: usize = 512;

/// Bytes of a gateway's name in a report at most; longer ones are cut.
pub const MAX_GATEWAY_NAME_BYTES: usize = 128;

/// A version that gateways cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// Which document.
    #[serde(flatten)]
    pub id: DocumentId,
    /// Which version.
    #[serde(flatten)]
    pub version: DocumentVersion,
    /// Why, naming the key; where gateways differ, that of one of them.
    pub reason: String,
    /// Gateways that reject it.
    pub gateways: u64,
    /// Names of some of them; at most [`MAX_REJECTING_GATEWAYS`].
    #[serde(default)]
    pub names: Vec<String>,
}

impl RejectedVersion {
    /// One gateway's rejection.
    pub fn of_gateway(name: &str, rejection: &Rejection) -> RejectedVersion {
        RejectedVersion {
            id: rejection.id.clone(),
            version: rejection.version,
            reason: rejection.reason.clone(),
            gateways: 1,
            names: vec![name.to_string()],
        }
    }

    /// Cuts what is past a bound.
    pub(super) fn truncate_to_bounds(&mut self, gateways: u64) {
        self.gateways = self.gateways.min(gateways);
        self.reason.truncate(self.reason.floor_char_boundary(MAX_REASON_BYTES));
        self.names.truncate(MAX_REJECTING_GATEWAYS);
        for name in &mut self.names {
            name.truncate(name.floor_char_boundary(MAX_GATEWAY_NAME_BYTES));
        }
    }

    /// Whether it concerns this version of this document.
    pub fn matches(&self, id: &DocumentId, version: DocumentVersion) -> bool {
        self.id == *id && self.version == version
    }
}
