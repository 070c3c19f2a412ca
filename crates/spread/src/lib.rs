//! Load spread over a fleet in which each gateway sees little of it (`docs/design/spread.md`): what stores report of
//! their load, passed on from gateway to gateway, and what follows for the homes of objects. No I/O; the clock is an
//! argument.
pub mod wire;

use larchway::{mix, unit, Micros, ServerId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::{Summary, Told};

/// Most stores of a location that are looked at; the rest shed nothing.
pub const MOST: usize = 4096;
/// µs after which what was heard counts for a third: several reports of a store, though each gateway gets few.
const SPAN: f64 = 6_000_000.0;
/// Reports that a view is worth at most. Danger: gateways that pass the same report round take it for many.
const WORTH: f64 = 30.0;
/// Worth of a view below which it is not acted on.
const LEAST: f64 = 0.25;
/// Load over the mean that is even enough: noise of reports is not answered.
const EVEN: f64 = 1.02;
/// Part of the excess that is shed more each second; what is shed shows in reports only seconds later, so a larger one
/// swings.
const GAIN: f64 = 0.2;
/// Most of its objects that a store sheds: what must go beyond is not this part's to decide.
const SHED_MOST: f64 = 0.6;
/// Worth from which a store need not be probed: answers and peers tell enough.
const HEARD: f64 = 3.0;
/// Mean load under which unevenness harms nobody.
const QUIET: f64 = 0.02;

/// The file of the load's spread under `deploy/`. Its schema is printed by `larchway schema spread`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SpreadFile {
    /// The field of stores' reports that tells their load, from 0 to about 1.
    #[serde(default = "field")]
    pub field: String,
    /// ms between two rounds of datagrams and of decisions, from 100 to 10000.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// Peers told in a round, from 0 to 8; 0: none is told, and only own reports count.
    #[serde(default = "fanout")]
    pub fanout: u8,
    /// Probes of one store a second by all gateways of the location together, from 0 (none) to 100, for stores that are
    /// not heard of often enough without. A probe costs the store work.
    #[serde(default)]
    pub probes_per_s: f64,
}

fn field() -> String {
    "util".into()
}

fn period_ms() -> u64 {
    500
}

fn fanout() -> u8 {
    2
}

impl Default for SpreadFile {
    fn default() -> Self {
        SpreadFile { field: field(), period_ms: period_ms(), fanout: fanout(), probes_per_s: 0.0 }
    }
}

impl SpreadFile {
    /// Whether its values can be used; names the one that cannot.
    pub fn check(&self) -> Result<(), String> {
        if self.field.is_empty() {
            return Err("field: it is empty".into());
        }
        if !(100..=10_000).contains(&self.period_ms) {
            return Err(format!("period_ms: {} is not from 100 to 10000", self.period_ms));
        }
        if self.fanout > 8 {
            return Err(format!("fanout: {} is not from 0 to 8", self.fanout));
        }
        if !(0.0..=100.0).contains(&self.probes_per_s) {
            return Err(format!("probes_per_s: {} is not from 0 to 100", self.probes_per_s));
        }
        Ok(())
    }
}

/// What has come.
#[derive(Debug)]
pub enum Input<'a> {
    /// The stores of the own location that are up now, and the gateways of the location, which share the probes.
    Stores(Vec<ServerId>, u64),
    /// A store reported its load with an answer.
    Report(ServerId, f64),
    /// A peer's datagram.
    Datagram(&'a [u8]),
    /// It is time.
    Tick,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send this to the peer at that place.
    Send(usize, Vec<u8>),
    /// Probe this store.
    Probe(ServerId),
    /// These shares of their objects are shed by these stores; all others shed none.
    Shed(Vec<(ServerId, f64)>),
}

/// A store as the fleet sees it.
#[derive(Debug, Clone, Copy, Default)]
struct View {
    /// Load as reported, aged mean.
    load: f64,
    /// Reports that it is worth, at `at`.
    worth: f64,
    at: Micros,
    shed: f64,
}

