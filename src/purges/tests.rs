use super::*;

const SECOND: u64 = 1_000_000;

/// A point in time in microseconds.
fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn object(n: u64) -> PurgeTarget {
    PurgeTarget::Object(n)
}

#[test]
fn an_evicted_purge_still_invalidates_older_copies() {
    let mut purges = PurgeTable::default();
    for n in 0..=MAX_PURGES as u64 {
        purges.record(at(n), object(n), at(1000 + n), at(SECOND + n));
    }
    assert_eq!(purges.latest(at(1), 0, 7), Some(at(1000)), "its own purge was evicted first, into the floor");
    assert_eq!(
        purges.latest(at(1), 999_999, 7),
        Some(at(1000)),
        "the floor applies to all objects, up to the time of the evicted purge only"
    );
    assert_eq!(purges.len(), MAX_PURGES);
    assert_eq!(
        purges.latest(at(SECOND), 999_999, 7),
        None,
        "the floor expires when no copy of that age can exist"
    );
}

#[test]
fn a_late_or_repeated_purge_does_not_move_times_back() {
    let mut purges = PurgeTable::default();
    purges.record(at(10), PurgeTarget::Group(3), at(500), at(110));
    purges.record(at(20), PurgeTarget::Group(3), at(400), at(120));
    assert_eq!((purges.latest(at(20), 1, 3), purges.latest(at(20), 1, 4)), (Some(at(500)), None));
    assert_eq!(purges.latest(at(119), 1, 3), Some(at(500)), "the later of both expiries applies");
    purges.record(at(200), PurgeTarget::Group(9), at(1), at(201));
    assert_eq!(purges.latest(at(200), 1, 3), None, "both purges have expired");
    assert_eq!(purges.len(), 1);
}

#[test]
fn a_floor_applies_to_all_objects_until_it_expires() {
    let mut purges = PurgeTable::default();
    purges.raise_floor(at(50), at(100));
    purges.raise_floor(at(40), at(120));
    purges.record(at(60), object(1), at(55), at(90));
    assert_eq!((purges.latest(at(60), 1, 0), purges.latest(at(60), 2, 0)), (Some(at(55)), Some(at(50))));
    assert_eq!((purges.latest(at(119), 1, 0), purges.latest(at(120), 1, 0)), (Some(at(50)), None));
}

/// Mean number of entries touched by one of 1,000 purges while a constant number of them is stored.
fn entries_touched_per_purge(stored: u64) -> f64 {
    let mut purges = PurgeTable::default();
    let record = |purges: &mut PurgeTable, n: u64| purges.record(at(n), object(n), at(n), at(n + stored));
    (0..2 * stored).for_each(|n| record(&mut purges, n));
    assert_eq!(purges.len() as u64, stored);
    let before = purges.touched();
    (2 * stored..2 * stored + 1000).for_each(|n| record(&mut purges, n));
    (purges.touched() - before) as f64 / 1000.0
}

#[test]
fn the_cost_of_a_purge_does_not_grow_with_the_stored_purges() {
    let touched = [1, 4, 16].map(|times| entries_touched_per_purge(times * 2_500));
    assert_eq!(touched, [2.0; 3], "the recorded purge and the one that expires");
}

#[test]
fn lookups_agree_with_a_walk_over_all_purges() {
    let mut purges = PurgeTable::default();
    let mut all: Vec<(PurgeTarget, MonotonicTime, MonotonicTime)> = Vec::new();
    for n in 0..5_000_u64 {
        let random = crate::mix(n);
        let id = random % 40;
        let target = if random & 64 == 0 { PurgeTarget::Group(id) } else { object(id) };
        let (issued, until) = (at(n.saturating_sub(random >> 8 & 31)), at(n + (random >> 16 & 127)));
        purges.record(at(n), target, issued, until);
        all.push((target, issued, until));
        let probe = [object(random >> 32 & 31), PurgeTarget::Group(random >> 40 & 31)];
        let newest = |target: &PurgeTarget| {
            let mut found: Option<(MonotonicTime, MonotonicTime)> = None;
            for (recorded, (of, issued, until)) in all.iter().enumerate() {
                // A purge recorded after the former one has expired replaces it.
                found = found.filter(|(_, known)| *known > at(recorded as u64));
                if of == target {
                    found = Some(found.map_or((*issued, *until), |f| (f.0.max(*issued), f.1.max(*until))));
                }
            }
            found.filter(|(_, until)| at(n) < *until).map(|(issued, _)| issued)
        };
        if n % 50 == 0 {
            let [PurgeTarget::Object(id), PurgeTarget::Group(group)] = probe else { return };
            assert_eq!(purges.latest(at(n), id, group), probe.iter().filter_map(newest).max(), "at {n}");
        }
    }
}
