//! The operators' file of the fleet, and the check of its values.
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
    /// ms for which a lease on a share holds after the ensemble was last asked, from 400 to 2000; alike at all
    /// gateways.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Whether gateways tell each other of stores that fail; each still puts a store out by its own requests alone.
    #[serde(rename = "words", default = "health_gossip")]
    pub health_gossip: bool,
    /// The site, zone and region of each gateway, alike at all gateways. With it, gateways watch each other by site,
    /// and know how many live elsewhere; without it, all watch all.
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

/// Why a file of the fleet cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum FleetFileError {
    /// A time is out of its range, ms.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Its key in the file.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The least value that is accepted.
        min: u64,
        /// The greatest value that is accepted.
        max: u64,
    },
    /// The floor is out of its range.
    #[error("floor: {floor} is not from {} to {}", FLOOR.start(), FLOOR.end())]
    FloorOutOfRange {
        /// Its value.
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
    /// The longest time for which a gateway may stand still without being taken for dead.
    pub(crate) fn longest_pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }

    /// The time between two exchanges while nothing is in doubt.
    pub(crate) fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    /// Checks that each value can be used.
    ///
    /// # Errors
    ///
    /// Names the first key whose value is out of range.
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
