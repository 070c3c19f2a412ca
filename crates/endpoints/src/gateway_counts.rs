//! How many gateways are alive in each zone, counted by their ephemeral nodes.
//!
//! The gateways of a zone divide the slow-start budgets of its endpoints by this number. A number that is too small
//! lets them overload a cold endpoint together, so a number that falls takes effect only after [`HOLD_TIME`], and none
//! falls while the service cannot be reached.
use crate::input::Connectivity;
use larchway::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time for which the larger number stays in force after a fall.
pub const HOLD_TIME: Duration = Duration::from_secs(30);
/// Limit on the gateways that are counted. There is room for a fleet of 12,000 and for nodes under new names that
/// replace others; at some 100 bytes for each gateway, this takes some 2 MB.
pub const MAX_GATEWAYS: usize = 16_384;
/// Limit on the past counts of a zone. Beyond it new ones, which are the smallest, are dropped.
const MAX_PAST_COUNTS: usize = 256;

/// A count that was in force until a time.
#[derive(Debug, Clone, Copy)]
struct PastCount {
    until: MonotonicTime,
    count: u64,
}

impl PastCount {
    fn expires_at(&self) -> MonotonicTime {
        self.until + HOLD_TIME
    }
}

/// The live gateways by zone.
#[derive(Debug, Clone, Default)]
pub struct GatewayCounts {
    /// Zone of each gateway by the name of its node, at most [`MAX_GATEWAYS`].
    zones: BTreeMap<String, usize>,
    /// Number of gateways in each zone. It could be computed from `zones`, but is needed for every request.
    current: BTreeMap<usize, u64>,
    /// Past counts of each zone, in the order of time, and each smaller than the one before.
    past: BTreeMap<usize, VecDeque<PastCount>>,
    /// Whether all nodes have been read at least once.
    complete: bool,
    connected: bool,
    /// Nodes that have not appeared since a reread was started.
    unconfirmed: BTreeSet<String>,
}

impl GatewayCounts {
    /// The node of a gateway was created or changed. Gateways beyond [`MAX_GATEWAYS`] are not counted.
    pub fn add(&mut self, now: MonotonicTime, name: &str, zone: usize) {
        if self.zones.len() >= MAX_GATEWAYS && !self.zones.contains_key(name) {
            return;
        }
        self.unconfirmed.remove(name);
        self.save_current(now, zone);
        self.remove(now, name);
        self.zones.insert(name.to_string(), zone);
        *self.current.entry(zone).or_default() += 1;
    }

    /// The node of a gateway was deleted.
    pub fn remove(&mut self, now: MonotonicTime, name: &str) {
        let Some(&zone) = self.zones.get(name) else { return };
        self.save_current(now, zone);
        self.forget(name);
    }

    /// All nodes are being read again.
    pub fn start_reread(&mut self) {
        self.unconfirmed = self.zones.keys().cloned().collect();
    }

    /// All nodes have been read.
    pub fn finish_reread(&mut self, now: MonotonicTime) {
        self.set_connectivity(now, Connectivity::Connected);
        self.complete = true;
        for name in std::mem::take(&mut self.unconfirmed) {
            self.forget(&name);
        }
    }

    /// The connection to the service is established or lost.
    pub fn set_connectivity(&mut self, now: MonotonicTime, connectivity: Connectivity) {
        let zones: Vec<usize> = self.current.keys().copied().collect();
        for zone in zones {
            self.save_current(now, zone);
        }
        self.connected = connectivity.is_connected();
    }

    /// The number of gateways in each zone; empty until all nodes have been read.
    pub fn counts(&mut self, now: MonotonicTime) -> BTreeMap<usize, u64> {
        if !self.complete {
            return BTreeMap::new();
        }
        if self.connected {
            self.drop_expired(now);
        }
        let mut counts = self.current.clone();
        for (zone, past) in &self.past {
            let largest = past.front().map_or(0, |past| past.count);
            let count = counts.entry(*zone).or_default();
            *count = (*count).max(largest).max(1);
        }
        counts
    }

    /// When a count will fall.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        // Until all nodes have been read no count is given, and none expires.
        if !self.complete || !self.connected {
            return None;
        }
        let falls_at = |(zone, past): (&usize, &VecDeque<PastCount>)| {
            let largest = past.front()?;
            let current = self.current.get(zone).copied().unwrap_or(0);
            (largest.count > current).then(|| largest.expires_at())
        };
        self.past.iter().filter_map(falls_at).min()
    }

    fn forget(&mut self, name: &str) {
        let Some(zone) = self.zones.remove(name) else { return };
        if let Some(count) = self.current.get_mut(&zone) {
            *count -= 1;
        }
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        for past in self.past.values_mut() {
            while past.front().is_some_and(|first| first.expires_at() <= now) {
                past.pop_front();
            }
        }
    }

    /// Adds the count of a zone, which is about to change, to the past counts.
    fn save_current(&mut self, now: MonotonicTime, zone: usize) {
        let Some(&count) = self.current.get(&zone) else { return };
        let past = self.past.entry(zone).or_default();
        // A smaller count before it would expire earlier, and never be the largest.
        while past.back().is_some_and(|last| last.count <= count) {
            past.pop_back();
        }
        if past.len() < MAX_PAST_COUNTS {
            past.push_back(PastCount { until: now, count });
        }
    }
}
