//! What the endpoint set is fed with.
use crate::endpoint::Endpoint;
use crate::evidence::EndpointEvidence;
use crate::format::NodeDataError;
use crate::policy::Policy;
use crate::snapshot::Snapshot;
use serde::Serialize;

/// A source that names endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The endpoint list of the bulletin.
    List,
    /// Ephemeral nodes in the coordination service.
    Nodes,
}

/// Whether a source can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// The connection is established.
    Connected,
    /// The connection is lost. Endpoints keep their state.
    Disconnected,
}

impl Connectivity {
    /// Whether the source can be reached.
    pub fn is_connected(self) -> bool {
        self == Connectivity::Connected
    }
}

/// What the entries of an endpoint list cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints: one without an entry is not in the list.
    Complete,
    /// Only endpoints that have changed: one without an entry is unchanged.
    Changes,
}

impl ListScope {
    /// Whether the entries are all endpoints.
    pub fn is_complete(self) -> bool {
        self == ListScope::Complete
    }
}

/// An event for [`EndpointSet::handle`](crate::EndpointSet::handle).
#[derive(Debug, Clone)]
pub enum Input {
    /// Endpoints of the list.
    List {
        /// What the endpoints cover of the list.
        scope: ListScope,
        /// The endpoints. One in [`State::Removed`](larchway::State::Removed) has left the list.
        endpoints: Vec<Endpoint>,
    },
    /// A source has shown that it is alive.
    Heartbeat(Source),
    /// The connection to a source is established or lost.
    Connection(Source, Connectivity),
    /// The node of an endpoint was created or changed.
    NodeAppeared {
        /// Name of the node.
        node: String,
        /// The endpoint that the node describes.
        endpoint: Endpoint,
        /// Session that owns the node.
        session: i64,
    },
    /// The data of a node cannot be parsed. What was read from it before stays in force.
    NodeUnreadable {
        /// Name of the node.
        node: String,
        /// The error.
        error: NodeDataError,
    },
    /// The service has deleted the node of this name.
    NodeGone(String),
    /// All nodes of endpoints have been read.
    NodesComplete,
    /// The service was restored to an older state; deletions are doubted until the next [`Input::NodesComplete`].
    Rewound,
    /// All nodes are being read again, from other servers or from another path. Those that have not appeared before
    /// the next [`Input::NodesComplete`] are gone.
    RereadStarted,
    /// The outcome of an attempt that this gateway made at an endpoint.
    Evidence(EndpointEvidence),
    /// The node of a gateway was created or changed.
    GatewayAppeared {
        /// Name of the node.
        node: String,
        /// Zone of the gateway.
        zone: usize,
    },
    /// The service has deleted the gateway's node of this name.
    GatewayGone(String),
    /// All nodes of gateways have been read.
    GatewaysComplete,
    /// A new policy. All records stay.
    Policy(Policy),
    /// The last roster that an earlier process of this gateway has saved.
    Restore(Snapshot),
    /// The time given by [`EndpointSet::next_due`](crate::EndpointSet::next_due) has come.
    Tick,
}
