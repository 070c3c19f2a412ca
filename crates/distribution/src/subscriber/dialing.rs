//! Requests to the current source, and failover to the next.
use super::link::{Connection, Link, Overlap, ReferenceEvent, Response};
use super::messages::{GapReason, LeaveReason, Output, SourceKind};
use super::request::Subscription;
use super::sources::Disagreement;
use super::{Subscriber, MAX_OVERLAP_EVENTS, OVERLAP_TIMEOUT};
use crate::event::EventNumber;
use larchway::MonotonicTime;
use std::time::Duration;

/// The HTTP status of a relay whose history differs from the subscriber's.
const PRECONDITION_FAILED: u16 = 412;

/// The request parameters that verify that a source has the subscriber's history.
struct Verification {
    /// Number of the event after which events are requested.
    after: EventNumber,
    /// The digest that a relay compares with its own.
    if_match: Option<u64>,
    /// The event that a plain source has to resend.
    overlap: Option<Overlap>,
}

impl Subscriber {
    /// Dials the current source.
    pub(super) fn dial(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        let Some(source) = self.sources.current() else { return };
        let reference = self.verification_event();
        if reference.is_none() && self.settings.verify && self.cursor > 0 {
            self.reset_cursor(GapReason::HistoryUnknown, out);
        }
        let Verification { after, if_match, overlap } = self.verification(now, reference);
        self.link = Link::Connected(Connection {
            after,
            silent_at: now + self.sources.answer_timeout(),
            response: Response::Awaited,
            has_events: false,
            caught_up: false,
            clock_lead: Duration::ZERO,
            overlap,
        });
        let (gzip, scope) = (self.settings.gzip, self.settings.scope.clone());
        out.push(Output::Dial(Subscription { source, after, if_match, gzip, scope }));
    }

    fn verification(&self, now: MonotonicTime, reference: Option<ReferenceEvent>) -> Verification {
        match (reference, self.settings.kind) {
            (None, _) => Verification { after: self.cursor, if_match: None, overlap: None },
            (Some(reference), SourceKind::Relay) => {
                Verification { after: reference.number, if_match: Some(reference.digest), overlap: None }
            }
            (Some(reference), SourceKind::Plain) => {
                let overlap = Overlap { event: reference, until: now + OVERLAP_TIMEOUT };
                Verification { after: reference.number - 1, if_match: None, overlap: Some(overlap) }
            }
        }
    }

    /// The event used to compare histories with the next source; `None` if there is none or verification is off.
    fn verification_event(&self) -> Option<ReferenceEvent> {
        // A relay compares digests. A plain source has to resend all events from the reference event on, so that event
        // must be recent.
        let is_relay = self.settings.kind == SourceKind::Relay;
        let is_recent =
            |reference: &ReferenceEvent| is_relay || self.cursor - reference.number <= MAX_OVERLAP_EVENTS;
        self.reference_event.filter(is_recent).filter(|_| self.settings.verify)
    }

    /// Resets the cursor because its history is unknown or rejected. Events after the same number at another source may
    /// belong to a different history, and purges would be missed.
    fn reset_cursor(&mut self, reason: GapReason, out: &mut Vec<Output>) {
        self.report_gap(reason, out);
        // `retried_cursor` is not reset, or an unreadable event after a snapshot would be requested again forever.
        self.cursor = 0;
    }

    /// Handles a response with a status other than 200.
    pub(super) fn handle_refusal(
        &mut self,
        now: MonotonicTime,
        status: u16,
        retry_after: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        if let Some(retry_after) = retry_after {
            self.sources.defer(now, retry_after);
        }
        match status {
            PRECONDITION_FAILED => self.reject_history(now, LeaveReason::Refused(status), out),
            _ => self.fail_over(now, LeaveReason::Refused(status), out),
        }
    }

    /// Leaves a source that has a different history or cannot prove that it has the same.
    pub(super) fn reject_history(&mut self, now: MonotonicTime, reason: LeaveReason, out: &mut Vec<Output>) {
        let disagreement = self.sources.record_disagreement();
        self.fail_over(now, reason, out);
        if disagreement == Disagreement::All && self.settings.restart_history {
            self.reset_cursor(GapReason::OtherHistory, out);
            self.sources.record_agreement();
        }
    }

    /// Closes the connection to the current source, if any.
    pub(super) fn close_connection(&mut self, reason: LeaveReason, out: &mut Vec<Output>) {
        if matches!(self.link, Link::Connected(_)) {
            out.push(Output::Close(reason));
        }
        out.push(Output::Disconnected);
    }

    /// Closes the connection and schedules the next source.
    pub(super) fn fail_over(&mut self, now: MonotonicTime, reason: LeaveReason, out: &mut Vec<Output>) {
        self.close_connection(reason, out);
        self.schedule_next(now);
    }

    /// Schedules the dial of the next source after a pause.
    pub(super) fn schedule_next(&mut self, now: MonotonicTime) {
        if !matches!(self.link, Link::Idle) {
            self.link = Link::Waiting { until: self.sources.advance_after_failure(now) };
        }
    }
}
