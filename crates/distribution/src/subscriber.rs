//! A subscriber to numbered events: of a gateway or of a relay, to the source of events itself or to relays.
//!
//! It decides which source is dialled and when, which events are applied, and what is missing. The caller owns the
//! connection and the decoder: it hands in what it reads by [`Subscriber::handle`] and carries out the [`Output`]s.
//! Events are applied in order, once (E2); whatever is skipped is reported as a gap before the next one (E1).
//!
//! A caller decodes each piece of input, hands in [`Input::BytesReceived`], then each event and comment in its order,
//! and applies the event when it gets [`Output::Apply`] for it. After [`Output::Close`] it drops the rest of the piece.
mod dialing;
mod link;
mod messages;
mod request;
mod sources;
mod stream;

pub use messages::{EventMetadata, GapReason, Input, LeaveReason, Output, SourceKind, SubscriberSettings};
pub use request::{position_request, Subscription, EVENTS_PATH, POSITION_PATH};
pub use sources::{shuffled, INITIAL_BACKOFF, MAX_RETRY_AFTER};

use crate::event::{EventNumber, MAX_EVENT_NUMBER};
use larchway::MonotonicTime;
use larchway_unix_time::{Anchor, UnixMicros};
use link::{Connection, Link, ReferenceEvent};
use sources::Sources;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a source is left: it sends something each second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that a relay may leave a request unanswered: it holds those back that are too many to catch up at once.
pub const ADMISSION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time in which a plain source must repeat the event that the history is compared by.
const OVERLAP_TIMEOUT: Duration = Duration::from_secs(5);
/// Events requested again, at most, to compare histories when those at the cursor have no digest.
const MAX_OVERLAP_EVENTS: EventNumber = 1000;

/// What [`Subscriber::advance`] has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorChange {
    /// The cursor was before that event, and is there now.
    Advanced,
    /// The cursor was there already, or past it.
    Unchanged,
}

/// A subscriber. Its state is constant in size.
#[derive(Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    sources: Sources,
    seed: u64,
    link: Link,
    /// The last event applied; 0 before the first.
    cursor: EventNumber,
    /// The last event applied whose digest identifies the history.
    reference_event: Option<ReferenceEvent>,
    /// The cursor at which the next event was missing or unreadable, when it was requested once more.
    retried_cursor: Option<EventNumber>,
    /// When the source was last known to be alive, by the last comment.
    source_alive_at: Option<MonotonicTime>,
    /// The same by the clock of the root relay.
    source_alive_unix: Option<UnixMicros>,
    anchor: Anchor,
    gaps: u64,
}

impl Subscriber {
    /// A subscriber that has applied events up to a number; it dials at the first tick. The seed decides its jitter.
    pub fn new(
        now: MonotonicTime,
        settings: SubscriberSettings,
        cursor: EventNumber,
        seed: u64,
    ) -> Subscriber {
        let sources = Sources::new(settings.sources.clone(), settings.max_backoff, seed);
        let link = Link::before_dial(now, !settings.sources.is_empty());
        Subscriber {
            settings,
            sources,
            seed,
            link,
            cursor: cursor.min(MAX_EVENT_NUMBER),
            reference_event: None,
            retried_cursor: None,
            source_alive_at: None,
            source_alive_unix: None,
            anchor: Anchor::default(),
            gaps: 0,
        }
    }

    /// Puts other settings in force. A connection that the settings would make otherwise is closed.
    pub fn configure(&mut self, now: MonotonicTime, settings: SubscriberSettings, out: &mut Vec<Output>) {
        let without_backoff = |settings: &SubscriberSettings| SubscriberSettings {
            max_backoff: Duration::ZERO,
            ..settings.clone()
        };
        let is_same = without_backoff(&self.settings) == without_backoff(&settings);
        self.sources.set_max_backoff(settings.max_backoff);
        self.settings = settings;
        if is_same {
            return;
        }
        self.close_connection(LeaveReason::Reconfigured, out);
        self.reference_event = None;
        self.sources = Sources::new(self.settings.sources.clone(), self.settings.max_backoff, self.seed);
        self.link = Link::before_dial(now, !self.settings.sources.is_empty());
    }

    /// Events up to this number are applied by other means, such as a configuration that holds them. No event lies past
    /// [`MAX_EVENT_NUMBER`].
    pub fn advance(&mut self, number: EventNumber) -> CursorChange {
        let number = number.min(MAX_EVENT_NUMBER);
        if number <= self.cursor {
            return CursorChange::Unchanged;
        }
        (self.cursor, self.reference_event) = (number, None);
        CursorChange::Advanced
    }

    /// Sets the clocks by which relays' heartbeats are read; without it, monotonic instants are those of the Unix
    /// clock.
    pub fn set_anchor(&mut self, anchor: Anchor) {
        self.anchor = anchor;
    }

    /// When the source was last known to be alive, by the clock of the root relay: for relays, which forward it.
    pub fn source_alive_unix(&self) -> Option<UnixMicros> {
        self.source_alive_unix
    }

    /// The last event applied.
    pub fn cursor(&self) -> EventNumber {
        self.cursor
    }

    /// The source that is connected or dialled next.
    pub fn source(&self) -> Option<SocketAddr> {
        self.sources.current()
    }

    /// Gaps and skipped events so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Whether all that the connected source had at its last comment is applied.
    pub fn caught_up(&self) -> bool {
        matches!(self.link, Link::Connected(Connection { caught_up: true, .. }))
    }

    /// How old the state is that the events applied make up: the time since the source was last known to be alive with
    /// all events before applied. None before that was first known.
    pub fn lag(&self, now: MonotonicTime) -> Option<Duration> {
        self.source_alive_at.map(|alive_at| now.saturating_since(alive_at))
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.link.next_due()
    }

    /// Takes in what has happened and appends what the caller has to do.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::ConnectFailed => self.schedule_next(now),
            Input::Disconnected => {
                out.push(Output::Disconnected);
                self.schedule_next(now);
            }
            Input::BytesReceived => self.handle_bytes(now, out),
            Input::Comment(text) => self.handle_comment(now, text, out),
            Input::Event(event) => self.handle_event(now, event, out),
            Input::Malformed => self.fail_over(now, LeaveReason::Malformed, out),
            Input::Refused { status, retry_after } => self.handle_refusal(now, status, retry_after, out),
        }
    }

    fn tick(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        match self.link {
            Link::Waiting { until } if now >= until => self.dial(now, out),
            Link::Connected(connection) if now >= connection.silent_at => {
                self.fail_over(now, LeaveReason::Silent, out);
            }
            Link::Connected(Connection { overlap: Some(overlap), .. }) if now >= overlap.until => {
                self.reject_history(now, LeaveReason::Behind, out);
            }
            _ => {}
        }
    }
}
