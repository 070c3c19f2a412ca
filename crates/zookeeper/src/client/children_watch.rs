//! The cache of the children of one watched path.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most children of one path; those beyond are left out, and the driver is notified.
pub const MAX_CHILDREN: usize = 100_000;

/// The cached names of the children of one path, and the reads that keep them current.
#[derive(Debug, Default)]
pub(super) struct ChildrenWatch {
    pub(super) path: String,
    /// Whether the server supports persistent watches; determined on each connection.
    pub(super) persistent: bool,
    /// Reported children, at most [`MAX_CHILDREN`].
    pub(super) children: BTreeSet<String>,
    /// Children to be read, each once.
    pub(super) read_queue: VecDeque<String>,
    pub(super) queued: BTreeSet<String>,
    /// Children being read.
    pub(super) reading: BTreeMap<String, u64>,
    /// The zxid of the list whose children are being read.
    pub(super) list_zxid: Option<i64>,
    /// Whether a list is on its way, and whether another must follow it.
    pub(super) listing: bool,
    pub(super) list_again: bool,
    /// Whether all children are to be read, since the connection is new and nothing is watched on it.
    pub(super) reread_all: bool,
}

impl ChildrenWatch {
    /// Discards all reads: no more responses arrive on this connection.
    pub(super) fn discard_requests(&mut self) {
        self.read_queue.clear();
        self.queued.clear();
        self.reading.clear();
        (self.list_zxid, self.listing, self.list_again) = (None, false, false);
    }

    /// Whether no child is being read, or is to be.
    pub(super) fn has_no_reads(&self) -> bool {
        self.read_queue.is_empty() && self.reading.is_empty()
    }

    pub(super) fn enqueue_read(&mut self, name: &str) {
        if self.queued.insert(name.to_string()) {
            self.read_queue.push_back(name.to_string());
        }
    }

    /// The name of the child that this path is, if it is one.
    pub(super) fn child_name<'a>(&self, path: &'a str) -> Option<&'a str> {
        let relative_path = path.strip_prefix(&self.path)?.strip_prefix('/')?;
        (!relative_path.is_empty() && !relative_path.contains('/')).then_some(relative_path)
    }

    /// Whether everything the server reported of this watch has been read.
    pub(super) fn is_current(&self) -> bool {
        !self.listing && self.list_zxid.is_none() && !self.reread_all && self.has_no_reads()
    }

    /// Adds a child to the cache; false if there are too many.
    pub(super) fn try_insert(&mut self, name: &str) -> bool {
        let inserted = self.children.len() < MAX_CHILDREN || self.children.contains(name);
        if inserted {
            self.children.insert(name.to_string());
        }
        inserted
    }

    /// Removes a child and its reads; whether it was cached.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        if self.queued.remove(name) {
            self.read_queue.retain(|queued| queued != name);
        }
        self.reading.remove(name);
        self.children.remove(name)
    }
}
