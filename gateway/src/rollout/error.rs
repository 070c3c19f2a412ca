//! Why a rollout cannot be driven.
use crate::operator_file::{FileError, FormatError};
use larchway_distribution::configuration::{DocumentId, DocumentVersion, PlanError};
use std::io;
use thiserror::Error;

/// Why a rollout cannot be driven.
#[derive(Debug, Error)]
pub enum RolloutError {
    /// The file of the plan cannot be used.
    #[error(transparent)]
    Plan(#[from] FileError<PlanFileProblem>),
    /// The relays hold this version, or a newer one.
    #[error(
        "version: {version} of {id}: the relays hold {held} already, and a plan begins with a newer one"
    )]
    VersionHeld {
        /// Which document.
        id: DocumentId,
        /// The version of the plan.
        version: u64,
        /// The newest version held.
        held: DocumentVersion,
    },
    /// A document cannot be printed.
    #[error("cannot print a document: {0}")]
    Print(#[from] io::Error),
}

impl RolloutError {
    /// The file at this path has a fault.
    pub(super) fn invalid(path: &str, problem: PlanFileProblem) -> RolloutError {
        FileError::invalid(path, problem).into()
    }
}

/// What is wrong with the content of the file of a plan.
#[derive(Debug, Error)]
pub enum PlanFileProblem {
    /// It is not of the form that its schema gives.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The plan itself is not allowed.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A time is out of its range.
    #[error("{key}: {value} is not from {least} to {most}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The least that is allowed.
        least: u64,
        /// The most that is allowed.
        most: u64,
    },
}
