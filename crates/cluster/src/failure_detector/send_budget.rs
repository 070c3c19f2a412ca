//! The rate limit of datagrams: a token bucket that may go into debt for answers.
use larchway::{duration_micros, MonotonicTime};

/// Tokens granted per second: the average number of datagrams sent per second while members are suspected.
const TOKENS_PER_SECOND: f64 = 9.0;
/// Greatest number of tokens in the bucket: datagrams that may be sent at once.
const CAPACITY: f64 = 16.0;
/// Tokens granted beyond the capacity at the start of a mass failure, in which all members must be probed.
const MASS_FAILURE_GRANT: f64 = 30.0;
/// Greatest number of tokens owed: answers may be sent in debt up to this.
const MAX_DEBT: f64 = 9.0;
/// µs in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Limits the rate at which datagrams are sent.
#[derive(Debug)]
pub(super) struct SendBudget {
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl SendBudget {
    /// A full bucket.
    pub(super) fn new(now: MonotonicTime) -> Self {
        SendBudget { tokens: CAPACITY, refilled_at: now }
    }

    /// Whether this number of datagrams may be sent now.
    pub(super) fn allows(&mut self, now: MonotonicTime, datagrams: u8) -> bool {
        self.refill(now);
        self.tokens >= f64::from(datagrams)
    }

    /// Whether an answer may be sent now: allowed without tokens until [`MAX_DEBT`] are owed.
    pub(super) fn allows_answer(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.tokens > -MAX_DEBT
    }

    /// Takes the token for a datagram that is being sent.
    pub(super) fn take(&mut self, now: MonotonicTime) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-MAX_DEBT);
    }

    /// Grants the tokens for a mass failure.
    pub(super) fn grant_for_mass_failure(&mut self) {
        self.tokens += MASS_FAILURE_GRANT;
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = duration_micros(now.saturating_since(self.refilled_at)) as f64 / MICROS_PER_SECOND;
        // Tokens granted beyond the capacity can be spent, but the bucket is not refilled above the capacity.
        let capacity = CAPACITY.max(self.tokens);
        self.tokens = (self.tokens + elapsed * TOKENS_PER_SECOND).min(capacity);
        self.refilled_at = now.max(self.refilled_at);
    }
}
