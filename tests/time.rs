//! Tests of the arithmetic of monotonic time.
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

const MOMENT: MonotonicTime = MonotonicTime::from_micros(5_000_000);
const SPAN: Duration = Duration::from_millis(1_500);

#[test]
fn moments_and_spans_add_up() {
    assert_eq!((MOMENT + SPAN).as_micros(), 6_500_000);
    assert_eq!((MOMENT - SPAN).as_micros(), 3_500_000);
    assert_eq!(MOMENT + SPAN - MOMENT, SPAN);
    assert_eq!((MOMENT + SPAN).saturating_since(MOMENT), SPAN);
    let mut later = MOMENT;
    later += SPAN;
    assert!(later > MOMENT);
}

#[test]
fn saturating_arithmetic_stops_at_the_ends() {
    assert_eq!(MOMENT.saturating_since(MOMENT + SPAN), Duration::ZERO);
    assert_eq!(MOMENT.saturating_add(Duration::MAX), MonotonicTime::MAX);
    assert_eq!(MOMENT.saturating_sub(Duration::MAX), MonotonicTime::MIN);
    assert_eq!(MonotonicTime::MAX.saturating_add(SPAN), MonotonicTime::MAX);
}

#[test]
#[should_panic(expected = "overflow")]
fn a_moment_before_the_first_one_panics() {
    let _ = MOMENT - Duration::from_secs(6);
}

#[test]
fn spans_have_whole_microseconds_and_no_more_than_fit() {
    assert_eq!(duration_micros(Duration::from_nanos(1_999)), 1);
    assert_eq!(duration_micros(SPAN), 1_500_000);
    assert_eq!(duration_micros(Duration::MAX), u64::MAX);
}
