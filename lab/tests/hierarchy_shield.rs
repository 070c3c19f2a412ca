//! An origin that answers five times slower while a hierarchy moves stops behind its shield in some runs and not in others;
//! as `larchway-lab trial hierarchy` plays it, in five variants at once.
use larchway_lab::trial::hierarchy;

const SEED: u64 = 1;

#[test]
fn an_origin_that_is_five_times_slower_does_not_stop_behind_its_shield() {
    std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
    let outcome = hierarchy::play(SEED, Some("origin 5 times slower")).expect("plays");
    assert!(outcome.figures.as_object().is_some_and(|cases| !cases.is_empty()), "no such case");
    assert!(outcome.broken.is_empty(), "{:?}\n{}", outcome.broken, outcome.table);
}
