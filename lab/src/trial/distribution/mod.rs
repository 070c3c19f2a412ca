//! `trial distribution`: the time from an event at its source to its application by every follower, when all follow the
//! source itself and when relays stand between, healthy and with a relay killed or paused, a region cut, a link slow.
pub(crate) mod processes;

use super::Outcome;
use crate::followers::Seen;
use crate::stand::event_source::EventSource;
use crate::stand::link::Link;
use hdrhistogram::Histogram;
use larchway::Micros;
use larchway_distribution::EventNumber;
use processes::{FollowerProcess, RelayProcess};
use serde::Serialize;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest delay that is told apart, µs.
const LONGEST_DELAY: Micros = 60_000_000;
/// Relays below the root.
const LEAVES: usize = 3;
/// Within this each purge, and each change of the list, must be applied everywhere, µs.
const PURGE_BOUND: Micros = 9_100_000;
const LIST_BOUND: Micros = 4_000_000;
/// One event in so many changes the list.
const LIST_EVERY: EventNumber = 50;
/// Events by which all are known to have connected; they are not measured.
const FIRST_EVENTS: EventNumber = 2;
/// For how long events are told, and how long stragglers have after the last one.
const SPAN: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(6);
/// When a fault begins, and how long a cut or pause lasts; it stands for a longer one.
const FAULT_AT: Duration = Duration::from_secs(2);
const FAULT_FOR: Duration = Duration::from_secs(5);
/// Followers behind links.
const REGION: usize = 100;
/// Bytes a second that a slow link lets pass for each follower: a little more than it needs.
const SLOW_RATE: u64 = 1_000;
/// How long all may take to connect before the first event.
const CONNECT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LeafKilled,
    LeafPaused,
    RegionCut,
    LinkSlow,
}

/// A case of the trial.
struct Case {
    name: &'static str,
    relays: bool,
    followers: usize,
    /// Events a second.
    rate: u64,
    fault: Fault,
}

const CASES: [Case; 8] = [
    Case { name: "direct", relays: false, followers: 1200, rate: 50, fault: Fault::None },
    Case { name: "relays", relays: true, followers: 1200, rate: 50, fault: Fault::None },
    Case { name: "killed", relays: true, followers: 1200, rate: 50, fault: Fault::LeafKilled },
    Case { name: "paused", relays: true, followers: 1200, rate: 50, fault: Fault::LeafPaused },
    Case { name: "cut", relays: true, followers: 1200, rate: 50, fault: Fault::RegionCut },
    Case { name: "slow", relays: true, followers: 1200, rate: 50, fault: Fault::LinkSlow },
    Case { name: "direct-12000", relays: false, followers: 12_000, rate: 10, fault: Fault::None },
    Case { name: "relays-12000", relays: true, followers: 12_000, rate: 10, fault: Fault::None },
];

/// What a case measured. Times are in ms, processor time in ms over the case.
#[derive(Debug, Clone, Serialize)]
struct Figures {
    case: String,
    followers: usize,
    events: usize,
    purge_p50: f64,
    purge_p99: f64,
    purge_max: f64,
    list_max: f64,
    /// Events that not all followers applied.
    incomplete: usize,
    gaps: u64,
    dials: u64,
    bytes_a_follower_per_s: f64,
    cpu_us_a_follower_per_s: f64,
    source_bytes_per_s: f64,
    source_cpu_per_mille: f64,
    relay_bytes_per_s: f64,
    relay_cpu_per_mille: f64,
}

/// The processes of one case.
struct World {
    dir: PathBuf,
    source: EventSource,
    root: Option<RelayProcess>,
    leaves: Vec<RelayProcess>,
    links: Vec<Link>,
    /// All followers, then those behind links, if any.
    followers: Vec<FollowerProcess>,
}

impl Drop for World {
    fn drop(&mut self) {
        // A directory that stays is no fault of the measurement.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Plays all cases, or one.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let chosen: Vec<&Case> = CASES.iter().filter(|case| only.is_none_or(|name| name == case.name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = CASES.iter().map(|case| case.name).collect();
        return Err(format!("there is no such case; there are: {}", names.join(", ")));
    }
    let mut table = header();
    let (mut all, mut broken) = (Vec::new(), Vec::new());
    for case in chosen {
        let figures = run(case, seed)?;
        let _ = writeln!(table, "{}", row(&figures));
        // The plain way is there for comparison; the bounds are those of relays.
        if case.relays {
            broken.extend(check(&figures));
        }
        all.push(figures);
    }
    Ok(Outcome { table, figures: json!({ "seed": seed, "cases": all }), broken })
}

fn run(case: &Case, seed: u64) -> Result<Figures, String> {
    let mut world = World::start(case, seed)?;
    world.wait_for_followers(case)?;
    let before = world.spent();
    let began = Instant::now();
    world.tell(case)?;
    std::thread::sleep(SETTLE);
    let elapsed = began.elapsed();
    let after = world.spent();
    let fault_end = match case.fault {
        Fault::RegionCut => {
            world.source.sent[FIRST_EVENTS as usize] + (FAULT_AT + FAULT_FOR).as_micros() as Micros
        }
        _ => 0,
    };
    let mut seen = Vec::new();
    for followers in std::mem::take(&mut world.followers) {
        seen.push(followers.finish()?);
    }
    figures(case, &world.source.sent, fault_end, &seen, &before, &after, elapsed)
}

