//! One hollow and one real gateway follow the same source: what they receive, and what processor time they take.
use super::super::Played;
use crate::capacity::fit::Point;
use crate::capacity::series::Series;
use crate::hollow::child::Child;
use crate::hollow::follower::{request_after, Follower};
use crate::hollow::gateway::HollowGateway;
use crate::hollow::usage::thread_processor_us;
use crate::stand::source;
use crate::trial::gateway::Gateway;
use crate::trial::settings::settings;
use crate::trial::TrialError;
use larchway::MonotonicTime;
use polling::{Event, PollMode, Poller};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

/// Stores of the list.
const STORES: usize = 4_900;
/// Purges a second, one size of the series each; the last is the target, the bound holds there.
const RATES: [u64; 4] = [50, 100, 175, 250];
/// How long each rate lasts; the last one longer.
const EACH: Duration = Duration::from_secs(8);
const LAST: Duration = Duration::from_secs(20);
/// Time between two changes of a store.
const CHANGE_EVERY: Duration = Duration::from_secs(2);
/// By how much a hollow gateway may differ from a real one.
const MOST_APART: f64 = 0.15;
const BUFFER: usize = 64 * 1024;

/// What a gateway took in a phase.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    bytes_per_s: f64,
    processor_us_per_s: f64,
}

/// A hollow gateway with its connection, in the trial's own thread.
struct Hollow {
    gateway: HollowGateway,
    follower: Follower,
    poller: Poller,
    buffer: Vec<u8>,
    bytes: u64,
}

impl Hollow {
    fn start(source: SocketAddr, configuration: &str) -> Result<Self, TrialError> {
        let gateway =
            HollowGateway::new(MonotonicTime::from_micros(crate::clock::now()), configuration, None)?;
        let request = request_after(source, gateway.cursor(), false);
        let follower = Follower::connect(source, request.as_bytes())?;
        let poller = Poller::new()?;
        let interest = Event::readable(0);
        poller.add_with_mode(follower.stream(), interest, PollMode::Level)?;
        Ok(Hollow { gateway, follower, poller, buffer: vec![0; BUFFER], bytes: 0 })
    }

    /// Takes in what comes until then.
    fn follow(&mut self, end: Instant) -> Result<(), TrialError> {
        let mut events = Vec::new();
        while Instant::now() < end {
            events.clear();
            let left = end.saturating_duration_since(Instant::now());
            self.poller.wait(&mut events, Some(left))?;
            let now = MonotonicTime::from_micros(crate::clock::now());
            self.gateway.expire(now);
            let taken = self.follower.read(&mut self.buffer)?;
            self.bytes += taken.bytes as u64;
            for data in &taken.events {
                self.gateway.apply(now, data)?;
            }
            if taken.ended {
                return Err(TrialError::Unexpected("the source has closed the connection".into()));
            }
        }
        Ok(())
    }
}

/// Plays the case.
pub fn play(seed: u64) -> Result<Played, TrialError> {
    let dir = std::env::temp_dir().join(format!("larchway-lab-{}-hollow", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(TrialError::io("cannot make a folder"))?;
    let played = play_in(&dir, seed);
    let _ = std::fs::remove_dir_all(&dir);
    played
}

/// The quantities of the case, with their units, in the order in which a rate measures them.
const QUANTITIES: [(&str, &str); 4] = [
    ("hollow_bytes", "bytes/s"),
    ("real_bytes", "bytes/s"),
    ("hollow_processor_time", "us/s"),
    ("real_processor_time", "us/s"),
];

fn play_in(dir: &Path, seed: u64) -> Result<Played, TrialError> {
    let mut source = Child::start(&["source"])?;
    let counted: source::Counted = source.request(&source::Command::Report)?;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, counted.port));
    let hosts = (0..STORES).map(|store| entry(store, "up")).collect();
    let _: source::Counted = source.request(&source::Command::Stores { complete: true, hosts })?;
    let configuration = configuration(address, seed);
    let real = Gateway::start(dir, 0, &configuration, &[])?;
    let mut hollow = Hollow::start(address, &configuration)?;
    // The complete list is read before anything is measured.
    hollow.follow(Instant::now() + Duration::from_secs(1))?;
    let mut played = Played::default();
    let mut points: [Vec<Point>; QUANTITIES.len()] = Default::default();
    for rate in RATES {
        let length = if rate == RATES[RATES.len() - 1] { LAST } else { EACH };
        let (hollow_cost, real_cost) = phase(&mut source, &mut hollow, real.process_id(), rate, length)?;
        let values = [
            hollow_cost.bytes_per_s,
            real_cost.bytes_per_s,
            hollow_cost.processor_us_per_s,
            real_cost.processor_us_per_s,
        ];
        for (points, value) in points.iter_mut().zip(values) {
            points.push(Point { size: rate as f64, value });
        }
        if length == LAST {
            played.broken.extend(costs_apart(&hollow_cost, &real_cost));
        }
    }
    let target = RATES[RATES.len() - 1] as f64;
    let series = QUANTITIES.iter().zip(points);
    played.series = series
        .map(|((quantity, unit), points)| Series::new("hollow", quantity, unit, "purges/s", target, points))
        .collect();
    Ok(played)
}

