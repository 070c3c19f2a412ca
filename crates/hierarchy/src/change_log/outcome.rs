//! The outcome of a submitted change.
use crate::topology::RejectedEdit;
use std::fmt;

/// The outcome of a submitted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was applied and resulted in this epoch.
    Applied(u64),
    /// The change waits for the epoch that it is based on.
    Pending,
    /// The identical change was submitted before.
    Duplicate,
    /// Another change, with this id, was applied to the same epoch.
    Superseded(String),
    /// The topology rejects an edit of the change.
    Rejected(RejectedEdit),
    /// The epoch that the change is based on is no longer retained.
    EpochExpired,
    /// A different change has the same id.
    IdReused,
    /// Too many changes are pending or based on the same epoch.
    LimitReached,
}

/// Formats an outcome as logs and the printed plan show it.
impl fmt::Display for ChangeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeOutcome::Applied(epoch) => write!(f, "Applied({epoch})"),
            ChangeOutcome::Pending => f.write_str("Held"),
            ChangeOutcome::Duplicate => f.write_str("Known"),
            ChangeOutcome::Superseded(id) => write!(f, "Overtaken({id:?})"),
            ChangeOutcome::Rejected(RejectedEdit { index, error }) => write!(f, "Refused({index}, {error})"),
            ChangeOutcome::EpochExpired => f.write_str("Late"),
            ChangeOutcome::IdReused => f.write_str("Mistaken"),
            ChangeOutcome::LimitReached => f.write_str("Crowded"),
        }
    }
}
