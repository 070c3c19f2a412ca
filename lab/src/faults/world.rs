//! A tier of gateways in virtual time, under a plan of faults: no socket, no thread, the same from the same seed.
use super::plan::{Plan, Step};
use super::ways::{Told, Way};
use larchway_keeper::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// When the world begins: some time after the beginning of time, so that what is older has a name.
const BEGIN: Micros = 1_000_000_000;
/// Datagrams that wait for a process at most, as in a socket's queue; what is more is lost.
const QUEUE: usize = 400;
/// µs that a datagram is on its way at least, and up to so many more.
const WAY: (Micros, Micros) = (300, 1500);
/// µs after a planned pause's end, or a kill, in which a verdict may still be on its way.
const PAUSE_BEARS: Micros = 2_000_000;

enum Event {
    Step(usize, Step),
    Due(usize, u64),
    Arrives(usize, usize, Vec<u8>),
}

/// What was seen.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Seen {
    /// Verdicts on members that ran and had not stood still for longer than is borne.
    pub false_removals: u64,
    /// Of those, who by whom and when, the first ones.
    pub first_false: Vec<(usize, usize, u64)>,
    /// ms until all that ran knew of a kill that lasted, by kill.
    pub known_ms: Vec<u64>,
    /// Kills that some gateway had not found out at the end.
    pub unknown: u64,
    /// ms until all that ran took a member that had come back for alive, by return.
    pub back_ms: Vec<u64>,
    /// Two changes of one gateway's verdict on one life of a member within 10 s.
    pub flaps: u64,
    /// Datagrams and bytes that one gateway sends a second, in the mean; and the most that one sent within a second.
    pub datagrams: f64,
    /// See `datagrams`.
    pub bytes: f64,
    /// See `datagrams`.
    pub most: u64,
    /// The longest datagram.
    pub longest: usize,
}

struct Process<W> {
    way: Option<W>,
    paused: Option<Micros>,
    woke: Micros,
    inbox: VecDeque<(usize, Vec<u8>)>,
    /// Ticks of an earlier life are not for this one.
    life: u64,
    /// Who is taken for alive, and when that last changed in which life of the other.
    alive: Vec<bool>,
    changed: BTreeMap<usize, (Micros, u64)>,
    down: Option<Micros>,
    up: Option<Micros>,
    /// Sent in the second that began then.
    second: (Micros, u64),
}

/// Plays a plan with this way; `new` makes a gateway's part: when, its number, members, seed.
pub fn play<W: Way>(plan: &Plan, new: impl Fn(Micros, usize, usize, u64) -> W) -> Seen {
    let mut world = World {
        plan,
        now: BEGIN,
        random: Pcg64Mcg::seed_from_u64(plan.seed),
        events: BinaryHeap::new(),
        stored: BTreeMap::new(),
        number: 0,
        processes: Vec::new(),
        seen: Seen::default(),
        sent: (0, 0),
        run: 0,
    };
    for me in 0..plan.members {
        world.processes.push(Process {
            way: None,
            paused: None,
            woke: BEGIN,
            inbox: VecDeque::new(),
            life: 0,
            alive: vec![true; plan.members],
            changed: BTreeMap::new(),
            down: None,
            up: None,
            second: (0, 0),
        });
        world.start(me, &new);
        world.processes[me].up = None;
    }
    for (ms, who, step) in plan.steps() {
        world.at(BEGIN + ms * 1000, Event::Step(who, step));
    }
    let end = BEGIN + plan.for_ms * 1000;
    while let Some(Reverse((at, number))) = world.events.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(event) = world.stored.remove(&number) {
            world.happens(event, &new);
        }
    }
    world.now = end;
    let down = world.processes.iter().filter(|p| p.down.is_some_and(|at| at + 1_000_000 < end)).count();
    world.seen.unknown = down as u64;
    let seconds = plan.for_ms as f64 / 1000.0 * plan.members as f64;
    world.seen.datagrams = world.sent.0 as f64 / seconds;
    world.seen.bytes = world.sent.1 as f64 / seconds;
    world.seen
}

struct World<'a, W> {
    plan: &'a Plan,
    now: Micros,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    stored: BTreeMap<u64, Event>,
    number: u64,
    processes: Vec<Process<W>>,
    seen: Seen,
    sent: (u64, u64),
    run: u64,
}

