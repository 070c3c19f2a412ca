//! The tree of regions, zones, sites and gateways, built from the configured sites and validated.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of members of a site, of sites of a zone, of zones of a region, and of regions: a table of this many
/// groups fits into one datagram.
pub const MAX_CHILDREN: usize = 56;
/// Maximum number of gateways in a site, zone or region.
pub const MAX_GROUP_SIZE: u16 = 0x7fff;
/// Number of tiers in which a representative is elected.
pub const TIERS: usize = 3;

/// A tier of the tree of groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// A group of gateways at one place, which monitor each other with the failure detector.
    Site,
    /// A group of sites.
    Zone,
    /// A group of zones.
    Region,
}

impl Tier {
    /// All tiers, the lowest first.
    pub const ALL: [Tier; TIERS] = [Tier::Site, Tier::Zone, Tier::Region];

    /// The index of the tier, from 0 for the lowest.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The tier with this index; `None` if there is none.
    pub fn from_index(index: usize) -> Option<Tier> {
        Tier::ALL.get(index).copied()
    }

    /// The tier below, whose representatives elect the representative of this tier; `None` for a site, whose members
    /// elect it.
    pub fn below(self) -> Option<Tier> {
        self.index().checked_sub(1).and_then(Tier::from_index)
    }

    /// The tier above; `None` for a region.
    pub fn above(self) -> Option<Tier> {
        Tier::from_index(self.index() + 1)
    }
}

/// A site as configured by the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SitePlace {
    /// The name of the site.
    pub site: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of the region of that zone.
    pub region: String,
    /// The numbers of its members: their indices in `peers`, from 0.
    pub members: Vec<u16>,
}

/// Why the configured sites are rejected. Each text begins with the configuration key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TopologyError {
    /// A site has no members.
    #[error("sites[{site}].members: no member")]
    NoMembers {
        /// The index of the site in `sites`.
        site: usize,
    },
    /// A member number that is not configured.
    #[error("sites[{site}].members: {member} is not below {members}, the number of gateways")]
    UnknownMember {
        /// The index of the site in `sites`.
        site: usize,
        /// The member's number.
        member: u16,
        /// The number of configured gateways.
        members: usize,
    },
    /// A member is in two sites.
    #[error("sites[{site}].members: {member} is in another site too")]
    RepeatedMember {
        /// The index of the site in `sites`.
        site: usize,
        /// The member's number.
        member: u16,
    },
    /// A member is in no site.
    #[error("sites: member {member} is in none")]
    MissingMember {
        /// The member's number.
        member: u16,
    },
    /// Two sites have the same name.
    #[error("sites[{site}].site: {name:?} is the name of another site too")]
    RepeatedSite {
        /// The index of the site in `sites`.
        site: usize,
        /// The repeated name.
        name: String,
    },
    /// A zone is in two regions.
    #[error("sites[{site}].region: zone {zone:?} is in region {other:?} at another site")]
    ZoneInTwoRegions {
        /// The index of the site in `sites`.
        site: usize,
        /// The name of the zone.
        zone: String,
        /// The region that another site names for the zone.
        other: String,
    },
    /// A region has too many gateways.
    #[error("sites[{site}].members: region {region:?} has more than {MAX_GROUP_SIZE} gateways")]
    TooManyMembers {
        /// The index in `sites` of the site that exceeds the limit.
        site: usize,
        /// The name of the region.
        region: String,
    },
    /// A group has too many children.
    #[error("sites: {what} {name:?} has {children} parts, more than {MAX_CHILDREN}")]
    TooManyChildren {
        /// The tier of the group, or `the fleet`.
        what: &'static str,
        /// The name of the group; empty for the fleet.
        name: String,
        /// The number of its children.
        children: usize,
    },
}

/// A site, zone or region.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Group {
    name: String,
    /// The number of the group in the tier above that it belongs to; 0 for a region.
    parent: u16,
    /// The numbers of its children: members of a site, sites of a zone, or zones of a region.
    children: Vec<u16>,
    /// The number of its gateways.
    size: u16,
}

/// The groups of all gateways. Its size grows with the fleet, as that of the list of addresses does: about 6 bytes per
/// gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// By tier, its groups; at most as many as there are gateways, 65,535.
    groups: [Vec<Group>; TIERS],
    /// The numbers of all regions.
    regions: Vec<u16>,
    /// The site of each member, by member number.
    site_of: Vec<u16>,
}

/// Marks a member that is in no site yet while the topology is built.
const NO_SITE: u16 = u16::MAX;

impl Topology {
    /// Builds and validates the topology of `members` gateways.
    ///
    /// # Errors
    ///
    /// Returns a [`TopologyError`], whose text begins with the configuration key.
    pub fn new(places: &[SitePlace], members: usize) -> Result<Topology, TopologyError> {
        let mut topology =
            Topology { groups: Default::default(), regions: Vec::new(), site_of: vec![NO_SITE; members] };
        for (position, place) in places.iter().enumerate() {
            topology.add_site(position, place)?;
        }
        if let Some(member) = topology.site_of.iter().position(|site| *site == NO_SITE) {
            return Err(TopologyError::MissingMember { member: member as u16 });
        }
        topology.regions = (0..topology.groups[Tier::Region.index()].len() as u16).collect();
        topology.check_children()?;
        Ok(topology)
    }

