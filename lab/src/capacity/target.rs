//! The operators' figures: the size of two years, the budgets, and what the page assumes.
use super::error::CapacityError;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What `docs/capacity/target.json` holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// How many there are of each role.
    pub fleet: FleetSize,
    /// What comes in.
    pub load: Load,
    /// What a gateway may spend for control.
    pub control_budget: ControlBudget,
    /// Failures that have to be carried.
    pub failures: Failures,
    /// What the operators have not stated; marked *assumed* on the page.
    pub assumed: Assumed,
    /// Needs that are compared with a budget.
    pub needs: Vec<Need>,
}

/// How many there are of each role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Gateways.
    pub gateways: f64,
    /// Sites.
    pub sites: f64,
    /// Zones.
    pub zones: f64,
    /// Regions.
    pub regions: f64,
    /// Stores.
    pub stores: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
}

/// What comes in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second of all clients at the peak.
    pub requests_per_second: f64,
    /// Tbit/s to all clients at the peak.
    pub terabits_per_second: f64,
    /// Objects.
    pub objects: f64,
    /// Purges a second.
    pub purges_per_second: f64,
    /// Seconds within which a purge is done everywhere.
    pub purge_everywhere_seconds: f64,
    /// Changes of configuration a day.
    pub configuration_changes_per_day: f64,
    /// Seconds within which a change is in force everywhere.
    pub configuration_everywhere_seconds: f64,
}

/// What a gateway may spend for control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlBudget {
    /// Percent of a core.
    pub core_percent: f64,
    /// MB of memory.
    pub memory_mb: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}

/// Failures that have to be carried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Machines restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
}

/// What the operators have not stated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// Load at the peak over the load in the mean of a day.
    pub peak_over_mean: f64,
    /// Load of the busiest region over that of the mean one.
    pub region_unevenness: f64,
    /// The same of zones.
    pub zone_unevenness: f64,
    /// The same of sites.
    pub site_unevenness: f64,
    /// The same of gateways and of stores: that of the site, and of machines within it.
    pub machine_unevenness: f64,
    /// Share of the requests that gateways answer from copies of their own.
    pub answered_by_copies: f64,
    /// Machines in a rack.
    pub machines_in_rack: f64,
    /// Seconds for which a region is cut off.
    pub region_cut_seconds: f64,
    /// Subscribers of a relay.
    pub subscribers_of_relay: f64,
    /// Seconds of the longest deadline of a class.
    pub longest_deadline_seconds: f64,
    /// Requests a second on one connection of a client at the peak.
    pub requests_per_connection: f64,
}

/// A need that is compared with a budget: a series at a size, times a factor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Need {
    /// Whose need it is.
    pub role: String,
    /// What is needed.
    pub what: String,
    /// The case and the quantity of the series.
    pub case: String,
    /// See [`Need::case`].
    pub quantity: String,
    /// The size in question.
    pub size: f64,
    /// What the value is multiplied with, such as changes a second.
    pub times: f64,
    /// The unit of the product.
    pub unit: String,
    /// The budget; with `relative_to`, as a multiple of the value at that size.
    pub budget: f64,
    /// A size of the same series that the budget is a multiple of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relative_to: Option<f64>,
    /// Where the budget comes from.
    pub budget_source: String,
    /// What carries the need today, or will.
    pub mechanism: String,
}

impl Target {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(CapacityError::read(path))?;
        serde_json::from_str(&text).map_err(CapacityError::json(path))
    }

    /// Changes of configuration a second.
    pub fn changes_per_second(&self) -> f64 {
        self.load.configuration_changes_per_day / 86_400.0
    }
}
