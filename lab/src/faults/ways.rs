//! Ways to know who is there, for the world in virtual time: the program's own, and those it was weighed against.
use larchway_fleet::members::{Input, Members, Output, Verdict};
use larchway_fleet::wire::{open, seal};
use larchway_fleet::FleetFile;
use larchway_keeper::Micros;
use std::collections::BTreeMap;

/// A gateway's part.
pub trait Way {
    /// When it wants to be told that it is time.
    fn due(&self) -> Micros;
    /// It is time: what is sent, and whose verdict is another now (alive or not).
    fn tick(&mut self, now: Micros, out: &mut Told);
    /// A datagram has come.
    fn hear(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Told);
}

/// What a part does.
#[derive(Debug, Default)]
pub struct Told {
    /// To whom, and what.
    pub sent: Vec<(usize, Vec<u8>)>,
    /// Whose verdict has changed, and whether it is taken for alive now.
    pub changed: Vec<(usize, bool)>,
}

/// The program's own.
pub struct Own {
    me: u16,
    members: Members,
}

impl Own {
    /// Of a gateway that has just begun.
    pub fn new(now: Micros, me: usize, members: usize, seed: u64) -> Self {
        Own { me: me as u16, members: Members::new(now, FleetFile::default(), me as u16, members, seed) }
    }

    /// The state itself.
    pub fn state(&self) -> &Members {
        &self.members
    }

    fn told(&self, all: Vec<Output>, out: &mut Told) {
        for output in all {
            match output {
                Output::Send(to, kind, body) => out.sent.push((usize::from(to), seal(kind, self.me, &body))),
                Output::Changed(who, verdict) => {
                    out.changed.push((usize::from(who), verdict == Verdict::Alive));
                }
                Output::Paused(_) | Output::Dark(_) => {}
            }
        }
    }
}

impl Way for Own {
    fn due(&self) -> Micros {
        self.members.next_due()
    }
    fn tick(&mut self, now: Micros, out: &mut Told) {
        let mut all = Vec::new();
        self.members.handle(now, Input::Tick, &mut all);
        self.told(all, out);
    }
    fn hear(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Told) {
        let mut all = Vec::new();
        if let Ok(opened) = open(bytes).map_err(|_| ()) {
            if usize::from(opened.from) == from {
                let input = Input::Heard(opened.kind, opened.from, opened.body);
                self.members.handle(now, input, &mut all);
            }
        }
        self.told(all, out);
    }
}

/// All tell all, each period; who is silent for too long is dead.
pub struct Heartbeats {
    me: usize,
    period: Micros,
    bound: Micros,
    heard: Vec<(Micros, bool)>,
    due: Micros,
}

impl Heartbeats {
    /// Of a gateway that has just begun.
    pub fn new(now: Micros, me: usize, members: usize, seed: u64) -> Self {
        let period = 1_000_000;
        let due = now + larchway::mix(seed) % period;
        Heartbeats { me, period, bound: 3_500_000, heard: vec![(now, true); members], due }
    }
}

