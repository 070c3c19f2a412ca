//! The election of a group's representative by lease, as run by one gateway in its roles of voter and candidate.
//!
//! A lease is granted by a majority of the configured voters. Voters have no stable storage: a voter that has just
//! started does not vote until any grant that it may have given before has expired. See
//! `docs/design/membership-tiers.md`, T1 to T3.
mod voting;

use super::candidacy::Candidacy;
use super::message::Request;
use super::timing::{ElectionTiming, MAX_BACKOFF_STEPS, MAX_RANK};
use larchway::{duration_micros, mix, MonotonicTime};
use std::time::Duration;
use voting::Granted;

/// An event that an election handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick {
        /// This gateway's rank among the possible candidates, the lowest of which begins; `None` if it may not be one.
        rank: Option<usize>,
    },
    /// A candidate requests the lease, or its renewal.
    Request {
        /// The candidate's member number.
        candidate: u16,
        /// The request.
        request: Request,
    },
    /// A voter granted a request of this gateway.
    Grant {
        /// The voter's index in the group.
        voter: usize,
        /// The term granted.
        term: u32,
        /// The round of the request.
        round: u32,
    },
    /// A voter refused a request of this gateway.
    Refused {
        /// The latest term that the voter knows.
        term: u32,
    },
    /// This term is known outside of the group's voters, where messages under a lease of this term or an earlier one
    /// are ignored.
    TermObserved {
        /// The term in use.
        term: u32,
    },
}

/// An action to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this request to all other voters.
    SendRequest(Request),
    /// Grant a request to this candidate.
    Grant {
        /// The candidate's member number.
        candidate: u16,
        /// The term granted.
        term: u32,
        /// The round of the request.
        round: u32,
    },
    /// Send this candidate a refusal.
    Refuse {
        /// The candidate's member number.
        candidate: u16,
        /// The latest term that is known here.
        term: u32,
    },
}

/// The holder of the lease as one gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KnownHolder {
    /// Its member number.
    pub member: u16,
    /// The term of its lease.
    pub term: u32,
    /// When its latest renewal was received.
    pub received_at: MonotonicTime,
}

/// The state of one gateway in the election of one group's representative.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Election {
    timing: ElectionTiming,
    own_member: u16,
    /// This gateway's index among the voters.
    own_voter: usize,
    voters: usize,
    /// The latest known term.
    highest_term: u32,
    /// The latest term that this gateway granted to another candidate, or held itself.
    highest_granted: u32,
    /// The time from which on this gateway votes.
    votes_from: MonotonicTime,
    granted: Option<Granted>,
    candidacy: Option<Candidacy>,
    /// When this gateway begins a campaign, unless it grants another candidate's request before.
    campaign_at: Option<MonotonicTime>,
    known_holder: Option<KnownHolder>,
    /// Number of campaigns so far; varies round numbers and random delays.
    campaigns: u32,
    /// Number of campaigns without a majority since this gateway was last elected or last received a renewal.
    failed_campaigns: u32,
    seed: u64,
}

impl Election {
    /// The election state of a gateway that became a voter at `now`: for a site when its process started, for other
    /// groups when it became a representative in the tier below. `own_voter` is its index among `voters` voters, at
    /// most [`super::MAX_CHILDREN`].
    pub fn new(
        now: MonotonicTime,
        timing: ElectionTiming,
        own_member: u16,
        own_voter: usize,
        voters: usize,
        seed: u64,
    ) -> Self {
        Election {
            timing,
            own_member,
            own_voter,
            voters,
            highest_term: 0,
            highest_granted: 0,
            votes_from: now + timing.vote_delay,
            granted: None,
            candidacy: None,
            campaign_at: None,
            known_holder: None,
            campaigns: 0,
            failed_campaigns: 0,
            seed,
        }
    }

    /// Makes this gateway a new voter: another gateway may have voted in its place meanwhile, so the vote delay begins
    /// again. Known terms are kept.
    pub fn reset_voter(&mut self, now: MonotonicTime) {
        self.votes_from = self.votes_from.max(now + self.timing.vote_delay);
        self.resign();
    }

    /// Gives up the lease and any campaign, and withdraws this gateway's vote for itself, on which nobody else relies.
    pub fn resign(&mut self) {
        self.candidacy = None;
        self.campaign_at = None;
        self.granted = self.granted.filter(|granted| granted.candidate != self.own_member);
    }

    /// The term of the lease that this gateway holds at `now`, which must be the time of the use (T3).
    pub fn held_term(&self, now: MonotonicTime) -> Option<u32> {
        let candidacy = self.candidacy.as_ref()?;
        (now < candidacy.lease_until(self.timing.lease_duration)).then_some(candidacy.term)
    }

    /// The holder of the lease, if it is this gateway or a renewal was received within the duration of a grant.
    pub fn holder(&self, now: MonotonicTime) -> Option<KnownHolder> {
        if let Some(term) = self.held_term(now) {
            return Some(KnownHolder { member: self.own_member, term, received_at: now });
        }
        self.known_holder.filter(|holder| now < holder.received_at + self.timing.grant_duration)
    }

    /// The latest known term of the group.
    pub fn highest_term(&self) -> u32 {
        self.highest_term
    }

