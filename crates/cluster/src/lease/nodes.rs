//! The ephemeral nodes of all gateways, counted by zone, with deleted ones ordered by the time of their deletion: a
//! created or deleted node costs O(log n), and a count costs the nodes that have expired since the last input.
use super::EXPIRY_WAIT;
use larchway::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Nodes stored at most; those beyond are only counted. 12,000 gateways have to fit, together with nodes under new
/// names that replace others which still count. A node takes some 200 bytes, so that all of them take some 3 MB.
pub const MAX_NODES: usize = 16_384;

/// The zone of a node that does not name one; it may be any.
const UNKNOWN_ZONE: usize = usize::MAX;

/// Bytes of the two reference counts that stand before a shared name.
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

/// How many nodes count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// In all zones.
    pub all: u64,
    /// In the zone asked for, and those whose zone is not known.
    pub in_zone: u64,
}

/// The nodes of all gateways, by names of any ordered type: a test counts their comparisons.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Nodes<Name = Arc<str>> {
    /// By name, at most [`MAX_NODES`].
    by_name: BTreeMap<Name, Node>,
    /// How many of `by_name` are in each zone; no zone stands here with 0.
    by_zone: BTreeMap<usize, u64>,
    /// Those of `by_name` that are deleted.
    deletions: BTreeSet<Deletion<Name>>,
    /// Nodes beyond [`MAX_NODES`]: one that is left out would be missing in the division, so it is counted.
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
    /// Bytes of memory that the nodes take, the slack of the ordered maps left out.
    pub fn memory_bytes(&self) -> usize {
        let entry = size_of::<Arc<str>>() + size_of::<Node>();
        let name = |name: &Arc<str>| ARC_HEADER_BYTES + name.len();
        let names: usize = self.by_name.keys().map(name).sum();
        self.by_name.len() * entry + names + self.deletions.len() * size_of::<Deletion<Arc<str>>>()
    }
}

impl<Name: Ord + Clone> Nodes<Name> {
    /// How many are stored.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether none is stored.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The names of all that are stored.
    pub fn names(&self) -> impl Iterator<Item = Name> + '_ {
        self.by_name.keys().cloned()
    }

    /// Adds a node that exists.
    pub fn insert(&mut self, name: Name, zone: usize) {
        let stored = self.remove(&name);
        if stored || self.by_name.len() < MAX_NODES {
            self.by_name.insert(name, Node { zone, deleted_at: None });
            *self.by_zone.entry(zone).or_default() += 1;
        } else {
            self.not_stored += 1;
        }
    }

    /// Marks a node as deleted. It counts for [`EXPIRY_WAIT`] more.
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

    /// How many nodes exist, or were deleted less than `hold` ago; `hold` is at most [`EXPIRY_WAIT`].
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
