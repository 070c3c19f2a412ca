//! `trial fleet`: a tier of real gateways that know of each other, with an ensemble, under faults of links and processes:
//! who is taken for dead, what shares are in use together, what cold boxes get, and service; beside the program without
//! the file of the fleet. The model's figures, in virtual time and beside other ways, are the case `model`.
use super::fleet::{spawn, Gateway};
use super::spread::{capacity, SERVICE, SETTINGS, WORKERS};
use super::upgrade::{call, free};
use super::Outcome;
use crate::clock::now;
use crate::faults::plan::Plan;
use crate::faults::ways::{Heartbeats, Own, Swim};
use crate::faults::world::{self, Seen};
use crate::load::{self, Load};
use crate::stand::bulletin::Bulletin;
use crate::stand::ensemble::Keepers;
use crate::stand::relay::Relay;
use crate::stand::store::Store;
use larchway_keeper::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const STORES: usize = 12;
/// Share of all boxes' capacity that is asked for.
const ASKED: f64 = 0.5;
const OBJECTS: u64 = 20_000;
/// A cold box: from which share, in how many ms; as the settings tell.
const COLD: (f64, u64) = (0.3, 10_000);
/// How long a gateway's session lives without it, ms.
const SESSION_MS: u64 = 2000;

/// By second of the script: asked, and answered in time.
type Seconds = Arc<Mutex<Vec<(u64, u64)>>>;

