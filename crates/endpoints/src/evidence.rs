//! What the outcomes of this gateway's own attempts say about an endpoint.
use larchway::{MonotonicTime, ServerId};

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The endpoint has answered, be it with an error: its process runs.
    Answered,
    /// The connection was refused: no process listens.
    Refused,
    /// An established connection was reset.
    Reset,
    /// There was no answer in time.
    Silent,
}

/// The outcome of an attempt at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointEvidence {
    /// The endpoint.
    pub server: ServerId,
    /// What the attempt has shown of it.
    pub evidence: Evidence,
}

/// Consecutive timeouts that indicate that an endpoint is down; a single one may be a slow object.
const TIMEOUTS_THAT_INDICATE_DOWN: u32 = 2;

/// The outcomes of the attempts at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptRecord {
    /// When it last answered.
    pub last_answer: Option<MonotonicTime>,
    /// When an attempt last indicated that it was down.
    pub last_failure: Option<MonotonicTime>,
    /// When a connection was last refused or reset. Its process may have been replaced since.
    pub last_connection_loss: Option<MonotonicTime>,
    timeouts_in_a_row: u32,
}

impl AttemptRecord {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: MonotonicTime, evidence: Evidence) {
        match evidence {
            Evidence::Answered => {
                self.last_answer = Some(now);
                self.timeouts_in_a_row = 0;
            }
            Evidence::Refused | Evidence::Reset => {
                self.last_failure = Some(now);
                self.last_connection_loss = Some(now);
            }
            Evidence::Silent => {
                self.timeouts_in_a_row = self.timeouts_in_a_row.saturating_add(1);
                if self.timeouts_in_a_row >= TIMEOUTS_THAT_INDICATE_DOWN {
                    self.last_failure = Some(now);
                }
            }
        }
    }

    /// The part of the record that concerns a process which started at that time.
    pub fn of_process_started_at(&self, start: MonotonicTime) -> Self {
        let last_answer = self.last_answer.filter(|at| *at > start);
        AttemptRecord { last_answer, ..AttemptRecord::default() }
    }

    /// Whether an attempt at or after that time indicated that the endpoint was down, and it has not answered since.
    pub fn indicates_down_since(&self, since: MonotonicTime) -> bool {
        let not_answered_after = |at: MonotonicTime| self.last_answer.is_none_or(|answer| answer < at);
        self.last_failure.is_some_and(|at| at >= since && not_answered_after(at))
    }

    /// Whether the endpoint answered at or after that time, and no attempt has indicated since that it was down.
    pub fn indicates_alive_since(&self, since: MonotonicTime) -> bool {
        let not_failed_after = |at: MonotonicTime| self.last_failure.is_none_or(|failure| failure <= at);
        self.last_answer.is_some_and(|at| at >= since && not_failed_after(at))
    }
}
