//! `trial upgrade`: ten upgrades of one gateway under load, with stores taken out by hand and drained in between, on
//! real processes and sockets, against the same load and the same calls with no upgrade.
use super::Outcome;
use crate::clock::now;
use crate::load::{self, Load, Tally};
use crate::stand::bulletin::Bulletin;
use crate::stand::store::Store;
use larchway_keeper::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const UPGRADES: usize = 10;
const RATE: f64 = 150.0;
/// ms: the first upgrade, and from one to the next.
const FIRST: u64 = 1500;
const EVERY: u64 = 2600;
/// ms: the client's wait, which is the longest deadline, and what the platform adds before it kills.
const TTL: u64 = 1000;
const ADDED: u64 = 700;
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 512;
/// µs after word of a drain from which nothing new may go there.
const GRACE: Micros = 1_050_000;
const CACHES: [&str; 4] = ["s-a0", "s-a1", "s-a2", "s-a3"];
const OTHERS: [(&str, &str); 3] = [("s-b0", "parent"), ("s-b1", "parent"), ("s-c0", "origin")];

const SETTINGS: &str = r#"{"balancers":1,"familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0,0],
 "lifetimeByClassMs":[0,0],"mayPassBy":true,"neverKept":[false,true],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,1]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":1.6,"deadlineMs":1000,"effect":"pure","name":"history-files","targetMs":150},
 {"deadlineMs":1000,"effect":"token","group":"all","name":"bid-submit","targetMs":300,"windowMs":3000}],
 "weightKind":"rough","zones":["east","edge"]}"#;

struct Process {
    child: Child,
    console: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address that nobody has now. Another process may take it meanwhile; then the trial says that it cannot start.
pub fn free() -> Result<SocketAddr, String> {
    let found = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    found.map_err(|e| format!("an address: {e}"))
}

/// A call on the console: its status and text.
pub fn call(
    console: SocketAddr,
    method: &str,
    path: &str,
    who: Option<&str>,
) -> Result<(u16, String), String> {
    let body = who.map_or(String::new(), |w| json!({ "who": w }).to_string());
    let asked = || -> std::io::Result<String> {
        let patience = Some(Duration::from_secs(1));
        let mut stream = TcpStream::connect_timeout(&console, Duration::from_secs(1))?;
        stream.set_read_timeout(patience)?;
        let length = body.len();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{body}")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = asked().map_err(|e| format!("{method} {path}: {e}"))?;
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok((status, answer.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_string())))
}

/// Memory (KB) and descriptors of a process now.
fn held(pid: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let memory = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    (memory, std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64))
}

/// Watches the processes that are there, and keeps the most that they held together.
#[derive(Clone, Default)]
struct Watch {
    pids: Arc<Mutex<Vec<u32>>>,
    peak: Arc<Mutex<(u64, u64)>>,
}