fn locked<T>(what: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A tier on loopback.
pub struct World {
    dir: PathBuf,
    bulletin: Bulletin,
    /// The ensemble.
    pub keepers: Keepers,
    /// The network between the gateways.
    pub relay: Relay,
    stores: Vec<(String, Store, Micros)>,
    /// By number, the process if it runs, and where operators call it.
    pub gateways: Vec<Option<Gateway>>,
    consoles: Vec<SocketAddr>,
    file: Option<&'static str>,
    seed: u64,
    begun: Instant,
    seconds: Seconds,
    loads: Vec<std::thread::JoinHandle<()>>,
    behind: Arc<Mutex<Micros>>,
}

impl World {
    /// Starts so many gateways, with this file of the fleet or without one.
    pub fn start(name: &str, gateways: usize, file: Option<&'static str>, seed: u64) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-fleet-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut world = World {
            dir,
            bulletin: Bulletin::start().map_err(|e| format!("the bulletin: {e}"))?,
            keepers: Keepers::start(any, 3).map_err(|e| format!("the ensemble: {e}"))?,
            relay: Relay::start(gateways, seed).map_err(|e| format!("the relay: {e}"))?,
            stores: Vec::new(),
            gateways: Vec::new(),
            consoles: (0..gateways).map(|_| free()).collect::<Result<_, _>>()?,
            file,
            seed,
            begun: Instant::now(),
            seconds: Seconds::default(),
            loads: Vec::new(),
            behind: Arc::default(),
        };
        for at in 0..STORES {
            world.add(&format!("s-a{at}"), 0)?;
        }
        let entries: Vec<String> = world.stores.iter().map(|s| entry(s, "up")).collect();
        world.bulletin.roster(true, &entries);
        for at in 0..gateways {
            let gateway = world.gateway(at)?;
            world.gateways.push(Some(gateway));
        }
        world.begun = Instant::now();
        Ok(world)
    }

    fn add(&mut self, name: &str, born: Micros) -> Result<(), String> {
        let store =
            Store::wide(Duration::from_millis(SERVICE), 500, WORKERS).map_err(|e| format!("a box: {e}"))?;
        self.stores.push((name.into(), store, born));
        Ok(())
    }

    fn gateway(&self, at: usize) -> Result<Gateway, String> {
        let all = self.consoles.len();
        let peers: Vec<String> = self.relay.peers.iter().map(|(at, _)| format!("\"{at}\"")).collect();
        let entries: Vec<String> = self.stores[..STORES].iter().map(|s| entry(s, "up")).collect();
        let settings = SETTINGS
            .replace("\"upperColdMs\":21000", &format!("\"upperColdMs\":21000,\"zoneBalancers\":[0,{all}]"));
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":96}},"bulletin":"{}","console":"{}",
            "peer_listen":"{}","peers":[{}],
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
            "settings":{{"balancers":{all},"me":{at},{settings}}}}}"#,
            larchway::mix(self.seed ^ at as u64 ^ now() << 16),
            self.bulletin.address,
            self.consoles[at],
            self.relay.peers[at].1,
            peers.join(","),
            entries.join(","),
        );
        let servers: Vec<String> = self.keepers.servers.iter().map(|s| format!("\"{s}\"")).collect();
        let ensemble = format!(
            r#"{{"servers":[{}],"path":"/larchway","session_ms":{SESSION_MS},"gateways":true}}"#,
            servers.join(",")
        );
        let mut files = vec![("ensemble", ensemble)];
        files.extend(self.file.map(|text| ("fleet", text.to_string())));
        spawn(&self.dir, at, &config, &files)
    }

    /// Waits until so many ms of the script have gone.
    pub fn until(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms).saturating_sub(self.begun.elapsed()));
    }

    /// ms of the script that have gone.
    pub fn gone(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Kills these.
    pub fn kill(&mut self, who: &[usize]) {
        for at in who {
            if let Some(mut gateway) = self.gateways[*at].take() {
                gateway.kill();
            }
        }
    }

    /// Starts these again, with the list that they were configured with.
    pub fn back(&mut self, who: &[usize]) -> Result<(), String> {
        for at in who {
            self.gateways[*at] = Some(self.gateway(*at)?);
        }
        Ok(())
    }

    /// Has clients come to these gateways for so long, with so much of all that is asked.
    pub fn ask(&mut self, who: &[usize], share: f64, ms: u64) {
        let rate = capacity() * STORES as f64 * ASKED * share / who.len().max(1) as f64;
        let offset = self.begun.elapsed().as_secs() as usize;
        for at in who {
            let Some(gateway) = &self.gateways[*at] else { continue };
            let load = Load {
                gateway: *at as u8,
                rate,
                ttl_ms: 2000,
                aim_ms: 250,
                class: "history-files".into(),
                objects: OBJECTS,
                zipf: 0.0,
                writes: 0.0,
                span: ms * 1000,
                seed: larchway::mix(self.seed ^ (*at as u64) << 20 ^ ms),
                lines: (3, 2000),
            };
            let (front, seconds, behind) = (gateway.front, self.seconds.clone(), self.behind.clone());
            self.loads.push(std::thread::spawn(move || {
                if let Ok(told) = load::play(front, &load) {
                    let mut all = locked(&seconds);
                    let needed = offset + told.seconds.len();
                    if all.len() < needed {
                        all.resize(needed, (0, 0));
                    }
                    for (second, (asked, good)) in all[offset..].iter_mut().zip(&told.seconds) {
                        *second = (second.0 + asked, second.1 + good);
                    }
                    let mut most = locked(&behind);
                    *most = (*most).max(told.behind);
                }
            }));
        }
    }

    /// Replaces so many boxes by new, cold ones.
    fn replace(&mut self, from: usize, number: usize) -> Result<Vec<usize>, String> {
        let born = now();
        let mut entries = Vec::new();
        let first = self.stores.len();
        for at in from..from + number {
            self.add(&format!("s-new{born}-{at}"), born)?;
            entries.push(entry(&self.stores[self.stores.len() - 1], "up"));
            entries.push(entry(&self.stores[at], "draining"));
        }
        self.bulletin.roster(false, &entries);
        Ok((first..self.stores.len()).collect())
    }

    /// The most that came to a box within any second, over what it could do then.
    fn peak(&self, at: usize) -> f64 {
        let (_, store, born) = &self.stores[at];
        let times: Vec<Micros> = store.seen().iter().map(|s| s.at).collect();
        let warm = |at: Micros| {
            (COLD.0 + (1.0 - COLD.0) * (at.saturating_sub(*born) as f64 / 1000.0 / COLD.1 as f64)).min(1.0)
        };
        let (mut first, mut most) = (0, 0.0f64);
        for (last, until) in times.iter().enumerate() {
            while times[first] + 1_000_000 < *until {
                first += 1;
            }
            most = most.max((last + 1 - first) as f64 / (capacity() * warm(times[first])));
        }
        most
    }

    /// What a running gateway tells of the fleet.
    pub fn told(&self, at: usize) -> Option<Value> {
        self.gateways[at].as_ref()?;
        let (status, text) = call(self.consoles[at], "GET", "/ops/fleet", None).ok()?;
        (status == 200).then(|| serde_json::from_str(&text).ok()).flatten()
    }

    /// What all tell that run and are not among these: by number.
    pub fn all_told(&self, still: &[usize]) -> BTreeMap<usize, Value> {
        let running = (0..self.gateways.len()).filter(|at| !still.contains(at));
        running.filter_map(|at| Some((at, self.told(at)?))).collect()
    }

    fn worst(&self, from: usize, to: usize) -> f64 {
        let all = locked(&self.seconds);
        let share = |w: &[(u64, u64)]| {
            let (asked, good) = w.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            good as f64 / asked.max(1) as f64
        };
        let span = all.get(from..to.min(all.len())).unwrap_or_default();
        span.windows(10.min(span.len().max(1))).map(share).fold(1.0, f64::min)
    }
}

