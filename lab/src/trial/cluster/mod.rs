//! `trial fleet`: a tier of real gateways that know of each other, with an ensemble, under faults of links and
//! processes: who is taken for dead, what quotas are in use together, what cold stores get, and service; beside the
//! program without the cluster's file. The model's figures, in virtual time and beside other failure detectors, are
//! the case `model`; membership by site, zone and region at the size of the full fleet is the case `tiers`, which is
//! played only by its name.
mod clients;
mod figures;
mod model;
mod report;
mod run;
pub mod status;
mod tiers;
mod world;

pub use world::World;

use super::bounds::Bounds;
use super::{Outcome, TrialError};
use serde_json::{json, Value};

/// Share of all stores' capacity that is asked for.
const LOAD: f64 = 0.5;
const OBJECTS: u64 = 20_000;
/// How long a gateway's session lives without it, ms.
const SESSION_MS: u64 = 2000;
const GATEWAYS: usize = 60;
/// The cluster's file that the trial gives its gateways.
pub const FILE: &str = "{}";

/// The cases, by name: without the cluster's file, with it, and in virtual time.
const BEFORE: &str = "before";
const CLUSTER: &str = "fleet";
const MODEL: &str = "model";
const TIERS: &str = "tiers";

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let cases = [CLUSTER, BEFORE, MODEL, TIERS];
    if let Some(case) = only.filter(|case| !cases.contains(case)) {
        return Err(TrialError::UnknownCase { name: case.into(), known: cases.join(", ") });
    }
    let is_wanted = |case: &str| only.is_none_or(|only| only == case);
    let (mut table, mut variants, mut bounds) = (String::new(), Vec::new(), Bounds::default());
    let mut model = Value::Null;
    if is_wanted(MODEL) {
        model = model::play(seed, &mut table, &mut bounds)?;
    }
    let mut tiers = Value::Null;
    if only == Some(TIERS) {
        tiers = tiers::play(seed, &mut table, &mut bounds)?;
    }
    let mut worst_before = None;
    if is_wanted(BEFORE) {
        let figures = run::play_variant(BEFORE, None, GATEWAYS, seed)?;
        table.push_str(&report::rows(&figures));
        report::check_senders(&figures, &mut bounds);
        worst_before = Some(figures.worst);
        variants.push(figures.json());
    }
    if is_wanted(CLUSTER) {
        let figures = run::play_variant(CLUSTER, Some(FILE), GATEWAYS, seed)?;
        table.push_str(&report::rows(&figures));
        report::check_senders(&figures, &mut bounds);
        report::check_cluster(&figures, worst_before, &mut bounds);
        variants.push(figures.json());
    }
    let figures = json!({ "seed": seed, "ways": variants, "model": model, "tiers": tiers });
    Ok(Outcome { table, figures, broken: bounds.into_broken() })
}
