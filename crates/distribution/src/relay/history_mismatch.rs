//! The ways in which the history of upstream can differ from a relay's log.
use crate::event::EventNumber;
use crate::subscriber::LeaveReason;
use thiserror::Error;

/// Reasons why upstream's history differs from a relay's log, which makes the log invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HistoryMismatch {
    /// Upstream sent an event that differs from the log's event with the same number.
    #[error("event {number} differs from the one in the log")]
    EventDiffers {
        /// Number of the event.
        number: EventNumber,
    },
    /// The first event after a gap has a number that is not after the log's last event.
    #[error("upstream went back from event {last} to {received}")]
    NumberDecreased {
        /// The log's last event.
        last: EventNumber,
        /// Number of the received event.
        received: EventNumber,
    },
    /// The history of all sources differs from that of the applied events.
    #[error("after event {after}, {}", leave_text(*.reason))]
    AllSourcesDiffer {
        /// Number of the last applied event.
        after: EventNumber,
        /// Why the last source was left; absent if no connection was open.
        reason: Option<LeaveReason>,
    },
}

/// The reason as text; empty if there is none.
fn leave_text(reason: Option<LeaveReason>) -> String {
    reason.map(|reason| reason.to_string()).unwrap_or_default()
}
