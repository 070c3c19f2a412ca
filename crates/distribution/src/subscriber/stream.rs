//! What comes from the source: which events are applied, what is missing, and how old the state is.
use super::link::{Connection, ReferenceEvent};
use super::messages::{EventMetadata, GapReason, LeaveReason, Output, SourceKind};
use super::{Subscriber, SILENCE_TIMEOUT};
use crate::batch::parse_heartbeat;
use crate::event::{EventNumber, FIRST_EVENT, MAX_EVENT_NUMBER};
use larchway::MonotonicTime;

impl Subscriber {
    /// Bytes came in on the connection.
    pub(super) fn handle_bytes(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        let Some(connection) = self.link.connection_mut() else { return };
        connection.silent_at = now + SILENCE_TIMEOUT;
        self.sources.record_success();
        // Until the histories are compared, a source may be another one than before.
        if self.settings.kind == SourceKind::Plain && connection.overlap.is_none() {
            out.push(Output::SourceAlive(now));
        }
    }

    /// A comment: from a relay a heartbeat, which comes when all events before it have.
    pub(super) fn handle_comment(&mut self, now: MonotonicTime, text: &str, out: &mut Vec<Output>) {
        let Some(connection) = self.link.connection_mut() else { return };
        if connection.overlap.is_some() {
            return;
        }
        if self.settings.kind == SourceKind::Plain {
            connection.caught_up = true;
            self.source_alive_at = Some(now);
            return;
        }
        let Some(source_alive_unix) = parse_heartbeat(text) else { return };
        connection.caught_up = true;
        self.source_alive_unix = Some(source_alive_unix);
        let alive_at = self.anchor.to_monotonic(source_alive_unix);
        // A clock that is ahead says no more than that the source is alive now; later heartbeats count from there.
        connection.clock_lead = connection.clock_lead.max(alive_at.saturating_since(now));
        let alive_at = alive_at.saturating_sub(connection.clock_lead);
        self.source_alive_at = Some(self.source_alive_at.map_or(alive_at, |previous| previous.max(alive_at)));
        out.push(Output::SourceAlive(alive_at));
    }

    /// An event in the order of the stream.
    pub(super) fn handle_event(&mut self, now: MonotonicTime, event: EventMetadata, out: &mut Vec<Output>) {
        let Some(connection) = self.link.connection_mut() else { return };
        let before = *connection;
        connection.has_events = true;
        let readable = event.number.filter(|number| *number <= MAX_EVENT_NUMBER);
        let Some(number) = readable else { return self.handle_unreadable(now, out) };
        let may_be_snapshot = self.may_be_snapshot(&before, event, number);
        // The text of a relay's snapshot is its own, and says nothing about the history.
        let digest = event.digest.filter(|_| !may_be_snapshot);
        if self.has_different_digest(number, digest) {
            return self.reject_history(now, LeaveReason::OtherHistory, out);
        }
        // A relay that no longer has what was requested begins with a snapshot. It may stand for the very next number,
        // and for one at or below the cursor where the last events said nothing of the history.
        let is_snapshot = may_be_snapshot && !before.has_events && number > before.after;
        if is_snapshot {
            self.cursor = self.cursor.min(number - 1);
        }
        if number <= self.cursor {
            return self.confirm_overlap(number);
        }
        let is_missing = number != self.cursor + 1 || before.overlap.is_some();
        if is_missing && !is_snapshot && self.begin_retry() {
            return self.fail_over(now, LeaveReason::EventMissing, out);
        }
        if is_missing || is_snapshot {
            self.report_gap(GapReason::EventsMissing { next: number }, out);
        }
        self.apply(number, digest, out);
    }

    /// Whether an event may be a relay's snapshot in place of those that it no longer has.
    fn may_be_snapshot(&self, connection: &Connection, event: EventMetadata, number: EventNumber) -> bool {
        let is_relay = self.settings.kind == SourceKind::Relay;
        // A snapshot's number shows a jump, so event 1 to one that has nothing yet is the beginning of the history.
        let is_beginning = connection.after == 0 && self.cursor == 0 && number == FIRST_EVENT;
        is_relay && event.is_full_list && !is_beginning
    }

    /// Whether the event differs from the one of the same number by which the own history is known.
    fn has_different_digest(&self, number: EventNumber, digest: Option<u64>) -> bool {
        let same_number =
            self.reference_event.filter(|reference| self.settings.verify && reference.number == number);
        same_number.is_some_and(|reference| digest.is_some_and(|digest| digest != reference.digest))
    }

    /// An event that was applied before: it may be the one that a plain source was to repeat.
    fn confirm_overlap(&mut self, number: EventNumber) {
        if let Some(connection) = self.link.connection_mut() {
            connection.overlap = connection.overlap.filter(|overlap| overlap.event.number != number);
        }
    }

    fn apply(&mut self, number: EventNumber, digest: Option<u64>, out: &mut Vec<Output>) {
        if let Some(connection) = self.link.connection_mut() {
            connection.overlap = None;
        }
        self.sources.record_agreement();
        self.cursor = number;
        if let Some(digest) = digest {
            self.reference_event = Some(ReferenceEvent { number, digest });
        }
        out.push(Output::Apply(number));
    }

    /// Danger: an event that can't be read may be a purge. If it comes no better the second time, it stays so however
    /// often it is requested, and the others must not wait for it.
    fn handle_unreadable(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if self.begin_retry() {
            return self.fail_over(now, LeaveReason::EventUnreadable, out);
        }
        self.gaps += 1;
        out.push(Output::Skip);
    }

    /// Whether what follows the cursor is to be requested once more: it has not been yet.
    fn begin_retry(&mut self) -> bool {
        self.retried_cursor.replace(self.cursor) != Some(self.cursor)
    }

    /// Reports that events after the cursor may be missing.
    pub(super) fn report_gap(&mut self, reason: GapReason, out: &mut Vec<Output>) {
        self.gaps += 1;
        // Across a gap the digest of before says nothing of what is applied after it.
        self.reference_event = None;
        out.push(Output::Gap { after: self.cursor, reason });
    }
}
