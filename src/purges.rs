//! Purges remembered until no older copy can come back, ordered by expiry. Plain data: for how long a purge
//! is remembered, and what follows from one, is decided by the user of the table.
use crate::interface::ObjectId;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// Most purges remembered: those of 50 seconds at 1,000 a second. Purges are remembered for a few times the
/// purge window (about 9 s at most), so the bound holds that rate; a full table takes about 5 MB.
pub const MAX_PURGES: usize = 50_000;

/// What a purge concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// All copies of an object.
    Object(ObjectId),
    /// All copies of all objects of a group.
    Group(u64),
}

impl PurgeTarget {
    /// The object, or all of the group without one: an object's purge holds whatever its group is.
    pub fn new(object: Option<ObjectId>, group: u64) -> Self {
        object.map_or(PurgeTarget::Group(group), PurgeTarget::Object)
    }
}

/// A remembered purge: copies given out at `issued` or before are void, `until` there can be no such copies
/// any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Purge {
    issued: MonotonicTime,
    until: MonotonicTime,
}

impl Purge {
    /// Both in one: neither moves back.
    fn merge(self, other: Purge) -> Purge {
        Purge { issued: self.issued.max(other.issued), until: self.until.max(other.until) }
    }
}

/// The latest purge of each object and group. Recording one costs O(log n), however many are remembered.
#[derive(Debug, Default)]
pub struct PurgeTable {
    /// At most [`MAX_PURGES`]; at the bound the one that expires first turns into `floor`.
    latest: BTreeMap<PurgeTarget, Purge>,
    /// The same purges by the moment until which they are remembered.
    by_expiry: BTreeSet<(MonotonicTime, PurgeTarget)>,
    /// Concerns all objects: purges that there is no room for, or that were missed.
    floor: Option<Purge>,
    /// Until then, purges that were missed may not be done everywhere.
    missed_until: MonotonicTime,
    /// Entries read, written or removed since the table was made.
    touched: u64,
}

impl PurgeTable {
    /// Records a purge, to be remembered until a moment. Purges that expired before `now` are dropped.
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

    /// Records that purges of anything up to `issued` may have been missed: all older copies are void, which
    /// is remembered until a time.
    pub fn raise_floor(&mut self, issued: MonotonicTime, until: MonotonicTime) {
        let new = Purge { issued, until };
        self.floor = Some(self.floor.map_or(new, |floor| floor.merge(new)));
    }

    /// Records that purges were missed, of which nothing more is known; until a time they may not be done
    /// everywhere.
    pub fn record_missed(&mut self, until: MonotonicTime) {
        self.missed_until = self.missed_until.max(until);
    }

    /// Whether purges that were missed may not be done everywhere.
    pub fn is_missed_pending(&self, now: MonotonicTime) -> bool {
        now < self.missed_until
    }

    /// When the object was purged last, by itself, with its group, or by the floor; none if that is
    /// forgotten.
    pub fn latest(&self, now: MonotonicTime, object: ObjectId, group: u64) -> Option<MonotonicTime> {
        let targets = [PurgeTarget::Object(object), PurgeTarget::Group(group)];
        let existing = targets.iter().filter_map(|target| self.latest.get(target));
        existing.chain(&self.floor).filter(|purge| now < purge.until).map(|purge| purge.issued).max()
    }

    /// All purges remembered, with the time of each.
    pub fn iter(&self) -> impl Iterator<Item = (PurgeTarget, MonotonicTime)> + '_ {
        self.latest.iter().map(|(target, purge)| (*target, purge.issued))
    }

    /// The time up to which all copies are void, if there is one.
    pub fn floor(&self) -> Option<MonotonicTime> {
        self.floor.map(|floor| floor.issued)
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Entries read, written or removed since the table was made: what recording costs.
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
