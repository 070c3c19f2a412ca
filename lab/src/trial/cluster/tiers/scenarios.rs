//! What a fleet is put through.
use super::faults::{Faults, Kill, Pause, Victims, ZoneCut};
use super::layout::{choose, SITE_SIZE};
use larchway_cluster::tiers::{Tier, Topology};

/// ms until a fleet has started, elected representatives and spread its numbers.
pub const SETTLED_MS: u64 = 12_000;
/// When what is killed is killed.
const KILL_AT_MS: u64 = 14_000;
const KILL_SPAN_MS: u64 = 26_000;
/// The pause that is borne, ms; and one in so many gateways has one.
const PAUSE_MS: u64 = 2_000;
const PAUSED_ONE_IN: usize = 10;
/// When a zone is cut off, and until when.
const CUT_AT_MS: u64 = 13_000;
const CUT_UNTIL_MS: u64 = 24_000;
const LOSS: f64 = 0.3;

/// A scenario.
pub struct Scenario {
    pub name: &'static str,
    pub faults: Faults,
    pub for_ms: u64,
    /// ms by which the numbers are right everywhere again, if that is asked for.
    pub right_by_ms: Option<u64>,
    /// Whether deaths have to be known in time: nothing else is wrong.
    pub is_timed: bool,
}

/// All scenarios for a fleet.
pub fn all(topology: &Topology, seed: u64) -> Vec<Scenario> {
    let scenario =
        |name, faults, for_ms| Scenario { name, faults, for_ms, right_by_ms: None, is_timed: false };
    let calm = scenario("calm", Faults::default(), 16_000);
    let loss = Faults { loss: LOSS, kills: vec![one_kill(topology, seed)], ..Faults::default() };
    let kills = Faults { kills: kills(topology, seed), ..Faults::default() };
    vec![
        Scenario { right_by_ms: Some(SETTLED_MS), ..calm },
        Scenario { is_timed: true, ..scenario("killed", kills, KILL_SPAN_MS) },
        scenario("30 % lost", loss, 30_000),
        scenario("pauses of 2 s", pauses(topology, seed), 25_000),
        scenario("one-sided cuts", cuts(topology, seed), 25_000),
        Scenario {
            right_by_ms: Some(CUT_UNTIL_MS + 5_000),
            ..scenario("zone cut", zone_cut(topology, seed), 32_000)
        },
    ]
}

/// A member that hardly represents anything: the last of its site.
fn last_of_site(topology: &Topology, site: u16) -> u16 {
    topology.children(Tier::Site, site)[SITE_SIZE - 1]
}

fn one_kill(topology: &Topology, seed: u64) -> Kill {
    let sites = topology.members() / SITE_SIZE;
    let victim = last_of_site(topology, choose(seed, 1, sites) as u16);
    Kill { at_ms: KILL_AT_MS, victims: Victims::Member(victim) }
}

/// Kills of each sort at once, in regions of their own as far as there are so many.
fn kills(topology: &Topology, seed: u64) -> Vec<Kill> {
    let regions = topology.regions().len();
    let first = choose(seed, 2, regions);
    let region = |offset: usize| topology.regions()[(first + offset) % regions];
    let zone = |offset| *topology.children(Tier::Region, region(offset)).last().expect("a zone");
    let site = |offset| *topology.children(Tier::Zone, zone(offset)).last().expect("a site");
    let mut kills = vec![
        Victims::Member(last_of_site(topology, site(0))),
        Victims::Representative(Tier::Site, site(1)),
        Victims::Representative(Tier::Zone, zone(2)),
        Victims::Representative(Tier::Region, region(3)),
        Victims::Site(site(4)),
    ];
    kills.truncate(regions);
    kills.into_iter().map(|victims| Kill { at_ms: KILL_AT_MS, victims }).collect()
}

/// One in ten of all gateways stands still for 2 s at a time of its own, representatives among them.
fn pauses(topology: &Topology, seed: u64) -> Faults {
    let paused = |member: &u16| {
        let is_first = usize::from(*member).is_multiple_of(SITE_SIZE * 3);
        is_first || choose(seed, 1_000 + u64::from(*member), PAUSED_ONE_IN) == 0
    };
    let pause = |member: u16| {
        let at_ms = SETTLED_MS + choose(seed, 100_000 + u64::from(member), 9_000) as u64;
        Pause { member, during: at_ms..at_ms + PAUSE_MS }
    };
    let members = 0..topology.members() as u16;
    Faults { pauses: members.filter(paused).map(pause).collect(), ..Faults::default() }
}

/// In every eighth site one receives nothing; in all others one hears nothing of another.
fn cuts(topology: &Topology, seed: u64) -> Faults {
    let mut faults = Faults::default();
    for site in 0..(topology.members() / SITE_SIZE) as u16 {
        let members = topology.children(Tier::Site, site);
        let one = choose(seed, 200_000 + u64::from(site), SITE_SIZE);
        if site.is_multiple_of(8) {
            faults.deaf.push(members[one]);
            continue;
        }
        let other = (one + 1 + choose(seed, 300_000 + u64::from(site), SITE_SIZE - 1)) % SITE_SIZE;
        faults.cut_links.insert(members[one], vec![members[other]]);
    }
    faults
}

fn zone_cut(topology: &Topology, seed: u64) -> Faults {
    let regions = topology.regions();
    let region = regions[choose(seed, 4, regions.len())];
    let zones = topology.children(Tier::Region, region);
    let zone = zones[choose(seed, 5, zones.len())];
    Faults { zone_cut: Some(ZoneCut { zone, during: CUT_AT_MS..CUT_UNTIL_MS }), ..Faults::default() }
}
