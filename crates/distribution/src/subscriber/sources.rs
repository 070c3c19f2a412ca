//! Choice of the source to dial next and when: failover to the other sources, then backoff.
use super::{ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT};
use larchway::{duration_micros, mix, MonotonicTime};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Initial pause between two attempts.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum random pause before failover, so that the subscribers of a failed relay do not all arrive at once.
const FAILOVER_JITTER: Duration = Duration::from_millis(50);

/// Upper limit for `Retry-After`. Relays send 1 to 3 s. The limit keeps a wrong value from cutting a gateway off from
/// events for much longer than the 9.1 s within which purges must be done everywhere.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Rejections for a different history, per source, after which sources that do not answer are ignored.
const DISAGREEMENTS_PER_SOURCE: usize = 4;

/// How many sources have a history that differs from the subscriber's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disagreement {
    /// Some of the sources, as far as known.
    Some,
    /// All sources that answer. A dead source must not block the switch to the others' history forever.
    All,
}

/// A subscriber's sources and the results of connecting to them.
#[derive(Debug)]
pub struct Sources {
    addresses: Vec<SocketAddr>,
    /// Earliest time of the next dial, per source.
    not_before: Vec<MonotonicTime>,
    /// Sources that have shown a different history since an event was last applied.
    disagreeing: BTreeSet<usize>,
    /// Number of rejections for a different history since then.
    disagreements: usize,
    current: usize,
    /// Consecutive attempts without received data.
    failures: usize,
    /// Consecutive requests that were accepted and not answered in time.
    unanswered: usize,
    backoff: Duration,
    max_backoff: Duration,
    seed: u64,
    jitter_count: u64,
}

impl Sources {
    /// Creates the state from the addresses in order of preference.
    pub fn new(addresses: Vec<SocketAddr>, max_backoff: Duration, seed: u64) -> Sources {
        Sources {
            not_before: vec![MonotonicTime::MIN; addresses.len()],
            addresses,
            disagreeing: BTreeSet::new(),
            disagreements: 0,
            current: 0,
            failures: 0,
            unanswered: 0,
            backoff: INITIAL_BACKOFF,
            max_backoff,
            seed,
            jitter_count: 0,
        }
    }

    /// The source that is connected or will be dialled next.
    pub fn current(&self) -> Option<SocketAddr> {
        self.addresses.get(self.current).copied()
    }

    /// Sets the maximum pause between attempts.
    pub fn set_max_backoff(&mut self, max_backoff: Duration) {
        self.max_backoff = max_backoff;
    }

    /// Resets the backoff because the current source has sent data.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff = INITIAL_BACKOFF;
    }

    /// Records that the current source has sent an event or a comment.
    pub fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// Records that the current source has not answered a request in time.
    pub fn record_unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// How long the current source may take to answer a request.
    pub fn answer_timeout(&self) -> Duration {
        let unanswered_rounds = self.unanswered / self.addresses.len().max(1);
        let doublings = u32::try_from(unanswered_rounds).unwrap_or(u32::MAX);
        ANSWER_TIMEOUT.saturating_mul(2_u32.saturating_pow(doublings)).min(MAX_ANSWER_TIMEOUT)
    }

    /// Records that an event of the current source was applied, so its history matches.
    pub fn record_agreement(&mut self) {
        self.disagreeing.clear();
        self.disagreements = 0;
    }

    /// Records that the current source has a different history. The sources are dialled in turn, and one that agrees
    /// resets the count.
    pub fn record_disagreement(&mut self) -> Disagreement {
        self.disagreeing.insert(self.current);
        self.disagreements += 1;
        let refusal_limit = DISAGREEMENTS_PER_SOURCE * self.addresses.len();
        let all_disagree = self.disagreeing.len() == self.addresses.len();
        match all_disagree || self.disagreements >= refusal_limit {
            true => Disagreement::All,
            false => Disagreement::Some,
        }
    }

    /// Defers the next dial of the current source by `retry_after`, limited to [`MAX_RETRY_AFTER`].
    pub fn defer(&mut self, now: MonotonicTime, retry_after: Duration) {
        if let Some(not_before) = self.not_before.get_mut(self.current) {
            *not_before = now.saturating_add(retry_after.min(MAX_RETRY_AFTER));
        }
    }

    /// Selects the next source after a failure. Returns the time at which to dial it.
    pub fn advance_after_failure(&mut self, now: MonotonicTime) -> MonotonicTime {
        let count = self.addresses.len().max(1);
        self.failures += 1;
        let pause = if self.failures < count { self.jitter(FAILOVER_JITTER) } else { self.next_backoff() };
        let earliest = now + pause;
        let rotation = (1..=count).map(|step| (self.current + step) % count);
        let dial_at = |index: &usize| self.not_before.get(*index).copied().unwrap_or(earliest).max(earliest);
        // Chooses the first source in rotation that may be dialled at `earliest`, or else the one that may be dialled
        // first.
        let next = rotation.min_by_key(dial_at).unwrap_or(0);
        self.current = next;
        dial_at(&next)
    }

    /// Returns the current backoff and doubles it. With several sources, up to half of the pause is randomly left out.
    fn next_backoff(&mut self) -> Duration {
        let pause = self.backoff.min(self.max_backoff);
        self.backoff = pause * 2;
        match self.addresses.len() {
            0 | 1 => pause,
            _ => pause / 2 + self.jitter(pause / 2),
        }
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        self.jitter_count += 1;
        let random = mix(self.seed ^ mix(self.jitter_count));
        Duration::from_micros(random % (duration_micros(max) + 1))
    }
}

/// Shuffles the addresses by a seed, so that subscribers with different seeds spread over the sources.
pub fn shuffled(mut addresses: Vec<SocketAddr>, seed: u64) -> Vec<SocketAddr> {
    for last in (1..addresses.len()).rev() {
        let chosen = mix(seed ^ mix(last as u64)) % (last as u64 + 1);
        addresses.swap(last, chosen as usize);
    }
    addresses
}
