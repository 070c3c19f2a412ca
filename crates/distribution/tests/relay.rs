//! Single cases of a relay: admission, the data sent to subscribers, and the limits (E2 to E4 of
//! `docs/design/event-distribution.md`).
mod common;
use common::{list, purge, request, store_json, Driver, Reader, MICROSECOND, MILLISECOND, SECOND};
use larchway_distribution::batch::Encoding;
use larchway_distribution::log::LogLimits;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::{
    DisconnectReason, HistoryMismatch, Input, Output, RejectReason, Relay, RelaySettings, SubscribeRequest,
};
use larchway_distribution::scope::Scope;
use larchway_distribution::subscriber::LeaveReason;
use larchway_distribution::EventNumber;
use larchway_unix_time::UnixMicros;
use std::collections::BTreeMap;

fn settings() -> RelaySettings {
    let scope = |site: &str| Scope { sites: vec![site.to_string()], ..Scope::default() };
    RelaySettings {
        batch_interval: 100 * MILLISECOND,
        page_events: 10,
        max_batches: 4,
        scopes: BTreeMap::from([("east".to_string(), scope("east")), ("west".to_string(), scope("west"))]),
        ..RelaySettings::default()
    }
}

/// A ready relay with a full list of six stores as event 1 and purges up to `last`, in batches of one event.
fn ready_relay(settings: RelaySettings, last: EventNumber) -> Driver {
    let mut driver = Driver::new(Relay::new(settings));
    let stores: Vec<_> = (0..6).map(|store| store_json(store, "up")).collect();
    driver.input(Input::Event(list(1, true, &stores)));
    for number in 2..=last {
        driver.advance(100 * MILLISECOND);
        driver.input(Input::Event(purge(number, number)));
    }
    driver.advance(100 * MILLISECOND);
    driver.heartbeat();
    driver.advance(100 * MILLISECOND);
    driver
}