impl View {
    /// What it is worth now.
    fn worth(&self, now: Micros) -> f64 {
        self.worth * (-(now.saturating_sub(self.at) as f64) / SPAN).exp()
    }
    /// Whether enough is known of it to act on.
    fn known(&self, now: Micros) -> bool {
        self.worth(now) >= LEAST
    }
    fn hear(&mut self, now: Micros, load: f64) {
        let kept = self.worth(now);
        self.load = (self.load * kept + load) / (kept + 1.0);
        (self.worth, self.at) = ((kept + 1.0).min(WORTH), now);
    }
    /// Takes in what a peer makes of it. Both may stem from the same reports, so the worth is not the sum. Danger: as the
    /// larger of the two it never ages, and old news goes round for ever (the loads swung by a tenth).
    fn join(&mut self, now: Micros, load: f64, worth: f64) {
        let kept = self.worth(now);
        self.load = (self.load * kept + load * worth) / (kept + worth);
        (self.worth, self.at) = ((kept + worth) / 2.0, now);
    }
}

/// What operators are told of a store.
#[derive(Debug, Clone, Serialize)]
pub struct Shown {
    /// Its number.
    pub store: ServerId,
    /// Its load as the fleet sees it.
    pub load: f64,
    /// Reports that this is worth by now.
    pub worth: f64,
    /// The share of its objects that it sheds here.
    pub shed: f64,
}

/// What operators are told.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The mean load of those heard of.
    pub mean: f64,
    /// Datagrams sent, taken in, and turned down since they concern another list or cannot be read.
    pub sent: u64,
    /// See `sent`.
    pub heard: u64,
    /// See `sent`.
    pub turned_down: u64,
    /// The stores of the location.
    pub stores: Vec<Shown>,
}

/// The fleet's view, at one gateway.
#[derive(Debug)]
pub struct Spread {
    terms: SpreadFile,
    /// The stores of the location that are up, at most [`MOST`].
    views: BTreeMap<ServerId, View>,
    /// Names the list, so that views of another one are not taken for this one's.
    list: u32,
    zone: u8,
    me: usize,
    peers: usize,
    sharers: u64,
    seed: u64,
    drawn: u64,
    due: Micros,
    round: u64,
    shedding: bool,
    sent: u64,
    heard: u64,
    turned_down: u64,
}

impl Spread {
    /// A view of nothing: of a gateway at this place among so many of its tier, in this zone.
    pub fn new(now: Micros, terms: SpreadFile, zone: usize, (me, peers): (usize, usize), seed: u64) -> Self {
        // Rounds of gateways that start together must not fall together.
        let due = now + mix(seed) % (terms.period_ms * 1000);
        Spread {
            terms,
            views: BTreeMap::new(),
            list: 0,
            zone: zone as u8,
            me,
            peers,
            sharers: 1,
            seed,
            drawn: 0,
            due,
            round: 0,
            shedding: false,
            sent: 0,
            heard: 0,
            turned_down: 0,
        }
    }

    /// Takes other terms; what is known stays.
    pub fn configure(&mut self, terms: SpreadFile, (me, peers): (usize, usize)) {
        (self.terms, self.me, self.peers) = (terms, me, peers);
    }

    /// When it is to be told that it is time.
    pub fn next_due(&self) -> Micros {
        self.due
    }

