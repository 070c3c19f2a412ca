//! Why the relay's operator file cannot be used. The texts name the file and the key, and are what operators read.
use crate::operator_file::{FileError, FormatError};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a relay's file cannot be used.
pub type RelayFileError = FileError<RelayFileProblem>;

/// What is wrong with the content of a relay's file.
#[derive(Debug, Error)]
pub enum RelayFileProblem {
    /// It is not of the form that its schema gives.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// No source is named.
    #[error("sources is empty")]
    NoSource,
    /// The relay would be its own source.
    #[error("sources: {0} is the relay's own address")]
    OwnAddress(SocketAddr),
    /// A number is out of its range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The smallest that is accepted.
        min: u64,
        /// The largest that is accepted.
        max: u64,
    },
    /// A scope names no class of its sources: all stores would belong to it.
    #[error("scopes: {scope:?}: sources: classes is empty")]
    NoSourceClass {
        /// The scope.
        scope: String,
    },
    /// A name is empty, too long, or has other characters than those allowed.
    #[error("{key}: {name:?} is not a name of letters, digits, '.', '_' and '-'")]
    Name {
        /// The key.
        key: &'static str,
        /// Its value.
        name: String,
    },
}
