//! Why a command of the laboratory's program fails.
use larchway_gateway::net::errors::GatewayError;
use larchway_gateway::relay::RelayError;
use larchway_lab::hollow::error::HollowError;
use larchway_lab::stand::source::SourceError;
use larchway_lab::trial::TrialError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A trial could not be played.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// The capacity page or its figures cannot be read; says why.
    #[error("{0}")]
    Capacity(String),
    /// Followers cannot go on.
    #[error("followers: {0}")]
    Followers(io::Error),
    /// The source of events cannot go on.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The swarm of followers cannot go on.
    #[error(transparent)]
    Swarm(#[from] HollowError),
    /// The relay has ended with an error.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// The gateway has ended with an error.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// Figures cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The standard output failed.
    #[error(transparent)]
    Output(#[from] io::Error),
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// An ensemble is to listen where others could reach it.
    #[error("--listen: {0} is not on loopback")]
    NotOnLoopback(SocketAddr),
    /// An ensemble is to have no servers, or too many.
    #[error("--servers: {0} is not from 1 to {MAX_ENSEMBLE_SERVERS}")]
    EnsembleServers(usize),
    /// An ensemble cannot listen.
    #[error("{address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// The most servers of an ensemble.
pub const MAX_ENSEMBLE_SERVERS: usize = 16;
