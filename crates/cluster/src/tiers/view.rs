//! The report of the tiers for operators, as JSON under `/ops/fleet`. Its keys are those of `docs/operate/fleet.md`.
use super::count::Count;
use super::topology::Tier;
use super::TieredMembership;
use larchway::MonotonicTime;
use serde::Serialize;

/// The report of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupReport {
    /// The name of the group; empty for the fleet.
    pub name: String,
    /// The number of its configured gateways.
    pub members: u16,
    /// The numbers of its live and unknown gateways.
    #[serde(flatten)]
    pub count: Count,
    /// The number of its gateways that are dead or have left.
    pub dead: u16,
}

/// The report of one tier, as one gateway knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TierReport {
    /// The tier that the report is about.
    pub tier: Tier,
    /// The name of this gateway's group.
    pub own: String,
    /// The member number of the group's representative, if it is known.
    pub representative: Option<u16>,
    /// The latest known term of the group's lease.
    pub term: u32,
    /// Whether the table of this tier was updated within its timeout.
    pub fresh: bool,
    /// This gateway's group and its siblings, in the order of the topology.
    pub groups: Vec<GroupReport>,
}

/// The report of all tiers, as one gateway knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TiersReport {
    /// The tiers, the lowest first.
    pub tiers: Vec<TierReport>,
    /// The whole fleet.
    pub fleet: GroupReport,
    /// Datagrams sent so far.
    #[serde(rename = "sent")]
    pub datagrams_sent: u64,
    /// Bytes of these datagrams, including the envelopes.
    pub bytes_sent: u64,
}

impl TieredMembership {
    /// The failure detector's report of this gateway's site; members are identified by their indices within it.
    pub fn site_report(&self, now: MonotonicTime) -> crate::failure_detector::Report {
        self.detector.report(now)
    }

    /// The report for operators.
    pub fn report(&self, now: MonotonicTime) -> TiersReport {
        let members = self.topology.members() as u16;
        let fleet = group_report(String::new(), members, self.fleet_count(now));
        TiersReport {
            tiers: Tier::ALL.into_iter().map(|tier| self.tier_report(now, tier)).collect(),
            fleet,
            datagrams_sent: self.datagrams_sent,
            bytes_sent: self.bytes_sent,
        }
    }

    fn tier_report(&self, now: MonotonicTime, tier: Tier) -> TierReport {
        let own = self.own_groups[tier.index()];
        let siblings = self.topology.siblings(tier, own).iter().enumerate();
        let group = |(group_index, group): (usize, &u16)| {
            let (name, size) = (self.topology.name(tier, *group).into(), self.topology.size(tier, *group));
            group_report(name, size, self.count(now, tier, group_index))
        };
        let election = &self.elections[tier.index()];
        let author = || self.tables[tier.below()?.index()].author(now);
        TierReport {
            tier,
            own: self.topology.name(tier, own).into(),
            representative: election.holder(now).map(|holder| holder.member).or_else(author),
            term: election.highest_term(),
            fresh: self.tables[tier.index()].is_fresh(now),
            groups: siblings.map(group).collect(),
        }
    }
}

fn group_report(name: String, members: u16, count: Count) -> GroupReport {
    GroupReport { name, members, count, dead: count.dead(members) }
}
