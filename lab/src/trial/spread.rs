//! `trial spread`: a tier of many gateways before a dozen boxes, each gateway with a sliver of the traffic, under faults
//! between them; with the fleet's view, as without it, and what the plain hash would give, side by side.
use super::fleet::{spawn, Gateway};
use super::Outcome;
use crate::clock::now;
use crate::load::{self, Load, Tally};
use crate::stand::bulletin::Bulletin;
use crate::stand::relay::Relay;
use crate::stand::store::{Mode, Store};
use larchway_keeper::Micros;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const STORES: usize = 12;
/// Requests at a time and ms of each: what a box can do.
pub(super) const WORKERS: usize = 4;
pub(super) const SERVICE: u64 = 12;
/// Share of all boxes' capacity that is asked for.
const ASKED: f64 = 0.45;
const OBJECTS: u64 = 20_000;
const ZIPF: f64 = 0.9;
/// A cold box: from which share, in how many ms, and the times what it can do that push it over within a second.
const COLD: (f64, u64, f64) = (0.3, 10_000, 2.0);

/// The settings of trials with boxes like these.
pub(super) const SETTINGS: &str = r#""familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0],
 "lifetimeByClassMs":[0],"mayPassBy":true,"neverKept":[false],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,"mayDuplicate":true,"peers":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],"report":{"fields":["util"]},
 "rules":{"fallMs":1000,"fallMultiple":2.0,"startCapacity":0.3,"stopSendingWithinMs":500,"warmWithinMs":10000},
 "services":[{"aimStretch":2,"deadlineMs":2000,"effect":"pure","name":"history-files","targetMs":250}],
 "weightKind":"nominal","zones":["east","edge"]"#;

/// Requests a second that a box can do.
pub(super) fn capacity() -> f64 {
    WORKERS as f64 * 1000.0 / SERVICE as f64
}

/// A span of the script in which nothing changes, and what is seen of it: boxes' load over what they can do.
#[derive(Debug, Clone)]
pub struct Seen {
    /// What it is.
    pub what: &'static str,
    /// Each box's load over what it can do, those that are out left out.
    pub loads: Vec<f64>,
}

impl Seen {
    fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }
    /// The largest over the mean.
    pub fn most(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) / self.mean().max(1e-9)
    }
    /// Boxes under 0.3 of the mean.
    pub fn idle(&self) -> usize {
        self.loads.iter().filter(|l| **l < 0.3 * self.mean()).count()
    }
    fn variation(&self) -> f64 {
        let mean = self.mean();
        let squares = self.loads.iter().map(|l| (l - mean).powi(2)).sum::<f64>();
        (squares / self.loads.len().max(1) as f64).sqrt() / mean.max(1e-9)
    }
}

/// A tier on loopback.
pub struct World {
    dir: PathBuf,
    bulletin: Bulletin,
    stores: Vec<(String, Store, Micros)>,
    relay: Relay,
    gateways: Vec<Gateway>,
    file: Option<&'static str>,
    seed: u64,
    rate: f64,
    tally: Arc<Mutex<Tally>>,
    loads: Vec<std::thread::JoinHandle<()>>,
}

impl World {
    /// Starts so many gateways, with this file of the load's spread or without one.
    pub fn start(name: &str, gateways: usize, file: Option<&'static str>, seed: u64) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-spread-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let bulletin = Bulletin::start().map_err(|e| format!("the bulletin: {e}"))?;
        let relay = Relay::start(gateways, seed).map_err(|e| format!("the relay: {e}"))?;
        let rate = capacity() * STORES as f64 * ASKED / gateways as f64;
        let mut world = World {
            dir,
            bulletin,
            stores: Vec::new(),
            relay,
            gateways: Vec::new(),
            file,
            seed,
            rate,
            tally: Arc::new(Mutex::new(Tally::none())),
            loads: Vec::new(),
        };
        for at in 0..STORES {
            world.add(&format!("s-a{at}"), 0)?;
        }
        world.bulletin.roster(true, &world.entries());
        for at in 0..gateways {
            let gateway = world.gateway(at, gateways)?;
            world.gateways.push(gateway);
        }
        Ok(world)
    }

