//! What gateways say of the cluster on their consoles.
use serde_json::Value;
use std::collections::BTreeMap;

/// What one gateway says of the cluster.
#[derive(Debug, Clone)]
pub struct ClusterStatus {
    /// Members that it takes for dead, by their numbers.
    pub dead_members: Vec<usize>,
    /// Whether it has its lease, if it says so.
    pub holds_lease: Option<bool>,
    /// Its quota of the near stores' capacity, if it says so.
    pub quota: Option<f64>,
    /// All that it says, for messages.
    pub text: String,
}

/// What gateways say, by their numbers.
pub type ClusterStatuses = BTreeMap<usize, ClusterStatus>;

impl ClusterStatus {
    /// Reads what a console answered; none if that is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let status: Value = serde_json::from_str(text).ok()?;
        let lease = &status["lease"];
        Some(ClusterStatus {
            dead_members: dead_members(&status),
            holds_lease: lease["held"].as_bool(),
            quota: lease["share_near"].as_f64(),
            text: text.to_string(),
        })
    }
}

fn dead_members(status: &Value) -> Vec<usize> {
    let doubted = status["members"]["doubted"].as_array().map(Vec::as_slice).unwrap_or_default();
    let dead = doubted.iter().filter(|member| member["verdict"] == "dead");
    dead.filter_map(|member| Some(member["member"].as_u64()? as usize)).collect()
}

/// The sum of the quotas in use.
pub fn sum_of_quotas(statuses: &ClusterStatuses) -> f64 {
    statuses.values().filter_map(|status| status.quota).sum()
}
