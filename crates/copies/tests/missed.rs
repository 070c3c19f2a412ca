//! Purges that were missed: nothing given out before answers, nor is it kept afterwards.
use larchway_copies::{Copies, CopiesFile, Copy, Id, Want};

const SECOND: u64 = 1_000_000;
const WANT: Want<'static> = Want { fresh: 0, aim: SECOND, ttl: SECOND, mine: None };

fn id(object: u64) -> Id {
    Id { object, part: 0, class: 0 }
}

fn copy(issued: u64) -> Copy {
    Copy { tag: None, issued, bytes: vec![1; 10].into() }
}

fn copies() -> Copies {
    let mut copies = Copies::new(CopiesFile::default(), (0.0, 0.0));
    copies.fit(1_000_000, 0);
    copies.told_by_bulletin(false);
    copies
}

#[test]
fn what_was_given_out_before_is_void_whether_it_is_held_or_on_its_way() {
    let mut copies = copies();
    let now = 100 * SECOND;
    copies.keep(now, id(1), 7, copy(now - SECOND));
    assert!(copies.find(now, id(1), WANT).is_some());
    copies.void_before(now, 20 * SECOND);
    assert!(copies.find(now, id(1), WANT).is_none());
    copies.keep(now + SECOND, id(2), 7, copy(now));
    assert!(copies.find(now + SECOND, id(2), WANT).is_none(), "it was on its way");
    copies.keep(now + SECOND, id(2), 7, copy(now + 1));
    assert!(copies.find(now + SECOND, id(2), WANT).is_some());
    copies.keep(now + 20 * SECOND, id(3), 7, copy(now - SECOND));
    assert!(copies.find(now + 20 * SECOND, id(3), WANT).is_some(), "no store has one that is void by then");
}

#[test]
fn copies_answer_for_as_long_after_the_source_was_heard_as_is_set() {
    let mut copies = copies();
    let now = 100 * SECOND;
    copies.told_by_bulletin(true);
    copies.heard(now);
    copies.keep(now, id(1), 7, copy(now));
    let answers = |copies: &mut Copies, at| copies.find(at, id(1), WANT).is_some();
    assert!(!answers(&mut copies, now + 2 * SECOND));
    copies.doubt_after(Some(3 * SECOND));
    assert!(answers(&mut copies, now + 3 * SECOND));
    assert!(!answers(&mut copies, now + 3 * SECOND + 1));
}

/// A group's purge finds all copies of the group, and only those, also after some were dropped or kept anew.
#[test]
fn a_group_is_purged_as_it_stands() {
    let mut copies = copies();
    let now = 100 * SECOND;
    for object in 1..=6 {
        copies.keep(now, id(object), object % 2, copy(now - 2 * SECOND));
    }
    copies.purge(now, Some(2), 0, now, SECOND);
    // The same object is of another group now.
    copies.keep(now, id(3), 0, copy(now - SECOND));
    copies.purge(now, None, 0, now - SECOND, SECOND);
    let held: Vec<u64> = (1..=6).filter(|object| copies.find(now, id(*object), WANT).is_some()).collect();
    assert_eq!(held, [1, 5]);
}
