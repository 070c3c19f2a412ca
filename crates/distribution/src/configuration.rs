//! Configuration distributed as events: versioned documents for all gateways or for a share of them
//! (`docs/design/configuration-events.md`).
mod document;
mod error;
mod event;
mod gateway;
mod identity;
mod observation;
mod rejection_totals;
mod rejections;
mod rollout;
mod rollout_plan;
mod table;
mod targets;

pub use document::Document;
pub use error::{DocumentError, DocumentsError};
pub use event::{DocumentEntry, DocumentsEvent, MAX_ENTRIES};
pub use gateway::{Candidate, DocumentChange, GatewayDocuments, Rejection};
pub use identity::{DocumentId, DocumentKind, DocumentVersion};
pub use observation::Observation;
pub use rejection_totals::{RejectionTotals, ReportedRejections, MAX_STORED_REJECTIONS};
pub use rejections::{
    RejectedVersion, MAX_GATEWAY_NAME_BYTES, MAX_REASON_BYTES, MAX_REJECTING_GATEWAYS, MAX_REJECTIONS,
};
pub use rollout::{HaltReason, Rollout, RolloutInput, RolloutOutput, RolloutState};
pub use rollout_plan::{PlanError, RolloutPlan, RolloutStage, MAX_STAGES};
pub use table::{DocumentTable, StoredDocument, TableChange, MAX_DOCUMENTS, MAX_DOCUMENT_BYTES};
pub use targets::{Targets, MAX_ZONES};

/// Maximum length of a document's name in bytes.
pub const MAX_DOCUMENT_NAME_BYTES: usize = 255;

/// Maximum size of a document's content in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 << 10;
