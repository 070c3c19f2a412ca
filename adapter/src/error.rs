//! Errors that end the adapter. Their messages are shown to users of the simulator.
use larchway::settings::SettingsError;
use std::io;
use thiserror::Error;

/// An error in an input line.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum LineError {
    /// A part of the line is not a field of the form `name=value`.
    #[error("{0:?} is not name=value")]
    NotAField(String),
    /// A required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The text of a field cannot be parsed as its type.
    #[error("invalid value {value:?} of {key}")]
    InvalidText {
        /// Name of the field.
        key: &'static str,
        /// Text of the field.
        value: String,
    },
    /// The number of a field is out of range.
    #[error("{key} out of range: {value}")]
    InvalidNumber {
        /// Name of the field.
        key: &'static str,
        /// Number in the field.
        value: f64,
    },
    /// The outcome code of an attempt is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u64),
    /// The settings of a new instance cannot be parsed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A row arrived while no endpoint list was being read.
    #[error("row outside of an endpoint list")]
    RowWithoutList,
    /// A line other than a row arrived before the last row of an endpoint list.
    #[error("unexpected message before the last row of an endpoint list")]
    RowsMissing,
    /// The time of a batch is earlier than that of the previous batch.
    #[error("batch time is earlier than that of the previous batch")]
    ClockWentBack,
    /// The name of an instance is empty.
    #[error("instance name is empty")]
    EmptyInstance,
    /// The message name is unknown.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A batch begins before the previous one has ended.
    #[error("batch begins within another batch")]
    BatchOpen,
    /// A line is outside of a batch.
    #[error("line outside of a batch")]
    NoBatchOpen,
    /// No instance was selected in this batch.
    #[error("no instance selected")]
    NoInstanceSelected,
    /// No instance with this name exists.
    #[error("unknown instance {0}")]
    UnknownInstance(String),
}

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The input cannot be read.
    #[error("cannot read input: {0}")]
    Read(#[source] io::Error),
    /// The input ended within a batch.
    #[error("input ended within a batch")]
    EndedWithinBatch,
    /// A line is not UTF-8.
    #[error("malformed line (not UTF-8): {0}")]
    NotUtf8(String),
    /// A line is malformed.
    #[error("malformed line ({error}): {line}")]
    Malformed {
        /// The error.
        error: LineError,
        /// The text of the line.
        line: String,
    },
    /// The output cannot be written.
    #[error("cannot write output: {0}")]
    Write(#[source] io::Error),
}
