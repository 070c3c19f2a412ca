//! Errors of the hierarchy's configuration, and the reasons why a change of it is rejected. The messages are for
//! operators.
use crate::operator_file::FormatError;
use larchway_hierarchy::change_log::{Change, ChangeOutcome};
use larchway_hierarchy::topology::{EditError, RejectedEdit};
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Why the file of the hierarchy cannot be used.
#[derive(Debug, Error)]
pub enum HierarchyFileError {
    /// The file does not match its schema.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The parents and branches of the file form no valid topology.
    #[error(transparent)]
    Topology(#[from] TopologyError),
    /// The branch that the gateway serves is not defined.
    #[error("branch: {0:?} is not among branches")]
    UnknownBranch(String),
    /// An integer is out of range.
    #[error("{key}: {value} is not from {min} to {max}", min = range.start(), max = range.end())]
    IntegerOutOfRange {
        /// The path of the key.
        key: &'static str,
        /// The value.
        value: u64,
        /// The accepted values.
        range: RangeInclusive<u64>,
    },
    /// A number is out of range.
    #[error("{key}: {value} is not from {min} to {max}", min = range.start(), max = range.end())]
    NumberOutOfRange {
        /// The path of the key.
        key: &'static str,
        /// The value.
        value: f64,
        /// The accepted values.
        range: RangeInclusive<f64>,
    },
    /// The limits of the shield are not in ascending order.
    #[error("shield.least, first, most: each must be at least 1 and no less than the previous one")]
    ShieldLimits,
    /// A change is rejected.
    #[error("changes[{index}]{error}")]
    Change {
        /// The index of the change in the list.
        index: usize,
        /// Why it is rejected.
        error: RejectedChange,
    },
}

impl HierarchyFileError {
    /// Checks that an integer is in range.
    pub(super) fn check_integer(
        key: &'static str,
        value: u64,
        range: RangeInclusive<u64>,
    ) -> Result<(), Self> {
        if range.contains(&value) {
            return Ok(());
        }
        Err(HierarchyFileError::IntegerOutOfRange { key, value, range })
    }

    /// Checks that a number is in range; NaN is not.
    pub(super) fn check_number(
        key: &'static str,
        value: f64,
        range: RangeInclusive<f64>,
    ) -> Result<(), Self> {
        if range.contains(&value) {
            return Ok(());
        }
        Err(HierarchyFileError::NumberOutOfRange { key, value, range })
    }
}

/// The entry of the file that an edit of the topology stems from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopologyKey {
    /// The parent of this name.
    Parent(String),
    /// The branch of this name.
    Branch(String),
}

impl fmt::Display for TopologyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TopologyKey::Parent(name) => write!(formatter, "parents.{name}"),
            TopologyKey::Branch(name) => write!(formatter, "branches.{name}"),
        }
    }
}

/// Why parents and branches form no valid topology.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}: {error}")]
pub struct TopologyError {
    /// The faulty entry.
    pub key: TopologyKey,
    /// What is wrong with it.
    pub error: EditError,
}

/// Why a change of the topology is rejected. Each message begins with the path of the key in the change, so that it
/// can follow the name of the change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RejectedChange {
    /// An edit cannot be applied to the topology.
    #[error(".edits[{index}] ({edit}): {error}")]
    Edit {
        /// The index of the edit in the change.
        index: usize,
        /// The edit, described.
        edit: String,
        /// What is wrong with it.
        error: EditError,
    },
    /// The topology of the epoch that it is based on is no longer retained.
    #[error(".upon: epoch {0} is no longer retained")]
    EpochExpired(u64),
    /// The id of the change is already used by another change.
    #[error(".id: {0:?} is already used by another change")]
    IdReused(String),
    /// Too many changes are pending or superseded.
    #[error(": too many changes are pending or superseded")]
    LimitReached,
}

impl RejectedChange {
    /// Returns an error if a submitted change was rejected.
    pub(super) fn check(change: &Change, outcome: &ChangeOutcome) -> Result<(), Self> {
        match outcome {
            ChangeOutcome::Rejected(RejectedEdit { index, error }) => {
                let edit = change.edits.get(*index).map_or(String::new(), ToString::to_string);
                Err(RejectedChange::Edit { index: *index, edit, error: error.clone() })
            }
            ChangeOutcome::EpochExpired => Err(RejectedChange::EpochExpired(change.upon)),
            ChangeOutcome::IdReused => Err(RejectedChange::IdReused(change.id.clone())),
            ChangeOutcome::LimitReached => Err(RejectedChange::LimitReached),
            ChangeOutcome::Applied(_)
            | ChangeOutcome::Pending
            | ChangeOutcome::Duplicate
            | ChangeOutcome::Superseded(_) => Ok(()),
        }
    }
}
