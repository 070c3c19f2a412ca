//! What the gateways of a world know, against what is true: who is counted dead though alive, and when a death is
//! known.
use super::faults::Victims;
use super::world::{Observe, World};
use larchway_cluster::failure_detector::MemberState;
use larchway_cluster::tiers::{Tier, Topology, TIERS};
use serde::Serialize;

/// ms after a resume in which what a gateway missed may still be on its way to it.
const RESUME_GRACE_MS: u64 = 2_500;
/// Wrong removals that are listed.
const MAX_LISTED: usize = 8;

/// A kill, and when it was known.
#[derive(Debug, Clone, Serialize)]
pub struct KillSeen {
    /// What was killed.
    pub what: String,
    #[serde(skip)]
    killed: Vec<u16>,
    at_ms: u64,
    /// ms until all that live in its site knew it; `None` if nobody lives there or they did not all know.
    pub in_site_ms: Option<u64>,
    /// Those in its site that do not know it yet.
    #[serde(skip)]
    unaware: Vec<u16>,
    /// Whether anybody was left in its site.
    pub has_survivors: bool,
    /// When the numbers of some gateway were last too high.
    #[serde(skip)]
    last_wrong_ms: u64,
    /// ms until the numbers were right everywhere; `None` if they were not at the end.
    pub everywhere_ms: Option<u64>,
}

/// A gateway that was counted dead though it lived.
#[derive(Debug, Clone, Serialize)]
pub struct WrongRemoval {
    /// By whom.
    pub by: u16,
    /// Whom, or the first gateway of the group whose numbers were too low.
    pub of: u16,
    /// When.
    pub ms: u64,
}

/// What was seen of a world.
#[derive(Debug, Default, Serialize)]
pub struct Observer {
    /// Living members that a member of their site declared dead.
    pub removed_in_site: u64,
    /// Looks at a gateway whose numbers had more dead in a group than there were.
    pub removed_in_numbers: u64,
    /// The first of both.
    pub wrong: Vec<WrongRemoval>,
    /// Looks at a gateway that knew nothing of some that lived, since `settled_ms`.
    pub unknown_looks: u64,
    /// The same by tier of the groups, from below.
    pub unknown_by_tier: [u64; TIERS],
    /// Looks at a gateway, since `settled_ms`.
    pub looks: u64,
    /// The kills.
    pub kills: Vec<KillSeen>,
    /// When the numbers of some gateway that is not cut off were last not right.
    pub last_not_right_ms: u64,
    /// From when on numbers are looked at: the fleet has started.
    pub settled_ms: u64,
}

/// The gateways that live, by tier and group.
struct Truth {
    live: [Vec<u16>; TIERS],
}

impl Truth {
    fn of(world: &World) -> Truth {
        let mut live: [Vec<u16>; TIERS] = Default::default();
        for (member, gateway) in world.gateways.iter().enumerate() {
            for tier in Tier::ALL {
                let Some(group) = world.topology.group_of(tier, member as u16) else { continue };
                let groups = &mut live[tier.index()];
                groups.resize(groups.len().max(usize::from(group) + 1), 0);
                groups[usize::from(group)] += u16::from(gateway.killed_at_ms.is_none());
            }
        }
        Truth { live }
    }

    fn live(&self, tier: Tier, group: u16) -> u16 {
        self.live[tier.index()][usize::from(group)]
    }
}

impl Observer {
    /// An observer that looks at numbers from `settled_ms` on.
    pub fn new(settled_ms: u64) -> Self {
        Observer { settled_ms, ..Observer::default() }
    }

    /// Ends the observation of a world that was played for so many ms.
    pub fn finish(&mut self, end_ms: u64, look_ms: u64) {
        for kill in &mut self.kills {
            let right_since = kill.last_wrong_ms + look_ms;
            kill.everywhere_ms = (right_since < end_ms).then(|| right_since.saturating_sub(kill.at_ms));
            if !kill.unaware.is_empty() {
                kill.in_site_ms = None;
            }
        }
    }

