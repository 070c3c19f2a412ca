//! Outlier ejection: attributes failures to servers, and restricts a failing server to single trial requests.
use super::server::Server;
use super::state::Attempt;
use crate::interface::{Note, Outcome, Status};
use crate::records::Choice;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Share of failed answers above which a server is ejected: well above that of occasional errors.
pub(super) const EJECTION_THRESHOLD: f64 = 0.35;
/// Like [`EJECTION_THRESHOLD`], for a source. Higher, because while the origin is down a parent rejects what
/// it lacks but can still serve what it has cached.
pub(super) const SOURCE_EJECTION_THRESHOLD: f64 = 0.8;
/// Weight of a failure in the share of failed answers: three failures in a row, or nearly half of the
/// answers, eject a server.
const FAILURE_WEIGHT: f64 = 0.25;
/// Factor by which a success reduces the share of failed answers.
const SUCCESS_RETENTION: f64 = 0.7;
/// Initial backoff between single trials of an ejected server.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff between single trials of an ejected server.
pub(super) const LONGEST_BACKOFF: Duration = Duration::from_secs(4);
/// Factor by which each further failed trial increases the backoff.
const BACKOFF_INCREASE: u32 = 2;
/// Divisor by which a success reduces the backoff.
const BACKOFF_DECREASE: u32 = 4;

/// The part of a request's path that a failure is attributed to; a late fill is attributed to the link.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FailedPart {
    None,
    Link,
    Edge,
    Source,
}

/// The part that a failure is attributed to, and whether no connection to it could be made.
pub(super) struct Attribution {
    pub part: FailedPart,
    pub unreached: bool,
}

/// Attributes the failure of an attempt. A rejection without a note is attributed to the parent.
pub(super) fn attribute_failure(outcome: &Outcome, attempt: &Attempt) -> Attribution {
    let Choice { edge, source, sibling, positive, .. } = attempt.choice;
    let needs_fill = source != edge && !positive.edge;
    let part = match (outcome.status, outcome.note) {
        (Status::Ok | Status::NeverSent | Status::Cancelled, _) | (_, Note::OriginFailed) => FailedPart::None,
        (_, Note::SourceRefused | Note::SourceLost) => FailedPart::Source,
        // A stalled fill also ends in an error, late. Attributed to the caches, such errors would eject all
        // caches of a location.
        (Status::Error, _) if needs_fill && outcome.latency >= attempt.response_timeout => FailedPart::Link,
        (Status::Error | Status::ConnectFailed | Status::Reset, _) => FailedPart::Edge,
        (Status::Full, Note::None) if source != edge && !sibling => FailedPart::Source,
        _ => FailedPart::None,
    };
    // A failed connection indicates a restart that the list has not reported yet. Lost answers of a cache, or
    // a timed-out fill of a parent, do not.
    let unreached = outcome.status == Status::Full && outcome.note == Note::SourceLost;
    Attribution { part, unreached: unreached || outcome.status == Status::ConnectFailed }
}

impl Server {
    /// Whether the server is ejected and its next trial is not yet due.
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        !self.backoff.is_zero() && now < self.retry_at
    }

    /// Records a failure, and ejects the server above the threshold: it gets single trials with an increasing
    /// backoff. A server that fails fast would otherwise look idle and attract traffic, and one without
    /// responses would hold requests. The cost: a healthy server may be ejected for a moment.
    pub(super) fn record_failure(&mut self, now: MonotonicTime, threshold: f64) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share > threshold && !self.is_ejected(now) {
            self.backoff = (self.backoff * BACKOFF_INCREASE).clamp(SHORTEST_BACKOFF, LONGEST_BACKOFF);
            self.retry_at = now + self.backoff;
        }
    }

    /// Records a failure reported by another router. Reports alone must not eject a server: they raise the
    /// share of failed answers to the threshold only, so that one own failure exceeds it.
    pub(super) fn record_reported_failure(&mut self) {
        self.failure_share = self.failure_share.max(EJECTION_THRESHOLD);
    }

    /// Records a success. Returns whether connections had failed before: the server then counts as restarted,
    /// with an empty cache.
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
