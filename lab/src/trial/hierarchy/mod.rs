//! `trial hierarchy`: migrations between topologies on real sockets, in five variants: the plain hash over the list
//! (as without a topology), all at once, the ramp, and the last two with the shield of the origin. Scaled down: a
//! busy minute is 26 s, four caches, three parents, one origin.
mod figures;
mod placement;
mod report;
mod run;
mod scale;
mod script;
mod variant;
mod world;

use super::bounds::Bounds;
use super::parallel::play_all;
use super::{Outcome, TrialError};
use larchway::Micros;
use serde_json::{Map, Value};
use variant::VARIANTS;

const GATEWAYS: usize = 2;
/// Requests a second at each gateway.
const RATE: f64 = 120.0;
const SPAN: Micros = 26_000_000;
const OBJECTS: u64 = 1500;
/// When the migration begins, ms: the caches and parents know the popular objects by then.
const MIGRATION_MS: u64 = 8000;
/// The same, µs.
const MIGRATION: Micros = MIGRATION_MS * 1000;
/// A cold parent's load over what it can give, at most, in any second; rules of the platform allow 2.
const COLD_LOAD: f64 = 2.0;

/// Plays all cases, or the one of that name.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let mut table = report::header();
    let (mut all_figures, mut bounds) = (Map::new(), Bounds::default());
    for case in script::cases().iter().filter(|case| only.is_none_or(|only| only == case.name)) {
        let played = play_all(VARIANTS.len(), |number| {
            let label = format!("{}-{number}", case.name.replace(' ', "-"));
            run::play_variant(case, VARIANTS[number], &label, seed)
        })?;
        for (variant, figures) in VARIANTS.iter().zip(&played) {
            table.push_str(&report::row(case, *variant, figures));
        }
        report::check(case, &played, &mut bounds);
        all_figures.insert(case.name.to_string(), report::json(&played));
    }
    if only.is_none() {
        let scale = scale::play(seed, &mut bounds);
        table.push_str(&scale.text);
        all_figures.insert("scale".into(), scale.figures);
    }
    Ok(Outcome { table, figures: Value::Object(all_figures), broken: bounds.into_broken() })
}