fn entry((name, store, born): &(String, Store, Micros), health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{}","site":"edge","class":"standard","health":"{health}","share":{WORKERS},"born_ms":{}}}"#,
        store.address,
        born / 1000
    )
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        for load in self.loads.drain(..) {
            let _ = load.join();
        }
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The members that a gateway takes for dead.
pub fn dead(told: &Value) -> Vec<usize> {
    let doubted = told["members"]["doubted"].as_array().cloned().unwrap_or_default();
    let dead = doubted.iter().filter(|d| d["verdict"] == "dead");
    dead.filter_map(|d| Some(d["member"].as_u64()? as usize)).collect()
}

/// The sum of the shares in use.
pub fn shares(told: &BTreeMap<usize, Value>) -> f64 {
    told.values().filter_map(|t| t["lease"]["share_near"].as_f64()).sum()
}

/// What a way of running it has shown.
#[derive(Default)]
struct Shown {
    name: &'static str,
    false_removals: Vec<(usize, usize, u64)>,
    most_shares: f64,
    samples: usize,
    one_known: Option<u64>,
    most_known: Option<u64>,
    taken_up: Option<u64>,
    back: Option<u64>,
    /// Datagrams a second of one gateway, in the mean: in calm and under loss.
    calm: f64,
    trouble: f64,
    longest: u64,
    cold: [f64; 2],
    worst: f64,
    service: f64,
    behind: Micros,
}

