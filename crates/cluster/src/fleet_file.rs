//! The operators' settings of the fleet, `fleet.json`, and the validation of their values.
use crate::lease;
use crate::tiers::SitePlace;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Accepted values of `pause_ms`.
const PAUSE_MS: RangeInclusive<u64> = 500..=20_000;
/// Accepted values of `period_ms`.
const PERIOD_MS: RangeInclusive<u64> = 250..=10_000;
/// Accepted values of `lease_ms`.
const LEASE_MS: RangeInclusive<u64> = 400..=lease::MAX_LEASE.as_millis() as u64;
/// Accepted values of `floor`.
const FLOOR: RangeInclusive<f64> = 0.0..=1.0;

/// Settings of the fleet, in a file under `deploy/`. `larchway schema fleet` prints the schema.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Longest pause of a gateway, in ms, after which it is not considered dead; from 500 to 20000.
    #[serde(default = "pause_ms")]
    pub pause_ms: u64,
    /// Time between two periodic exchanges with another gateway, in ms, from 250 to 10000; further exchanges follow
    /// while a gateway is suspected.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// Part of its configured share that a gateway may always use, from 0 to 1. The rest is leased to the gateways that
    /// have a live session with the ensemble. Without an ensemble there are no leases, and each gateway may use its
    /// whole share.
    #[serde(default = "floor")]
    pub floor: f64,
    /// Time for which a lease on a share lasts after the last request to the ensemble, in ms, from 400 to 2000. Must be
    /// the same at all gateways.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Whether gateways notify each other of failing stores. Each gateway still ejects a store only because of its own
    /// requests.
    #[serde(rename = "words", default = "health_gossip")]
    pub health_gossip: bool,
    /// The site, zone and region of each gateway; must be the same at all gateways. If present, gateways monitor each
    /// other within a site and know how many are alive at each other place; if absent, all monitor all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sites: Option<Vec<SitePlace>>,
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

fn health_gossip() -> bool {
    true
}

/// Why the fleet settings are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum FleetFileError {
    /// A time, in ms, is out of its range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The key in the file.
        key: &'static str,
        /// The rejected value.
        value: u64,
        /// The least value that is accepted.
        min: u64,
        /// The greatest value that is accepted.
        max: u64,
    },
    /// The floor is out of its range.
    #[error("floor: {floor} is not from {} to {}", FLOOR.start(), FLOOR.end())]
    FloorOutOfRange {
        /// The rejected value.
        floor: f64,
    },
}

impl Default for FleetFile {
    fn default() -> Self {
        FleetFile {
            pause_ms: pause_ms(),
            period_ms: period_ms(),
            floor: floor(),
            lease_ms: lease_ms(),
            health_gossip: health_gossip(),
            sites: None,
        }
    }
}

impl FleetFile {
    /// The longest pause of a gateway after which it is not considered dead.
    pub(crate) fn longest_pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }

    /// The time between two periodic exchanges.
    pub(crate) fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key whose value is out of range.
    pub fn check(&self) -> Result<(), FleetFileError> {
        check_range("pause_ms", self.pause_ms, PAUSE_MS)?;
        check_range("period_ms", self.period_ms, PERIOD_MS)?;
        check_range("lease_ms", self.lease_ms, LEASE_MS)?;
        if !FLOOR.contains(&self.floor) {
            return Err(FleetFileError::FloorOutOfRange { floor: self.floor });
        }
        Ok(())
    }
}

fn check_range(key: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), FleetFileError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(FleetFileError::OutOfRange { key, value, min: *range.start(), max: *range.end() })
}