    fn add(&mut self, name: &str, born: Micros) -> Result<(), String> {
        let store =
            Store::wide(Duration::from_millis(SERVICE), 500, WORKERS).map_err(|e| format!("a box: {e}"))?;
        self.stores.push((name.into(), store, born));
        Ok(())
    }

    fn entry(&self, (name, store, born): &(String, Store, Micros)) -> String {
        format!(
            r#"{{"host":"{name}","dial":"{}","site":"edge","class":"standard","health":"up","share":{WORKERS},"born_ms":{}}}"#,
            store.address,
            born / 1000
        )
    }

    fn entries(&self) -> Vec<String> {
        self.stores.iter().map(|s| self.entry(s)).collect()
    }

    fn gateway(&self, at: usize, all: usize) -> Result<Gateway, String> {
        let peers: Vec<String> = self.relay.peers.iter().map(|(at, _)| format!("\"{at}\"")).collect();
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":96}},"bulletin":"{}","peer_listen":"{}","peers":[{}],
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
            "settings":{{"balancers":{all},"me":{at},{}}}}}"#,
            larchway::mix(self.seed ^ at as u64 ^ now() << 16),
            self.bulletin.address,
            self.relay.peers[at].1,
            peers.join(","),
            self.entries().join(","),
            SETTINGS.replace(
                "\"upperColdMs\":21000",
                &format!("\"upperColdMs\":21000,\"zoneBalancers\":[0,{all}]")
            )
        );
        let files: Vec<(&str, String)> = self.file.iter().map(|text| ("spread", text.to_string())).collect();
        spawn(&self.dir, at, &config, &files)
    }

    /// Has clients come to these gateways for so long.
    pub fn ask(&mut self, from: usize, ms: u64) {
        for gateway in &self.gateways[from..] {
            let load = Load {
                gateway: gateway.at as u8,
                rate: self.rate,
                ttl_ms: 2000,
                aim_ms: 250,
                class: "history-files".into(),
                objects: OBJECTS,
                zipf: ZIPF,
                writes: 0.0,
                span: ms * 1000,
                seed: larchway::mix(self.seed ^ (gateway.at as u64) << 20 ^ ms),
                lines: (2, 3000),
            };
            let (front, tally) = (gateway.front, self.tally.clone());
            self.loads.push(std::thread::spawn(move || {
                // One whose gateway is killed ends with it.
                if let Ok(told) = load::play(front, &load) {
                    tally.lock().unwrap_or_else(PoisonError::into_inner).add(&told);
                }
            }));
        }
    }

    /// Datagrams that have passed between the gateways.
    pub fn passed(&self) -> u64 {
        self.relay.passed()
    }

    /// Sets what is lost and delayed of the peers' datagrams.
    pub fn peers(&self, lost: f64, delay_ms: u32) {
        self.relay.set(lost, delay_ms);
    }

    /// What boxes carry from now on for so long.
    pub fn seen(&self, what: &'static str, ms: u64) -> Seen {
        let from = now();
        std::thread::sleep(Duration::from_millis(ms));
        let until = now();
        let of = |store: &Store| store.seen().iter().filter(|s| (from..until).contains(&s.at)).count();
        let span = (until - from) as f64 / 1e6;
        let loads = self.stores.iter().map(|(_, s, _)| of(s) as f64 / span / capacity()).collect();
        Seen { what, loads }
    }

    /// What boxes carried in each second from a time on.
    fn by_second(&self, from: Micros) -> Vec<Seen> {
        let last = (now().saturating_sub(from) / 1_000_000) as usize;
        let mut all = vec![Seen { what: "second", loads: vec![0.0; self.stores.len()] }; last];
        for (at, (_, store, _)) in self.stores.iter().enumerate() {
            for seen in store.seen().iter().filter(|s| s.at >= from) {
                if let Some(second) = all.get_mut(((seen.at - from) / 1_000_000) as usize) {
                    second.loads[at] += 1.0 / capacity();
                }
            }
        }
        all
    }

    /// The most that came to a box within any second from a time on, over what it could do then.
    fn peak(&self, at: usize, from: Micros) -> f64 {
        let (_, store, born) = &self.stores[at];
        let times: Vec<Micros> = store.seen().iter().map(|s| s.at).filter(|at| *at >= from).collect();
        let warm = |at: Micros| match *born {
            0 => 1.0,
            born => {
                (COLD.0 + (1.0 - COLD.0) * (at.saturating_sub(born) as f64 / 1000.0 / COLD.1 as f64)).min(1.0)
            }
        };
        let mut first = 0;
        let mut most = 0.0f64;
        for (last, until) in times.iter().enumerate() {
            while times[first] + 1_000_000 < *until {
                first += 1;
            }
            most = most.max((last + 1 - first) as f64 / (capacity() * warm(times[first])));
        }
        most
    }
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

