//! The operator's policy for the merge. All times in the file are in ms.
use crate::damping::DampingSettings;
use crate::mass_departure::MassDepartureSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

const MILLIS_PER_HOUR: u64 = 3_600_000;
/// Limit on the time for which an endpoint whose session has ended stays in service. It must get nothing new 1 s after
/// its departure is known; the rest is for the event loop.
const MAX_DOUBT_MS: u64 = 900;
/// Limit of the flap penalties that can be configured.
const MAX_PENALTY: f64 = 1e9;

/// What a source counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Endpoints that it does not name get no work.
    Required,
    /// Endpoints that it names get work, and those whose departure it reports get none.
    Sufficient,
    /// It is only shown to the operator.
    Advisory,
}

/// How the sources are merged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Merge")]
pub enum MergeMode {
    /// By rules over all sources.
    #[default]
    #[serde(rename = "merge")]
    Rules,
    /// The nodes as they are, without the list; for comparison.
    #[serde(rename = "believe")]
    NodesOnly,
}

/// What makes a mass departure, in which the end of a session is doubted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "MassPolicy")]
pub struct MassDeparturePolicy {
    /// Departures within this time are counted together.
    pub window_ms: u64,
    /// More than this share of the endpoints makes a mass departure.
    pub share: f64,
    /// Least number of departures that makes a mass departure.
    pub least: usize,
}

/// Flap damping in the manner of RFC 2439. A flap adds 1,000 to the penalty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DampingPolicy {
    /// Time in which a penalty decays to half.
    pub half_life_ms: u64,
    /// Penalty above which an endpoint gets no work.
    pub suppress: f64,
    /// Penalty below which it gets work again.
    pub reuse: f64,
    /// Longest time without work after the last flap.
    pub longest_ms: u64,
}

/// The policy for the merge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How the sources are merged.
    pub merge: MergeMode,
    /// What the bulletin's list counts for.
    pub list: Role,
    /// What ephemeral nodes count for.
    pub nodes: Role,
    /// Grace period after the end of a session without a drain, in which it may come back or prove to be part of a mass
    /// departure. At most 900.
    pub settle_ms: u64,
    /// For how long an answer shows that an endpoint is alive.
    pub alive_ms: u64,
    /// In a mass departure, the time in which an endpoint that answered before has to answer again. At most 900.
    pub confirm_ms: u64,
    /// For how long the list must go on naming an endpoint, and stay connected, to outweigh the end of its session.
    pub refute_ms: u64,
    /// After the end of its session an endpoint is draining for this time, then removed; what was learned of it is lost
    /// with its removal.
    pub linger_ms: u64,
    /// An endpoint that was away for longer is taken for a new process, unless its node says otherwise.
    pub cold_after_ms: u64,
    /// What makes a mass departure.
    #[serde(rename = "mass")]
    pub mass_departure: MassDeparturePolicy,
    /// Flap damping.
    pub damping: DampingPolicy,
}

/// Why a policy is rejected. The text names the key of the file.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PolicyError {
    /// A value is not in its range.
    #[error("{key}: {value} is not from {least} to {most}")]
    OutOfRange {
        /// The key of the file.
        key: &'static str,
        /// The value.
        value: u64,
        /// The least valid value.
        least: u64,
        /// The greatest valid value.
        most: u64,
    },
    /// The share that makes a mass departure is not a proper fraction.
    #[error("mass.share: {0} is not between 0 and 1")]
    MassDepartureShare(f64),
    /// The reuse threshold is invalid.
    #[error("damping.reuse: {0} is not from 1")]
    ReuseThreshold(f64),
    /// The suppress threshold is invalid.
    #[error("damping.suppress: {0} is not above damping.reuse")]
    SuppressThreshold(f64),
    /// The highest penalty that the longest suppression allows is below the suppress threshold.
    #[error("damping.longest_ms: {0} is too short for damping.suppress to be reached")]
    UnreachableSuppressThreshold(u64),
    /// No source decides.
    #[error("list, nodes: one of them must be required or sufficient")]
    AllSourcesAdvisory,
}

