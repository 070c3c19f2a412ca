//! The subscriber to numbered events that gateways and relays use. It connects to the source of events or to relays.
//!
//! It decides when to dial which source, which events to apply, and which are missing. The caller owns the connection
//! and the decoder: it passes input to [`Subscriber::handle`] and carries out the [`Output`]s. Events are applied once
//! and in order (E2); skipped events are reported as a gap before the next event (E1).
//!
//! For each decoded piece, the caller passes [`Input::BytesReceived`], then each event and comment in order, and
//! applies an event when it gets [`Output::Apply`] for it. After [`Output::Close`] it drops the rest of the piece.
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
use link::{Connection, Link, ReferenceEvent, Response};
use sources::Sources;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without data after which a source is left. Sources send at least a heartbeat every second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time from a request to the first event or comment of the response after which a source is left. Relays queue
/// requests beyond their limit of concurrent catch-ups, and a crowded source serves requests in turn. Doubled, up to
/// [`MAX_ANSWER_TIMEOUT`], for each round of requests to all sources that none has answered: one that takes longer
/// than the time-out would never be heard.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest time that a source may take to answer.
pub const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(24);
/// Time within which a plain source must resend the event that is used to compare histories.
const OVERLAP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of events that are requested again from a plain source to compare histories. More than one is needed
/// when the events at the cursor have no digest.
const MAX_OVERLAP_EVENTS: EventNumber = 1000;

/// Result of [`Subscriber::advance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorChange {
    /// The cursor was before that event and has moved to it.
    Advanced,
    /// The cursor was already at or past that event.
    Unchanged,
}

/// A subscriber's state, which is constant in size.
#[derive(Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    sources: Sources,
    seed: u64,
    link: Link,
    /// The last event applied; 0 before the first.
    cursor: EventNumber,
    /// The last applied event whose digest identifies the history.
    reference_event: Option<ReferenceEvent>,
    /// The cursor after which a missing or unreadable event was last requested a second time.
    retried_cursor: Option<EventNumber>,
    /// Time at which the source was last known to be alive, from the last comment.
    source_alive_at: Option<MonotonicTime>,
    /// The same time by the clock of the root relay.
    source_alive_unix: Option<UnixMicros>,
    anchor: Anchor,
    gaps: u64,
}

impl Subscriber {
    /// Creates a subscriber that has applied the events up to `cursor`. It dials at the first tick. `seed` determines
    /// the jitter of its pauses.
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

    /// Applies new settings. The connection is closed if anything other than the maximum backoff has changed.
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

    /// Advances the cursor because events up to this number were applied by other means, for instance from a
    /// configuration that contains them. Numbers beyond [`MAX_EVENT_NUMBER`] are limited to it.
    pub fn advance(&mut self, number: EventNumber) -> CursorChange {
        let number = number.min(MAX_EVENT_NUMBER);
        if number <= self.cursor {
            return CursorChange::Unchanged;
        }
        (self.cursor, self.reference_event) = (number, None);
        CursorChange::Advanced
    }

    /// Sets the anchor that converts the Unix times of relays' heartbeats to monotonic times. Without it, both clocks
    /// are assumed to be equal.
    pub fn set_anchor(&mut self, anchor: Anchor) {
        self.anchor = anchor;
    }

    /// Time at which the source was last known to be alive, by the clock of the root relay. Relays forward it.
    pub fn source_alive_unix(&self) -> Option<UnixMicros> {
        self.source_alive_unix
    }

    /// Number of the last event applied; 0 before the first.
    pub fn cursor(&self) -> EventNumber {
        self.cursor
    }

    /// The source that is connected or will be dialled next.
    pub fn source(&self) -> Option<SocketAddr> {
        self.sources.current()
    }

    /// Number of gaps and skipped events so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Whether a comment has shown that all events of the connected source have been received.
    pub fn caught_up(&self) -> bool {
        matches!(self.link, Link::Connected(Connection { caught_up: true, .. }))
    }

    /// Age of the applied state: time since the source was last known to be alive with all earlier events applied.
    /// `None` until that is first known.
    pub fn lag(&self, now: MonotonicTime) -> Option<Duration> {
        self.source_alive_at.map(|alive_at| now.saturating_since(alive_at))
    }

    /// Time at which the caller has to pass [`Input::Tick`]; `None` without sources.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.link.next_due()
    }

    /// Processes an input and appends the actions for the caller to `out`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::ConnectFailed => self.schedule_next(now),
            Input::Disconnected => {
                out.push(Output::Disconnected);
                self.schedule_next(now);
            }
            Input::BytesReceived => self.handle_bytes(now),
            Input::Comment(text) => self.handle_comment(now, text, out),
            Input::Event(event) => self.handle_event(now, event, out),
            Input::Malformed => self.fail_over(now, LeaveReason::Malformed, out),
            Input::Ended => self.fail_over(now, LeaveReason::Ended, out),
            Input::Refused { status, retry_after } => self.handle_refusal(now, status, retry_after, out),
        }
    }

    fn tick(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        match self.link {
            Link::Waiting { until } if now >= until => self.dial(now, out),
            Link::Connected(connection) if now >= connection.silent_at => {
                if connection.response != Response::Streaming {
                    self.sources.record_unanswered();
                }
                self.fail_over(now, LeaveReason::Silent, out);
            }
            Link::Connected(connection) if connection.overlap_due().is_some_and(|due| now >= due) => {
                self.reject_history(now, LeaveReason::Behind, out);
            }
            _ => {}
        }
    }
}
