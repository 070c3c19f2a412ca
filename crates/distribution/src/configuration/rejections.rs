//! Rejected document versions, as contained in the reports that go up the tree of relays.
use super::{DocumentId, DocumentVersion, Rejection};
use serde::{Deserialize, Serialize};

/// Maximum number of rejected versions in a report: those with the most rejecting gateways. A report states whether
/// others were omitted.
pub const MAX_REJECTIONS: usize = 16;

/// Maximum number of gateways named for a rejected version: the first by name.
pub const MAX_REJECTING_GATEWAYS: usize = 5;

/// Maximum length of a reason in bytes; longer reasons are truncated.
pub const MAX_REASON_BYTES: usize = 512;

/// Maximum length of a gateway's name in a report, in bytes; longer names are truncated.
pub const MAX_GATEWAY_NAME_BYTES: usize = 128;

/// A document version that gateways cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// Identity of the document.
    #[serde(flatten)]
    pub id: DocumentId,
    /// The rejected version.
    #[serde(flatten)]
    pub version: DocumentVersion,
    /// The reason, naming the key. If gateways differ, the reason of one of them.
    pub reason: String,
    /// Number of gateways that reject the version.
    pub gateways: u64,
    /// Names of some of these gateways; at most [`MAX_REJECTING_GATEWAYS`].
    #[serde(default)]
    pub names: Vec<String>,
}

impl RejectedVersion {
    /// Creates the report of a rejection by one gateway.
    pub fn of_gateway(name: &str, rejection: &Rejection) -> RejectedVersion {
        RejectedVersion {
            id: rejection.id.clone(),
            version: rejection.version,
            reason: rejection.reason.clone(),
            gateways: 1,
            names: vec![name.to_string()],
        }
    }

    /// Truncates a received rejection to the limits. `gateways` is the number of gateways in its report.
    pub(super) fn truncate_to_bounds(&mut self, gateways: u64) {
        self.gateways = self.gateways.min(gateways);
        self.reason.truncate(self.reason.floor_char_boundary(MAX_REASON_BYTES));
        self.names.truncate(MAX_REJECTING_GATEWAYS);
        for name in &mut self.names {
            name.truncate(name.floor_char_boundary(MAX_GATEWAY_NAME_BYTES));
        }
    }

    /// Whether the rejection concerns this version of this document.
    pub fn matches(&self, id: &DocumentId, version: DocumentVersion) -> bool {
        self.id == *id && self.version == version
    }
}