    /// Takes in what has come and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Stores(stores, sharers) => {
                self.sharers = sharers.max(1);
                self.listed(stores);
            }
            Input::Report(store, load) => {
                if let Some(view) = self.views.get_mut(&store).filter(|_| (0.0..=100.0).contains(&load)) {
                    view.hear(now, load);
                }
            }
            Input::Datagram(bytes) => match Summary::read(bytes) {
                Some(told) if told.zone == self.zone && told.list == self.list => {
                    self.heard += 1;
                    let views = self.views.values_mut().skip(usize::from(told.first));
                    for (view, told) in views.zip(told.told).filter(|(_, told)| told.worth >= LEAST) {
                        view.join(now, told.load, told.worth.min(WORTH));
                    }
                }
                _ => self.turned_down += 1,
            },
            Input::Tick if now >= self.due => {
                self.due = now + self.terms.period_ms * 1000;
                self.decide(now, out);
                self.tell(now, out);
                self.probe(now, out);
            }
            Input::Tick => {}
        }
    }

    /// A number above 0 and up to 1. Not of the seed and the count mixed alike: where they are equal, nothing is left.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        unit(mix(self.seed) ^ self.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn listed(&mut self, mut stores: Vec<ServerId>) {
        stores.sort_unstable();
        stores.truncate(MOST);
        // A store that is new, or back, begins with nothing known and nothing shed.
        let old = std::mem::take(&mut self.views);
        self.views = stores.iter().map(|id| (*id, old.get(id).copied().unwrap_or_default())).collect();
        self.list = stores.iter().fold(stores.len() as u64, |list, id| mix(list ^ mix(*id))) as u32;
    }

    /// The mean load of the stores that are known of, and how many they are.
    fn mean(&self, now: Micros) -> (f64, usize) {
        let known = self.views.values().filter(|v| v.known(now));
        let (sum, n) = known.fold((0.0, 0), |(sum, n), v| (sum + v.load, n + 1));
        (sum / n.max(1) as f64, n)
    }

    /// Has each store that carries more than its like shed more, and the others take objects back.
    fn decide(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (mean, n) = self.mean(now);
        let seconds = self.terms.period_ms as f64 / 1000.0;
        // Danger: with half of the stores unheard, the mean is of the others alone.
        let enough = 2 * n > self.views.len() && n > 1 && mean >= QUIET;
        for view in self.views.values_mut() {
            let more = match enough && view.known(now) {
                // Both ways by the same rule, so that what is shed settles where the load is even.
                true => (view.load / mean - EVEN).clamp(-0.5, 1.0) * GAIN * seconds,
                // Danger: a store that nobody hears of stays shed on old news. It takes its objects back.
                false => -GAIN * seconds,
            };
            view.shed = (view.shed + more * (1.0 - view.shed)).clamp(0.0, SHED_MOST);
        }
        let shed: Vec<_> =
            self.views.iter().filter(|(_, v)| v.shed > 0.0).map(|(id, v)| (*id, v.shed)).collect();
        if self.shedding || !shed.is_empty() {
            self.shedding = !shed.is_empty();
            out.push(Output::Shed(shed));
        }
    }

    /// Passes on what is known to some peers, part by part where a datagram does not hold all.
    fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.views.is_empty() || self.peers < 2 {
            return;
        }
        let parts = self.views.len().div_ceil(wire::ENTRIES);
        let first = (self.round as usize % parts) * wire::ENTRIES;
        self.round += 1;
        let part = self.views.values().skip(first).take(wire::ENTRIES);
        let told = part.map(|v| Told { load: v.load, worth: v.worth(now) }).collect();
        let summary = Summary { zone: self.zone, list: self.list, first: first as u16, told };
        let bytes = summary.write();
        for _ in 0..self.terms.fanout {
            let other = (self.draw() * (self.peers - 1) as f64) as usize;
            let other = other.min(self.peers - 2);
            self.sent += 1;
            out.push(Output::Send(other + usize::from(other >= self.me), bytes.clone()));
        }
    }

    /// Probes what is seldom heard of. Each gateway has its part of a store's probes, by chance, so that the whole
    /// fleet keeps to them though none knows of the others'; what one hears it passes on. Danger: hundreds that each
    /// probe by themselves are a load of their own.
    fn probe(&mut self, now: Micros, out: &mut Vec<Output>) {
        let part = self.terms.probes_per_s * self.terms.period_ms as f64 / 1000.0 / self.sharers as f64;
        if part <= 0.0 {
            return;
        }
        let seldom = |(store, v): (&ServerId, &View)| (v.worth(now) < HEARD).then_some(*store);
        for store in self.views.iter().filter_map(seldom).collect::<Vec<_>>() {
            if self.draw() <= part {
                out.push(Output::Probe(store));
            }
        }
    }

    /// What operators are told.
    pub fn report(&self, now: Micros) -> Report {
        let stores: Vec<Shown> = self
            .views
            .iter()
            .map(|(id, v)| Shown { store: *id, load: v.load, worth: v.worth(now), shed: v.shed })
            .collect();
        let (sent, heard, turned_down) = (self.sent, self.heard, self.turned_down);
        Report { mean: self.mean(now).0, sent, heard, turned_down, stores }
    }
}
