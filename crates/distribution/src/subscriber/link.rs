//! The connection of a subscriber to its source.
use crate::event::EventNumber;
use larchway::MonotonicTime;
use std::time::Duration;

/// An event by whose data histories are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReferenceEvent {
    pub number: EventNumber,
    pub digest: u64,
}

/// The event that a plain source is to repeat first, and until when.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overlap {
    pub event: ReferenceEvent,
    pub until: MonotonicTime,
}

/// A connection to the current source, from its dial on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Connection {
    /// The events after this one were requested.
    pub after: EventNumber,
    /// When it is given up, if nothing comes until then.
    pub silent_at: MonotonicTime,
    /// Whether an event came.
    pub has_events: bool,
    /// Whether a comment came: the source has nothing more to send now.
    pub caught_up: bool,
    /// By how much its heartbeats lie ahead of the clock here, at most.
    pub clock_lead: Duration,
    /// What is awaited before its history is known to be the same.
    pub overlap: Option<Overlap>,
}

/// The state of a subscriber's connection.
#[derive(Debug, Clone, Copy)]
pub(super) enum Link {
    /// There is no source.
    Idle,
    /// The current source is dialled at this time.
    Waiting {
        until: MonotonicTime,
    },
    Connected(Connection),
}

impl Link {
    /// Before the first dial, which is due now if there is a source.
    pub(super) fn before_dial(now: MonotonicTime, has_source: bool) -> Link {
        match has_source {
            true => Link::Waiting { until: now },
            false => Link::Idle,
        }
    }

    /// The connection, if there is one.
    pub(super) fn connection_mut(&mut self) -> Option<&mut Connection> {
        match self {
            Link::Connected(connection) => Some(connection),
            Link::Idle | Link::Waiting { .. } => None,
        }
    }

    /// When a tick is wanted.
    pub(super) fn next_due(&self) -> Option<MonotonicTime> {
        match self {
            Link::Idle => None,
            Link::Waiting { until } => Some(*until),
            Link::Connected(connection) => {
                let silent_at = connection.silent_at;
                Some(connection.overlap.map_or(silent_at, |overlap| overlap.until.min(silent_at)))
            }
        }
    }
}
