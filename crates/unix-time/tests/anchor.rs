//! Conversion of times between the monotonic and the Unix clock, and from milliseconds.
use larchway::MonotonicTime;
use larchway_unix_time::{Anchor, UnixMicros};

const HOUR: u64 = 3_600_000_000;

fn anchor(monotonic: u64, unix: u64) -> Anchor {
    Anchor { monotonic: MonotonicTime::from_micros(monotonic), unix: UnixMicros::from_micros(unix) }
}

#[test]
fn conversion_keeps_the_distance_from_the_anchor_on_both_clocks() {
    let anchor = anchor(10 * HOUR, 500_000 * HOUR);
    for (monotonic, unix) in
        [(10 * HOUR, 500_000 * HOUR), (9 * HOUR, 499_999 * HOUR), (12 * HOUR, 500_002 * HOUR)]
    {
        let (monotonic, unix) = (MonotonicTime::from_micros(monotonic), UnixMicros::from_micros(unix));
        assert_eq!((anchor.to_monotonic(unix), anchor.to_unix(monotonic)), (monotonic, unix));
    }
}

#[test]
fn times_that_the_other_clock_cannot_represent_are_clamped() {
    let early_anchor = anchor(HOUR, 500_000 * HOUR);
    let earliest = early_anchor.to_monotonic(UnixMicros::from_micros(1));
    assert_eq!(earliest, MonotonicTime::from_micros(1), "0 would stand for an unknown start");
    assert_eq!(anchor(9 * HOUR, HOUR).to_unix(MonotonicTime::from_micros(HOUR)), UnixMicros::default());
    assert_eq!(anchor(u64::MAX, 0).to_monotonic(UnixMicros::from_micros(5)), MonotonicTime::MAX);
}

#[test]
fn from_millis_keeps_fractions_and_maps_invalid_values_to_unset() {
    let time = UnixMicros::from_millis(1_764_576_000_123.25);
    assert_eq!((time.as_micros(), time.as_millis()), (1_764_576_000_123_250, 1_764_576_000_123));
    assert_eq!(time.as_secs(), 1_764_576_000);
    for invalid_millis in [-5.0, f64::NAN] {
        assert!(UnixMicros::from_millis(invalid_millis).is_unset());
    }
}
