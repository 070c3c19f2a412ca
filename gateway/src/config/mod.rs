//! Configuration: the only place that reads, checks and defaults it. Each file has a module with its settings
//! type and its checks; errors name the file and the faulty key.
mod classes;
mod error;
mod files;
mod gateway;
mod numbers;
mod operator_file;
mod overlay;
mod shape;
mod signed_front;
mod wire;

pub use classes::ClassesError;
pub use error::{ConfigError, FileError, FileProblem, GatewayFileError, SecretError, SignedFrontError};
pub use files::{FileSet, Files, Loaded};
pub use gateway::{read, Config, GatewayFile, Overrides};
pub use operator_file::{
    copies_file, copies_schema, events_file, events_schema, fleet_file, fleet_schema, spread_file,
    spread_schema,
};
pub use overlay::{Overlay, OverlayDocument, OverlayError};
pub use shape::{Shape, ShapeError, ValueKind};
pub use signed_front::{front, front_file};
