//! Why the capacity page could not be worked out.
use std::path::{Path, PathBuf};

/// Why the capacity page could not be worked out.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file is not what it should be.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A series that is needed was not measured.
    #[error("{case} {quantity} is not measured")]
    NotMeasured {
        /// The case that measures it.
        case: &'static str,
        /// The quantity.
        quantity: &'static str,
    },
    /// The page names a table that there is not.
    #[error("there is no table {0:?}")]
    NoTable(String),
    /// A table has a begin and no end.
    #[error("table {0} has no end")]
    NoEnd(String),
    /// A table ends with the marker of another one.
    #[error("table {name} ends with {line:?}")]
    WrongEnd {
        /// The table.
        name: String,
        /// The line.
        line: String,
    },
}

impl CapacityError {
    /// A file could not be read, for `map_err`.
    pub(super) fn read(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| CapacityError::Read { path: path.to_path_buf(), source }
    }

    /// A file is not what it should be, for `map_err`.
    pub(super) fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> Self + '_ {
        |source| CapacityError::Json { path: path.to_path_buf(), source }
    }
}
