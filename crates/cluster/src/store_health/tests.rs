use super::*;

/// A point in time, in µs after the earliest one.
fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

#[test]
fn a_report_is_new_once_within_its_lifetime_and_forwarded_up_to_the_hop_limit() {
    let mut gossip = HealthGossip::default();
    gossip.observe(at(0), 3, 77, StoreHealth::Failing);
    gossip.observe(at(10), 3, 77, StoreHealth::Failing);
    let sent = gossip.take_pending();
    assert_eq!(sent, [HealthReport { store: 77, health: StoreHealth::Failing, hops: 0, origin: 3 }]);
    assert_eq!(decode(&encode(&sent)), Some(sent.clone()));
    let mut receiver = HealthGossip::default();
    assert_eq!(receiver.receive(at(0), sent.clone()), sent);
    assert!(receiver.receive(at(0) + REPORT_LIFETIME - Duration::from_micros(1), sent.clone()).is_empty());
    assert_eq!(receiver.take_pending()[0].hops, 1);
    let at_last_hop = HealthReport { hops: MAX_HOPS, ..sent[0] };
    assert_eq!(receiver.receive(at(0) + REPORT_LIFETIME, vec![at_last_hop]), [at_last_hop]);
    assert!(receiver.take_pending().is_empty());
    assert_eq!((receiver.originated, receiver.received), (0, 2));
}

#[test]
fn reports_are_bounded_and_malformed_ones_are_rejected() {
    let mut gossip = HealthGossip::default();
    let report = |store| HealthReport { store, health: StoreHealth::Recovered, hops: 0, origin: 1 };
    gossip.receive(at(5), (0..5000).map(report).collect());
    assert!(
        gossip.first_received.len() <= MAX_REPORTS && gossip.take_pending().len() == MAX_REPORTS_PER_DATAGRAM
    );
    assert!(decode(&[0; REPORT_BYTES - 1]).is_none());
    assert!(decode(&[9; REPORT_BYTES]).is_none() && decode(&[]) == Some(vec![]));
}
