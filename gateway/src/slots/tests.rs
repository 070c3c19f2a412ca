use super::*;

#[test]
fn a_late_key_does_not_find_the_next_entry_of_its_slot() {
    let mut slots = Slots::default();
    let old = slots.insert('a');
    assert_eq!(slots.remove(old), Some('a'));
    let new = slots.insert('b');
    assert_eq!(slots.remove(old), None);
    assert_eq!((slots.get(old), slots.get(new)), (None, Some(&'b')));
    assert_eq!(slots.iter().map(|(k, _)| k).collect::<Vec<_>>(), vec![new]);
    assert_eq!(slots.len(), 1);
}
