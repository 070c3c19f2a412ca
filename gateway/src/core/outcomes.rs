//! Ends attempts: records the evidence of their stores' health, and reports their outcomes to the module that routes
//! requests.
use super::attempts::Attempt;
use super::messages::{AttemptResult, Command, LoadReport, ReplyHandle};
use super::origin::FillResult;
use super::Core;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use larchway::{Event, MonotonicTime, Note, Outcome, ServerId, Status};
use larchway_endpoints::evidence::{EndpointEvidence, Evidence};
use larchway_operations::RequestEnd;
use std::time::Duration;

/// The evidence of a store's health that the end of an attempt gives; `None` if the gateway
/// itself ended it.
fn evidence_of(status: Status) -> Option<Evidence> {
    match status {
        Status::ConnectFailed => Some(Evidence::Refused),
        Status::Reset => Some(Evidence::Reset),
        Status::Timeout => Some(Evidence::Silent),
        Status::Cancelled | Status::NeverSent => None,
        _ => Some(Evidence::Answered),
    }
}

impl Core {
    /// Ends an attempt that got no reply from its store.
    pub fn end_attempt(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        status: Status,
        note: Note,
    ) -> Option<ReplyHandle> {
        self.end_attempt_with_reply(now, key, AttemptResult::without_reply(status, note))
    }

    /// Ends an attempt. If its reply is the final one of the request, returns the handle with which to send it to the
    /// client.
    pub fn end_attempt_with_reply(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        result: AttemptResult,
    ) -> Option<ReplyHandle> {
        let attempt = self.remove_attempt(key)?;
        let AttemptResult { status, note, source_wait, load } = result;
        self.record_evidence(attempt.get.server, status);
        self.record_load_report(attempt.get.server, &load);
        let latency = now.saturating_since(attempt.created_at);
        let fill = FillResult {
            status,
            note,
            time: if source_wait > Duration::ZERO { source_wait } else { latency },
        };
        self.end_fetch(now, attempt.fetch, fill);
        if attempt.get.source != attempt.get.server && !attempt.get.cached_only {
            self.observe_fill(now, attempt.get.source, fill);
        }
        let open_request = self.requests.get_mut(attempt.request)?;
        open_request.running_attempts -= 1;
        if !status.never_ran() {
            open_request.first_possible_run_at =
                open_request.first_possible_run_at.into_iter().chain(attempt.first_byte_at).min();
        }
        let served = if status == Status::Ok {
            self.mark_answered(now, attempt.request, RequestEnd::Served)
        } else {
            None
        };
        let outcome = Outcome {
            id: attempt.request.0,
            attempt: attempt.number,
            status,
            latency,
            request: self.requests.get(attempt.request)?.state(),
            note,
            waited: source_wait,
            load,
        };
        self.handle_event(now, Event::Outcome(outcome));
        if served.is_some() {
            self.withdraw_unsent(now, attempt.request);
        }
        self.remove_if_finished(attempt.request);
        served
    }

    /// Removes an attempt from the tables and clears its deadline.
    fn remove_attempt(&mut self, key: SlotKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.unsent_attempts.remove(&key);
        if let Some(at) = attempt.get.stop_at {
            self.deadlines.clear(at, DeadlineKind::Attempt(key));
        }
        Some(attempt)
    }

    /// Collects the evidence that an attempt gives, if evidence is collected.
    fn record_evidence(&mut self, server: ServerId, status: Status) {
        if let (Some(collected), Some(evidence)) = (&mut self.evidence, evidence_of(status)) {
            collected.push(EndpointEvidence { server, evidence });
        }
    }

    /// Records a load report of a store; `load` has the values of the load fields in the order
    /// in which the settings name them.
    pub fn record_load_report(&mut self, store: ServerId, load: &[f64]) {
        if let Some(value) = self.load_field.and_then(|field| load.get(field)) {
            self.load_reports.push(LoadReport { store, load: *value });
        }
    }

    /// Withdraws those attempts of an answered request of which no byte was written, also in classes whose sent
    /// attempts must not be cancelled: no new work begins for a request that has its reply.
    pub(super) fn withdraw_unsent(&mut self, now: MonotonicTime, request: SlotKey) {
        let Some(open_request) = self.requests.get(request) else { return };
        let is_unsent =
            |key: &SlotKey| self.attempts.get(*key).is_some_and(|attempt| attempt.first_byte_at.is_none());
        let unsent: Vec<SlotKey> = open_request.attempts.iter().copied().filter(is_unsent).collect();
        for key in unsent {
            self.withdraw(now, key, Status::NeverSent);
        }
    }

    /// Ends an attempt by the gateway's own decision and lets the module decide again. An attempt of which no byte was
    /// written has certainly not run, so its status is `NeverSent`, except after a time-out.
    pub(super) fn withdraw(&mut self, now: MonotonicTime, key: SlotKey, status: Status) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let never_sent = attempt.first_byte_at.is_none() && status != Status::Timeout;
        let (connection, request) = (attempt.connection, attempt.request);
        self.abandon_on_connection(connection, key, request);
        self.end_attempt(now, key, if never_sent { Status::NeverSent } else { status }, Note::None);
    }

    /// Ends an attempt that the module cancels. Its outcome is queued, and handled after the actions that are being
    /// executed.
    pub(super) fn cancel(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(attempt) = self.remove_attempt(key) else { return };
        let latency = now.saturating_since(attempt.created_at);
        let fill = FillResult { status: Status::Cancelled, note: Note::None, time: latency };
        self.end_fetch(now, attempt.fetch, fill);
        let Some(open_request) = self.requests.get_mut(attempt.request) else { return };
        open_request.running_attempts -= 1;
        open_request.first_possible_run_at =
            open_request.first_possible_run_at.into_iter().chain(attempt.first_byte_at).min();
        let state = open_request.state();
        self.abandon_on_connection(attempt.connection, key, attempt.request);
        self.events.push_back(Event::Outcome(Outcome {
            id: attempt.request.0,
            attempt: attempt.number,
            status: if attempt.first_byte_at.is_some() { Status::Cancelled } else { Status::NeverSent },
            latency,
            request: state,
            note: Note::None,
            waited: Duration::ZERO,
            load: Vec::new(),
        }));
        self.remove_if_finished(attempt.request);
    }

    /// Instructs the connection that carries an attempt to abandon it, if there is one.
    fn abandon_on_connection(&mut self, connection: Option<SlotKey>, attempt: SlotKey, request: SlotKey) {
        if let (Some(connection), Some(open_request)) = (connection, self.requests.get(request)) {
            let call_id = open_request.request.call_id.clone();
            self.commands.push_back(Command::AbandonAttempt { connection, attempt, call_id });
        }
    }
}
