//! Why a relay does not run.
use super::file::RelayFileError;
use crate::event_loop_error::EventLoopError;
use std::io;
use thiserror::Error;

/// Why a relay does not start, or ends before a signal asks for it.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The operator file cannot be used.
    #[error(transparent)]
    File(#[from] RelayFileError),
    /// The event loop does not start, or ends early.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
    /// The address it listens on is unknown.
    #[error("cannot listen: {0}")]
    Address(#[source] io::Error),
}
