//! How a relay finds that upstream has another history than its log.
use crate::event::EventNumber;
use crate::subscriber::LeaveReason;
use thiserror::Error;

/// Why a relay's log is void: upstream has another history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HistoryMismatch {
    /// Upstream sent another text for an event that the log holds.
    #[error("event {number} differs from the one in the log")]
    EventDiffers {
        /// Number of the event.
        number: EventNumber,
    },
    /// What came after a gap is not after the log's last event.
    #[error("upstream went back from event {last} to {received}")]
    NumberDecreased {
        /// The log's last event.
        last: EventNumber,
        /// The event that came.
        received: EventNumber,
    },
    /// All sources have another history than the one applied.
    #[error("after event {after}, {}", leave_text(*.reason))]
    AllSourcesDiffer {
        /// The last event applied.
        after: EventNumber,
        /// Why the last source was left; none if no connection to it was open.
        reason: Option<LeaveReason>,
    },
}

/// The reason as text; nothing where there is none.
fn leave_text(reason: Option<LeaveReason>) -> String {
    reason.map(|reason| reason.to_string()).unwrap_or_default()
}
