//! The votes of one gateway: which requests it grants.
use super::super::candidacy::Candidacy;
use super::super::message::Request;
use super::Election;
use larchway::MonotonicTime;

/// The latest grant of this gateway to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Granted {
    pub(super) candidate: u16,
    pub(super) term: u32,
    pub(super) round: u32,
    pub(super) until: MonotonicTime,
    /// Whether the candidate has renewed it, which shows that it obtained the lease.
    pub(super) was_renewed: bool,
}

impl Election {
    /// Whether this gateway gives up its own campaign for another candidate's. Of two concurrent campaigns the one of
    /// the later term continues, or of the lower member number at equal terms, so that votes are not split forever.
    pub(super) fn yields_to(&self, now: MonotonicTime, candidate: u16, request: Request) -> bool {
        let comes_before_own =
            |own: &Candidacy| !own.is_elected && (request.term, self.own_member) > (own.term, candidate);
        let comes_before_own = self.candidacy.as_ref().is_some_and(comes_before_own);
        comes_before_own && !request.is_renewal && self.allows_campaign(now, candidate, request)
    }

    /// Whether to send the candidate a refusal: its term is too early, or granted to another candidate.
    pub(super) fn needs_refusal(&self, candidate: u16, request: Request) -> bool {
        let is_granted_to_other =
            |granted: &Granted| granted.candidate != candidate && granted.term == request.term;
        request.term < self.highest_term || self.granted.as_ref().is_some_and(is_granted_to_other)
    }

    /// T2: grants the request if no other candidate has an active grant. A campaign needs a term above all terms
    /// granted here. The renewal of a lease that other voters granted may be granted here too, unless a later term's
    /// holder is known.
    pub(super) fn vote(&mut self, now: MonotonicTime, candidate: u16, request: Request) -> bool {
        let is_outdated = self.known_holder.is_some_and(|holder| holder.term > request.term);
        if now < self.votes_from || request.is_renewal && is_outdated {
            return false;
        }
        let until = now + self.timing.grant_duration;
        if let Some(granted) = &mut self.granted {
            if granted.candidate == candidate && granted.term == request.term {
                if request.is_renewal {
                    *granted = Granted { until, round: request.round, was_renewed: true, ..*granted };
                }
                // A repeated request of a campaign does not extend the grant: the lease counts from its first sending.
                return request.is_renewal || granted.round == request.round && now < granted.until;
            }
        }
        if self.has_active_grant(now) || !request.is_renewal && !self.allows_campaign(now, candidate, request)
        {
            return false;
        }
        self.highest_term = self.highest_term.max(request.term);
        if candidate != self.own_member {
            self.highest_granted = self.highest_granted.max(request.term);
        }
        let (term, round) = (request.term, request.round);
        self.granted = Some(Granted { candidate, term, round, until, was_renewed: request.is_renewal });
        true
    }

    /// Whether a grant of this gateway is active.
    pub(super) fn has_active_grant(&self, now: MonotonicTime) -> bool {
        self.granted.is_some_and(|granted| now < granted.until)
    }

    /// Whether a voter without an active grant grants a campaign: its term must be new, and the candidate must not be
    /// one whose campaign was granted recently and never led to a renewal, since it probably receives nothing.
    fn allows_campaign(&self, now: MonotonicTime, candidate: u16, request: Request) -> bool {
        let is_in_cooldown = self.granted.is_some_and(|granted| {
            let never_became_lease = granted.candidate == candidate && !granted.was_renewed;
            never_became_lease && now < granted.until + self.timing.candidate_cooldown
        });
        let is_new_term = request.term > self.highest_granted && request.term >= self.highest_term;
        is_new_term && (candidate == self.own_member || !is_in_cooldown)
    }
}
