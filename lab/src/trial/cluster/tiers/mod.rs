//! The case `tiers`: hollow gateways of the full fleet, by site, zone and region, in virtual time: who is counted dead
//! though alive, how soon a death is known in its site and in the numbers everywhere, and what that costs at n, 4n and
//! 16n; beside one flat tier at the sizes that it can bear.
mod faults;
mod flat;
mod layout;
mod observer;
mod replay;
mod run;
mod scenarios;
mod world;

use crate::trial::bounds::Bounds;
use crate::trial::TrialError;
use serde_json::{json, Value};

/// Seeds that are played, from the one given on.
const SEEDS: u64 = 10;
/// Worlds that are played at once.
const WORKERS: usize = 3;

/// Plays the case; adds to the table, and returns the figures.
pub(super) fn play(seed: u64, table: &mut String, bounds: &mut Bounds) -> Result<Value, TrialError> {
    let costs = run::play_costs(seed, table, bounds)?;
    let flat = flat::play(seed, table)?;
    let seeds: Vec<u64> = (seed..seed + SEEDS).collect();
    let faults = run::play_seeds(&seeds, WORKERS, table, bounds)?;
    Ok(json!({ "costs": costs, "flat": flat, "faults": faults }))
}
