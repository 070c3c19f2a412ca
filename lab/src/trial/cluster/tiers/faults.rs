//! What goes wrong in a world: losses, cuts, pauses and kills. Times are in virtual ms.
use larchway_cluster::tiers::{Tier, Topology};
use std::collections::BTreeMap;
use std::ops::Range;

/// A pause of one gateway.
#[derive(Debug, Clone)]
pub struct Pause {
    pub member: u16,
    pub during: Range<u64>,
}

/// Kills of gateways at one time.
#[derive(Debug, Clone)]
pub struct Kill {
    pub at_ms: u64,
    pub victims: Victims,
}

/// Who is killed. A representative is found when the time has come.
#[derive(Debug, Clone)]
pub enum Victims {
    /// This gateway.
    Member(u16),
    /// Who represents this group then.
    Representative(Tier, u16),
    /// All gateways of this site.
    Site(u16),
}

/// A zone that is cut off from all others.
#[derive(Debug, Clone)]
pub struct ZoneCut {
    pub zone: u16,
    pub during: Range<u64>,
}

/// All that goes wrong.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    pub pauses: Vec<Pause>,
    pub kills: Vec<Kill>,
    /// Links that carry nothing: by sender, the receivers.
    pub cut_links: BTreeMap<u16, Vec<u16>>,
    /// Gateways that receive nothing.
    pub deaf: Vec<u16>,
    pub zone_cut: Option<ZoneCut>,
}

impl Faults {
    /// Whether a datagram between two gateways is stopped by a cut.
    pub fn is_cut(&self, topology: &Topology, from: u16, to: u16, ms: u64) -> bool {
        let is_link_cut = self.cut_links.get(&from).is_some_and(|receivers| receivers.contains(&to));
        let crosses_zone_cut = self.zone_cut.as_ref().is_some_and(|cut| {
            let is_inside = |member| topology.group_of(Tier::Zone, member) == Some(cut.zone);
            cut.during.contains(&ms) && is_inside(from) != is_inside(to)
        });
        is_link_cut || crosses_zone_cut || self.deaf.contains(&to)
    }

    /// Whether a gateway is cut off so that it cannot know what happens elsewhere, or others of it.
    pub fn is_severed(&self, topology: &Topology, member: u16, ms: u64) -> bool {
        let in_cut_zone = self.zone_cut.as_ref().is_some_and(|cut| {
            cut.during.contains(&ms) && topology.group_of(Tier::Zone, member) == Some(cut.zone)
        });
        in_cut_zone || self.deaf.contains(&member)
    }
}
