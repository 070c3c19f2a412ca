//! Random histories against a naive list of all that was ever kept, told and asked. Numbers are those of the
//! invariants in `docs/design/copies.md`.
use larchway_copies::{Copies, CopiesFile, Copy, Id, Want};
use proptest::prelude::*;

const MS: u64 = 1000;
/// As the daemon tells it: longer than any store may still hold what was purged.
const KEEP: u64 = 18_000 * MS;

#[derive(Debug, Clone)]
enum Step {
    Keep { object: u64, part: u64, age: u64, size: usize },
    Find { object: u64, part: u64, fresh: u64 },
    Purge { object: Option<u64>, group: u64, age: u64 },
    Heard,
    Lost,
    Fit(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..12u64, 0..3u64, 0..9000u64, 1..400usize)
            .prop_map(|(object, part, age, size)| Step::Keep { object, part, age, size }),
        8 => (0..12u64, 0..3u64, prop_oneof![Just(0u64), Just(3000u64)])
            .prop_map(|(object, part, fresh)| Step::Find { object, part, fresh }),
        2 => (proptest::option::of(0..12u64), 0..3u64, 0..2000u64)
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        4 => Just(Step::Heard),
        1 => Just(Step::Lost),
        1 => (0..40_000usize).prop_map(Step::Fit),
        3 => (0..900u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

fn group(object: u64) -> u64 {
    object % 3
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_copy_answers_that_a_naive_look_would_not_let_pass(steps in steps()) {
        let terms = CopiesFile { largest_percent: 50, ..CopiesFile::default() };
        let mut copies = Copies::new(terms, (0.0, 0.0));
        copies.fit(100_000, 0);
        let (mut now, mut serial, mut room, mut word) = (1_000_000 * MS, 0u64, 25_000usize, None);
        // All that was ever kept: whose, given out when, its first bytes; and all purges.
        let mut kept: Vec<(Id, u64, u64)> = Vec::new();
        let mut purges: Vec<(Option<u64>, u64, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Keep { object, part, age, size } => {
                    serial += 1;
                    let id = Id { object, part, class: 0 };
                    let mut bytes = serial.to_le_bytes().to_vec();
                    bytes.resize(8 + size, 0);
                    let issued = now - age * MS;
                    copies.keep(now, id, group(object), Copy { tag: None, issued, bytes: bytes.into() });
                    kept.push((id, issued, serial));
                }
                Step::Find { object, part, fresh } => {
                    let id = Id { object, part, class: 0 };
                    let want = Want { fresh: fresh * MS, aim: 100 * MS, ttl: 1000 * MS, mine: None };
                    let Some(found) = copies.find(now, id, want) else { continue };
                    let told = u64::from_le_bytes(found.copy.bytes[..8].try_into().expect("eight bytes"));
                    let of = kept.iter().find(|k| k.2 == told).expect("it was kept");
                    prop_assert_eq!(of.0, id, "invariant 1: another object's bytes");
                    prop_assert_eq!(of.1, found.copy.issued);
                    let void = purges.iter().any(|(o, g, at)| {
                        o.map_or(*g == group(object), |o| o == object) && found.copy.issued <= *at
                    });
                    prop_assert!(!void, "invariant 2: from before a purge");
                    prop_assert!(fresh == 0 || now <= found.copy.issued + fresh * MS, "invariant 3: aged");
                    prop_assert!(word.is_some_and(|at| now <= at + 1_500 * MS), "invariant 4: unheard");
                }
                Step::Purge { object, group, age } => {
                    let issued = now - age * MS;
                    copies.purge(now, object, group, issued, KEEP);
                    purges.push((object, group, issued));
                }
                Step::Heard => {
                    copies.heard(now);
                    word = Some(now);
                }
                Step::Lost => {
                    copies.lost();
                    word = None;
                }
                Step::Fit(held) => {
                    copies.fit(100_000, held);
                    room = 25_000usize.saturating_sub(held);
                }
                Step::Wait(ms) => now += ms * MS,
            }
            prop_assert!(copies.bytes() <= room, "invariant 5: {} of {room} bytes", copies.bytes());
        }
    }
}

fn kept(copies: &mut Copies, now: u64, object: u64, size: usize) {
    let copy = Copy { tag: Some(format!("t{object}")), issued: now, bytes: vec![0; size].into() };
    copies.keep(now, Id { object, part: 0, class: 0 }, 0, copy);
}

fn found(copies: &mut Copies, now: u64, object: u64, mine: Option<&str>) -> Option<bool> {
    let want = Want { fresh: 0, aim: 100 * MS, ttl: 1000 * MS, mine };
    copies.find(now, Id { object, part: 0, class: 0 }, want).map(|f| f.same)
}

#[test]
fn a_scan_of_objects_wanted_once_leaves_those_asked_for_again() {
    let mut copies = Copies::new(CopiesFile::default(), (0.0, 0.0));
    copies.fit(4_000_000, 0);
    copies.told_by_bulletin(false);
    for object in 0..100 {
        kept(&mut copies, 1000 * MS, object, 5_000);
        assert!(found(&mut copies, 1000 * MS, object, None).is_some());
    }
    for object in 1000..3000 {
        kept(&mut copies, 1001 * MS, object, 5_000);
    }
    let left = (0..100).filter(|object| found(&mut copies, 1002 * MS, *object, None).is_some()).count();
    assert_eq!(left, 100);
    assert!(copies.counts.pushed_out > 1500);
}

#[test]
fn a_client_that_holds_the_copy_is_told_so_and_no_other() {
    let mut copies = Copies::new(CopiesFile::default(), (0.0, 0.0));
    copies.fit(4_000_000, 0);
    copies.told_by_bulletin(false);
    kept(&mut copies, MS, 1, 100);
    let held = [None, Some("t1"), Some("t2")].map(|mine| found(&mut copies, 2 * MS, 1, mine));
    assert_eq!(held, [Some(false), Some(true), Some(false)]);
}

#[test]
fn what_no_origin_can_have_given_out_and_what_is_too_large_is_not_kept() {
    let mut copies = Copies::new(CopiesFile::default(), (0.0, 0.0));
    copies.fit(4_000_000, 0);
    let now = 1_000_000 * MS;
    let of = |issued, size| Copy { tag: None, issued, bytes: vec![0; size].into() };
    for copy in [of(0, 9), of(now + 60_000 * MS, 9), of(now, 0), of(now, 200_000)] {
        copies.keep(now, Id { object: 1, part: 0, class: 0 }, 0, copy);
    }
    assert_eq!(copies.report(now).copies, 0);
    copies.keep(now, Id { object: 1, part: 0, class: 0 }, 0, of(now, 9));
    copies.keep(now, Id { object: 1, part: 0, class: 0 }, 0, of(now - 1, 12));
    assert_eq!(copies.bytes(), 256 + 9, "an older one does not take the place of a younger");
    copies.forget_class(0);
    assert_eq!((copies.report(now).copies, copies.bytes()), (0, 0));
}

#[test]
fn numbers_out_of_range_are_named() {
    for (file, key) in [
        (CopiesFile { memory_percent: 0, ..CopiesFile::default() }, "memory_percent: 0"),
        (CopiesFile { memory_percent: 51, ..CopiesFile::default() }, "memory_percent: 51"),
        (CopiesFile { largest_percent: 0, ..CopiesFile::default() }, "largest_percent: 0"),
        (CopiesFile { wait_percent: 101, ..CopiesFile::default() }, "wait_percent: 101"),
    ] {
        assert!(file.check().is_err_and(|e| e.contains(key)), "{key}");
    }
    assert_eq!(CopiesFile::default().check(), Ok(()));
}