/// Processor time and bytes of all roles so far.
struct Spent {
    source_bytes: u64,
    source_cpu: Duration,
    relay_bytes: u64,
    relay_cpu: Duration,
    follower_cpu: Duration,
}

impl World {
    fn start(case: &Case, seed: u64) -> Result<World, String> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{}", std::process::id(), case.name));
        std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let source = EventSource::start().map_err(|e| format!("the source: {e}"))?;
        let (mut leaves, mut links, mut root) = (Vec::new(), Vec::new(), None);
        let mut targets = vec![source.address];
        if case.relays {
            let top = RelayProcess::start(&dir, "root", &targets, ",\"root\":true")?;
            for number in 0..LEAVES {
                leaves.push(RelayProcess::start(&dir, &format!("leaf-{number}"), &[top.address], "")?);
            }
            targets = leaves.iter().map(|leaf| leaf.address).collect();
            root = Some(top);
        }
        let region = matches!(case.fault, Fault::RegionCut | Fault::LinkSlow);
        let near = case.followers - if region { REGION } else { 0 };
        let mut followers = vec![FollowerProcess::start(&targets, case.relays, near, seed)?];
        if region {
            for target in &targets {
                links.push(Link::to(*target).map_err(|e| format!("a link: {e}"))?);
            }
            let through: Vec<SocketAddr> = links.iter().map(|link| link.address).collect();
            followers.push(FollowerProcess::start(&through, case.relays, REGION, seed + 1)?);
        }
        Ok(World { dir, source, root, leaves, links, followers })
    }

    /// Tells the first events, a whole list among them, and waits until all followers of relays have reported them.
    fn wait_for_followers(&mut self, case: &Case) -> Result<(), String> {
        self.source.tell(|number| list_event(number, true));
        self.source.tell(purge_event);
        let end = Instant::now() + CONNECT;
        while let Some(root) = &self.root {
            let positions = root.status()?["positions"].clone();
            if positions["gateways"] == case.followers as u64 && positions["applied"] == FIRST_EVENTS {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("{}: not all followers have connected: {positions}", case.name));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // The source itself has no report of who follows.
        std::thread::sleep(CONNECT / 4);
        Ok(())
    }

    /// Tells events at the case's rate, with its fault.
    fn tell(&mut self, case: &Case) -> Result<(), String> {
        let began = Instant::now();
        let total = SPAN.as_secs() * case.rate;
        let (mut faulty, mut mended) = (false, false);
        for index in 0..total {
            let due = SPAN.mul_f64(index as f64 / total as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            if !faulty && began.elapsed() >= FAULT_AT {
                faulty = true;
                self.begin_fault(case.fault)?;
            }
            if !mended && began.elapsed() >= FAULT_AT + FAULT_FOR {
                mended = true;
                self.end_fault(case.fault)?;
            }
            let is_list = index % LIST_EVERY == 0;
            self.source.tell(|number| if is_list { list_event(number, false) } else { purge_event(number) });
        }
        Ok(())
    }

    fn begin_fault(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::None => {}
            Fault::LeafKilled => self.leaves[0].kill(),
            Fault::LeafPaused => self.leaves[0].signal("-STOP")?,
            Fault::RegionCut => self.links.iter().for_each(|link| link.cut(true)),
            Fault::LinkSlow => self.links.iter().for_each(|link| link.slow(SLOW_RATE)),
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::LeafPaused => self.leaves[0].signal("-CONT")?,
            Fault::RegionCut => self.links.iter().for_each(|link| link.cut(false)),
            Fault::None | Fault::LeafKilled | Fault::LinkSlow => {}
        }
        Ok(())
    }

    fn spent(&self) -> Spent {
        let relays = || self.root.iter().chain(&self.leaves);
        // A relay that was killed has no figures any more.
        let bytes = |relay: &RelayProcess| relay.status().ok()?["bytes_written"].as_u64();
        Spent {
            source_bytes: self.source.bytes(),
            source_cpu: self.source.cpu(),
            relay_bytes: relays().filter_map(bytes).sum(),
            relay_cpu: relays().map(RelayProcess::cpu).sum(),
            follower_cpu: self.followers.iter().map(FollowerProcess::cpu).sum(),
        }
    }
}

fn list_event(number: EventNumber, whole: bool) -> String {
    format!(
        r#"{{"no":{number},"roster":{{"seq":{number},"whole":{whole},"hosts":[{{"host":"s-{number}","dial":"127.0.0.1:1","site":"edge","class":"parent","health":"up","share":4,"born_ms":0}}]}}}}"#
    )
}

