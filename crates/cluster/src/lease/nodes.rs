//! The ephemeral nodes of all gateways, counted by zone, with deleted ones ordered by the time of their deletion.
//! Adding or deleting a node takes O(log n); a count walks only over the nodes that have expired since the last
//! input.
use super::EXPIRY_WAIT;
use larchway::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Greatest number of nodes stored; further ones are only counted. 12,000 gateways must fit, together with
/// deleted nodes that are still counted after their gateways have created nodes under new names. A node takes
/// about 200 bytes, so all of them take about 3 MB.
pub const MAX_NODES: usize = 16_384;

/// The zone of a node that does not name one: the gateway may be in any zone.
const UNKNOWN_ZONE: usize = usize::MAX;

/// Size of the two reference counts that an `Arc` stores in front of the name, in bytes.
const ARC_HEADER_BYTES: usize = 2 * size_of::<usize>();

/// A node that exists, or was deleted less than [`EXPIRY_WAIT`] ago.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    zone: usize,
    deleted_at: Option<MonotonicTime>,
}

/// A deleted node, ordered by the time of its deletion.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Deletion<Name> {
    at: MonotonicTime,
    name: Name,
    zone: usize,
}

/// Numbers of nodes, including deleted ones that are still counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes in all zones.
    pub all: u64,
    /// Nodes in the requested zone, plus those whose zone is unknown.
    pub in_zone: u64,
}

/// The nodes of all gateways. The type of the names is a parameter so that a test can count comparisons.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Nodes<Name = Arc<str>> {
    /// The nodes by name, at most [`MAX_NODES`].
    by_name: BTreeMap<Name, Node>,
    /// The number of nodes in `by_name` for each zone; zones without nodes have no entry.
    by_zone: BTreeMap<usize, u64>,
    /// The nodes in `by_name` that are deleted.
    deletions: BTreeSet<Deletion<Name>>,
    /// Number of nodes beyond [`MAX_NODES`]. They are counted: without them each gateway would take too large a part of
    /// the pool.
    not_stored: u64,
}

impl<Name> Default for Nodes<Name> {
    fn default() -> Self {
        Nodes {
            by_name: BTreeMap::new(),
            by_zone: BTreeMap::new(),
            deletions: BTreeSet::new(),
            not_stored: 0,
        }
    }
}

impl Nodes {
    /// Bytes of memory that the nodes take, without the unused capacity of the ordered maps.
    pub fn memory_bytes(&self) -> usize {
        let entry = size_of::<Arc<str>>() + size_of::<Node>();
        let name = |name: &Arc<str>| ARC_HEADER_BYTES + name.len();
        let names: usize = self.by_name.keys().map(name).sum();
        self.by_name.len() * entry + names + self.deletions.len() * size_of::<Deletion<Arc<str>>>()
    }
}

impl<Name: Ord + Clone> Nodes<Name> {
    /// The number of stored nodes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no node is stored.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The names of all stored nodes.
    pub fn names(&self) -> impl Iterator<Item = Name> + '_ {
        self.by_name.keys().cloned()
    }

    /// Adds an existing node, or replaces the stored one of the same name.
    pub fn insert(&mut self, name: Name, zone: usize) {
        let stored = self.remove(&name);
        if stored || self.by_name.len() < MAX_NODES {
            self.by_name.insert(name, Node { zone, deleted_at: None });
            *self.by_zone.entry(zone).or_default() += 1;
        } else {
            self.not_stored += 1;
        }
    }

    /// Marks a node as deleted. It is counted for [`EXPIRY_WAIT`] more.
    pub fn mark_deleted(&mut self, now: MonotonicTime, name: &Name) {
        let Some(node) = self.by_name.get_mut(name).filter(|node| node.deleted_at.is_none()) else { return };
        node.deleted_at = Some(now);
        self.deletions.insert(Deletion { at: now, name: name.clone(), zone: node.zone });
    }

    /// Drops nodes that were deleted [`EXPIRY_WAIT`] ago or earlier.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        while self.deletions.first().is_some_and(|first| first.at + EXPIRY_WAIT <= now) {
            let Some(deletion) = self.deletions.pop_first() else { return };
            self.by_name.remove(&deletion.name);
            self.uncount(deletion.zone);
        }
    }

    /// The number of nodes that exist or were deleted less than `hold` ago; `hold` must be at most [`EXPIRY_WAIT`].
    pub fn counts(&self, zone: usize, now: MonotonicTime, hold: Duration) -> NodeCounts {
        let in_zone = |of: usize| of == zone || of == UNKNOWN_ZONE;
        let count_in = |zone: usize| self.by_zone.get(&zone).copied().unwrap_or(0);
        let unknown = if zone == UNKNOWN_ZONE { 0 } else { count_in(UNKNOWN_ZONE) };
        let mut counts = NodeCounts {
            all: self.by_name.len() as u64 + self.not_stored,
            in_zone: count_in(zone) + unknown + self.not_stored,
        };
        for expired in self.deletions.iter().take_while(|deletion| deletion.at + hold <= now) {
            counts.all -= 1;
            counts.in_zone -= u64::from(in_zone(expired.zone));
        }
        counts
    }

    fn remove(&mut self, name: &Name) -> bool {
        let Some(node) = self.by_name.remove(name) else { return false };
        if let Some(at) = node.deleted_at {
            self.deletions.remove(&Deletion { at, name: name.clone(), zone: node.zone });
        }
        self.uncount(node.zone);
        true
    }

    fn uncount(&mut self, zone: usize) {
        if let Some(number) = self.by_zone.get_mut(&zone) {
            *number -= 1;
            if *number == 0 {
                self.by_zone.remove(&zone);
            }
        }
    }
}
