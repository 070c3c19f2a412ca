//! Edits of a topology, in the format of operator files and change records.
use super::{Parent, Upstream};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// An edit of a topology.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Edit {
    /// Adds a parent, which serves no branch yet.
    AddParent {
        /// The name of the parent.
        name: String,
        /// The hub, weight and upstream of the parent.
        parent: Parent,
    },
    /// Removes a parent. No branch may lose its last parent, and no parent may fetch from it.
    RemoveParent {
        /// The name of the parent.
        name: String,
    },
    /// Sets the upstream of a parent.
    SetUpstream {
        /// The name of the parent.
        name: String,
        /// The new upstream.
        upstream: Upstream,
    },
    /// Sets the weight of a parent.
    SetWeight {
        /// The name of the parent.
        name: String,
        /// The new weight.
        weight: f64,
    },
    /// Sets the parents of a branch.
    SetBranch {
        /// The name of the branch.
        branch: String,
        /// The names of the new parents, at least one.
        parents: BTreeSet<String>,
    },
    /// Removes a branch.
    RemoveBranch {
        /// The name of the branch.
        branch: String,
    },
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::AddParent { name, .. } => write!(f, "add_parent {name}"),
            Edit::RemoveParent { name } => write!(f, "remove_parent {name}"),
            Edit::SetUpstream { name, .. } => write!(f, "set_upstream {name}"),
            Edit::SetWeight { name, .. } => write!(f, "set_weight {name}"),
            Edit::SetBranch { branch, .. } => write!(f, "set_branch {branch}"),
            Edit::RemoveBranch { branch } => write!(f, "remove_branch {branch}"),
        }
    }
}
