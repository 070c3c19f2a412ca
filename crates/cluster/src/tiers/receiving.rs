//! Received messages. A message is accepted only from a gateway of the group that it is sent for (T4).
use super::count::{Count, Version};
use super::election::Input as ElectionInput;
use super::message::{Content, Message, Request, Table};
use super::offices::author_tier;
use super::reports::ReportOutcome;
use super::topology::Tier;
use super::{Output, TieredMembership};
use larchway::MonotonicTime;

impl TieredMembership {
    pub(super) fn receive(
        &mut self,
        now: MonotonicTime,
        from: u16,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let Message { tier, group, content } = message;
        let is_own_group = group == self.own_groups[tier.index()];
        match content {
            Content::Request(request) if is_own_group => {
                self.receive_request(now, from, tier, request, outputs);
            }
            Content::Grant { term, round } if is_own_group => {
                self.receive_grant(now, from, tier, (term, round), outputs);
            }
            Content::Refusal { term } if is_own_group && self.is_of_group(from, tier) => {
                self.elect(now, tier, ElectionInput::Refused { term }, outputs);
            }
            Content::StaleReport { term } if is_own_group && self.is_of_sibling_group(from, tier) => {
                self.elect(now, tier, ElectionInput::TermObserved { term }, outputs);
            }
            Content::Redirect { representative } => {
                self.receive_redirect(now, tier, group, representative, outputs);
            }
            Content::Report { version, count } => {
                self.receive_report(now, from, (tier, group), (version, count), outputs);
            }
            Content::Table(table) => self.receive_table(now, from, (tier, group), table, outputs),
            _ => {}
        }
    }

    /// Whether a member belongs to this gateway's group of a tier.
    fn is_of_group(&self, member: u16, tier: Tier) -> bool {
        self.topology.group_of(tier, member) == Some(self.own_groups[tier.index()])
    }

    /// Whether a member belongs to this gateway's group of a tier, or to a sibling group.
    fn is_of_sibling_group(&self, member: u16, tier: Tier) -> bool {
        tier.above().is_none_or(|above| self.is_of_group(member, above))
    }

    /// The index of a member's group among this gateway's group of a tier and its siblings; `None` if it is in neither.
    fn index_of_group(&self, member: u16, tier: Tier) -> Option<usize> {
        let group = self.topology.group_of(tier, member)?;
        let siblings = self.topology.siblings(tier, self.own_groups[tier.index()]);
        siblings.iter().position(|sibling| *sibling == group)
    }

    fn receive_request(
        &mut self,
        now: MonotonicTime,
        from: u16,
        tier: Tier,
        request: Request,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_of_group(from, tier) {
            return;
        }
        if let Some(below) = tier.below() {
            if self.represents(now, below).is_none() {
                return self.redirect(now, from, below, outputs);
            }
            if let Some(group_index) = self.index_of_group(from, below) {
                self.contacts[below.index()].record(now, group_index, from);
            }
        }
        self.elect(now, tier, ElectionInput::Request { candidate: from, request }, outputs);
    }

    fn receive_grant(
        &mut self,
        now: MonotonicTime,
        from: u16,
        tier: Tier,
        (term, round): (u32, u32),
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_of_group(from, tier) {
            return;
        }
        let voter = match tier.below() {
            None => self.site_members().iter().position(|member| *member == from),
            Some(below) => self.index_of_group(from, below),
        };
        let Some(voter) = voter else { return };
        if let Some(below) = tier.below() {
            self.contacts[below.index()].record(now, voter, from);
        }
        self.elect(now, tier, ElectionInput::Grant { voter, term, round }, outputs);
    }

    /// Answers with the representative of this gateway's group of a tier, if it is known.
    fn redirect(&mut self, now: MonotonicTime, to: u16, tier: Tier, outputs: &mut Vec<Output>) {
        let elected = self.elections[tier.index()].holder(now).map(|holder| holder.member);
        let author = || self.tables[tier.below()?.index()].author(now);
        let representative = elected.or_else(author).filter(|member| *member != self.own_member);
        if let Some(representative) = representative {
            let group = self.own_groups[tier.index()];
            self.send_message(to, tier, group, Content::Redirect { representative }, outputs);
        }
    }

    fn receive_redirect(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        group: u16,
        representative: u16,
        outputs: &mut Vec<Output>,
    ) {
        if self.topology.group_of(tier, representative) != Some(group) {
            return;
        }
        if let Some(group_index) = self.index_of_group(representative, tier) {
            let is_new = self.contacts[tier.index()].record(now, group_index, representative);
            if is_new && tier == Tier::Region && representative != self.own_member {
                self.send_region_report(now, representative, outputs);
            }
        }
    }

    fn receive_report(
        &mut self,
        now: MonotonicTime,
        from: u16,
        (tier, group): (Tier, u16),
        (version, count): (Version, Count),
        outputs: &mut Vec<Output>,
    ) {
        let is_sender_group = self.topology.group_of(tier, from) == Some(group);
        let Some(group_index) = self.index_of_group(from, tier).filter(|_| is_sender_group) else { return };
        let publisher_tier = author_tier(tier);
        if group_index == self.own_indices[tier.index()] && tier == Tier::Region {
            return;
        }
        if self.represents(now, publisher_tier).is_none() {
            return self.redirect(now, from, publisher_tier, outputs);
        }
        let is_new = self.contacts[tier.index()].record(now, group_index, from);
        if is_new && tier == Tier::Region {
            self.send_region_report(now, from, outputs);
        }
        if let ReportOutcome::Stale { term } =
            self.reports[tier.index()].receive(now, group_index, from, version, count)
        {
            self.send_message(from, tier, group, Content::StaleReport { term }, outputs);
        }
    }

    /// Sends the count of this gateway's region to a newly known representative of another region, which may not know
    /// this one yet.
    fn send_region_report(&mut self, now: MonotonicTime, to: u16, outputs: &mut Vec<Output>) {
        let outgoing = self.outgoing[Tier::Region.index()];
        let is_current = self.represents(now, Tier::Region) == Some(outgoing.version.term);
        if let Some(count) = outgoing.count.filter(|_| is_current) {
            let (group, version) = (self.own_groups[Tier::Region.index()], outgoing.version);
            self.send_message(to, Tier::Region, group, Content::Report { version, count }, outputs);
        }
    }

    fn receive_table(
        &mut self,
        now: MonotonicTime,
        from: u16,
        (listed_tier, group): (Tier, u16),
        table: Table,
        outputs: &mut Vec<Output>,
    ) {
        let publisher_tier = author_tier(listed_tier);
        let is_own_group = group == self.own_groups[publisher_tier.index()];
        let is_from_group =
            self.is_of_group(from, publisher_tier) && self.is_of_group(table.author, publisher_tier);
        if !is_own_group || !is_from_group || self.represents(now, publisher_tier).is_some() {
            return;
        }
        let author = table.author;
        let known_term = self.tables[listed_tier.index()].receive(now, table);
        if let Some(term) = known_term.filter(|_| author != self.own_member) {
            self.send_message(author, publisher_tier, group, Content::StaleReport { term }, outputs);
        }
    }
}
