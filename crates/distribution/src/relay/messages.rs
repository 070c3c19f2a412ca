//! What goes in and out of a relay.
use super::history_mismatch::HistoryMismatch;
use crate::batch::Encoding;
use crate::event::{Event, EventNumber};
use crate::positions::PositionReport;
use larchway_unix_time::UnixMicros;
use std::time::Duration;

/// A subscriber's connection, as the caller numbers it; never used twice.
pub type SubscriberId = u64;

/// A subscriber's request, as far as the relay needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// `Last-Event-ID`: the last event it has; none (or 0) if it has nothing yet.
    pub cursor: Option<EventNumber>,
    /// `If-Match`: digest of that event's data.
    pub digest: Option<u64>,
    /// Content coding that it accepts.
    pub encoding: Encoding,
    /// `scope` of the query.
    pub scope: Option<String>,
    /// Its name, which ties its position to that of an earlier connection.
    pub name: Option<String>,
}

/// What happens to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The next event from upstream.
    Event(Event),
    /// A heartbeat from upstream, after all events before it.
    Heartbeat {
        /// When the root relay last received bytes from the source, by its clock.
        source_alive_at: UnixMicros,
    },
    /// The stream from upstream has begun; the relay is ready again with the first heartbeat.
    UpstreamConnected,
    /// The stream from upstream has ended.
    UpstreamDisconnected,
    /// The first event after a gap, in most cases a snapshot: the log begins anew.
    UpstreamGap(Event),
    /// Upstream has another history than the log.
    OtherHistory(HistoryMismatch),
    /// A subscriber asks for events.
    Subscribe {
        /// Its connection.
        id: SubscriberId,
        /// Its request.
        request: SubscribeRequest,
    },
    /// A subscriber says how far it is.
    Position {
        /// Its connection.
        id: SubscriberId,
        /// Its report.
        report: PositionReport,
    },
    /// A subscriber's connection has ended.
    SubscriberDisconnected(SubscriberId),
    /// The time of [`super::Relay::next_due`] has come.
    Tick,
}

/// Why a subscriber is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The relay's last event is before the subscriber's cursor (503).
    Behind,
    /// The relay's log has another history (412).
    OtherHistory,
    /// The relay was not caught up itself within the time that a subscriber waits for that, or can't verify the cursor
    /// yet (503).
    NotReady,
    /// Too many catch up and wait (503).
    Busy,
    /// There is no such scope (404).
    UnknownScope,
    /// Too many subscribers (503).
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

/// Why a subscriber is disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DisconnectReason {
    /// It fell behind the batches for the second time, or could not go back to catch-up.
    FellBehind,
    /// It left a batch unread for too long.
    Stalled,
    /// It did not catch up in time.
    CatchUpTooSlow,
    /// What it needs is not in the log any more and no full list is known.
    NoSnapshot,
    /// Events are missing that no jump of numbers shows: it has to come again for a snapshot.
    HiddenGap,
    /// The relay has stopped serving.
    StoppedServing,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the response head to this subscriber, then pull its chunks.
    Accept(SubscriberId),
    /// Reject this subscriber. The relay holds nothing of it any more.
    Reject {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: RejectReason,
        /// How long it is to wait before it comes again; `Retry-After` on 503.
        retry_after: Duration,
    },
    /// Close this subscriber's connection. The relay holds nothing of it any more.
    Disconnect {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: DisconnectReason,
    },
    /// A batch was sealed: pull for all subscribers that had nothing to read.
    BatchSealed,
    /// Send upstream.
    Report(PositionReport),
    /// The relay serves nobody any more, for this reason, until upstream begins anew with a gap.
    StopServing(HistoryMismatch),
}
