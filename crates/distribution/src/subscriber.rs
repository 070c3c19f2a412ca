//! A subscriber to numbered events: of a gateway or of a relay, to the source of events itself or to relays.
//!
//! It decides which source is dialled and when, which events are applied, and what is missing. The caller owns the
//! connection and the decoder: it hands in what it reads by [`Subscriber::handle`] and carries out the [`Output`]s.
//! Events are applied in order, once (E2); whatever is skipped is reported as a gap before the next one (E1).
//!
//! A caller decodes each piece of input, hands in [`Input::Heard`], then each event and comment in its order, and applies
//! the event when it gets [`Output::Apply`] for it. After [`Output::Close`] it drops the rest of the piece.
mod messages;
mod request;
mod sources;

pub use messages::{GapReason, Input, LeaveReason, Output, Received, SourceKind, SubscriberTerms};
pub use request::{position_request, Subscription, EVENTS_PATH, POSITION_PATH};
pub use sources::{shuffled, FIRST_BACKOFF};

use crate::event::{EventNumber, FIRST_EVENT};
use larchway::Micros;
use sources::Sources;
use std::net::SocketAddr;

/// Silence after which a source is left, µs: it says something each second.
pub const SILENT: Micros = 2_500_000;
/// Time that a relay may leave a request unanswered, µs: it holds those back that are too many to catch up at once.
pub const ADMISSION_WAIT: Micros = 6_000_000;
/// Time in which a plain source must repeat the event that the history is compared by, µs.
const OVERLAP_WAIT: Micros = 5_000_000;
/// Events asked for again, at most, to compare histories when those at the cursor have no digest.
const MOST_OVERLAP: EventNumber = 1000;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// An event whose data the history is compared by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    number: EventNumber,
    digest: u64,
}

/// A connection to the current source, from its dial on.
#[derive(Debug, Clone, Copy)]
struct Connection {
    /// The events after this one were asked for.
    after: EventNumber,
    /// When it is given up, if nothing comes until then.
    silent_at: Micros,
    /// Whether an event came.
    begun: bool,
    /// Whether a comment came: the source has nothing more to send now.
    caught_up: bool,
    /// The event that a plain source is to repeat first, and until when.
    overlap: Option<Overlap>,
}

#[derive(Debug, Clone, Copy)]
struct Overlap {
    known: Known,
    until: Micros,
}

#[derive(Debug, Clone, Copy)]
enum Link {
    /// There is no source.
    Idle,
    /// The current source is dialled then.
    Waiting {
        until: Micros,
    },
    Connected(Connection),
}

/// A subscriber. Its state is constant in size.
#[derive(Debug)]
pub struct Subscriber {
    terms: SubscriberTerms,
    sources: Sources,
    seed: u64,
    link: Link,
    /// The last event applied; 0 before the first.
    cursor: EventNumber,
    /// The last event applied that tells something of the history.
    known: Option<Known>,
    /// The cursor at which the next event was missing or unreadable, when it was asked for once more.
    asked_again: Option<EventNumber>,
    /// When the source lived, as the last comment told.
    source_heard: Option<Micros>,
    gaps: u64,
}

impl Subscriber {
    /// A subscriber that has applied events up to a number; it dials at the first tick. The seed decides its jitter.
    pub fn new(now: Micros, terms: SubscriberTerms, cursor: EventNumber, seed: u64) -> Subscriber {
        let sources = Sources::new(terms.sources.clone(), terms.longest_backoff, seed);
        let link = if terms.sources.is_empty() { Link::Idle } else { Link::Waiting { until: now } };
        Subscriber {
            terms,
            sources,
            seed,
            link,
            cursor,
            known: None,
            asked_again: None,
            source_heard: None,
            gaps: 0,
        }
    }

    /// Puts other terms in force. A connection to a source that the terms no longer ask in this way is closed.
    pub fn configure(&mut self, now: Micros, terms: SubscriberTerms, out: &mut Vec<Output>) {
        let asks = |terms: &SubscriberTerms| SubscriberTerms { longest_backoff: 0, ..terms.clone() };
        let same = asks(&self.terms) == asks(&terms);
        self.sources.set_longest_backoff(terms.longest_backoff);
        self.terms = terms;
        if same {
            return;
        }
        self.leave(LeaveReason::Reconfigured, out);
        self.known = None;
        self.sources = Sources::new(self.terms.sources.clone(), self.terms.longest_backoff, self.seed);
        let any = !self.terms.sources.is_empty();
        self.link = if any { Link::Waiting { until: now } } else { Link::Idle };
    }

    /// Events up to this number are applied by other means, such as a configuration that holds them. Returns whether
    /// this is later than the cursor.
    pub fn advance(&mut self, number: EventNumber) -> bool {
        let later = number > self.cursor;
        if later {
            (self.cursor, self.known) = (number, None);
        }
        later
    }

    /// The last event applied.
    pub fn cursor(&self) -> EventNumber {
        self.cursor
    }

