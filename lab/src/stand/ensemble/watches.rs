//! Watches: how they are set, set again after a reconnect, and fired.
use super::client::ClientConnection;
use super::state::Ensemble;
use super::transaction::Change;
use super::tree::Tree;
use larchway_zookeeper::proto::{Event, EventKind, WatchMode};

/// The state of the session in an event: `KeeperState.SyncConnected`.
const CONNECTED_STATE: i32 = 3;

/// What a client sets again after it has reconnected.
pub(super) struct RestoredWatches {
    /// The last zxid that the client has seen: later changes are reported at once.
    pub(super) last_seen: i64,
    /// One-time watches on data, existence and children.
    pub(super) one_time: [Vec<String>; 3],
    /// Persistent watches, plain and recursive.
    pub(super) persistent: Option<[Vec<String>; 2]>,
}

impl ClientConnection {
    /// Sets watches again; returns the changes that the client has missed.
    fn restore_watches(&mut self, tree: &Tree, watches: RestoredWatches) -> Vec<Change> {
        let RestoredWatches { last_seen, one_time: [data, existence, children], persistent } = watches;
        let mut missed = Vec::new();
        for path in data {
            match tree.get(&path) {
                None => missed.push(Change { kind: EventKind::Deleted, path }),
                Some(node) if node.stat.mzxid > last_seen => {
                    missed.push(Change { kind: EventKind::DataChanged, path });
                }
                Some(_) => drop(self.data_watches.insert(path)),
            }
        }
        for path in existence {
            match tree.get(&path) {
                Some(_) => missed.push(Change { kind: EventKind::Created, path }),
                None => drop(self.data_watches.insert(path)),
            }
        }
        for path in children {
            match tree.get(&path) {
                None => missed.push(Change { kind: EventKind::Deleted, path }),
                Some(node) if node.stat.pzxid > last_seen => {
                    missed.push(Change { kind: EventKind::ChildrenChanged, path });
                }
                Some(_) => drop(self.child_watches.insert(path)),
            }
        }
        if let Some([plain, recursive]) = persistent {
            self.persistent_watches.extend(plain.into_iter().map(|path| (path, WatchMode::Persistent)));
            self.persistent_watches.extend(recursive.into_iter().map(|path| (path, WatchMode::Recursive)));
        }
        missed
    }

    /// Whether a change is sent to the client; one-time watches on it are removed.
    fn fire(&mut self, kind: EventKind, path: &str) -> bool {
        let one_time = match kind {
            EventKind::ChildrenChanged => self.child_watches.remove(path),
            EventKind::Deleted => self.data_watches.remove(path) | self.child_watches.remove(path),
            _ => self.data_watches.remove(path),
        };
        let plain = self.persistent_watches.get(path) == Some(&WatchMode::Persistent);
        one_time || plain || kind != EventKind::ChildrenChanged && self.has_recursive_watch(path)
    }

    fn has_recursive_watch(&self, path: &str) -> bool {
        let covers = |watched: &str| {
            path.strip_prefix(watched).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let mut watches = self.persistent_watches.iter();
        watches.any(|(watched, mode)| *mode == WatchMode::Recursive && covers(watched))
    }
}

impl Ensemble {
    /// Sets watches again, and sends the events that the client has missed.
    pub(super) fn restore_watches(&mut self, connection: u64, watches: RestoredWatches) {
        let Some(client) = self.connections.get(&connection) else { return };
        let tree = self.tree_at(client.server).clone();
        let Some(client) = self.connections.get_mut(&connection) else { return };
        for change in client.restore_watches(&tree, watches) {
            self.send_event(connection, &change);
        }
    }

    /// Sends a change to the clients of a server that watch the node.
    pub(super) fn fire(&mut self, server: usize, change: &Change) {
        let mut watchers = Vec::new();
        for (&id, client) in self.connections.iter_mut().filter(|(_, client)| client.server == server) {
            if client.fire(change.kind, &change.path) {
                watchers.push(id);
            }
        }
        for connection in watchers {
            self.send_event(connection, change);
        }
    }

    fn send_event(&mut self, connection: u64, change: &Change) {
        let event = Event { kind: change.kind, state: CONNECTED_STATE, path: change.path.clone() };
        self.write(connection, event.framed());
    }
}
