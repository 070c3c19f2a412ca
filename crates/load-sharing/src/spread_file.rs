//! The operators' settings of the load sharing, `spread.json`, and the validation of their values.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Accepted values of `period_ms`.
const PERIOD_MS: RangeInclusive<u64> = 100..=10_000;
/// Accepted values of `fanout`.
const FANOUT: RangeInclusive<u8> = 0..=8;
/// Accepted values of `probes_per_s`.
const PROBES_PER_S: RangeInclusive<f64> = 0.0..=100.0;

/// Settings of the load sharing, in a file under `deploy/`. `larchway schema spread` prints the schema.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SpreadFile {
    /// Name of the field of stores' load reports that contains the load, from 0 to about 1.
    #[serde(default = "field")]
    pub field: String,
    /// Time between two rounds, in ms, from 100 to 10000. Each round sends datagrams and adjusts the offload shares.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
    /// Number of datagrams to random peers in a round, from 0 to 8. With 0, gateways use only the load reports that
    /// they receive themselves.
    #[serde(default = "fanout")]
    pub fanout: u8,
    /// Load samples per second that all gateways of the location together request from a store whose load reports are
    /// too rare, from 0 (none) to 100. Each sample is a request that the store must answer.
    #[serde(default)]
    pub probes_per_s: f64,
}

fn field() -> String {
    "util".into()
}

fn period_ms() -> u64 {
    500
}

fn fanout() -> u8 {
    2
}

impl Default for SpreadFile {
    fn default() -> Self {
        SpreadFile { field: field(), period_ms: period_ms(), fanout: fanout(), probes_per_s: 0.0 }
    }
}

/// Why the load-sharing settings are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum SpreadFileError {
    /// The name of the load report's field is empty.
    #[error("field: it is empty")]
    EmptyField,
    /// The period is out of its range.
    #[error("period_ms: {period_ms} is not from {} to {}", PERIOD_MS.start(), PERIOD_MS.end())]
    PeriodOutOfRange {
        /// The rejected value.
        period_ms: u64,
    },
    /// The fanout is out of its range.
    #[error("fanout: {fanout} is not from {} to {}", FANOUT.start(), FANOUT.end())]
    FanoutOutOfRange {
        /// The rejected value.
        fanout: u8,
    },
    /// The rate of load samples is out of its range.
    #[error("probes_per_s: {probes_per_s} is not from {} to {}", PROBES_PER_S.start(), PROBES_PER_S.end())]
    SampleRateOutOfRange {
        /// The rejected value.
        probes_per_s: f64,
    },
}

impl SpreadFile {
    /// The time between two rounds.
    pub(crate) fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    /// Checks that the field is named and each number is in its range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key whose value is empty or out of range.
    pub fn check(&self) -> Result<(), SpreadFileError> {
        let SpreadFile { ref field, period_ms, fanout, probes_per_s } = *self;
        if field.is_empty() {
            return Err(SpreadFileError::EmptyField);
        }
        if !PERIOD_MS.contains(&period_ms) {
            return Err(SpreadFileError::PeriodOutOfRange { period_ms });
        }
        if !FANOUT.contains(&fanout) {
            return Err(SpreadFileError::FanoutOutOfRange { fanout });
        }
        if !PROBES_PER_S.contains(&probes_per_s) {
            return Err(SpreadFileError::SampleRateOutOfRange { probes_per_s });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
