//! The cases `source` and `hollow`: what followers of one source of events cost it, and how near a hollow gateway is to a
//! real one.
mod calibration;

use super::{Case, Played, Point, Series};
use crate::hollow::child::Child;
use crate::hollow::swarm::{self, Arrival};
use crate::stand::source;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Gateways in two years, each of which follows the one source.
const TARGET: f64 = 12_000.0;
/// Purges a second in two years.
const EVENTS_A_SECOND: u64 = 250;
/// Followers of the source.
const FOLLOWERS: [usize; 4] = [100, 1_000, 4_000, 8_000];
/// Followers that one process holds: it must read faster than the source tells.
const FOLLOWERS_A_PROCESS: usize = 2_000;
/// How long the steady state is measured.
const STEADY: Duration = Duration::from_secs(4);
/// How long is waited for the last follower at most.
const PATIENCE: Duration = Duration::from_secs(30);
/// Events behind which followers come back.
const MISSED: u64 = 500;
/// Followers of the case `slow`, and how many of them stop reading.
const FEW_FOLLOWERS: usize = 16;
const STALLED: [usize; 4] = [1, 2, 4, 8];
/// Events told at once to them, enough to fill the buffers of a connection.
const STALLED_EVENTS: u64 = 60_000;
/// Bytes that the source may take for a follower that does not read: none of its events are kept for it.
const MOST_A_STALLED: f64 = 500_000.0;

/// The cases of this module.
pub fn cases() -> Vec<Case> {
    vec![
        Case { name: "source", play: play_source },
        Case { name: "slow", play: play_slow },
        Case { name: "hollow", play: calibration::play },
    ]
}

/// A source, and its followers in as many processes as they need.
struct Setting {
    source: Child,
    swarms: Vec<Child>,
    followers: usize,
}

/// What was seen in one phase.
#[derive(Debug, Default)]
struct Phase {
    /// Bytes that the source sent a second.
    bytes_per_s: f64,
    /// Microseconds of processor time that the source used a second.
    processor_us_per_s: f64,
    /// ms from when each event was told until the last follower had read it, in ascending order.
    everywhere_ms: Vec<f64>,
    /// Events that some follower had not read in the end.
    missing: usize,
}

impl Phase {
    /// The time of this share of all events, in ms.
    fn quantile(&self, share: f64) -> f64 {
        let last = self.everywhere_ms.len().saturating_sub(1);
        self.everywhere_ms.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
    }
}

