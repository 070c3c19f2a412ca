use super::*;

fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn transfer(bytes: usize, not_modified: bool, max_wait: u64, time_left: u64) -> Transfer {
    let [max_wait, time_left] = [max_wait, time_left].map(Duration::from_micros);
    Transfer { bytes, not_modified, max_wait, time_left }
}

#[test]
fn transfers_queue_until_one_would_wait_too_long() {
    // The link carries 10 bytes/ms and a single transfer 1 byte/ms: 100 bytes take 100 ms, and 10 ms of the link.
    let mut link = LinkBudget::new(LinkRates { per_transfer: 1_000.0, total: 10_000.0 });
    let admits = |link: &mut LinkBudget, now, not_modified| {
        link.admit(at(now), transfer(100, not_modified, 20_000, 1_000_000))
    };
    // The link delays transfers only from the eleventh on.
    let admitted = (0..40).take_while(|_| admits(&mut link, 0, false)).count();
    assert_eq!(admitted, 12);
    assert!(
        !admits(&mut link, 60_000, true),
        "a reply without content is short, but the queue before it is not"
    );
    assert!(admits(&mut link, 60_000, false), "the queue ends while the long transfer is in progress");
    assert!(admits(&mut link, 111_000, true));
}

#[test]
fn a_transfer_that_would_end_after_its_deadline_is_rejected() {
    let mut link = LinkBudget::new(LinkRates { per_transfer: 1_000.0, total: 10_000.0 });
    assert!(
        !link.admit(at(0), transfer(100, false, 20_000, 99_000))
            && link.admit(at(0), transfer(100, false, 20_000, 100_000))
    );
    let mut unlimited = LinkBudget::new(LinkRates::default());
    assert!((0..1000).all(|_| unlimited.admit(at(0), transfer(100_000, false, 0, 1))));
}
