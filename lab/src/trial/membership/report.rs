//! The table and the bounds of the trial.
use super::figures::Figures;
use super::script::Case;
use super::{LAST_WORK, VARIANTS};
use crate::trial::bounds::Bounds;
use serde_json::{Map, Value};

/// The first line of the table.
pub(super) fn header() -> String {
    format!(
        "{:28} {:10} {:>7} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>10} {:>8}\n",
        "case",
        "way",
        "service",
        "late",
        "refused",
        "failed",
        "lost",
        "last work",
        "p99",
        "wrong out",
        "smallest"
    )
}

/// The line of one variant in a case.
pub(super) fn row(case: &Case, variant: &str, figures: &Figures) -> String {
    let ms = |us: u64| format!("{} ms", us / 1000);
    let load = &figures.load;
    format!(
        "{:28} {:10} {:>7.4} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>10} {:>8}\n",
        case.name,
        variant,
        load.service(),
        load.late,
        load.refused,
        load.failed,
        load.lost,
        ms(figures.last_work.max()),
        ms(figures.last_work.value_at_quantile(0.99)),
        figures.wrongly_out.map_or("-".into(), ms),
        figures.smallest_pool.map_or("-".into(), |caches| caches.to_string())
    )
}

/// The figures of all variants in a case.
pub(super) fn json(all: &[Figures]) -> Value {
    let by_variant =
        VARIANTS.iter().zip(all).map(|(variant, figures)| (variant.name.to_string(), figures.json()));
    Value::Object(by_variant.collect::<Map<_, _>>())
}

/// Checks the bounds of a case, which are those of the merge.
pub(super) fn check(case: &Case, all: &[Figures], bounds: &mut Bounds) {
    let [list, believed, merge] = all else { return };
    let (name, last_work) = (case.name, merge.last_work.max());
    bounds.check(merge.load.lost == 0, || format!("{name}: the merge lost {} requests", merge.load.lost));
    bounds.check(last_work <= LAST_WORK, || {
        format!("{name}: new work {} ms after a departure", last_work / 1000)
    });
    bounds.check(merge.smallest_pool != Some(0), || format!("{name}: the pool was empty"));
    if case.must_beat_others() {
        for (variant, other) in [("list only", list), ("believed", believed)] {
            let (own, other) = (merge.load.service(), other.load.service());
            bounds.check(own > other, || format!("{name}: service {own:.4}, and {other:.4} by {variant}"));
        }
    }
}