fn purge_event(number: EventNumber) -> String {
    let object = larchway::mix(number);
    format!(r#"{{"no":{number},"recall":{{"item":"{object:016x}","lot":0,"issued":1000.0}}}}"#)
}

fn figures(
    case: &Case,
    sent: &[Micros],
    fault_end: Micros,
    seen: &[Seen],
    before: &Spent,
    after: &Spent,
    elapsed: Duration,
) -> Result<Figures, String> {
    let mut purges = Histogram::<u64>::new_with_bounds(1, LONGEST_DELAY, 3).map_err(|e| e.to_string())?;
    let (mut list_max, mut incomplete) = (0, 0);
    for (number, told) in (1..).zip(sent).skip(FIRST_EVENTS as usize) {
        let applied: usize =
            seen.iter().filter_map(|seen| seen.applied.get(&number)).map(|a| a.followers).sum();
        incomplete += usize::from(applied < case.followers);
        let mut delay = 0;
        for (place, seen) in seen.iter().enumerate() {
            let Some(applied) = seen.applied.get(&number) else { continue };
            // What a region could not hear counts from when its cut ended.
            let from = if place > 0 { fault_end.max(*told) } else { *told };
            delay = delay.max(applied.last.saturating_sub(from));
        }
        if (number - 1 - FIRST_EVENTS).is_multiple_of(LIST_EVERY) {
            list_max = list_max.max(delay);
        } else {
            purges.saturating_record(delay.max(1));
        }
    }
    let ms = |micros: Micros| micros as f64 / 1000.0;
    let seconds = elapsed.as_secs_f64();
    let per_mille = |spent: Duration| spent.as_secs_f64() * 1000.0 / seconds;
    let read: u64 = seen.iter().map(|seen| seen.bytes).sum();
    let followers = case.followers as f64;
    let relays = if case.relays { LEAVES as f64 + 1.0 } else { 1.0 };
    let follower_cpu = after.follower_cpu.saturating_sub(before.follower_cpu);
    Ok(Figures {
        case: case.name.to_string(),
        followers: case.followers,
        events: sent.len(),
        purge_p50: ms(purges.value_at_quantile(0.5)),
        purge_p99: ms(purges.value_at_quantile(0.99)),
        purge_max: ms(purges.max()),
        list_max: ms(list_max),
        incomplete,
        gaps: seen.iter().map(|seen| seen.gaps).sum(),
        dials: seen.iter().map(|seen| seen.dials).sum(),
        bytes_a_follower_per_s: read as f64 / followers / seconds,
        cpu_us_a_follower_per_s: follower_cpu.as_micros() as f64 / followers / seconds,
        source_bytes_per_s: (after.source_bytes - before.source_bytes) as f64 / seconds,
        source_cpu_per_mille: per_mille(after.source_cpu.saturating_sub(before.source_cpu)),
        relay_bytes_per_s: after.relay_bytes.saturating_sub(before.relay_bytes) as f64 / relays / seconds,
        relay_cpu_per_mille: per_mille(after.relay_cpu.saturating_sub(before.relay_cpu)) / relays,
    })
}

fn check(figures: &Figures) -> Vec<String> {
    let case = &figures.case;
    let mut broken = Vec::new();
    let mut bound = |what: &str, value: f64, most: Micros| {
        let most = most as f64 / 1000.0;
        if value > most {
            broken.push(format!("{case}: {what} took {value:.0} ms, over {most:.0}"));
        }
    };
    bound("a purge", figures.purge_max, PURGE_BOUND);
    bound("a change of the list", figures.list_max, LIST_BOUND);
    if figures.incomplete > 0 {
        broken.push(format!("{case}: {} events were not applied by all", figures.incomplete));
    }
    if figures.gaps > 0 {
        broken.push(format!("{case}: {} gaps, though nothing was out of the logs", figures.gaps));
    }
    broken
}

fn header() -> String {
    format!(
        "{:<13} {:>9} {:>6} | {:>7} {:>7} {:>7} {:>7} | {:>10} {:>5} {:>6} | {:>9} {:>9} | {:>10} {:>7} | {:>10} {:>7}\n",
        "case", "followers", "events", "p50 ms", "p99 ms", "max ms", "list ms", "incomplete", "gaps", "dials",
        "B/s each", "us/s each", "source B/s", "cpu ‰", "relay B/s", "cpu ‰"
    )
}

fn row(f: &Figures) -> String {
    format!(
        "{:<13} {:>9} {:>6} | {:>7.0} {:>7.0} {:>7.0} {:>7.0} | {:>10} {:>5} {:>6} | {:>9.0} {:>9.0} | {:>10.0} {:>7.1} | {:>10.0} {:>7.1}",
        f.case, f.followers, f.events, f.purge_p50, f.purge_p99, f.purge_max, f.list_max, f.incomplete, f.gaps, f.dials,
        f.bytes_a_follower_per_s, f.cpu_us_a_follower_per_s, f.source_bytes_per_s, f.source_cpu_per_mille,
        f.relay_bytes_per_s, f.relay_cpu_per_mille
    )
}
