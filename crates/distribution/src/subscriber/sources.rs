//! Which source is dialled next, and when: failover to the others, then back-off.
use larchway::{duration_micros, mix, MonotonicTime};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// First pause between two attempts.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest random pause before another source is dialled: a relay's subscribers don't all arrive at once.
const FAILOVER_JITTER: Duration = Duration::from_millis(50);

/// Longest pause that a source can ask for by `Retry-After`; one that asks for more is dialled again after this one.
/// Relays ask for 1 to 3 s. A wrong value must not keep a gateway from events for much longer than the 9.1 s within
/// which purges are to be done everywhere.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Refusals for another history, for each source, from which on sources that do not answer are not waited for.
const DISAGREEMENTS_PER_SOURCE: usize = 4;

/// How many of the sources have another history than the subscriber's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disagreement {
    /// Some of them, as far as is known.
    Some,
    /// All that answer. One that is dead must not withhold the others from the subscriber for ever.
    All,
}

/// The sources of a subscriber and how their attempts went.
#[derive(Debug)]
pub struct Sources {
    addresses: Vec<SocketAddr>,
    /// By source, when it may be dialled again at the earliest.
    not_before: Vec<MonotonicTime>,
    /// Sources that sent another history since an event was last applied.
    disagreeing: BTreeSet<usize>,
    /// Answers of another history since then.
    disagreements: usize,
    current: usize,
    /// Attempts in a row that brought nothing.
    failures: usize,
    backoff: Duration,
    max_backoff: Duration,
    seed: u64,
    jitter_count: u64,
}

impl Sources {
    /// Sources in order of preference.
    pub fn new(addresses: Vec<SocketAddr>, max_backoff: Duration, seed: u64) -> Sources {
        Sources {
            not_before: vec![MonotonicTime::MIN; addresses.len()],
            addresses,
            disagreeing: BTreeSet::new(),
            disagreements: 0,
            current: 0,
            failures: 0,
            backoff: INITIAL_BACKOFF,
            max_backoff,
            seed,
            jitter_count: 0,
        }
    }

    /// The source that is connected, or dialled next.
    pub fn current(&self) -> Option<SocketAddr> {
        self.addresses.get(self.current).copied()
    }

    /// Sets the longest pause.
    pub fn set_max_backoff(&mut self, max_backoff: Duration) {
        self.max_backoff = max_backoff;
    }

    /// The current source has sent something.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff = INITIAL_BACKOFF;
    }

    /// An event of the current source was applied: its history is the own one.
    pub fn record_agreement(&mut self) {
        self.disagreeing.clear();
        self.disagreements = 0;
    }

    /// The current source has another history. All are dialled in turn meanwhile, and one that agrees begins the count
    /// anew.
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

    /// The current source is not to be dialled before this pause is over, [`MAX_RETRY_AFTER`] at most.
    pub fn defer(&mut self, now: MonotonicTime, retry_after: Duration) {
        if let Some(not_before) = self.not_before.get_mut(self.current) {
            *not_before = now.saturating_add(retry_after.min(MAX_RETRY_AFTER));
        }
    }

    /// Goes on to the next source. Returns when it is to be dialled.
    pub fn advance_after_failure(&mut self, now: MonotonicTime) -> MonotonicTime {
        let count = self.addresses.len().max(1);
        self.failures += 1;
        let pause = if self.failures < count { self.jitter(FAILOVER_JITTER) } else { self.next_backoff() };
        let earliest = now + pause;
        let rotation = (1..=count).map(|step| (self.current + step) % count);
        let dial_at = |index: &usize| self.not_before.get(*index).copied().unwrap_or(earliest).max(earliest);
        // The first in the order of all that are allowed then; the first that will be, if none is.
        let next = rotation.min_by_key(dial_at).unwrap_or(0);
        self.current = next;
        dial_at(&next)
    }

    /// The pause, doubled each time; with others to advance_after_failure over to, a random part of it is left out.
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

/// The addresses in a random order that a seed decides: subscribers with other seeds spread over them.
pub fn shuffled(mut addresses: Vec<SocketAddr>, seed: u64) -> Vec<SocketAddr> {
    for last in (1..addresses.len()).rev() {
        let chosen = mix(seed ^ mix(last as u64)) % (last as u64 + 1);
        addresses.swap(last, chosen as usize);
    }
    addresses
}
