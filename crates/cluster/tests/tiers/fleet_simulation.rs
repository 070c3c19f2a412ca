//! Simulation of a small fleet with tiered membership in virtual time: links lose datagrams or are cut, processes are
//! paused, killed and restarted.
use larchway::{mix, MonotonicTime};
use larchway_cluster::tiers::{Input, Output, SitePlace, Tier, TieredMembership, Topology};
use larchway_cluster::wire::{MessageKind, MAX_BODY_BYTES};
use larchway_cluster::FleetFile;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
/// Shortest time between two ticks of a process.
const MIN_TIME_STEP: Duration = Duration::from_micros(1);
/// Shortest transit time of a datagram, and the range of the random time added to it, in µs.
const MIN_TRANSIT_MICROS: u64 = 300;
const TRANSIT_JITTER_MICROS: u64 = 4_000;
/// Resolution of the share of lost datagrams.
const LOSS_STEPS: u64 = 1_000;

/// The shape of a fleet: the number of regions, zones per region, sites per zone and members per site.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub regions: usize,
    pub zones: usize,
    pub sites: usize,
    pub members: usize,
}

impl Shape {
    pub fn topology(self) -> Topology {
        let sites = self.regions * self.zones * self.sites;
        let place = |site: usize| SitePlace {
            site: format!("s{site}"),
            zone: format!("z{}", site / self.sites),
            region: format!("r{}", site / self.sites / self.zones),
            members: (site * self.members..(site + 1) * self.members).map(|member| member as u16).collect(),
        };
        let places: Vec<SitePlace> = (0..sites).map(place).collect();
        Topology::new(&places, sites * self.members).expect("a valid topology")
    }
}

/// An event of a process: a datagram arrives, or a tick if there is none.
struct Event {
    to: u16,
    datagram: Option<(u16, MessageKind, Vec<u8>)>,
    /// The incarnation of the process that a tick is for; ignored for datagrams.
    incarnation: u64,
}

pub struct Process {
    pub membership: Option<TieredMembership>,
    pub is_paused: bool,
    incarnation: u64,
    inbox: Vec<(u16, MessageKind, Vec<u8>)>,
}

pub struct Fleet {
    pub topology: Arc<Topology>,
    pub processes: Vec<Process>,
    pub now: MonotonicTime,
    /// Share of lost datagrams, in thousandths.
    pub loss_per_mille: u64,
    /// Links that lose all datagrams, as sender and recipient.
    pub cut_links: Vec<(u16, u16)>,
    pub datagrams: u64,
    pub bytes: u64,
    /// Live members that were declared dead, as observer and member.
    pub false_deaths: Vec<(u16, u16)>,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    next_event_number: u64,
    seed: u64,
    random_draws: u64,
}

impl Fleet {
    pub fn new(shape: Shape, seed: u64) -> Fleet {
        let topology = Arc::new(shape.topology());
        let mut fleet = Fleet {
            processes: Vec::new(),
            now: START,
            loss_per_mille: 0,
            cut_links: Vec::new(),
            datagrams: 0,
            bytes: 0,
            false_deaths: Vec::new(),
            events: BTreeMap::new(),
            next_event_number: 0,
            seed,
            random_draws: 0,
            topology,
        };
        for member in 0..fleet.topology.members() as u16 {
            fleet.processes.push(Process {
                membership: None,
                is_paused: false,
                incarnation: 0,
                inbox: Vec::new(),
            });
            fleet.start(member);
        }
        fleet
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_draws += 1;
        mix(mix(self.seed) ^ self.random_draws) % bound
    }

    fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.next_event_number += 1;
        self.events.insert((at, self.next_event_number), event);
    }

    pub fn start(&mut self, member: u16) {
        let seed = mix(self.seed ^ self.next_event_number << 16 ^ u64::from(member));
        let (topology, settings) = (self.topology.clone(), FleetFile::default());
        let membership = TieredMembership::new(self.now, settings, topology, member, seed);
        let process = &mut self.processes[usize::from(member)];
        process.membership = Some(membership.expect("a member"));
        process.incarnation += 1;
        process.is_paused = false;
        process.inbox.clear();
        let incarnation = process.incarnation;
        let now = self.now;
        self.schedule(now, Event { to: member, datagram: None, incarnation });
    }

    pub fn kill(&mut self, member: u16) {
        self.processes[usize::from(member)].membership = None;
    }

    pub fn pause(&mut self, member: u16) {
        self.processes[usize::from(member)].is_paused = true;
    }

    pub fn resume(&mut self, member: u16) {
        let process = &mut self.processes[usize::from(member)];
        process.is_paused = false;
        let (incarnation, inbox) = (process.incarnation, std::mem::take(&mut process.inbox));
        self.handle(Event { to: member, datagram: None, incarnation });
        for datagram in inbox {
            self.handle(Event { to: member, datagram: Some(datagram), incarnation });
        }
    }

    pub fn is_alive(&self, member: u16) -> bool {
        self.processes[usize::from(member)].membership.is_some()
    }

    /// Runs the fleet for a time; calls `check` after each handled event.
    pub fn run_for(&mut self, span: Duration, mut check: impl FnMut(&Fleet)) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 < end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            if self.handle(event) {
                check(self);
            }
        }
        self.now = end;
    }

    /// Handles an event; returns whether a running process received it.
    fn handle(&mut self, event: Event) -> bool {
        let Event { to, datagram, incarnation } = event;
        let now = self.now;
        let process = &mut self.processes[usize::from(to)];
        let Some(membership) = &mut process.membership else { return false };
        let mut outputs = Vec::new();
        match datagram {
            None if process.incarnation != incarnation || process.is_paused => return false,
            Some(datagram) if process.is_paused => {
                process.inbox.push(datagram);
                return false;
            }
            None => {
                membership.handle(now, Input::Tick, &mut outputs);
                let due = membership.next_due().max(now + MIN_TIME_STEP);
                self.schedule(due, Event { to, datagram: None, incarnation });
            }
            Some((from, kind, body)) => {
                membership.handle(now, Input::Received { kind, from, body: &body }, &mut outputs);
            }
        }
        outputs.into_iter().for_each(|output| self.apply_output(to, output));
        true
    }

    fn apply_output(&mut self, sender: u16, output: Output) {
        match output {
            Output::Send { to, kind, body } => {
                assert!(body.len() <= MAX_BODY_BYTES && to != sender, "{kind:?} from {sender} to {to}");
                self.datagrams += 1;
                self.bytes += body.len() as u64;
                if self.random_below(LOSS_STEPS) < self.loss_per_mille
                    || self.cut_links.contains(&(sender, to))
                {
                    return;
                }
                let transit = MIN_TRANSIT_MICROS + self.random_below(TRANSIT_JITTER_MICROS);
                let at = self.now + Duration::from_micros(transit);
                self.schedule(at, Event { to, datagram: Some((sender, kind, body)), incarnation: 0 });
            }
            Output::StateChanged { member, state } => {
                use larchway_cluster::failure_detector::MemberState;
                if state == MemberState::Dead && self.is_alive(member) {
                    self.false_deaths.push((sender, member));
                }
            }
            _ => {}
        }
    }

    /// The holders of a group's lease at the present time, including paused processes.
    pub fn holders(&self, tier: Tier, group: u16) -> Vec<u16> {
        let holds = |member: &u16| {
            let membership = self.processes[usize::from(*member)].membership.as_ref();
            self.topology.group_of(tier, *member) == Some(group)
                && membership.is_some_and(|membership| membership.represents(self.now, tier).is_some())
        };
        (0..self.processes.len() as u16).filter(holds).collect()
    }

    /// The number of running members of a group, including paused ones.
    pub fn live_members(&self, tier: Tier, group: u16) -> u16 {
        let is_live =
            |member: &u16| self.topology.group_of(tier, *member) == Some(group) && self.is_alive(*member);
        (0..self.processes.len() as u16).filter(is_live).count() as u16
    }

    /// Calls a function for each count that each running, unpaused gateway knows, with gateway, tier, group and count.
    pub fn for_each_count(&self, mut call: impl FnMut(u16, Tier, u16, larchway_cluster::tiers::Count)) {
        for (member, process) in self.processes.iter().enumerate() {
            let member = member as u16;
            let Some(membership) = process.membership.as_ref().filter(|_| !process.is_paused) else {
                continue;
            };
            for tier in Tier::ALL {
                let own = self.topology.group_of(tier, member).expect("a member");
                for (group_index, group) in self.topology.siblings(tier, own).iter().enumerate() {
                    call(member, tier, *group, membership.count(self.now, tier, group_index));
                }
            }
        }
    }
}
