use super::*;

const HOUR: u64 = 3600 * MICROS_PER_SECOND;

fn unix(micros: u64) -> UnixMicros {
    UnixMicros::from_micros(micros)
}

#[test]
fn the_monotonic_clock_advances_from_a_large_start() {
    let (first, anchor) = (now(), wire_anchor());
    assert!(first >= MIN_MONOTONIC && first >= anchor.monotonic);
    assert!(now() >= first);
    assert_eq!(anchor, wire_anchor(), "the anchor of messages does not change with the Unix clock");
}

#[test]
fn file_times_follow_steps_of_the_unix_clock_but_not_its_jitter() {
    let process_start =
        Anchor { monotonic: MonotonicTime::from_micros(9 * HOUR), unix: unix(500_000 * HOUR) };
    let (later, expected) = (MonotonicTime::from_micros(10 * HOUR), 500_001 * HOUR);
    for (unix_reading, expected_unix) in [
        (expected, expected),
        (expected + 70, expected),
        (expected - 70, expected),
        (expected + HOUR + 70, expected + HOUR),
        (expected - HOUR - 70, expected - HOUR),
    ] {
        assert_eq!(
            steady_unix(later, unix(unix_reading), process_start),
            unix(expected_unix),
            "{unix_reading}"
        );
    }
}

#[test]
fn a_process_continues_the_clock_of_the_earlier_one() {
    let own = 500_000 * HOUR;
    for (earlier_process, difference) in
        [(own, 0), (own - 2000, 0), (own + 7, 7), (own + HOUR, HOUR as i64), (own - HOUR, -(HOUR as i64))]
    {
        assert_eq!(
            adjustment(MonotonicTime::from_micros(own), MonotonicTime::from_micros(earlier_process)),
            difference,
            "{earlier_process}"
        );
    }
}

#[test]
fn both_times_of_a_file_anchor_come_from_one_reading() {
    let difference = |anchor: Anchor| anchor.unix.as_micros() - anchor.monotonic.as_micros();
    let first = difference(file_anchor());
    for _ in 0..10_000 {
        assert_eq!(difference(file_anchor()), first);
    }
}
