//! A tier of gateways in virtual time, under a plan of faults: no socket, no thread, the same from the same seed.
mod process;
mod seen;

pub use seen::Seen;

use super::detectors::{Actions, Datagram, Detector, StateChange};
use super::plan::{Plan, PlannedStep, Step};
use larchway::Micros;
use process::{LastChange, Process, SecondCount, Traffic};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// When the world begins: later than 0, so that earlier times can be expressed.
const BEGIN: Micros = 1_000_000_000;
/// Datagrams that wait for a process at most, as in a socket's queue; what is more is lost.
const QUEUE: usize = 400;
/// µs that a datagram is on its way at least.
const MIN_TRANSIT: Micros = 300;
/// Up to so many µs more.
const TRANSIT_SPREAD: Micros = 1500;
/// µs after a resume in which a state change may still be in transit.
const RESUME_GRACE: Micros = 1_000_000;
/// µs within which two changes of a member's state are a flap.
const FLAP_SPAN: Micros = 10_000_000;
/// The false removals that are listed.
const MAX_LISTED: usize = 8;
const MICROS_PER_MS: Micros = 1000;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// µs of a pause that a member may have without being removed.
const TOLERATED_PAUSE: Micros = 2_000_000;

enum Event {
    Step(usize, Step),
    Due(usize, u64),
    Arrives(usize, usize, Vec<u8>),
}

