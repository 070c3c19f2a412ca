//! `trial membership`: departures, flaps, silence and lies of the membership service, in three ways: the list only,
//! nodes believed as they come (as the program did before), and the merge. Times of the wish are scaled down to what
//! one machine plays in minutes: a service silent for 30 s is silent for 8 with a session of 2 s, and a list that is
//! 7 s late is 3 s late.
use super::fleet::Fleet;
use super::Outcome;
use crate::clock::now;
use crate::load::{self, Load, Tally};
use crate::stand::store::Mode;
use crate::stand::tree::Ensemble;
use hdrhistogram::Histogram;
use larchway_gateway::admin;
use larchway_keeper::agent;
use larchway_keeper::Micros;
use larchway_members::format::{self, Defaults, Names};
use larchway_members::{Input, Members, Output, Policy};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const MS: Micros = 1000;
const CACHES: usize = 8;
const GATEWAYS: usize = 3;
/// Requests a second at each gateway: with all caches, a fifth of what they can do.
const RATE: f64 = 90.0;
const SPAN: Micros = 13_000 * MS;
/// From a box's departure to the last new work, at most.
const LAST_WORK: Micros = 1_000 * MS;

/// ms by which the list is late with a departure; the merge waits a little longer for it (7 s and 10 s by default).
const LIST_LATE: u64 = 3000;