    fn list(&mut self, by: u16, of: u16, ms: u64) {
        if self.wrong.len() < MAX_LISTED {
            self.wrong.push(WrongRemoval { by, of, ms });
        }
    }

    /// Looks at the numbers of one gateway.
    fn look_at(&mut self, world: &World, truth: &Truth, member: u16) {
        let topology = &world.topology;
        let membership = &world.gateways[usize::from(member)].membership;
        let (mut is_unknown, mut is_right) = (false, true);
        for tier in Tier::ALL {
            let Some(own) = topology.group_of(tier, member) else { continue };
            for (place, &group) in topology.siblings(tier, own).iter().enumerate() {
                let count = membership.count(world.now(), tier, place);
                let (size, live) = (topology.size(tier, group), truth.live(tier, group));
                if count.dead(size) > size - live {
                    self.removed_in_numbers += 1;
                    self.list(member, topology.pick_member(tier, group, 0), world.ms());
                }
                is_unknown |= count.live < live;
                self.unknown_by_tier[tier.index()] += u64::from(count.live < live);
                is_right &= count.live == live;
                if count.live > live {
                    self.note_too_high(topology, tier, group, world.ms());
                }
            }
        }
        self.looks += 1;
        self.unknown_looks += u64::from(is_unknown);
        if !is_right {
            self.last_not_right_ms = world.ms();
        }
    }

    fn note_too_high(&mut self, topology: &Topology, tier: Tier, group: u16, ms: u64) {
        let is_in_group = |kill: &&mut KillSeen| topology.group_of(tier, kill.killed[0]) == Some(group);
        for kill in self.kills.iter_mut().filter(is_in_group) {
            kill.last_wrong_ms = ms;
        }
    }
}

impl Observe for Observer {
    fn look(&mut self, world: &World) {
        let ms = world.ms();
        if ms < self.settled_ms {
            return;
        }
        let truth = Truth::of(world);
        for member in 0..world.gateways.len() as u16 {
            let gateway = &world.gateways[usize::from(member)];
            let is_back = gateway.resumed_at_ms == 0 || ms >= gateway.resumed_at_ms + RESUME_GRACE_MS;
            let can_know = gateway.killed_at_ms.is_none() && !gateway.is_paused && is_back;
            if can_know && !world.faults.is_severed(&world.topology, member, ms) {
                self.look_at(world, &truth, member);
            }
        }
    }

    fn note_kill(&mut self, world: &World, victims: &Victims, killed: &[u16]) {
        let Some(&first) = killed.first() else { return };
        let site = world.topology.group_of(Tier::Site, first).unwrap_or(0);
        let lives = |member: &u16| world.gateways[usize::from(*member)].killed_at_ms.is_none();
        let hears = |member: &u16| !world.faults.deaf.contains(member);
        let members = world.topology.children(Tier::Site, site).iter().copied();
        let unaware: Vec<u16> = members.filter(lives).filter(hears).collect();
        let what = match victims {
            Victims::Member(_) => "member".to_string(),
            Victims::Representative(tier, _) => format!("representative of a {tier:?}").to_lowercase(),
            Victims::Site(_) => "site".to_string(),
        };
        self.kills.push(KillSeen {
            what,
            killed: killed.to_vec(),
            at_ms: world.ms(),
            in_site_ms: None,
            has_survivors: !unaware.is_empty(),
            unaware,
            last_wrong_ms: world.ms(),
            everywhere_ms: None,
        });
    }

    fn note_state(&mut self, world: &World, by: u16, member: u16, state: MemberState) {
        if state != MemberState::Dead {
            return;
        }
        let ms = world.ms();
        if world.gateways[usize::from(member)].killed_at_ms.is_none() {
            self.removed_in_site += 1;
            self.list(by, member, ms);
            return;
        }
        for kill in self.kills.iter_mut().filter(|kill| kill.killed.contains(&member)) {
            kill.unaware.retain(|unaware| *unaware != by);
            kill.in_site_ms = Some(ms - kill.at_ms);
        }
    }
}
