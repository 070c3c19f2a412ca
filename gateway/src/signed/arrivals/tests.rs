use super::*;
use larchway::duration_micros;

#[test]
fn a_message_is_timed_by_its_last_byte_however_the_bytes_are_split() {
    const LENGTHS: [usize; 4] = [3, 10, 1, 7];
    let all: usize = LENGTHS.iter().sum();
    for piece_length in 1..=all {
        let mut arrivals = Arrivals::default();
        let mut times = Vec::new();
        while times.len() < all {
            let bytes = piece_length.min(all - times.len());
            let arrived = MonotonicTime::MIN + COALESCE_INTERVAL * times.len() as u32;
            arrivals.record(arrived, bytes);
            times.extend(std::iter::repeat_n(arrived, bytes));
        }
        let mut end = 0;
        for length in LENGTHS {
            end += length;
            assert_eq!(arrivals.consume(length), Some(times[end - 1]), "in pieces of {piece_length}");
        }
        assert!(arrivals.arrivals.len() <= 1);
    }
}

#[test]
fn bytes_read_within_the_interval_share_the_time_of_the_first() {
    let mut arrivals = Arrivals::default();
    let start = MonotonicTime::MIN;
    (0..duration_micros(COALESCE_INTERVAL))
        .for_each(|arrived| arrivals.record(MonotonicTime::from_micros(arrived), 1));
    assert_eq!(
        (arrivals.arrivals.len(), arrivals.consume(1), arrivals.consume(5)),
        (1, Some(start), Some(start))
    );
    arrivals.record(start + COALESCE_INTERVAL, 1);
    assert_eq!(arrivals.arrivals.len(), 2);
}
