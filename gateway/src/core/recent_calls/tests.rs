use super::*;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(0);

fn at(seconds: u64) -> MonotonicTime {
    START + Duration::from_secs(seconds)
}

#[test]
fn an_id_is_remembered_until_its_time_and_the_one_that_expires_first_makes_room() {
    let mut calls = RecentCalls::default();
    calls.insert(at(0), "first", at(6));
    assert!(calls.contains(at(5), "first") && !calls.contains(at(6), "first"));
    for n in 0..MAX_REMEMBERED_CALLS {
        calls.insert(at(0), &format!("{n}"), at(7));
    }
    assert!(!calls.contains(at(0), "first") && calls.contains(at(0), "0"));
    assert_eq!(
        (calls.expiry_by_id.len(), calls.ids_by_expiry.len()),
        (MAX_REMEMBERED_CALLS, MAX_REMEMBERED_CALLS)
    );
    calls.insert(at(8), "later", at(9));
    assert_eq!((calls.expiry_by_id.len(), calls.ids_by_expiry.len()), (1, 1));
}
