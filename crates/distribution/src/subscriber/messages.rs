//! Inputs, outputs and settings of a subscriber.
use super::request::Subscription;
use crate::batch::placeholder;
use crate::event::{Event, EventNumber, Subject};
use larchway::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// The kind of source that a subscriber connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceKind {
    /// The source of events itself. It ignores `If-Match`, and its comments prove that it is alive and that all
    /// earlier events were sent.
    Plain,
    /// Relays, which compare histories and send heartbeats only while the source is alive.
    Relay,
}

/// Settings of a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberSettings {
    /// Addresses of the sources in order of preference. If empty, nothing is dialled.
    pub sources: Vec<SocketAddr>,
    /// Kind of all sources.
    pub kind: SourceKind,
    /// Whether the history of each source is compared with the applied events.
    pub verify: bool,
    /// Whether to switch to the sources' history when all of them reject the subscriber's. The switch is reported as a
    /// gap and begins with a snapshot. Otherwise the subscriber keeps requesting its own history.
    pub restart_history: bool,
    /// Whether to accept gzip.
    pub gzip: bool,
    /// Name of the scope that list events are reduced to, if any.
    pub scope: Option<String>,
    /// Maximum pause between two attempts. Must be shorter than the time within which events must be applied.
    pub max_backoff: Duration,
}

/// An input to a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input<'a> {
    /// The time of [`super::Subscriber::next_due`] has come.
    Tick,
    /// Bytes were received and decoded. Passed before the events and comments in them.
    BytesReceived,
    /// The next event of the stream.
    Event(EventMetadata),
    /// A comment line without the leading colon.
    Comment(&'a str),
    /// The source answered with a status other than 200.
    Refused {
        /// The HTTP status.
        status: u16,
        /// Value of `Retry-After`; limited to [`MAX_RETRY_AFTER`](super::MAX_RETRY_AFTER).
        retry_after: Option<Duration>,
    },
    /// The received bytes are not a valid event stream.
    Malformed,
    /// The source has ended its response in order; the connection may still be open.
    Ended,
    /// The connection was closed by the source, or connecting failed.
    Disconnected,
    /// The connection attempt failed immediately.
    ConnectFailed,
}

/// The properties of an event that a subscriber needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventMetadata {
    /// Event number; absent if the event cannot be read.
    pub number: Option<EventNumber>,
    /// Digest of the data in the requested scope; absent for a placeholder, which does not identify the history.
    pub digest: Option<u64>,
    /// Whether the event is a full store list. Relays send snapshots in this form.
    pub is_full_list: bool,
}

impl EventMetadata {
    /// Metadata of an event that cannot be read.
    pub const UNREADABLE: EventMetadata = EventMetadata { number: None, digest: None, is_full_list: false };

    /// Metadata of a received event.
    pub fn of_event(event: &Event) -> EventMetadata {
        let is_placeholder = *event.data == *placeholder(event.number);
        EventMetadata {
            number: Some(event.number),
            digest: (!is_placeholder).then_some(event.digest),
            is_full_list: event.subjects.contains(&Subject::StoreList),
        }
    }
}

/// Reasons for leaving a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// No data was received within the timeout.
    Silent,
    /// Events after the cursor are missing; they are requested a second time.
    EventMissing,
    /// An event cannot be read; it is requested a second time.
    EventUnreadable,
    /// The source has a different history.
    OtherHistory,
    /// The source does not have the event at the cursor.
    Behind,
    /// The source answered with this HTTP status.
    Refused(u16),
    /// The source sent invalid data.
    Malformed,
    /// The source has ended its response.
    Ended,
    /// The settings have changed.
    Reconfigured,
}

impl std::fmt::Display for LeaveReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LeaveReason::Silent => write!(f, "no data received in time"),
            LeaveReason::EventMissing => write!(f, "an event is missing"),
            LeaveReason::EventUnreadable => write!(f, "an event cannot be read"),
            LeaveReason::OtherHistory => write!(f, "its event history differs"),
            LeaveReason::Behind => write!(f, "it does not have the last applied event"),
            LeaveReason::Refused(status) => write!(f, "it answered {status}"),
            LeaveReason::Malformed => write!(f, "it sent invalid data"),
            LeaveReason::Ended => write!(f, "it ended its response"),
            LeaveReason::Reconfigured => write!(f, "the settings have changed"),
        }
    }
}

/// Reasons for a gap in the applied events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GapReason {
    /// The sources no longer have the events before the next one.
    EventsMissing {
        /// Number of the event that is applied next.
        next: EventNumber,
    },
    /// All sources have a different history, which is read from its beginning.
    OtherHistory,
    /// The history of the applied events is unknown. The source's history is read from its beginning.
    HistoryUnknown,
}

impl std::fmt::Display for GapReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            GapReason::EventsMissing { next } => write!(f, "the next one is event {next}"),
            GapReason::OtherHistory => write!(f, "all sources tell another history"),
            GapReason::HistoryUnknown => write!(f, "nothing tells in which history they were"),
        }
    }
}

/// An action for the caller. Actions are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Connect to the source and send the request. If that fails immediately, pass [`Input::ConnectFailed`].
    Dial(Subscription),
    /// Close the connection and drop its remaining events and comments.
    Close(LeaveReason),
    /// The source was alive at this time, and all of its earlier events have been received.
    SourceAlive(MonotonicTime),
    /// There is no connection, so it is unknown whether the source is alive.
    Disconnected,
    /// Events after `after` may be missing and will not be sent. Treat everything they may have purged as purged.
    Gap {
        /// Number of the last applied event.
        after: EventNumber,
        /// Why events are missing.
        reason: GapReason,
    },
    /// Apply the event that was just passed in.
    Apply(EventNumber),
    /// Skip the unreadable event that was just passed in. Treat everything it may have purged as purged.
    Skip,
}
