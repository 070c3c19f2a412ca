//! The gateway's own cached copies: lookups, insertions, and the invalidation of copies that a purge may affect.
use super::messages::Request;
use super::Core;
use crate::clock::wire::CopyTimes;
use crate::slots::SlotKey;
use larchway::{Event, MonotonicTime};
use larchway_object_cache::{CacheHit, CacheKey, CachedObject, Lookup};
use std::time::Duration;

/// Number of purge windows for which a store may still reply with a copy issued before a purge.
const PURGE_WINDOWS: u32 = 2;

/// The key of the cached copy that would answer a request.
fn cache_key(request: &Request) -> CacheKey {
    CacheKey { object: request.object, part: request.part, class: request.class }
}

impl Core {
    /// The cached copy that answers a request, if there is one; `None` for writes and other requests of
    /// uncacheable classes.
    pub(super) fn lookup_cached(
        &mut self,
        now: MonotonicTime,
        request: &Request,
        time_left: Duration,
    ) -> Option<CacheHit> {
        let class = &self.classes.get(request.class)?.settings.class;
        let cache = self.object_cache.as_mut()?;
        if class.uncacheable {
            return None;
        }
        let lookup = Lookup {
            time_to_live: class.fresh,
            latency_objective: class.latency_objective,
            time_left,
            client_tag: request.client_tag.as_deref(),
        };
        cache.lookup(now, cache_key(request), lookup)
    }

    /// Caches the bytes of an attempt's reply, if there is a cache and the request is cacheable.
    pub fn cache_copy(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        times: CopyTimes,
        tag: Option<&str>,
        bytes: &[u8],
    ) {
        let open = self.attempts.get(key).and_then(|attempt| self.requests.get(attempt.request));
        let (Some(cache), Some(request)) = (&mut self.object_cache, open.map(|open| &open.request)) else {
            return;
        };
        if self.classes.get(request.class).is_some_and(|slot| !slot.settings.class.uncacheable) {
            let CopyTimes { issued, issued_local } = times;
            let object = CachedObject {
                entity_tag: tag.map(str::to_string),
                issued,
                issued_local,
                bytes: bytes.into(),
            };
            cache.insert(now, cache_key(request), request.group, object);
        }
    }

    /// For how long stores may still reply with copies issued before a purge.
    pub(super) fn purge_retention(&self) -> Duration {
        // Attempts in flight result from decisions before the purge, and may return an older copy until they end.
        let longest_deadline = self.classes.slots().iter().map(|slot| slot.settings.deadline).max();
        self.purge_window * PURGE_WINDOWS + longest_deadline.unwrap_or_default()
    }

    /// Handles a gap in the events, in which purges may be missing: invalidates all cached copies, and those to come
    /// that were issued up to `issued`, the latest issue time that a missed purge can have.
    pub fn invalidate_copies(&mut self, now: MonotonicTime, issued: MonotonicTime) {
        let retention = self.purge_retention();
        if let Some(cache) = &mut self.object_cache {
            cache.invalidate_up_to(now, issued, retention);
        }
    }

    /// Notifies the module that purges up to now may have been missed, so that it asks stores for newer copies only.
    pub fn purges_missed(&mut self, now: MonotonicTime) {
        self.handle_event(now, Event::PurgesMissed);
    }
}