impl Shown {
    /// Looks at all that run, as long as the script says, or until what is wanted holds; returns when that was.
    fn watch(
        &mut self,
        world: &World,
        until: u64,
        gone: &[usize],
        still: &[usize],
        wanted: impl Fn(&BTreeMap<usize, Value>) -> bool,
    ) -> Option<u64> {
        let mut found = None;
        while world.gone() < until {
            let told = world.all_told(still);
            self.samples += 1;
            self.most_shares = self.most_shares.max(shares(&told));
            for (by, told) in &told {
                for who in dead(told).into_iter().filter(|who| !gone.contains(who)) {
                    self.false_removals.push((*by, who, world.gone()));
                }
            }
            if found.is_none() && !told.is_empty() && wanted(&told) {
                found = Some(world.gone());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        found
    }
}

/// The script; times in ms.
fn way(name: &'static str, file: Option<&'static str>, gateways: usize, seed: u64) -> Result<Shown, String> {
    let mut world = World::start(name, gateways, file, seed)?;
    let mut shown = Shown { name, ..Shown::default() };
    let all: Vec<usize> = (0..gateways).collect();
    let most: Vec<usize> = all.iter().copied().filter(|n| n % 10 < 7).collect();
    let rest: Vec<usize> = all.iter().copied().filter(|n| n % 10 >= 7).collect();
    let one = gateways / 2 + 1;
    let others: Vec<usize> = all.iter().copied().filter(|n| *n != one).collect();
    let anything = |_: &BTreeMap<usize, Value>| false;
    world.ask(&others, 1.0, 39_800);
    let mean = |world: &World, from: &[u64], ms: u64| {
        let sent: u64 = world.relay.sent().iter().zip(from).map(|(now, from)| now - from).sum();
        sent as f64 / gateways as f64 / (ms as f64 / 1000.0)
    };
    // Calm, then losses, pauses under the bound, and links cut one way.
    shown.watch(&world, 4000, &all, &[], anything);
    let (sent, at) = (world.relay.sent(), world.gone());
    shown.watch(&world, 8000, &[], &[], anything);
    shown.calm = mean(&world, &sent, world.gone() - at);
    let plan = Plan::read(&format!(
        r#"{{"seed":{seed},"members":{gateways},"for_ms":60000,"faults":[
        {{"at_ms":0,"for_ms":8000,"what":"loss","from":"all","to":"all","share":0.3}},
        {{"at_ms":12000,"for_ms":7000,"what":"cut","from":"all","to":[5]}},
        {{"at_ms":12000,"for_ms":7000,"what":"cut","from":{{"from":0,"to":{}}},"to":[{}]}},
        {{"at_ms":12000,"for_ms":7000,"what":"flap","from":"all","to":[3],"period_ms":1000}},
        {{"at_ms":12000,"for_ms":7000,"what":"flap","from":[3],"to":"all","period_ms":1000}}]}}"#,
        gateways / 2,
        gateways - 1,
    ))?;
    world.relay.plan(plan);
    let (sent, at) = (world.relay.sent(), world.gone());
    shown.watch(&world, 16_000, &[], &[], anything);
    shown.trouble = mean(&world, &sent, world.gone() - at);
    let still = [1, 2, gateways - 2];
    let signal = |world: &World, name: &str| -> Result<(), String> {
        still.iter().filter_map(|at| world.gateways[*at].as_ref()).try_for_each(|g| g.signal(name))
    };
    world.until(17_000);
    signal(&world, "STOP")?;
    shown.watch(&world, 18_900, &[], &still, anything);
    signal(&world, "CONT")?;
    shown.watch(&world, 28_000, &[], &[], anything);
    // One is killed, and comes back.
    world.kill(&[one]);
    let killed = world.gone();
    let known = shown.watch(&world, 34_000, &[one], &[], |told| told.values().all(|t| dead(t) == [one]));
    shown.one_known = known.map(|at| at - killed);
    world.back(&[one])?;
    shown.watch(&world, 39_500, &[one], &[], anything);
    world.until(40_000);
    // Seven in ten are killed, their clients go to the rest; half of the boxes are replaced by cold ones.
    world.kill(&most);
    let killed = world.gone();
    world.ask(&rest, 1.0, 25_500);
    let known = |told: &BTreeMap<usize, Value>| told.values().all(|t| dead(t).len() >= most.len().min(64));
    let target = 0.9 * (0.5 / gateways as f64 + 0.5 / rest.len() as f64);
    let held = |t: &Value| t["lease"]["share_near"].as_f64().is_some_and(|share| share >= target);
    let (mut known_at, mut taken) = (None, None);
    let mut follow = |shown: &mut Shown, world: &World, until: u64| {
        while world.gone() < until {
            let known_now = shown.watch(world, world.gone() + 100, &most, &[], known);
            known_at = known_at.or(known_now);
            let told = world.all_told(&[]);
            if taken.is_none() && !told.is_empty() && told.values().all(held) {
                taken = Some(world.gone());
            }
        }
    };
    follow(&mut shown, &world, 43_500);
    let cold = world.replace(0, STORES / 2)?;
    follow(&mut shown, &world, 54_000);
    shown.most_known = known_at.map(|at| at - killed);
    shown.taken_up = taken.map(|at| at - killed);
    // They come back, and two more boxes begin cold.
    let returned = world.gone();
    world.back(&most)?;
    let late = world.replace(STORES / 2, 2)?;
    let back = |told: &BTreeMap<usize, Value>| {
        told.len() == gateways && told.values().all(|t| dead(t).is_empty() && t["lease"]["held"] == true)
    };
    shown.back = shown.watch(&world, 65_000, &most, &[], back).map(|at| at - returned);
    shown.longest = world.relay.longest();
    for load in world.loads.drain(..) {
        let _ = load.join();
    }
    let peak = |boxes: &[usize]| boxes.iter().map(|at| world.peak(*at)).fold(0.0, f64::max);
    shown.cold = [peak(&cold), peak(&late)];
    shown.worst = world.worst(1, 65);
    let (asked, good) = locked(&world.seconds).iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    shown.service = good as f64 / asked.max(1) as f64;
    shown.behind = *locked(&world.behind);
    Ok(shown)
}

