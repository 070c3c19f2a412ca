//! The topology of the cache hierarchy: parents, the hub and upstream of each, and the branches that they serve. A
//! topology is always valid: every branch has a path to the origin, no parent fetches from itself by any path, and
//! every parent that a branch or an upstream names exists.
mod edit;
mod edit_error;

use imbl::OrdMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

pub use edit::Edit;
pub use edit_error::{EditError, RejectedEdit};

/// Largest number of parents in a topology.
pub const MAX_PARENTS: usize = 4096;
/// Largest number of branches in a topology.
pub const MAX_BRANCHES: usize = 65_536;
/// Largest number of parents on a path to the origin.
pub const MAX_CHAIN_LENGTH: usize = 8;

/// The upstream from which a parent fetches.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Upstream {
    /// The origin.
    Origin,
    /// The parent with this name.
    Parent(String),
}

/// A cache that fills other caches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Parent {
    /// The hub in which the parent is located.
    pub hub: String,
    /// The capacity of the parent in concurrent transfers at full speed. The parent's quota of the objects is
    /// proportional to it.
    pub weight: f64,
    /// The upstream from which the parent fetches.
    pub upstream: Upstream,
}

/// A valid topology. Clones share their unchanged parts (`imbl`).
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Topology {
    parents: OrdMap<String, Parent>,
    branches: OrdMap<String, BTreeSet<String>>,
}

impl Topology {
    /// The parents by name.
    pub fn parents(&self) -> &OrdMap<String, Parent> {
        &self.parents
    }

    /// The branches by name, each with its parents.
    pub fn branches(&self) -> &OrdMap<String, BTreeSet<String>> {
        &self.branches
    }

    /// The parents that a fill passes after the named one, in order. The last one fetches from the origin.
    pub fn upstream_path(&self, name: &str) -> Vec<&str> {
        let mut path = Vec::new();
        let mut current = name;
        while let Some(Parent { upstream: Upstream::Parent(next), .. }) = self.parents.get(current) {
            if path.len() > MAX_CHAIN_LENGTH {
                break;
            }
            path.push(next.as_str());
            current = next;
        }
        path
    }

    /// The number of parents on the longest path to the origin.
    pub fn depth(&self) -> usize {
        self.parents.keys().map(|name| 1 + self.upstream_path(name).len()).max().unwrap_or(0)
    }

    /// Returns the topology with all edits applied in order, or the first edit that is rejected.
    pub fn apply(&self, edits: &[Edit]) -> Result<Topology, RejectedEdit> {
        let mut next = self.clone();
        for (index, edit) in edits.iter().enumerate() {
            next.apply_edit(edit).map_err(|error| RejectedEdit { index, error })?;
        }
        Ok(next)
    }

    /// Applies one edit. After an error the topology may be invalid and must be dropped.
    fn apply_edit(&mut self, edit: &Edit) -> Result<(), EditError> {
        match edit {
            Edit::AddParent { name, parent } => self.add_parent(name, parent),
            Edit::RemoveParent { name } => self.remove_parent(name),
            Edit::SetUpstream { name, upstream } => self.set_upstream(name, upstream),
            Edit::SetWeight { name, weight } => self.set_weight(name, *weight),
            Edit::SetBranch { branch, parents } => self.set_branch(branch, parents),
            Edit::RemoveBranch { branch } => self.remove_branch(branch),
        }
    }

    fn add_parent(&mut self, name: &str, parent: &Parent) -> Result<(), EditError> {
        if self.parents.contains_key(name) {
            return Err(EditError::DuplicateParent(name.to_string()));
        }
        if self.parents.len() >= MAX_PARENTS {
            return Err(EditError::LimitReached);
        }
        check_weight(name, parent.weight)?;
        self.parents.insert(name.to_string(), parent.clone());
        self.check_chain(name)
    }

    fn remove_parent(&mut self, name: &str) -> Result<(), EditError> {
        if !self.parents.contains_key(name) {
            return Err(EditError::UnknownParent(name.to_string()));
        }
        let upstream = Upstream::Parent(name.to_string());
        if let Some((by, _)) = self.parents.iter().find(|(_, parent)| parent.upstream == upstream) {
            return Err(EditError::ParentInUse { parent: name.to_string(), by: by.clone() });
        }
        let affected: Vec<(String, BTreeSet<String>)> = self
            .branches
            .iter()
            .filter(|(_, parents)| parents.contains(name))
            .map(|(branch, parents)| (branch.clone(), parents.clone()))
            .collect();
        for (branch, mut parents) in affected {
            parents.remove(name);
            if parents.is_empty() {
                return Err(EditError::BranchWithoutParent(branch));
            }
            self.branches.insert(branch, parents);
        }
        self.parents.remove(name);
        Ok(())
    }

    fn set_upstream(&mut self, name: &str, upstream: &Upstream) -> Result<(), EditError> {
        self.parent_mut(name)?.upstream = upstream.clone();
        self.check_chain(name)?;
        // The chains of all parents that fetch through this one have changed as well.
        self.parents.keys().try_for_each(|other| self.check_chain(other))
    }

    fn set_weight(&mut self, name: &str, weight: f64) -> Result<(), EditError> {
        let parent = self.parent_mut(name)?;
        check_weight(name, weight)?;
        parent.weight = weight;
        Ok(())
    }

    fn set_branch(&mut self, branch: &str, parents: &BTreeSet<String>) -> Result<(), EditError> {
        if parents.is_empty() {
            return Err(EditError::BranchWithoutParent(branch.to_string()));
        }
        if let Some(unknown) = parents.iter().find(|name| !self.parents.contains_key(*name)) {
            return Err(EditError::UnknownParent(unknown.clone()));
        }
        if !self.branches.contains_key(branch) && self.branches.len() >= MAX_BRANCHES {
            return Err(EditError::LimitReached);
        }
        self.branches.insert(branch.to_string(), parents.clone());
        Ok(())
    }

    fn remove_branch(&mut self, branch: &str) -> Result<(), EditError> {
        match self.branches.remove(branch) {
            Some(_) => Ok(()),
            None => Err(EditError::UnknownBranch(branch.to_string())),
        }
    }

    fn parent_mut(&mut self, name: &str) -> Result<&mut Parent, EditError> {
        self.parents.get_mut(name).ok_or_else(|| EditError::UnknownParent(name.to_string()))
    }

    /// Checks that the chain of upstreams from a parent ends at the origin within [`MAX_CHAIN_LENGTH`] parents.
    fn check_chain(&self, name: &str) -> Result<(), EditError> {
        let mut path = vec![name.to_string()];
        let mut current = name;
        loop {
            let parent =
                self.parents.get(current).ok_or_else(|| EditError::UnknownParent(current.to_string()))?;
            let Upstream::Parent(next) = &parent.upstream else { return Ok(()) };
            let is_cycle = path.contains(next);
            if !is_cycle && path.len() >= MAX_CHAIN_LENGTH {
                return Err(EditError::ChainTooLong(name.to_string()));
            }
            path.push(next.clone());
            if is_cycle {
                return Err(EditError::Cycle(path));
            }
            current = next;
        }
    }
}

fn check_weight(name: &str, weight: f64) -> Result<(), EditError> {
    if weight.is_finite() && weight > 0.0 {
        Ok(())
    } else {
        Err(EditError::InvalidWeight(name.to_string()))
    }
}
