//! Errors of the parsers. Their texts go into the log, and name the key.
use thiserror::Error;

/// Why a node's data is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NodeDataError {
    /// The data is not UTF-8.
    #[error("it is not UTF-8")]
    NotUtf8,
    /// The data is not JSON.
    #[error("it is not JSON")]
    NotJson,
    /// The data is JSON, but not an object.
    #[error("it is not an object")]
    NotAnObject,
    /// The value of a key is invalid.
    #[error("{key}{problem}")]
    InvalidKey {
        /// Path of the key, with `.` between its parts.
        key: String,
        /// What is wrong with its value.
        problem: KeyProblem,
    },
}

/// What is wrong with the value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyProblem {
    /// The key is missing.
    #[error(" is missing")]
    Missing,
    /// The value is not a string.
    #[error(" must be a string")]
    NotAString,
    /// The value is not a finite number from 0.
    #[error(" must be a number from 0")]
    NotANumber,
    /// The settings have no entry with this index.
    #[error(": {0} is beyond the settings")]
    IndexOutOfRange(u64),
    /// The settings, or the format, do not know this name.
    #[error(": {0:?} is unknown")]
    UnknownName(String),
    /// The host is not an IP address.
    #[error(" {0:?} is not an address")]
    NotAnAddress(String),
    /// The number is not a port.
    #[error(" {0} is not a port")]
    NotAPort(u64),
    /// The value is not an IP address with a port.
    #[error(": {0:?} is not an address with a port")]
    NotASocketAddress(String),
}

impl NodeDataError {
    pub(super) fn key(key: &str, problem: KeyProblem) -> Self {
        NodeDataError::InvalidKey { key: key.to_string(), problem }
    }

    pub(super) fn missing(key: &str) -> Self {
        Self::key(key, KeyProblem::Missing)
    }

    pub(super) fn unknown(key: &str, name: &str) -> Self {
        Self::key(key, KeyProblem::UnknownName(name.to_string()))
    }

    /// The error of a key inside an object, which has this key itself.
    pub(super) fn within(self, object: &str) -> Self {
        match self {
            NodeDataError::InvalidKey { key, problem } => {
                NodeDataError::InvalidKey { key: format!("{object}.{key}"), problem }
            }
            other => other,
        }
    }
}