/// The file that the trial gives its gateways.
pub const FILE: &str = "{}";

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let cases = ["fleet", "before", "model"];
    if let Some(case) = only.filter(|case| !cases.contains(case)) {
        return Err(format!("there is no case {case:?}; there are: {}", cases.join(", ")));
    }
    let wanted = |case: &str| only.is_none_or(|only| only == case);
    let (mut table, mut ways, mut broken) = (String::new(), Vec::new(), Vec::new());
    let mut model = Value::Null;
    if wanted("model") {
        model = play_model(seed, &mut table, &mut broken)?;
    }
    let mut worst = BTreeMap::new();
    for (name, file) in [("before", None), ("fleet", Some(FILE))] {
        if !wanted(name) {
            continue;
        }
        let shown = way(name, file, 60, seed)?;
        worst.insert(name, shown.worst);
        let ms = |ms: Option<u64>| ms.map_or("-".into(), |ms| format!("{ms}"));
        let _ = writeln!(
            table,
            "{:<7} false removals {}  one known dead {} ms  seven in ten known dead {} ms, shares taken up {} ms, back {} ms\n        \
             shares at most {:.3} in {} samples  cold boxes {:.2} {:.2}  worst 10 s {:.4}  service {:.4}\n        \
             datagrams {:.1} in calm, {:.1} with losses, longest {} bytes",
            shown.name,
            shown.false_removals.len(),
            ms(shown.one_known),
            ms(shown.most_known),
            ms(shown.taken_up),
            ms(shown.back),
            shown.most_shares,
            shown.samples,
            shown.cold[0],
            shown.cold[1],
            shown.worst,
            shown.service,
            shown.calm,
            shown.trouble,
            shown.longest,
        );
        let mut bound = |holds: bool, what: String| {
            if !holds {
                broken.push(format!("{name}: {what}"));
            }
        };
        bound(
            shown.behind < 500_000,
            format!("the senders ran {} ms late: play it on a quieter machine", shown.behind / 1000),
        );
        if file.is_some() {
            let first = shown.false_removals.first();
            bound(first.is_none(), format!("{} false removals, first {first:?}", shown.false_removals.len()));
            bound(
                shown.one_known.is_some_and(|ms| ms <= 5000),
                "one killed is not known dead within 5 s".into(),
            );
            bound(
                shown.most_known.is_some_and(|ms| ms <= 6000),
                "seven in ten killed are not known dead within 6 s".into(),
            );
            let most = SESSION_MS + 3000;
            bound(
                shown.taken_up.is_some_and(|ms| ms <= most + 500),
                format!("shares are not taken up within {most} ms of the kill"),
            );
            bound(shown.most_shares <= 1.0 + 1e-6, format!("shares sum to {:.4}", shown.most_shares));
            for cold in shown.cold {
                bound(cold <= 1.0, format!("a cold box got {cold:.2} times what it can do"));
            }
            bound(shown.longest <= 256, format!("a datagram of {} bytes", shown.longest));
            bound(
                shown.calm <= 6.0 && shown.trouble <= 12.0,
                format!("{:.1} and {:.1} datagrams a second", shown.calm, shown.trouble),
            );
            if let Some(before) = worst.get("before") {
                bound(
                    shown.worst >= *before - 0.01,
                    format!("worst 10 s {:.4}, {before:.4} before", shown.worst),
                );
            }
        }
        ways.push(json!({
            "way": shown.name, "false_removals": shown.false_removals.len(), "one_known_ms": shown.one_known,
            "most_known_ms": shown.most_known, "taken_up_ms": shown.taken_up, "back_ms": shown.back,
            "most_shares": shown.most_shares, "samples": shown.samples, "cold": shown.cold, "worst_10_s": shown.worst,
            "service": shown.service, "datagrams_calm": shown.calm, "datagrams_loss": shown.trouble,
            "longest": shown.longest, "sender_behind_us": shown.behind,
        }));
    }
    Ok(Outcome { table, figures: json!({ "seed": seed, "ways": ways, "model": model }), broken })
}

