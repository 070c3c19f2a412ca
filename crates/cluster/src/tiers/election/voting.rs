//! The votes of one gateway: whom it grants a request.
use super::super::candidacy::Candidacy;
use super::super::message::Request;
use super::Election;
use larchway::MonotonicTime;

/// A grant to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Granted {
    pub(super) candidate: u16,
    pub(super) term: u32,
    pub(super) round: u32,
    pub(super) until: MonotonicTime,
    /// Whether the candidate has renewed it, which shows that it got the lease.
    pub(super) was_renewed: bool,
}

impl Election {
    /// Whether this gateway gives up its own campaign for another one: of two at one time the one of the later term
    /// goes on, or of the lower member, so that votes are not split for ever.
    pub(super) fn yields_to(&self, now: MonotonicTime, candidate: u16, request: Request) -> bool {
        let comes_before_own =
            |own: &Candidacy| !own.is_elected && (request.term, self.own_member) > (own.term, candidate);
        let comes_before_own = self.candidacy.as_ref().is_some_and(comes_before_own);
        comes_before_own && !request.is_renewal && self.allows_campaign(now, candidate, request)
    }

    /// Whether the candidate needs to know of a later term.
    pub(super) fn needs_refusal(&self, candidate: u16, request: Request) -> bool {
        let is_granted_to_other =
            |granted: &Granted| granted.candidate != candidate && granted.term == request.term;
        request.term < self.highest_term || self.granted.as_ref().is_some_and(is_granted_to_other)
    }

    /// T2: grants the request if nobody else has a grant that still holds. A campaign needs a term above all that were
    /// granted here; the lease that others have granted may be renewed here too, unless a later one is known.
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
                // The request of a campaign is repeated, its lease counts from the first sending: nothing is extended.
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

    /// Whether a grant still holds.
    pub(super) fn has_active_grant(&self, now: MonotonicTime) -> bool {
        self.granted.is_some_and(|granted| now < granted.until)
    }

    /// Whether a free voter grants a campaign: its term is a new one, and the candidate is not one whose campaign was
    /// granted of late and never became a lease, since it hears nobody.
    fn allows_campaign(&self, now: MonotonicTime, candidate: u16, request: Request) -> bool {
        let is_in_cooldown = self.granted.is_some_and(|granted| {
            let never_became_lease = granted.candidate == candidate && !granted.was_renewed;
            never_became_lease && now < granted.until + self.timing.candidate_cooldown
        });
        let is_new_term = request.term > self.highest_granted && request.term >= self.highest_term;
        is_new_term && (candidate == self.own_member || !is_in_cooldown)
    }
}
