//! The counts of gateways: aggregation, reports to the tier above and tables for the tiers below.
use super::count::Count;
use super::message::Content;
use super::offices::author_tier;
use super::timing::{REGION_REPORT_INTERVAL, REPORT_INTERVAL, TICK_INTERVAL};
use super::topology::Tier;
use super::{Output, TieredMembership};
use larchway::MonotonicTime;

impl TieredMembership {
    /// The count of the sibling group at an index, as this gateway knows it; may be its own group.
    pub fn count(&self, now: MonotonicTime, tier: Tier, group_index: usize) -> Count {
        if tier == Tier::Site && group_index == self.own_indices[Tier::Site.index()] {
            return self.site_count();
        }
        self.tables[tier.index()].count(now, group_index)
    }

    /// The count of the whole fleet, as this gateway knows it.
    pub fn fleet_count(&self, now: MonotonicTime) -> Count {
        let mut sum = Count::default();
        for group_index in 0..self.topology.regions().len() {
            sum += self.count(now, Tier::Region, group_index);
        }
        sum
    }

    /// The count of this gateway's site, from the failure detector.
    fn site_count(&self) -> Count {
        Count { live: 1 + self.detector.alive_others().count() as u16, unknown: 0 }
    }

    /// The count of this gateway's group of a tier; valid at its representative.
    fn own_count(&self, now: MonotonicTime, tier: Tier) -> Count {
        let Some(below) = tier.below() else { return self.site_count() };
        let mut sum = Count::default();
        self.sibling_counts(now, below).into_iter().for_each(|count| sum += count);
        sum
    }

    /// The counts of this gateway's group and its siblings; valid at the representative that publishes them.
    fn sibling_counts(&self, now: MonotonicTime, tier: Tier) -> Vec<Count> {
        let own_index = self.own_indices[tier.index()];
        let siblings = self.topology.siblings(tier, self.own_groups[tier.index()]);
        let count = |(group_index, group): (usize, &u16)| {
            if group_index == own_index {
                return self.own_count(now, tier);
            }
            let size = self.topology.size(tier, *group);
            self.reports[tier.index()].count(now, group_index, size)
        };
        siblings.iter().enumerate().map(count).collect()
    }

    /// Updates the tables whose author is a group that this gateway represents.
    pub(super) fn publish_tables(&mut self, now: MonotonicTime) {
        for listed_tier in Tier::ALL {
            if let Some(term) = self.represents(now, author_tier(listed_tier)) {
                let counts = self.sibling_counts(now, listed_tier);
                self.tables[listed_tier.index()].publish(now, self.own_member, term, counts);
            }
        }
    }

    /// Sends the reports that are due: to the representative above, or from a region to all other regions.
    pub(super) fn send_reports(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        for tier in Tier::ALL {
            let Some(term) = self.represents(now, tier) else { continue };
            let count = self.own_count(now, tier);
            let outgoing = &mut self.outgoing[tier.index()];
            let is_changed = outgoing.count != Some(count) || outgoing.version.term != term;
            if !is_changed && now < outgoing.next_at {
                continue;
            }
            outgoing.advance(now, term, count, is_changed, report_interval(tier));
            let content = Content::Report { version: outgoing.version, count };
            for recipient in self.report_recipients(now, tier) {
                let group = self.own_groups[tier.index()];
                self.send_message(recipient, tier, group, content.clone(), outputs);
            }
        }
    }

    fn report_recipients(&mut self, now: MonotonicTime, tier: Tier) -> Vec<u16> {
        let Some(above) = tier.above() else { return self.sibling_representatives(now, tier) };
        if self.represents(now, above).is_some() {
            return Vec::new();
        }
        let holder = self.elections[above.index()].holder(now).map(|holder| holder.member);
        let author = || self.tables[tier.index()].author(now);
        let above = holder.or_else(author).filter(|member| *member != self.own_member);
        above.into_iter().collect()
    }

    /// Sends the tables that are due to all recipients below this gateway.
    pub(super) fn send_tables(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if self.represents(now, Tier::Site).is_none() {
            return;
        }
        for listed_tier in Tier::ALL {
            let Some(table) = self.tables[listed_tier.index()].take_due(now) else { continue };
            let group = self.own_groups[author_tier(listed_tier).index()];
            let represented_tiers =
                Tier::ALL.into_iter().filter(|represented| *represented <= author_tier(listed_tier));
            for represented in represented_tiers.collect::<Vec<_>>() {
                if self.represents(now, represented).is_none() {
                    break;
                }
                for recipient in self.recipients_below(now, represented) {
                    self.send_message(recipient, listed_tier, group, Content::Table(table.clone()), outputs);
                }
            }
        }
    }
}

impl super::OutgoingReport {
    /// Advances to the next report. A changed count is sent again after two tick intervals.
    fn advance(
        &mut self,
        now: MonotonicTime,
        term: u32,
        count: Count,
        is_changed: bool,
        interval: std::time::Duration,
    ) {
        let is_same_term = self.version.term == term;
        self.version.sequence = if is_same_term { self.version.sequence.wrapping_add(1) } else { 1 };
        self.version.term = term;
        self.count = Some(count);
        self.next_at = now + if is_changed { 2 * TICK_INTERVAL } else { interval };
    }
}

fn report_interval(tier: Tier) -> std::time::Duration {
    if tier == Tier::Region {
        REGION_REPORT_INTERVAL
    } else {
        REPORT_INTERVAL
    }
}
