//! Operator files under `deploy/`: JSON with a schema. Reads them, and names the file and the key in each error.
use crate::system_errors::{Failure, SystemCallError};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

/// Path of an error that concerns no key but the file.
const ROOT: &str = ".";

/// Why an operator file cannot be used; `P` is what can be wrong with its content.
#[derive(Debug, Error)]
pub enum FileError<P> {
    /// It cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// Its content has a fault.
    #[error("{path}: {problem}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong.
        problem: P,
    },
}

impl<P> FileError<P> {
    /// The file at this path has a fault.
    pub fn invalid(path: &str, problem: impl Into<P>) -> Self {
        FileError::Invalid { path: path.to_string(), problem: problem.into() }
    }
}

impl<P> SystemCallError for FileError<P> {
    fn failure(&self) -> Failure {
        match self {
            FileError::Unreadable { source, .. } => Failure::of(source),
            FileError::Invalid { .. } => Failure::Permanent,
        }
    }
}

/// Why a text is not an operator file of its type.
#[derive(Debug, Error)]
pub enum FormatError {
    /// It is not JSON, or lacks a key.
    #[error(transparent)]
    Json(serde_json::Error),
    /// The value of a key is of another type, or the key is unknown.
    #[error("{key}: {source}")]
    Key {
        /// The path of the key.
        key: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Something follows the object.
    #[error("there is more behind the object: {0}")]
    Trailing(serde_json::Error),
}

/// Parses an operator file in full; errors name the key.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, FormatError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let file = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let key = error.path().to_string();
        let source = error.into_inner();
        if key == ROOT {
            FormatError::Json(source)
        } else {
            FormatError::Key { key, source }
        }
    })?;
    reader.end().map_err(FormatError::Trailing)?;
    Ok(file)
}

/// The text of the file at a path.
pub fn read_text<P>(path: &str) -> Result<String, FileError<P>> {
    std::fs::read_to_string(path).map_err(|source| FileError::Unreadable { path: path.to_string(), source })
}

/// The schema of an operator file, as JSON.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}
