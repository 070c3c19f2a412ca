//! Why an event loop, of the gateway or of a relay, does not start or ends early.
use crate::sockets::{ListenError, SignalPipeError};
use std::io;
use thiserror::Error;

/// Why an event loop does not start, or ends before a signal asks for it.
#[derive(Debug, Error)]
pub enum EventLoopError {
    /// There is no poller, or it fails.
    #[error("cannot poll: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error(transparent)]
    Signals(#[from] SignalPipeError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
}
