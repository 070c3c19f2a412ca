use super::*;

#[test]
fn a_stale_key_does_not_find_a_later_entry_in_its_slot() {
    let mut slots = Slots::default();
    let old_key = slots.insert('a');
    assert_eq!(slots.remove(old_key), Some('a'));
    let new_key = slots.insert('b');
    assert_eq!(slots.remove(old_key), None);
    assert_eq!((slots.get(old_key), slots.get(new_key)), (None, Some(&'b')));
    assert_eq!(slots.iter().map(|(key, _)| key).collect::<Vec<_>>(), vec![new_key]);
    assert_eq!(slots.len(), 1);
}
