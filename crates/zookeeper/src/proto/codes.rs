//! The numbers of the protocol as enums: errors, operations, event types and modes.
use crate::error::ProtocolError;

/// The xid of an event.
pub const EVENT_XID: i32 = -1;
/// The xid of a ping and its answer.
pub const PING_XID: i32 = -2;
/// The xid of credentials.
pub const AUTH_XID: i32 = -4;
/// The xid of watches that are set again.
pub const WATCHES_XID: i32 = -8;

macro_rules! wire_enum {
    ($(#[$enum_attribute:meta])* $name:ident, $description:literal, $($(#[$item_attribute:meta])* $item:ident = $value:literal),+ $(,)?) => {
        $(#[$enum_attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        #[repr(i32)]
        pub enum $name { $($(#[$item_attribute])* $item = $value),+ }

        impl $name {
            /// By its number.
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
    /// An error that a server answers with.
    Code, "error",
    /// The server failed.
    SystemError = -1,
    /// An inconsistency while it ran.
    RuntimeInconsistency = -2,
    /// An inconsistency of its data.
    DataInconsistency = -3,
    /// It lost its connection to the ensemble.
    ConnectionLoss = -4,
    /// It could not read the request.
    MarshallingError = -5,
    /// It does not know the operation.
    Unimplemented = -6,
    /// It ran out of time.
    OperationTimeout = -7,
    /// The request's arguments are of no use.
    BadArguments = -8,
    /// It does not know the session.
    UnknownSession = -12,
    /// No quorum of a new configuration.
    NewConfigNoQuorum = -13,
    /// A reconfiguration is under way.
    ReconfigInProgress = -14,
    /// Wrong use.
    ApiError = -100,
    /// There is no such node.
    NoNode = -101,
    /// Not allowed.
    NoAuth = -102,
    /// The node has another version.
    BadVersion = -103,
    /// An ephemeral node can't have children.
    NoChildrenForEphemerals = -108,
    /// The node is there already.
    NodeExists = -110,
    /// The node has children.
    NotEmpty = -111,
    /// The session has expired.
    SessionExpired = -112,
    /// A callback is of no use.
    InvalidCallback = -113,
    /// Invalid ACL.
    InvalidAcl = -114,
    /// Credentials were refused.
    AuthFailed = -115,
    /// The session moved to another server.
    SessionMoved = -118,
    /// The server only reads.
    NotReadOnly = -119,
    /// Ephemeral nodes need a global session.
    EphemeralOnLocalSession = -120,
    /// There is no such watch.
    NoWatcher = -121,
    /// The request took too long.
    RequestTimeout = -122,
    /// Reconfiguration is off.
    ReconfigDisabled = -123,
    /// The session wants credentials first.
    SessionClosedRequireSaslAuth = -124,
    /// Beyond the quota.
    QuotaExceeded = -125,
    /// Rejected because the server is overloaded.
    ThrottledOp = -127,
}

wire_enum! {
    /// An operation.
    Op, "operation",
    /// Create a node.
    Create = 1,
    /// Delete a node.
    Delete = 2,
    /// Whether a node is there.
    Exists = 3,
    /// A node's data.
    GetData = 4,
    /// Change a node's data.
    SetData = 5,
    /// Read a node's ACL.
    GetAcl = 6,
    /// Set a node's ACL.
    SetAcl = 7,
    /// Names of children.
    GetChildren = 8,
    /// Wait until the server has caught up.
    Sync = 9,
    /// Heartbeat.
    Ping = 11,
    /// Names of children, and the node's stat.
    GetChildren2 = 12,
    /// Check a version.
    Check = 13,
    /// Several at once, all or none.
    Multi = 14,
    /// Create a node; the response has its stat.
    Create2 = 15,
    /// Credentials.
    Auth = 100,
    /// Set one-time watches again.
    SetWatches = 101,
    /// Set watches again, persistent ones among them.
    SetWatches2 = 105,
    /// Set a persistent watch.
    AddWatch = 106,
    /// End the session.
    Close = -11,
}

wire_enum! {
    /// What happened to a node.
    EventKind, "type of event",
    /// Nothing: the session's state changed.
    Session = -1,
    /// It was created.
    Created = 1,
    /// It was deleted.
    Deleted = 2,
    /// Its data changed.
    DataChanged = 3,
    /// A child was created or deleted.
    ChildrenChanged = 4,
    /// The watch on its data was removed.
    DataWatchRemoved = 5,
    /// The watch on its children was removed.
    ChildWatchRemoved = 6,
    /// The persistent watch on it was removed.
    PersistentWatchRemoved = 7,
}

wire_enum! {
    /// The create mode of a node.
    Mode, "mode of a node",
    /// It outlives its session.
    Persistent = 0,
    /// It is deleted when its session ends.
    Ephemeral = 1,
    /// It outlives its session; the server appends a number to its name.
    PersistentSequential = 2,
    /// Both.
    EphemeralSequential = 3,
}

wire_enum! {
    /// The mode of a persistent watch.
    WatchMode, "mode of a watch",
    /// On the node and its list of children.
    Persistent = 0,
    /// On the node and all below it.
    Recursive = 1,
}

impl Mode {
    /// Whether the node is deleted when its session ends.
    pub fn ephemeral(self) -> bool {
        matches!(self, Mode::Ephemeral | Mode::EphemeralSequential)
    }
    /// Whether the server appends a number to its name.
    pub fn sequential(self) -> bool {
        matches!(self, Mode::PersistentSequential | Mode::EphemeralSequential)
    }
}
