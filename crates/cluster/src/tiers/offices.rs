//! The groups that this gateway represents, and its elections in its site, zone and region.
use super::election::{Input as ElectionInput, Output as ElectionOutput};
use super::message::{Content, Request};
use super::topology::Tier;
use super::{Output, TieredMembership};
use larchway::MonotonicTime;

impl TieredMembership {
    /// The term of the lease under which this gateway represents its group of a tier at `now`; `None` if it does not,
    /// or does not represent the group below.
    pub fn represents(&self, now: MonotonicTime, tier: Tier) -> Option<u32> {
        if tier.below().is_some_and(|below| self.represents(now, below).is_none()) {
            return None;
        }
        self.elections[tier.index()].held_term(now)
    }

    /// Detects which leases began and ended. A new representative must not vote in the tier above until the grants of
    /// its predecessor have expired, so this is called before and after each input.
    pub(super) fn update_held_leases(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        for tier in Tier::ALL {
            let held = self.represents(now, tier);
            let before = std::mem::replace(&mut self.held_terms[tier.index()], held);
            if held == before {
                continue;
            }
            if before.is_some() {
                self.on_lease_lost(tier);
                outputs.push(Output::Resigned { tier });
            }
            if let Some(term) = held {
                self.on_lease_acquired(now, tier);
                outputs.push(Output::Elected { tier, term });
            }
        }
    }

    fn on_lease_lost(&mut self, tier: Tier) {
        for above in Tier::ALL.into_iter().filter(|above| *above > tier) {
            self.elections[above.index()].resign();
        }
    }

    fn on_lease_acquired(&mut self, now: MonotonicTime, tier: Tier) {
        if let Some(above) = tier.above() {
            let known_term = self.tables[tier.index()].term();
            let election = &mut self.elections[above.index()];
            election.reset_voter(now);
            election.handle(now, ElectionInput::TermObserved { term: known_term }, &mut Vec::new());
        }
        self.outgoing[tier.index()].next_at = now;
        self.adopt_tables(tier);
    }

    /// Adopts the tables that earlier representatives of the group published.
    fn adopt_tables(&mut self, tier: Tier) {
        let published_tiers = Tier::ALL.into_iter().filter(|listed_tier| author_tier(*listed_tier) == tier);
        for listed_tier in published_tiers {
            if let Some((table, updated_at)) = self.tables[listed_tier.index()].latest() {
                self.reports[listed_tier.index()].adopt(table, updated_at);
            }
        }
    }

    pub(super) fn tick_election(&mut self, now: MonotonicTime, tier: Tier, outputs: &mut Vec<Output>) {
        let rank = self.rank(now, tier);
        if rank.is_none() && self.held_terms[tier.index()].is_none() && tier != Tier::Site {
            return;
        }
        self.elect(now, tier, ElectionInput::Tick { rank }, outputs);
    }

    /// This gateway's rank among the possible candidates of its group; `None` if it may not be one itself.
    fn rank(&self, now: MonotonicTime, tier: Tier) -> Option<usize> {
        match tier.below() {
            None => {
                let may_be_candidate = !self.is_isolated && !self.is_leaving;
                let members = self.site_members();
                let own = members.iter().position(|member| *member == self.own_member)?;
                let is_before = |index: &u16| usize::from(*index) < own;
                may_be_candidate.then(|| self.detector.alive_others().filter(is_before).count())
            }
            Some(below) => self.represents(now, below).map(|_term| self.own_indices[below.index()]),
        }
    }

    /// Passes an event to the election of this gateway's group of a tier, and sends the resulting messages.
    pub(super) fn elect(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        input: ElectionInput,
        outputs: &mut Vec<Output>,
    ) {
        let group = self.own_groups[tier.index()];
        let mut decided = Vec::new();
        self.elections[tier.index()].handle(now, input, &mut decided);
        for output in decided {
            match output {
                ElectionOutput::SendRequest(request) => self.request_votes(now, tier, request, outputs),
                ElectionOutput::Grant { candidate, term, round } => {
                    self.send_message(candidate, tier, group, Content::Grant { term, round }, outputs);
                }
                ElectionOutput::Refuse { candidate, term } => {
                    self.send_message(candidate, tier, group, Content::Refusal { term }, outputs);
                }
            }
        }
    }

    fn request_votes(&mut self, now: MonotonicTime, tier: Tier, request: Request, outputs: &mut Vec<Output>) {
        let group = self.own_groups[tier.index()];
        for voter in self.recipients_below(now, tier) {
            self.send_message(voter, tier, group, Content::Request(request), outputs);
        }
    }

    /// The recipients of messages of a tier's representative to all below it: the other live members of its site, or
    /// the representatives of the other groups of the tier below.
    pub(super) fn recipients_below(&mut self, now: MonotonicTime, tier: Tier) -> Vec<u16> {
        match tier.below() {
            None => self.detector.alive_others().filter_map(|index| self.member_at(index)).collect(),
            Some(below) => self.sibling_representatives(now, below),
        }
    }

    /// The representatives of the other sibling groups, or random members of groups whose representative is unknown.
    pub(super) fn sibling_representatives(&mut self, now: MonotonicTime, tier: Tier) -> Vec<u16> {
        let own_index = self.own_indices[tier.index()];
        let siblings = self.topology.siblings(tier, self.own_groups[tier.index()]);
        let contacts = &mut self.contacts[tier.index()];
        let others = siblings.iter().enumerate().filter(|(group_index, _)| *group_index != own_index);
        others
            .map(|(group_index, group)| contacts.recipient(now, &self.topology, group_index, *group))
            .collect()
    }
}

/// The tier whose representative publishes the table of the groups of a tier: the tier above, or the region for the
/// table of all regions.
pub(super) fn author_tier(listed_tier: Tier) -> Tier {
    listed_tier.above().unwrap_or(Tier::Region)
}