/// What a way of running it has shown.
struct Shown {
    name: String,
    spans: Vec<Seen>,
    joined: f64,
    returned: f64,
    service: f64,
    datagrams: u64,
    behind: Micros,
    /// By second of the script, each box's load over what it can do.
    seconds: Vec<Seen>,
}

fn way(name: &str, gateways: usize, file: Option<&'static str>, seed: u64) -> Result<Shown, String> {
    let mut world = World::start(name, gateways, file, seed)?;
    let (begun, start) = (Instant::now(), now());
    let until = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    world.peers(0.2, 19);
    world.ask(0, 70_000);
    until(20_000);
    let mut spans = vec![world.seen("steady, 20 % lost", 8000)];
    // Half of the gateways are killed, and come back with their last list; their clients come again.
    let half = gateways / 2;
    for at in half..gateways {
        world.gateways[at].kill();
    }
    world.gateways.truncate(half);
    until(30_000);
    for at in half..gateways {
        let gateway = world.gateway(at, gateways)?;
        world.gateways.push(gateway);
    }
    world.ask(half, 38_000);
    until(38_000);
    spans.push(world.seen("half returned", 4000));
    // A box falls silent, and goes on as if nothing had been.
    world.stores[0].1.set(Mode::Silent);
    std::thread::sleep(Duration::from_millis(3000));
    let back = now();
    world.stores[0].1.set(Mode::Up);
    std::thread::sleep(Duration::from_millis(2500));
    // A cold one joins.
    let joined = now();
    world.add("s-new", joined)?;
    world.bulletin.roster(false, &[world.entry(&world.stores[STORES])]);
    until(58_000);
    // Nothing passes between the gateways, and stores report late.
    world.peers(1.0, 0);
    world.stores.iter().for_each(|(_, store, _)| store.report_late(4));
    until(62_000);
    spans.push(world.seen("all lost, reports 2 s late", 7000));
    let (peak_new, peak_back) = (world.peak(STORES, joined), world.peak(0, back));
    for load in world.loads.drain(..) {
        let _ = load.join();
    }
    let tally = world.tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(Shown {
        name: name.into(),
        spans,
        joined: peak_new,
        returned: peak_back,
        service: tally.service(),
        datagrams: world.relay.passed(),
        behind: tally.behind,
        seconds: world.by_second(start),
    })
}

