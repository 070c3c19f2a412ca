//! Errors of the ensemble's configuration. The messages are for operators and name the key.
use crate::operator_file::FormatError;
use larchway_endpoints::policy::PolicyError;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Accepted session time-outs, in milliseconds.
pub(super) const SESSION_MS: RangeInclusive<u64> = 500..=600_000;
/// Accepted intervals, in milliseconds, at which the server is made to catch up with the ensemble; 0 is accepted too.
pub(super) const SYNC_MS: RangeInclusive<u64> = 50..=800;

/// Why the file of the ensemble cannot be used.
#[derive(Debug, Error)]
pub enum EnsembleFileError {
    /// The file does not match its schema.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The list of servers is empty.
    #[error("servers is empty")]
    NoServers,
    /// A path is not a valid path of the ensemble.
    #[error("{key}: {path:?} is not a path like /larchway")]
    InvalidPath {
        /// The key.
        key: &'static str,
        /// The path.
        path: String,
    },
    /// The paths of stores and gateways are the same.
    #[error("stores: it is the path of the gateways")]
    SamePath,
    /// The session time-out is out of range.
    #[error("session_ms: {0} is not from {min} to {max}", min = SESSION_MS.start(), max = SESSION_MS.end())]
    Session(u64),
    /// The interval at which the server is made to catch up is out of range.
    #[error("sync_ms: {0} is neither 0 nor from {min} to {max}", min = SYNC_MS.start(), max = SYNC_MS.end())]
    Sync(u64),
    /// The credentials are given both in the file and by a variable.
    #[error("digest, digest_env: only one of them")]
    DigestGivenTwice,
    /// The variable that should hold the credentials is not set.
    #[error("digest_env: {0} is not set")]
    DigestNotSet(String),
    /// The credentials do not have the form `user:password`.
    #[error("digest: it has not the form user:password")]
    InvalidDigest,
    /// A value of the policy is invalid.
    #[error("policy.{0}")]
    Policy(PolicyError),
}
