//! Fleets of the operators' shape, at any size: sites of 15, some seven to a zone, some three zones to a region.
use larchway::mix;
use larchway_cluster::tiers::{SitePlace, Tier, Topology, TopologyError};

/// The fleet of two years (`docs/CAPACITY.md`).
pub const GATEWAYS: usize = 12_000;
const SITES: usize = 800;
const ZONES: usize = 110;
const REGIONS: usize = 36;
/// Gateways of a site.
pub const SITE_SIZE: usize = GATEWAYS / SITES;

/// The places of a fleet of so many gateways, a multiple of [`SITE_SIZE`], in the proportions of the full one.
pub fn topology(gateways: usize) -> Result<Topology, TopologyError> {
    let sites = gateways / SITE_SIZE;
    let zones = (sites * ZONES / SITES).max(1);
    let regions = (zones * REGIONS / ZONES).max(1);
    let place = |site: usize| {
        let zone = site * zones / sites;
        let first = (site * SITE_SIZE) as u16;
        SitePlace {
            site: format!("site-{site}"),
            zone: format!("zone-{zone}"),
            region: format!("region-{}", zone * regions / zones),
            members: (first..first + SITE_SIZE as u16).collect(),
        }
    };
    Topology::new(&(0..sites).map(place).collect::<Vec<_>>(), sites * SITE_SIZE)
}

/// How far two gateways are from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    Site,
    Region,
    Fleet,
}

/// The distance of two gateways.
pub fn distance(topology: &Topology, one: u16, other: u16) -> Distance {
    let is_shared = |tier| topology.group_of(tier, one) == topology.group_of(tier, other);
    if is_shared(Tier::Site) {
        Distance::Site
    } else if is_shared(Tier::Region) {
        Distance::Region
    } else {
        Distance::Fleet
    }
}

/// A number below `bound` that depends on a seed and a purpose alone.
pub fn choose(seed: u64, purpose: u64, bound: usize) -> usize {
    (mix(mix(seed) ^ purpose) % bound.max(1) as u64) as usize
}
