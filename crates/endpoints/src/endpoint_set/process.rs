//! Registration of endpoints, and the detection of new processes behind known ones.
//!
//! M6: a process is reported as started once, and a flap of its session is no start.
use super::record::{EndpointRecord, ListRecord};
use super::{EndpointSet, MAX_ENDPOINTS};
use crate::endpoint::Endpoint;
use crate::output::{LogEvent, Output};
use larchway::MonotonicTime;
use std::time::Duration;

/// How much two sources may differ in when a process started.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// When the process of a new endpoint is taken to have started if its source does not say so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnreportedStart {
    Now,
    LongAgo,
}

/// The time since which no source names an endpoint.
struct Absence {
    since: MonotonicTime,
    /// The session that ended; 0 if none.
    session: i64,
}

impl EndpointSet {
    /// Records that a source names an endpoint; `session` is the one that owns its node, if the source is a node.
    /// Returns its record, or none if there are too many endpoints.
    pub(super) fn register(
        &mut self,
        now: MonotonicTime,
        endpoint: &Endpoint,
        session: Option<i64>,
        unreported_start: UnreportedStart,
        outputs: &mut Vec<Output>,
    ) -> Option<&mut EndpointRecord> {
        let id = endpoint.host.server;
        if !self.records.contains_key(&id) {
            return self.register_new(now, endpoint, unreported_start, outputs);
        }
        let cold_after = Duration::from_millis(self.policy.cold_after_ms);
        let record = self.records.get_mut(&id)?;
        if record.detect_new_process(now, endpoint, session, cold_after) {
            self.cold_starts += 1;
        }
        record.latest = endpoint.clone();
        Some(record)
    }

    fn register_new(
        &mut self,
        now: MonotonicTime,
        endpoint: &Endpoint,
        unreported_start: UnreportedStart,
        outputs: &mut Vec<Output>,
    ) -> Option<&mut EndpointRecord> {
        if self.records.len() >= MAX_ENDPOINTS {
            outputs.push(Output::Log(LogEvent::LimitReached(endpoint.name.clone())));
            return None;
        }
        let started = match (endpoint.host.started, unreported_start) {
            (MonotonicTime::MIN, UnreportedStart::Now) => now,
            (reported, _) => reported,
        };
        let record = EndpointRecord::new(now, endpoint.clone(), started);
        let id = endpoint.host.server;
        self.pools.add(id, record.membership.pool);
        Some(self.records.entry(id).or_insert(record))
    }
}

impl EndpointRecord {
    /// Finds out whether the endpoint that a source names again has a new process, and starts its next incarnation
    /// if so.
    fn detect_new_process(
        &mut self,
        now: MonotonicTime,
        endpoint: &Endpoint,
        session: Option<i64>,
        cold_after: Duration,
    ) -> bool {
        let reported = endpoint.host.started;
        let absence = self.absence(session);
        let is_new = self.is_new_process(now, endpoint, session, absence.as_ref(), cold_after);
        self.reported_start = self.reported_start.max(reported);
        if is_new {
            self.start_incarnation(now, reported, absence.as_ref());
        }
        is_new
    }

    /// Only a return can be that of a new process: a source that goes on naming an endpoint says nothing new.
    fn absence(&self, session: Option<i64>) -> Option<Absence> {
        if !self.nodes.is_empty() {
            return None;
        }
        match (self.departure, &self.list) {
            (Some(departure), _) if session.is_some() => {
                Some(Absence { since: departure.at, session: departure.session })
            }
            (_, ListRecord::Removed { at }) => Some(Absence { since: *at, session: 0 }),
            _ => None,
        }
    }

    fn is_new_process(
        &self,
        now: MonotonicTime,
        endpoint: &Endpoint,
        session: Option<i64>,
        absence: Option<&Absence>,
        cold_after: Duration,
    ) -> bool {
        let reported = endpoint.host.started;
        if reported > MonotonicTime::MIN {
            // Where no start was reported before, the process had started before the endpoint was first seen.
            let known_until = match self.reported_start {
                MonotonicTime::MIN => self.first_seen,
                known => known + START_TOLERANCE,
            };
            return reported > known_until;
        }
        let moved =
            endpoint.dial.is_some() && self.latest.dial.is_some() && endpoint.dial != self.latest.dial;
        if moved {
            return true;
        }
        let Some(absence) = absence else { return false };
        let same_session = session.is_some_and(|session| session == absence.session && session != 0);
        if same_session {
            return false;
        }
        let connection_lost = self.attempts.last_connection_loss.is_some_and(|lost| lost >= absence.since);
        connection_lost || now >= absence.since + cold_after
    }

    fn start_incarnation(
        &mut self,
        now: MonotonicTime,
        reported_start: MonotonicTime,
        absence: Option<&Absence>,
    ) {
        self.started = if reported_start > MonotonicTime::MIN { reported_start } else { now };
        self.incarnation += 1;
        // Answers after the end of the old process are those of the new one.
        let old_process_ended = absence.map_or(now, |absence| {
            self.attempts.last_connection_loss.map_or(absence.since, |lost| lost.max(absence.since))
        });
        let answers_from =
            if reported_start > MonotonicTime::MIN { reported_start } else { old_process_ended };
        self.attempts = self.attempts.of_process_started_at(answers_from);
    }
}
