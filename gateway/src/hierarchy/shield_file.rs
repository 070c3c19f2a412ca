//! The section of the hierarchy's file that configures the shield of the origin.
use super::HierarchyFileError;
use crate::spans::floor_millis;
use larchway_hierarchy::origin_admission::AdmissionSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Accepted factors by which the limit is multiplied to decrease it.
const DECREASE_FACTOR: RangeInclusive<f64> = 0.1..=0.99;
/// Accepted multiples of the lowest latency from which on a reply is slow.
const SLOW_FACTOR: RangeInclusive<f64> = 1.1..=100.0;
/// Accepted shares of the limit that one hub may use.
const HUB_SHARE: RangeInclusive<f64> = 0.01..=1.0;
/// Accepted lengths of the window of the lowest latency, in milliseconds.
const LATENCY_WINDOW_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Accepted minimum intervals between two fetches of one object, in milliseconds.
const MIN_INTERVAL_MS: RangeInclusive<u64> = 1..=60_000;
/// Accepted times, in milliseconds, for which a failed fetch is not repeated.
const FAILURE_HOLD_MS: RangeInclusive<u64> = 1..=600_000;
/// Accepted numbers of objects whose last fetch is remembered.
const OBJECTS: RangeInclusive<u64> = 1..=1_000_000;

/// The shield that limits fills from the origin. The limits apply to all gateways together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ShieldFile {
    /// Limit of concurrent fills at the start.
    pub first: u32,
    /// Lowest limit of concurrent fills.
    pub least: u32,
    /// Highest limit of concurrent fills.
    pub most: u32,
    /// Factor by which the limit is multiplied when the origin shows signs of overload.
    pub decrease: f64,
    /// A reply slower than the lowest recent latency times this factor is a sign of overload.
    pub slow: f64,
    /// Length in ms of the window over which the lowest latency is taken.
    pub memory_ms: u64,
    /// Share of the limit that one hub may use while other hubs need it too.
    pub hub_share: f64,
    /// Minimum interval in ms between two fills of one object that cannot be joined.
    pub space_ms: u64,
    /// Time in ms for which an object that the origin failed to deliver is not fetched again.
    pub forget_ms: u64,
    /// Maximum number of objects whose last fetch is remembered.
    pub objects: u32,
}

impl Default for ShieldFile {
    fn default() -> Self {
        let default = AdmissionSettings::default();
        ShieldFile {
            first: default.initial_limit as u32,
            least: default.min_limit as u32,
            most: default.max_limit as u32,
            decrease: default.decrease_factor,
            slow: default.slow_factor,
            memory_ms: floor_millis(default.latency_window),
            hub_share: default.hub_share,
            space_ms: floor_millis(default.min_interval),
            forget_ms: floor_millis(default.failure_hold),
            objects: default.max_objects as u32,
        }
    }
}

impl ShieldFile {
    pub(super) fn check(&self) -> Result<(), HierarchyFileError> {
        if self.least < 1 || self.first < self.least || self.most < self.first {
            return Err(HierarchyFileError::ShieldLimits);
        }
        HierarchyFileError::check_number("shield.decrease", self.decrease, DECREASE_FACTOR)?;
        HierarchyFileError::check_number("shield.slow", self.slow, SLOW_FACTOR)?;
        HierarchyFileError::check_number("shield.hub_share", self.hub_share, HUB_SHARE)?;
        HierarchyFileError::check_integer("shield.memory_ms", self.memory_ms, LATENCY_WINDOW_MS)?;
        HierarchyFileError::check_integer("shield.space_ms", self.space_ms, MIN_INTERVAL_MS)?;
        HierarchyFileError::check_integer("shield.forget_ms", self.forget_ms, FAILURE_HOLD_MS)?;
        HierarchyFileError::check_integer("shield.objects", self.objects.into(), OBJECTS)
    }

    /// The settings of the admission of fetches from the origin.
    pub fn admission_settings(&self) -> AdmissionSettings {
        AdmissionSettings {
            initial_limit: f64::from(self.first),
            min_limit: f64::from(self.least),
            max_limit: f64::from(self.most),
            decrease_factor: self.decrease,
            slow_factor: self.slow,
            latency_window: Duration::from_millis(self.memory_ms),
            hub_share: self.hub_share,
            min_interval: Duration::from_millis(self.space_ms),
            failure_hold: Duration::from_millis(self.forget_ms),
            max_objects: self.objects as usize,
        }
    }
}
