//! The settings of the ensemble: where instances register, and which paths list the stores and gateways.
use super::error::{EnsembleFileError, SESSION_MS, SYNC_MS};
use crate::operator_file::{self, read_text, schema, FileError};
use larchway_endpoints::{format::Defaults, Policy};
use larchway_zookeeper::proto::Credential;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The authentication scheme of the credentials.
const DIGEST_SCHEME: &str = "digest";

/// The ensemble's file under `deploy/`. Its schema is printed by `larchway schema ensemble`.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EnsembleFile {
    /// Addresses of the ensemble's servers, with their ports.
    pub servers: Vec<SocketAddr>,
    /// The path under which instances register.
    pub path: String,
    /// The session time-out to request in ms, at least 500.
    #[serde(default = "default_session_ms")]
    pub session_ms: u64,
    /// The path whose child nodes are the stores; if absent, stores are not read from the ensemble.
    pub stores: Option<String>,
    /// Interval in ms at which the server is made to catch up with the ensemble while stores are read; 0 means never.
    /// At most 800, so that a departed store is reported within 1 s also by a server that lags behind.
    #[serde(default = "default_sync_ms")]
    pub sync_ms: u64,
    /// Credentials of the digest scheme, `user:password`; they protect the own node against changes by others.
    pub digest: Option<String>,
    /// The environment variable that holds these credentials, instead of `digest`.
    pub digest_env: Option<String>,
    /// The format of the stores' nodes, and the defaults of what they omit.
    #[serde(default)]
    pub nodes: Defaults,
    /// The policy by which the endpoint list, the nodes and the results of own attempts are merged.
    #[serde(default)]
    pub policy: Policy,
    /// Whether the live gateways of each zone are counted from their nodes, to divide the budgets of stores in slow
    /// start.
    #[serde(default)]
    pub gateways: bool,
    /// The folder in which the last roster is saved; if absent, it is not saved.
    pub state: Option<PathBuf>,
    /// Age in s from which on a saved roster is not used.
    #[serde(default = "default_state_age_s")]
    pub state_age_s: u64,
    /// The Unix socket at which operators can query this instance; if absent, there is none.
    pub admin: Option<PathBuf>,
}

fn default_session_ms() -> u64 {
    10_000
}

fn default_sync_ms() -> u64 {
    400
}

fn default_state_age_s() -> u64 {
    600
}

/// The validated settings of the ensemble.
#[derive(Debug, Clone, PartialEq)]
pub struct EnsembleSettings {
    /// The servers of the ensemble.
    pub servers: Vec<SocketAddr>,
    /// The path under which instances register.
    pub registration_path: String,
    /// The session time-out to request.
    pub session_timeout: Duration,
    /// The path whose child nodes are the stores, if stores are read from the ensemble.
    pub stores_path: Option<String>,
    /// Interval at which the server is made to catch up with the ensemble; zero means never.
    pub sync_interval: Duration,
    /// Credentials with which the session authenticates.
    pub credentials: Vec<Credential>,
    /// The form of the stores' nodes, and the defaults of what they omit.
    pub node_defaults: Defaults,
    /// The policy by which the sources are merged.
    pub policy: Policy,
    /// Whether the live gateways of each zone are counted.
    pub counts_gateways: bool,
    /// The folder that holds the saved roster.
    pub state_folder: Option<PathBuf>,
    /// Age from which on a saved roster is not used.
    pub max_state_age: Duration,
    /// The Unix socket at which operators query this instance, if there is one.
    pub admin_socket: Option<PathBuf>,
}

impl EnsembleSettings {
    /// Reads the file at a path.
    pub fn read(path: &str) -> Result<Self, FileError<EnsembleFileError>> {
        let text = read_text(path)?;
        let environment = |name: &str| std::env::var(name).ok();
        EnsembleSettings::parse(&text, environment).map_err(|error| FileError::invalid(path, error))
    }

    /// Parses the text of the file; `environment` gives the value of a variable.
    pub fn parse(
        text: &str,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, EnsembleFileError> {
        let file: EnsembleFile = operator_file::parse(text)?;
        if file.servers.is_empty() {
            return Err(EnsembleFileError::NoServers);
        }
        let stores_path = file.stores.map(|path| checked_path("stores", path)).transpose()?;
        let registration_path = checked_path("path", file.path)?;
        if stores_path.as_ref() == Some(&registration_path) {
            return Err(EnsembleFileError::SamePath);
        }
        if !SESSION_MS.contains(&file.session_ms) {
            return Err(EnsembleFileError::Session(file.session_ms));
        }
        if file.sync_ms != 0 && !SYNC_MS.contains(&file.sync_ms) {
            return Err(EnsembleFileError::Sync(file.sync_ms));
        }
        let digest = checked_digest(file.digest, file.digest_env, environment)?;
        file.policy.check().map_err(EnsembleFileError::Policy)?;
        let credentials = digest
            .map(|digest| Credential { scheme: DIGEST_SCHEME.to_string(), secret: digest.into_bytes() });
        Ok(EnsembleSettings {
            servers: file.servers,
            registration_path,
            session_timeout: Duration::from_millis(file.session_ms),
            stores_path,
            sync_interval: Duration::from_millis(file.sync_ms),
            credentials: credentials.into_iter().collect(),
            node_defaults: file.nodes,
            policy: file.policy,
            counts_gateways: file.gateways,
            state_folder: file.state,
            max_state_age: Duration::from_secs(file.state_age_s),
            admin_socket: file.admin,
        })
    }

    /// The schema of the file, as JSON.
    pub fn schema() -> String {
        schema::<EnsembleFile>()
    }
}

/// Checks that a path is absolute, below the root and without empty components.
fn checked_path(key: &'static str, path: String) -> Result<String, EnsembleFileError> {
    if !path.starts_with('/') || path.ends_with('/') || path.contains("//") {
        return Err(EnsembleFileError::InvalidPath { key, path });
    }
    Ok(path)
}

/// Returns the credentials from the file, or from the environment variable that it names.
fn checked_digest(
    digest: Option<String>,
    variable: Option<String>,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Option<String>, EnsembleFileError> {
    let digest = match (digest, variable) {
        (Some(_), Some(_)) => return Err(EnsembleFileError::DigestGivenTwice),
        (None, Some(variable)) => {
            Some(environment(&variable).ok_or(EnsembleFileError::DigestNotSet(variable))?)
        }
        (digest, None) => digest,
    };
    if digest.as_ref().is_some_and(|pair| !pair.contains(':')) {
        return Err(EnsembleFileError::InvalidDigest);
    }
    Ok(digest)
}
