//! The ephemeral nodes of all gateways, counted by zone, with those that are gone ordered by the time at which they went:
//! a node that comes or goes costs O(log n), and a count costs the nodes that have expired since the last input.
use super::WAIT;
use larchway::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most nodes kept; those beyond only count. 12,000 gateways have to fit, together with nodes under new names that came
/// in place of others which still count. A node takes some 200 bytes, so that all of them take some 3 MB.
pub const MOST_NODES: usize = 16_384;

/// The zone of a node that does not name one; it may be any.
const UNKNOWN_ZONE: usize = usize::MAX;

/// A node that stands, or went less than [`WAIT`] ago.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    zone: usize,
    departed: Option<Micros>,
}

/// A node that went, ordered by when.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Departure {
    at: Micros,
    name: Arc<str>,
    zone: usize,
}

/// How many nodes count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// In all zones.
    pub all: u64,
    /// In the zone asked for, and those whose zone is not known.
    pub in_zone: u64,
}

/// The nodes of all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Nodes {
    /// By name, at most [`MOST_NODES`].
    by_name: BTreeMap<Arc<str>, Node>,
    /// How many of `by_name` are in each zone; no zone stands here with 0.
    by_zone: BTreeMap<usize, u64>,
    /// Those of `by_name` that are gone.
    departures: BTreeSet<Departure>,
    /// Nodes told of beyond [`MOST_NODES`]: one that is left out would be missing in the division, so it is counted.
    uncounted: u64,
}

impl Nodes {
    /// How many are kept.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// The names of all that are kept.
    pub fn names(&self) -> impl Iterator<Item = Arc<str>> + '_ {
        self.by_name.keys().cloned()
    }

    /// A node is there.
    pub fn arrived(&mut self, name: &str, zone: usize) {
        if let Some(kept) = self.remove(name) {
            self.insert(kept, zone);
        } else if self.by_name.len() < MOST_NODES {
            self.insert(name.into(), zone);
        } else {
            self.uncounted += 1;
        }
    }

    /// A node is gone. It counts for [`WAIT`] more.
    pub fn departed(&mut self, now: Micros, name: &str) {
        let Some((kept, node)) = self.by_name.get_key_value(name) else { return };
        if node.departed.is_some() {
            return;
        }
        let departure = Departure { at: now, name: kept.clone(), zone: node.zone };
        if let Some(node) = self.by_name.get_mut(name) {
            node.departed = Some(now);
        }
        self.departures.insert(departure);
    }

    /// Drops nodes that went [`WAIT`] ago or earlier.
    pub fn forget_departed(&mut self, now: Micros) {
        while self.departures.first().is_some_and(|first| first.at + WAIT <= now) {
            let Some(departure) = self.departures.pop_first() else { return };
            self.by_name.remove(&departure.name);
            self.uncount(departure.zone);
        }
    }

    /// How many nodes stand, or went less than `hold` ago; `hold` is at most [`WAIT`].
    pub fn standing(&self, zone: usize, now: Micros, hold: Micros) -> Standing {
        let in_zone = |of: usize| of == zone || of == UNKNOWN_ZONE;
        let count_of = |zone: usize| self.by_zone.get(&zone).copied().unwrap_or(0);
        let unknown = if zone == UNKNOWN_ZONE { 0 } else { count_of(UNKNOWN_ZONE) };
        let mut standing = Standing {
            all: self.by_name.len() as u64 + self.uncounted,
            in_zone: count_of(zone) + unknown + self.uncounted,
        };
        for expired in self.departures.iter().take_while(|departure| departure.at + hold <= now) {
            standing.all -= 1;
            standing.in_zone -= u64::from(in_zone(expired.zone));
        }
        standing
    }

    fn insert(&mut self, name: Arc<str>, zone: usize) {
        self.by_name.insert(name, Node { zone, departed: None });
        *self.by_zone.entry(zone).or_default() += 1;
    }

    fn remove(&mut self, name: &str) -> Option<Arc<str>> {
        let (name, node) = self.by_name.remove_entry(name)?;
        if let Some(at) = node.departed {
            self.departures.remove(&Departure { at, name: name.clone(), zone: node.zone });
        }
        self.uncount(node.zone);
        Some(name)
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
