use super::*;

#[test]
fn beyond_the_bound_a_forgotten_purge_still_voids_what_is_older() {
    let mut purges = Purges::default();
    for n in 0..=MOST as u64 {
        purges.told(n, Some(n), 0, 1000 + n, 1_000_000);
    }
    assert!(purges.void(0, 7, 1000), "its own purge was the first to go");
    assert!(purges.void(99_999, 7, 1000), "and so is all of its age");
    assert!(!purges.void(99_999, 7, 1001), "but nothing younger");
    assert_eq!(purges.told.len(), MOST);
}

#[test]
fn a_purge_told_late_or_twice_never_moves_back() {
    let mut purges = Purges::default();
    purges.told(10, None, 3, 500, 100);
    purges.told(20, None, 3, 400, 100);
    assert!(purges.void(1, 3, 500) && !purges.void(1, 3, 501) && !purges.void(1, 4, 500));
    purges.told(200, None, 9, 1, 1);
    assert!(!purges.void(1, 3, 500), "by then no store has one that old");
}
