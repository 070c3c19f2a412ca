//! Errors of hollow gateways, their followers and the processes that hold them.
use larchway_gateway::bulletin::EventError;
use larchway_gateway::config::GatewayFileError;
use larchway_gateway::event_stream::StreamError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why followers or a hollow gateway cannot go on.
#[derive(Debug, Error)]
pub enum HollowError {
    /// There is no poller.
    #[error("a poller: {0}")]
    Poller(io::Error),
    /// A follower cannot connect to its source.
    #[error("follower {follower} cannot connect: {source}")]
    Connect {
        /// The follower's number.
        follower: usize,
        /// What the system said.
        source: io::Error,
    },
    /// A connection cannot be added to the poller.
    #[error("a follower cannot be polled: {0}")]
    Poll(io::Error),
    /// A connection, the poller or the standard output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An answer cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The stream of events cannot be read on.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// The gateway's configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] GatewayFileError),
    /// An event is invalid.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// Why a process of the laboratory cannot be started or called.
#[derive(Debug, Error)]
pub enum ChildError {
    /// The laboratory's own program is not known.
    #[error(transparent)]
    Program(io::Error),
    /// The process cannot be started.
    #[error("{arguments:?}: {source}")]
    Start {
        /// Its arguments.
        arguments: Vec<String>,
        /// What the system said.
        source: io::Error,
    },
    /// The process has no standard input or output.
    #[error("a process without pipes")]
    NoPipes,
    /// A command cannot be written as JSON.
    #[error(transparent)]
    Command(serde_json::Error),
    /// A command cannot be sent.
    #[error(transparent)]
    Send(io::Error),
    /// An answer cannot be received.
    #[error(transparent)]
    Receive(io::Error),
    /// An answer is not the JSON that was expected.
    #[error("answer {line:?}: {source}")]
    Answer {
        /// The answer.
        line: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Why the kernel's figures of a process cannot be read.
#[derive(Debug, Error)]
pub enum UsageError {
    /// A file or folder of the kernel cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The kernel does not count the processor time of threads.
    #[error("the kernel keeps no schedstat")]
    NoSchedstat,
    /// A status file lacks a field, or its value is no amount of memory.
    #[error("{}: it has no {field}", path.display())]
    NoField {
        /// The file.
        path: PathBuf,
        /// The field, with its colon.
        field: &'static str,
    },
}

impl UsageError {
    /// An error of the system about a path, for `map_err`.
    pub(super) fn read(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| UsageError::Read { path, source }
    }
}