    /// The source that is connected or dialled next.
    pub fn source(&self) -> Option<SocketAddr> {
        self.sources.current()
    }

    /// Gaps and events passed over so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Whether all that the connected source had at its last comment is applied.
    pub fn caught_up(&self) -> bool {
        matches!(self.link, Link::Connected(Connection { caught_up: true, .. }))
    }

    /// How old the state is that the events applied make up: the time since the source lived, as it told after all
    /// events before. None before it was first heard.
    pub fn lag(&self, now: Micros) -> Option<Micros> {
        self.source_heard.map(|heard| now.saturating_sub(heard))
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        match self.link {
            Link::Idle => None,
            Link::Waiting { until } => Some(until),
            Link::Connected(connection) => {
                let silent_at = connection.silent_at;
                Some(connection.overlap.map_or(silent_at, |overlap| overlap.until.min(silent_at)))
            }
        }
    }

    /// Takes in what has happened and appends what the caller has to do.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::NotDialled => self.try_next(now),
            Input::Lost => {
                out.push(Output::Lost);
                self.try_next(now);
            }
            Input::Heard => self.heard(now, out),
            Input::Comment(text) => self.comment(now, text, out),
            Input::Event(event) => self.event(now, event, out),
            Input::Garbled => self.leave_for_next(now, LeaveReason::Garbled, out),
            Input::Refused { status, retry_after } => self.refused(now, status, retry_after, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        match self.link {
            Link::Waiting { until } if now >= until => self.dial(now, out),
            Link::Connected(connection) if now >= connection.silent_at => {
                self.leave_for_next(now, LeaveReason::Silent, out);
            }
            Link::Connected(Connection { overlap: Some(overlap), .. }) if now >= overlap.until => {
                self.other_history(now, LeaveReason::Behind, out);
            }
            _ => {}
        }
    }

    fn dial(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(source) = self.sources.current() else { return };
        let known = self.comparable();
        if known.is_none() && self.terms.verify && self.cursor > 0 {
            self.begin_anew(GapReason::HistoryUnknown, out);
        }
        let (after, if_match, overlap) = match (known, self.terms.kind) {
            (None, _) => (self.cursor, None, None),
            (Some(known), SourceKind::Relay) => (known.number, Some(known.digest), None),
            (Some(known), SourceKind::Plain) => {
                let until = now + OVERLAP_WAIT;
                (known.number - 1, None, Some(Overlap { known, until }))
            }
        };
        let wait = match self.terms.kind {
            SourceKind::Plain => SILENT,
            SourceKind::Relay => ADMISSION_WAIT,
        };
        let silent_at = now + wait;
        self.link = Link::Connected(Connection { after, silent_at, begun: false, caught_up: false, overlap });
        let (gzip, scope) = (self.terms.gzip, self.terms.scope.clone());
        out.push(Output::Dial(Subscription { source, after, if_match, gzip, scope }));
    }

    /// The event by which the next source's history is compared.
    fn comparable(&self) -> Option<Known> {
        // A relay compares by its digests; a plain source has to send all from the known event on again.
        let relay = self.terms.kind == SourceKind::Relay;
        let recent = |known: &Known| relay || self.cursor - known.number <= MOST_OVERLAP;
        self.known.filter(recent).filter(|_| self.terms.verify)
    }

    /// Gives up the cursor. Danger: where nothing tells which history it was in, what follows it elsewhere may be of
    /// another one, and purges of both would be missed.
    fn begin_anew(&mut self, reason: GapReason, out: &mut Vec<Output>) {
        self.gap(reason, out);
        // What was asked for once more stays so: one unreadable event behind a snapshot must not be asked for for ever.
        self.cursor = 0;
    }

    fn heard(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Link::Connected(connection) = &mut self.link else { return };
        connection.silent_at = now + SILENT;
        self.sources.succeeded();
        // Until the histories are compared, a source may be another one than before.
        if self.terms.kind == SourceKind::Plain && connection.overlap.is_none() {
            out.push(Output::Heard(now));
        }
    }

    fn comment(&mut self, now: Micros, text: &str, out: &mut Vec<Output>) {
        let Link::Connected(connection) = &mut self.link else { return };
        if connection.overlap.is_some() {
            return;
        }
        if self.terms.kind == SourceKind::Plain {
            connection.caught_up = true;
            self.source_heard = Some(now);
            return;
        }
        let Some(heard) = heartbeat(text) else { return };
        connection.caught_up = true;
        // A clock that is ahead says no more than that the source lives now.
        let heard = heard.min(now);
        self.source_heard = Some(self.source_heard.map_or(heard, |known| known.max(heard)));
        out.push(Output::Heard(heard));
    }

    fn refused(&mut self, now: Micros, status: u16, retry_after: Option<Micros>, out: &mut Vec<Output>) {
        const PRECONDITION_FAILED: u16 = 412;
        if let Some(pause) = retry_after {
            self.sources.defer(now + pause);
        }
        match status {
            PRECONDITION_FAILED => self.other_history(now, LeaveReason::Refused(status), out),
            _ => self.leave_for_next(now, LeaveReason::Refused(status), out),
        }
    }

