//! Inputs and outputs of a relay.
use super::history_mismatch::HistoryMismatch;
use crate::batch::Encoding;
use crate::event::{Event, EventNumber};
use crate::positions::PositionReport;
use larchway_unix_time::UnixMicros;
use std::time::Duration;

/// Identifies a subscriber's connection. Assigned by the caller and never reused.
pub type SubscriberId = u64;

/// The parts of a subscriber's request that the relay needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// Value of `Last-Event-ID`: the subscriber's last event; `None` or 0 if it has none.
    pub cursor: Option<EventNumber>,
    /// Value of `If-Match`: digest of that event's data.
    pub digest: Option<u64>,
    /// Content coding of the response.
    pub encoding: Encoding,
    /// Scope name from the query parameter `scope`, if any.
    pub scope: Option<String>,
    /// Name of the subscriber, which links its position to its earlier connections.
    pub name: Option<String>,
}

/// An input to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The next event from upstream.
    Event(Event),
    /// A heartbeat from upstream, after all events before it.
    Heartbeat {
        /// Time at which the root relay last received bytes from the source, by the root relay's clock.
        source_alive_at: UnixMicros,
    },
    /// The upstream stream has begun. The relay becomes ready with the first heartbeat.
    UpstreamConnected,
    /// The upstream stream has ended.
    UpstreamDisconnected,
    /// The first event after a gap, usually a snapshot. The log restarts with it.
    UpstreamGap(Event),
    /// The history of upstream differs from the log's.
    OtherHistory(HistoryMismatch),
    /// A subscriber requests events.
    Subscribe {
        /// The subscriber's connection.
        id: SubscriberId,
        /// The request.
        request: SubscribeRequest,
    },
    /// A subscriber reports its position.
    Position {
        /// The subscriber's connection.
        id: SubscriberId,
        /// The report.
        report: PositionReport,
    },
    /// A subscriber's connection has ended.
    SubscriberDisconnected(SubscriberId),
    /// The time of [`super::Relay::next_due`] has come.
    Tick,
}

/// Reasons for rejecting a subscriber, with the HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The relay's last event is before the subscriber's cursor (503).
    Behind,
    /// The history of the relay's log differs from the subscriber's (412).
    OtherHistory,
    /// The relay did not become ready within the subscriber's waiting time, or cannot verify the cursor yet (503).
    NotReady,
    /// Too many subscribers are catching up or waiting (503).
    Busy,
    /// The requested scope does not exist (404).
    UnknownScope,
    /// The limit of subscribers is reached (503).
    TooManySubscribers,
}

impl RejectReason {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RejectReason::OtherHistory => 412,
            RejectReason::UnknownScope => 404,
            RejectReason::Behind
            | RejectReason::NotReady
            | RejectReason::Busy
            | RejectReason::TooManySubscribers => 503,
        }
    }
}

/// Reasons for disconnecting a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DisconnectReason {
    /// The subscriber fell behind the sealed batches for the second time, or could not return to catch-up.
    FellBehind,
    /// The subscriber left a batch unread for longer than the stall timeout.
    Stalled,
    /// The subscriber did not catch up within the catch-up timeout.
    CatchUpTooSlow,
    /// The events that the subscriber needs are no longer in the log, and no complete store list is available for a
    /// snapshot.
    NoSnapshot,
    /// Events are missing without a visible jump in the numbers. The subscriber has to reconnect to get a snapshot.
    HiddenGap,
    /// The relay stopped serving because upstream has a different history.
    StoppedServing,
}

/// An action for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the response head to this subscriber, then pull its chunks.
    Accept(SubscriberId),
    /// Reject this subscriber. The relay has already removed its state.
    Reject {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: RejectReason,
        /// Time after which the subscriber may retry; sent as `Retry-After` with status 503.
        retry_after: Duration,
    },
    /// Close this subscriber's connection. The relay has already removed its state.
    Disconnect {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: DisconnectReason,
    },
    /// A batch was sealed. Pull chunks for all subscribers that had nothing to read.
    BatchSealed,
    /// Send this position report upstream.
    Report(PositionReport),
    /// The relay stops serving all subscribers, for this reason, until upstream restarts with a gap.
    StopServing(HistoryMismatch),
}
