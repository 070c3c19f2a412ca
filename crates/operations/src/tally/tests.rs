use super::*;

#[test]
fn a_name_never_breaks_a_line() {
    let mut tally = Tally::default();
    tally.declare(["a:b|c\n.d e", "plain-1"].into_iter());
    tally.taken();
    let report = tally.report(Gauges { known_stores: 9, skipped_stores: 1 });
    assert!(report.contains("svc.passed.a%3Ab%7Cc%0A%2Ed%20e:0|c\n"), "{report}");
    for line in report.lines() {
        let (name, value) = line.split_once(':').expect("a name and a value");
        let (number, kind) = value.split_once('|').expect("a number and a kind");
        assert!(name.starts_with("svc.") && number.parse::<u64>().is_ok() && ["c", "g"].contains(&kind));
    }
    assert!(report.contains("svc.in_progress:1|g") && report.contains("svc.known_stores:9|g"));
}

#[test]
fn names_beyond_the_bound_are_counted_together() {
    let mut tally = Tally::default();
    for n in 0..2 * MOST {
        tally.taken();
        tally.ended(&format!("c{n}"), End::Passed);
    }
    assert_eq!(tally.classes().count(), MOST + 1);
    assert_eq!(tally.of(OTHER).passed, MOST as u64);
    assert_eq!(tally.in_progress(), 0);
}