    fn add_site(&mut self, position: usize, place: &SitePlace) -> Result<(), TopologyError> {
        if place.members.is_empty() {
            return Err(TopologyError::NoMembers { site: position });
        }
        if self.find(Tier::Site, &place.site).is_some() {
            return Err(TopologyError::RepeatedSite { site: position, name: place.site.clone() });
        }
        let members = self.site_of.len();
        for &member in &place.members {
            match self.site_of.get_mut(usize::from(member)) {
                None => return Err(TopologyError::UnknownMember { site: position, member, members }),
                Some(site) if *site != NO_SITE => {
                    return Err(TopologyError::RepeatedMember { site: position, member });
                }
                Some(site) => *site = position as u16,
            }
        }
        let region = self.find_or_add(Tier::Region, &place.region, 0);
        let size = place.members.len() as u16;
        if self.group(Tier::Region, region).size.saturating_add(size) > MAX_GROUP_SIZE {
            return Err(TopologyError::TooManyMembers { site: position, region: place.region.clone() });
        }
        let zone = self.find_or_add(Tier::Zone, &place.zone, region);
        let known_region = self.group(Tier::Zone, zone).parent;
        if known_region != region {
            let other = self.group(Tier::Region, known_region).name.clone();
            return Err(TopologyError::ZoneInTwoRegions { site: position, zone: place.zone.clone(), other });
        }
        let name = place.site.clone();
        let site = Group { name, parent: zone, children: place.members.clone(), size };
        self.groups[Tier::Site.index()].push(site);
        self.groups[Tier::Zone.index()][usize::from(zone)].children.push(position as u16);
        self.groups[Tier::Zone.index()][usize::from(zone)].size += size;
        self.groups[Tier::Region.index()][usize::from(region)].size += size;
        Ok(())
    }

    fn find(&self, tier: Tier, name: &str) -> Option<u16> {
        self.groups[tier.index()].iter().position(|group| group.name == name).map(|at| at as u16)
    }

    fn find_or_add(&mut self, tier: Tier, name: &str, parent: u16) -> u16 {
        if let Some(existing) = self.find(tier, name) {
            return existing;
        }
        let groups = &mut self.groups[tier.index()];
        let added = groups.len() as u16;
        groups.push(Group { name: name.into(), parent, children: Vec::new(), size: 0 });
        if tier == Tier::Zone {
            self.groups[Tier::Region.index()][usize::from(parent)].children.push(added);
        }
        added
    }

    fn check_children(&self) -> Result<(), TopologyError> {
        let tier_names = ["site", "zone", "region"];
        for tier in Tier::ALL {
            for group in &self.groups[tier.index()] {
                let (what, children) = (tier_names[tier.index()], group.children.len());
                if children > MAX_CHILDREN {
                    return Err(TopologyError::TooManyChildren { what, name: group.name.clone(), children });
                }
            }
        }
        let children = self.regions.len();
        if children > MAX_CHILDREN {
            return Err(TopologyError::TooManyChildren { what: "the fleet", name: String::new(), children });
        }
        Ok(())
    }

    fn group(&self, tier: Tier, group: u16) -> &Group {
        &self.groups[tier.index()][usize::from(group)]
    }

    /// The number of gateways.
    pub fn members(&self) -> usize {
        self.site_of.len()
    }

    /// The group of a tier that a member is in; `None` for a member that is not configured.
    pub fn group_of(&self, tier: Tier, member: u16) -> Option<u16> {
        let site = *self.site_of.get(usize::from(member))?;
        Some(match tier {
            Tier::Site => site,
            Tier::Zone => self.group(Tier::Site, site).parent,
            Tier::Region => self.group(Tier::Zone, self.group(Tier::Site, site).parent).parent,
        })
    }

    /// The numbers of a group's children: members of a site, sites of a zone, or zones of a region.
    pub fn children(&self, tier: Tier, group: u16) -> &[u16] {
        &self.group(tier, group).children
    }

    /// The numbers of all regions.
    pub fn regions(&self) -> &[u16] {
        &self.regions
    }

    /// The groups of a tier with the same parent as `own`, including `own`: the sites of its zone, the zones of its
    /// region, or all regions.
    pub fn siblings(&self, tier: Tier, own: u16) -> &[u16] {
        match tier.above() {
            Some(above) => self.children(above, self.group(tier, own).parent),
            None => &self.regions,
        }
    }

    /// The number of gateways of a group.
    pub fn size(&self, tier: Tier, group: u16) -> u16 {
        self.group(tier, group).size
    }

    /// The name of a group.
    pub fn name(&self, tier: Tier, group: u16) -> &str {
        &self.group(tier, group).name
    }

    /// A member of a group, selected by the random number `choice`.
    pub fn pick_member(&self, tier: Tier, group: u16, choice: u64) -> u16 {
        let children = self.children(tier, group);
        let chosen = children[(choice % children.len() as u64) as usize];
        match tier.below() {
            Some(below) => self.pick_member(below, chosen, larchway::mix(choice)),
            None => chosen,
        }
    }
}
