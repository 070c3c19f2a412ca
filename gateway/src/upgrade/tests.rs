use super::ejections_file::{from_file_clock, to_file_clock};
use crate::clock;
use larchway::MonotonicTime;
use larchway_operations::manual_ejection::EjectionRecord;
use std::time::Duration;

/// The clock is read twice within moments; a difference of this size means that the test was suspended, not that the
/// clock is wrong.
const MINUTE: Duration = Duration::from_secs(60);

fn record(recorded_at: MonotonicTime) -> EjectionRecord {
    EjectionRecord { store: "s-a1".into(), ejected: false, recorded_at }
}

#[test]
fn a_record_survives_a_save_and_load_to_the_microsecond() {
    let original = record(clock::now() - MINUTE);
    assert_eq!(from_file_clock(to_file_clock(original.clone())), original);
}

/// Guards against a Unix clock that is set back between save and load: a restored store would be in slow start for
/// that time.
#[test]
fn a_record_from_the_future_counts_as_of_now() {
    let before = clock::now();
    let read = from_file_clock(to_file_clock(record(before + 60 * MINUTE)));
    let recorded_at = read.recorded_at;
    assert!((before..before + MINUTE).contains(&recorded_at), "{recorded_at:?}");
}
