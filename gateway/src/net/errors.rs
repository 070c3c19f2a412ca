//! Errors of the event loop: why the gateway does not run, why a configuration is rejected, and why a connection is
//! closed.
use crate::config::{ConfigError, ShapeError};
use crate::event_loop_error::EventLoopError;
use crate::hierarchy::TopologyError;
use crate::resp;
use crate::sockets::ListenError;
use crate::system_errors::{Failure, SystemCallError};
use crate::thrift;
use crate::wire_settings::NamesChanged;
use std::io;
use thiserror::Error;

/// Why the gateway does not start, or exits without a signal.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The files of the configuration cannot be used.
    #[error(transparent)]
    Files(#[from] ConfigError),
    /// The configuration cannot be applied.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The event loop cannot start or continue.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Why a configuration is not applied.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// A configuration file cannot be used.
    #[error(transparent)]
    Files(#[from] ConfigError),
    /// A key was added, removed, or has a value of another type than in the configuration in force.
    #[error(transparent)]
    Shape(#[from] ShapeError),
    /// Names that are referred to by their position in a list have changed.
    #[error(transparent)]
    Names(#[from] NamesChanged),
    /// The hierarchy file cannot be applied.
    #[error(transparent)]
    Hierarchy(#[from] TopologyError),
    /// A configured address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A reload turned on documents of the event stream. Documents received before would be missing.
    #[error("configuration: only a restart can turn it on")]
    DocumentsNeedRestart,
    /// The worker thread that saves files cannot be started.
    #[error("cannot start the writer of files: {0}")]
    StartWriter(#[source] io::Error),
}

impl SystemCallError for ConfigurationError {
    fn failure(&self) -> Failure {
        match self {
            ConfigurationError::Files(error) => error.failure(),
            ConfigurationError::Shape(_)
            | ConfigurationError::Names(_)
            | ConfigurationError::Hierarchy(_)
            | ConfigurationError::DocumentsNeedRestart => Failure::Permanent,
            ConfigurationError::Listen(error) => error.failure(),
            ConfigurationError::StartWriter(error) => Failure::of_thread_start(error),
        }
    }
}

/// Why a connection is closed.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The peer has closed the connection.
    #[error("closed by the other side")]
    ClosedByPeer,
    /// A system call on the connection failed.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// A client's message violates the protocol.
    #[error(transparent)]
    MalformedCall(#[from] thrift::ProtocolError),
    /// A store's reply violates the protocol.
    #[error(transparent)]
    MalformedReply(#[from] resp::ProtocolError),
    /// The connection was not established in time.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The rest of an incomplete message did not arrive in time.
    #[error("the rest of a message did not arrive in time")]
    MessageStalled,
    /// No request was sent on the connection within the idle time-out.
    #[error("idle time-out")]
    Idle,
    /// A store sent nothing on the connection within the silence time-out of an abandoned attempt.
    #[error("no reply in time")]
    NoAnswer,
    /// The protocol on the connection requested the close, for this reason.
    #[error("{0}")]
    Left(String),
}
