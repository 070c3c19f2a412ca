//! The election of a group's representative by lease: one gateway's part in it, as a voter and as a candidate.
//!
//! A lease is granted by a majority of the configured voters, without stable storage: a voter that has just started
//! does not vote until all that it may have granted before has run out. See `docs/design/membership-tiers.md`, T1 to
//! T3.
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
        /// The place of this gateway among those that may stand, if it may: the first one begins.
        rank: Option<usize>,
    },
    /// A candidate asks for the lease, or renews it.
    Request {
        /// The candidate's member number.
        candidate: u16,
        /// What it asks for.
        request: Request,
    },
    /// A voter granted a request of this gateway.
    Grant {
        /// The voter's place in the group.
        voter: usize,
        /// The term.
        term: u32,
        /// The round of the request.
        round: u32,
    },
    /// A voter refused a request of this gateway and knows of this term.
    Refused {
        /// The latest term that the voter knows.
        term: u32,
    },
    /// This term is in use beyond the group: what this gateway holds under an earlier one is worth nothing there.
    TermObserved {
        /// The term.
        term: u32,
    },
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this request to all other voters.
    SendRequest(Request),
    /// Grant a request to this candidate.
    Grant {
        /// The candidate.
        candidate: u16,
        /// The term.
        term: u32,
        /// The round of the request.
        round: u32,
    },
    /// Tell this candidate of the latest term that is known here.
    Refuse {
        /// The candidate.
        candidate: u16,
        /// The term.
        term: u32,
    },
}

/// The holder of the lease, as far as is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KnownHolder {
    /// Its member number.
    pub member: u16,
    /// The term of its lease.
    pub term: u32,
    /// When its latest renewal came.
    pub received_at: MonotonicTime,
}

/// One gateway's part in the election of one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Election {
    timing: ElectionTiming,
    own_member: u16,
    /// The own place among the voters.
    own_voter: usize,
    voters: usize,
    /// The latest term that is known.
    highest_term: u32,
    /// The latest term that this gateway has granted to another, or held itself.
    highest_granted: u32,
    /// From when on this gateway votes.
    votes_from: MonotonicTime,
    granted: Option<Granted>,
    candidacy: Option<Candidacy>,
    /// When the own campaign begins, unless somebody else's does before.
    campaign_at: Option<MonotonicTime>,
    known_holder: Option<KnownHolder>,
    /// Campaigns so far, for the choice of rounds and waits.
    campaigns: u32,
    /// Campaigns since a lease was last held or renewed here that found no majority.
    failed_campaigns: u32,
    seed: u64,
}

impl Election {
    /// The part of a gateway that came into office at `now`: as a member of a site when its process started, else as a
    /// representative of the tier below. `own_voter` is its place among `voters`, [`super::MAX_CHILDREN`] at most.
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

    /// Comes into office anew, as a voter for a group in whose name another may have voted meanwhile. Terms stay
    /// known.
    pub fn reset_voter(&mut self, now: MonotonicTime) {
        self.votes_from = self.votes_from.max(now + self.timing.vote_delay);
        self.resign();
    }

    /// Gives up the lease and any campaign. The own vote is free again: nobody else relies on it.
    pub fn resign(&mut self) {
        self.candidacy = None;
        self.campaign_at = None;
        self.granted = self.granted.filter(|granted| granted.candidate != self.own_member);
    }

    /// The term of the lease that is held at `now`, which has to be the time of the use (T3).
    pub fn held_term(&self, now: MonotonicTime) -> Option<u32> {
        let candidacy = self.candidacy.as_ref()?;
        (now < candidacy.lease_until(self.timing.lease_duration)).then_some(candidacy.term)
    }

    /// The holder of the lease, if a message of it came within the time of a lease.
    pub fn holder(&self, now: MonotonicTime) -> Option<KnownHolder> {
        if let Some(term) = self.held_term(now) {
            return Some(KnownHolder { member: self.own_member, term, received_at: now });
        }
        self.known_holder.filter(|holder| now < holder.received_at + self.timing.grant_duration)
    }

    /// The latest term that is known of the group.
    pub fn highest_term(&self) -> u32 {
        self.highest_term
    }

    /// Handles an event and appends what is to be done.
    pub fn handle(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick { rank } => self.tick(now, rank, outputs),
            Input::Request { candidate, request } => self.receive_request(now, candidate, request, outputs),
            Input::Grant { voter, term, round } => self.receive_grant(now, voter, term, round, outputs),
            Input::Refused { term } => self.receive_refusal(term),
            Input::TermObserved { term } => self.observe_term(term),
        }
    }

    /// When [`Input::Tick`] is due: the next request, or the next look at whether to stand.
    pub fn next_due(&self, now: MonotonicTime) -> MonotonicTime {
        let request_due = self.candidacy.as_ref().map(|candidacy| candidacy.next_request_at);
        let campaign_due = self.campaign_at.or(self.granted.map(|granted| granted.until));
        request_due.or(campaign_due).unwrap_or(self.votes_from).max(now)
    }

    /// A lease that a majority granted stays, whatever single voters know; a campaign under an early term is in vain.
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

    /// Begins a campaign when the lease is free and the wait by rank is over.
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

    /// Rounds of different campaigns, and of different processes of one member, are hardly the same: a grant that
    /// comes very late must not be taken for one of this campaign.
    fn first_round(&self) -> u32 {
        mix(self.seed ^ u64::from(self.campaigns) << 32) as u32
    }

    /// The wait of the first rank is none. After each campaign that failed it is longer by a random time out of a
    /// span that grows.
    fn campaign_delay(&self, rank: usize) -> Duration {
        let rank_delay = self.timing.rank_delay;
        let steps = rank.min(MAX_RANK) as u32;
        let span = duration_micros(rank_delay) * u64::from(self.failed_campaigns.min(MAX_BACKOFF_STEPS));
        let random = mix(self.seed ^ u64::from(self.campaigns)) % span.max(1);
        rank_delay * steps + Duration::from_micros(random)
    }

    /// Sends the request of the next round, or that of the campaign once more, and votes for itself.
    fn send_request(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let Some(candidacy) = &mut self.candidacy else { return };
        let interval =
            if candidacy.is_elected { self.timing.renewal_interval } else { self.timing.resend_interval };
        let request = candidacy.next_request(now, interval);
        if self.vote(now, self.own_member, request) {
            let Some(candidacy) = &mut self.candidacy else { return };
            candidacy.confirm(self.own_voter, request.round);
            // A group of one voter needs nobody else.
            if now < candidacy.lease_until(self.timing.lease_duration) {
                candidacy.is_elected = true;
                self.highest_granted = self.highest_granted.max(request.term);
            }
        }
        outputs.push(Output::SendRequest(request));
    }
}
