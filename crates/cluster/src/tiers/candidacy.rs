//! A gateway's campaign for a lease, and the lease after a majority has granted it.
use super::message::Request;
use larchway::MonotonicTime;
use std::time::Duration;

/// Number of rounds whose sending times are remembered; grants of earlier rounds are ignored.
const REMEMBERED_ROUNDS: usize = 8;

/// When the request of a round was first sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    sent_at: MonotonicTime,
}

/// A campaign for a lease, or the lease after a majority has granted it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub(super) term: u32,
    pub(super) started_at: MonotonicTime,
    /// Whether a majority has granted the lease.
    pub(super) is_elected: bool,
    pub(super) next_request_at: MonotonicTime,
    /// The latest rounds, at most [`REMEMBERED_ROUNDS`]; the earliest is dropped.
    rounds: Vec<Round>,
    next_round: u32,
    /// By voter, when the latest request that it granted was sent; [`MonotonicTime::MIN`] if it granted none.
    granted_at: Vec<MonotonicTime>,
}

impl Candidacy {
    /// A new campaign; `first_round` must differ from the rounds of the previous campaign.
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

    /// The next request: repeats the same round during the campaign, and begins a new round for each renewal.
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

    /// Records that a voter granted the request of a round; ignores rounds that are no longer remembered.
    pub(super) fn confirm(&mut self, voter: usize, round: u32) {
        let sent = self.rounds.iter().find(|known| known.number == round);
        if let (Some(sent), Some(granted_at)) = (sent, self.granted_at.get_mut(voter)) {
            *granted_at = (*granted_at).max(sent.sent_at);
        }
    }

    /// Until when the lease is held: `lease` after the latest time such that a majority has granted a request sent then
    /// or later. [`MonotonicTime::MIN`] without a majority.
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
