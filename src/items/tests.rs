use super::*;

const MEMORY: Micros = 1_000_000;

fn record_hit(table: &mut ItemTable, key: ItemKey) {
    table.get_mut(&key).expect("is known").hits.push((7, 1));
}

fn hits(table: &ItemTable, key: ItemKey) -> usize {
    table.get(&key).map_or(0, |item| item.hits.len())
}

#[test]
fn a_group_is_purged_as_its_items_stand_now() {
    let mut table = ItemTable::default();
    for (key, group) in [((1, 0), 5), ((2, 0), 5), ((3, 0), 6), ((4, 0), 0)] {
        table.count(1, key, group, MEMORY);
        record_hit(&mut table, key);
    }
    // Another group is told of it from now on.
    table.count(2, (2, 0), 6, MEMORY);
    table.purge(PurgeTarget::Group(5));
    assert_eq!([1, 2, 3, 4].map(|object| hits(&table, (object, 0))), [0, 1, 1, 1]);
    table.purge(PurgeTarget::Group(6));
    assert_eq!([1, 2, 3, 4].map(|object| hits(&table, (object, 0))), [0, 0, 0, 1]);
    table.purge(PurgeTarget::Object(4));
    assert_eq!(hits(&table, (4, 0)), 0);
}

#[test]
fn what_is_evicted_or_taken_over_leaves_nothing_in_the_index() {
    let mut table = ItemTable::default();
    for n in 0..MOST_REQUESTS as u64 + 10 {
        table.count(n, (n, 0), n % 3, MEMORY);
    }
    assert_eq!((table.items.len(), table.by_group.len()), (MOST_REQUESTS, MOST_REQUESTS));
    assert!(table.get(&(9, 0)).is_none() && table.get(&(10, 0)).is_some());
    table.insert((10, 0), Item { group: 9, last: 99_999, ..Item::default() });
    assert_eq!(table.by_group.len(), MOST_REQUESTS);
    assert_eq!(table.latest().next().map(|(key, _)| key), Some((10, 0)));
}