    fn event(&mut self, now: Micros, event: Received, out: &mut Vec<Output>) {
        let Link::Connected(connection) = &mut self.link else { return };
        let first = !std::mem::replace(&mut connection.begun, true);
        let overlap_missing = connection.overlap.is_some();
        let asked_after = connection.after;
        let Some(number) = event.number else { return self.unreadable(now, out) };
        let relay = self.terms.kind == SourceKind::Relay;
        // A snapshot's number shows a jump, so event 1 to one that has nothing yet is the beginning of the history.
        let beginning = asked_after == 0 && self.cursor == 0 && number == FIRST_EVENT;
        // The text of a relay's snapshot is its own, and says nothing about the history.
        let may_be_snapshot = relay && event.whole_list && !beginning;
        let digest = event.digest.filter(|_| !may_be_snapshot);
        if self.contradicts(number, digest) {
            return self.other_history(now, LeaveReason::OtherHistory, out);
        }
        // A relay that no longer has what was asked for begins with a snapshot. It may stand for the very next number, and
        // for one at or below the cursor where the last events told nothing of the history.
        let snapshot = may_be_snapshot && first && number > asked_after;
        if snapshot {
            self.cursor = self.cursor.min(number - 1);
        }
        if number <= self.cursor {
            return self.repeated(number);
        }
        let missing = number != self.cursor + 1 || overlap_missing;
        if missing && !snapshot && self.ask_again() {
            return self.leave_for_next(now, LeaveReason::EventMissing, out);
        }
        if missing || snapshot {
            self.gap(GapReason::EventsMissing { next: number }, out);
        }
        self.apply(number, digest, out);
    }

    /// Whether the event differs from the one of the same number by which the own history is known.
    fn contradicts(&self, number: EventNumber, digest: Option<u64>) -> bool {
        let same_number = self.known.filter(|known| self.terms.verify && known.number == number);
        same_number.is_some_and(|known| digest.is_some_and(|digest| digest != known.digest))
    }

    /// An event that was applied before: it may be the one that a plain source was asked to repeat.
    fn repeated(&mut self, number: EventNumber) {
        if let Link::Connected(connection) = &mut self.link {
            connection.overlap = connection.overlap.filter(|overlap| overlap.known.number != number);
        }
    }

    fn apply(&mut self, number: EventNumber, digest: Option<u64>, out: &mut Vec<Output>) {
        if let Link::Connected(connection) = &mut self.link {
            connection.overlap = None;
        }
        self.sources.agreed();
        self.cursor = number;
        if let Some(digest) = digest {
            self.known = Some(Known { number, digest });
        }
        out.push(Output::Apply(number));
    }

    /// Danger: an event that can't be read may be a purge. If it comes no better the second time, it stays so however
    /// often it is asked for, and the others must not wait for it.
    fn unreadable(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.ask_again() {
            return self.leave_for_next(now, LeaveReason::EventUnreadable, out);
        }
        self.gaps += 1;
        out.push(Output::PassOver);
    }

    /// Whether what follows the cursor is to be asked for once more: it has not been yet.
    fn ask_again(&mut self) -> bool {
        self.asked_again.replace(self.cursor) != Some(self.cursor)
    }

    fn gap(&mut self, reason: GapReason, out: &mut Vec<Output>) {
        self.gaps += 1;
        // Across a gap the digest of before says nothing of what is applied after it.
        self.known = None;
        out.push(Output::Gap { after: self.cursor, reason });
    }

    fn other_history(&mut self, now: Micros, reason: LeaveReason, out: &mut Vec<Output>) {
        let all = self.sources.disagreed();
        self.leave_for_next(now, reason, out);
        if all && self.terms.restart_history {
            self.begin_anew(GapReason::OtherHistory, out);
            self.sources.agreed();
        }
    }

    fn leave(&mut self, reason: LeaveReason, out: &mut Vec<Output>) {
        if matches!(self.link, Link::Connected(_)) {
            out.push(Output::Close(reason));
        }
        out.push(Output::Lost);
    }

    fn leave_for_next(&mut self, now: Micros, reason: LeaveReason, out: &mut Vec<Output>) {
        self.leave(reason, out);
        self.try_next(now);
    }

    fn try_next(&mut self, now: Micros) {
        if !matches!(self.link, Link::Idle) {
            self.link = Link::Waiting { until: self.sources.fail(now) };
        }
    }
}

/// The time of a relay's heartbeat, `heard UNIX_MS`, in µs.
fn heartbeat(comment: &str) -> Option<Micros> {
    let milliseconds: Micros = comment.trim().strip_prefix("heard ")?.trim().parse().ok()?;
    milliseconds.checked_mul(MICROS_PER_MILLISECOND)
}

#[cfg(test)]
mod tests;
