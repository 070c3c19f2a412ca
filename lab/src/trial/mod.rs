//! Trials: real processes of the daemon and stand-ins on loopback, failures, figures, and bounds that must hold.
mod bounds;
pub mod capacity;
pub mod cluster;
pub mod cold;
pub mod configuration;
mod console;
pub mod descriptors;
pub mod distribution;
mod edge_stores;
mod error;
pub mod gateway;
pub mod hierarchy;
mod list_entry;
pub mod membership;
mod parallel;
mod scratch_folder;
pub mod settings;
pub mod site_lists;
pub mod spread;
pub mod upgrade;
mod wall_clock;

pub use error::TrialError;

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
pub const NAMES: [&str; 10] = [
    "membership",
    "hierarchy",
    "upgrade",
    "spread",
    "fleet",
    "cold",
    "capacity",
    "distribution",
    "configuration",
    "site-lists",
];

/// Plays a trial.
pub fn play(name: &str, seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    match name {
        "membership" => membership::play(seed, only),
        "hierarchy" => hierarchy::play(seed, only),
        "upgrade" => upgrade::play(seed, only),
        "spread" => spread::play(seed, only),
        "fleet" => cluster::play(seed, only),
        "cold" => cold::play(seed, only),
        "capacity" => capacity::play(seed, only),
        "distribution" => distribution::play(seed, only),
        "configuration" => configuration::play(seed, only),
        "site-lists" => site_lists::play(seed),
        other => Err(TrialError::UnknownTrial { name: other.into(), known: NAMES.join(", ") }),
    }
}
