//! The settings by which loops are inferred where requests carry no trail.
use super::HierarchyFileError;
use larchway_hierarchy::loop_detection::LoopInferenceSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Accepted sizes of the window, in fills.
const WINDOW: RangeInclusive<u64> = 4..=1000;
/// Accepted shares of failed fills in the window.
const FAILURE_SHARE: RangeInclusive<f64> = 0.5..=1.0;
/// Accepted times, in milliseconds, for which a suspect parent is excluded.
const HOLD_MS: RangeInclusive<u64> = 100..=600_000;

/// The inference of loops from the results of fills.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct InferFile {
    /// Number of the latest fills through a parent that are evaluated.
    pub window: u32,
    /// Share of them that must have been rejected or timed out for the parent to be suspected.
    pub share: f64,
    /// Time in ms for which a suspected parent is excluded.
    pub hold_ms: u64,
}

impl Default for InferFile {
    fn default() -> Self {
        InferFile { window: 8, share: 0.75, hold_ms: 5000 }
    }
}

impl InferFile {
    /// The settings of the loop inference.
    pub(super) fn settings(&self) -> LoopInferenceSettings {
        LoopInferenceSettings {
            window: self.window as usize,
            threshold: self.share,
            exclusion: Duration::from_millis(self.hold_ms),
        }
    }

    pub(super) fn check(&self) -> Result<(), HierarchyFileError> {
        HierarchyFileError::check_integer("infer.window", self.window.into(), WINDOW)?;
        HierarchyFileError::check_number("infer.share", self.share, FAILURE_SHARE)?;
        HierarchyFileError::check_integer("infer.hold_ms", self.hold_ms, HOLD_MS)
    }
}
