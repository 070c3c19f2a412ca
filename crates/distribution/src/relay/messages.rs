//! What goes in and out of a relay, and its bounds.
use crate::batch::{Encoding, DEFAULT_GZIP_LEVEL};
use crate::event::{Event, EventNumber};
use crate::log::LogLimits;
use crate::positions::{PositionReport, PositionTerms};
use crate::scope::Scope;
use larchway::Micros;
use std::collections::BTreeMap;

/// Microseconds in a millisecond and in a second.
const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;

/// A subscriber's connection, as the caller numbers it; never used twice.
pub type SubscriberId = u64;

/// The bounds and times of a relay.
#[derive(Debug, Clone)]
pub struct RelayTerms {
    /// Bounds of the event log.
    pub log: LogLimits,
    /// Time for which events gather before they are sealed into one batch, µs.
    pub batch: Micros,
    /// Bytes of event text at which a batch is sealed before its time.
    pub batch_bytes: usize,
    /// Sealed batches remembered at most; a subscriber further behind goes back to catch-up pages.
    pub ring: usize,
    /// Bytes of the sealed batches' texts and encoded pieces at most; the oldest batch is dropped.
    pub ring_bytes: usize,
    /// Events in a catch-up page; pages begin at multiples of it, plus one.
    pub page_events: u64,
    /// Bytes of encoded pages and snapshots remembered at most; the one used longest ago is dropped.
    pub cache_bytes: usize,
    /// Subscribers that catch up at the same time at most; others wait, first come first served.
    pub catch_up_at_once: usize,
    /// Subscribers that wait for catch-up at most; past it they are turned away as [`RejectReason::Busy`].
    pub waiting: usize,
    /// Time a subscriber waits for catch-up before it is turned away, µs.
    pub admit_wait: Micros,
    /// Time a subscriber may take to catch up before it is cut off, µs.
    pub catch_up_limit: Micros,
    /// Time for which a subscriber may leave a batch that is there unread before it is cut off, µs.
    pub stall_limit: Micros,
    /// Subscribers at most, those waiting included; past it they are turned away.
    pub subscribers: usize,
    /// Shortest time after which one that was turned away is to come again, µs.
    pub retry_after: Micros,
    /// Random time added to `retry_after` at most, µs.
    pub retry_jitter: Micros,
    /// Time between two position reports upstream, µs.
    pub report_every: Micros,
    /// Bounds of the positions.
    pub positions: PositionTerms,
    /// Scopes by name.
    pub scopes: BTreeMap<String, Scope>,
    /// Level of the gzip encoding, 0 to 9.
    pub gzip_level: u32,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for RelayTerms {
    fn default() -> RelayTerms {
        RelayTerms {
            log: LogLimits { events: 200_000, bytes: 64 << 20 },
            batch: 250 * MILLISECOND,
            batch_bytes: 256 << 10,
            ring: 256,
            ring_bytes: 16 << 20,
            page_events: 1000,
            cache_bytes: 16 << 20,
            catch_up_at_once: 64,
            waiting: 16_384,
            admit_wait: 5 * SECOND,
            catch_up_limit: 30 * SECOND,
            stall_limit: 10 * SECOND,
            subscribers: 16_384,
            retry_after: SECOND,
            retry_jitter: 2 * SECOND,
            report_every: SECOND,
            positions: PositionTerms { lost_for: 10 * SECOND, lost: 16_384, advances: 4096 },
            scopes: BTreeMap::new(),
            gzip_level: DEFAULT_GZIP_LEVEL,
            seed: 0,
        }
    }
}

/// A subscriber's request, as far as the relay needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
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
    /// A heartbeat from upstream, after all events before it; the time at which the source was heard, Unix µs.
    Heartbeat {
        /// When the root relay heard the source.
        heard: Micros,
    },
    /// The stream from upstream has begun; the relay is ready again with the first heartbeat.
    UpstreamUp,
    /// The stream from upstream has ended.
    UpstreamLost,
    /// The first event after a gap, in most cases a snapshot: the log begins anew.
    UpstreamGap(Event),
    /// Upstream tells another history than the log's; says how that was found.
    OtherHistory(String),
    /// A subscriber asks for events.
    Subscribe {
        /// Its connection.
        id: SubscriberId,
        /// Its request.
        hello: Hello,
    },
    /// A subscriber says how far it is.
    Position {
        /// Its connection.
        id: SubscriberId,
        /// Its report.
        report: PositionReport,
    },
    /// A subscriber's connection has ended.
    Gone(SubscriberId),
    /// The time of [`super::Relay::next_due`] has come.
    Tick,
}

/// Why a subscriber is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The relay's last event is before the subscriber's cursor (503).
    Behind,
    /// The relay's log tells another history (412).
    OtherHistory,
    /// The relay is not caught up itself, or can't verify the cursor yet (503).
    NotReady,
    /// Too many catch up and wait (503).
    Busy,
    /// There is no such scope (404).
    UnknownScope,
    /// Too many subscribers (503).
    TooMany,
}

impl RejectReason {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RejectReason::OtherHistory => 412,
            RejectReason::UnknownScope => 404,
            RejectReason::Behind | RejectReason::NotReady | RejectReason::Busy | RejectReason::TooMany => 503,
        }
    }
}

/// Why a subscriber is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CutReason {
    /// It fell behind the batches for the second time, or could not go back to catch-up.
    FellBehind,
    /// It left a batch unread for too long.
    Stalled,
    /// It did not catch up in time.
    CatchUpTooSlow,
    /// What it needs is not in the log any more and no whole list is known.
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
    /// Turn this subscriber away. The relay has forgotten it.
    Reject {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: RejectReason,
        /// When it may come again, µs from now; `Retry-After` on 503.
        retry_after: Micros,
    },
    /// Close this subscriber's connection. The relay has forgotten it.
    Cut {
        /// The subscriber.
        id: SubscriberId,
        /// Why.
        reason: CutReason,
    },
    /// A batch was sealed: pull for all subscribers that had nothing to read.
    Ready,
    /// Send upstream.
    Report(PositionReport),
    /// The relay serves nobody any more, for this reason, until upstream begins anew with a gap.
    StopServing(String),
}
