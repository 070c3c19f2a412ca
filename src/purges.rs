//! A table of purges, each stored until no older copy can reappear, ordered by expiry. The table decides
//! nothing: its user chooses how long a purge is stored and what follows from it.
use crate::interface::ObjectId;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of stored purges: 50 seconds of them at 1,000 a second. Purges are stored for a few times
/// the purge window (at most about 9 s), so the table holds that rate; a full table takes about 5 MB.
pub const MAX_PURGES: usize = 50_000;

/// What a purge applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// All copies of an object.
    Object(ObjectId),
    /// All copies of all objects of a group.
    Group(u64),
}

impl PurgeTarget {
    /// Targets the object if there is one, otherwise the group. The purge of an object applies whatever its
    /// group is.
    pub fn new(object: Option<ObjectId>, group: u64) -> Self {
        object.map_or(PurgeTarget::Group(group), PurgeTarget::Object)
    }
}

/// A stored purge: copies from `issued` or earlier are invalid, and none of them can reappear after `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Purge {
    issued: MonotonicTime,
    until: MonotonicTime,
}

impl Purge {
    /// Combines two purges of the same target by the later of both times.
    fn merge(self, other: Purge) -> Purge {
        Purge { issued: self.issued.max(other.issued), until: self.until.max(other.until) }
    }
}

/// The latest purge of each object and group. Recording one takes O(log n) time.
#[derive(Debug, Default)]
pub struct PurgeTable {
    /// At most [`MAX_PURGES`]; beyond that, the one that expires first is merged into `floor`.
    latest: BTreeMap<PurgeTarget, Purge>,
    /// The same purges, ordered by expiry.
    by_expiry: BTreeSet<(MonotonicTime, PurgeTarget)>,
    /// Applies to all objects: stands for purges that did not fit into the table or were missed.
    floor: Option<Purge>,
    /// Time by which all missed purges have taken effect at every server.
    missed_until: MonotonicTime,
    /// Number of entries read, written or removed since the table was created.
    touched: u64,
}

impl PurgeTable {
    /// Records a purge, to be stored until `until`, and drops the purges that have expired by `now`.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        target: PurgeTarget,
        issued: MonotonicTime,
        until: MonotonicTime,
    ) {
        self.expire(now);
        let existing = self.latest.get(&target).copied();
        let new = Purge { issued, until };
        let merged = existing.map_or(new, |existing| existing.merge(new));
        if let Some(existing) = existing {
            self.by_expiry.remove(&(existing.until, target));
        }
        self.latest.insert(target, merged);
        self.by_expiry.insert((merged.until, target));
        self.touched += 1;
        while self.latest.len() > MAX_PURGES {
            let Some(purge) = self.remove_earliest() else { return };
            self.raise_floor(purge.issued, purge.until);
        }
    }

    /// Records that any purges up to `issued` may have been missed: all copies up to that time are invalid.
    /// The record is stored until `until`.
    pub fn raise_floor(&mut self, issued: MonotonicTime, until: MonotonicTime) {
        let new = Purge { issued, until };
        self.floor = Some(self.floor.map_or(new, |floor| floor.merge(new)));
    }

    /// Records that unknown purges were missed, which take effect at every server by `until`.
    pub fn record_missed(&mut self, until: MonotonicTime) {
        self.missed_until = self.missed_until.max(until);
    }

    /// Whether missed purges may not yet have taken effect at every server.
    pub fn is_missed_pending(&self, now: MonotonicTime) -> bool {
        now < self.missed_until
    }

    /// When the object was last purged, by itself, with its group, or by the floor; none if there is no such
    /// purge or it has expired.
    pub fn latest(&self, now: MonotonicTime, object: ObjectId, group: u64) -> Option<MonotonicTime> {
        let targets = [PurgeTarget::Object(object), PurgeTarget::Group(group)];
        let existing = targets.iter().filter_map(|target| self.latest.get(target));
        existing.chain(&self.floor).filter(|purge| now < purge.until).map(|purge| purge.issued).max()
    }

    /// All stored purges and the time of each.
    pub fn iter(&self) -> impl Iterator<Item = (PurgeTarget, MonotonicTime)> + '_ {
        self.latest.iter().map(|(target, purge)| (*target, purge.issued))
    }

    /// The time up to which all copies are invalid, if there is one.
    pub fn floor(&self) -> Option<MonotonicTime> {
        self.floor.map(|floor| floor.issued)
    }

    /// Number of stored purges.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether no purge is stored.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Number of entries read, written or removed since the table was created: the cost of recording.
    pub fn touched(&self) -> u64 {
        self.touched
    }

    fn expire(&mut self, now: MonotonicTime) {
        while self.by_expiry.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_earliest();
        }
    }

    fn remove_earliest(&mut self) -> Option<Purge> {
        let (_, target) = self.by_expiry.pop_first()?;
        self.touched += 1;
        self.latest.remove(&target)
    }
}

#[cfg(test)]
mod tests;
