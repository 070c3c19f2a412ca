//! Admission, eviction, conditional lookups, and the report to operators.
use larchway::purges::PurgeTarget;
use larchway::MonotonicTime;
use larchway_object_cache::{
    CacheKey, CachedObject, CopiesFile, LinkRates, Lookup, MemoryBudget, ObjectCache, PurgeSource,
};
use std::time::Duration;

const MICROSECOND: Duration = Duration::from_micros(1);
const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// A time that leaves room for objects issued before it.
const NOW: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
const MEMORY_LIMIT: usize = 4_000_000;

const LOOKUP: Lookup<'static> = Lookup {
    time_to_live: Duration::ZERO,
    latency_objective: Duration::from_millis(100),
    time_left: SECOND,
    client_tag: None,
};

fn cache_on(link: LinkRates) -> ObjectCache {
    let mut cache = ObjectCache::new(CopiesFile::default(), link);
    cache.set_capacity(MemoryBudget { limit: MEMORY_LIMIT, reserved: 0 });
    cache.set_purge_source(PurgeSource::None);
    cache
}

fn cache() -> ObjectCache {
    cache_on(LinkRates::default())
}

fn key(object: u64) -> CacheKey {
    CacheKey { object, part: 0, class: 0 }
}

fn object(issued: MonotonicTime, size: usize) -> CachedObject {
    CachedObject { entity_tag: None, issued, issued_local: issued, bytes: vec![0; size].into() }
}

fn is_hit(cache: &mut ObjectCache, now: MonotonicTime, object: u64) -> bool {
    cache.lookup(now, key(object), LOOKUP).is_some()
}

#[test]
fn a_scan_of_objects_requested_once_evicts_none_that_are_in_use() {
    let mut cache = cache();
    for number in 0..100 {
        cache.insert(NOW, key(number), 0, object(NOW, 5_000));
        assert!(is_hit(&mut cache, NOW, number));
    }
    for number in 1000..3000 {
        cache.insert(NOW + SECOND, key(number), 0, object(NOW + SECOND, 5_000));
    }
    let hits = (0..100).filter(|number| is_hit(&mut cache, NOW + 2 * SECOND, *number)).count();
    assert_eq!(hits, 100);
    assert!(cache.report(NOW + 2 * SECOND).counts.evicted > 1500);
}

#[test]
fn only_a_client_with_the_same_entity_tag_gets_a_reply_without_bytes() {
    let mut cache = cache();
    let tagged = CachedObject { entity_tag: Some("t1".into()), ..object(NOW, 100) };
    cache.insert(NOW, key(1), 0, tagged);
    let not_modified = [None, Some("t1"), Some("t2")].map(|client_tag| {
        let hit = cache.lookup(NOW + MS, key(1), Lookup { client_tag, ..LOOKUP });
        hit.map(|hit| hit.not_modified)
    });
    assert_eq!(not_modified, [Some(false), Some(true), Some(false)]);
}

#[test]
fn malformed_and_too_large_objects_are_not_admitted() {
    let mut cache = cache();
    let from_the_future = object(NOW + 60 * SECOND, 9);
    for rejected in [object(MonotonicTime::MIN, 9), from_the_future, object(NOW, 0), object(NOW, 200_000)] {
        cache.insert(NOW, key(1), 0, rejected);
    }
    assert_eq!(cache.report(NOW).entries, 0);
    cache.insert(NOW, key(1), 0, object(NOW, 9));
    cache.insert(NOW, key(1), 0, object(NOW - MICROSECOND, 12));
    assert_eq!(cache.bytes(), 256 + 9, "an older object does not replace a newer one");
    cache.remove_class(0);
    assert_eq!((cache.report(NOW).entries, cache.bytes()), (0, 0));
}

#[test]
fn each_lookup_is_counted_by_its_result() {
    let mut cache = cache_on(LinkRates { per_transfer: 0.0, total: 100_000.0 });
    for number in 1..=2 {
        cache.insert(NOW, key(number), 0, object(NOW, 10_000));
    }
    assert!(!is_hit(&mut cache, NOW, 3), "it is not cached");
    assert!(is_hit(&mut cache, NOW, 1));
    assert!(!is_hit(&mut cache, NOW, 2), "the link is busy for 100 ms, and 25 ms are allowed");
    cache.set_purge_source(PurgeSource::Feed);
    assert!(!is_hit(&mut cache, NOW + SECOND, 1), "the purge feed is not connected");
    cache.feed_active(NOW + SECOND);
    let expired = Lookup { time_to_live: SECOND, ..LOOKUP };
    assert!(cache.lookup(NOW + SECOND + MICROSECOND, key(1), expired).is_none(), "it is stale");
    let report = cache.report(NOW + SECOND + MICROSECOND);
    let counts = report.counts;
    assert_eq!((counts.hits, counts.hit_bytes, counts.inserted), (1, 10_000, 2));
    assert_eq!((counts.misses, counts.link_busy, counts.purge_feed_silent, counts.stale), (1, 1, 1, 1));
    assert_eq!(report.entries, 1, "a stale object is removed");
}

#[test]
fn the_report_has_the_documented_json_form() {
    let mut cache = cache();
    cache.insert(NOW, key(1), 0, object(NOW, 100));
    for number in [1, 2] {
        is_hit(&mut cache, NOW + MS, number);
    }
    cache.purge(NOW + 2 * MS, PurgeTarget::Object(1), NOW + MS, SECOND);
    let json = serde_json::to_string(&cache.report(NOW + 2 * MS)).expect("it can be serialized");
    let counts = concat!(
        r#"{"served":1,"served_bytes":100,"absent":1,"aged":0,"doubted":0,"waits":0,"#,
        r#""kept":1,"pushed_out":0,"purged":1}"#
    );
    assert_eq!(json, format!(r#"{{"copies":0,"bytes":0,"room":1000000,"trusted":true,"counts":{counts}}}"#));
}
