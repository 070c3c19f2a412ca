//! `purges`: what a purge costs one gateway that caches objects, by the rate of purges, in steady state.
use super::bench::{publish_at, Bench, Usage, Wanted};
use super::sizes::Sizes;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::time::Duration;

/// Purges a second at which it is measured.
const RATES: [f64; 4] = [50.0, 250.0, 500.0, 1000.0];
/// Purges a second of the target.
pub(crate) const TARGET_RATE: f64 = 250.0;
/// Purges are remembered for three times `goneEverywhereMs` (9.1 s) by the module, and by the copies for twice that and
/// the longest deadline (2 s). The steady state begins after the longer of the two.
pub(crate) const REMEMBERED: Duration = Duration::from_millis(28_000);
/// How long the idle gateway and the steady state are measured.
const IDLE: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(8);
/// Stores listed.
const STORES: usize = 120;
/// Objects that are asked for before, at a rate, so that copies are held.
const FILL_RATE: f64 = 500.0;
const FILL: Duration = Duration::from_secs(2);
/// The file of the gateway's own copies: all by default.
pub(crate) const COPIES: &str = "{}";

/// What one rate showed.
struct Steady {
    usage: Usage,
    micros_each: f64,
    memory_mb: f64,
}

/// Plays the case with events straight from the bulletin: all rates at the same time, each on a gateway of its own.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    play_case("purges", seed, false)
}

/// Plays the case with events from a relay, in batches and with gzip.
pub(super) fn play_relayed(seed: u64) -> Result<Played, TrialError> {
    play_case("purges_relayed", seed, true)
}

fn play_case(case: &'static str, seed: u64, relayed: bool) -> Result<Played, TrialError> {
    let sizes = Sizes::new(case, "purges/s", TARGET_RATE);
    let sizes = sizes.at_once(&RATES, |rate| measure(rate, seed, relayed))?;
    let series = vec![
        sizes.series("cpu_per_purge", "us", |steady| steady.micros_each),
        sizes.series("cpu_share", "% of a core", |steady| steady.usage.core_percent()),
        sizes.series("bytes_received", "bytes/s", |steady| steady.usage.bytes_per_second()),
        sizes.series("memory", "MB", |steady| steady.memory_mb),
    ];
    Ok(Played { series, broken: Vec::new() })
}

fn measure(rate: f64, seed: u64, relayed: bool) -> Result<Steady, TrialError> {
    let files = vec![("copies", COPIES.to_string())];
    let wanted = Wanted { stores: STORES, files, seed, relayed, ..Wanted::default() };
    let path = if relayed { "relayed" } else { "direct" };
    let bench = Bench::start(&format!("purges-{path}-{rate}"), &wanted)?;
    bench.request(FILL_RATE, FILL, seed)?;
    let idle = bench.idle(IDLE)?;
    let before = publish_at(rate, REMEMBERED, 0, |number| bench.purge(number));
    let (usage, count) = bench.during(|| publish_at(rate, MEASURED, before, |number| bench.purge(number)))?;
    Ok(Steady { usage, micros_each: usage.micros_each(count, &idle), memory_mb: bench.resident_mb()? })
}
