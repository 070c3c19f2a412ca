//! A fleet that has just started, before an only store that has just started too, refuses most requests. Each gateway
//! counts a request for more than it is until it has seen answers, and shares the budget with all others: with 40 gateways
//! each sends its first request after ten seconds in the mean, and learns nothing before. Budgets hold; the store idles.
//!
//! ```text
//! first 10 s, 10 gateways  calls 45  worst window 9 of 29.6  asked 568  refused 523
//! first 10 s, 40 gateways  calls 32  worst window 4 of 22.1  asked 614  refused 582
//! ```
use larchway_lab::trial::cold::{run, Scenario};

/// Requests that the store can do in its first ten seconds: 10 a second at first, and 50 after a minute.
const BEARS: f64 = 133.0;
const SEED: u64 = 1;

fn check_floor(gateways: usize) {
    std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
    let figures =
        run(&format!("floor{gateways}"), &Scenario::first_ten_seconds(gateways, SEED)).expect("plays");
    assert!(figures.within_budget(), "{figures:?} is over {:.1}", figures.worst.bound());
    assert!(figures.requests as f64 >= BEARS / 2.0, "less than half of {BEARS}: {figures:?}");
}

#[test]
fn an_only_store_that_has_just_started_is_sent_half_of_what_it_bears_by_one_gateway() {
    check_floor(1);
}

#[test]
fn an_only_store_that_has_just_started_is_sent_half_of_what_it_bears_by_ten_gateways() {
    check_floor(10);
}

#[test]
fn an_only_store_that_has_just_started_is_sent_half_of_what_it_bears_by_forty_gateways() {
    check_floor(40);
}