/// Plays a plan with a failure detector; `new` makes that of a gateway: when, its number, members, seed.
pub fn play<W: Detector>(plan: &Plan, new: impl Fn(Micros, usize, usize, u64) -> W) -> Seen {
    let mut world = World {
        plan,
        now: BEGIN,
        random: Pcg64Mcg::seed_from_u64(plan.seed),
        events: BinaryHeap::new(),
        stored: BTreeMap::new(),
        number: 0,
        processes: Vec::new(),
        seen: Seen::default(),
        sent: Traffic::default(),
        run: 0,
    };
    for me in 0..plan.members {
        world.processes.push(Process::new(plan.members));
        world.start(me, &new);
        world.processes[me].up = None;
    }
    for PlannedStep { at_ms, member, step } in plan.steps() {
        world.at(BEGIN + at_ms * MICROS_PER_MS, Event::Step(member, step));
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
    world.seen.datagrams = world.sent.datagrams as f64 / seconds;
    world.seen.bytes = world.sent.bytes as f64 / seconds;
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
    sent: Traffic,
    run: u64,
}

impl<W: Detector> World<'_, W> {
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
        process.detector = Some(new(now, me, members, seed));
        (process.paused, process.resumed_at, process.incarnation) = (None, now, run);
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
            Event::Due(who, incarnation) => {
                let process = &self.processes[who];
                if process.incarnation == incarnation
                    && process.detector.is_some()
                    && process.paused.is_none()
                {
                    self.tick(who);
                    let due =
                        self.processes[who].detector.as_ref().map_or(0, Detector::due).max(self.now + 1000);
                    self.at(due, Event::Due(who, incarnation));
                }
            }
            Event::Arrives(from, to, bytes) => {
                let process = &mut self.processes[to];
                if process.detector.is_none() {
                    return;
                }
                if process.paused.is_some() {
                    if process.inbox.len() < QUEUE {
                        process.inbox.push_back((from, bytes));
                    }
                    return;
                }
                self.receive(to, from, &bytes);
            }
        }
    }

    fn step(&mut self, who: usize, step: Step, new: &impl Fn(Micros, usize, usize, u64) -> W) {
        let now = self.now;
        match step {
            Step::Start | Step::Upgrade => self.start(who, new),
            Step::Kill => {
                let process = &mut self.processes[who];
                (process.detector, process.paused, process.up) = (None, None, None);
                process.down = Some(now);
                self.check();
            }
            Step::Pause => self.processes[who].paused = Some(now),
            Step::Resume => {
                let process = &mut self.processes[who];
                process.paused = None;
                process.resumed_at = now;
                let incarnation = process.incarnation;
                // What is due comes first in a turn of the loop, then what has come in.
                self.tick(who);
                while let Some((from, bytes)) = self.processes[who].inbox.pop_front() {
                    self.receive(who, from, &bytes);
                }
                self.at(now + 1000, Event::Due(who, incarnation));
            }
        }
    }

    fn tick(&mut self, who: usize) {
        let mut actions = Actions::default();
        if let Some(detector) = &mut self.processes[who].detector {
            detector.tick(self.now, &mut actions);
        }
        self.carry_out(who, actions);
    }

    fn receive(&mut self, who: usize, from: usize, bytes: &[u8]) {
        let mut actions = Actions::default();
        if let Some(detector) = &mut self.processes[who].detector {
            detector.receive(self.now, from, bytes, &mut actions);
        }
        self.carry_out(who, actions);
    }

    fn carry_out(&mut self, by: usize, actions: Actions) {
        for datagram in actions.sent {
            self.transmit(by, datagram);
        }
        let any_changed = !actions.changed.is_empty();
        for change in actions.changed {
            self.record_change(by, change);
        }
        if any_changed {
            self.check();
        }
    }

    /// The time since the world began, ms.
    fn elapsed_ms(&self) -> u64 {
        (self.now - BEGIN) / MICROS_PER_MS
    }

    /// Sends a datagram over the link, as the plan has it.
    fn transmit(&mut self, from: usize, Datagram { to, bytes }: Datagram) {
        self.count_sent(from, bytes.len());
        let link = self.plan.link(from, to, self.elapsed_ms());
        if link.cut || self.random.random_bool(link.lost) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(link.twice));
        for _ in 0..copies {
            let mut arrival = self.now + MIN_TRANSIT + self.random.random_range(0..TRANSIT_SPREAD);
            if link.delay_ms > 0 {
                arrival += self.random.random_range(0..=link.delay_ms * MICROS_PER_MS);
            }
            if self.random.random_bool(link.reordering.share) {
                arrival += link.reordering.delay_ms * MICROS_PER_MS;
            }
            self.at(arrival, Event::Arrives(from, to, bytes.clone()));
        }
    }

    fn count_sent(&mut self, from: usize, length: usize) {
        self.sent.datagrams += 1;
        self.sent.bytes += length as u64;
        self.seen.longest = self.seen.longest.max(length);
        let second = &mut self.processes[from].second;
        if self.now >= second.began + MICROS_PER_SECOND {
            *second = SecondCount { began: self.now, datagrams: 0 };
        }
        second.datagrams += 1;
        self.seen.most = self.seen.most.max(second.datagrams);
    }

    /// Records a change of a member's state at one gateway.
    fn record_change(&mut self, by: usize, StateChange { member, alive }: StateChange) {
        let (now, ms) = (self.now, self.elapsed_ms());
        let incarnation = self.processes[member].incarnation;
        let process = &mut self.processes[by];
        process.alive[member] = alive;
        let last = process.changed.insert(member, LastChange { time: now, incarnation });
        if last.is_some_and(|last| last.incarnation == incarnation && now < last.time + FLAP_SPAN) {
            self.seen.flaps += 1;
        }
        let subject = &self.processes[member];
        let was_paused = subject.paused.is_some_and(|since| now > since + TOLERATED_PAUSE)
            || now < subject.resumed_at + RESUME_GRACE;
        if !alive && subject.detector.is_some() && !was_paused {
            self.seen.false_removals += 1;
            if self.seen.first_false.len() < MAX_LISTED {
                self.seen.first_false.push((by, member, ms));
            }
        }
    }

    /// Looks whether all know by now of those that are down or back.
    fn check(&mut self) {
        for who in 0..self.processes.len() {
            let (down, up) = (self.processes[who].down, self.processes[who].up);
            let runs = |p: &&Process<W>| p.detector.is_some() && p.paused.is_none();
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