impl Setting {
    fn start(followers: usize) -> Result<Self, String> {
        let mut source = Child::start(&["source"])?;
        let counted: source::Counted = source.ask(&source::Command::Report)?;
        let mut swarms = Vec::new();
        for swarm in 0..followers.div_ceil(FOLLOWERS_A_PROCESS) {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, counted.port)).to_string();
            let mut child = Child::start(&["swarm", &address])?;
            let followers = FOLLOWERS_A_PROCESS.min(followers - swarm * FOLLOWERS_A_PROCESS);
            let _: swarm::Counted = child.ask(&swarm::Command::Connect { followers, after: 0 })?;
            swarms.push(child);
        }
        let mut setting = Setting { source, swarms, followers };
        setting.wait_for(|counted| counted.followers == followers, "all followers are connected")?;
        Ok(setting)
    }

    fn told(&mut self) -> Result<source::Counted, String> {
        self.source.ask(&source::Command::Report)
    }

    fn wait_for(&mut self, holds: impl Fn(&source::Counted) -> bool, what: &str) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        while !holds(&self.told()?) {
            if Instant::now() > end {
                return Err(format!("{} followers: not within {PATIENCE:?}: {what}", self.followers));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// What all followers have read, put together.
    fn read(&mut self) -> Result<swarm::Counted, String> {
        let mut all = swarm::Counted::default();
        for swarm in &mut self.swarms {
            let counted: swarm::Counted = swarm.ask(&swarm::Command::Report)?;
            all.bytes += counted.bytes;
            all.events += counted.events;
            all.ended += counted.ended;
            merge(&mut all.arrivals, counted.arrivals);
        }
        Ok(all)
    }

    fn command_all(&mut self, command: &swarm::Command) -> Result<(), String> {
        self.swarms.iter_mut().try_for_each(|swarm| swarm.tell(command))?;
        self.swarms.iter_mut().try_for_each(|swarm| swarm.answer::<swarm::Counted>().map(drop))
    }

    /// Waits until this many followers have read the events up to this number, or the patience is at an end.
    fn settle(&mut self, last: u64, followers: usize) -> Result<swarm::Counted, String> {
        let end = Instant::now() + PATIENCE;
        loop {
            let read = self.read()?;
            let all = read.arrivals.get(&last).is_some_and(|arrival| arrival.followers >= followers as u64);
            if all || last == 0 || Instant::now() > end {
                return Ok(read);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Tells events at the steady rate, and sees how they come to these followers.
    fn steady(&mut self, followers: usize) -> Result<Phase, String> {
        self.command_all(&swarm::Command::Reset)?;
        let (before, spent) = (self.told()?, self.source.processor_us()?);
        let began = Instant::now();
        let _: source::Counted = self.source.ask(&source::Command::Rate { events: EVENTS_A_SECOND })?;
        std::thread::sleep(STEADY);
        let _: source::Counted = self.source.ask(&source::Command::Rate { events: 0 })?;
        let (after, used) = (self.told()?, self.source.processor_us()? - spent);
        let seconds = began.elapsed().as_secs_f64();
        let read = self.settle(after.last, followers)?;
        let mut phase = Phase {
            bytes_per_s: (after.bytes - before.bytes) as f64 / seconds,
            processor_us_per_s: used as f64 / seconds,
            ..Phase::default()
        };
        for (number, told) in after.told_us.range(before.last + 1..=after.last) {
            match read.arrivals.get(number).filter(|arrival| arrival.followers >= followers as u64) {
                Some(arrival) => {
                    phase.everywhere_ms.push(arrival.last_us.saturating_sub(*told) as f64 / 1000.0)
                }
                None => phase.missing += 1,
            }
        }
        phase.everywhere_ms.sort_by(f64::total_cmp);
        Ok(phase)
    }

    /// All followers come back at once, this many events behind: bytes sent, and s until all have caught up.
    fn come_back(&mut self) -> Result<(f64, f64), String> {
        let before = self.told()?;
        self.command_all(&swarm::Command::Reset)?;
        let began = crate::clock::now();
        self.command_all(&swarm::Command::Return { after: before.last.saturating_sub(MISSED) })?;
        let read = self.settle(before.last, self.followers)?;
        let last = read.arrivals.get(&before.last).copied().unwrap_or_default();
        if last.followers < self.followers as u64 {
            return Err(format!("{} of {} caught up in {PATIENCE:?}", last.followers, self.followers));
        }
        let after = self.told()?;
        let bytes = (after.bytes - before.bytes) as f64;
        Ok((bytes, last.last_us.saturating_sub(began) as f64 / 1e6))
    }
}

/// Adds what another process counted.
fn merge(all: &mut BTreeMap<u64, Arrival>, others: BTreeMap<u64, Arrival>) {
    for (number, arrival) in others {
        let known = all.entry(number).or_default();
        known.followers += arrival.followers;
        known.last_us = known.last_us.max(arrival.last_us);
    }
}

/// The quantities of the case, with their units, in the order in which a size measures them.
const QUANTITIES: [(&str, &str); 7] = [
    ("bytes", "bytes/s"),
    ("processor_time", "us/s"),
    ("everywhere_p50", "ms"),
    ("everywhere_p99", "ms"),
    ("everywhere_largest", "ms"),
    ("come_back_bytes", "bytes"),
    ("come_back_time", "s"),
];

fn play_source(_seed: u64) -> Result<Played, String> {
    let mut points: Vec<Vec<Point>> = vec![Vec::new(); QUANTITIES.len()];
    let mut played = Played::default();
    for followers in FOLLOWERS {
        let mut setting = Setting::start(followers)?;
        let steady = setting.steady(followers)?;
        let (bytes, caught_up) = setting.come_back()?;
        if steady.missing > 0 {
            played.broken.push(format!("{followers} followers: {} events not read by all", steady.missing));
        }
        let values = [
            steady.bytes_per_s,
            steady.processor_us_per_s,
            steady.quantile(0.5),
            steady.quantile(0.99),
            steady.quantile(1.0),
            bytes,
            caught_up,
        ];
        for (points, value) in points.iter_mut().zip(values) {
            points.push(Point { size: followers as f64, value });
        }
    }
    let series = QUANTITIES.iter().zip(points);
    played.series = series
        .map(|((quantity, unit), points)| Series::new("source", quantity, unit, "followers", TARGET, points))
        .collect();
    Ok(played)
}

/// Some followers read no more: whether others are held up, and what the source keeps for those.
fn play_slow(_seed: u64) -> Result<Played, String> {
    let mut played = Played::default();
    let (mut late, mut kept) = (Vec::new(), Vec::new());
    for stalled in STALLED {
        let mut setting = Setting::start(FEW_FOLLOWERS)?;
        let reading = FEW_FOLLOWERS - stalled;
        let before = setting.source.resident_bytes()?;
        let _: swarm::Counted = setting.swarms[0].ask(&swarm::Command::Stall { followers: stalled })?;
        let _: source::Counted = setting.source.ask(&source::Command::Burst { events: STALLED_EVENTS })?;
        let last = setting.told()?.last;
        setting.settle(last, reading)?;
        let grown = setting.source.resident_bytes()?.saturating_sub(before);
        let steady = setting.steady(reading)?;
        if steady.missing > 0 {
            let missing = steady.missing;
            played.broken.push(format!("{stalled} stalled: {missing} events not read by all others"));
        }
        late.push(Point { size: stalled as f64, value: steady.quantile(0.99) });
        kept.push(Point { size: stalled as f64, value: grown as f64 });
    }
    let growth =
        (kept[STALLED.len() - 1].value - kept[0].value) / (STALLED[STALLED.len() - 1] - STALLED[0]) as f64;
    if growth > MOST_A_STALLED {
        played.broken.push(format!("the source takes {growth:.0} bytes for a follower that does not read"));
    }
    let target = FEW_FOLLOWERS as f64;
    played.series = vec![
        Series::new("slow", "others_everywhere_p99", "ms", "stalled", target, late),
        Series::new("slow", "source_memory_with_its_log", "bytes", "stalled", target, kept),
    ];
    Ok(played)
}
