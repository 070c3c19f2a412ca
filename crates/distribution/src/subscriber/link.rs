//! The state of a subscriber's connection to its source.
use crate::event::EventNumber;
use larchway::MonotonicTime;
use std::time::Duration;

/// An event whose digest is used to compare the source's history with the subscriber's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReferenceEvent {
    pub number: EventNumber,
    pub digest: u64,
}

/// The event that a plain source, which does not compare digests, has to resend first, and the deadline for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overlap {
    pub event: ReferenceEvent,
    pub until: MonotonicTime,
}

/// How far the response of a source has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Response {
    /// Nothing was received.
    Awaited,
    /// Bytes were received, but no complete event or comment.
    Begun,
    /// An event or a comment was received.
    Streaming,
}

/// A connection to the current source, from the dial on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Connection {
    /// The events after this number were requested from the source.
    pub after: EventNumber,
    /// Time at which the connection is closed unless data arrives before.
    pub silent_at: MonotonicTime,
    /// How far the response has come.
    pub response: Response,
    /// Whether an event was received on this connection.
    pub has_events: bool,
    /// Whether a comment was received, which means that all events of the source have been sent.
    pub caught_up: bool,
    /// Largest amount by which the source's heartbeats were ahead of the local clock.
    pub clock_lead: Duration,
    /// The event still expected as proof that the source has the same history.
    pub overlap: Option<Overlap>,
}

impl Connection {
    /// When the source is rejected unless it has resent the expected event; `None` if none is expected, or the source
    /// has not begun to answer.
    pub(super) fn overlap_due(&self) -> Option<MonotonicTime> {
        self.overlap.filter(|_| self.response != Response::Awaited).map(|overlap| overlap.until)
    }
}

/// The state of a subscriber's connection.
#[derive(Debug, Clone, Copy)]
pub(super) enum Link {
    /// There are no sources.
    Idle,
    /// The current source will be dialled at this time.
    Waiting {
        until: MonotonicTime,
    },
    Connected(Connection),
}

impl Link {
    /// The state before the first dial, which happens at the next tick if there is a source.
    pub(super) fn before_dial(now: MonotonicTime, has_source: bool) -> Link {
        match has_source {
            true => Link::Waiting { until: now },
            false => Link::Idle,
        }
    }

    /// The current connection, if any.
    pub(super) fn connection_mut(&mut self) -> Option<&mut Connection> {
        match self {
            Link::Connected(connection) => Some(connection),
            Link::Idle | Link::Waiting { .. } => None,
        }
    }

    /// Time at which the next tick is needed; `None` without sources.
    pub(super) fn next_due(&self) -> Option<MonotonicTime> {
        match self {
            Link::Idle => None,
            Link::Waiting { until } => Some(*until),
            Link::Connected(connection) => {
                let silent_at = connection.silent_at;
                Some(connection.overlap_due().map_or(silent_at, |due| due.min(silent_at)))
            }
        }
    }
}
