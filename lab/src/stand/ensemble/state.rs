//! The ensemble's state: a log of committed trees, the servers' places in it, the sessions and the connections.
use super::client::ClientConnection;
use super::session::Session;
use super::transaction::{Change, Transaction};
use super::tree::{Identity, Node, Tree, ROOT};
use larchway::Micros;
use larchway_zookeeper::proto::Acl;
use std::collections::{BTreeMap, VecDeque};

/// Commits whose trees are retained; no server lags by more.
const MAX_LOG_LENGTH: usize = 4096;
/// The zxid of the empty tree.
const FIRST_ZXID: i64 = 1;
/// Sessions are numbered from the one after this.
const SESSION_ID_BASE: i64 = 0x1000;

/// A committed transaction.
pub(super) struct Commit {
    pub(super) zxid: i64,
    pub(super) tree: Tree,
    pub(super) changes: Vec<Change>,
}

/// One server's faults and its place in the log.
#[derive(Default)]
pub struct Server {
    /// It accepts connections and bytes, and sends nothing.
    pub stalled: bool,
    /// It closes connections at once.
    pub refusing: bool,
    /// How many commits it lags behind.
    pub lag: usize,
    /// It sends half of its next frame and closes the connection.
    pub truncates_next_frame: bool,
    /// The zxid of the last commit that it has applied.
    pub(super) applied: i64,
}

/// What the owner of the sockets is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SocketAction {
    /// Write to a connection.
    Write(u64, Vec<u8>),
    /// Close it.
    Close(u64),
}

/// The ensemble. Times are µs of the Unix clock.
pub struct Ensemble {
    /// Its servers.
    pub servers: Vec<Server>,
    /// Whether servers support persistent watches (release 3.6 and later).
    pub supports_persistent_watches: bool,
    pub(super) log: VecDeque<Commit>,
    pub(super) sessions: BTreeMap<i64, Session>,
    pub(super) connections: BTreeMap<u64, ClientConnection>,
    pub(super) last_session: i64,
    pub(super) actions: Vec<SocketAction>,
}

impl Ensemble {
    /// So many servers over an empty tree.
    pub fn new(servers: usize) -> Self {
        let root = Node { acl: Acl::open(), ..Node::default() };
        let tree = Tree::unit(ROOT.into(), root);
        let server = || Server { applied: FIRST_ZXID, ..Server::default() };
        Ensemble {
            servers: std::iter::repeat_with(server).take(servers).collect(),
            supports_persistent_watches: true,
            log: VecDeque::from([Commit { zxid: FIRST_ZXID, tree, changes: Vec::new() }]),
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            last_session: SESSION_ID_BASE,
            actions: Vec::new(),
        }
    }

    /// The tree as committed.
    pub fn tree(&self) -> &Tree {
        &self.head().tree
    }

    /// The zxid of the last commit.
    pub fn zxid(&self) -> i64 {
        self.head().zxid
    }

    /// The ids of the sessions that have not ended.
    pub fn sessions(&self) -> Vec<i64> {
        self.sessions.keys().copied().collect()
    }

    /// The session that owns a node; 0: the node is not ephemeral.
    pub fn owner(&self, path: &str) -> Option<i64> {
        self.tree().get(path).map(|node| node.stat.owner)
    }

    /// What the owner of the sockets is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<SocketAction> {
        std::mem::take(&mut self.actions)
    }

    fn head(&self) -> &Commit {
        self.log.back().expect("the log is never empty")
    }

    /// The tree as a server has applied it.
    pub(super) fn tree_at(&self, server: usize) -> &Tree {
        let applied = self.servers[server].applied;
        let commit = self.log.iter().rev().find(|commit| commit.zxid <= applied);
        commit.map_or(self.tree(), |commit| &commit.tree)
    }

    /// Begins writes on the committed tree.
    pub(super) fn transaction(&self, now: Micros, session: i64, identities: Vec<Identity>) -> Transaction {
        let (tree, zxid) = (self.tree().clone(), self.zxid() + 1);
        Transaction { tree, changes: Vec::new(), zxid, now, session, identities }
    }

    /// Appends a transaction to the log; each server applies what its lag lets it.
    pub(super) fn commit(&mut self, transaction: Transaction) {
        let Transaction { zxid, tree, changes, .. } = transaction;
        self.log.push_back(Commit { zxid, tree, changes });
        if self.log.len() > MAX_LOG_LENGTH {
            self.log.pop_front();
        }
        for server in 0..self.servers.len() {
            let lag = self.servers[server].lag;
            self.apply(server, lag);
        }
    }

    /// Lets a server catch up to so many commits behind the last one, and fires its watches.
    pub fn apply(&mut self, server: usize, lag: usize) {
        let until = self.zxid() - lag as i64;
        let from = self.servers[server].applied;
        if until <= from {
            return;
        }
        self.servers[server].applied = until;
        // Zxids are dense, so the first commit to apply is found by its index.
        let first_zxid = self.log.front().map_or(0, |commit| commit.zxid);
        let index = usize::try_from(from + 1 - first_zxid).unwrap_or(0);
        let newly_applied = self.log.iter().skip(index).take_while(|commit| commit.zxid <= until);
        let changes: Vec<Change> = newly_applied.flat_map(|commit| commit.changes.iter().cloned()).collect();
        for change in changes {
            self.fire(server, &change);
        }
    }
}
