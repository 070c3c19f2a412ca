//! `control`: all that one gateway spends for control at once, in steady state: stores listed, gateways named, purges
//! with copies on, and list changes, at a part of the target and at all of it; and each of these alone.
use super::bench::{publish_at, Bench, Usage, Wanted};
use super::sizes::Sizes;
use super::{purges, site};
use crate::capacity::series::Series;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::time::Duration;

/// Parts of the target, each measured on a gateway of its own, all at the same time.
const SCALES: [f64; 4] = [0.125, 0.25, 0.5, 1.0];
/// List changes a second of the target: 41,000 a day.
pub(crate) const LIST_CHANGES_PER_SECOND: f64 = 41_000.0 / 86_400.0;
/// Memory that control may cost a gateway, MB.
const MEMORY_BUDGET: f64 = 128.0;
/// Processor time that control may cost a gateway, % of a core, and bytes a second.
const PROCESSOR_BUDGET: f64 = 2.6;
const BYTES_BUDGET: f64 = 9_000.0;
/// How long each part is measured.
const IDLE: Duration = Duration::from_secs(5);
const LIST_ALONE: Duration = Duration::from_secs(20);
const PURGES_ALONE: Duration = Duration::from_secs(10);
const TOGETHER: Duration = Duration::from_secs(30);

/// What a gateway spends for control, each part alone and all of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ControlCost {
    /// With nothing but the bulletin's comments.
    pub idle: Usage,
    /// With list changes alone.
    pub list: Usage,
    /// With purges alone, in steady state.
    pub purges: Usage,
    /// With both, in steady state.
    pub together: Usage,
    /// Resident memory at the end, MB.
    pub memory_mb: f64,
}

/// Plays the case with events straight from the bulletin.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    play_case("control", seed, false)
}

/// Plays the case with events from a relay: gzip, and a report of the position each second.
pub(super) fn play_relayed(seed: u64) -> Result<Played, TrialError> {
    play_case("control_relayed", seed, true)
}

fn play_case(case: &'static str, seed: u64, relayed: bool) -> Result<Played, TrialError> {
    let sizes = Sizes::new(case, "part of the target", 1.0);
    let sizes = sizes.at_once(&SCALES, |scale| measure_scale(scale, seed, relayed))?;
    let broken = sizes.measured.last().map(|(_, cost)| budgets_broken(cost, relayed)).unwrap_or_default();
    Ok(Played { series: series(&sizes), broken })
}

/// The series of costs at [`SCALES`].
fn series(sizes: &Sizes<ControlCost>) -> Vec<Series> {
    vec![
        sizes.series("cpu_idle", "% of a core", |cost| cost.idle.core_percent()),
        sizes.series("cpu_list_alone", "% of a core", |cost| cost.list.core_percent()),
        sizes.series("cpu_purges_alone", "% of a core", |cost| cost.purges.core_percent()),
        sizes.series("cpu_together", "% of a core", |cost| cost.together.core_percent()),
        sizes.series("bytes_idle", "bytes/s", |cost| cost.idle.bytes_per_second()),
        sizes.series("bytes_list_alone", "bytes/s", |cost| cost.list.bytes_per_second()),
        sizes.series("bytes_purges_alone", "bytes/s", |cost| cost.purges.bytes_per_second()),
        sizes.series("bytes_together", "bytes/s", |cost| cost.together.bytes_per_second()),
        sizes.series("memory", "MB", |cost| cost.memory_mb),
    ]
}

/// What is over its budget. Straight from the bulletin processor time and bytes are, and are compared with their
/// budgets on the capacity page alone; memory is bounded in both.
fn budgets_broken(cost: &ControlCost, relayed: bool) -> Vec<String> {
    let mut broken = Vec::new();
    let (core, bytes) = (cost.together.core_percent(), cost.together.bytes_per_second());
    if cost.memory_mb > MEMORY_BUDGET {
        broken.push(format!("{:.1} MB are resident, {MEMORY_BUDGET} allowed", cost.memory_mb));
    }
    if relayed && core > PROCESSOR_BUDGET {
        broken.push(format!("{core:.2} % of a core, {PROCESSOR_BUDGET} allowed"));
    }
    if relayed && bytes > BYTES_BUDGET {
        broken.push(format!("{bytes:.0} bytes a second, {BYTES_BUDGET} allowed"));
    }
    broken
}

fn measure_scale(scale: f64, seed: u64, relayed: bool) -> Result<ControlCost, TrialError> {
    let part = |total: usize| (total as f64 * scale).round() as usize;
    let wanted = Wanted {
        stores: part(site::STORES),
        gateways: part(site::GATEWAYS),
        relayed,
        files: vec![("copies", purges::COPIES.to_string())],
        seed,
        ..Wanted::default()
    };
    let path = if relayed { "relayed" } else { "direct" };
    let bench = Bench::start(&format!("control-{path}-{scale}"), &wanted)?;
    measure(&bench, purges::TARGET_RATE * scale, LIST_CHANGES_PER_SECOND * scale)
}

/// What the gateway of a bench spends at these rates a second.
pub(crate) fn measure(bench: &Bench, purge_rate: f64, change_rate: f64) -> Result<ControlCost, TrialError> {
    let idle = bench.idle(IDLE)?;
    let change_list =
        |first: u64, span: Duration| publish_at(change_rate, span, first, |change| bench.change_list(change));
    let purge =
        |first: u64, span: Duration| publish_at(purge_rate, span, first, |number| bench.purge(number));
    let (list, changes) = bench.during(|| change_list(0, LIST_ALONE))?;
    let before = purge(0, purges::REMEMBERED);
    let (purges, count) = bench.during(|| purge(before, PURGES_ALONE))?;
    let (together, ()) = bench.during(|| {
        std::thread::scope(|scope| {
            scope.spawn(|| change_list(changes, TOGETHER));
            purge(before + count, TOGETHER);
        });
    })?;
    Ok(ControlCost { idle, list, purges, together, memory_mb: bench.resident_mb()? })
}
