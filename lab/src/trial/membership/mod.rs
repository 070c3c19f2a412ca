//! `trial membership`: departures, flaps, silence and lies of the membership service, in three variants: the list
//! only, nodes believed as they come (as the program did before), and the merge. Times of the requirement are scaled
//! down to what one machine plays in minutes: a service silent for 30 s is silent for 8 with a session of 2 s, and a
//! list that is 7 s late is 3 s late.
mod actions;
mod departures;
mod figures;
mod fleet;
mod observer;
mod report;
mod run;
mod scale;
mod script;

use super::bounds::Bounds;
use super::parallel::play_all;
use super::{Outcome, TrialError};
use figures::Figures;
use larchway::Micros;
use script::Case;
use serde_json::{Map, Value};

const MS: Micros = 1000;
const CACHES: usize = 8;
const GATEWAYS: usize = 3;
/// Requests a second at each gateway: with all caches, a fifth of what they can do.
const RATE: f64 = 90.0;
const SPAN: Micros = 13_000 * MS;
/// From a store's departure to the last new work, at most.
const LAST_WORK: Micros = 1_000 * MS;
/// ms by which the list is late with a departure; the merge waits a little longer for it (7 s and 10 s by default).
const LIST_DELAY_MS: u64 = 3000;
/// A sender that runs later than this voids the run, which is then played anew, so many times in all.
const SENDER_DELAY: Micros = 60 * MS;
const ATTEMPTS: u64 = 3;

/// A way to learn of stores.
struct Variant {
    name: &'static str,
    /// Further keys of the ensemble's file.
    settings: &'static str,
}

const VARIANTS: [Variant; 3] = [
    Variant { name: "list only", settings: "" },
    Variant { name: "believed", settings: r#","stores":"/stores","policy":{"merge":"believe"}"# },
    Variant { name: "merge", settings: r#","stores":"/stores","gateways":true,"policy":{"refute_ms":4300}"# },
];

impl Variant {
    /// Whether nodes count, not the list alone.
    const fn merges(&self) -> bool {
        !self.settings.is_empty()
    }
}

/// Plays all cases, or the one of that name.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let mut table = report::header();
    let (mut all_figures, mut bounds) = (Map::new(), Bounds::default());
    for case in script::cases().iter().filter(|case| only.is_none_or(|only| only == case.name)) {
        let played = play_case(case, seed, &mut bounds)?;
        for (variant, figures) in VARIANTS.iter().zip(&played) {
            table.push_str(&report::row(case, variant.name, figures));
        }
        report::check(case, &played, &mut bounds);
        all_figures.insert(case.name.to_string(), report::json(&played));
    }
    if only.is_none() {
        let scale = scale::play(&mut bounds);
        table.push_str(&scale.text);
        all_figures.insert("scale".into(), scale.figures);
    }
    Ok(Outcome { table, figures: Value::Object(all_figures), broken: bounds.into_broken() })
}

/// Plays a case in all variants, and anew where a sender ran late.
fn play_case(case: &Case, seed: u64, bounds: &mut Bounds) -> Result<Vec<Figures>, TrialError> {
    let mut played = Vec::new();
    for attempt in 0..ATTEMPTS {
        played = play_all(VARIANTS.len(), |number| {
            let label = format!("{}-{number}", case.name.replace([' ', ','], "-"));
            run::play_variant(case, &VARIANTS[number], &label, seed + attempt)
        })?;
        if played.iter().all(|figures| figures.load.behind < SENDER_DELAY) {
            return Ok(played);
        }
    }
    bounds.check(false, || format!("{}: the load ran late three times, the machine is too busy", case.name));
    Ok(played)
}
