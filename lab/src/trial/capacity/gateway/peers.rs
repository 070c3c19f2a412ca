//! `peers`: what `--fleet` costs one gateway by the gateways of its tier, none of which answers: all are asked,
//! accused and given up. What a tier that answers costs is measured in virtual time by the cases of the fleet.
use super::bench::{Bench, Wanted};
use super::site;
use super::sizes::Sizes;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::time::Duration;

/// Gateways of the tier.
const SIZES: [f64; 4] = [30.0, 300.0, 3_000.0, 12_000.0];
/// Stores listed.
const STORES: usize = 120;
/// The file of the fleet: all by default.
const FLEET: &str = "{}";
/// How long it runs before it is measured, and for how long.
const SETTLE: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(8);

/// What one size showed.
struct Shown {
    core_percent: f64,
    memory_mb: f64,
}

/// Plays the case.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    let sizes = Sizes::new("peers", "gateways in one tier", site::GATEWAYS as f64);
    let sizes = sizes.one_by_one(&SIZES, |gateways| measure(gateways as usize, seed))?;
    let series = vec![
        sizes.series("cpu_none_answers", "% of a core", |shown| shown.core_percent),
        sizes.series("memory", "MB", |shown| shown.memory_mb),
    ];
    Ok(Played { series, broken: Vec::new() })
}

fn measure(gateways: usize, seed: u64) -> Result<Shown, TrialError> {
    let files = vec![("fleet", FLEET.to_string())];
    let wanted = Wanted { stores: STORES, gateways, datagrams: true, files, seed, ..Wanted::default() };
    let bench = Bench::start(&format!("peers-{gateways}"), &wanted)?;
    std::thread::sleep(SETTLE);
    let idle = bench.idle(MEASURED)?;
    Ok(Shown { core_percent: idle.core_percent(), memory_mb: bench.resident_mb()? })
}
