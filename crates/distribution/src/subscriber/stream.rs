//! Handling of data from the source: applying events, detecting gaps, and tracking the age of the state.
use super::link::{Connection, ReferenceEvent, Response};
use super::messages::{EventMetadata, GapReason, LeaveReason, Output, SourceKind};
use super::{Subscriber, SILENCE_TIMEOUT};
use crate::batch::parse_heartbeat;
use crate::event::{EventNumber, FIRST_EVENT, MAX_EVENT_NUMBER};
use larchway::MonotonicTime;

impl Subscriber {
    /// Handles received bytes.
    pub(super) fn handle_bytes(&mut self, now: MonotonicTime) {
        let Some(connection) = self.link.connection_mut() else { return };
        self.sources.record_success();
        let silent_at = now + SILENCE_TIMEOUT;
        match connection.response {
            Response::Streaming => connection.silent_at = silent_at,
            Response::Begun => connection.silent_at = connection.silent_at.max(silent_at),
            Response::Awaited => {
                connection.response = Response::Begun;
                connection.silent_at = connection.silent_at.max(silent_at);
                if let Some(overlap) = &mut connection.overlap {
                    overlap.until = overlap.until.max(silent_at);
                }
            }
        }
    }

    /// Records that an event or a comment was received. From then on the source sends one every second.
    fn record_item(&mut self, now: MonotonicTime) {
        let Some(connection) = self.link.connection_mut() else { return };
        (connection.response, connection.silent_at) = (Response::Streaming, now + SILENCE_TIMEOUT);
        self.sources.record_answer();
    }

    /// Handles a comment. It comes after all earlier events, so those that were missed while there was no connection
    /// have been received. A relay's comment is a heartbeat, which also states when the source was alive.
    pub(super) fn handle_comment(&mut self, now: MonotonicTime, text: &str, out: &mut Vec<Output>) {
        self.record_item(now);
        let Some(connection) = self.link.connection_mut() else { return };
        if connection.overlap.is_some() {
            return;
        }
        if self.settings.kind == SourceKind::Plain {
            connection.caught_up = true;
            self.source_alive_at = Some(now);
            out.push(Output::SourceAlive(now));
            return;
        }
        let Some(source_alive_unix) = parse_heartbeat(text) else { return };
        connection.caught_up = true;
        self.source_alive_unix = Some(source_alive_unix);
        let alive_at = self.anchor.to_monotonic(source_alive_unix);
        // If the root relay's clock is ahead, a heartbeat only shows that the source is alive now. Later heartbeats are
        // corrected by the same lead.
        connection.clock_lead = connection.clock_lead.max(alive_at.saturating_since(now));
        let alive_at = alive_at.saturating_sub(connection.clock_lead);
        self.source_alive_at = Some(self.source_alive_at.map_or(alive_at, |previous| previous.max(alive_at)));
        out.push(Output::SourceAlive(alive_at));
    }

    /// Handles the next event of the stream.
    pub(super) fn handle_event(&mut self, now: MonotonicTime, event: EventMetadata, out: &mut Vec<Output>) {
        self.record_item(now);
        let Some(connection) = self.link.connection_mut() else { return };
        let before = *connection;
        connection.has_events = true;
        let readable = event.number.filter(|number| *number <= MAX_EVENT_NUMBER);
        let Some(number) = readable else { return self.handle_unreadable(now, out) };
        let may_be_snapshot = self.may_be_snapshot(&before, event, number);
        // A relay generates its own snapshot text, so its digest does not identify the history.
        let digest = event.digest.filter(|_| !may_be_snapshot);
        if self.has_different_digest(number, digest) {
            return self.reject_history(now, LeaveReason::OtherHistory, out);
        }
        // A relay that no longer has the requested events begins with a snapshot. Its number may be the next one. It
        // may also be at or below the cursor if the last applied events did not identify the history.
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
        // An event from before the first comment may be followed by others that were missed as well.
        if self.settings.kind == SourceKind::Plain && before.caught_up {
            out.push(Output::SourceAlive(now));
        }
    }

    /// Whether an event may be a relay's snapshot that replaces events it no longer has.
    fn may_be_snapshot(&self, connection: &Connection, event: EventMetadata, number: EventNumber) -> bool {
        let is_relay = self.settings.kind == SourceKind::Relay;
        // A snapshot's number always shows a jump, so event 1 is the beginning of the history for a subscriber without
        // events.
        let is_beginning = connection.after == 0 && self.cursor == 0 && number == FIRST_EVENT;
        is_relay && event.is_full_list && !is_beginning
    }

    /// Whether the event has the number of the reference event but a different digest.
    fn has_different_digest(&self, number: EventNumber, digest: Option<u64>) -> bool {
        let same_number =
            self.reference_event.filter(|reference| self.settings.verify && reference.number == number);
        same_number.is_some_and(|reference| digest.is_some_and(|digest| digest != reference.digest))
    }

    /// Clears the pending overlap if the repeated event is the one that a plain source had to resend.
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

    /// Handles an event that cannot be read and may be a purge. It is requested a second time. If it is still
    /// unreadable, it is skipped so that it does not block later events.
    fn handle_unreadable(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if self.begin_retry() {
            return self.fail_over(now, LeaveReason::EventUnreadable, out);
        }
        self.gaps += 1;
        out.push(Output::Skip);
    }

    /// Returns whether the events after the cursor are to be requested a second time, and records that they are.
    fn begin_retry(&mut self) -> bool {
        self.retried_cursor.replace(self.cursor) != Some(self.cursor)
    }

    /// Reports that events after the cursor may be missing.
    pub(super) fn report_gap(&mut self, reason: GapReason, out: &mut Vec<Output>) {
        self.gaps += 1;
        // A digest from before the gap does not identify the history after it.
        self.reference_event = None;
        out.push(Output::Gap { after: self.cursor, reason });
    }
}