impl Way for Heartbeats {
    fn due(&self) -> Micros {
        self.due
    }
    fn tick(&mut self, now: Micros, out: &mut Told) {
        if now < self.due {
            return;
        }
        self.due = now + self.period;
        for who in (0..self.heard.len()).filter(|who| *who != self.me) {
            out.sent.push((who, vec![0; 14]));
            let (at, alive) = &mut self.heard[who];
            if *alive && now > *at + self.bound {
                *alive = false;
                out.changed.push((who, false));
            }
        }
    }
    fn hear(&mut self, now: Micros, from: usize, _: &[u8], out: &mut Told) {
        let (at, alive) = &mut self.heard[from];
        *at = now;
        if !std::mem::replace(alive, true) {
            out.changed.push((from, true));
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Held {
    Alive,
    Suspect,
    Dead,
}

/// SWIM as published (Das 2002), with suspicion and incarnations: one member asked each second in a shuffled round, three
/// asked to reach one that does not answer, updates carried by what is sent anyway.
pub struct Swim {
    me: usize,
    life: u32,
    /// By member: what is held of it, its incarnation, since when.
    held: Vec<(Held, u32, Micros)>,
    /// Updates to pass on, and how often yet.
    news: BTreeMap<usize, u32>,
    asked: Option<(usize, Micros, bool)>,
    for_others: Vec<(usize, usize, Micros)>,
    due: Micros,
    drawn: u64,
    seed: u64,
}

impl Swim {
    /// Of a gateway that has just begun.
    pub fn new(now: Micros, me: usize, members: usize, seed: u64) -> Self {
        let life = (now / 100_000) as u32;
        Swim {
            me,
            life,
            held: vec![(Held::Alive, 0, now); members],
            news: BTreeMap::from([(me, 20)]),
            asked: None,
            for_others: Vec::new(),
            due: now + larchway::mix(seed) % 1_000_000,
            drawn: 0,
            seed,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.drawn += 1;
        (larchway::mix(self.seed ^ larchway::mix(self.drawn)) % below.max(1) as u64) as usize
    }

    fn other(&mut self) -> usize {
        loop {
            let who = self.draw(self.held.len());
            if who != self.me && (self.held[who].0 != Held::Dead || self.drawn.is_multiple_of(9)) {
                return who;
            }
        }
    }

    /// Kind, subject, then updates of 9 bytes: member, incarnation, what is held.
    fn message(&mut self, kind: u8, about: usize) -> Vec<u8> {
        let mut out = vec![kind];
        out.extend_from_slice(&(about as u32).to_be_bytes());
        let mut next: Vec<_> = self.news.iter().map(|(who, left)| (*left, *who)).collect();
        next.sort_unstable_by(|a, b| b.cmp(a));
        for (left, who) in next.into_iter().take(26) {
            let (held, life, _) = if who == self.me { (Held::Alive, self.life, 0) } else { self.held[who] };
            out.extend_from_slice(&(who as u32).to_be_bytes());
            out.extend_from_slice(&life.to_be_bytes());
            out.push(held as u8);
            match left {
                0 | 1 => drop(self.news.remove(&who)),
                _ => drop(self.news.insert(who, left - 1)),
            }
        }
        out
    }

    fn send(&mut self, kind: u8, about: usize, to: usize, out: &mut Told) {
        let bytes = self.message(kind, about);
        out.sent.push((to, bytes));
    }

    fn update(&mut self, now: Micros, who: usize, held: Held, life: u32, out: &mut Told) {
        if who == self.me {
            if held != Held::Alive && life >= self.life {
                self.life = life + 1;
                self.news.insert(who, 20);
            }
            return;
        }
        let (old, known, _) = self.held[who];
        let over = life > known || life == known && held > old && old != Held::Dead;
        if over && !(old == Held::Dead && held != Held::Alive) {
            self.held[who] = (held, life, now);
            self.news.insert(who, 3 * (self.held.len() as f64).log2().ceil() as u32);
            if (old == Held::Dead) != (held == Held::Dead) {
                out.changed.push((who, held != Held::Dead));
            }
        }
    }
}

impl Way for Swim {
    fn due(&self) -> Micros {
        let asked =
            self.asked.map_or(Micros::MAX, |(_, at, helped)| at + if helped { 900_000 } else { 300_000 });
        self.due.min(asked)
    }
    fn tick(&mut self, now: Micros, out: &mut Told) {
        if let Some((who, at, helped)) = self.asked {
            if !helped && now >= at + 300_000 {
                self.asked = Some((who, at, true));
                for _ in 0..3 {
                    let helper = self.other();
                    self.send(2, who, helper, out);
                }
            } else if helped && now >= at + 900_000 {
                self.asked = None;
                let life = self.held[who].1;
                self.update(now, who, Held::Suspect, life, out);
            }
        }
        for who in 0..self.held.len() {
            let (held, life, at) = self.held[who];
            if held == Held::Suspect && now > at + 2_500_000 {
                self.update(now, who, Held::Dead, life, out);
            }
        }
        if now >= self.due {
            self.due = now + 1_000_000;
            let who = self.other();
            self.asked = Some((who, now, false));
            self.send(0, who, who, out);
        }
    }
    fn hear(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Told) {
        let word = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let about = word(1) as usize;
        for at in (5..bytes.len()).step_by(9) {
            let held = [Held::Alive, Held::Suspect, Held::Dead][usize::from(bytes[at + 8])];
            self.update(now, word(at) as usize, held, word(at + 4), out);
        }
        match bytes[0] {
            0 => self.send(1, self.me, from, out),
            1 => {
                if self.asked.is_some_and(|(who, _, _)| who == about) {
                    self.asked = None;
                }
                let done: Vec<_> = self.for_others.iter().copied().filter(|f| f.0 == about).collect();
                self.for_others.retain(|f| f.0 != about && f.2 > now);
                for (_, asker, _) in done {
                    self.send(1, about, asker, out);
                }
            }
            _ => {
                self.for_others.push((about, from, now + 600_000));
                self.send(0, about, about, out);
            }
        }
    }
}
