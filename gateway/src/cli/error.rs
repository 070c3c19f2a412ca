//! Why a command of the command line fails.
use super::endpoint_table::ReportError;
use larchway_gateway::admin::QueryError;
use larchway_gateway::config::{ConfigError, FileError};
use larchway_gateway::hierarchy::{HierarchyFileError, TopologyError};
use larchway_gateway::net::errors::GatewayError;
use larchway_gateway::operator_file;
use larchway_gateway::relay::RelayError;
use larchway_gateway::rollout::RolloutError;
use larchway_gateway::signed::IssueError;
use std::process::ExitCode;
use thiserror::Error;

/// Why a command fails.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The gateway does not start, or ends before it is signalled to.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The relay does not start, or ends before it is signalled to.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The file of the signed front cannot be used.
    #[error(transparent)]
    SignedFront(#[from] FileError),
    /// The signed link or token cannot be issued.
    #[error(transparent)]
    Issue(#[from] IssueError),
    /// The running gateway gives no answer.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The running gateway's report cannot be printed as a table.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The file of the hierarchy cannot be used.
    #[error(transparent)]
    HierarchyFile(#[from] operator_file::FileError<HierarchyFileError>),
    /// The topology in the file of the hierarchy cannot be used.
    #[error(transparent)]
    Topology(#[from] TopologyError),
    /// A rollout cannot be driven.
    #[error(transparent)]
    Rollout(#[from] RolloutError),
    /// The address of the root relay is none.
    #[error("--relay: {0:?} is not an address with a port")]
    RelayAddress(String),
    /// A rollout goes no further.
    #[error("the rollout was halted; the gateways that have the version keep it")]
    RolloutHalted,
    /// A rollout was undone.
    #[error("the rollout was halted and rolled back")]
    RolledBack,
    /// No operator file has this name.
    #[error(
        "there is no schema of {0:?}, only of ensemble, hierarchy, copies, spread, fleet, events, relay and \
         rollout"
    )]
    UnknownSchema(String),
}

/// The exit status of a rollout whose plan, or whose relay's address, cannot be used.
const BAD_INPUT: u8 = 2;

impl CommandError {
    /// The exit status of the program.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Rollout(RolloutError::Print(_)) => ExitCode::FAILURE,
            CommandError::Rollout(_) | CommandError::RelayAddress(_) => ExitCode::from(BAD_INPUT),
            _ => ExitCode::FAILURE,
        }
    }
}
