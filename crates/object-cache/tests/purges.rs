//! Purges, including missed ones: objects issued before a purge neither answer nor are admitted.
use larchway::purges::PurgeTarget;
use larchway::MonotonicTime;
use larchway_object_cache::{
    CacheKey, CachedObject, CopiesFile, LinkRates, Lookup, MemoryBudget, ObjectCache, PurgeSource,
};
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_micros(100_000_000);
const MICROSECOND: Duration = Duration::from_micros(1);
const SECOND: Duration = Duration::from_secs(1);
const LOOKUP: Lookup<'static> =
    Lookup { time_to_live: Duration::ZERO, latency_objective: SECOND, time_left: SECOND, client_tag: None };

fn key(number: u64) -> CacheKey {
    CacheKey { object: number, part: 0, class: 0 }
}

fn object(issued: MonotonicTime) -> CachedObject {
    CachedObject { entity_tag: None, issued, issued_local: issued, bytes: vec![1; 10].into() }
}

fn cache() -> ObjectCache {
    let mut cache = ObjectCache::new(CopiesFile::default(), LinkRates::default());
    cache.set_capacity(MemoryBudget { limit: 1_000_000, reserved: 0 });
    cache.set_purge_source(PurgeSource::None);
    cache
}

#[test]
fn missed_purges_invalidate_cached_objects_and_those_in_transit() {
    let mut cache = cache();
    let now = NOW;
    cache.insert(now, key(1), 7, object(now - SECOND));
    assert!(cache.lookup(now, key(1), LOOKUP).is_some());
    cache.invalidate_up_to(now, now, 20 * SECOND);
    assert!(cache.lookup(now, key(1), LOOKUP).is_none());
    cache.insert(now + SECOND, key(2), 7, object(now));
    assert!(cache.lookup(now + SECOND, key(2), LOOKUP).is_none(), "it was in transit");
    cache.insert(now + SECOND, key(2), 7, object(now + MICROSECOND));
    assert!(cache.lookup(now + SECOND, key(2), LOOKUP).is_some());
    cache.insert(now + 20 * SECOND, key(3), 7, object(now - SECOND));
    assert!(
        cache.lookup(now + 20 * SECOND, key(3), LOOKUP).is_some(),
        "by then no store holds an invalid object"
    );
}

#[test]
fn objects_answer_until_the_purge_feed_timeout() {
    let mut cache = cache();
    let now = NOW;
    cache.set_purge_source(PurgeSource::Feed);
    cache.feed_active(now);
    cache.insert(now, key(1), 7, object(now));
    let answers = |cache: &mut ObjectCache, at| cache.lookup(at, key(1), LOOKUP).is_some();
    assert!(!answers(&mut cache, now + 2 * SECOND));
    cache.set_feed_timeout(Some(3 * SECOND));
    assert!(answers(&mut cache, now + 3 * SECOND));
    assert!(!answers(&mut cache, now + 3 * SECOND + MICROSECOND));
}

/// The purge of a group removes only objects that belong to it now, even if others were removed or moved to another
/// group before.
#[test]
fn a_group_purge_follows_the_present_members_of_the_group() {
    let mut cache = cache();
    let now = NOW;
    for number in 1..=6 {
        cache.insert(now, key(number), number % 2, object(now - 2 * SECOND));
    }
    cache.purge(now, PurgeTarget::new(Some(2), 0), now, SECOND);
    // The same object belongs to another group now.
    cache.insert(now, key(3), 0, object(now - SECOND));
    cache.purge(now, PurgeTarget::new(None, 0), now - SECOND, SECOND);
    let hits: Vec<u64> = (1..=6).filter(|number| cache.lookup(now, key(*number), LOOKUP).is_some()).collect();
    assert_eq!(hits, [1, 5]);
}
