//! The numbers of the protocol as enums: errors, operations, event types and modes.
use crate::error::ProtocolError;

/// The xid of a watch event.
pub const EVENT_XID: i32 = -1;
/// The xid of a ping and its reply.
pub const PING_XID: i32 = -2;
/// The xid of an authentication request and its reply.
pub const AUTH_XID: i32 = -4;
/// The xid of a request that restores watches.
pub const WATCHES_XID: i32 = -8;

macro_rules! wire_enum {
    ($(#[$enum_attribute:meta])* $name:ident, $description:literal, $($(#[$item_attribute:meta])* $item:ident = $value:literal),+ $(,)?) => {
        $(#[$enum_attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        #[repr(i32)]
        pub enum $name { $($(#[$item_attribute])* $item = $value),+ }

        impl $name {
            /// Returns the value with this number on the wire, or an error if there is none.
            pub fn read(number: i32) -> Result<Self, ProtocolError> {
                match number {
                    $($value => Ok($name::$item),)+
                    _ => Err(ProtocolError::UnknownValue($description, number)),
                }
            }
        }
    };
}

wire_enum! {
    /// An error code in a reply.
    Code, "error",
    /// The server failed with a system error.
    SystemError = -1,
    /// The server detected a runtime inconsistency.
    RuntimeInconsistency = -2,
    /// The server detected an inconsistency in its data.
    DataInconsistency = -3,
    /// The server lost its connection to the ensemble.
    ConnectionLoss = -4,
    /// The server could not decode the request.
    MarshallingError = -5,
    /// The server does not support the operation.
    Unimplemented = -6,
    /// The operation timed out.
    OperationTimeout = -7,
    /// The arguments of the request are invalid.
    BadArguments = -8,
    /// The server does not know the session.
    UnknownSession = -12,
    /// A new configuration has no quorum of connected servers.
    NewConfigNoQuorum = -13,
    /// Another reconfiguration is in progress.
    ReconfigInProgress = -14,
    /// The API was used incorrectly.
    ApiError = -100,
    /// The node does not exist.
    NoNode = -101,
    /// The ACL of the node does not permit the operation.
    NoAuth = -102,
    /// The version of the node differs from the one in the request.
    BadVersion = -103,
    /// An ephemeral node can't have children.
    NoChildrenForEphemerals = -108,
    /// The node exists already.
    NodeExists = -110,
    /// The node has children.
    NotEmpty = -111,
    /// The session has expired.
    SessionExpired = -112,
    /// A callback is invalid.
    InvalidCallback = -113,
    /// The ACL is invalid.
    InvalidAcl = -114,
    /// The credentials were rejected.
    AuthFailed = -115,
    /// The session moved to another server.
    SessionMoved = -118,
    /// A state-changing request was sent to a read-only server.
    NotReadOnly = -119,
    /// Ephemeral nodes need a global session.
    EphemeralOnLocalSession = -120,
    /// The watch does not exist.
    NoWatcher = -121,
    /// The request took too long.
    RequestTimeout = -122,
    /// Reconfiguration is disabled.
    ReconfigDisabled = -123,
    /// The server closed the session because it requires SASL authentication.
    SessionClosedRequireSaslAuth = -124,
    /// The quota was exceeded.
    QuotaExceeded = -125,
    /// Rejected because the server is overloaded.
    ThrottledOp = -127,
}

wire_enum! {
    /// The type of a request.
    Op, "operation",
    /// Create a node.
    Create = 1,
    /// Delete a node.
    Delete = 2,
    /// Check whether a node exists.
    Exists = 3,
    /// Read a node's data.
    GetData = 4,
    /// Change a node's data.
    SetData = 5,
    /// Read a node's ACL.
    GetAcl = 6,
    /// Set a node's ACL.
    SetAcl = 7,
    /// Read the names of the children.
    GetChildren = 8,
    /// Make the server catch up with the leader before it replies.
    Sync = 9,
    /// Heartbeat.
    Ping = 11,
    /// Read the names of the children and the node's stat.
    GetChildren2 = 12,
    /// Check a node's version.
    Check = 13,
    /// Execute several operations atomically.
    Multi = 14,
    /// Create a node; the response has its stat.
    Create2 = 15,
    /// Authenticate with a credential.
    Auth = 100,
    /// Restore one-time watches on a new connection.
    SetWatches = 101,
    /// Restore one-time and persistent watches on a new connection.
    SetWatches2 = 105,
    /// Set a persistent watch.
    AddWatch = 106,
    /// End the session.
    Close = -11,
}

wire_enum! {
    /// The type of a watch event.
    EventKind, "type of event",
    /// The state of the session changed; no node is affected.
    Session = -1,
    /// The node was created.
    Created = 1,
    /// The node was deleted.
    Deleted = 2,
    /// The data of the node changed.
    DataChanged = 3,
    /// A child of the node was created or deleted.
    ChildrenChanged = 4,
    /// The watch on the data of the node was removed.
    DataWatchRemoved = 5,
    /// The watch on the children of the node was removed.
    ChildWatchRemoved = 6,
    /// The persistent watch on the node was removed.
    PersistentWatchRemoved = 7,
}

wire_enum! {
    /// The create mode of a node.
    Mode, "mode of a node",
    /// The node outlives its session.
    Persistent = 0,
    /// The node is deleted when its session ends.
    Ephemeral = 1,
    /// The node outlives its session; the server appends a number to its name.
    PersistentSequential = 2,
    /// The node is deleted when its session ends; the server appends a number to its name.
    EphemeralSequential = 3,
}

wire_enum! {
    /// The mode of a persistent watch.
    WatchMode, "mode of a watch",
    /// The watch covers the node and its list of children.
    Persistent = 0,
    /// The watch covers the node and all its descendants.
    Recursive = 1,
}

impl Mode {
    /// Whether the node is deleted when its session ends.
    pub fn ephemeral(self) -> bool {
        matches!(self, Mode::Ephemeral | Mode::EphemeralSequential)
    }
    /// Whether the server appends a number to the name of the node.
    pub fn sequential(self) -> bool {
        matches!(self, Mode::PersistentSequential | Mode::EphemeralSequential)
    }
}
