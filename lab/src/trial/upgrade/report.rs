//! The table and the bounds of the trial.
use super::figures::Figures;
use super::{MEMORY_MB, SOCKETS, UPGRADES};
use crate::trial::bounds::Bounds;

/// Requests whose connection an upgrade ends before they are read, at most.
const UNREAD_OF_UPGRADE: u64 = 2;
/// By how much service may be less than with no upgrade.
const SERVICE_LOSS: f64 = 0.02;

/// The first line of the table.
pub(super) fn header() -> String {
    format!(
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
    )
}

/// The line of a variant.
pub(super) fn row(name: &str, figures: &Figures) -> String {
    let load = &figures.load;
    format!(
        "{name:<12} {:>7.3} {:>8.3} {:>8} {:>5} {:>7} {:>7} {:>6} {:>4}ms {:>6} {:>5.1}MB {:>7}\n",
        load.service(),
        load.worst(1, 1),
        load.refused,
        load.lost,
        load.doubled + figures.doubled_writes as u64,
        load.unheard,
        figures.broken_bans.len(),
        figures.ready_ms,
        figures.killed,
        figures.resources.memory_kb as f64 / 1000.0,
        figures.resources.descriptors
    )
}

/// The bounds of each variant.
pub(super) fn check(name: &str, figures: &Figures, bounds: &mut Bounds) {
    let Figures { load, resources, .. } = figures;
    bounds.check(load.lost == 0, || format!("{name}: {} requests lost", load.lost));
    bounds.check(load.doubled == 0, || format!("{name}: {} second answers", load.doubled));
    bounds.check(figures.doubled_writes == 0, || {
        format!("{name}: {} writes ran twice", figures.doubled_writes)
    });
    bounds.check(figures.broken_bans.is_empty(), || {
        format!("{name}: {}", figures.broken_bans.first().map_or("", String::as_str))
    });
    bounds.check(figures.late_calls == 0, || format!("{name}: {} calls late or told no", figures.late_calls));
    bounds.check(resources.memory_kb <= MEMORY_MB * 1000, || {
        format!("{name}: {} KB of memory", resources.memory_kb)
    });
    bounds
        .check(resources.descriptors <= SOCKETS, || format!("{name}: {} descriptors", resources.descriptors));
}

/// The bounds of the upgrades beside the variant without them.
pub(super) fn check_upgrades(no_upgrade: &Figures, upgrades: &Figures, bounds: &mut Bounds) {
    let unheard = upgrades.load.unheard;
    bounds.check(unheard <= UNREAD_OF_UPGRADE * UPGRADES as u64, || {
        format!("{unheard} requests unheard, over two an upgrade")
    });
    bounds.check(upgrades.killed == 0, || format!("{} old processes did not end in time", upgrades.killed));
    let less = no_upgrade.load.service() - upgrades.load.service();
    bounds.check(less <= SERVICE_LOSS, || format!("service is {less:.3} less than with no upgrade"));
}
