//! The inputs, outputs and events of a client.
use crate::proto::{Code, Stat};
use larchway::MonotonicTime;
use std::time::Duration;

/// An event that a client reports to its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientEvent {
    /// The session is established.
    SessionEstablished {
        /// Id of the session.
        session: i64,
        /// Whether the session is new, so that ephemeral nodes of an earlier one do not belong to it.
        fresh: bool,
        /// The session time-out granted by the server.
        timeout: Duration,
    },
    /// The connection was lost, for this reason. The state of the nodes is unknown until the next connection.
    Suspended(String),
    /// The service ended the session and deleted the own node with it.
    Expired,
    /// The service was restored to an older state.
    StateRolledBack,
    /// The own node was created, at this path.
    Registered(String),
    /// The own node of an earlier session still exists at this path; the client waits for its deletion.
    StaleRegistration(String),
    /// A request was rejected: the path of the node (or "credentials") and the error.
    Rejected(String, Code),
    /// A child was read: it is new, has changed, or was reread on a new connection.
    ChildChanged {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
        /// Name of the child, without the path of its parent.
        name: String,
        /// Data of the child.
        data: Vec<u8>,
        /// Metadata of the child.
        stat: Stat,
    },
    /// A child was deleted.
    ChildRemoved {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
        /// Name of the child, without the path of its parent.
        name: String,
    },
    /// All children of a list have been read.
    Complete {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
        /// The zxid of the list of children.
        zxid: i64,
        /// Number of cached children.
        children: usize,
    },
    /// The path of a watch does not exist.
    PathMissing {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
    },
    /// The path of a watch has more than [`MAX_CHILDREN`](super::MAX_CHILDREN) children; the rest is not cached.
    TooManyChildren {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
    },
    /// The cache of a watch is at least as new as the ensemble was when this `sync` was requested.
    Synced {
        /// Index of the watch in [`ClientConfig::watched_paths`](super::ClientConfig::watched_paths).
        watch: usize,
        /// When the `sync` was requested.
        requested_at: MonotonicTime,
    },
    /// The session was closed on request.
    Closed,
}

/// An action for the driver, or an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection to the server with this index; any earlier connection has been closed.
    Connect(usize),
    /// Write these bytes to the connection.
    Write(Vec<u8>),
    /// Close the connection, for this reason; do not pass [`Input::ConnectionLost`] for it.
    Disconnect(String),
    /// Report this event.
    Event(ClientEvent),
}

/// An input from the driver.
#[derive(Debug)]
pub enum Input<'a> {
    /// The time returned by [`Client::next_due`](super::Client::next_due) has been reached.
    Tick,
    /// The requested connection is open.
    Connected,
    /// Bytes were received on the connection.
    Bytes(&'a [u8]),
    /// The connection was lost or could not be opened, for this reason.
    ConnectionLost(&'a str),
    /// Set the own node's data, now if it exists and otherwise when it is created.
    Data(Vec<u8>),
    /// Close the session, which deletes the own node.
    Close,
}
