//! Reported Unix times, as seen by gateways whose own Unix clock is correct, fast or slow.
use super::store_starts::MAX_STARTS;
use super::*;
use larchway::{duration_micros, Host};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
const NOW: MonotonicTime = MonotonicTime::from_micros(500_000 * duration_micros(HOUR));

/// The time that a correct Unix clock showed at `age` before `now`.
fn unix_before(now: MonotonicTime, age: Duration) -> UnixMicros {
    UnixMicros::from_micros((now - age).as_micros())
}

/// The times of a gateway whose own Unix clock is fast by this much.
fn fast_clock(by: Duration) -> WireTimes {
    let unix = UnixMicros::from_micros((NOW + by).as_micros());
    WireTimes { anchor: Anchor { monotonic: NOW, unix }, ..WireTimes::default() }
}

/// The times of a gateway whose own Unix clock is slow by this much.
fn slow_clock(by: Duration) -> WireTimes {
    let unix = UnixMicros::from_micros((NOW - by).as_micros());
    WireTimes { anchor: Anchor { monotonic: NOW, unix }, ..WireTimes::default() }
}

fn listed(server: ServerId, started: UnixMicros) -> ListedEndpoint {
    let host = Host { server, state: State::Up, ..Host::default() };
    ListedEndpoint { endpoint: Endpoint { host, name: format!("s-{server}"), dial: None }, started }
}

/// Applies a live endpoint list with one store, and returns the start that the gateway assumes for the store.
fn endpoint_start(
    times: &mut WireTimes,
    now: MonotonicTime,
    scope: ListScope,
    endpoint: ListedEndpoint,
) -> MonotonicTime {
    let body = EventBody::EndpointList { scope, endpoints: vec![endpoint] };
    let Some(Change::EndpointList { endpoints, .. }) = times.change(now, body, Arrival::Live) else {
        panic!("no list")
    };
    endpoints[0].host.started
}

/// Applies a live purge, and returns the age that the gateway assumes for it.
fn purge_age(times: &mut WireTimes, now: MonotonicTime, issued: UnixMicros) -> Duration {
    let body = EventBody::Purge { object: Some(7), group: 0, issued };
    let Some(Change::Purge { age, .. }) = times.change(now, body, Arrival::Live) else { panic!("no purge") };
    age
}

#[test]
fn with_a_correct_clock_each_age_is_exact() {
    let mut times = fast_clock(Duration::ZERO);
    endpoint_start(
        &mut times,
        NOW,
        ListScope::Complete,
        listed(1, unix_before(NOW, Duration::from_millis(500))),
    );
    assert_eq!(purge_age(&mut times, NOW, unix_before(NOW, 4 * SECOND)), 4 * SECOND);
    assert_eq!(
        endpoint_start(&mut times, NOW, ListScope::Changes, listed(2, unix_before(NOW, 3 * SECOND))),
        NOW - 3 * SECOND
    );
    let copy = times.copy(NOW, unix_before(NOW, HOUR)).expect("a reported time");
    assert_eq!(copy, CopyTimes { issued: NOW - HOUR, issued_local: NOW - HOUR });
}

#[test]
fn the_age_of_a_purge_is_never_overestimated() {
    let mut times = fast_clock(HOUR);
    assert_eq!(
        purge_age(&mut times, NOW, unix_before(NOW, Duration::from_millis(50))),
        Duration::ZERO,
        "no later time than that of the purge was reported"
    );
    let later = NOW + 10 * SECOND;
    assert_eq!(
        purge_age(&mut times, later, unix_before(later, Duration::from_millis(80))),
        Duration::from_millis(30),
        "the first purge was at least 50 ms old"
    );
    assert_eq!(
        purge_age(&mut slow_clock(HOUR), NOW, unix_before(NOW, Duration::from_millis(50))),
        Duration::ZERO
    );
}

