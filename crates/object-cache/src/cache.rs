//! The object cache: admission, lookup, eviction and invalidation of objects.
use crate::link_budget::{LinkBudget, LinkRates, Transfer};
use crate::lookup::{CacheHit, Lookup, Miss};
use crate::metrics::{CacheCounts, CacheReport};
use crate::object::{CacheKey, CachedObject};
use crate::operator_file::CopiesFile;
use crate::purge_feed::{PurgeFeed, PurgeSource};
use crate::segmented_lru::SegmentedLru;
use larchway::purges::{PurgeTable, PurgeTarget};
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

/// How far after the current time the issue time of an object may be, by the local clock. An object issued later than
/// that is not admitted, as it would stay fresh for too long.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// The memory that the cache shares with other uses, such as client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Maximum bytes for all uses together, the cache included.
    pub limit: usize,
    /// Bytes taken by the other uses.
    pub reserved: usize,
}

/// Objects in memory that answer requests without a store. Methods that depend on the time take it as an argument.
pub struct ObjectCache {
    settings: CopiesFile,
    /// The cached objects, which take at most `capacity` bytes.
    entries: SegmentedLru,
    /// Maximum bytes of memory for the entries.
    capacity: usize,
    /// The configured share of the memory limit in bytes.
    share: usize,
    /// The most bytes that the entries have taken.
    peak_bytes: usize,
    link_budget: LinkBudget,
    /// Recent purges. Objects still in transit from a store may have been issued before them.
    purges: PurgeTable,
    purge_feed: PurgeFeed,
    counts: CacheCounts,
}

impl ObjectCache {
    /// An empty cache without capacity, for a client link of these rates. It answers nothing until the purge
    /// feed is active.
    pub fn new(settings: CopiesFile, link: LinkRates) -> Self {
        ObjectCache {
            settings,
            entries: SegmentedLru::default(),
            capacity: 0,
            share: 0,
            peak_bytes: 0,
            link_budget: LinkBudget::new(link),
            purges: PurgeTable::default(),
            purge_feed: PurgeFeed::new(),
            counts: CacheCounts::default(),
        }
    }

    /// Replaces the settings. Cached objects stay; the capacity changes with the next
    /// [`ObjectCache::set_capacity`].
    pub fn configure(&mut self, settings: CopiesFile, link: LinkRates) {
        self.settings = settings;
        self.link_budget.configure(link);
    }

    /// Sets the capacity to the configured share of the memory limit, less the bytes reserved by others, and
    /// evicts what no longer fits.
    pub fn set_capacity(&mut self, memory: MemoryBudget) {
        self.share = memory.limit / 100 * usize::from(self.settings.memory_percent);
        self.capacity = self.share.saturating_sub(memory.reserved);
        self.evict();
    }

    /// Sets where purges come from. With a feed, the cache answers only while the feed is current.
    pub fn set_purge_source(&mut self, source: PurgeSource) {
        self.purge_feed.set_source(source);
    }

    /// Sets how long the purge feed may be silent; without a value the default applies.
    pub fn set_feed_timeout(&mut self, timeout: Option<Duration>) {
        self.purge_feed.set_timeout(timeout);
    }

    /// Records that something was received from the purge feed.
    pub fn feed_active(&mut self, now: MonotonicTime) {
        self.purge_feed.record_activity(now);
    }

    /// Records that the purge feed is disconnected.
    pub fn feed_disconnected(&mut self) {
        self.purge_feed.record_disconnect();
    }

    /// Returns the object that may answer a request now, if there is one, and charges its transfer to the client link.
    pub fn lookup(&mut self, now: MonotonicTime, key: CacheKey, lookup: Lookup<'_>) -> Option<CacheHit> {
        match self.find_usable(now, key, lookup) {
            Ok(hit) => {
                self.entries.touch(key, self.capacity);
                self.counts.record_hit(&hit);
                Some(hit)
            }
            Err(miss) => {
                self.counts.record_miss(miss);
                None
            }
        }
    }

