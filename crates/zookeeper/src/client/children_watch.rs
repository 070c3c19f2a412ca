//! The cache of the children of one watched path.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of cached children per path; further ones are not cached, and the driver is notified.
pub const MAX_CHILDREN: usize = 100_000;

/// The cached names of the children of one path, and the reads that keep them current.
#[derive(Debug, Default)]
pub(super) struct ChildrenWatch {
    pub(super) path: String,
    /// Whether the server supports persistent watches; determined on each connection.
    pub(super) persistent: bool,
    /// Reported children, at most [`MAX_CHILDREN`].
    pub(super) children: BTreeSet<String>,
    /// Names of children to read, without duplicates, in the order of the reads.
    pub(super) read_queue: VecDeque<String>,
    /// The names in `read_queue`.
    pub(super) queued: BTreeSet<String>,
    /// Children being read, each with the token of its latest request.
    pub(super) reading: BTreeMap<String, u64>,
    /// The zxid of the list whose children are being read; none while no list is being read.
    pub(super) list_zxid: Option<i64>,
    /// Whether a request for the list of children is queued or in flight.
    pub(super) listing: bool,
    /// Whether the list must be requested again after the current response.
    pub(super) list_again: bool,
    /// Whether the next list must reread all children, because none has been read on this connection.
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

    /// Whether no read of a child is queued or in flight.
    pub(super) fn has_no_reads(&self) -> bool {
        self.read_queue.is_empty() && self.reading.is_empty()
    }

    /// Queues a read of a child unless one is queued already.
    pub(super) fn enqueue_read(&mut self, name: &str) {
        if self.queued.insert(name.to_string()) {
            self.read_queue.push_back(name.to_string());
        }
    }

    /// The name of the direct child that `path` denotes, or none if it denotes no direct child of the watched path.
    pub(super) fn child_name<'a>(&self, path: &'a str) -> Option<&'a str> {
        let relative_path = path.strip_prefix(&self.path)?.strip_prefix('/')?;
        (!relative_path.is_empty() && !relative_path.contains('/')).then_some(relative_path)
    }

    /// Whether the cache reflects every list and event that the server has sent for this watch.
    pub(super) fn is_current(&self) -> bool {
        !self.listing && self.list_zxid.is_none() && !self.reread_all && self.has_no_reads()
    }

    /// Adds a child to the cache. Returns false if the cache already holds [`MAX_CHILDREN`] others.
    pub(super) fn try_insert(&mut self, name: &str) -> bool {
        let inserted = self.children.len() < MAX_CHILDREN || self.children.contains(name);
        if inserted {
            self.children.insert(name.to_string());
        }
        inserted
    }

    /// Removes a child and discards its reads. Returns whether it was cached.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        if self.queued.remove(name) {
            self.read_queue.retain(|queued| queued != name);
        }
        self.reading.remove(name);
        self.children.remove(name)
    }
}