impl Default for MassDeparturePolicy {
    fn default() -> Self {
        MassDeparturePolicy { window_ms: 3000, share: 0.3, least: 3 }
    }
}

impl Default for DampingPolicy {
    fn default() -> Self {
        DampingPolicy { half_life_ms: 15_000, suppress: 2500.0, reuse: 1000.0, longest_ms: 60_000 }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            merge: MergeMode::Rules,
            list: Role::Sufficient,
            nodes: Role::Sufficient,
            settle_ms: 250,
            alive_ms: 5000,
            confirm_ms: 800,
            refute_ms: 10_000,
            linger_ms: 10_000,
            cold_after_ms: 30_000,
            mass_departure: MassDeparturePolicy::default(),
            damping: DampingPolicy::default(),
        }
    }
}

impl Policy {
    /// Checks all values; the error names the first key that is invalid.
    pub fn check(&self) -> Result<(), PolicyError> {
        self.check_ranges()?;
        self.check_mass_departure()?;
        self.check_damping()?;
        if self.list == Role::Advisory && self.nodes == Role::Advisory {
            return Err(PolicyError::AllSourcesAdvisory);
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), PolicyError> {
        check_range("settle_ms", self.settle_ms, 0..=MAX_DOUBT_MS)?;
        check_range("confirm_ms", self.confirm_ms, self.settle_ms..=MAX_DOUBT_MS)?;
        check_range("alive_ms", self.alive_ms, 100..=600_000)?;
        check_range("refute_ms", self.refute_ms, 1000..=MILLIS_PER_HOUR)?;
        check_range("linger_ms", self.linger_ms, 0..=MILLIS_PER_HOUR)?;
        check_range("cold_after_ms", self.cold_after_ms, 0..=MILLIS_PER_HOUR)?;
        check_range("mass.window_ms", self.mass_departure.window_ms, 100..=60_000)?;
        check_range("mass.least", self.mass_departure.least as u64, 2..=65_536)?;
        check_range("damping.half_life_ms", self.damping.half_life_ms, 100..=MILLIS_PER_HOUR)?;
        check_range("damping.longest_ms", self.damping.longest_ms, 1000..=MILLIS_PER_HOUR)
    }

    fn check_mass_departure(&self) -> Result<(), PolicyError> {
        let share = self.mass_departure.share;
        if share > 0.0 && share < 1.0 {
            Ok(())
        } else {
            Err(PolicyError::MassDepartureShare(share))
        }
    }

    fn check_damping(&self) -> Result<(), PolicyError> {
        let DampingPolicy { suppress, reuse, longest_ms, .. } = self.damping;
        let reuse_is_valid = (1.0..MAX_PENALTY).contains(&reuse);
        if !reuse_is_valid {
            return Err(PolicyError::ReuseThreshold(reuse));
        }
        let suppress_is_valid = suppress > reuse && suppress < MAX_PENALTY;
        if !suppress_is_valid {
            return Err(PolicyError::SuppressThreshold(suppress));
        }
        if self.damping_settings().ceiling() <= suppress {
            return Err(PolicyError::UnreachableSuppressThreshold(longest_ms));
        }
        Ok(())
    }

    /// The settings of flap damping.
    pub fn damping_settings(&self) -> DampingSettings {
        DampingSettings {
            half_life: Duration::from_millis(self.damping.half_life_ms),
            suppress: self.damping.suppress,
            reuse: self.damping.reuse,
            max_suppress_time: Duration::from_millis(self.damping.longest_ms),
        }
    }

    /// The settings of the detection of mass departures.
    pub fn mass_departure_settings(&self) -> MassDepartureSettings {
        MassDepartureSettings {
            window: Duration::from_millis(self.mass_departure.window_ms),
            share: self.mass_departure.share,
            least: self.mass_departure.least,
        }
    }
}

fn check_range(key: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), PolicyError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(PolicyError::OutOfRange { key, value, least: *range.start(), most: *range.end() })
}
