//! Why a configuration cannot be used. The texts name the file and the key, and are what operators read.
use super::classes::ClassesError;
use super::overlay::OverlayError;
use crate::bulletin::EventError;
use crate::hierarchy::HierarchyFileError;
use crate::json_fields::{JsonError, KeyError};
use crate::membership::EnsembleFileError;
use crate::operator_file::{self, FormatError};
use crate::system_errors::{Failure, SystemCallError};
use larchway::settings::SettingsError;
use larchway_cluster::tiers::TopologyError;
use larchway_cluster::FleetFileError;
use larchway_distribution::events_file::EventsFileError;
use larchway_load_sharing::SpreadFileError;
use larchway_object_cache::CopiesFileError;
use std::io;
use thiserror::Error;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("EDGE_CONFIG is not set")]
    NotNamed,
    /// The file that the environment names cannot be read.
    #[error("EDGE_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The gateway's own file has a fault.
    #[error(transparent)]
    Gateway(#[from] GatewayFileError),
    /// Another file has a fault.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file of the ensemble has a fault.
    #[error(transparent)]
    Ensemble(#[from] operator_file::FileError<EnsembleFileError>),
    /// The file of the hierarchy has a fault.
    #[error(transparent)]
    Hierarchy(#[from] operator_file::FileError<HierarchyFileError>),
    /// Gateways are to know of each other and have no way to.
    #[error("fleet: it needs peer_listen with settings.limits.peers, or an ensemble with gateways")]
    FleetUnreachable,
    /// Gateways have sites, and exchange no datagrams.
    #[error("fleet: sites: they need peer_listen with settings.limits.peers")]
    SitesUnreachable,
    /// The sites of the gateways cannot be used.
    #[error("fleet: {0}")]
    Sites(#[from] TopologyError),
    /// The load is spread by a field that stores do not report.
    #[error("field: {0:?} is not among settings.report.fields")]
    UnknownLoadField(String),
    /// Changes of the hierarchy are to be read from an ensemble, and there is none.
    #[error("path: {0:?} needs the file of the ensemble")]
    EnsembleMissing(String),
    /// Links may name a class that does not exist.
    #[error("classes: {0:?} is not among settings.services")]
    UnknownClass(String),
}

impl SystemCallError for ConfigError {
    fn failure(&self) -> Failure {
        match self {
            ConfigError::Unreadable { source, .. } => Failure::of(source),
            ConfigError::File(error) => error.failure(),
            ConfigError::Ensemble(error) => error.failure(),
            ConfigError::Hierarchy(error) => error.failure(),
            ConfigError::NotNamed
            | ConfigError::Gateway(_)
            | ConfigError::FleetUnreachable
            | ConfigError::SitesUnreachable
            | ConfigError::Sites(_)
            | ConfigError::UnknownLoadField(_)
            | ConfigError::EnsembleMissing(_)
            | ConfigError::UnknownClass(_) => Failure::Permanent,
        }
    }
}

/// Why an operator file cannot be used.
pub type FileError = operator_file::FileError<FileProblem>;

/// What is wrong with the content of an operator file.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// It is not of the form that its schema gives.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// A value in the file of the cached copies cannot be used.
    #[error(transparent)]
    Copies(#[from] CopiesFileError),
    /// A value in the file of the load sharing cannot be used.
    #[error(transparent)]
    Spread(#[from] SpreadFileError),
    /// A value in the file of the cluster cannot be used.
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    /// A value in the file of the events cannot be used.
    #[error(transparent)]
    Events(#[from] EventsFileError),
    /// The front for signed links cannot be configured so.
    #[error(transparent)]
    SignedFront(#[from] SignedFrontError),
}

/// Why the gateway's own file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GatewayFileError {
    /// It is not a JSON object.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The classes cannot be used.
    #[error(transparent)]
    Classes(#[from] ClassesError),
    /// The decision module cannot read its settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// Documents cannot stand over the file.
    #[error(transparent)]
    Overlay(#[from] OverlayError),
    /// A document about a store cannot be used.
    #[error("store {name:?}: {source}")]
    Store {
        /// The name of the store.
        name: String,
        /// What is wrong; names the key.
        source: EventError,
    },
    /// An event that is known at the start cannot be read.
    #[error("known.items: {0}")]
    KnownEvent(EventError),
}

/// Why the front for signed links cannot be configured so.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SignedFrontError {
    /// The file is not a JSON object.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// Links would not be URLs of the web.
    #[error("base: {0:?} does not begin with http:// or https://")]
    Scheme(String),
    /// A secret cannot be used.
    #[error("{list}: {source}")]
    Secret {
        /// The list that it stands in.
        list: &'static str,
        /// What is wrong.
        source: SecretError,
    },
}

/// Why a named secret cannot be used. The texts never hold the secret.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SecretError {
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// Its name has other characters.
    #[error("name {0:?} must be letters, digits, '.', '_' or '-'")]
    InvalidName(String),
    /// Two secrets have one name.
    #[error("name {0:?} stands twice")]
    DuplicateName(String),
    /// The variable that should hold it is not set.
    #[error("{name}: {variable} is not set")]
    NotSet {
        /// The secret's name.
        name: String,
        /// The variable of the environment.
        variable: String,
    },
    /// It is given in both ways, or in none.
    #[error("{0}: either secret or secret_env is needed")]
    NotGivenOnce(String),
    /// It is a key and not hexadecimal.
    #[error("{0}: the secret is not hexadecimal")]
    NotHexadecimal(String),
    /// It is too short to be safe.
    #[error("{0}: the secret is under 16 bytes")]
    TooShort(String),
}
