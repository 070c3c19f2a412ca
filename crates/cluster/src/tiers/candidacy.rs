//! A campaign for a lease, or the lease that came of it.
use super::message::Request;
use larchway::MonotonicTime;
use std::time::Duration;

/// Rounds whose time of sending is remembered: a grant of an earlier one is of no use any more.
const REMEMBERED_ROUNDS: usize = 8;

/// When the request of a round was first sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    sent_at: MonotonicTime,
}

/// A campaign for a lease, or the lease that came of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub(super) term: u32,
    pub(super) started_at: MonotonicTime,
    /// Whether a majority has granted it.
    pub(super) is_elected: bool,
    pub(super) next_request_at: MonotonicTime,
    /// The latest rounds, [`REMEMBERED_ROUNDS`] at most; the earliest is dropped.
    rounds: Vec<Round>,
    next_round: u32,
    /// By voter, when the latest request was sent that it granted; [`MonotonicTime::MIN`] for none.
    granted_at: Vec<MonotonicTime>,
}

impl Candidacy {
    /// A campaign that begins; `first_round` differs from those of the campaign before.
    pub(super) fn new(now: MonotonicTime, term: u32, voters: usize, first_round: u32) -> Self {
        Candidacy {
            term,
            started_at: now,
            is_elected: false,
            next_request_at: now,
            rounds: Vec::new(),
            next_round: first_round,
            granted_at: vec![MonotonicTime::MIN; voters],
        }
    }

    /// The next request: the same round again while it is a campaign, a new one for each renewal.
    pub(super) fn next_request(&mut self, now: MonotonicTime, interval: Duration) -> Request {
        self.next_request_at = now + interval;
        if self.is_elected || self.rounds.is_empty() {
            if self.rounds.len() >= REMEMBERED_ROUNDS {
                self.rounds.remove(0);
            }
            self.rounds.push(Round { number: self.next_round, sent_at: now });
            self.next_round = self.next_round.wrapping_add(1);
        }
        let round = self.rounds.last().map_or(0, |round| round.number);
        Request { term: self.term, round, is_renewal: self.is_elected }
    }

    /// A voter granted the request of a round. One that is not remembered counts for nothing.
    pub(super) fn confirm(&mut self, voter: usize, round: u32) {
        let sent = self.rounds.iter().find(|known| known.number == round);
        if let (Some(sent), Some(granted_at)) = (sent, self.granted_at.get_mut(voter)) {
            *granted_at = (*granted_at).max(sent.sent_at);
        }
    }

    /// Until when the lease holds: a lease's time after the latest request that a majority has granted, or one sent
    /// later. [`MonotonicTime::MIN`] without a majority.
    pub(super) fn lease_until(&self, lease: Duration) -> MonotonicTime {
        let mut granted_at = self.granted_at.clone();
        granted_at.sort_unstable_by(|a, b| b.cmp(a));
        let majority = granted_at.len() / 2 + 1;
        match granted_at.get(majority - 1) {
            Some(&sent_at) if sent_at > MonotonicTime::MIN => sent_at + lease,
            _ => MonotonicTime::MIN,
        }
    }
}