/// The worlds of the model: what happens, and the faults.
fn worlds(members: usize) -> Vec<(&'static str, String)> {
    let most: Vec<usize> = (0..members).filter(|n| n % 10 < 7).collect();
    let one = members / 2;
    let loss = r#"{"at_ms":1000,"for_ms":39000,"what":"loss","from":"all","to":"all","share":0.3}"#;
    vec![
        ("calm", String::new()),
        ("30 % lost", loss.into()),
        ("pause of 2 s", format!(r#"{{"at_ms":9000,"for_ms":2000,"what":"pause","who":[{one},1]}}"#)),
        (
            "one hears nothing",
            format!(r#"{{"at_ms":9000,"for_ms":20000,"what":"cut","from":"all","to":[{one}]}}"#),
        ),
        ("one killed", format!(r#"{{"at_ms":9000,"what":"kill","who":[{one}]}}"#)),
        ("seven in ten killed", format!(r#"{{"at_ms":9000,"what":"kill","who":{most:?}}}"#)),
    ]
}

fn play_model(seed: u64, table: &mut String, broken: &mut Vec<String>) -> Result<Value, String> {
    let _ = writeln!(
        table,
        "{:<11} {:>7} {:<20} {:>6} {:>22} {:>8} {:>9} {:>9}",
        "model", "members", "world", "false", "known dead ms: half/all", "unknown", "datagrams", "bytes"
    );
    let mut figures = Vec::new();
    for members in [3, 30, 300, 1000] {
        for (world, faults) in worlds(members) {
            let text = format!(r#"{{"seed":{seed},"members":{members},"for_ms":40000,"faults":[{faults}]}}"#);
            let plan = Plan::read(&text)?;
            // All tell all is a million datagrams a second at 1,000: it is played up to 300.
            let all = (members <= 300).then(|| world::play(&plan, Heartbeats::new));
            let shown: [(&str, Option<Seen>); 3] = [
                ("own", Some(world::play(&plan, Own::new))),
                ("swim", Some(world::play(&plan, Swim::new))),
                ("heartbeats", all),
            ];
            for (way, seen) in shown.into_iter().filter_map(|(way, seen)| Some((way, seen?))) {
                let mut known = seen.known_ms.clone();
                known.sort_unstable();
                let quantiles = match known.last() {
                    Some(last) => format!("{}/{last}", known[known.len() / 2]),
                    None => "-".into(),
                };
                let _ = writeln!(
                    table,
                    "{way:<11} {members:>7} {world:<20} {:>6} {quantiles:>22} {:>8} {:>9.1} {:>9.0}",
                    seen.false_removals, seen.unknown, seen.datagrams, seen.bytes
                );
                if way == "own" && (seen.false_removals > 0 || seen.longest > 256) {
                    broken.push(format!(
                        "model, {members} members, {world}: {} false removals",
                        seen.false_removals
                    ));
                }
                figures.push(json!({ "way": way, "members": members, "world": world, "seen": seen }));
            }
        }
    }
    Ok(Value::Array(figures))
}
