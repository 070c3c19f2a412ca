//! What the gateways of a tier know of each other: who is there ([`members`]), what share of all that is divided among
//! them each may use ([`lease`]), and what one has found of a store ([`words`]). One envelope ([`wire`]) carries all that
//! they tell each other. No I/O; the clock is an argument. See `docs/design/fleet.md`.
pub mod lease;
pub mod members;
pub mod wire;
pub mod words;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The file of the fleet under `deploy/`. Its schema is printed by `larchway schema fleet`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// ms for which a gateway may stand still without being taken for dead, from 500 to 20000.
    #[serde(default = "pause_ms")]
    pub pause_ms: u64,
    /// ms between two exchanges with another gateway while nothing is in doubt, from 250 to 10000; half of it while
    /// something is.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// Part of its configured share that a gateway may always use, from 0 to 1; the rest is lent among those whose
    /// sessions with the ensemble live. Without an ensemble nothing can be lent, and each has its whole share.
    #[serde(default = "floor")]
    pub floor: f64,
    /// ms for which a lease on a share holds after the ensemble was last asked, from 400 to 2000; alike at all gateways.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Whether gateways tell each other of stores that fail; each still puts a store out by its own requests alone.
    #[serde(default = "words_told")]
    pub words: bool,
}

fn pause_ms() -> u64 {
    2000
}

fn period_ms() -> u64 {
    500
}

fn floor() -> f64 {
    0.5
}

fn lease_ms() -> u64 {
    1500
}

fn words_told() -> bool {
    true
}

impl Default for FleetFile {
    fn default() -> Self {
        FleetFile {
            pause_ms: pause_ms(),
            period_ms: period_ms(),
            floor: floor(),
            lease_ms: lease_ms(),
            words: words_told(),
        }
    }
}

impl FleetFile {
    /// Whether its values can be used; names the one that cannot.
    pub fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: u64, (least, most): (u64, u64)| match (least..=most).contains(&value)
        {
            true => Ok(()),
            false => Err(format!("{key}: {value} is not from {least} to {most}")),
        };
        within("pause_ms", self.pause_ms, (500, 20_000))?;
        within("period_ms", self.period_ms, (250, 10_000))?;
        within("lease_ms", self.lease_ms, (400, lease::LONGEST / 1000))?;
        if !(0.0..=1.0).contains(&self.floor) {
            return Err(format!("floor: {} is not from 0 to 1", self.floor));
        }
        Ok(())
    }
}
