//! Random histories, checked against a list of all insertions and purges. Invariant numbers refer to
//! `docs/design/copies.md`.
use larchway::purges::PurgeTarget;
use larchway::MonotonicTime;
use larchway_object_cache::{
    CacheKey, CachedObject, CopiesFile, LinkRates, Lookup, MemoryBudget, ObjectCache,
};
use proptest::prelude::*;
use std::time::Duration;

/// Longer than any store may still hold an object after its purge.
const RETENTION: Duration = Duration::from_secs(18);
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);
const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
const MEMORY_LIMIT: usize = 100_000;
/// Bytes of the cache's default share of the memory limit.
const MEMORY_SHARE: usize = 25_000;

#[derive(Debug, Clone)]
enum Step {
    Insert { object: u64, part: u64, age: u64, size: usize },
    Lookup { object: u64, part: u64, time_to_live: u64 },
    Purge { object: Option<u64>, group: u64, age: u64 },
    FeedActive,
    FeedDisconnected,
    SetCapacity { reserved: usize },
    Wait { milliseconds: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..12u64, 0..3u64, 0..9000u64, 1..400usize)
            .prop_map(|(object, part, age, size)| Step::Insert { object, part, age, size }),
        8 => (0..12u64, 0..3u64, prop_oneof![Just(0u64), Just(3000u64)])
            .prop_map(|(object, part, time_to_live)| Step::Lookup { object, part, time_to_live }),
        2 => (proptest::option::of(0..12u64), 0..3u64, 0..2000u64)
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        4 => Just(Step::FeedActive),
        1 => Just(Step::FeedDisconnected),
        1 => (0..40_000usize).prop_map(|reserved| Step::SetCapacity { reserved }),
        3 => (0..900u64).prop_map(|milliseconds| Step::Wait { milliseconds }),
    ];
    proptest::collection::vec(step, 1..200)
}

fn group_of(object: u64) -> u64 {
    object % 3
}

/// An inserted object. Its content starts with the serial number, in eight bytes.
struct Inserted {
    key: CacheKey,
    issued: MonotonicTime,
    serial: u64,
}

/// A purge that was applied.
struct Purge {
    target: PurgeTarget,
    issued: MonotonicTime,
}

impl Purge {
    fn concerns(&self, object: u64, issued: MonotonicTime) -> bool {
        let is_target = match self.target {
            PurgeTarget::Object(purged) => purged == object,
            PurgeTarget::Group(purged) => purged == group_of(object),
        };
        is_target && issued <= self.issued
    }
}

/// The cache under test and everything that happened to it.
struct History {
    cache: ObjectCache,
    now: MonotonicTime,
    capacity: usize,
    feed_active_at: Option<MonotonicTime>,
    inserted: Vec<Inserted>,
    purges: Vec<Purge>,
}

impl History {
    fn new() -> Self {
        let settings = CopiesFile { largest_percent: 50, ..CopiesFile::default() };
        let mut cache = ObjectCache::new(settings, LinkRates::default());
        cache.set_capacity(MemoryBudget { limit: MEMORY_LIMIT, reserved: 0 });
        History {
            cache,
            now: START,
            capacity: MEMORY_SHARE,
            feed_active_at: None,
            inserted: Vec::new(),
            purges: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Insert { object, part, age, size } => self.insert(object, part, age, size),
            Step::Lookup { object, part, time_to_live } => {
                self.lookup(object, part, Duration::from_millis(time_to_live))?;
            }
            Step::Purge { object, group, age } => self.purge(PurgeTarget::new(object, group), age),
            Step::FeedActive => {
                self.cache.feed_active(self.now);
                self.feed_active_at = Some(self.now);
            }
            Step::FeedDisconnected => {
                self.cache.feed_disconnected();
                self.feed_active_at = None;
            }
            Step::SetCapacity { reserved } => {
                self.cache.set_capacity(MemoryBudget { limit: MEMORY_LIMIT, reserved });
                self.capacity = MEMORY_SHARE.saturating_sub(reserved);
            }
            Step::Wait { milliseconds } => self.now += Duration::from_millis(milliseconds),
        }
        let (bytes, capacity) = (self.cache.bytes(), self.capacity);
        prop_assert!(bytes <= capacity, "invariant 5: {bytes} of {capacity} bytes");
        Ok(())
    }

    fn insert(&mut self, object: u64, part: u64, age: u64, size: usize) {
        let serial = self.inserted.len() as u64 + 1;
        let key = CacheKey { object, part, class: 0 };
        let mut bytes = serial.to_le_bytes().to_vec();
        bytes.resize(bytes.len() + size, 0);
        let issued = self.now - Duration::from_millis(age);
        let cached = CachedObject { entity_tag: None, issued, issued_local: issued, bytes: bytes.into() };
        self.cache.insert(self.now, key, group_of(object), cached);
        self.inserted.push(Inserted { key, issued, serial });
    }

    fn purge(&mut self, target: PurgeTarget, age: u64) {
        let issued = self.now - Duration::from_millis(age);
        self.cache.purge(self.now, target, issued, RETENTION);
        self.purges.push(Purge { target, issued });
    }

    fn lookup(&mut self, object: u64, part: u64, time_to_live: Duration) -> Result<(), TestCaseError> {
        let key = CacheKey { object, part, class: 0 };
        let latency_objective = Duration::from_millis(100);
        let time_left = Duration::from_secs(1);
        let lookup = Lookup { time_to_live, latency_objective, time_left, client_tag: None };
        let Some(hit) = self.cache.lookup(self.now, key, lookup) else { return Ok(()) };
        let issued = hit.object.issued;
        let serial = u64::from_le_bytes(hit.object.bytes[..8].try_into().expect("eight bytes"));
        let matching = self.inserted.iter().find(|inserted| inserted.serial == serial);
        let matching = matching.expect("it was inserted");
        prop_assert_eq!(matching.key, key, "invariant 1: another object's bytes");
        prop_assert_eq!(matching.issued, issued);
        let purged = self.purges.iter().any(|purge| purge.concerns(object, issued));
        prop_assert!(!purged, "invariant 2: issued before a purge");
        let fresh = time_to_live.is_zero() || self.now <= issued + time_to_live;
        prop_assert!(fresh, "invariant 3: stale");
        let feed_current = self.feed_active_at.is_some_and(|at| self.now <= at + FEED_TIMEOUT);
        prop_assert!(feed_current, "invariant 4: the purge feed is silent");
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_lookup_returns_an_object_that_the_invariants_forbid(steps in steps()) {
        let mut history = History::new();
        for step in steps {
            history.apply(step)?;
        }
    }
}