    /// Handles an event and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick { rank } => self.tick(now, rank, outputs),
            Input::Request { candidate, request } => self.receive_request(now, candidate, request, outputs),
            Input::Grant { voter, term, round } => self.receive_grant(now, voter, term, round, outputs),
            Input::Refused { term } => self.receive_refusal(term),
            Input::TermObserved { term } => self.observe_term(term),
        }
    }

    /// When [`Input::Tick`] is due: for the next request, or to check whether to begin a campaign.
    pub fn next_due(&self, now: MonotonicTime) -> MonotonicTime {
        let request_due = self.candidacy.as_ref().map(|candidacy| candidacy.next_request_at);
        let campaign_due = self.campaign_at.or(self.granted.map(|granted| granted.until));
        request_due.or(campaign_due).unwrap_or(self.votes_from).max(now)
    }

    /// Gives up a campaign under an earlier term than the refusal names. A lease that a majority granted is kept,
    /// whatever single voters know.
    fn receive_refusal(&mut self, term: u32) {
        self.highest_term = self.highest_term.max(term);
        let is_outdated = |candidacy: &Candidacy| !candidacy.is_elected && candidacy.term < term;
        if self.candidacy.as_ref().is_some_and(is_outdated) {
            self.resign();
        }
    }

    fn observe_term(&mut self, term: u32) {
        self.highest_term = self.highest_term.max(term);
        if self.candidacy.as_ref().is_some_and(|candidacy| candidacy.term <= term) {
            self.resign();
        }
    }

    fn receive_request(
        &mut self,
        now: MonotonicTime,
        candidate: u16,
        request: Request,
        outputs: &mut Vec<Output>,
    ) {
        if candidate == self.own_member {
            return;
        }
        if request.is_renewal && self.known_holder.is_none_or(|holder| request.term >= holder.term) {
            self.failed_campaigns = 0;
            let holder = KnownHolder { member: candidate, term: request.term, received_at: now };
            self.known_holder = Some(holder);
        }
        if self.yields_to(now, candidate, request) {
            self.resign();
        }
        if self.vote(now, candidate, request) {
            outputs.push(Output::Grant { candidate, term: request.term, round: request.round });
        } else if self.needs_refusal(candidate, request) {
            outputs.push(Output::Refuse { candidate, term: self.highest_term });
        }
    }

    fn receive_grant(
        &mut self,
        now: MonotonicTime,
        voter: usize,
        term: u32,
        round: u32,
        outputs: &mut Vec<Output>,
    ) {
        let lease = self.timing.lease_duration;
        let Some(candidacy) = &mut self.candidacy else { return };
        if candidacy.term != term || voter == self.own_voter || voter >= self.voters {
            return;
        }
        candidacy.confirm(voter, round);
        if !candidacy.is_elected && now < candidacy.lease_until(lease) {
            candidacy.is_elected = true;
            self.highest_granted = self.highest_granted.max(term);
            self.failed_campaigns = 0;
            self.send_request(now, outputs);
        }
    }

    fn tick(&mut self, now: MonotonicTime, rank: Option<usize>, outputs: &mut Vec<Output>) {
        let Some(rank) = rank else { return self.resign() };
        let Some(candidacy) = &self.candidacy else { return self.begin_campaign_if_due(now, rank, outputs) };
        let has_lapsed = candidacy.is_elected && now >= candidacy.lease_until(self.timing.lease_duration);
        let has_failed = !candidacy.is_elected && now >= candidacy.started_at + self.timing.campaign_timeout;
        if has_lapsed || has_failed {
            self.failed_campaigns = self.failed_campaigns.saturating_add(u32::from(has_failed));
            return self.resign();
        }
        if now >= candidacy.next_request_at {
            self.send_request(now, outputs);
        }
    }

    /// Begins a campaign if no grant of this gateway is active and its campaign delay is over.
    fn begin_campaign_if_due(&mut self, now: MonotonicTime, rank: usize, outputs: &mut Vec<Output>) {
        if now < self.votes_from || self.has_active_grant(now) {
            self.campaign_at = None;
            return;
        }
        let campaign_at = match self.campaign_at {
            Some(campaign_at) => campaign_at,
            None => now + self.campaign_delay(rank),
        };
        self.campaign_at = Some(campaign_at);
        if now < campaign_at {
            return;
        }
        self.campaigns = self.campaigns.wrapping_add(1);
        let term = self.highest_term.saturating_add(1);
        self.candidacy = Some(Candidacy::new(now, term, self.voters, self.first_round()));
        self.campaign_at = None;
        self.send_request(now, outputs);
    }

    /// The first round number of a campaign. It is pseudo-random, so that a very late grant from another campaign, or
    /// from an earlier process of this member, is not counted for this campaign.
    fn first_round(&self) -> u32 {
        mix(self.seed ^ u64::from(self.campaigns) << 32) as u32
    }

    /// The delay before a campaign: [`ElectionTiming::rank_delay`] for each rank, so none for the first, plus a random
    /// backoff whose range grows with each failed campaign.
    fn campaign_delay(&self, rank: usize) -> Duration {
        let rank_delay = self.timing.rank_delay;
        let steps = rank.min(MAX_RANK) as u32;
        let span = duration_micros(rank_delay) * u64::from(self.failed_campaigns.min(MAX_BACKOFF_STEPS));
        let random = mix(self.seed ^ u64::from(self.campaigns)) % span.max(1);
        rank_delay * steps + Duration::from_micros(random)
    }

    /// Sends the request of the next round, or repeats that of the campaign, and votes for this gateway itself.
    fn send_request(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let Some(candidacy) = &mut self.candidacy else { return };
        let interval =
            if candidacy.is_elected { self.timing.renewal_interval } else { self.timing.resend_interval };
        let request = candidacy.next_request(now, interval);
        if self.vote(now, self.own_member, request) {
            let Some(candidacy) = &mut self.candidacy else { return };
            candidacy.confirm(self.own_voter, request.round);
            // In a group of one voter, its own vote is a majority.
            if now < candidacy.lease_until(self.timing.lease_duration) {
                candidacy.is_elected = true;
                self.highest_granted = self.highest_granted.max(request.term);
            }
        }
        outputs.push(Output::SendRequest(request));
    }
}