impl Watch {
    fn run(&self, over: &AtomicBool) {
        while !over.load(Ordering::Relaxed) {
            let pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let sum = pids.into_iter().map(held).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            let mut peak = self.peak.lock().unwrap_or_else(PoisonError::into_inner);
            *peak = (peak.0.max(sum.0), peak.1.max(sum.1));
            drop(peak);
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    fn set(&self, pids: Vec<u32>) {
        *self.pids.lock().unwrap_or_else(PoisonError::into_inner) = pids;
    }
}

/// A time in which a store was to get nothing new, and from whom that word came.
struct Out {
    who: String,
    from: Micros,
    until: Micros,
    by_hand: bool,
}

struct World {
    dir: PathBuf,
    front: SocketAddr,
    bulletin: Bulletin,
    stores: BTreeMap<String, (&'static str, Store)>,
    seed: u64,
    started: u64,
}

impl World {
    fn new(seed: u64, way: &str) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-upgrade-{way}", std::process::id()));
        std::fs::create_dir_all(dir.join("tmp")).map_err(|e| format!("{}: {e}", dir.display()))?;
        let bulletin = Bulletin::start().map_err(|e| format!("the bulletin: {e}"))?;
        let mut stores = BTreeMap::new();
        for (name, class) in CACHES.iter().map(|n| (*n, "standard")).chain(OTHERS) {
            let store = Store::start(Duration::from_millis(4), 20_000).map_err(|e| format!("a box: {e}"))?;
            stores.insert(name.to_string(), (class, store));
        }
        let world = World { dir, front: free()?, bulletin, stores, seed, started: 0 };
        world.bulletin.roster(true, &world.entries());
        Ok(world)
    }

    fn entry(&self, name: &str, health: &str) -> String {
        let (class, store) = &self.stores[name];
        let site = if *class == "standard" { "edge" } else { "east" };
        format!(
            r#"{{"host":"{name}","dial":"{}","site":"{site}","class":"{class}","health":"{health}","share":4,"born_ms":0}}"#,
            store.address
        )
    }

    fn entries(&self) -> Vec<String> {
        self.stores.keys().map(|name| self.entry(name, "up")).collect()
    }

    /// Starts a process of the gateway and waits for its yes: the process, and how long that took.
    fn start(&mut self) -> Result<(Process, Duration), String> {
        self.started += 1;
        let console = free()?;
        let path = self.dir.join(format!("config-{}.json", self.started));
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"bulletin":"{}","console":"{console}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},"settings":{SETTINGS}}}"#,
            self.seed + self.started,
            self.bulletin.address,
            self.entries().join(",")
        );
        std::fs::write(&path, config).map_err(|e| format!("{}: {e}", path.display()))?;
        let own = std::env::current_exe().map_err(|e| format!("the own program: {e}"))?;
        let log = std::fs::File::create(self.dir.join(format!("log-{}", self.started)));
        let begun = Instant::now();
        let child = Command::new(own)
            .arg("daemon")
            .env("EDGE_CONFIG", &path)
            .env("EDGE_NAME", "g0")
            .env("EDGE_LISTEN", self.front.to_string())
            .env("TMPDIR", self.dir.join("tmp"))
            .env_remove("EDGE_CONSOLE")
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .map_err(|e| format!("a gateway: {e}"))?;
        let process = Process { child, console };
        loop {
            if matches!(call(console, "GET", "/ops/readiness", None), Ok((200, _))) {
                return Ok((process, begun.elapsed()));
            }
            if begun.elapsed() > Duration::from_secs(6) {
                return Err(format!("process {} is not ready: see {}", self.started, self.dir.display()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// What a way of running it has shown.
struct Shown {
    tally: Tally,
    outs: usize,
    broken: Vec<String>,
    doubled_writes: usize,
    ready_ms: u64,
    killed: u64,
    late_calls: u64,
    memory_kb: u64,
    descriptors: u64,
}

fn wait_until(begun: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
}

/// Plays a way: with upgrades, or with the same calls on one process.
fn way(seed: u64, upgrades: bool, name: &str) -> Result<Shown, String> {
    let mut world = World::new(seed, name)?;
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x75_70_67);
    let (mut process, _) = world.start()?;
    let span = (FIRST + EVERY * UPGRADES as u64 + 1000) * 1000;
    let load = Load {
        gateway: 1,
        rate: RATE,
        ttl_ms: TTL,
        aim_ms: 150,
        class: "history-files".into(),
        objects: 400,
        zipf: 0.9,
        writes: 0.1,
        span,
        seed: seed * 31,
        lines: (load::CONNECTIONS, load::OFTEN),
    };
    let (watch, over) = (Watch::default(), Arc::new(AtomicBool::new(false)));
    watch.set(vec![process.child.id()]);
    let watching = {
        let (watch, over) = (watch.clone(), over.clone());
        std::thread::spawn(move || watch.run(&over))
    };
    let front = world.front;
    let clients = std::thread::spawn(move || load::play(front, &load));
    let begun = Instant::now();
    let (mut outs, mut broken): (Vec<Out>, Vec<String>) = (Vec::new(), Vec::new());
    let (mut ready_ms, mut killed, mut late_calls) = (0, 0, 0);
    let mut told = |console, path: &str, who: &str| -> Micros {
        let at = Instant::now();
        let answer = call(console, "PUT", path, Some(who));
        if !matches!(answer, Ok((200, _))) || at.elapsed() > Duration::from_secs(1) {
            late_calls += 1;
        }
        now()
    };
    for round in 0..UPGRADES {
        wait_until(begun, FIRST + EVERY * round as u64);
        let out = CACHES[random.random_range(0..CACHES.len())];
        let drained = CACHES[(CACHES.iter().position(|c| *c == out).unwrap_or(0) + 1) % CACHES.len()];
        // By turns the old process is called before the new one starts, and the new one while both are there.
        let before = round % 2 == 0;
        let mut from = if before { told(process.console, "/ops/stores/down", out) } else { 0 };
        if round % 3 == 0 {
            world.bulletin.roster(false, &[world.entry(drained, "draining")]);
        }
        let drain_from = now();
        let mut old = None;
        if upgrades {
            let (new, took) = world.start()?;
            ready_ms = ready_ms.max(took.as_millis() as u64);
            watch.set(vec![process.child.id(), new.child.id()]);
            old = Some(std::mem::replace(&mut process, new));
        }
        if !before {
            from = told(process.console, "/ops/stores/down", out);
        }
        if let Some(mut old) = old {
            let line = format!("kill -TERM {}", old.child.id());
            Command::new("sh").args(["-c", &line]).status().map_err(|e| format!("kill: {e}"))?;
            let end = Instant::now() + Duration::from_millis(TTL + ADDED);
            while old.child.try_wait().map_err(|e| format!("a gateway: {e}"))?.is_none() {
                if Instant::now() > end {
                    killed += 1;
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        watch.set(vec![process.child.id()]);
        wait_until(begun, FIRST + EVERY * round as u64 + 2300);
        // The call back comes to whichever process there is now; the ban ends before it.
        outs.push(Out { who: out.into(), from, until: now(), by_hand: true });
        told(process.console, "/ops/stores/up", out);
        if round % 3 == 0 {
            outs.push(Out { who: drained.into(), from: drain_from, until: now(), by_hand: false });
            world.bulletin.roster(false, &[world.entry(drained, "up")]);
        }
        // One that exits by itself before it is told has crashed.
        if process.child.try_wait().map_err(|e| format!("a gateway: {e}"))?.is_some() {
            return Err(format!("the gateway ended in round {round}: see {}", world.dir.display()));
        }
    }
    let tally = clients.join().map_err(|_| "the load ended early".to_string())?;
    let tally = tally.map_err(|e| format!("the load: {e}"))?;
    over.store(true, Ordering::Relaxed);
    let _ = watching.join();
    let mut writes: BTreeMap<String, usize> = BTreeMap::new();
    for (name, (_, store)) in &world.stores {
        for seen in store.seen() {
            if let Some(key) = seen.replay {
                *writes.entry(key).or_default() += 1;
            }
            let barred = |o: &&Out| {
                let named = o.who == *name || seen.source.as_deref() == Some(&o.who[..]);
                named && seen.at > o.from + GRACE && seen.at < o.until
            };
            if let Some(out) = outs.iter().find(barred) {
                let by = if out.by_hand { "out by hand" } else { "draining" };
                let late = (seen.at - out.from) / 1000;
                broken.push(format!("{}: {by}, and asked {late} ms after the word", out.who));
            }
        }
    }
    let (memory_kb, descriptors) = *watch.peak.lock().unwrap_or_else(PoisonError::into_inner);
    let doubled_writes = writes.values().filter(|n| **n > 1).count();
    let outs = outs.len();
    Ok(Shown { tally, outs, broken, doubled_writes, ready_ms, killed, late_calls, memory_kb, descriptors })
}

fn figures(shown: &Shown) -> Value {
    let tally = &shown.tally;
    json!({
        "asked": tally.asked, "service": tally.service(), "worst_second": tally.worst(1, 1),
        "refused": tally.refused, "failed": tally.failed, "lost": tally.lost, "doubled": tally.doubled,
        "doubled_writes": shown.doubled_writes, "unheard": tally.unheard, "outs": shown.outs,
        "bans_broken": shown.broken.len(), "ready_ms": shown.ready_ms, "killed": shown.killed,
        "late_calls": shown.late_calls, "memory_kb": shown.memory_kb, "descriptors": shown.descriptors,
        "p99_ms": tally.latency.value_at_quantile(0.99) as f64 / 1000.0, "sender_behind_us": tally.behind,
    })
}

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    if let Some(case) = only {
        return Err(format!("there is no case {case:?}: this trial has one"));
    }
    let plain = way(seed, false, "plain")?;
    let upgrades = way(seed, true, "upgrades")?;
    let mut table = format!(
        "{:<12} {:>7} {:>8} {:>8} {:>5} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8} {:>7}\n",
        "way",
        "service",
        "worst 1s",
        "refused",
        "lost",
        "doubled",
        "unheard",
        "broken",
        "ready",
        "killed",
        "memory",
        "sockets"
    );
    for (name, s) in [("no upgrade", &plain), ("10 upgrades", &upgrades)] {
        let t = &s.tally;
        let _ = writeln!(
            table,
            "{name:<12} {:>7.3} {:>8.3} {:>8} {:>5} {:>7} {:>7} {:>6} {:>4}ms {:>6} {:>5.1}MB {:>7}",
            t.service(),
            t.worst(1, 1),
            t.refused,
            t.lost,
            t.doubled + s.doubled_writes as u64,
            t.unheard,
            s.broken.len(),
            s.ready_ms,
            s.killed,
            s.memory_kb as f64 / 1000.0,
            s.descriptors
        );
    }
    let mut broken = Vec::new();
    let mut bound = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    for (name, s) in [("no upgrade", &plain), ("10 upgrades", &upgrades)] {
        let t = &s.tally;
        bound(t.lost == 0, format!("{name}: {} requests lost", t.lost));
        bound(t.doubled == 0, format!("{name}: {} second answers", t.doubled));
        bound(s.doubled_writes == 0, format!("{name}: {} writes ran twice", s.doubled_writes));
        bound(s.broken.is_empty(), format!("{name}: {}", s.broken.first().map_or("", String::as_str)));
        bound(s.late_calls == 0, format!("{name}: {} calls late or told no", s.late_calls));
        bound(s.memory_kb <= MEMORY_MB * 1000, format!("{name}: {} KB of memory", s.memory_kb));
        bound(s.descriptors <= SOCKETS, format!("{name}: {} descriptors", s.descriptors));
    }
    let unheard = upgrades.tally.unheard;
    bound(unheard <= 2 * UPGRADES as u64, format!("{unheard} requests unheard, over two an upgrade"));
    bound(upgrades.killed == 0, format!("{} old processes did not end in time", upgrades.killed));
    let less = plain.tally.service() - upgrades.tally.service();
    bound(less <= 0.02, format!("service is {less:.3} less than with no upgrade"));
    let figures = json!({ "seed": seed, "no_upgrade": figures(&plain), "upgrades": figures(&upgrades) });
    Ok(Outcome { table, figures, broken })
}
