//! The entries of the cache and the order in which they are evicted: a segmented LRU. A new entry is
//! probationary; one that is used again becomes protected. Protected entries in excess of their share return
//! to the probationary segment. Probationary entries are evicted first, least recently used first, so objects
//! that are requested only once do not displace those in use.
use crate::object::{CacheKey, CachedObject};
use larchway::purges::PurgeTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Share of the capacity that protected entries may take.
const PROTECTED_SHARE: f64 = 0.8;

/// An entry of the cache.
#[derive(Debug)]
struct Entry {
    object: Rc<CachedObject>,
    group: u64,
    segment: SegmentId,
    /// Position of the entry in the order of use of its segment.
    sequence: u64,
}

/// The segment that an entry belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SegmentId {
    Probationary,
    Protected,
}

/// The keys of a segment in order of use, and the memory that its entries take.
#[derive(Debug, Default)]
struct Segment {
    by_use: BTreeMap<u64, CacheKey>,
    bytes: usize,
}

impl Segment {
    fn add(&mut self, sequence: u64, key: CacheKey, size: usize) {
        self.by_use.insert(sequence, key);
        self.bytes += size;
    }

    fn remove(&mut self, sequence: u64, size: usize) {
        self.by_use.remove(&sequence);
        self.bytes -= size;
    }

    fn least_recently_used(&self) -> Option<CacheKey> {
        self.by_use.first_key_value().map(|(_, key)| *key)
    }
}

/// The entries of the cache. It does not limit its size itself: the owner calls [`SegmentedLru::evict`] with the
/// capacity after each insertion.
#[derive(Debug, Default)]
pub(crate) struct SegmentedLru {
    entries: BTreeMap<CacheKey, Entry>,
    /// The keys by group, so that the purge of a group visits only the group's entries.
    by_group: BTreeSet<(u64, CacheKey)>,
    probationary: Segment,
    protected: Segment,
    last_sequence: u64,
}

impl SegmentedLru {
    /// The number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The bytes of memory that all entries take.
    pub(crate) fn bytes(&self) -> usize {
        self.probationary.bytes + self.protected.bytes
    }

    /// The object with this key, if it is cached. This does not count as a use.
    pub(crate) fn get(&self, key: CacheKey) -> Option<&Rc<CachedObject>> {
        self.entries.get(&key).map(|entry| &entry.object)
    }

    /// Adds an object as the most recently used of its segment. An object that replaces another takes the segment of
    /// the replaced one; others are probationary.
    pub(crate) fn insert(&mut self, key: CacheKey, group: u64, object: CachedObject) {
        let replaced = self.detach(key);
        let segment = replaced.map_or(SegmentId::Probationary, |entry| entry.segment);
        let entry = Entry { object: Rc::new(object), group, segment, sequence: 0 };
        self.attach(key, entry);
    }

    /// Removes the entry with this key, if there is one.
    pub(crate) fn remove(&mut self, key: CacheKey) {
        self.detach(key);
    }

    /// Removes all entries.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.by_group.clear();
        self.probationary = Segment::default();
        self.protected = Segment::default();
    }

    /// Records a use of an entry: it becomes the most recently used of the protected segment.
    pub(crate) fn touch(&mut self, key: CacheKey, capacity: usize) {
        self.move_to(key, SegmentId::Protected);
        self.demote_excess(capacity);
    }

    /// Evicts entries until the rest fits into the capacity, in bytes. Returns the number of evicted entries.
    pub(crate) fn evict(&mut self, capacity: usize) -> u64 {
        let mut evicted = 0;
        while self.bytes() > capacity {
            let Some(key) = self.eviction_candidate() else { break };
            self.remove(key);
            evicted += 1;
        }
        evicted
    }

    /// The keys of the entries that a purge with this target applies to.
    pub(crate) fn keys_for_purge(&self, target: PurgeTarget) -> Vec<CacheKey> {
        match target {
            PurgeTarget::Object(object) => {
                let range = CacheKey::first_of(object)..=CacheKey::last_of(object);
                self.entries.range(range).map(|(key, _)| *key).collect()
            }
            PurgeTarget::Group(group) => {
                let range = (group, CacheKey::first_of(0))..=(group, CacheKey::last_of(u64::MAX));
                self.by_group.range(range).map(|(_, key)| *key).collect()
            }
        }
    }

    /// The keys of a request class.
    pub(crate) fn keys_of_class(&self, class: usize) -> Vec<CacheKey> {
        self.entries.keys().filter(|key| key.class == class).copied().collect()
    }

    fn eviction_candidate(&self) -> Option<CacheKey> {
        self.probationary.least_recently_used().or_else(|| self.protected.least_recently_used())
    }

    /// Moves the least recently used protected entries to the probationary segment, as its most recently used
    /// ones, until the protected segment is within its share.
    fn demote_excess(&mut self, capacity: usize) {
        while self.protected.bytes as f64 > PROTECTED_SHARE * capacity as f64 {
            let Some(key) = self.protected.least_recently_used() else { return };
            if !self.move_to(key, SegmentId::Probationary) {
                return;
            }
        }
    }

    /// Moves an entry to a segment, as its most recently used one, and returns whether there is such an entry.
    fn move_to(&mut self, key: CacheKey, segment: SegmentId) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else { return false };
        let size = entry.object.memory_size();
        self.last_sequence += 1;
        let old_segment = std::mem::replace(&mut entry.segment, segment);
        let old_sequence = std::mem::replace(&mut entry.sequence, self.last_sequence);
        self.segment_mut(old_segment).remove(old_sequence, size);
        let sequence = self.last_sequence;
        self.segment_mut(segment).add(sequence, key, size);
        true
    }

    fn attach(&mut self, key: CacheKey, entry: Entry) {
        self.last_sequence += 1;
        let entry = Entry { sequence: self.last_sequence, ..entry };
        let size = entry.object.memory_size();
        self.segment_mut(entry.segment).add(entry.sequence, key, size);
        self.by_group.insert((entry.group, key));
        self.entries.insert(key, entry);
    }

    fn detach(&mut self, key: CacheKey) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        let size = entry.object.memory_size();
        self.segment_mut(entry.segment).remove(entry.sequence, size);
        self.by_group.remove(&(entry.group, key));
        Some(entry)
    }

    fn segment_mut(&mut self, segment: SegmentId) -> &mut Segment {
        match segment {
            SegmentId::Probationary => &mut self.probationary,
            SegmentId::Protected => &mut self.protected,
        }
    }
}
