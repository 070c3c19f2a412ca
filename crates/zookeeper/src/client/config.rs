//! Configuration of a client: servers, credentials, own node and watched paths.
use crate::proto::Credential;
use std::time::Duration;

/// The ephemeral node that a client creates for itself (its own node).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Path of the parent node; missing components are created.
    pub base: String,
    /// Name of the node below `base`.
    pub name: String,
    /// Initial data of the node.
    pub data: Vec<u8>,
}

/// Configuration of a [`Client`](super::Client).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Number of servers in the ensemble.
    pub servers: usize,
    /// The session time-out to request; the server may grant another.
    pub timeout: Duration,
    /// Credentials sent on each connection; if there are any, only they have access to the own node.
    pub credentials: Vec<Credential>,
    /// The own node; none if the client only watches.
    pub registration: Option<Registration>,
    /// The paths whose children are watched.
    pub watched_paths: Vec<String>,
    /// Interval between `sync` requests while paths are watched; zero disables them. A server that lags behind the
    /// ensemble reports deletions late, and nothing in its responses shows the lag.
    pub sync_interval: Duration,
}
