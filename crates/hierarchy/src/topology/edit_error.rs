//! Errors of edits that a topology rejects.
use super::{MAX_BRANCHES, MAX_CHAIN_LENGTH, MAX_PARENTS};
use thiserror::Error;

/// Why a topology rejects an edit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EditError {
    /// The edit names a parent that does not exist.
    #[error("there is no parent {0:?}")]
    UnknownParent(String),
    /// The edit names a branch that does not exist.
    #[error("there is no branch {0:?}")]
    UnknownBranch(String),
    /// The parent to be added exists already.
    #[error("parent {0:?} already exists")]
    DuplicateParent(String),
    /// The weight of this parent is not a positive finite number.
    #[error("the weight of {0:?} is not a positive finite number")]
    InvalidWeight(String),
    /// The edit would leave this branch without a parent.
    #[error("the branch {0:?} would have no parent")]
    BranchWithoutParent(String),
    /// Another parent fetches from the parent to be removed.
    #[error("{by:?} still fetches from {parent:?}")]
    ParentInUse {
        /// The parent to be removed.
        parent: String,
        /// A parent that fetches from it.
        by: String,
    },
    /// A parent would fetch from itself, by this path.
    #[error("a cycle: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// The chain from this parent to the origin would exceed [`MAX_CHAIN_LENGTH`].
    #[error("the path from {0:?} to the origin has more than {MAX_CHAIN_LENGTH} parents")]
    ChainTooLong(String),
    /// The topology would exceed [`MAX_PARENTS`] or [`MAX_BRANCHES`].
    #[error("more than {MAX_PARENTS} parents or {MAX_BRANCHES} branches")]
    LimitReached,
}

/// The first edit of a list that a topology rejects.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("edits[{index}]: {error}")]
pub struct RejectedEdit {
    /// The index of the edit in its list.
    pub index: usize,
    /// Why it is rejected.
    pub error: EditError,
}