/// Guards against a clock that is wrong by an hour: the slow start of a store must begin between the store's actual
/// start and the report of it, and must not begin again when the same start is reported again.
#[test]
fn a_store_reported_as_started_warms_up_from_the_report_at_the_latest() {
    for mut times in [fast_clock(HOUR), slow_clock(HOUR)] {
        endpoint_start(&mut times, NOW, ListScope::Complete, listed(1, unix_before(NOW, 20 * HOUR)));
        let reported_at = NOW + 100 * SECOND;
        let start = unix_before(reported_at, 2 * SECOND);
        let started = endpoint_start(&mut times, reported_at, ListScope::Changes, listed(1, start));
        assert!((reported_at - 2 * SECOND..=reported_at).contains(&started), "{started:?}");
        // The same start reported again, by the same source or by another one that rounds it differently.
        for again in [start, UnixMicros::from_micros(start.as_micros() + 999)] {
            let repeated =
                endpoint_start(&mut times, reported_at + 30 * SECOND, ListScope::Changes, listed(1, again));
            let apart = repeated.max(started) - repeated.min(started);
            assert!(apart < SECOND, "{repeated:?} after {started:?}");
        }
    }
}

/// Guards against a slow start long after the store's start: the configuration contains the complete list and then old
/// changes of it, whose starts must not be taken for recent ones.
#[test]
fn a_start_known_from_the_configuration_does_not_count_as_live() {
    let mut times = fast_clock(Duration::ZERO);
    endpoint_start(&mut times, NOW, ListScope::Complete, listed(1, unix_before(NOW, 20 * HOUR)));
    let body = EventBody::EndpointList {
        scope: ListScope::Changes,
        endpoints: vec![listed(1, unix_before(NOW, 600 * SECOND))],
    };
    let Some(Change::EndpointList { endpoints, .. }) = times.change(NOW, body, Arrival::Initial) else {
        panic!("no list")
    };
    assert_eq!(endpoints[0].host.started, NOW - 600 * SECOND);
}

#[test]
fn no_start_lies_in_the_future_and_an_unreported_one_stays_unset() {
    let mut times = slow_clock(HOUR);
    assert_eq!(
        endpoint_start(&mut times, NOW, ListScope::Complete, listed(1, unix_before(NOW, SECOND))),
        NOW
    );
    assert_eq!(
        endpoint_start(&mut times, NOW, ListScope::Changes, listed(2, UnixMicros::default())),
        Host::STARTED_LONG_AGO
    );
}

#[test]
fn events_known_together_are_dated_by_the_latest_of_them() {
    let mut times = fast_clock(HOUR);
    let purge = |age| EventBody::Purge { object: Some(7), group: 0, issued: unix_before(NOW, age) };
    let events = [5 * SECOND, 2 * SECOND].map(|age| BulletinEvent { number: 1, body: purge(age) });
    times.prepare(NOW, &events);
    let ages = events.map(|event| match times.change(NOW, event.body, Arrival::Initial) {
        Some(Change::Purge { age, .. }) => age,
        other => panic!("{other:?}"),
    });
    assert_eq!(ages, [3 * SECOND, Duration::ZERO]);
}

#[test]
fn the_age_of_a_copy_is_never_underestimated() {
    let issued = unix_before(NOW, Duration::from_millis(10));
    let copy_by_fast_clock = fast_clock(HOUR).copy(NOW, issued).expect("it has a time");
    assert_eq!(
        copy_by_fast_clock.issued_local,
        NOW - HOUR - Duration::from_millis(10),
        "by a fast clock the copy seems older"
    );
    let mut times = slow_clock(HOUR);
    assert_eq!(times.copy(NOW, issued), None, "its time seems to be in the future");
    purge_age(&mut times, NOW, unix_before(NOW, Duration::ZERO));
    let copy = times.copy(NOW, unix_before(NOW, 10 * SECOND)).expect("a time that is not in the future");
    assert_eq!(copy.issued_local, NOW - 10 * SECOND);
    assert_eq!(
        copy.issued,
        NOW + HOUR - 10 * SECOND,
        "the time that is compared with purges is not corrected"
    );
    assert_eq!(times.copy(NOW, UnixMicros::default()), None);
}

#[test]
fn remembered_starts_are_bounded_and_removed_stores_are_forgotten() {
    let mut times = fast_clock(Duration::ZERO);
    for server in 0..MAX_STARTS as u64 + 10 {
        endpoint_start(
            &mut times,
            NOW,
            ListScope::Changes,
            listed(server, unix_before(NOW, HOUR - Duration::from_micros(server))),
        );
    }
    assert_eq!(times.starts.len(), MAX_STARTS);
    endpoint_start(&mut times, NOW, ListScope::Complete, listed(3, unix_before(NOW, SECOND)));
    assert_eq!(times.starts.len(), 1);
}
