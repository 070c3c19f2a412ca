//! The plan of a hierarchy's changes: the share of objects that each change migrates, and between which parents.
use super::file::HierarchyFile;
use super::{branch_weights, TopologyError, WeightByParent};
use larchway_hierarchy::change_log::{ChangeLog, ChangeOutcome};
use larchway_hierarchy::migration::rendezvous;
use std::collections::BTreeMap;
use std::fmt;

/// Size of the sample of objects by which the migrating shares are measured.
const SAMPLE_OBJECTS: u64 = 100_000;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1000;

/// The migrations that the changes of a file cause at its branch, if they are applied one after the other.
#[derive(Debug)]
pub struct MigrationPlan {
    branch: String,
    /// The epoch before the changes.
    epoch: u64,
    /// The weights before the changes.
    weights: WeightByParent,
    /// Number of steps of each migration.
    steps: u32,
    /// Duration of a step, in milliseconds.
    step_ms: u64,
    changes: Vec<PlannedChange>,
}

/// A change and the migration that it causes.
#[derive(Debug)]
struct PlannedChange {
    id: String,
    outcome: ChangeOutcome,
    /// The epoch after the change.
    epoch: u64,
    /// The migration, if the weights of the branch change.
    migration: Option<PlannedMigration>,
}

/// A migration of objects between parents.
#[derive(Debug)]
struct PlannedMigration {
    from: WeightByParent,
    to: WeightByParent,
    /// Number of objects of the sample that migrate, by route.
    moved: BTreeMap<Route, u64>,
}

/// The parent of an object before and after a migration.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    from: String,
    to: String,
}

impl MigrationPlan {
    /// Plans the changes of a file.
    pub fn new(file: &HierarchyFile) -> Result<Self, TopologyError> {
        let mut change_log = ChangeLog::new(file.epoch, file.base_topology()?);
        let initial_weights = branch_weights(change_log.topology(), &file.branch);
        let mut weights = initial_weights.clone();
        let mut changes = Vec::new();
        for change in &file.changes {
            let outcome = change_log.submit(change.clone());
            let next_weights = branch_weights(change_log.topology(), &file.branch);
            let migration = (next_weights != weights).then(|| PlannedMigration::new(&weights, &next_weights));
            weights = next_weights;
            changes.push(PlannedChange {
                id: change.id.clone(),
                outcome,
                epoch: change_log.epoch(),
                migration,
            });
        }
        Ok(MigrationPlan {
            branch: file.branch.clone(),
            epoch: file.epoch,
            weights: initial_weights,
            steps: file.steps,
            step_ms: file.step_ms,
            changes,
        })
    }

    fn write_migration(
        &self,
        formatter: &mut fmt::Formatter<'_>,
        migration: &PlannedMigration,
    ) -> fmt::Result {
        let moved = percentage(migration.moved.values().sum());
        let duration_ms = u64::from(self.steps) * self.step_ms;
        writeln!(
            formatter,
            "  {} -> {}: {moved:.1} % of the objects move, in {} steps of {} ms ({:.1} s), {:.2} % a step",
            describe(&migration.from),
            describe(&migration.to),
            self.steps,
            self.step_ms,
            duration_ms as f64 / MILLIS_PER_SECOND as f64,
            moved / f64::from(self.steps),
        )?;
        for (Route { from, to }, count) in &migration.moved {
            writeln!(formatter, "  {from} -> {to}: {:.1} %", percentage(*count))?;
        }
        Ok(())
    }
}

impl fmt::Display for MigrationPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "epoch {}: {} has {}", self.epoch, self.branch, describe(&self.weights))?;
        for change in &self.changes {
            writeln!(formatter, "{}: {}, epoch {}", change.id, change.outcome, change.epoch)?;
            match &change.migration {
                Some(migration) => self.write_migration(formatter, migration)?,
                None => writeln!(formatter, "  nothing moves at {}", self.branch)?,
            }
        }
        Ok(())
    }
}

impl PlannedMigration {
    fn new(from: &WeightByParent, to: &WeightByParent) -> Self {
        let mut moved: BTreeMap<Route, u64> = BTreeMap::new();
        for object in 0..SAMPLE_OBJECTS {
            let route = Route { from: assigned_parent(from, object), to: assigned_parent(to, object) };
            if route.from != route.to {
                *moved.entry(route).or_default() += 1;
            }
        }
        PlannedMigration { from: from.clone(), to: to.clone(), moved }
    }
}

/// The parent of an object; empty if there is no parent.
fn assigned_parent(weights: &WeightByParent, object: u64) -> String {
    let weights = weights.iter().map(|(name, weight)| (name.as_str(), *weight));
    rendezvous(object, weights).map(String::from).unwrap_or_default()
}

/// A number of objects as a percentage of the sample.
fn percentage(objects: u64) -> f64 {
    100.0 * objects as f64 / SAMPLE_OBJECTS as f64
}

/// Weights as readable text.
fn describe(weights: &WeightByParent) -> String {
    let entries: Vec<String> = weights.iter().map(|(name, weight)| format!("{name} {weight}")).collect();
    entries.join(", ")
}
