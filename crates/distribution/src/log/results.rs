//! Result types of [`EventLog`](super::EventLog) operations.
use crate::event::{Event, EventNumber};
use thiserror::Error;

/// The outcome of a successful append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The event was stored as the log's last event.
    Stored {
        /// Number of earlier events touched because they concern the same subjects.
        replaced: usize,
        /// Number of events evicted because a limit was exceeded.
        evicted: usize,
    },
    /// The log already has this event, or has evicted it.
    Duplicate,
}

/// Reasons why an event was not appended. The log is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The log has a different event with this number, so the source has a different history.
    #[error("event {number} differs from the one in the log")]
    OtherHistory {
        /// The number at which the histories differ.
        number: EventNumber,
    },
    /// Events before this one are missing.
    #[error("events missing from number {expected} on")]
    Gap {
        /// The number of the first missing event.
        expected: EventNumber,
    },
}

/// The result of comparing a subscriber's history with the log's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryCheck {
    /// The digests match.
    Same,
    /// The digests differ.
    Other,
    /// The log has no digest of this event.
    Unknown,
}

/// An event number in the log's range, as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEntry<'a> {
    /// The event, which no later event has replaced.
    Current(&'a Event),
    /// The event was replaced by a later one.
    Replaced,
}
