use super::*;
use crate::hashing::mix;

const MEMORY: Duration = Duration::from_secs(1);

/// A point in time in microseconds.
fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn record_hit(table: &mut ItemTable, key: ItemKey) {
    table.record_hit(key, 7, at(1), MEMORY);
}

fn hits(table: &ItemTable, key: ItemKey) -> usize {
    table.get(&key).map_or(0, |item| item.hits.len())
}

#[test]
fn a_group_purge_applies_to_the_present_items_of_the_group() {
    let mut table = ItemTable::default();
    for (key, group) in [((1, 0), 5), ((2, 0), 5), ((3, 0), 6), ((4, 0), 0)] {
        table.count(at(1), key, group, MEMORY);
        record_hit(&mut table, key);
    }
    // The object moves to another group.
    table.count(at(2), (2, 0), 6, MEMORY);
    table.purge(PurgeTarget::Group(5));
    assert_eq!([1, 2, 3, 4].map(|object| hits(&table, (object, 0))), [0, 1, 1, 1]);
    table.purge(PurgeTarget::Group(6));
    assert_eq!([1, 2, 3, 4].map(|object| hits(&table, (object, 0))), [0, 0, 0, 1]);
    table.purge(PurgeTarget::Object(4));
    assert_eq!(hits(&table, (4, 0)), 0);
}

#[test]
fn evicted_and_replaced_items_leave_no_index_entries() {
    let mut table = ItemTable::default();
    for n in 0..MAX_REQUESTS as u64 + 10 {
        table.count(at(n), (n, 0), n % 3, MEMORY);
    }
    assert_eq!((table.items.len(), table.by_group.len()), (MAX_REQUESTS, MAX_REQUESTS));
    assert!(table.get(&(9, 0)).is_none() && table.get(&(10, 0)).is_some());
    table.insert((10, 0), Item { group: 9, last: at(99_999), ..Item::default() });
    assert_eq!(table.by_group.len(), MAX_REQUESTS);
    assert_eq!(table.latest().next().map(|(key, _)| key), Some((10, 0)));
}

/// Forgetting a server must not walk over all objects: that was costly when half of 3,200 stores were
/// replaced within a day.
#[test]
fn forgetting_a_server_touches_only_its_items() {
    let mut table = ItemTable::default();
    for object in 0..1000 {
        table.count(at(object), (object, 0), 0, MEMORY);
        table.record_hit((object, 0), object % 100, at(object), MEMORY);
    }
    table.forget_server(1000);
    assert_eq!(table.items_examined(), 0, "no hit was recorded at it");
    table.forget_server(7);
    assert_eq!(table.items_examined(), 10);
    assert!((0..1000).all(|object| hits(&table, (object, 0)) == usize::from(object % 100 != 7)));
}

/// Guards against a memory leak: an index entry that outlives its record is never removed.
#[test]
fn each_record_of_a_hit_has_one_entry_by_its_server() {
    let mut table = ItemTable::default();
    for step in 0..20_000_u64 {
        let draw = mix(step);
        let key = (draw % 50, 0);
        match draw >> 32 & 15 {
            0 => table.purge(PurgeTarget::Object(key.0)),
            1 => table.purge(PurgeTarget::Group(draw % 3)),
            2 => table.forget_server(draw % 8),
            3 => table
                .insert(key, Item { hits: vec![(draw % 8, at(step))], last: at(step), ..Item::default() }),
            4 => table.remove(key),
            _ => {
                table.count(at(step), key, draw % 3, MEMORY);
                table.record_hit(key, draw >> 8 & 7, at(step), Duration::from_micros(20));
            }
        }
        let records = table.items.iter().flat_map(|(key, item)| item.hits.iter().map(|(s, _)| (*s, *key)));
        let mut records: Vec<_> = records.collect();
        records.sort_unstable();
        assert!(table.by_server.iter().copied().eq(records), "after {step}");
    }
}
