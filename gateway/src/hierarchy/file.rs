//! The hierarchy's file: its format, its validation and the topology that it describes.
use super::{HierarchyFileError, InferFile, RejectedChange, ShieldFile, TopologyError, TopologyKey};
use crate::operator_file::{self, read_text, FileError};
use larchway_hierarchy::change_log::{Change, ChangeLog};
use larchway_hierarchy::migration::MigrationState;
use larchway_hierarchy::topology::{Edit, Parent, RejectedEdit, Topology, Upstream};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Accepted numbers of steps of a migration.
const STEPS: RangeInclusive<u64> = 1..=10_000;
/// Accepted lengths of a step, in milliseconds.
const STEP_MS: RangeInclusive<u64> = 10..=3_600_000;
/// The longest time that a file may name, in milliseconds: 30 days. It is longer than any in use, and short enough
/// that no computed time overflows the clock.
const LONGEST_MS: u64 = 2_592_000_000;
/// Accepted times after a migration, in milliseconds, for which the previous parent is still asked.
const KEEP_MS: RangeInclusive<u64> = 0..=LONGEST_MS;
/// Accepted durations of a parent's slow start, in milliseconds.
const COLD_MS: RangeInclusive<u64> = 0..=LONGEST_MS;
/// Accepted shares of its weight that a parent has right after its start.
const INITIAL_SHARE: RangeInclusive<f64> = 0.0..=1.0;

/// The hierarchy's file under `deploy/`. Its schema is printed by `larchway schema hierarchy`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HierarchyFile {
    /// The branch that this gateway serves.
    pub branch: String,
    /// The epoch of the topology that `parents` and `branches` describe.
    #[serde(default)]
    pub epoch: u64,
    /// The parents by name.
    pub parents: BTreeMap<String, Parent>,
    /// The branches, each with the names of its parents.
    pub branches: BTreeMap<String, BTreeSet<String>>,
    /// Changes of that topology and of those that result from them, in any order.
    #[serde(default)]
    pub changes: Vec<Change>,
    /// A path of the ensemble whose child nodes each hold one further change, in the same format.
    pub path: Option<String>,
    /// Number of steps in which objects migrate.
    #[serde(default = "default_steps")]
    pub steps: u32,
    /// Duration of a step in ms.
    #[serde(default = "default_step_ms")]
    pub step_ms: u64,
    /// Time in ms after a migration for which the previous parent of an object is still asked for its cached copy.
    #[serde(default = "default_keep_ms")]
    pub keep_ms: u64,
    /// Share of its weight that a parent has right after its start; if absent, the slow start of the settings
    /// applies.
    pub cold_from: Option<f64>,
    /// Duration of a parent's slow start in ms; if absent, the slow start of the settings applies.
    pub cold_ms: Option<u64>,
    /// Whether migrations are paused.
    #[serde(default)]
    pub paused: bool,
    /// Whether stores accept the field `via`, which lists the proxies that a request has passed. Not supported on the
    /// platform.
    #[serde(default)]
    pub trails: bool,
    /// The inference of loops where requests carry no trail; if absent, loops are not inferred.
    pub infer: Option<InferFile>,
    /// The shield of the origin; if absent, only the module's own rules limit fills.
    pub shield: Option<ShieldFile>,
}

fn default_steps() -> u32 {
    20
}

fn default_step_ms() -> u64 {
    1000
}

fn default_keep_ms() -> u64 {
    20_000
}

impl HierarchyFile {
    /// Reads and checks the file at a path.
    pub fn read(path: &str) -> Result<Self, FileError<HierarchyFileError>> {
        let text = read_text(path)?;
        HierarchyFile::parse(&text).map_err(|error| FileError::invalid(path, error))
    }

    /// Parses and checks the text of a file; errors name the key, or the edit that cannot be applied.
    pub fn parse(text: &str) -> Result<Self, HierarchyFileError> {
        let file: HierarchyFile = operator_file::parse(text)?;
        let topology = file.base_topology()?;
        if !topology.branches().contains_key(&file.branch) {
            return Err(HierarchyFileError::UnknownBranch(file.branch));
        }
        HierarchyFileError::check_integer("steps", file.steps.into(), STEPS)?;
        HierarchyFileError::check_integer("step_ms", file.step_ms, STEP_MS)?;
        HierarchyFileError::check_integer("keep_ms", file.keep_ms, KEEP_MS)?;
        if let Some(cold_ms) = file.cold_ms {
            HierarchyFileError::check_integer("cold_ms", cold_ms, COLD_MS)?;
        }
        if let Some(share) = file.cold_from {
            HierarchyFileError::check_number("cold_from", share, INITIAL_SHARE)?;
        }
        file.shield.as_ref().map_or(Ok(()), ShieldFile::check)?;
        file.infer.as_ref().map_or(Ok(()), InferFile::check)?;
        file.check_changes(topology)?;
        Ok(file)
    }

    /// The schema of the file, as JSON.
    pub fn schema() -> String {
        operator_file::schema::<HierarchyFile>()
    }

    /// Whether migrations run or are paused.
    pub(super) fn migration_state(&self) -> MigrationState {
        if self.paused {
            MigrationState::Paused
        } else {
            MigrationState::Running
        }
    }

    /// The topology of the file, before its changes.
    pub(super) fn base_topology(&self) -> Result<Topology, TopologyError> {
        // Parents are added without their upstreams first, since the file may list a parent before its upstream.
        let add_parent = |(name, parent): (&String, &Parent)| {
            let parent = Parent { upstream: Upstream::Origin, ..parent.clone() };
            (TopologyKey::Parent(name.clone()), Edit::AddParent { name: name.clone(), parent })
        };
        let set_upstream = |(name, parent): (&String, &Parent)| {
            let upstream = parent.upstream.clone();
            (TopologyKey::Parent(name.clone()), Edit::SetUpstream { name: name.clone(), upstream })
        };
        let set_branch = |(branch, parents): (&String, &BTreeSet<String>)| {
            let edit = Edit::SetBranch { branch: branch.clone(), parents: parents.clone() };
            (TopologyKey::Branch(branch.clone()), edit)
        };
        let parents = self.parents.iter().map(add_parent);
        let upstreams = self.parents.iter().map(set_upstream);
        let branches = self.branches.iter().map(set_branch);
        let (keys, edits): (Vec<TopologyKey>, Vec<Edit>) = parents.chain(upstreams).chain(branches).unzip();
        Topology::default()
            .apply(&edits)
            .map_err(|RejectedEdit { index, error }| TopologyError { key: keys[index].clone(), error })
    }

    /// Checks that the changes can be applied to the topologies that they are based on.
    fn check_changes(&self, topology: Topology) -> Result<(), HierarchyFileError> {
        let mut change_log = ChangeLog::new(self.epoch, topology);
        for (index, change) in self.changes.iter().enumerate() {
            let outcome = change_log.submit(change.clone());
            RejectedChange::check(change, &outcome)
                .map_err(|error| HierarchyFileError::Change { index, error })?;
        }
        Ok(())
    }
}