impl<W: Way> World<'_, W> {
    fn at(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number)));
        self.stored.insert(self.number, event);
    }

    fn start(&mut self, me: usize, new: &impl Fn(Micros, usize, usize, u64) -> W) {
        self.run += 1;
        let seed = larchway::mix(self.plan.seed ^ self.run << 20 ^ me as u64);
        let (now, members, run) = (self.now, self.plan.members, self.run);
        let process = &mut self.processes[me];
        process.way = Some(new(now, me, members, seed));
        (process.paused, process.woke, process.life) = (None, now, run);
        process.inbox.clear();
        process.changed.clear();
        process.alive = vec![true; members];
        process.down = None;
        process.up = Some(now);
        self.at(now, Event::Due(me, run));
        self.check();
    }

    fn happens(&mut self, event: Event, new: &impl Fn(Micros, usize, usize, u64) -> W) {
        match event {
            Event::Step(who, step) => self.step(who, step, new),
            Event::Due(who, life) => {
                let process = &self.processes[who];
                if process.life == life && process.way.is_some() && process.paused.is_none() {
                    self.tick(who);
                    let due = self.processes[who].way.as_ref().map_or(0, Way::due).max(self.now + 1000);
                    self.at(due, Event::Due(who, life));
                }
            }
            Event::Arrives(from, to, bytes) => {
                let process = &mut self.processes[to];
                if process.way.is_none() {
                    return;
                }
                if process.paused.is_some() {
                    if process.inbox.len() < QUEUE {
                        process.inbox.push_back((from, bytes));
                    }
                    return;
                }
                self.hear(to, from, &bytes);
            }
        }
    }

    fn step(&mut self, who: usize, step: Step, new: &impl Fn(Micros, usize, usize, u64) -> W) {
        let now = self.now;
        match step {
            Step::Start | Step::Upgrade => self.start(who, new),
            Step::Kill => {
                let process = &mut self.processes[who];
                (process.way, process.paused, process.up) = (None, None, None);
                process.down = Some(now);
                self.check();
            }
            Step::Pause => self.processes[who].paused = Some(now),
            Step::Resume => {
                let process = &mut self.processes[who];
                process.paused = None;
                process.woke = now;
                let life = process.life;
                // What is due comes first in a turn of the loop, then what has come in.
                self.tick(who);
                while let Some((from, bytes)) = self.processes[who].inbox.pop_front() {
                    self.hear(who, from, &bytes);
                }
                self.at(now + 1000, Event::Due(who, life));
            }
        }
    }

    fn tick(&mut self, who: usize) {
        let mut told = Told::default();
        if let Some(way) = &mut self.processes[who].way {
            way.tick(self.now, &mut told);
        }
        self.told(who, told);
    }

    fn hear(&mut self, who: usize, from: usize, bytes: &[u8]) {
        let mut told = Told::default();
        if let Some(way) = &mut self.processes[who].way {
            way.hear(self.now, from, bytes, &mut told);
        }
        self.told(who, told);
    }

    fn told(&mut self, by: usize, told: Told) {
        let (now, ms) = (self.now, (self.now - BEGIN) / 1000);
        for (to, bytes) in told.sent {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            self.seen.longest = self.seen.longest.max(bytes.len());
            let second = &mut self.processes[by].second;
            if now >= second.0 + 1_000_000 {
                *second = (now, 0);
            }
            second.1 += 1;
            self.seen.most = self.seen.most.max(second.1);
            let link = self.plan.link(by, to, ms);
            if link.cut || self.random.random_bool(link.lost) {
                continue;
            }
            let copies = 1 + usize::from(self.random.random_bool(link.twice));
            for _ in 0..copies {
                let mut at = now + WAY.0 + self.random.random_range(0..WAY.1);
                if link.delay_ms > 0 {
                    at += self.random.random_range(0..=link.delay_ms * 1000);
                }
                if self.random.random_bool(link.later.0) {
                    at += link.later.1 * 1000;
                }
                self.at(at, Event::Arrives(by, to, bytes.clone()));
            }
        }
        let any = !told.changed.is_empty();
        for (who, alive) in told.changed {
            let life = self.processes[who].life;
            let process = &mut self.processes[by];
            process.alive[who] = alive;
            let last = process.changed.insert(who, (now, life));
            if last.is_some_and(|(at, of)| of == life && now < at + 10_000_000) {
                self.seen.flaps += 1;
            }
            let of = &self.processes[who];
            let stood = of.paused.is_some_and(|at| now > at + PAUSE_BEARS) || now < of.woke + 1_000_000;
            if !alive && of.way.is_some() && !stood {
                self.seen.false_removals += 1;
                if self.seen.first_false.len() < 8 {
                    self.seen.first_false.push((by, who, ms));
                }
            }
        }
        if any {
            self.check();
        }
    }

    /// Looks whether all know by now of those that are down or back.
    fn check(&mut self) {
        for who in 0..self.processes.len() {
            let (down, up) = (self.processes[who].down, self.processes[who].up);
            let runs = |p: &&Process<W>| p.way.is_some() && p.paused.is_none();
            let others =
                || self.processes.iter().enumerate().filter(|(n, _)| *n != who).map(|(_, p)| p).filter(runs);
            if let Some(at) = down.filter(|_| others().all(|p| !p.alive[who])) {
                self.seen.known_ms.push((self.now - at) / 1000);
                self.processes[who].down = None;
            } else if let Some(at) = up.filter(|_| others().all(|p| p.alive[who])) {
                self.seen.back_ms.push((self.now - at) / 1000);
                self.processes[who].up = None;
            }
        }
    }
}