/// What the plain hash would give each box, by the popularity of what is asked for.
fn plain() -> Seen {
    let names: Vec<u64> =
        (0..STORES).map(|at| larchway_gateway::bulletin::store_id(&format!("s-a{at}"))).collect();
    let mut loads = vec![0.0; STORES];
    let shares: Vec<f64> = (1..=OBJECTS).map(|n| (n as f64).powf(-ZIPF)).collect();
    let all: f64 = shares.iter().sum();
    for (n, share) in (1..=OBJECTS).zip(&shares) {
        let key = larchway::mix(larchway::mix(n) ^ larchway::mix(1));
        let place = |at: &usize| larchway::place(key, names[*at], WORKERS as f64);
        let home = (0..STORES).min_by(|a, b| place(a).total_cmp(&place(b))).unwrap_or(0);
        loads[home] += share / all * STORES as f64 * ASKED;
    }
    Seen { what: "steady, as computed", loads }
}

/// The file that the trial gives its gateways.
pub const FILE: &str = r#"{"field":"util","period_ms":500,"fanout":2}"#;

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let ways = [("view-200", 200, Some(FILE)), ("alone-200", 200, None), ("view-20", 20, Some(FILE))];
    if let Some(case) = only.filter(|case| !ways.iter().any(|w| w.0 == *case)) {
        return Err(format!("there is no case {case:?}; there are: view-200, alone-200, view-20"));
    }
    let mut table = format!(
        "{:<10} {:<28} {:>8} {:>9} {:>5} {:>7} {:>9} {:>8}\n",
        "way", "span", "max/mean", "variation", "idle", "joined", "returned", "service"
    );
    let (mut figures, mut broken) = (Vec::new(), Vec::new());
    let hash = plain();
    let _ = writeln!(
        table,
        "{:<10} {:<28} {:>8.3} {:>9.3} {:>5}",
        "plain hash",
        hash.what,
        hash.most(),
        hash.variation(),
        hash.idle()
    );
    for (name, gateways, file) in ways.into_iter().filter(|w| only.is_none_or(|case| case == w.0)) {
        let shown = way(name, gateways, file, seed)?;
        for (at, span) in shown.spans.iter().enumerate() {
            let _ = write!(
                table,
                "{:<10} {:<28} {:>8.3} {:>9.3} {:>5}",
                if at == 0 { name } else { "" },
                span.what,
                span.most(),
                span.variation(),
                span.idle()
            );
            let rest = format!(" {:>7.2} {:>9.2} {:>8.4}", shown.joined, shown.returned, shown.service);
            let _ = writeln!(table, "{}", if at == 0 { &rest } else { "" });
        }
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
            for (span, most) in shown.spans.iter().zip([1.15, 1.3, 1.3]) {
                bound(
                    span.most() <= most,
                    format!("{}: max/mean {:.3}, over {most}", span.what, span.most()),
                );
                bound(span.idle() == 0, format!("{}: {} idle", span.what, span.idle()));
            }
            bound(
                shown.joined <= COLD.2,
                format!("the joined box got {:.2} times what it can do", shown.joined),
            );
            bound(
                shown.returned <= COLD.2,
                format!("the returned box got {:.2} times what it can do", shown.returned),
            );
        }
        figures.push(told(&shown));
    }
    Ok(Outcome {
        table,
        figures: json!({ "seed": seed, "plain_max_over_mean": hash.most(), "ways": figures }),
        broken,
    })
}

fn told(shown: &Shown) -> Value {
    let one = |s: &Seen| json!({ "max_over_mean": s.most(), "variation": s.variation(), "idle": s.idle() });
    let seconds: Vec<Value> = shown.seconds.iter().map(one).collect();
    let spans: Vec<Value> = shown
        .spans
        .iter()
        .map(|s| {
            json!({ "span": s.what, "max_over_mean": s.most(), "variation": s.variation(), "idle": s.idle(), "loads": s.loads })
        })
        .collect();
    json!({
        "way": shown.name, "spans": spans, "seconds": seconds, "joined_peak": shown.joined, "returned_peak": shown.returned,
        "service": shown.service, "datagrams": shown.datagrams, "sender_behind_us": shown.behind,
    })
}
