//! Trials: real processes of the daemon and stand-ins on loopback, failures, figures, and bounds that must hold.
pub mod capacity;
pub mod cold;
pub mod distribution;
pub mod fleet;
pub mod hierarchy;
pub mod membership;
pub mod spread;
pub mod tier;
pub mod upgrade;

use serde_json::Value;

/// What a trial found.
pub struct Outcome {
    /// A table for people.
    pub table: String,
    /// All figures.
    pub figures: Value,
    /// The bounds that were broken; none is a pass.
    pub broken: Vec<String>,
}

/// The trials by name.
pub const NAMES: [&str; 8] =
    ["membership", "hierarchy", "upgrade", "spread", "fleet", "cold", "capacity", "distribution"];

/// Plays a trial.
pub fn play(name: &str, seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    match name {
        "membership" => membership::play(seed, only),
        "hierarchy" => hierarchy::play(seed, only),
        "upgrade" => upgrade::play(seed, only),
        "spread" => spread::play(seed, only),
        "fleet" => tier::play(seed, only),
        "cold" => cold::play(seed, only),
        "capacity" => capacity::play(seed, only),
        "distribution" => distribution::play(seed, only),
        other => Err(format!("there is no trial {other:?}; there are: {}", NAMES.join(", "))),
    }
}
