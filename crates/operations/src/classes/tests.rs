use super::*;

fn classes(names: &[(&str, u32)]) -> Vec<NamedClass<u32>> {
    names.iter().map(|(name, settings)| NamedClass { name: name.to_string(), settings: *settings }).collect()
}

#[test]
fn requests_in_flight_keep_their_class_and_evidence_follows_the_class_name() {
    let mut table = ClassTable::default();
    assert_eq!(table.replace(classes(&[("a", 1), ("b", 2), ("c", 3)])), [0, 1, 2].map(SlotChange::New));
    table.acquire(1);
    // Class b changes while a request uses it, a is removed, c changes position in the list, d is new.
    let changes = table.replace(classes(&[("c", 3), ("b", 9), ("d", 4)]));
    assert_eq!(changes, [SlotChange::Changed { previous: 1, current: 3 }, SlotChange::New(4)]);
    assert_eq!(
        (table.find("a"), table.find("b"), table.find("c"), table.find("d")),
        (None, Some(3), Some(2), Some(4))
    );
    assert_eq!(
        table.get(1).map(|slot| (slot.name.as_str(), slot.settings)),
        Some(("b", 2)),
        "the class of the request in flight"
    );
    table.release(1);
    // The slot of the request and the former slot of a are free now.
    assert_eq!(
        table.replace(classes(&[("c", 3), ("b", 9), ("d", 4), ("e", 5), ("f", 6)])),
        [0, 1].map(SlotChange::New)
    );
    // A class that changes while no request uses it keeps its slot and so its evidence.
    assert_eq!(table.replace(classes(&[("c", 7), ("b", 9), ("d", 4), ("e", 5), ("f", 6)])), []);
    assert_eq!(table.find("c"), Some(2));
}

#[test]
fn repeated_renames_do_not_grow_the_table() {
    let mut table = ClassTable::default();
    for n in 0..1000 {
        table.replace(classes(&[("a", n), ("b", 1)]));
        table.replace(classes(&[(&format!("x{n}"), n), ("b", 1)]));
    }
    assert!(table.slots().len() <= 3, "{}", table.slots().len());
}
