//! The report of the hierarchy for operators, as JSON. Its keys are those of `docs/operate/hierarchy.md`.
use crate::spans::millis_f64;
use larchway_hierarchy::origin_admission::OriginAdmission;
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of the hierarchy.
#[derive(Serialize)]
pub struct HierarchyReport {
    /// The epoch of the topology in force.
    pub(super) epoch: u64,
    /// Number of changes that wait for the epoch that they are based on.
    #[serde(rename = "held")]
    pub(super) pending_changes: usize,
    /// The branch that this gateway serves.
    pub(super) branch: String,
    /// Whether a migration is in progress.
    #[serde(rename = "moving")]
    pub(super) migrating: bool,
    /// Whether migrations are paused.
    pub(super) paused: bool,
    /// Milliseconds until the end of the migration.
    pub(super) ends_in_ms: u64,
    /// The parents of the branch by name.
    pub(super) parents: BTreeMap<String, ParentReport>,
    /// The shield of the origin, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) shield: Option<ShieldReport>,
    /// Number of requests found in a loop since the start.
    pub(super) loops_found: u64,
    /// Number of exclusions of suspected parents since the start.
    pub(super) loops_inferred: u64,
    /// The ids of the parents that are excluded now.
    #[serde(rename = "suspects")]
    pub(super) excluded_parents: Vec<String>,
}

/// A parent of the branch.
#[derive(Serialize)]
pub(super) struct ParentReport {
    /// The current weight of the parent.
    #[serde(rename = "now")]
    pub(super) current_weight: f64,
    /// The weight of the parent at the end of the migration.
    #[serde(rename = "target")]
    pub(super) target_weight: f64,
    /// The names of the parents between this one and the origin.
    #[serde(rename = "way")]
    pub(super) upstream_path: Vec<String>,
}

/// The shield of the origin.
#[derive(Serialize)]
pub struct ShieldReport {
    /// Most fetches that this gateway may have in flight at once.
    limit: u32,
    /// Number of fetches in flight.
    #[serde(rename = "out")]
    in_flight: u32,
    /// Number of fetches rejected since the start.
    #[serde(rename = "turned_away")]
    rejected: u64,
    /// Number of objects whose last fetch is remembered.
    #[serde(rename = "remembered")]
    remembered_objects: usize,
    /// The usual latency of the origin, in milliseconds.
    #[serde(rename = "usual_ms")]
    usual_latency_ms: Option<f64>,
}

impl From<&OriginAdmission> for ShieldReport {
    fn from(admission: &OriginAdmission) -> Self {
        ShieldReport {
            limit: admission.limit(),
            in_flight: admission.in_flight(),
            rejected: admission.rejected,
            remembered_objects: admission.remembered(),
            usual_latency_ms: admission.usual_latency().map(millis_f64),
        }
    }
}
