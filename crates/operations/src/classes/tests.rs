use super::*;

fn all(names: &[(&str, u32)]) -> Vec<(String, u32)> {
    names.iter().map(|(n, s)| (n.to_string(), *s)).collect()
}

#[test]
fn a_request_under_way_keeps_its_class_and_evidence_follows_the_name() {
    let mut book = Book::default();
    assert_eq!(book.replace(all(&[("a", 1), ("b", 2), ("c", 3)])), [0, 1, 2].map(Heir::New));
    book.hold(1);
    // b changes while one request holds it, a goes, c moves, d is new.
    let heirs = book.replace(all(&[("c", 3), ("b", 9), ("d", 4)]));
    assert_eq!(heirs, [Heir::Of { from: 1, to: 3 }, Heir::New(4)]);
    assert_eq!(
        (book.find("a"), book.find("b"), book.find("c"), book.find("d")),
        (None, Some(3), Some(2), Some(4))
    );
    assert_eq!(book.get(1), Some(("b", &2)), "the one under way");
    book.release(1);
    // Its slot and that of a are free now.
    assert_eq!(book.replace(all(&[("c", 3), ("b", 9), ("d", 4), ("e", 5), ("f", 6)])), [0, 1].map(Heir::New));
    // One that changes while nothing holds it stays where its evidence is.
    assert_eq!(book.replace(all(&[("c", 7), ("b", 9), ("d", 4), ("e", 5), ("f", 6)])), []);
    assert_eq!(book.find("c"), Some(2));
}

#[test]
fn renamed_for_weeks_it_grows_no_longer_than_what_is_in_use() {
    let mut book = Book::default();
    for n in 0..1000 {
        book.replace(all(&[("a", n), ("b", 1)]));
        book.replace(vec![(format!("x{n}"), n), ("b".to_string(), 1)]);
    }
    assert!(book.all().count() <= 3, "{}", book.all().count());
}
