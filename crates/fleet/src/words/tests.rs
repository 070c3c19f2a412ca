use super::*;

#[test]
fn a_word_is_new_once_and_goes_so_many_hops() {
    let mut words = Words::default();
    words.own(0, 3, 77, Found::Failing);
    words.own(10, 3, 77, Found::Failing);
    let told = words.take();
    assert_eq!(told, [Word { store: 77, found: Found::Failing, hops: 0, origin: 3 }]);
    assert_eq!(read(&write(&told)), Some(told.clone()));
    let mut others = Words::default();
    assert_eq!(others.hear(0, told.clone()), told);
    assert!(others.hear(LIVES - 1, told.clone()).is_empty());
    assert_eq!(others.take()[0].hops, 1);
    let far = Word { hops: HOPS, ..told[0] };
    assert_eq!(others.hear(LIVES, vec![far]), [far]);
    assert!(others.take().is_empty());
    assert_eq!((others.told, others.heard), (0, 2));
}

#[test]
fn words_are_bounded_and_spoilt_ones_are_none() {
    let mut words = Words::default();
    let many: Vec<Word> =
        (0..5000).map(|store| Word { store, found: Found::Back, hops: 0, origin: 1 }).collect();
    words.hear(5, many);
    assert!(words.known.len() <= MOST && words.take().len() == ENTRIES);
    assert!(read(&[0; WORD - 1]).is_none() && read(&[9; WORD]).is_none() && read(&[]) == Some(vec![]));
}
