//! Changes of the topology by numbered epochs. A change is a list of edits to the topology of one epoch and results in
//! the next epoch. Replicas that received the same changes have the same topology, whatever the order of arrival:
//!
//! * A change that is based on a future epoch is pending until that epoch is reached.
//! * Of several changes based on the same epoch, the one with the least id is applied and the others are superseded. If
//!   a change with a lesser id arrives later, the later epochs are rolled back and rebuilt.
//! * A change with an edit that the topology rejects is rejected as a unit, and the next by id is tried.
//! * A change that arrives twice has no further effect; a different change with the same id is rejected.
//!
//! Changes based on an epoch that is no longer retained are rejected as expired. Two replicas can
//! diverge only in this case, which the outcome `EpochExpired` reports.
mod outcome;

use crate::topology::{Edit, Topology};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub use outcome::ChangeOutcome;

/// Largest number of epochs retained, the current one included.
pub const RETAINED_EPOCHS: usize = 64;
/// Largest number of changes retained for one epoch; those with the greatest ids are dropped.
pub const MAX_CHANGES_PER_EPOCH: usize = 16;
/// Largest number of pending changes.
pub const MAX_PENDING_CHANGES: usize = 256;

/// A change of the topology.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The unique id of the change.
    pub id: String,
    /// The epoch that the change is based on.
    pub upon: u64,
    /// The edits, which are applied all or not at all.
    pub edits: Vec<Edit>,
}

/// The changes based on retained epochs, and the topologies of these epochs.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// The oldest retained epoch.
    oldest_epoch: u64,
    /// The topologies from the oldest retained epoch to the current one.
    topologies: Vec<Topology>,
    /// The changes by the epoch that they are based on, then by id.
    changes: BTreeMap<u64, BTreeMap<String, Change>>,
    /// The ids of the applied changes by the epoch that they are based on.
    applied: BTreeMap<u64, String>,
}

impl ChangeLog {
    /// Creates a log without changes, whose current epoch and topology are these.
    pub fn new(epoch: u64, topology: Topology) -> Self {
        ChangeLog {
            oldest_epoch: epoch,
            topologies: vec![topology],
            changes: BTreeMap::new(),
            applied: BTreeMap::new(),
        }
    }

    /// The current epoch.
    pub fn epoch(&self) -> u64 {
        self.oldest_epoch + self.topologies.len() as u64 - 1
    }

    /// The current topology.
    pub fn topology(&self) -> &Topology {
        &self.topologies[self.topologies.len() - 1]
    }

    /// The topology of an epoch, if it is retained.
    pub fn at(&self, epoch: u64) -> Option<&Topology> {
        let index = usize::try_from(epoch.checked_sub(self.oldest_epoch)?).ok()?;
        self.topologies.get(index)
    }

    /// The number of changes that are based on the current or a future epoch.
    pub fn pending(&self) -> usize {
        self.changes.range(self.epoch()..).map(|(_, changes)| changes.len()).sum()
    }

    /// Adds a change, applies every change that has become applicable, and returns the outcome of the submitted one.
    pub fn submit(&mut self, change: Change) -> ChangeOutcome {
        let epoch = change.upon;
        let id = change.id.clone();
        if epoch < self.oldest_epoch {
            return ChangeOutcome::EpochExpired;
        }
        if let Some(retained) = self.find(&id) {
            return if *retained == change { ChangeOutcome::Duplicate } else { ChangeOutcome::IdReused };
        }
        let is_future = epoch > self.epoch();
        if is_future && self.pending() >= MAX_PENDING_CHANGES || !self.insert(change) {
            return ChangeOutcome::LimitReached;
        }
        if is_future {
            return ChangeOutcome::Pending;
        }
        if self.applied.get(&epoch).is_none_or(|applied| id < *applied) {
            self.roll_back_to(epoch);
        }
        self.apply_pending();
        self.drop_expired();
        self.outcome(epoch, &id)
    }

    /// The retained change with this id.
    fn find(&self, id: &str) -> Option<&Change> {
        self.changes.values().find_map(|changes| changes.get(id))
    }

    /// Inserts a change and returns whether it is retained. Of too many changes based on one epoch, the one with the
    /// greatest id is dropped, because the least id takes precedence.
    fn insert(&mut self, change: Change) -> bool {
        let competing = self.changes.entry(change.upon).or_default();
        if competing.len() >= MAX_CHANGES_PER_EPOCH {
            if competing.keys().next_back().is_none_or(|greatest| *greatest <= change.id) {
                return false;
            }
            competing.pop_last();
        }
        competing.insert(change.id.clone(), change);
        true
    }

    /// Drops the topologies after an epoch and the records of the changes that made them.
    fn roll_back_to(&mut self, epoch: u64) {
        let index = usize::try_from(epoch - self.oldest_epoch).unwrap_or(0);
        self.topologies.truncate(index + 1);
        self.applied.retain(|applied_epoch, _| *applied_epoch < epoch);
    }

    /// Applies retained changes to the current epoch until the topology accepts none.
    fn apply_pending(&mut self) {
        while let Some((id, next)) = self.next_topology() {
            self.applied.insert(self.epoch(), id);
            self.topologies.push(next);
        }
    }

    /// The id of the first change, in order of ids, that the current topology accepts, and the resulting topology.
    fn next_topology(&self) -> Option<(String, Topology)> {
        let competing = self.changes.get(&self.epoch())?;
        competing.iter().find_map(|(id, change)| {
            let next = self.topology().apply(&change.edits).ok()?;
            Some((id.clone(), next))
        })
    }

    fn drop_expired(&mut self) {
        let expired = self.topologies.len().saturating_sub(RETAINED_EPOCHS);
        if expired == 0 {
            return;
        }
        self.topologies.drain(..expired);
        self.oldest_epoch += expired as u64;
        self.changes = self.changes.split_off(&self.oldest_epoch);
        self.applied = self.applied.split_off(&self.oldest_epoch);
    }

    /// The outcome of a retained change that is based on a current or past epoch.
    fn outcome(&self, epoch: u64, id: &str) -> ChangeOutcome {
        let applied = self.applied.get(&epoch);
        if applied.is_some_and(|applied| applied == id) {
            return ChangeOutcome::Applied(epoch + 1);
        }
        let change = self.changes.get(&epoch).and_then(|changes| changes.get(id));
        let next = self.at(epoch).zip(change).map(|(topology, change)| topology.apply(&change.edits));
        match (next, applied) {
            (Some(Err(rejected)), _) => ChangeOutcome::Rejected(rejected),
            (_, Some(applied)) => ChangeOutcome::Superseded(applied.clone()),
            _ => ChangeOutcome::EpochExpired,
        }
    }
}
