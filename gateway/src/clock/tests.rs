use super::*;

#[test]
fn the_clock_goes_on_when_the_unix_clock_is_put_back_and_follows_when_it_is_put_on() {
    let ahead = AtomicU64::new(0);
    let hour = 3_600_000_000;
    assert_eq!(read(5 * hour, 10, &ahead), 5 * hour);
    assert_eq!(read(4 * hour, 20, &ahead), 5 * hour + 10);
    assert_eq!(read(4 * hour + 1_000, 1_020, &ahead), 5 * hour + 1_010);
    // Put on by two hours, and back again: from there on it runs as before.
    assert_eq!(read(7 * hour, 2_000, &ahead), 7 * hour);
    assert_eq!(read(5 * hour, 2_010, &ahead), 7 * hour + 10);
}
