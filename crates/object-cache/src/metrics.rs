//! Counters and the report for operators. The keys of the serialized form are stable.
use crate::lookup::{CacheHit, Miss};
use serde::Serialize;

/// How lookups ended, and what happened to entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CacheCounts {
    /// Lookups answered from the cache.
    #[serde(rename = "served")]
    pub hits: u64,
    /// Bytes of content sent in these replies.
    #[serde(rename = "served_bytes")]
    pub hit_bytes: u64,
    /// Lookups of objects that are not cached.
    #[serde(rename = "absent")]
    pub misses: u64,
    /// Lookups that found an object older than its time to live.
    #[serde(rename = "aged")]
    pub stale: u64,
    /// Lookups rejected because the purge feed was silent or disconnected.
    #[serde(rename = "doubted")]
    pub purge_feed_silent: u64,
    /// Lookups rejected because the client link was busy.
    #[serde(rename = "waits")]
    pub link_busy: u64,
    /// Objects added.
    #[serde(rename = "kept")]
    pub inserted: u64,
    /// Objects evicted for lack of capacity.
    #[serde(rename = "pushed_out")]
    pub evicted: u64,
    /// Objects removed by a purge, or because a purge of them may have been missed.
    pub purged: u64,
}

impl CacheCounts {
    /// Counts a lookup that was answered.
    pub(crate) fn record_hit(&mut self, hit: &CacheHit) {
        self.hits += 1;
        if !hit.not_modified {
            self.hit_bytes += hit.object.bytes.len() as u64;
        }
    }

    /// Counts a lookup that was not answered.
    pub(crate) fn record_miss(&mut self, miss: Miss) {
        let counter = match miss {
            Miss::Absent => &mut self.misses,
            Miss::Stale => &mut self.stale,
            Miss::PurgeFeedSilent => &mut self.purge_feed_silent,
            Miss::LinkBusy => &mut self.link_busy,
        };
        *counter += 1;
    }
}

/// The state of the cache for operators.
#[derive(Debug, Clone, Serialize)]
pub struct CacheReport {
    /// Number of cached objects.
    #[serde(rename = "copies")]
    pub entries: usize,
    /// Bytes of memory that the cached objects take.
    pub bytes: usize,
    /// Bytes of memory that the cached objects may take now.
    #[serde(rename = "room")]
    pub capacity: usize,
    /// Whether the purge feed is current, so that cached objects may answer.
    #[serde(rename = "trusted")]
    pub purge_feed_current: bool,
    /// The counters of lookups and entries.
    pub counts: CacheCounts,
}
