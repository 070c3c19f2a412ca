//! The operator file of a rollout: which document, to which gateways in which order, and when to stop.
use super::{PlanFileProblem, RolloutError};
use crate::operator_file::{self, FileError};
use larchway_distribution::configuration::{DocumentId, DocumentKind, RolloutPlan};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a file may name, ms: a day.
const LONGEST_MS: u64 = 86_400_000;
/// Accepted times for which a stage is applied before the next one, ms.
const SOAK_MS: RangeInclusive<u64> = 0..=LONGEST_MS;
/// Accepted longest times of a stage, ms: a position takes some seconds to come up the tree.
const STAGE_TIMEOUT_MS: RangeInclusive<u64> = 1_000..=LONGEST_MS;
/// Accepted times between two looks at the relay, ms.
const POLL_MS: RangeInclusive<u64> = 50..=60_000;

/// What a document configures, as a plan names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "DocumentKind")]
pub enum PlanKind {
    /// A class of the settings.
    Class,
    /// One value of the settings or the limits.
    Limit,
    /// Attributes of a store.
    Store,
    /// The list of peers.
    Peers,
}

impl From<PlanKind> for DocumentKind {
    fn from(kind: PlanKind) -> DocumentKind {
        match kind {
            PlanKind::Class => DocumentKind::Class,
            PlanKind::Limit => DocumentKind::Limit,
            PlanKind::Store => DocumentKind::Store,
            PlanKind::Peers => DocumentKind::Peers,
        }
    }
}

/// The plan of a rollout. Its schema is printed by `larchway schema rollout`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlanFile {
    /// What the document configures.
    pub kind: PlanKind,
    /// Name of the document: of the class or store, the path of the limit, or `peers`.
    pub name: String,
    /// The new version, larger than any before. A rollback has the next larger one.
    pub version: u64,
    /// The new content; null withdraws the document, and the file's value holds.
    pub content: Value,
    /// The content that a rollback brings back; null for the file's value.
    #[serde(default)]
    pub previous: Value,
    /// Shares of all gateways, from 0 to 1, each a stage of its own and wider than the one before.
    #[serde(default)]
    pub shares: Vec<f64>,
    /// Zones that follow one by one, after the shares. After them the version goes to all gateways.
    #[serde(default)]
    pub zones: Vec<String>,
    /// ms for which a stage is applied by all that it is for before the next one begins, from 0 to 86400000.
    #[serde(default = "soak_ms")]
    pub soak_ms: u64,
    /// ms that a stage may take until it is applied by all that it is for, from 1000 to 86400000; then it is halted.
    #[serde(default = "stage_timeout_ms")]
    pub stage_timeout_ms: u64,
    /// Gateways that may reject the version without halting the rollout.
    #[serde(default)]
    pub tolerated_rejections: u64,
    /// Whether a rollout that halts is rolled back at once.
    #[serde(default = "enabled")]
    pub roll_back: bool,
    /// ms between two looks at the relay, from 50 to 60000.
    #[serde(default = "poll_ms")]
    pub poll_ms: u64,
}

fn enabled() -> bool {
    true
}

fn soak_ms() -> u64 {
    60_000
}

fn stage_timeout_ms() -> u64 {
    60_000
}

fn poll_ms() -> u64 {
    500
}

impl PlanFile {
    /// The plan.
    pub(super) fn plan(&self) -> RolloutPlan {
        RolloutPlan {
            id: DocumentId::new(self.kind.into(), self.name.clone()),
            version: self.version,
            content: content(&self.content),
            previous: content(&self.previous),
            stages: RolloutPlan::stages(&self.shares, &self.zones),
            minimum_soak: Duration::from_millis(self.soak_ms),
            tolerated_rejections: self.tolerated_rejections,
            max_stage_time: Duration::from_millis(self.stage_timeout_ms),
            roll_back_when_halted: self.roll_back,
        }
    }

    /// Time between two looks at the relay.
    pub(super) fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    fn check(&self) -> Result<(), PlanFileProblem> {
        check_range("soak_ms", self.soak_ms, SOAK_MS)?;
        check_range("stage_timeout_ms", self.stage_timeout_ms, STAGE_TIMEOUT_MS)?;
        check_range("poll_ms", self.poll_ms, POLL_MS)
    }
}

fn check_range(key: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), PlanFileProblem> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(PlanFileProblem::OutOfRange { key, value, least: *range.start(), most: *range.end() })
}

/// The JSON text of a content; none where it is null.
fn content(value: &Value) -> Option<Arc<str>> {
    (!value.is_null()).then(|| value.to_string().into())
}

/// Reads the file at a path.
///
/// # Errors
///
/// Fails if it cannot be read or used; the error names the key.
pub fn read(path: &str) -> Result<PlanFile, RolloutError> {
    let text = operator_file::read_text(path)?;
    let file: PlanFile = operator_file::parse(&text).map_err(|error| FileError::invalid(path, error))?;
    file.check().map_err(|problem| RolloutError::invalid(path, problem))?;
    Ok(file)
}

/// The schema of the file, as JSON.
pub fn schema() -> String {
    operator_file::schema::<PlanFile>()
}
