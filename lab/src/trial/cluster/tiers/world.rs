//! A fleet of hollow gateways in virtual time: each runs the program's own membership in tiers; no socket, no thread.
use super::faults::{Faults, Kill, Pause, Victims};
use super::layout::{self, Distance};
use larchway::{Micros, MonotonicTime};
use larchway_cluster::failure_detector::MemberState;
use larchway_cluster::tiers::{Input, Output, Tier, TieredMembership, Topology};
use larchway_cluster::wire::{MessageKind, HEADER_BYTES};
use larchway_cluster::FleetFile;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

/// When the world begins: later than 0, so that earlier times can be expressed.
pub const BEGIN: Micros = 1_000_000_000;
/// Datagrams that wait for a paused gateway at most, as in a socket's queue; what is more is lost.
const QUEUE: usize = 400;
/// µs on the way at least, and up to so many more: within a site, within a region, and elsewhere.
const SITE_TRANSIT: (Micros, Micros) = (100, 400);
const REGION_TRANSIT: (Micros, Micros) = (2_000, 8_000);
const FLEET_TRANSIT: (Micros, Micros) = (20_000, 100_000);
/// Time between two looks at what all gateways know.
pub const LOOK_MS: u64 = 100;
/// Gateways start within this time.
const START_SPREAD: Micros = 500_000;

/// A datagram, or a tick that is due where there is none.
pub struct Datagram {
    pub from: u16,
    pub kind: MessageKind,
    pub body: Vec<u8>,
}

/// Who looks on while a world is played.
pub trait Observe {
    /// Looks at what all gateways know.
    fn look(&mut self, world: &World);
    /// Gateways were killed.
    fn note_kill(&mut self, world: &World, victims: &Victims, killed: &[u16]);
    /// A gateway changed the state of a member of its site.
    fn note_state(&mut self, world: &World, by: u16, member: u16, state: MemberState);
}

enum Happening {
    Due(u16),
    Arrives(u16, Datagram),
    Kill(Kill),
    Pause(u16),
    Resume(u16),
    Look,
}

struct Event {
    at: Micros,
    order: u64,
    what: Happening,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// The earliest event is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A hollow gateway.
pub struct Gateway {
    pub membership: TieredMembership,
    pub killed_at_ms: Option<u64>,
    pub is_paused: bool,
    pub resumed_at_ms: u64,
    /// What came while it was paused.
    inbox: VecDeque<Datagram>,
    pub received_datagrams: u64,
    pub received_bytes: u64,
}

/// What one gateway took in, to be played again.
pub struct Taken {
    pub at: Micros,
    pub datagram: Option<Datagram>,
}

/// A fleet under faults.
pub struct World {
    pub topology: Arc<Topology>,
    pub faults: Faults,
    pub gateways: Vec<Gateway>,
    /// Inputs of the gateways that are recorded.
    pub recorded: BTreeMap<u16, Vec<Taken>>,
    now: Micros,
    events: BinaryHeap<Event>,
    order: u64,
    random: Pcg64Mcg,
}

impl World {
    /// A fleet that starts, under faults that are to come.
    pub fn new(topology: Topology, faults: Faults, seed: u64) -> World {
        let mut world = World {
            topology: Arc::new(topology),
            faults,
            gateways: Vec::new(),
            recorded: BTreeMap::new(),
            now: BEGIN,
            events: BinaryHeap::new(),
            order: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for member in 0..world.topology.members() as u16 {
            world.gateways.push(world.new_gateway(member, seed));
            let start = BEGIN + world.random.random_range(0..START_SPREAD);
            world.at(start, Happening::Due(member));
        }
        for Kill { at_ms, victims } in world.faults.kills.clone() {
            world.at(BEGIN + at_ms * 1000, Happening::Kill(Kill { at_ms, victims }));
        }
        for Pause { member, during } in world.faults.pauses.clone() {
            world.at(BEGIN + during.start * 1000, Happening::Pause(member));
            world.at(BEGIN + during.end * 1000, Happening::Resume(member));
        }
        world
    }

    fn new_gateway(&self, member: u16, seed: u64) -> Gateway {
        let begin = MonotonicTime::from_micros(BEGIN);
        let seed = larchway::mix(seed ^ u64::from(member) << 20);
        let settings = FleetFile::default();
        let membership = TieredMembership::new(begin, settings, self.topology.clone(), member, seed)
            .expect("a member of the topology");
        Gateway {
            membership,
            killed_at_ms: None,
            is_paused: false,
            resumed_at_ms: 0,
            inbox: VecDeque::new(),
            received_datagrams: 0,
            received_bytes: 0,
        }
    }

    /// Virtual ms since the world began.
    pub fn ms(&self) -> u64 {
        (self.now - BEGIN) / 1000
    }

    /// The virtual time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.now)
    }