/// What is said of costs that are too far apart.
fn costs_apart(hollow: &Cost, real: &Cost) -> impl Iterator<Item = String> {
    let bytes = apart("bytes", hollow.bytes_per_s, real.bytes_per_s);
    let processor_time = apart("processor time", hollow.processor_us_per_s, real.processor_us_per_s);
    bytes.into_iter().chain(processor_time)
}

/// Both follow the same events for a while.
fn phase(
    source: &mut Child,
    hollow: &mut Hollow,
    real: u32,
    rate: u64,
    length: Duration,
) -> Result<(Cost, Cost), TrialError> {
    let _: source::Counted = source.request(&source::Command::Rate { events: rate })?;
    let sent = sent_bytes(source)?;
    let real_before = crate::hollow::usage::processor_us(real)?;
    let (hollow_before, bytes_before) = (thread_processor_us()?, hollow.bytes);
    let began = Instant::now();
    let mut changed = 0;
    while began.elapsed() < length {
        changed += 1;
        let health = if changed % 2 == 0 { "up" } else { "draining" };
        let hosts = vec![entry(changed / 2, health)];
        let _: source::Counted = source.request(&source::Command::Stores { complete: false, hosts })?;
        hollow.follow(Instant::now() + CHANGE_EVERY)?;
    }
    let seconds = began.elapsed().as_secs_f64();
    let per_s = |amount: u64| amount as f64 / seconds;
    let hollow_cost = Cost {
        bytes_per_s: per_s(hollow.bytes - bytes_before),
        processor_us_per_s: per_s(thread_processor_us()? - hollow_before),
    };
    // The source has sent to both: what is not the hollow one's is the real one's.
    let real_bytes = (sent_bytes(source)? - sent) - (hollow.bytes - bytes_before);
    let real_cost = Cost {
        bytes_per_s: per_s(real_bytes),
        processor_us_per_s: per_s(crate::hollow::usage::processor_us(real)? - real_before),
    };
    Ok((hollow_cost, real_cost))
}

fn sent_bytes(source: &mut Child) -> Result<u64, TrialError> {
    let counted: source::Counted = source.request(&source::Command::Report)?;
    Ok(counted.bytes)
}

/// What is said of a difference over the bound.
fn apart(what: &str, hollow: f64, real: f64) -> Option<String> {
    let apart = (hollow / real - 1.0).abs();
    (apart.is_nan() || apart > MOST_APART)
        .then(|| format!("{what}: hollow {hollow:.0}, real {real:.0}, over {MOST_APART} apart"))
}

fn entry(store: usize, health: &str) -> Value {
    let (site, class) = if store < 2 { ("east", "origin") } else { ("edge", "standard") };
    json!({ "host": format!("s{store:05}"), "dial": format!("127.0.0.1:{}", 20_000 + store), "site": site,
            "class": class, "health": health, "share": 4, "born_ms": 0 })
}

/// The configuration of both: the source, no stores known yet.
fn configuration(source: SocketAddr, seed: u64) -> String {
    format!(
        r#"{{"seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},
            "bulletin":"{source}","settings":{}}}"#,
        settings()
    )
}
