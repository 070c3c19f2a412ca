//! `trial spread`: a tier of many gateways before a dozen stores, each gateway with a sliver of the traffic, under
//! faults between them; with load sharing, as without it, and what the plain hash would give, side by side.
mod report;
mod run;
mod span;
mod world;

pub use span::Span;
pub use world::World;

use super::bounds::Bounds;
use super::edge_stores::{STORES, WORKERS};
use super::{Outcome, TrialError};
use serde_json::json;

/// Share of all stores' capacity that is asked for.
const LOAD: f64 = 0.45;
const OBJECTS: u64 = 20_000;
/// The popularity of objects: the exponent of Zipf's law.
const ZIPF: f64 = 0.9;
/// The file of load sharing that the trial gives its gateways.
pub const FILE: &str = r#"{"field":"util","period_ms":500,"fanout":2}"#;

/// So many gateways, with load sharing or without it.
struct Variant {
    name: &'static str,
    gateways: usize,
    file: Option<&'static str>,
}

const VARIANTS: [Variant; 3] = [
    Variant { name: "view-200", gateways: 200, file: Some(FILE) },
    Variant { name: "alone-200", gateways: 200, file: None },
    Variant { name: "view-20", gateways: 20, file: Some(FILE) },
];

/// What the plain hash would give each store, by the popularity of what is asked for.
fn plain_hash() -> Span {
    let stores: Vec<u64> = (0..STORES)
        .map(|number| larchway_endpoints::endpoint::endpoint_id(&format!("s-a{number}")))
        .collect();
    let mut loads = vec![0.0; STORES];
    let weights: Vec<f64> = (1..=OBJECTS).map(|rank| (rank as f64).powf(-ZIPF)).collect();
    let all: f64 = weights.iter().sum();
    for (rank, weight) in (1..=OBJECTS).zip(&weights) {
        let key = larchway::mix(larchway::mix(rank) ^ larchway::mix(1));
        let place = |store: &usize| larchway::rendezvous_rank(key, stores[*store], WORKERS as f64);
        let first = (0..STORES).min_by(|a, b| place(a).total_cmp(&place(b))).unwrap_or(0);
        loads[first] += weight / all * STORES as f64 * LOAD;
    }
    Span { name: "steady, as computed", loads }
}

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    if let Some(case) = only.filter(|case| !VARIANTS.iter().any(|variant| variant.name == *case)) {
        let names = VARIANTS.map(|variant| variant.name).join(", ");
        return Err(TrialError::UnknownCase { name: case.into(), known: names });
    }
    let (mut table, mut variants, mut bounds) = (report::header(), Vec::new(), Bounds::default());
    let hash = plain_hash();
    table.push_str(&report::hash_row(&hash));
    for variant in VARIANTS.iter().filter(|variant| only.is_none_or(|only| only == variant.name)) {
        let figures = run::play_variant(variant, seed)?;
        table.push_str(&report::rows(&figures));
        report::check_senders(&figures, &mut bounds);
        if variant.file.is_some() {
            report::check_sharing(&figures, &mut bounds);
        }
        variants.push(figures.json());
    }
    let figures = json!({ "seed": seed, "plain_max_over_mean": hash.max_over_mean(), "ways": variants });
    Ok(Outcome { table, figures, broken: bounds.into_broken() })
}
