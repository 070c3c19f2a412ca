//! `trial hierarchy`: moves between shapes on real sockets, in five ways: the plain hash over the list (as without a
//! shape), a move at once, the ramp, and the last two with the shield of the origin. Scaled down: a busy minute is 26 s,
//! four caches, three parents, one origin.
use super::fleet::{settings, spawn, Gateway};
use super::Outcome;
use crate::clock::now;
use crate::load::{self, Load, Tally};
use crate::stand::bulletin::Bulletin;
use crate::stand::tier::{Kind, Net, Tier, COLD_SPAN};
use larchway_hierarchy::ledger::{Change, Ledger};
use larchway_hierarchy::moves::rendezvous;
use larchway_hierarchy::shape::{Edit, Parent, Shape, Upstream};
use larchway_keeper::Micros;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const RATE: f64 = 120.0;
const SPAN: Micros = 26_000_000;
const OBJECTS: u64 = 1500;
/// When the move begins, ms: the caches and parents know the popular objects by then.
const MOVE: u64 = 8000;
const WAYS: [&str; 5] = ["plain hash", "at once", "ramp", "once+shield", "ramp+shield"];
/// A cold parent's load over what it can give, at most, in any second; rules of the platform allow 2.
const COLD_LOAD: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Do {
    /// The new parent starts cold, is listed, and takes the place of the second one.
    Move,
    Dead(&'static str, bool),
    Cold(&'static str),
    List(&'static str, &'static str),
    SlowOrigin(f64),
    /// The parent hears of what it fetches from.
    Upstream(&'static str, &'static str, u64),
}

struct Case {
    name: &'static str,
    chained: bool,
    script: Vec<(u64, Do)>,
}

fn cases() -> Vec<Case> {
    let case = |name, script: &[(u64, Do)]| Case {
        name,
        chained: false,
        script: [&[(MOVE, Do::Move)], script].concat(),
    };
    vec![
        case("cold hub takes half", &[]),
        case(
            "hub lost in mid-move",
            &[(11_000, Do::Dead("s-b2", true)), (11_800, Do::List("s-b2", "removed"))],
        ),
        case(
            "hub that flaps",
            &[
                (10_000, Do::Dead("s-b2", true)),
                (10_800, Do::Cold("s-b2")),
                (13_000, Do::Dead("s-b2", true)),
                (13_800, Do::Cold("s-b2")),
            ],
        ),
        case("origin 3 times slower", &[(MOVE, Do::SlowOrigin(3.0)), (14_000, Do::SlowOrigin(1.0))]),
        case("origin 5 times slower", &[(MOVE, Do::SlowOrigin(5.0)), (14_000, Do::SlowOrigin(1.0))]),
        Case {
            name: "edits in the wrong order",
            chained: true,
            script: vec![
                (MOVE, Do::Upstream("s-b0", "s-b1", 1)),
                (MOVE + 3000, Do::Upstream("s-b1", "s-c0", 1)),
            ],
        },
    ]
}

struct World {
    tiers: BTreeMap<&'static str, Tier>,
    bulletin: Bulletin,
    gateways: Vec<Gateway>,
    dir: PathBuf,
    way: usize,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

const TIERS: [(&str, &str); 8] = [
    ("s-a0", "standard"),
    ("s-a1", "standard"),
    ("s-a2", "standard"),
    ("s-a3", "standard"),
    ("s-b0", "parent"),
    ("s-b1", "parent"),
    ("s-b2", "parent"),
    ("s-c0", "origin"),
];

impl World {
    fn start(case: &Case, way: usize, seed: u64) -> Result<Self, String> {
        let wrong = |e: std::io::Error| e.to_string();
        let label = format!("{}-{way}", case.name.replace(' ', "-"));
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{label}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(wrong)?;
        let net: Net = Arc::new(Mutex::new(BTreeMap::new()));
        let mut tiers = BTreeMap::new();
        for (name, class) in TIERS {
            let (kind, ms) = match class {
                "standard" => (Kind::Cache(60), 1),
                "parent" => (Kind::Parent(5000), 8),
                _ => (Kind::Origin(2), 50),
            };
            tiers.insert(name, Tier::start(name, kind, Duration::from_millis(ms), &net).map_err(wrong)?);
        }
        for name in ["s-b0", "s-b1"] {
            // Zipf's ranks begin at 1. A loop shows only where something is missing at all of its parents.
            let held = (1..=OBJECTS).filter(|n| !case.chained || n % 5 != 0);
            tiers[name].fill(held.map(|n| format!("{:016x}", larchway::mix(n))));
        }
        if case.chained {
            tiers["s-b1"].upstream("s-b0", 0);
        }
        let bulletin = Bulletin::start().map_err(wrong)?;
        let mut world = World { tiers, bulletin, gateways: Vec::new(), dir, way };
        let first: Vec<String> =
            TIERS.iter().filter(|t| t.0 != "s-b2").map(|t| world.entry(t.0, "up", 0)).collect();
        world.bulletin.roster(true, &first);
        for at in 0..GATEWAYS {
            let config = format!(
                r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"bulletin":"{}",
                "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},"settings":{}}}"#,
                seed + at as u64,
                world.bulletin.address,
                first.join(","),
                settings()
            );
            let file = world.file(false).map(|text| ("hierarchy", text));
            let gateway = spawn(&world.dir, at, &config, file.as_slice())?;
            world.gateways.push(gateway);
        }
        Ok(world)
    }

    fn entry(&self, name: &str, health: &str, born_ms: u64) -> String {
        let class = TIERS.iter().find(|t| t.0 == name).map_or("", |t| t.1);
        let site = if class == "standard" { "edge" } else { "east" };
        format!(
            r#"{{"host":"{name}","dial":"{}","site":"{site}","class":"{class}","health":"{health}","share":4,"born_ms":{born_ms}}}"#,
            self.tiers[name].address
        )
    }

    /// The hierarchy's file, before or with the change.
    fn file(&self, changed: bool) -> Option<String> {
        let (steps, step_ms, keep_ms, cold_from) = match WAYS[self.way] {
            "at once" | "once+shield" => (1, 10, 0, 1.0),
            "ramp" | "ramp+shield" => (16, 500, 6000, 0.1),
            _ => return None,
        };
        let parent = |hub: &str| json!({"hub": hub, "weight": 4.0, "upstream": "origin"});
        let change = json!({"id": "c1", "upon": 0, "edits": [
            {"add_parent": {"name": "s-b2", "parent": parent("west")}},
            {"set_branch": {"branch": "edge", "parents": ["s-b0", "s-b2"]}}]});
        let changes = if changed { vec![change] } else { Vec::new() };
        let mut file = json!({
            "branch": "edge", "epoch": 0, "steps": steps, "step_ms": step_ms, "keep_ms": keep_ms,
            "cold_from": cold_from, "cold_ms": COLD_SPAN / 1000,
            "parents": {"s-b0": parent("east"), "s-b1": parent("east")},
            "branches": {"edge": ["s-b0", "s-b1"]},
            "changes": changes,
        });
        if WAYS[self.way].ends_with("shield") {
            file["shield"] = json!({"first": 16, "least": 2});
        }
        Some(file.to_string())
    }

    fn act(&self, what: Do) -> Result<(), String> {
        match what {
            Do::Move => {
                self.tiers["s-b2"].start_cold();
                self.bulletin.roster(false, &[self.entry("s-b2", "up", now() / 1000)]);
                match self.file(true) {
                    Some(text) => {
                        for gateway in &self.gateways {
                            std::fs::write(self.dir.join(format!("g{}.hierarchy", gateway.at)), &text)
                                .map_err(|e| e.to_string())?;
                            gateway.hup()?;
                        }
                    }
                    // Without a shape the list alone can say so.
                    None => self.bulletin.roster(false, &[self.entry("s-b1", "draining", 0)]),
                }
            }
            Do::Dead(name, dead) => self.tiers[name].dead(dead),
            Do::Cold(name) => {
                self.tiers[name].dead(false);
                self.tiers[name].start_cold();
                self.bulletin.roster(false, &[self.entry(name, "up", now() / 1000)]);
            }
            Do::List(name, health) => self.bulletin.roster(false, &[self.entry(name, health, 0)]),
            Do::SlowOrigin(times) => self.tiers["s-c0"].slow(times),
            Do::Upstream(name, upstream, epoch) => self.tiers[name].upstream(upstream, epoch),
        }
        Ok(())
    }
}

struct Figures {
    tally: Tally,
    worst: f64,
    origin_peak: f64,
    origin_mean: f64,
    origin_stopped: bool,
    cold_peak: f64,
    hits: f64,
    loops: [u64; 3],
}

/// Most in any second, sliding by tenths, from a time on; each second by a divisor of its own.
fn peak(seen: &[(Micros, bool)], from: Micros, over: impl Fn(Micros) -> f64) -> f64 {
    let mut most: f64 = 0.0;
    let mut at = from;
    while at < from + SPAN {
        let count = seen.iter().filter(|(t, _)| *t >= at && *t < at + 1_000_000).count();
        most = most.max(count as f64 / over(at + 500_000));
        at += 100_000;
    }
    most
}

fn play_way(case: &Case, way: usize, seed: u64) -> Result<Figures, String> {
    let world = World::start(case, way, seed)?;
    let (begin, start) = (now(), Instant::now());
    let tallies = std::thread::scope(|scope| -> Result<Vec<Tally>, String> {
        let loads: Vec<_> = world
            .gateways
            .iter()
            .map(|gateway| {
                let load = Load {
                    gateway: gateway.at as u8,
                    rate: RATE,
                    ttl_ms: 1000,
                    aim_ms: 250,
                    class: "history-files".into(),
                    objects: OBJECTS,
                    zipf: 0.9,
                    writes: 0.0,
                    span: SPAN,
                    seed: seed * 31 + gateway.at as u64,
                    lines: (load::CONNECTIONS, load::OFTEN),
                };
                let front = gateway.front;
                scope.spawn(move || load::play(front, &load))
            })
            .collect();
        for (at, what) in &case.script {
            std::thread::sleep(Duration::from_millis(*at).saturating_sub(start.elapsed()));
            world.act(*what)?;
        }
        loads
            .into_iter()
            .map(|l| l.join().expect("the load does not panic").map_err(|e| e.to_string()))
            .collect()
    })?;
    let mut tally = Tally::none();
    tallies.iter().for_each(|t| tally.add(t));
    let from = begin + MOVE * 1000;
    let origin = &world.tiers["s-c0"];
    let calls: Vec<(Micros, bool)> = origin.seen().into_iter().filter(|(t, _)| *t >= from).collect();
    let cold = world.tiers["s-b2"].seen();
    let first = cold.first().map_or(from, |(t, _)| *t).min(from);
    let capacity = world.tiers["s-b2"].capacity();
    let warmth =
        |at: Micros| capacity * (0.1 + 0.9 * at.saturating_sub(first) as f64 / COLD_SPAN as f64).min(1.0);
    let parents: Vec<(Micros, bool)> = ["s-b0", "s-b1", "s-b2"]
        .iter()
        .flat_map(|name| world.tiers[name].seen())
        .filter(|(t, _)| *t >= from)
        .collect();
    let hits = parents.iter().filter(|(_, hit)| *hit).count() as f64 / parents.len().max(1) as f64;
    let loops = ["s-b0", "s-b1", "s-b2"]
        .iter()
        .map(|n| world.tiers[n].loops())
        .fold([0; 3], |a, b| [a[0] + b[0], a[1] + b[1], a[2] + b[2]]);
    Ok(Figures {
        worst: tally.worst(5, MOVE / 1000),
        tally,
        origin_peak: peak(&calls, from, |_| origin.capacity()),
        origin_mean: calls.len() as f64 / ((SPAN - MOVE * 1000) as f64 / 1e6) / origin.capacity(),
        origin_stopped: origin.stopped(),
        cold_peak: peak(&cold, from, warmth),
        hits,
        loops,
    })
}

/// Plays all cases, or the one of that name.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let mut table = format!(
        "{:26} {:11} {:>7} {:>8} {:>5} {:>11} {:>11} {:>8} {:>10} {:>5} {:>18}\n",
        "case",
        "way",
        "service",
        "worst 5s",
        "lost",
        "origin peak",
        "origin mean",
        "stopped",
        "cold peak",
        "hits",
        "loops beg/brk/unb"
    );
    let (mut figures, mut broken) = (serde_json::Map::new(), Vec::new());
    for case in cases().iter().filter(|c| only.is_none_or(|o| o == c.name)) {
        let ways: Vec<Result<Figures, String>> = std::thread::scope(|scope| {
            let ways: Vec<_> =
                (0..WAYS.len()).map(|way| scope.spawn(move || play_way(case, way, seed))).collect();
            ways.into_iter().map(|w| w.join().expect("a way does not panic")).collect()
        });
        let played: Vec<Figures> = ways.into_iter().collect::<Result<_, _>>()?;
        let mut of_case = serde_json::Map::new();
        for (way, f) in WAYS.iter().zip(&played) {
            table.push_str(&format!(
                "{:26} {:11} {:>7.4} {:>8.4} {:>5} {:>11.2} {:>11.2} {:>8} {:>10.2} {:>5.2} {:>18}\n",
                case.name,
                way,
                f.tally.service(),
                f.worst,
                f.tally.lost,
                f.origin_peak,
                f.origin_mean,
                f.origin_stopped,
                f.cold_peak,
                f.hits,
                format!("{}/{}/{}", f.loops[0], f.loops[1], f.loops[2]),
            ));
            of_case.insert(
                way.to_string(),
                json!({
                    "service": f.tally.service(), "worst_5s": f.worst, "lost": f.tally.lost,
                    "asked": f.tally.asked, "late": f.tally.late, "refused": f.tally.refused,
                    "failed": f.tally.failed, "origin_peak": f.origin_peak, "origin_mean": f.origin_mean,
                    "origin_stopped": f.origin_stopped, "cold_peak": f.cold_peak, "parents_hits": f.hits,
                    "loops_begun": f.loops[0], "loops_broken": f.loops[1], "loops_unbroken": f.loops[2],
                }),
            );
        }
        let ramp = &played[2];
        if ramp.tally.lost > 0 {
            broken.push(format!("{}: the ramp lost {} requests", case.name, ramp.tally.lost));
        }
        if ramp.origin_stopped {
            broken.push(format!("{}: the origin stopped", case.name));
        }
        for way in [3, 4] {
            if played[way].origin_stopped {
                broken.push(format!("{}: the origin stopped behind its shield ({})", case.name, WAYS[way]));
            }
        }
        if ramp.loops[2] > 0 {
            broken.push(format!("{}: {} loops went unbroken", case.name, ramp.loops[2]));
        }
        if ramp.cold_peak > COLD_LOAD {
            broken.push(format!(
                "{}: the cold parent got {:.2} of what it can give",
                case.name, ramp.cold_peak
            ));
        }
        if case.script[0].1 == Do::Move {
            for other in 0..2 {
                if ramp.worst < played[other].worst {
                    let (own, than) = (ramp.worst, played[other].worst);
                    broken
                        .push(format!("{}: worst 5 s {own:.4}, and {than:.4} by {}", case.name, WAYS[other]));
                }
            }
        }
        figures.insert(case.name.to_string(), Value::Object(of_case));
    }
    if only.is_none() {
        let (text, scale, faults) = at_scale(seed);
        table.push_str(&text);
        figures.insert("scale".into(), scale);
        broken.extend(faults);
    }
    Ok(Outcome { table, figures: Value::Object(figures), broken })
}

/// 200 hubs with two parents each, 5,000 branches, 1,000 gateways that get 100 changes in orders of their own.
fn at_scale(seed: u64) -> (String, Value, Vec<String>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let name = |n: usize| format!("s-{n:04x}");
    let mut edits = Vec::new();
    for n in 0..400 {
        let parent = Parent { hub: format!("h{}", n / 2), weight: 4.0, upstream: Upstream::Origin };
        edits.push(Edit::AddParent { name: name(n), parent });
    }
    for b in 0..5000usize {
        let parents = (0..4).map(|k| name((b * 7 + k * 101) % 400)).collect();
        edits.push(Edit::SetBranch { branch: format!("b{b}"), parents });
    }
    let shape = Shape::default().apply(&edits).expect("a sound shape");
    let changes: Vec<Change> = (0..100u64)
        .map(|n| {
            let edit = match n % 3 {
                0 => Edit::SetWeight {
                    name: name(random.random_range(0..400)),
                    weight: random.random_range(1.0..8.0),
                },
                1 => Edit::SetBranch {
                    branch: format!("b{}", random.random_range(0..5000)),
                    parents: (0..4).map(|_| name(random.random_range(0..400))).collect(),
                },
                _ => Edit::SetUpstream {
                    name: name(random.random_range(0..400)),
                    upstream: Upstream::Parent(name(random.random_range(0..400))),
                },
            };
            Change { id: format!("c{n:03}"), upon: n * 40 / 100, edits: vec![edit] }
        })
        .collect();
    let begin = Instant::now();
    let mut last: Option<(u64, Shape)> = None;
    let mut differ = 0;
    for _ in 0..1000 {
        let mut ledger = Ledger::new(0, shape.clone());
        let mut order: Vec<&Change> = changes.iter().collect();
        order.shuffle(&mut random);
        order.into_iter().for_each(|c| drop(ledger.take(c.clone())));
        let found = (ledger.epoch(), ledger.shape().clone());
        differ += usize::from(last.as_ref().is_some_and(|l| *l != found));
        last = Some(found);
    }
    let converge = begin.elapsed();
    let epoch = last.as_ref().map_or(0, |l| l.0);
    // One parent of four is replaced: the least that can move is what it held.
    let weights = |names: &[usize]| names.iter().map(|n| (name(*n), 4.0)).collect::<Vec<_>>();
    let (old, new) = (weights(&[1, 2, 3, 4]), weights(&[1, 2, 3, 5]));
    let home = |of: &[(String, f64)], object| {
        rendezvous(object, of.iter().map(|(n, w)| (n.as_str(), *w))).map(String::from)
    };
    let begin = Instant::now();
    let pairs: Vec<_> = (0..100_000u64).map(|o| (home(&old, o), home(&new, o))).collect();
    let lookup = begin.elapsed().as_nanos() as f64 / 200_000.0;
    let moved = pairs.iter().filter(|(a, b)| a != b).count() as f64 / pairs.len() as f64;
    let held =
        pairs.iter().filter(|(a, _)| a.as_deref() == Some(&name(4))).count() as f64 / pairs.len() as f64;
    // A ring of 100 points a parent, for comparison.
    let ring = |of: &[(String, f64)]| -> BTreeMap<u64, String> {
        let points = of.iter().flat_map(|(n, _)| (0..100u64).map(move |k| (n, k)));
        let id = larchway_members::entry::store_id;
        points.map(|(n, k)| (larchway::mix(id(n) ^ larchway::mix(k + 1)), n.clone())).collect()
    };
    let on = |ring: &BTreeMap<u64, String>, object: u64| {
        let at = larchway::mix(object);
        ring.range(at..).next().or_else(|| ring.iter().next()).map(|(_, n)| n.clone())
    };
    let (old_ring, new_ring) = (ring(&old), ring(&new));
    let begin = Instant::now();
    let ring_moved =
        (0..100_000u64).filter(|o| on(&old_ring, *o) != on(&new_ring, *o)).count() as f64 / 100_000.0;
    let ring_lookup = begin.elapsed().as_nanos() as f64 / 200_000.0;
    let text = format!(
        "at scale: 1,000 gateways, 100 changes in random orders: epoch {epoch}, {differ} differ, {:.1} ms a gateway; \
         one parent of four replaced: {:.2} % move (least possible {:.2} %, a ring {:.2} %), {lookup:.0} ns a lookup \
         (a ring {ring_lookup:.0} ns)\n",
        converge.as_secs_f64(),
        100.0 * moved,
        100.0 * held,
        100.0 * ring_moved,
    );
    let figures = json!({
        "epoch": epoch, "differ": differ, "ms_a_gateway": converge.as_secs_f64(), "moved": moved,
        "least_moved": held, "ring_moved": ring_moved, "lookup_ns": lookup, "ring_lookup_ns": ring_lookup,
    });
    let mut broken = Vec::new();
    if differ > 0 {
        broken.push(format!("at scale: {differ} gateways stand at another shape"));
    }
    // Rendezvous hashing moves what the old one held, and what the new one takes from the others; nothing else.
    let (gone, come) = (name(4), name(5));
    let idle =
        pairs.iter().filter(|(a, b)| a != b && a.as_deref() != Some(&gone) && b.as_deref() != Some(&come));
    let idle = idle.count();
    if idle > 0 {
        broken.push(format!("at scale: {idle} objects move between parents that stay"));
    }
    (text, figures, broken)
}