    fn find_usable(
        &mut self,
        now: MonotonicTime,
        key: CacheKey,
        lookup: Lookup<'_>,
    ) -> Result<CacheHit, Miss> {
        let object = self.entries.get(key).ok_or(Miss::Absent)?.clone();
        if !lookup.time_to_live.is_zero() && now > object.issued_local + lookup.time_to_live {
            self.entries.remove(key);
            return Err(Miss::Stale);
        }
        // Stores may already have purged the object, so requests go to the stores until the feed is current again.
        if !self.purge_feed.is_current(now) {
            return Err(Miss::PurgeFeedSilent);
        }
        let not_modified = lookup.client_tag.is_some() && lookup.client_tag == object.entity_tag.as_deref();
        let transfer = Transfer {
            bytes: object.bytes.len(),
            not_modified,
            max_wait: percent_of(lookup.latency_objective, self.settings.wait_percent),
            time_left: lookup.time_left,
        };
        if !self.link_budget.admit(now, transfer) {
            return Err(Miss::LinkBusy);
        }
        Ok(CacheHit { object, not_modified })
    }

    /// Adds an object that a store served, if it is admissible.
    pub fn insert(&mut self, now: MonotonicTime, key: CacheKey, group: u64, object: CachedObject) {
        if !self.is_admissible(now, key, group, &object) {
            return;
        }
        self.entries.insert(key, group, object);
        self.counts.inserted += 1;
        self.evict();
    }

    /// Whether an object is well-formed, small enough, newer than the cached one and not purged.
    fn is_admissible(&self, now: MonotonicTime, key: CacheKey, group: u64, object: &CachedObject) -> bool {
        let max_size = self.capacity / 100 * usize::from(self.settings.largest_percent);
        if object.issued == MonotonicTime::MIN || object.bytes.is_empty() || object.memory_size() > max_size {
            return false;
        }
        if object.issued_local > now + MAX_CLOCK_SKEW {
            return false;
        }
        if self.entries.get(key).is_some_and(|cached| cached.issued >= object.issued) {
            return false;
        }
        // An object issued in the same microsecond as the purge may have been issued before it.
        let purged_at = self.purges.latest(now, key.object, group);
        purged_at.is_none_or(|purged_at| object.issued > purged_at)
    }

    /// Applies a purge: objects of the target issued up to `issued` are removed and no longer admitted. The purge is
    /// remembered for `retention`, the time for which such objects may still arrive from stores.
    pub fn purge(
        &mut self,
        now: MonotonicTime,
        target: PurgeTarget,
        issued: MonotonicTime,
        retention: Duration,
    ) {
        self.purges.record(now, target, issued, now + retention);
        for key in self.entries.keys_for_purge(target) {
            if self.entries.get(key).is_some_and(|object| object.issued <= issued) {
                self.entries.remove(key);
                self.counts.purged += 1;
            }
        }
    }

    /// Removes all objects because purges may have been missed. Objects issued up to `issued`, the latest issue
    /// time that a missed purge can have, are not admitted for `retention`.
    pub fn invalidate_up_to(&mut self, now: MonotonicTime, issued: MonotonicTime, retention: Duration) {
        self.counts.purged += self.entries.len() as u64;
        self.entries.clear();
        self.purges.raise_floor(issued, now + retention);
    }

    /// Removes all objects of a request class, whose slot is about to be reused.
    pub fn remove_class(&mut self, class: usize) {
        for key in self.entries.keys_of_class(class) {
            self.entries.remove(key);
        }
    }

    /// The state of the cache for operators.
    pub fn report(&self, now: MonotonicTime) -> CacheReport {
        CacheReport {
            entries: self.entries.len(),
            bytes: self.entries.bytes(),
            capacity: self.capacity,
            purge_feed_current: self.purge_feed.is_current(now),
            counts: self.counts,
        }
    }

    /// The bytes of memory that cached objects may take in addition to the most that they have taken so far, once no
    /// bytes are reserved by others. The heap keeps what evicted objects have freed.
    pub fn bytes_to_come(&self) -> usize {
        self.share.saturating_sub(self.peak_bytes)
    }

    /// The bytes of memory that all cached objects take.
    pub fn bytes(&self) -> usize {
        self.entries.bytes()
    }

    fn evict(&mut self) {
        self.counts.evicted += self.entries.evict(self.capacity);
        self.peak_bytes = self.peak_bytes.max(self.entries.bytes());
    }
}

/// Returns a percentage of a duration, in whole microseconds.
fn percent_of(span: Duration, percent: u8) -> Duration {
    Duration::from_micros(duration_micros(span) / 100 * u64::from(percent))
}
