//! The table and the bounds of the trial.
use super::figures::{Figures, Loops};
use super::script::Case;
use super::variant::{Variant, VARIANTS};
use super::COLD_LOAD;
use crate::trial::bounds::Bounds;
use serde_json::{Map, Value};

/// The first line of the table.
pub(super) fn header() -> String {
    format!(
        "{:26} {:11} {:>7} {:>8} {:>5} {:>11} {:>11} {:>8} {:>10} {:>5} {:>18}\n",
        "case",
        "way",
        "service",
        "worst 5s",
        "lost",
        "origin peak",
        "origin mean",
        "stopped",
        "cold peak",
        "hits",
        "loops beg/brk/unb"
    )
}

/// The line of one variant in a case.
pub(super) fn row(case: &Case, variant: Variant, figures: &Figures) -> String {
    let Loops { begun, broken, unbroken } = figures.loops;
    format!(
        "{:26} {:11} {:>7.4} {:>8.4} {:>5} {:>11.2} {:>11.2} {:>8} {:>10.2} {:>5.2} {:>18}\n",
        case.name,
        variant.name(),
        figures.load.service(),
        figures.worst,
        figures.load.lost,
        figures.origin_peak,
        figures.origin_mean,
        figures.origin_stopped,
        figures.cold_peak,
        figures.parents_hits,
        format!("{begun}/{broken}/{unbroken}"),
    )
}

/// The figures of all variants in a case.
pub(super) fn json(all: &[Figures]) -> Value {
    let by_variant =
        VARIANTS.iter().zip(all).map(|(variant, figures)| (variant.name().to_string(), figures.json()));
    Value::Object(by_variant.collect::<Map<_, _>>())
}

/// Checks the bounds of a case.
pub(super) fn check(case: &Case, all: &[Figures], bounds: &mut Bounds) {
    let name = case.name;
    let of = |wanted: Variant| VARIANTS.iter().zip(all).find(|(variant, _)| **variant == wanted);
    let Some((_, ramp)) = of(Variant::Ramp) else { return };
    bounds.check(ramp.load.lost == 0, || format!("{name}: the ramp lost {} requests", ramp.load.lost));
    bounds.check(!ramp.origin_stopped, || format!("{name}: the origin stopped"));
    for (variant, figures) in VARIANTS.iter().zip(all).filter(|(variant, _)| variant.is_shielded()) {
        bounds.check(!figures.origin_stopped, || {
            format!("{name}: the origin stopped behind its shield ({})", variant.name())
        });
    }
    bounds.check(ramp.loops.unbroken == 0, || format!("{name}: {} loops went unbroken", ramp.loops.unbroken));
    bounds.check(ramp.cold_peak <= COLD_LOAD, || {
        format!("{name}: the cold parent got {:.2} of what it can give", ramp.cold_peak)
    });
    if case.migrates() {
        for (variant, other) in [of(Variant::PlainHash), of(Variant::AtOnce)].into_iter().flatten() {
            bounds.check(ramp.worst >= other.worst, || {
                format!("{name}: worst 5 s {:.4}, and {:.4} by {}", ramp.worst, other.worst, variant.name())
            });
        }
    }
}
