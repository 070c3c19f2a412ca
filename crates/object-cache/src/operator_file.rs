//! The operator file of the cache, `deploy/copies.json`. Its keys and its schema are stable; the comments of
//! [`CopiesFile`] and its fields are the descriptions in the schema.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Accepted values of `memory_percent`.
const MEMORY_PERCENT: RangeInclusive<u8> = 1..=50;
/// Accepted values of `largest_percent`.
const LARGEST_PERCENT: RangeInclusive<u8> = 1..=100;
/// Accepted values of `wait_percent`.
const WAIT_PERCENT: RangeInclusive<u8> = 0..=100;

/// Settings of the object cache, `deploy/copies.json`. `larchway schema copies` prints their schema.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CopiesFile {
    /// Share of the memory limit that cached objects may take, in percent, from 1 to 50. The memory of client
    /// connections is deducted from it, so both together never take more than the larger of their two limits.
    #[serde(default = "memory_percent")]
    pub memory_percent: u8,
    /// Share of the cache's capacity that a single object may take, in percent, from 1 to 100.
    #[serde(default = "largest_percent")]
    pub largest_percent: u8,
    /// Share of a class's latency objective that a reply may wait for earlier replies on the gateway's client link, in
    /// percent, from 0 to 100. A request whose reply would wait longer is forwarded to the stores.
    #[serde(default = "wait_percent")]
    pub wait_percent: u8,
}

fn memory_percent() -> u8 {
    25
}

fn largest_percent() -> u8 {
    10
}

fn wait_percent() -> u8 {
    25
}

impl Default for CopiesFile {
    fn default() -> Self {
        let (memory_percent, largest_percent) = (memory_percent(), largest_percent());
        CopiesFile { memory_percent, largest_percent, wait_percent: wait_percent() }
    }
}

impl CopiesFile {
    /// Checks that each value is in its accepted range.
    ///
    /// # Errors
    ///
    /// Names the first key whose value is out of range.
    pub fn check(&self) -> Result<(), CopiesFileError> {
        check_range("memory_percent", self.memory_percent, MEMORY_PERCENT)?;
        check_range("largest_percent", self.largest_percent, LARGEST_PERCENT)?;
        check_range("wait_percent", self.wait_percent, WAIT_PERCENT)
    }
}

fn check_range(key: &'static str, value: u8, range: RangeInclusive<u8>) -> Result<(), CopiesFileError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(CopiesFileError::OutOfRange { key, value, least: *range.start(), most: *range.end() })
}

/// Why the operator file of the cache cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CopiesFileError {
    /// A percentage is out of its range.
    #[error("{key}: {value} is not from {least} to {most}")]
    OutOfRange {
        /// The key of the value in the file.
        key: &'static str,
        /// The rejected value.
        value: u8,
        /// The smallest accepted value.
        least: u8,
        /// The largest accepted value.
        most: u8,
    },
}
