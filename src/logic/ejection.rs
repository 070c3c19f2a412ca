//! Outlier ejection: to which server a failure is attributed, and when a failing server is left to single
//! trials.
use super::server::Server;
use super::state::Attempt;
use crate::interface::{Note, Outcome, Status};
use crate::records::Choice;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Share of failed answers above which a server is ejected: well above the odd error.
pub(super) const EJECTION_THRESHOLD: f64 = 0.35;
/// The same for a source: it also refuses what it lacks while the origin halts, but may hold the rest.
pub(super) const SOURCE_EJECTION_THRESHOLD: f64 = 0.8;
/// Weight of a failure in the share of failed answers: three in a row, or nearly half, eject.
const FAILURE_WEIGHT: f64 = 0.25;
/// What a success leaves of the share of failed answers.
const SUCCESS_RETENTION: f64 = 0.7;
/// The first pause between single trials of an ejected server.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(250);
/// The longest pause between single trials of an ejected server.
pub(super) const LONGEST_BACKOFF: Duration = Duration::from_secs(4);
/// By how much each further failed trial multiplies the pause.
const BACKOFF_INCREASE: u32 = 2;
/// By how much a success divides the pause.
const BACKOFF_DECREASE: u32 = 4;

/// The part of the way of a request that a failure is attributed to; a late fill is the link's.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FailedPart {
    None,
    Link,
    Edge,
    Source,
}

/// The part that a failure is attributed to, and whether there was no connection to it.
pub(super) struct Attribution {
    pub part: FailedPart,
    pub unreached: bool,
}

/// Attributes a failure to a part. Without a note, a rejection is the parent's.
pub(super) fn attribute_failure(outcome: &Outcome, attempt: &Attempt) -> Attribution {
    let Choice { edge, source, sibling, positive, .. } = attempt.choice;
    let fill = source != edge && !positive.edge;
    let part = match (outcome.status, outcome.note) {
        (Status::Ok | Status::NeverSent | Status::Cancelled, _) | (_, Note::OriginFailed) => FailedPart::None,
        (_, Note::SourceRefused | Note::SourceLost) => FailedPart::Source,
        // Danger: a fill that dries up ends in an error too, late; laid to caches it empties a location.
        (Status::Error, _) if fill && outcome.latency >= attempt.response_timeout => FailedPart::Link,
        (Status::Error | Status::ConnectFailed | Status::Reset, _) => FailedPart::Edge,
        (Status::Full, Note::None) if source != edge && !sibling => FailedPart::Source,
        _ => FailedPart::None,
    };
    // Danger: a restart that the list has not reported yet; no connection is a strong sign of one. But a
    // cache that loses some answers, or a parent whose fill ran out of time, is neither gone nor cold.
    let unreached = outcome.status == Status::Full && outcome.note == Note::SourceLost;
    Attribution { part, unreached: unreached || outcome.status == Status::ConnectFailed }
}

impl Server {
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        !self.backoff.is_zero() && now < self.retry_at
    }

    /// Danger: a server that fails fast looks idle and draws traffic; a silent one holds it. Both are left to
    /// single trials, further and further apart. Harm: a blameless server rests for a moment.
    pub(super) fn record_failure(&mut self, now: MonotonicTime, threshold: f64) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share > threshold && !self.is_ejected(now) {
            self.backoff = (self.backoff * BACKOFF_INCREASE).clamp(SHORTEST_BACKOFF, LONGEST_BACKOFF);
            self.retry_at = now + self.backoff;
        }
    }

    /// Danger: a report of another router must not eject a server: it stays at the threshold, and one own
    /// failure passes it.
    pub(super) fn record_reported_failure(&mut self) {
        self.failure_share = self.failure_share.max(EJECTION_THRESHOLD);
    }

    /// Returns whether it was lost before: then it has restarted, cold and empty.
    pub(super) fn record_success(&mut self, now: MonotonicTime) -> bool {
        self.failure_share *= SUCCESS_RETENTION;
        let shorter = self.backoff / BACKOFF_DECREASE;
        self.backoff = if shorter < SHORTEST_BACKOFF { Duration::ZERO } else { shorter };
        self.retry_at = self.retry_at.min(now + self.backoff);
        let restarted = std::mem::take(&mut self.lost);
        if restarted {
            (self.started, self.notified_at) = (Some(now), now);
        }
        restarted
    }
}
