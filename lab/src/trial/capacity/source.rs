//! The cases `source`, `relay` and `hollow`: what followers cost the one source of events, what they cost a relay,
//! and how near a hollow gateway is to a real one.
mod calibration;
mod setting;

use super::{Case, Played};
use crate::capacity::fit::Point;
use crate::capacity::series::Series;
use crate::hollow::swarm;
use crate::stand::source;
use crate::trial::TrialError;
use setting::Setting;

/// Gateways in two years, each of which follows the one source.
const TARGET: f64 = 12_000.0;
/// Purges a second in two years.
const EVENTS_A_SECOND: u64 = 250;
/// Followers of the source.
const FOLLOWERS: [usize; 4] = [100, 1_000, 4_000, 8_000];
/// Followers of the relay; those of one leaf of 17 are between.
const SUBSCRIBERS: [usize; 5] = [100, 706, 2_000, 4_000, 8_000];
/// Subscribers of each of 17 leaves.
const SUBSCRIBERS_OF_LEAF: f64 = 706.0;
const BYTES_PER_MB: f64 = 1e6;
/// Followers of the case `slow`, and how many of them stop reading.
const FEW_FOLLOWERS: usize = 16;
const STALLED: [usize; 4] = [1, 2, 4, 8];
/// Events published at once to them, enough to fill the buffers of a connection.
const STALLED_EVENTS: u64 = 60_000;
/// Bytes that the source may take for a follower that does not read: none of its events are buffered for it.
const MOST_A_STALLED: f64 = 500_000.0;

/// The cases of this module.
pub fn cases() -> Vec<Case> {
    vec![
        Case { name: "source", play: play_source },
        Case { name: "relay", play: play_relay },
        Case { name: "slow", play: play_slow },
        Case { name: "hollow", play: calibration::play },
    ]
}

/// The quantities of both cases, with their units, in the order in which a size measures them.
const QUANTITIES: [(&str, &str); 8] = [
    ("bytes", "bytes/s"),
    ("processor_time", "us/s"),
    ("everywhere_p50", "ms"),
    ("everywhere_p99", "ms"),
    ("everywhere_largest", "ms"),
    ("come_back_bytes", "bytes"),
    ("come_back_time", "s"),
    ("memory", "MB"),
];

fn play_source(_seed: u64) -> Result<Played, TrialError> {
    play_followers("source", &FOLLOWERS, TARGET, Setting::direct)
}

fn play_relay(_seed: u64) -> Result<Played, TrialError> {
    play_followers("relay", &SUBSCRIBERS, SUBSCRIBERS_OF_LEAF, Setting::relayed)
}

fn play_followers(
    case: &str,
    sizes: &[usize],
    target: f64,
    start: fn(usize) -> Result<Setting, TrialError>,
) -> Result<Played, TrialError> {
    let mut points: Vec<Vec<Point>> = vec![Vec::new(); QUANTITIES.len()];
    let mut played = Played::default();
    for &followers in sizes {
        let mut setting = start(followers)?;
        let steady = setting.steady(followers)?;
        let memory = setting.resident_bytes()? as f64 / BYTES_PER_MB;
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
            memory,
        ];
        for (points, value) in points.iter_mut().zip(values) {
            points.push(Point { size: followers as f64, value });
        }
    }
    let series = QUANTITIES.iter().zip(points);
    played.series = series
        .map(|((quantity, unit), points)| Series::new(case, quantity, unit, "followers", target, points))
        .collect();
    Ok(played)
}

/// Some followers read no more: whether others are held up, and what the source buffers for those.
fn play_slow(_seed: u64) -> Result<Played, TrialError> {
    let mut played = Played::default();
    let (mut late, mut memory) = (Vec::new(), Vec::new());
    for stalled in STALLED {
        let mut setting = Setting::direct(FEW_FOLLOWERS)?;
        let reading = FEW_FOLLOWERS - stalled;
        let before = setting.resident_bytes()?;
        let _: swarm::Counted = setting.swarms[0].request(&swarm::Command::Stall { followers: stalled })?;
        let _: source::Counted =
            setting.source.request(&source::Command::Burst { events: STALLED_EVENTS })?;
        let last = setting.source_counts()?.last;
        setting.settle(last, reading)?;
        let grown = setting.resident_bytes()?.saturating_sub(before);
        let steady = setting.steady(reading)?;
        if steady.missing > 0 {
            let missing = steady.missing;
            played.broken.push(format!("{stalled} stalled: {missing} events not read by all others"));
        }
        late.push(Point { size: stalled as f64, value: steady.quantile(0.99) });
        memory.push(Point { size: stalled as f64, value: grown as f64 });
    }
    let growth = (memory[STALLED.len() - 1].value - memory[0].value)
        / (STALLED[STALLED.len() - 1] - STALLED[0]) as f64;
    if growth > MOST_A_STALLED {
        played.broken.push(format!("the source takes {growth:.0} bytes for a follower that does not read"));
    }
    let target = FEW_FOLLOWERS as f64;
    played.series = vec![
        Series::new("slow", "others_everywhere_p99", "ms", "stalled", target, late),
        Series::new("slow", "source_memory_with_its_log", "bytes", "stalled", target, memory),
    ];
    Ok(played)
}
