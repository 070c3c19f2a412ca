//! A client's connection to a server: its session, its buffers and its watches.
use super::tree::Identity;
use larchway_zookeeper::proto::WatchMode;
use std::collections::{BTreeMap, BTreeSet};

/// A client's connection to a server.
#[derive(Default)]
pub(super) struct ClientConnection {
    pub(super) server: usize,
    pub(super) session: i64,
    pub(super) handshake_done: bool,
    /// Bytes received that are not handled yet.
    pub(super) input: Vec<u8>,
    /// Frames that a stalled server has not sent.
    pub(super) pending_output: Vec<Vec<u8>>,
    pub(super) identities: Vec<Identity>,
    /// Paths with a one-time watch on the node.
    pub(super) data_watches: BTreeSet<String>,
    /// Paths with a one-time watch on the children.
    pub(super) child_watches: BTreeSet<String>,
    pub(super) persistent_watches: BTreeMap<String, WatchMode>,
}