fn rejection(out: &[Output]) -> Option<RejectReason> {
    out.iter().find_map(|output| match output {
        Output::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn disconnect_reason(out: &[Output]) -> Option<DisconnectReason> {
    out.iter().find_map(|output| match output {
        Output::Disconnect { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn accepted(out: &[Output]) -> Vec<u64> {
    let accept = |output: &Output| match output {
        Output::Accept(id) => Some(*id),
        _ => None,
    };
    out.iter().filter_map(accept).collect()
}

fn reader(driver: &mut Driver, id: u64, request: SubscribeRequest) -> Reader {
    let mut reader = Reader::new(id, request.encoding);
    reader.view.cursor = request.cursor.unwrap_or(0);
    assert_eq!(accepted(&driver.subscribe(id, request)), [id]);
    reader
}

#[test]
fn subscribers_are_accepted_or_rejected_by_cursor_digest_and_scope() {
    let digest = purge(9, 9).digest;
    let scope = |name: &str| Some(name.to_string());
    let cases = [
        (request(9), None),
        (request(0), None),
        (SubscribeRequest { cursor: None, ..request(0) }, None),
        (SubscribeRequest { digest: Some(digest), ..request(9) }, None),
        (SubscribeRequest { scope: scope("east"), ..request(9) }, None),
        (request(10), Some(RejectReason::Behind)),
        (SubscribeRequest { digest: Some(digest + 1), ..request(9) }, Some(RejectReason::OtherHistory)),
        (SubscribeRequest { scope: scope("south"), ..request(9) }, Some(RejectReason::UnknownScope)),
    ];
    for (request, expected) in cases {
        let out = ready_relay(settings(), 9).subscribe(1, request.clone());
        assert_eq!(rejection(&out), expected, "{request:?}");
        assert_eq!(accepted(&out).is_empty(), expected.is_some(), "{request:?}");
    }
    assert_eq!(RejectReason::OtherHistory.status(), 412);
    assert_eq!(RejectReason::Behind.status(), 503);
}

#[test]
fn a_relay_admits_subscribers_only_after_a_heartbeat_of_its_own_upstream() {
    let mut driver = Driver::new(Relay::new(settings()));
    driver.input(Input::UpstreamConnected);
    driver.input(Input::Event(purge(1, 1)));
    let mut id = 0;
    for change in [Input::UpstreamConnected, Input::UpstreamDisconnected, Input::UpstreamConnected] {
        driver.input(change);
        id += 1;
        assert!(driver.subscribe(id, request(1)).is_empty());
        assert!(!driver.relay.is_ready());
        assert_eq!(driver.relay.next_chunk(driver.now, id), None);
        assert_eq!(accepted(&driver.heartbeat()), [id]);
        id += 1;
        assert_eq!(accepted(&driver.subscribe(id, request(1))), [id]);
    }
}

#[test]
fn a_subscriber_waits_for_readiness_for_a_bounded_time() {
    for change in [None, Some(Input::UpstreamDisconnected)] {
        let mut driver = match change {
            None => Driver::new(Relay::new(settings())),
            Some(_) => ready_relay(settings(), 9),
        };
        change.map(|change| driver.input(change));
        let timeout = RelaySettings::default().readiness_timeout;
        assert_eq!(timeout, 2 * SECOND, "twice the interval of heartbeats");
        assert!(driver.subscribe(1, request(0)).is_empty());
        assert_eq!(rejection(&driver.advance(timeout - MICROSECOND)), None);
        assert_eq!(driver.relay.waiting(), 1);
        let out = driver.advance(MICROSECOND);
        let retry_after = RelaySettings::default().retry_after;
        let rejects = |output: &Output| match output {
            Output::Reject { id: 1, reason, retry_after: pause } => {
                *reason == RejectReason::NotReady && *pause >= retry_after
            }
            _ => false,
        };
        assert!(out.iter().any(rejects), "{out:?}");
        assert_eq!((driver.relay.waiting(), driver.relay.subscribers()), (0, 0));
        assert!(accepted(&driver.heartbeat()).is_empty());
    }
    // A shorter admission timeout limits the wait for readiness as well.
    let limited = RelaySettings { admission_timeout: SECOND, ..settings() };
    let mut driver = Driver::new(Relay::new(limited));
    driver.subscribe(1, request(0));
    assert_eq!(rejection(&driver.advance(SECOND)), Some(RejectReason::NotReady));
}

#[test]
fn subscribers_waiting_for_readiness_are_bounded_and_admitted_in_order() {
    let mut driver = Driver::new(Relay::new(RelaySettings { max_waiting: 4, ..settings() }));
    driver.input(Input::Event(purge(1, 1)));
    for id in [5, 3, 4, 2] {
        assert!(driver.subscribe(id, request(1)).is_empty());
    }
    assert_eq!(rejection(&driver.subscribe(1, request(1))), Some(RejectReason::NotReady));
    // A waiting subscriber that disconnects frees its place.
    assert!(accepted(&driver.input(Input::SubscriberDisconnected(3))).is_empty());
    assert_eq!(driver.relay.waiting(), 3);
    assert!(driver.subscribe(6, request(1)).is_empty());
    assert_eq!(rejection(&driver.subscribe(7, request(1))), Some(RejectReason::NotReady));
    let unknown = SubscribeRequest { scope: Some("south".to_string()), ..request(1) };
    assert_eq!(rejection(&driver.subscribe(8, unknown)), Some(RejectReason::UnknownScope));
    assert_eq!(accepted(&driver.heartbeat()), [5, 4, 2, 6]);
    assert_eq!(driver.relay.waiting(), 0);
}

#[test]
fn on_readiness_each_subscriber_is_admitted_or_rejected_and_catch_up_is_bounded() {
    let timeout = RelaySettings::default().admission_timeout;
    let mut driver = ready_relay(RelaySettings { max_catching_up: 1, ..settings() }, 60);
    driver.input(Input::UpstreamDisconnected);
    let other = SubscribeRequest { digest: Some(1), ..request(60) };
    for (id, request) in [(1, request(1)), (2, request(2)), (3, request(61)), (4, other), (5, request(60))] {
        assert!(driver.subscribe(id, request).is_empty());
    }
    driver.advance(SECOND);
    let out = driver.heartbeat();
    // A caught-up subscriber does not wait behind those that have to catch up.
    assert_eq!(accepted(&out), [1, 5]);
    let rejected = |id| {
        out.iter().find_map(|output| match output {
            Output::Reject { id: rejected_id, reason, .. } if *rejected_id == id => Some(*reason),
            _ => None,
        })
    };
    assert_eq!((rejected(3), rejected(4)), (Some(RejectReason::Behind), Some(RejectReason::OtherHistory)));
    assert_eq!((driver.relay.catching_up(), driver.relay.waiting()), (1, 1));
    // The wait for readiness counts towards the admission timeout, which is unchanged.
    let rest = timeout - SECOND;
    assert_eq!(rejection(&driver.advance(rest - MICROSECOND)), None);
    assert_eq!(rejection(&driver.advance(MICROSECOND)), Some(RejectReason::Busy));
}

#[test]
fn subscribers_waiting_for_catch_up_at_a_disconnected_relay_wait_no_longer_than_new_ones() {
    let mut driver = ready_relay(RelaySettings { max_catching_up: 1, ..settings() }, 60);
    reader(&mut driver, 1, request(1));
    assert!(driver.subscribe(2, request(1)).is_empty());
    driver.input(Input::UpstreamDisconnected);
    assert!(driver.subscribe(3, request(1)).is_empty());
    // A catch-up place becomes free, but a relay that is not ready admits no subscribers.
    assert!(accepted(&driver.input(Input::SubscriberDisconnected(1))).is_empty());
    let out = driver.advance(RelaySettings::default().readiness_timeout);
    let rejects = |output: &&Output| matches!(output, Output::Reject { reason: RejectReason::NotReady, .. });
    assert_eq!(out.iter().filter(rejects).count(), 2, "{out:?}");
    assert_eq!(driver.relay.subscribers(), 0);
}

#[test]
fn heartbeats_follow_the_events_unchanged_and_reach_only_caught_up_subscribers() {
    let mut driver = ready_relay(settings(), 40);
    let mut live = reader(&mut driver, 1, request(40));
    let mut behind = reader(&mut driver, 2, request(5));
    driver.input(Input::Event(purge(41, 41)));
    driver.input(Input::Heartbeat { source_alive_at: UnixMicros::from_micros(7_654_321) });
    driver.advance(100 * MILLISECOND);
    live.pull_all(&mut driver.relay, driver.now);
    assert_eq!((live.view.cursor, &live.heartbeats[..]), (41, &[7654][..]));
    assert!(behind.pull(&mut driver.relay, driver.now));
    assert!(behind.heartbeats.is_empty());
    behind.pull_all(&mut driver.relay, driver.now);
    assert_eq!(behind.view.cursor, 41);
    assert_eq!(behind.heartbeats.last(), Some(&7654));
    // Without bytes from upstream there is no heartbeat.
    driver.advance(10 * SECOND);
    assert!(!live.pull(&mut driver.relay, driver.now));
}

#[test]
fn all_encodings_and_scopes_lead_to_the_same_numbers() {
    let mut driver = ready_relay(RelaySettings { page_events: 30, ..settings() }, 30);
    for (id, encoding) in [(1, Encoding::Identity), (2, Encoding::Gzip)] {
        for (offset, scope) in [(0, None), (10, Some("east")), (20, Some("west"))] {
            let scope = scope.map(str::to_string);
            let stores = if scope.is_some() { 2 } else { 6 };
            let mut reader =
                reader(&mut driver, id + offset, SubscribeRequest { encoding, scope, ..request(0) });
            reader.pull_all(&mut driver.relay, driver.now);
            assert_eq!(reader.view.cursor, 30);
            assert_eq!(reader.view.applied, 30);
            assert_eq!(reader.view.stores.len(), stores);
        }
    }
}

#[test]
fn a_list_event_is_verified_only_by_the_digest_of_its_scope() {
    let mut driver = ready_relay(settings(), 1);
    let scoped =
        |digest, scope: &str| SubscribeRequest { digest, scope: Some(scope.to_string()), ..request(1) };
    let mut east = reader(&mut driver, 1, SubscribeRequest { cursor: Some(0), ..scoped(None, "east") });
    east.pull_all(&mut driver.relay, driver.now);
    let digest = east.view.verified.map(|(_, digest)| digest);
    assert!(digest.is_some());
    assert_eq!(accepted(&driver.subscribe(2, scoped(digest, "east"))), [2]);
    assert_eq!(rejection(&driver.subscribe(3, scoped(digest, "west"))), Some(RejectReason::OtherHistory));
    let changed = SubscribeRequest { digest, ..request(1) };
    assert_eq!(rejection(&driver.subscribe(4, changed)), Some(RejectReason::OtherHistory));
}

#[test]
fn a_cursor_older_than_the_log_gets_a_snapshot_that_shows_as_a_jump() {
    let limits = LogLimits { events: 10, bytes: 1 << 20 };
    for cursor in [0, 3, 18, 19] {
        let mut driver = ready_relay(RelaySettings { log: limits, ..settings() }, 30);
        assert_eq!(driver.relay.log().first(), 21);
        let mut reader = reader(&mut driver, 1, request(cursor));
        reader.pull_all(&mut driver.relay, driver.now);
        assert_eq!(reader.view.cursor, 30);
        assert_eq!(reader.view.stores.len(), 6);
        assert!(reader.view.floor >= cursor + 2, "{cursor}: {}", reader.view.floor);
    }
    // The smallest possible jump: the log begins directly after the missing event.
    let mut driver = ready_relay(RelaySettings { log: LogLimits { events: 1, ..limits }, ..settings() }, 30);
    let mut late = reader(&mut driver, 1, request(28));
    late.pull_all(&mut driver.relay, driver.now);
    assert_eq!((late.view.cursor, late.view.floor), (30, 30));
}

#[test]
fn a_subscriber_without_events_never_mistakes_a_snapshot_for_the_first_event() {
    let mut driver = Driver::new(Relay::new(settings()));
    driver.input(Input::UpstreamGap(list(1, true, &[store_json(1, "up")])));
    driver.heartbeat();
    driver.advance(SECOND);
    assert_eq!(rejection(&driver.subscribe(1, request(0))), Some(RejectReason::NotReady));
    driver.input(Input::Event(purge(2, 2)));
    driver.advance(SECOND);
    let mut fresh = reader(&mut driver, 2, request(0));
    fresh.pull_all(&mut driver.relay, driver.now);
    assert_eq!((fresh.view.cursor, fresh.view.floor, fresh.view.verified), (2, 2, None));
}

#[test]
fn a_subscriber_without_events_gets_a_snapshot_instead_of_a_long_history() {
    for (last, expected) in [(10, 10), (11, 2), (60, 2)] {
        let mut driver = ready_relay(settings(), last);
        let mut fresh = reader(&mut driver, 1, request(0));
        fresh.pull_all(&mut driver.relay, driver.now);
        assert_eq!((fresh.view.cursor, fresh.view.applied, fresh.view.stores.len()), (last, expected, 6));
    }
}

#[test]
fn no_snapshot_is_sent_while_the_list_is_incomplete() {
    let mut driver = Driver::new(Relay::new(settings()));
    driver.input(Input::UpstreamGap(purge(20, 1)));
    driver.heartbeat();
    driver.advance(SECOND);
    assert_eq!(rejection(&driver.subscribe(1, request(3))), Some(RejectReason::NotReady));
    driver.input(Input::Event(list(21, true, &[store_json(1, "up")])));
    driver.advance(SECOND);
    assert_eq!(accepted(&driver.subscribe(2, request(3))), [2]);
}

#[test]
fn a_gap_upstream_reaches_live_subscribers_as_the_same_jump() {
    let mut driver = ready_relay(settings(), 9);
    let mut live = reader(&mut driver, 1, request(9));
    driver.input(Input::UpstreamGap(list(50, true, &[store_json(7, "up")])));
    driver.input(Input::Event(purge(51, 51)));
    driver.advance(SECOND);
    live.pull_all(&mut driver.relay, driver.now);
    assert_eq!((live.view.cursor, live.view.floor, live.view.stores.len()), (51, 50, 1));
    assert_eq!(driver.relay.log().first(), 51);
}

#[test]
fn a_gap_without_a_visible_jump_disconnects_all_subscribers() {
    let mut driver = ready_relay(settings(), 9);
    reader(&mut driver, 1, request(9));
    let out = driver.input(Input::UpstreamGap(list(10, true, &[store_json(7, "up")])));
    assert_eq!(disconnect_reason(&out), Some(DisconnectReason::HiddenGap));
    driver.advance(SECOND);
    assert_eq!(rejection(&driver.subscribe(2, request(9))), Some(RejectReason::NotReady));
    driver.input(Input::Event(purge(11, 11)));
    driver.advance(SECOND);
    let mut reconnected = reader(&mut driver, 3, request(9));
    reconnected.pull_all(&mut driver.relay, driver.now);
    assert_eq!((reconnected.view.cursor, reconnected.view.floor), (11, 11));
}

#[test]
fn a_different_upstream_history_stops_serving_until_upstream_restarts() {
    let conflicting = Input::Event(purge(5, 500));
    let all_differ = HistoryMismatch::AllSourcesDiffer { after: 9, reason: Some(LeaveReason::OtherHistory) };
    let backwards = Input::UpstreamGap(list(4, true, &[store_json(1, "up")]));
    let cases = [
        (conflicting, HistoryMismatch::EventDiffers { number: 5 }),
        (Input::OtherHistory(all_differ), all_differ),
        (backwards.clone(), HistoryMismatch::NumberDecreased { last: 9, received: 4 }),
    ];
    for (input, mismatch) in cases {
        let mut driver = ready_relay(settings(), 9);
        reader(&mut driver, 1, request(9));
        let out = driver.input(input);
        assert!(out.contains(&Output::StopServing(mismatch)), "{out:?}");
        assert_eq!(disconnect_reason(&out), Some(DisconnectReason::StoppedServing));
        assert_eq!(driver.relay.subscribers(), 0);
        assert_eq!(rejection(&driver.subscribe(2, request(0))), Some(RejectReason::NotReady));
        driver.input(backwards.clone());
        driver.heartbeat();
        driver.advance(SECOND);
        assert_eq!(rejection(&driver.subscribe(3, request(9))), Some(RejectReason::Behind));
        let digest = Some(purge(4, 4).digest);
        let stale = driver.subscribe(4, SubscribeRequest { digest, ..request(4) });
        assert_eq!(rejection(&stale), Some(RejectReason::NotReady));
        assert_eq!(accepted(&driver.subscribe(5, request(0))), [5]);
    }
}

#[test]
fn catch_up_is_admitted_in_order_and_the_rest_wait_or_are_rejected() {
    let limited =
        RelaySettings { max_catching_up: 2, max_waiting: 3, admission_timeout: SECOND, ..settings() };
    let mut driver = ready_relay(limited, 60);
    let mut readers: Vec<_> = (1..=2).map(|id| reader(&mut driver, id, request(1))).collect();
    for id in 3..=5 {
        assert!(driver.subscribe(id, request(1)).is_empty());
        assert_eq!(driver.relay.next_chunk(driver.now, id), None);
    }
    assert_eq!(rejection(&driver.subscribe(6, request(1))), Some(RejectReason::Busy));
    // A caught-up subscriber does not wait behind those that have to catch up.
    assert_eq!(accepted(&driver.subscribe(7, request(60))), [7]);
    readers[0].pull_all(&mut driver.relay, driver.now);
    assert_eq!(accepted(&driver.input(Input::Tick)), [3]);
    assert_eq!(accepted(&driver.input(Input::SubscriberDisconnected(2))), [4]);
    assert_eq!((driver.relay.catching_up(), driver.relay.waiting()), (2, 1));
    let out = driver.advance(SECOND);
    assert_eq!(rejection(&out), Some(RejectReason::Busy));
    assert_eq!(driver.relay.waiting(), 0);
}

#[test]
fn retry_after_jitter_depends_on_the_seed() {
    let pauses = |seed| {
        let mut driver =
            ready_relay(RelaySettings { seed, max_catching_up: 0, max_waiting: 0, ..settings() }, 60);
        let mut pause = |id| match driver.subscribe(id, request(1))[..] {
            [Output::Reject { retry_after, .. }] => retry_after,
            ref other => panic!("{other:?}"),
        };
        (1..=50).map(&mut pause).collect::<Vec<_>>()
    };
    let first = pauses(1);
    assert_eq!(first, pauses(1));
    assert_ne!(first, pauses(2));
    assert!(first.iter().all(|pause| (SECOND..=3 * SECOND).contains(pause)));
    assert!(first.iter().collect::<std::collections::BTreeSet<_>>().len() > 40);
}

#[test]
fn too_many_subscribers_are_rejected() {
    let mut driver = ready_relay(RelaySettings { max_subscribers: 2, ..settings() }, 9);
    for id in 1..=2 {
        reader(&mut driver, id, request(9));
    }
    assert_eq!(rejection(&driver.subscribe(3, request(9))), Some(RejectReason::TooManySubscribers));
    driver.input(Input::SubscriberDisconnected(1));
    assert_eq!(accepted(&driver.subscribe(4, request(9))), [4]);
}

#[test]
fn a_slow_subscriber_returns_to_the_log_once_and_is_then_disconnected() {
    let mut driver = ready_relay(settings(), 9);
    let mut slow = reader(&mut driver, 1, request(9));
    let mut quick = reader(&mut driver, 2, request(9));
    let mut outputs = Vec::new();
    for number in 10..40 {
        driver.input(Input::Event(purge(number, number)));
        outputs.extend(driver.advance(100 * MILLISECOND));
        quick.pull_all(&mut driver.relay, driver.now);
        assert_eq!(quick.view.cursor, number);
        if number == 20 {
            slow.pull_all(&mut driver.relay, driver.now);
            assert_eq!((slow.view.cursor, slow.view.floor), (20, 0));
        }
    }
    assert!(!slow.pull(&mut driver.relay, driver.now));
    outputs.extend(driver.input(Input::Tick));
    assert_eq!(disconnect_reason(&outputs), Some(DisconnectReason::FellBehind));
    assert_eq!(driver.relay.subscribers(), 1);
}

#[test]
fn a_subscriber_whose_cursor_is_evicted_from_the_log_is_disconnected() {
    let limits = LogLimits { events: 10, bytes: 1 << 20 };
    let mut driver = ready_relay(RelaySettings { log: limits, ..settings() }, 9);
    let mut slow = reader(&mut driver, 1, request(9));
    for number in 10..40 {
        driver.input(Input::Event(purge(number, number)));
        driver.advance(100 * MILLISECOND);
    }
    assert!(!slow.pull(&mut driver.relay, driver.now));
    assert_eq!(disconnect_reason(&driver.input(Input::Tick)), Some(DisconnectReason::FellBehind));
}

#[test]
fn a_subscriber_that_stops_reading_is_disconnected_and_an_idle_one_is_not() {
    let mut driver = ready_relay(RelaySettings { stall_timeout: 2 * SECOND, ..settings() }, 9);
    let mut idle = reader(&mut driver, 1, request(9));
    assert_eq!(disconnect_reason(&driver.advance(60 * SECOND)), None);
    driver.input(Input::Event(purge(10, 10)));
    assert_eq!(disconnect_reason(&driver.advance(2 * SECOND)), None);
    idle.pull_all(&mut driver.relay, driver.now);
    assert_eq!(disconnect_reason(&driver.advance(60 * SECOND)), None);
    driver.input(Input::Event(purge(11, 11)));
    assert_eq!(disconnect_reason(&driver.advance(5 * SECOND)), Some(DisconnectReason::Stalled));
}

#[test]
fn a_subscriber_that_does_not_catch_up_in_time_is_disconnected() {
    let mut driver = ready_relay(RelaySettings { catch_up_timeout: 3 * SECOND, ..settings() }, 60);
    let mut slow = reader(&mut driver, 1, request(1));
    assert!(slow.pull(&mut driver.relay, driver.now));
    assert_eq!(disconnect_reason(&driver.advance(3 * SECOND)), Some(DisconnectReason::CatchUpTooSlow));
    assert_eq!(driver.relay.catching_up(), 0);
}

#[test]
fn a_page_that_ends_with_the_log_is_encoded_again_for_a_later_cursor() {
    let mut driver = ready_relay(RelaySettings { max_batches: 1, ..settings() }, 13);
    let mut first = reader(&mut driver, 1, request(10));
    first.pull_all(&mut driver.relay, driver.now);
    assert_eq!(first.view.cursor, 13);
    for number in 14..=17 {
        driver.input(Input::Event(purge(number, number)));
        driver.advance(100 * MILLISECOND);
    }
    let mut second = reader(&mut driver, 2, request(14));
    assert!(second.pull(&mut driver.relay, driver.now));
    assert_eq!(second.view.cursor, 17);
}

#[test]
fn log_batches_and_pages_stay_within_their_byte_limits() {
    let limits = LogLimits { events: 1 << 20, bytes: 40_000 };
    let limited = RelaySettings {
        log: limits,
        max_batches: 1 << 20,
        ring_bytes: 30_000,
        cache_bytes: 20_000,
        ..settings()
    };
    let mut driver = ready_relay(limited, 2);
    for number in 3..2000 {
        driver.input(Input::Event(purge(number, number)));
        if number % 5 == 0 {
            driver.advance(100 * MILLISECOND);
        }
        if number % 50 == 0 {
            let mut reader = reader(&mut driver, number, request(number - 100.min(number)));
            reader.pull_all(&mut driver.relay, driver.now);
            driver.input(Input::SubscriberDisconnected(number));
        }
        assert!(driver.relay.bytes() < 40_000 + 30_000 + 20_000 + 8_000, "{}", driver.relay.bytes());
    }
}

#[test]
fn a_full_batch_is_sealed_early() {
    let mut driver =
        ready_relay(RelaySettings { batch_bytes: 300, batch_interval: 100 * SECOND, ..settings() }, 1);
    let sealed =
        (2..12).filter(|number| driver.input(Input::Event(purge(*number, 1))).contains(&Output::BatchSealed));
    assert_eq!(sealed.count(), 2);
}

#[test]
fn positions_are_reported_once_a_second_and_name_stragglers() {
    let mut driver = ready_relay(settings(), 9);
    let position =
        |id, name: &str, applied| Input::Position { id, report: PositionReport::of_gateway(name, applied) };
    for (id, name) in [(1, "a"), (2, "b")] {
        reader(&mut driver, id, SubscribeRequest { name: Some(name.to_string()), ..request(9) });
    }
    let mut out = driver.input(position(1, "a", 9));
    for _ in 0..10 {
        out.extend(driver.input(position(2, "b", 7)));
    }
    assert_eq!(out.iter().filter(|output| matches!(output, Output::Report(_))).count(), 1);
    let out = driver.advance(SECOND);
    let Some(Output::Report(report)) = out.last() else { panic!("{out:?}") };
    assert_eq!((report.applied, report.gateways, report.lost), (7, 2, 0));
    assert_eq!(report.furthest[0].name, "b");
    assert_eq!(driver.relay.applied_everywhere_at(9), None);
    driver.input(position(2, "b", 9));
    assert_eq!(driver.relay.applied_everywhere_at(9), Some(driver.now));
    driver.input(Input::SubscriberDisconnected(2));
    assert_eq!(driver.relay.positions().aggregate().lost, 1);
    driver.advance(20 * SECOND);
    assert_eq!(driver.relay.positions().aggregate(), PositionReport::of_gateway("a", 9));
}