    /// Plays so many virtual ms; the observer looks on.
    pub fn play(&mut self, for_ms: u64, observer: &mut impl Observe) {
        let end = BEGIN + for_ms * 1000;
        self.at(BEGIN + LOOK_MS * 1000, Happening::Look);
        while let Some(event) = self.events.pop().filter(|event| event.at <= end) {
            self.now = event.at;
            match event.what {
                Happening::Look => {
                    observer.look(self);
                    self.at(self.now + LOOK_MS * 1000, Happening::Look);
                }
                what => self.happens(what, observer),
            }
        }
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.events.push(Event { at, order: self.order, what });
    }

    fn happens(&mut self, what: Happening, observer: &mut impl Observe) {
        match what {
            Happening::Due(member) => {
                let gateway = &self.gateways[usize::from(member)];
                if gateway.killed_at_ms.is_none() && !gateway.is_paused {
                    self.handle(member, None, observer);
                    self.schedule(member);
                }
            }
            Happening::Arrives(to, datagram) => self.arrives(to, datagram, observer),
            Happening::Kill(kill) => self.kill(&kill.victims, observer),
            Happening::Pause(member) => self.gateways[usize::from(member)].is_paused = true,
            Happening::Resume(member) => self.resume(member, observer),
            Happening::Look => {}
        }
    }

    fn schedule(&mut self, member: u16) {
        let due = self.gateways[usize::from(member)].membership.next_due().as_micros();
        self.at(due.max(self.now + 1000), Happening::Due(member));
    }

    fn arrives(&mut self, to: u16, datagram: Datagram, observer: &mut impl Observe) {
        let gateway = &mut self.gateways[usize::from(to)];
        if gateway.killed_at_ms.is_some() {
            return;
        }
        if !gateway.is_paused {
            return self.handle(to, Some(datagram), observer);
        }
        if gateway.inbox.len() < QUEUE {
            gateway.inbox.push_back(datagram);
        }
    }

    fn resume(&mut self, member: u16, observer: &mut impl Observe) {
        let ms = self.ms();
        let gateway = &mut self.gateways[usize::from(member)];
        (gateway.is_paused, gateway.resumed_at_ms) = (false, ms);
        if gateway.killed_at_ms.is_some() {
            return;
        }
        // What is due comes first in a turn of the loop, then what has come in.
        self.handle(member, None, observer);
        while let Some(datagram) = self.gateways[usize::from(member)].inbox.pop_front() {
            self.handle(member, Some(datagram), observer);
        }
        self.schedule(member);
    }

    fn kill(&mut self, victims: &Victims, observer: &mut impl Observe) {
        let ms = self.ms();
        let killed = match victims {
            Victims::Member(member) => vec![*member],
            Victims::Representative(tier, group) => self.representative(*tier, *group).into_iter().collect(),
            Victims::Site(site) => self.topology.children(Tier::Site, *site).to_vec(),
        };
        for member in &killed {
            self.gateways[usize::from(*member)].killed_at_ms = Some(ms);
        }
        observer.note_kill(self, victims, &killed);
    }

    /// Who holds the lease of a group now.
    pub fn representative(&self, tier: Tier, group: u16) -> Option<u16> {
        let holds = |member: &u16| {
            let gateway = &self.gateways[usize::from(*member)];
            let is_of_group = self.topology.group_of(tier, *member) == Some(group);
            let may_act = gateway.killed_at_ms.is_none() && !gateway.is_paused;
            is_of_group && may_act && gateway.membership.represents(self.now(), tier).is_some()
        };
        (0..self.gateways.len() as u16).find(holds)
    }

    fn handle(&mut self, member: u16, datagram: Option<Datagram>, observer: &mut impl Observe) {
        let now = self.now();
        let gateway = &mut self.gateways[usize::from(member)];
        let mut outputs = Vec::new();
        match &datagram {
            None => gateway.membership.handle(now, Input::Tick, &mut outputs),
            Some(Datagram { from, kind, body }) => {
                gateway.received_datagrams += 1;
                gateway.received_bytes += (HEADER_BYTES + body.len()) as u64;
                let input = Input::Received { kind: *kind, from: *from, body };
                gateway.membership.handle(now, input, &mut outputs);
            }
        }
        if let Some(recorded) = self.recorded.get_mut(&member) {
            recorded.push(Taken { at: now.as_micros(), datagram });
        }
        for output in outputs {
            match output {
                Output::Send { to, kind, body } => self.transmit(to, Datagram { from: member, kind, body }),
                Output::StateChanged { member: of, state } => {
                    observer.note_state(self, member, of, state);
                }
                _ => {}
            }
        }
    }

    fn transmit(&mut self, to: u16, datagram: Datagram) {
        let (from, ms) = (datagram.from, self.ms());
        let is_lost = self.faults.loss > 0.0 && self.random.random_bool(self.faults.loss);
        if is_lost || self.faults.is_cut(&self.topology, from, to, ms) {
            return;
        }
        let (least, spread) = match layout::distance(&self.topology, from, to) {
            Distance::Site => SITE_TRANSIT,
            Distance::Region => REGION_TRANSIT,
            Distance::Fleet => FLEET_TRANSIT,
        };
        let transit = least + self.random.random_range(0..spread);
        self.at(self.now + transit, Happening::Arrives(to, datagram));
    }
}