const WAYS: [(&str, &str); 3] = [
    ("list only", ""),
    ("believed", r#","stores":"/stores","policy":{"merge":"believe"}"#),
    ("merge", r#","stores":"/stores","gateways":true,"policy":{"refute_ms":4300}"#),
];

#[derive(Debug, Clone)]
enum Do {
    /// The box's machine or process goes, or comes back.
    Mode(&'static str, Mode),
    /// The service ends its session; the box calls again after so long (ms).
    Expire(&'static str, u64),
    /// It makes no further call.
    Pause(&'static str),
    /// All sessions of caches but this many end at once; the boxes call again after so long (ms).
    ExpireMost(usize, u64),
    /// Its node says so.
    Node(&'static str, &'static str),
    /// It closes its session in good order.
    Close(&'static str),
    /// The list says so.
    List(&'static str, &'static str),
    /// All servers go silent, or speak again.
    Stall(bool),
    /// So many changes that concern nobody.
    Noise(usize),
    /// The server lies so many changes behind.
    Lag(usize, usize),
    /// The server breaks its connections.
    Cut(usize),
    /// From here on the box has departed, by word of a source that counts.
    Departed(&'static str),
    /// It is back.
    Back(&'static str),
}

struct Case {
    name: &'static str,
    script: Vec<(u64, Do)>,
}

/// One box's machine vanishes, and its session is ended with it; the list, seconds late as it is, says so later.
fn loss(name: &'static str, at: u64) -> Vec<(u64, Do)> {
    vec![
        (at, Do::Mode(name, Mode::Silent)),
        (at, Do::Expire(name, 60_000)),
        (at, Do::Departed(name)),
        (at + LIST_LATE, Do::List(name, "removed")),
    ]
}

fn cases() -> Vec<Case> {
    let case = |name, script: Vec<Vec<(u64, Do)>>| Case { name, script: script.concat() };
    let mut flaps = Vec::new();
    for at in (2000..12_000).step_by(2000) {
        flaps.extend([
            (at, Do::Mode("s-a1", Mode::Silent)),
            (at, Do::Expire("s-a1", 900)),
            (at, Do::Departed("s-a1")),
            (at + 850, Do::Mode("s-a1", Mode::Up)),
            (at + 850, Do::Back("s-a1")),
        ]);
    }
    vec![
        case("calm", vec![]),
        case("single expiry", vec![loss("s-a1", 3000)]),
        case(
            "drain by node",
            vec![vec![
                (3000, Do::Node("s-a1", "draining")),
                (3000, Do::Departed("s-a1")),
                (5000, Do::Close("s-a1")),
                (5000, Do::Mode("s-a1", Mode::Dead)),
                (8000, Do::List("s-a1", "removed")),
            ]],
        ),
        case("flaps every 2 s", vec![flaps]),
        case(
            "service silent 8 s",
            vec![
                loss("s-a1", 1500),
                vec![
                    (2500, Do::Stall(true)),
                    (4000, Do::List("s-a2", "removed")),
                    (4000, Do::Departed("s-a2")),
                    (4000, Do::Mode("s-a2", Mode::Silent)),
                    (10_500, Do::Stall(false)),
                ],
            ],
        ),
        case("mass, boxes healthy", vec![loss("s-a1", 1500), vec![(4000, Do::ExpireMost(1, 4000))]]),
        case(
            "mass, half of them gone",
            vec![vec![
                (2500, Do::Mode("s-a1", Mode::Silent)),
                (2500, Do::Mode("s-a2", Mode::Dead)),
                (2500, Do::Mode("s-a3", Mode::Silent)),
                (2500, Do::Pause("s-a1")),
                (2500, Do::Pause("s-a2")),
                (2500, Do::Pause("s-a3")),
                (2500, Do::Mode("s-a4", Mode::Dead)),
                (2500, Do::Pause("s-a4")),
                (2500, Do::ExpireMost(1, 4000)),
                (2500, Do::Departed("s-a1")),
                (2500, Do::Departed("s-a2")),
                (2500, Do::Departed("s-a3")),
                (2500, Do::Departed("s-a4")),
                (2500 + LIST_LATE, Do::List("s-a1", "removed")),
                (2500 + LIST_LATE, Do::List("s-a2", "removed")),
                (2500 + LIST_LATE, Do::List("s-a3", "removed")),
                (2500 + LIST_LATE, Do::List("s-a4", "removed")),
            ]],
        ),
        case(
            "lagging server",
            vec![
                vec![(1000, Do::Noise(60)), (1200, Do::Lag(0, 50))],
                loss("s-a1", 2000),
                vec![(3000, Do::Cut(1)), (3000, Do::Cut(2)), (6000, Do::Cut(1)), (6000, Do::Cut(2))],
            ],
        ),
        case(
            "list and service contradict",
            vec![vec![
                // The service is wrong: the box is well, and the list goes on naming it.
                (2000, Do::Expire("s-a1", 60_000)),
                (2000, Do::Departed("s-a1")),
                (6300, Do::Back("s-a1")),
                // The list is right: the box hangs, and its session lives on.
                (3000, Do::Mode("s-a2", Mode::Silent)),
                (5000, Do::List("s-a2", "removed")),
                (5000, Do::Departed("s-a2")),
            ]],
        ),
    ]
}

fn act(fleet: &Fleet, what: &Do, gone: &Mutex<BTreeMap<String, Vec<(Micros, Micros)>>>) {
    let keepers = &fleet.keepers;
    let expire = |name: &str, pause: u64| {
        fleet.member(name).registrar.pause(pause);
        let path = format!("/stores/{name}");
        keepers.with(|e| e.owner(&path).into_iter().for_each(|owner| e.end(now(), owner)));
    };
    match what {
        Do::Mode(name, mode) => fleet.member(name).store.set(*mode),
        Do::Expire(name, pause) => expire(name, *pause),
        Do::Pause(name) => fleet.member(name).registrar.pause(60_000),
        Do::ExpireMost(left, pause) => {
            let caches: Vec<String> =
                fleet.members.iter().filter(|m| m.class == "standard").map(|m| m.name.clone()).collect();
            for name in &caches[..caches.len() - left] {
                fleet.member(name).registrar.pause(*pause);
            }
            keepers.with(|e| {
                for name in &caches[..caches.len() - left] {
                    e.owner(&format!("/stores/{name}")).into_iter().for_each(|owner| e.end(now(), owner));
                }
            });
        }
        Do::Node(name, health) => {
            let member = fleet.member(name);
            member.registrar.set(member.entry(health).as_bytes());
        }
        Do::Close(name) => fleet.member(name).registrar.close(),
        Do::List(name, health) => fleet.bulletin.roster(false, &[fleet.member(name).entry(health)]),
        Do::Stall(on) => keepers.with(|e| e.servers.iter_mut().for_each(|s| s.stalled = *on)),
        Do::Noise(count) => keepers.with(|e| {
            for n in 0..*count {
                e.put(now(), "/noise", n.to_string().as_bytes(), 0);
            }
        }),
        Do::Lag(server, changes) => keepers.with(|e| {
            e.servers[*server].lag = *changes;
            e.apply(*server, *changes);
        }),
        Do::Cut(server) => keepers.with(|e| e.cut(*server)),
        Do::Departed(name) => {
            let mut gone = gone.lock().expect("no thread panics with it");
            gone.entry(name.to_string()).or_default().push((now(), Micros::MAX));
        }
        Do::Back(name) => {
            let mut gone = gone.lock().expect("no thread panics with it");
            if let Some(last) = gone.get_mut(*name).and_then(|v| v.last_mut()) {
                last.1 = now();
            }
        }
    }
}

/// What one way showed in one case.
struct Figures {
    tally: Tally,
    /// µs from each departure to the last new work, a sample a gateway.
    last_work: Histogram<u64>,
    /// µs for which boxes that were well got no work, over all boxes and gateways.
    wrong: Option<Micros>,
    wrong_boxes: usize,
    /// Fewest caches that got work at any gateway.
    smallest: Option<usize>,
}

impl Figures {
    fn json(&self) -> Value {
        let ms = |us: u64| us as f64 / 1000.0;
        json!({
            "asked": self.tally.asked,
            "in_time": self.tally.in_time,
            "late": self.tally.late,
            "refused": self.tally.refused,
            "failed": self.tally.failed,
            "lost": self.tally.lost,
            "service": self.tally.service(),
            "latency_p99_ms": ms(self.tally.latency.value_at_quantile(0.99)),
            "last_work_worst_ms": ms(self.last_work.max()),
            "last_work_p99_ms": ms(self.last_work.value_at_quantile(0.99)),
            "departures": self.last_work.len(),
            "wrongly_out_ms": self.wrong.map(ms),
            "wrongly_out_boxes": self.wrong_boxes,
            "smallest_pool": self.smallest,
            "sender_behind_ms": ms(self.tally.behind),
        })
    }
}

fn poll(
    fleet: &Fleet,
    gone: &Mutex<BTreeMap<String, Vec<(Micros, Micros)>>>,
    stop: &AtomicBool,
) -> (Micros, BTreeMap<String, Micros>, Option<usize>) {
    let (mut total, mut boxes, mut smallest) = (0, BTreeMap::new(), None);
    let mut last = now();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
        let at = now();
        let span = at - last;
        last = at;
        for gateway in &fleet.gateways {
            let Ok(told) = admin::ask(&gateway.admin, "members") else { continue };
            let Ok(told) = serde_json::from_str::<Value>(&told) else { continue };
            let Some(rows) = told["boxes"].as_array().filter(|rows| !rows.is_empty()) else { continue };
            let up = rows.iter().filter(|r| r["kind"] == 0 && r["state"] == "up").count();
            smallest = Some(smallest.map_or(up, |s: usize| s.min(up)));
            for row in rows.iter().filter(|r| r["state"] != "up") {
                let name = row["name"].as_str().unwrap_or("");
                let well = {
                    let gone = gone.lock().expect("no thread panics with it");
                    !gone.get(name).is_some_and(|v| v.iter().any(|(from, to)| at >= *from && at < *to))
                };
                if well {
                    total += span;
                    *boxes.entry(name.to_string()).or_default() += span;
                }
            }
        }
    }
    (total, boxes, smallest)
}

fn play_way(case: &Case, way: usize, seed: u64) -> Result<Figures, String> {
    let (name, file) = WAYS[way];
    let label = format!("{}-{way}", case.name.replace([' ', ','], "-"));
    let fleet = Fleet::start(&label, CACHES, GATEWAYS, file, seed)?;
    let merges = !file.is_empty();
    let ready = |g: &super::fleet::Gateway| {
        let told = admin::ask(&g.admin, "members").ok().and_then(|t| serde_json::from_str::<Value>(&t).ok());
        told.is_some_and(|t| t["session"]["registered"] == true && (!merges || t["nodes"]["ready"] == true))
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    while !fleet.gateways.iter().all(ready) {
        if Instant::now() > deadline {
            return Err(format!("{}, {name}: the gateways do not register", case.name));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let (gone, stop) = (Mutex::new(BTreeMap::new()), AtomicBool::new(false));
    let start = Instant::now();
    let (tallies, polled) = std::thread::scope(|scope| {
        let loads: Vec<_> = fleet
            .gateways
            .iter()
            .enumerate()
            .map(|(at, gateway)| {
                let load = Load {
                    gateway: at as u8,
                    rate: RATE,
                    ttl_ms: 1000,
                    aim_ms: 100,
                    class: "history-files".into(),
                    objects: 400,
                    zipf: 0.0,
                    writes: 0.0,
                    span: SPAN,
                    seed: seed * 31 + at as u64,
                    lines: (load::CONNECTIONS, load::OFTEN),
                };
                let front = gateway.front;
                scope.spawn(move || load::play(front, &load))
            })
            .collect();
        let polling = scope.spawn(|| poll(&fleet, &gone, &stop));
        let mut script = case.script.clone();
        script.sort_by_key(|(at, _)| *at);
        for (at, what) in &script {
            std::thread::sleep(Duration::from_millis(*at).saturating_sub(start.elapsed()));
            act(&fleet, what, &gone);
        }
        let tallies: Vec<_> = loads.into_iter().map(|l| l.join().expect("the load does not panic")).collect();
        stop.store(true, Ordering::Relaxed);
        (tallies, polling.join().expect("polling does not panic"))
    });
    let mut tally = Tally::none();
    for one in tallies {
        tally.add(&one.map_err(|e| format!("{}, {name}: the load: {e}", case.name))?);
    }
    let mut last_work = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    let gone = gone.into_inner().expect("no thread panics with it");
    let seen: Vec<(String, Vec<crate::stand::store::Seen>)> =
        fleet.members.iter().map(|m| (m.name.clone(), m.store.seen())).collect();
    for (name, spans) in &gone {
        for &(from, to) in spans {
            for gateway in 0..GATEWAYS as u8 {
                let own = seen.iter().filter(|(n, _)| n == name).flat_map(|(_, s)| s);
                let sources = seen.iter().flat_map(|(_, s)| s).filter(|s| s.source.as_ref() == Some(name));
                let within = own.chain(sources).filter(|s| s.gateway == gateway && s.at > from && s.at < to);
                let last = within.map(|s| s.at - from).max().unwrap_or(0);
                last_work.saturating_record(last.max(1));
            }
        }
    }
    let (wrong, boxes, smallest) = polled;
    let wrong = merges.then_some(wrong);
    Ok(Figures { tally, last_work, wrong, wrong_boxes: boxes.len(), smallest })
}

/// Plays all cases, or the one of that name.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let mut table = format!(
        "{:28} {:10} {:>7} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>10} {:>8}\n",
        "case",
        "way",
        "service",
        "late",
        "refused",
        "failed",
        "lost",
        "last work",
        "p99",
        "wrong out",
        "smallest"
    );
    let (mut figures, mut broken) = (serde_json::Map::new(), Vec::new());
    for case in cases().iter().filter(|c| only.is_none_or(|o| o == c.name)) {
        let mut played: Vec<Figures> = Vec::new();
        // A sender that runs late voids the run: it is played again, twice at most.
        for again in 0..3 {
            let ways: Vec<Result<Figures, String>> = std::thread::scope(|scope| {
                let ways: Vec<_> = (0..WAYS.len())
                    .map(|way| scope.spawn(move || play_way(case, way, seed + again)))
                    .collect();
                ways.into_iter().map(|w| w.join().expect("a way does not panic")).collect()
            });
            played = ways.into_iter().collect::<Result<_, _>>()?;
            if played.iter().all(|f| f.tally.behind < 60 * MS) {
                break;
            }
            if again == 2 {
                broken.push(format!("{}: the load ran late three times, the machine is too busy", case.name));
            }
        }
        let mut of_case = serde_json::Map::new();
        for ((way, _), f) in WAYS.iter().zip(&played) {
            let ms = |us: u64| format!("{} ms", us / 1000);
            let wrong = f.wrong.map_or("-".into(), |w| format!("{} ms", w / 1000));
            let smallest = f.smallest.map_or("-".into(), |n| n.to_string());
            let t = &f.tally;
            table.push_str(&format!(
                "{:28} {:10} {:>7.4} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>10} {:>8}\n",
                case.name,
                way,
                t.service(),
                t.late,
                t.refused,
                t.failed,
                t.lost,
                ms(f.last_work.max()),
                ms(f.last_work.value_at_quantile(0.99)),
                wrong,
                smallest
            ));
            of_case.insert(way.to_string(), f.json());
        }
        let [list, believed, merge] = &played[..] else { continue };
        if merge.tally.lost > 0 {
            broken.push(format!("{}: the merge lost {} requests", case.name, merge.tally.lost));
        }
        if merge.last_work.max() > LAST_WORK {
            broken.push(format!(
                "{}: new work {} ms after a departure",
                case.name,
                merge.last_work.max() / 1000
            ));
        }
        if merge.smallest == Some(0) {
            broken.push(format!("{}: the pool was empty", case.name));
        }
        if case.name.starts_with("mass") || case.name.starts_with("service silent") {
            for (way, other) in [("list only", list), ("believed", believed)] {
                if merge.tally.service() <= other.tally.service() {
                    let (own, other) = (merge.tally.service(), other.tally.service());
                    broken.push(format!("{}: service {own:.4}, and {other:.4} by {way}", case.name));
                }
            }
        }
        figures.insert(case.name.to_string(), Value::Object(of_case));
    }
    if only.is_none() {
        let (text, scale, faults) = at_scale()?;
        table.push_str(&text);
        figures.insert("scale".into(), scale);
        broken.extend(faults);
    }
    Ok(Outcome { table, figures: Value::Object(figures), broken })
}

/// 5,000 boxes read from nothing, then 1,000 changes a second for 10 s: the session, the merge and the stand-in, in
/// one thread without sockets.
fn at_scale() -> Result<(String, Value, Vec<String>), String> {
    const BOXES: usize = 5000;
    let data = |n: usize| {
        format!(
            r#"{{"host":"s-{n:05x}","dial":"127.1.{}.{}:4100","site":"edge","class":"standard","share":4}}"#,
            n / 250,
            n % 250 + 1
        )
    };
    let names = Names { zones: vec!["east".into(), "edge".into()], kinds: vec!["standard".into()] };
    let mut ensemble = Ensemble::new(1);
    let mut at = now();
    for n in 0..BOXES {
        ensemble.put(at, &format!("/stores/n{n:05x}"), data(n).as_bytes(), 7 + n as i64);
    }
    let plan = agent::Plan {
        servers: 1,
        timeout: 10_000 * MS,
        credentials: Vec::new(),
        register: None,
        mirrors: vec!["/stores".into()],
        sync: 0,
    };
    let before = memory();
    let mut session = agent::Agent::new(plan, 1);
    let mut members = Members::new(Policy::default());
    // Only what the gateway itself does is counted, not the stand-in.
    let mut spent = Duration::ZERO;
    let mut told = 0usize;
    let mut pump = |ensemble: &mut Ensemble, members: &mut Members, at: Micros, first: bool| -> Duration {
        let mut spent = Duration::ZERO;
        let mut out = Vec::new();
        let begin = Instant::now();
        session.handle(at, agent::Input::Tick, &mut out);
        spent += begin.elapsed();
        loop {
            for output in out.split_off(0) {
                match output {
                    agent::Output::Connect(_) => {
                        ensemble.accept(1, 0);
                        session.handle(at, agent::Input::Up, &mut out);
                    }
                    agent::Output::Write(bytes) => ensemble.bytes(at, 1, &bytes),
                    agent::Output::Disconnect(_) => {}
                    agent::Output::Fact(fact) => {
                        let begin = Instant::now();
                        let input = match fact {
                            agent::Fact::Child { name, data, stat, .. } => {
                                let entry = format::read(&data, &names, &Defaults::default());
                                entry.ok().map(|entry| Input::Node { node: name, entry, session: stat.owner })
                            }
                            agent::Fact::Gone { name, .. } => Some(Input::NodeGone(name)),
                            agent::Fact::Whole { .. } => Some(Input::NodesWhole),
                            _ => None,
                        };
                        let mut changes = Vec::new();
                        input.into_iter().for_each(|input| members.handle(at, input, &mut changes));
                        told += changes.iter().filter(|c| matches!(c, Output::Change { .. })).count();
                        spent += begin.elapsed();
                    }
                }
            }
            let orders = ensemble.orders();
            if orders.is_empty() && out.is_empty() {
                let begin = Instant::now();
                members.handle(at, Input::Tick, &mut Vec::new());
                return spent + if first { Duration::ZERO } else { begin.elapsed() };
            }
            let begin = Instant::now();
            for order in orders {
                if let crate::stand::tree::Out::Write(_, bytes) = order {
                    session.handle(at, agent::Input::Bytes(&bytes), &mut out);
                }
            }
            spent += begin.elapsed();
        }
    };
    let begin = Instant::now();
    spent += pump(&mut ensemble, &mut members, at, true);
    let (read_wall, read_cpu) = (begin.elapsed(), spent);
    let known = members.known();
    let held = memory().saturating_sub(before);
    spent = Duration::ZERO;
    // 10 s of 1,000 changes a second: a box goes, another comes back.
    for step in 0..1000usize {
        at += 10 * MS;
        for change in 0..10 {
            let n = (step * 10 + change) * 7919 % BOXES;
            let path = format!("/stores/n{n:05x}");
            if ensemble.tree().contains_key(&path) {
                ensemble.take(at, &path);
            } else {
                ensemble.put(at, &path, data(n).as_bytes(), 90_000 + step as i64);
            }
        }
        spent += pump(&mut ensemble, &mut members, at, false);
    }
    let changes_cpu = spent;
    let grown = memory().saturating_sub(before);
    let text = format!(
        "at scale: {known} boxes read in {:.0} ms ({:.0} ms of it the gateway's), {} KB; \
         10,000 changes in 10 s: {:.0} ms CPU ({:.1} us a change), {} KB with the stand-in\n",
        read_wall.as_secs_f64() * 1e3,
        read_cpu.as_secs_f64() * 1e3,
        held / 1000,
        changes_cpu.as_secs_f64() * 1e3,
        changes_cpu.as_secs_f64() * 1e6 / 10_000.0,
        grown / 1000,
    );
    let figures = json!({
        "boxes": known,
        "read_wall_ms": read_wall.as_secs_f64() * 1e3,
        "read_cpu_ms": read_cpu.as_secs_f64() * 1e3,
        "read_bytes": held,
        "changes": 10_000,
        "changes_cpu_ms": changes_cpu.as_secs_f64() * 1e3,
        "grown_bytes": grown,
        "rosters_told": told,
    });
    let mut broken = Vec::new();
    if known != BOXES {
        broken.push(format!("at scale: {known} of {BOXES} boxes are known"));
    }
    if changes_cpu > Duration::from_secs(5) {
        broken.push("at scale: 1,000 changes a second take more than half a core".into());
    }
    Ok((text, figures, broken))
}

/// Resident bytes of this process.
fn memory() -> usize {
    let told = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    told.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}
