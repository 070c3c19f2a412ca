//! A relay, case by case: who is taken, what each is sent, and each bound (E2 to E4 of
//! `docs/design/event-distribution.md`).
mod common;
use common::{hello, list, purge, store_json, Driver, Reader, MILLISECOND, SECOND};
use larchway_distribution::batch::Encoding;
use larchway_distribution::log::LogLimits;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::{CutReason, Hello, Input, Output, RejectReason, Relay, RelayTerms};
use larchway_distribution::scope::Scope;
use larchway_distribution::EventNumber;
use std::collections::BTreeMap;

fn terms() -> RelayTerms {
    let scope = |site: &str| Scope { sites: vec![site.to_string()], classes: Vec::new() };
    RelayTerms {
        batch: 100 * MILLISECOND,
        page_events: 10,
        ring: 4,
        scopes: BTreeMap::from([("east".to_string(), scope("east")), ("west".to_string(), scope("west"))]),
        ..RelayTerms::default()
    }
}

/// A relay that is ready and has a whole list of six stores, then purges up to `last`, in batches of one event.
fn ready(terms: RelayTerms, last: EventNumber) -> Driver {
    let mut driver = Driver::new(Relay::new(terms));
    let stores: Vec<_> = (0..6).map(|store| store_json(store, "up")).collect();
    driver.input(Input::Event(list(1, true, &stores)));
    for number in 2..=last {
        driver.pass(100 * MILLISECOND);
        driver.input(Input::Event(purge(number, number)));
    }
    driver.pass(100 * MILLISECOND);
    driver.heartbeat();
    driver.pass(100 * MILLISECOND);
    driver
}

fn rejection(out: &[Output]) -> Option<RejectReason> {
    out.iter().find_map(|output| match output {
        Output::Reject { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn cut(out: &[Output]) -> Option<CutReason> {
    out.iter().find_map(|output| match output {
        Output::Cut { reason, .. } => Some(*reason),
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

fn reader(driver: &mut Driver, id: u64, hello: Hello) -> Reader {
    let mut reader = Reader::new(id, hello.encoding);
    reader.view.cursor = hello.cursor.unwrap_or(0);
    assert_eq!(accepted(&driver.subscribe(id, hello)), [id]);
    reader
}

#[test]
fn subscribers_are_taken_or_turned_away_by_cursor_digest_and_scope() {
    let digest = purge(9, 9).digest;
    let scope = |name: &str| Some(name.to_string());
    let cases = [
        (hello(9), None),
        (hello(0), None),
        (Hello { cursor: None, ..hello(0) }, None),
        (Hello { digest: Some(digest), ..hello(9) }, None),
        (Hello { scope: scope("east"), ..hello(9) }, None),
        (hello(10), Some(RejectReason::Behind)),
        (Hello { digest: Some(digest + 1), ..hello(9) }, Some(RejectReason::OtherHistory)),
        (Hello { scope: scope("south"), ..hello(9) }, Some(RejectReason::UnknownScope)),
    ];
    for (hello, expected) in cases {
        let out = ready(terms(), 9).subscribe(1, hello.clone());
        assert_eq!(rejection(&out), expected, "{hello:?}");
        assert_eq!(accepted(&out).is_empty(), expected.is_some(), "{hello:?}");
    }
    assert_eq!(RejectReason::OtherHistory.status(), 412);
    assert_eq!(RejectReason::Behind.status(), 503);
}

#[test]
fn a_relay_is_ready_only_after_a_heartbeat_of_its_own_upstream() {
    let mut driver = Driver::new(Relay::new(terms()));
    driver.input(Input::UpstreamUp);
    driver.input(Input::Event(purge(1, 1)));
    assert_eq!(rejection(&driver.subscribe(1, hello(1))), Some(RejectReason::NotReady));
    driver.heartbeat();
    assert_eq!(accepted(&driver.subscribe(2, hello(1))), [2]);
    driver.input(Input::UpstreamLost);
    assert_eq!(rejection(&driver.subscribe(3, hello(1))), Some(RejectReason::NotReady));
    driver.input(Input::UpstreamUp);
    assert_eq!(rejection(&driver.subscribe(4, hello(1))), Some(RejectReason::NotReady));
    driver.heartbeat();
    assert_eq!(accepted(&driver.subscribe(5, hello(1))), [5]);
}

#[test]
fn heartbeats_pass_unchanged_behind_the_events_and_only_to_those_caught_up() {
    let mut driver = ready(terms(), 40);
    let mut live = reader(&mut driver, 1, hello(40));
    let mut behind = reader(&mut driver, 2, hello(5));
    driver.input(Input::Event(purge(41, 41)));
    driver.input(Input::Heartbeat { heard: 7_654_321 });
    driver.pass(100 * MILLISECOND);
    live.pull_all(&mut driver.relay, driver.now);
    assert_eq!((live.view.cursor, &live.heartbeats[..]), (41, &[7654][..]));
    assert!(behind.pull(&mut driver.relay, driver.now));
    assert!(behind.heartbeats.is_empty());
    behind.pull_all(&mut driver.relay, driver.now);
    assert_eq!(behind.view.cursor, 41);
    assert_eq!(behind.heartbeats.last(), Some(&7654));
    // Without a word from upstream there is no heartbeat.
    driver.pass(10 * SECOND);
    assert!(!live.pull(&mut driver.relay, driver.now));
}

#[test]
fn all_encodings_and_scopes_lead_to_the_same_numbers() {
    let mut driver = ready(RelayTerms { page_events: 30, ..terms() }, 30);
    for (id, encoding) in [(1, Encoding::Identity), (2, Encoding::Gzip)] {
        for (offset, scope) in [(0, None), (10, Some("east")), (20, Some("west"))] {
            let scope = scope.map(str::to_string);
            let stores = if scope.is_some() { 2 } else { 6 };
            let mut reader = reader(&mut driver, id + offset, Hello { encoding, scope, ..hello(0) });
            reader.pull_all(&mut driver.relay, driver.now);
            assert_eq!(reader.view.cursor, 30);
            assert_eq!(reader.view.applied, 30);
            assert_eq!(reader.view.stores.len(), stores);
        }
    }
}

#[test]
fn a_scoped_digest_of_a_list_event_is_known_and_another_one_is_not() {
    let mut driver = ready(terms(), 1);
    let scoped = |digest, scope: &str| Hello { digest, scope: Some(scope.to_string()), ..hello(1) };
    let mut east = reader(&mut driver, 1, Hello { cursor: Some(0), ..scoped(None, "east") });
    east.pull_all(&mut driver.relay, driver.now);
    let digest = east.view.verified.map(|(_, digest)| digest);
    assert!(digest.is_some());
    assert_eq!(accepted(&driver.subscribe(2, scoped(digest, "east"))), [2]);
    assert_eq!(rejection(&driver.subscribe(3, scoped(digest, "west"))), Some(RejectReason::OtherHistory));
    let changed = Hello { digest, ..hello(1) };
    assert_eq!(rejection(&driver.subscribe(4, changed)), Some(RejectReason::OtherHistory));
}

#[test]
fn a_cursor_older_than_the_log_gets_a_snapshot_that_shows_as_a_jump() {
    let limits = LogLimits { events: 10, bytes: 1 << 20 };
    for cursor in [0, 3, 18, 19] {
        let mut driver = ready(RelayTerms { log: limits, ..terms() }, 30);
        assert_eq!(driver.relay.log().first(), 21);
        let mut reader = reader(&mut driver, 1, hello(cursor));
        reader.pull_all(&mut driver.relay, driver.now);
        assert_eq!(reader.view.cursor, 30);
        assert_eq!(reader.view.stores.len(), 6);
        assert!(reader.view.floor >= cursor + 2, "{cursor}: {}", reader.view.floor);
    }
    // The smallest jump there can be: the log begins right after the event that is missing.
    let mut driver = ready(RelayTerms { log: LogLimits { events: 1, ..limits }, ..terms() }, 30);
    let mut late = reader(&mut driver, 1, hello(28));
    late.pull_all(&mut driver.relay, driver.now);
    assert_eq!((late.view.cursor, late.view.floor), (30, 30));
}

#[test]
fn a_subscriber_with_nothing_never_takes_a_snapshot_for_the_first_event() {
    let mut driver = Driver::new(Relay::new(terms()));
    driver.input(Input::UpstreamGap(list(1, true, &[store_json(1, "up")])));
    driver.heartbeat();
    driver.pass(SECOND);
    assert_eq!(rejection(&driver.subscribe(1, hello(0))), Some(RejectReason::NotReady));
    driver.input(Input::Event(purge(2, 2)));
    driver.pass(SECOND);
    let mut fresh = reader(&mut driver, 2, hello(0));
    fresh.pull_all(&mut driver.relay, driver.now);
    assert_eq!((fresh.view.cursor, fresh.view.floor, fresh.view.verified), (2, 2, None));
}

#[test]
fn a_subscriber_with_nothing_is_given_the_list_in_place_of_a_long_history() {
    for (last, expected) in [(10, 10), (11, 2), (60, 2)] {
        let mut driver = ready(terms(), last);
        let mut fresh = reader(&mut driver, 1, hello(0));
        fresh.pull_all(&mut driver.relay, driver.now);
        assert_eq!((fresh.view.cursor, fresh.view.applied, fresh.view.stores.len()), (last, expected, 6));
    }
}

#[test]
fn no_snapshot_is_given_of_a_list_that_is_not_known_whole() {
    let mut driver = Driver::new(Relay::new(terms()));
    driver.input(Input::UpstreamGap(purge(20, 1)));
    driver.heartbeat();
    driver.pass(SECOND);
    assert_eq!(rejection(&driver.subscribe(1, hello(3))), Some(RejectReason::NotReady));
    driver.input(Input::Event(list(21, true, &[store_json(1, "up")])));
    driver.pass(SECOND);
    assert_eq!(accepted(&driver.subscribe(2, hello(3))), [2]);
}

#[test]
fn a_gap_upstream_reaches_live_subscribers_as_the_same_jump() {
    let mut driver = ready(terms(), 9);
    let mut live = reader(&mut driver, 1, hello(9));
    driver.input(Input::UpstreamGap(list(50, true, &[store_json(7, "up")])));
    driver.input(Input::Event(purge(51, 51)));
    driver.pass(SECOND);
    live.pull_all(&mut driver.relay, driver.now);
    assert_eq!((live.view.cursor, live.view.floor, live.view.stores.len()), (51, 50, 1));
    assert_eq!(driver.relay.log().first(), 51);
}

#[test]
fn a_gap_that_no_jump_shows_cuts_all_off_so_that_they_come_again_for_a_snapshot() {
    let mut driver = ready(terms(), 9);
    reader(&mut driver, 1, hello(9));
    let out = driver.input(Input::UpstreamGap(list(10, true, &[store_json(7, "up")])));
    assert_eq!(cut(&out), Some(CutReason::HiddenGap));
    driver.pass(SECOND);
    assert_eq!(rejection(&driver.subscribe(2, hello(9))), Some(RejectReason::NotReady));
    driver.input(Input::Event(purge(11, 11)));
    driver.pass(SECOND);
    let mut again = reader(&mut driver, 3, hello(9));
    again.pull_all(&mut driver.relay, driver.now);
    assert_eq!((again.view.cursor, again.view.floor), (11, 11));
}

#[test]
fn another_history_upstream_ends_the_service_until_it_begins_anew() {
    let conflicting = Input::Event(purge(5, 500));
    let told = Input::OtherHistory("the digest of event 9 differs".to_string());
    let backwards = Input::UpstreamGap(list(4, true, &[store_json(1, "up")]));
    for input in [conflicting, told, backwards.clone()] {
        let mut driver = ready(terms(), 9);
        reader(&mut driver, 1, hello(9));
        let out = driver.input(input);
        assert!(out.iter().any(|output| matches!(output, Output::StopServing(_))), "{out:?}");
        assert_eq!(cut(&out), Some(CutReason::StoppedServing));
        assert_eq!(driver.relay.subscribers(), 0);
        assert_eq!(rejection(&driver.subscribe(2, hello(0))), Some(RejectReason::NotReady));
        driver.input(backwards.clone());
        driver.heartbeat();
        driver.pass(SECOND);
        assert_eq!(rejection(&driver.subscribe(3, hello(9))), Some(RejectReason::Behind));
        let digest = Some(purge(4, 4).digest);
        let stale = driver.subscribe(4, Hello { digest, ..hello(4) });
        assert_eq!(rejection(&stale), Some(RejectReason::NotReady));
        assert_eq!(accepted(&driver.subscribe(5, hello(0))), [5]);
    }
}

#[test]
fn catch_up_is_admitted_in_order_and_the_rest_wait_or_are_turned_away() {
    let bounds = RelayTerms { catch_up_at_once: 2, waiting: 3, admit_wait: SECOND, ..terms() };
    let mut driver = ready(bounds, 60);
    let mut readers: Vec<_> = (1..=2).map(|id| reader(&mut driver, id, hello(1))).collect();
    for id in 3..=5 {
        assert!(driver.subscribe(id, hello(1)).is_empty());
        assert_eq!(driver.relay.next_chunk(driver.now, id), None);
    }
    assert_eq!(rejection(&driver.subscribe(6, hello(1))), Some(RejectReason::Busy));
    // One that is caught up is not held up by those that are not.
    assert_eq!(accepted(&driver.subscribe(7, hello(60))), [7]);
    readers[0].pull_all(&mut driver.relay, driver.now);
    assert_eq!(accepted(&driver.input(Input::Tick)), [3]);
    assert_eq!(accepted(&driver.input(Input::Gone(2))), [4]);
    assert_eq!((driver.relay.catching_up(), driver.relay.waiting()), (2, 1));
    let out = driver.pass(SECOND);
    assert_eq!(rejection(&out), Some(RejectReason::Busy));
    assert_eq!(driver.relay.waiting(), 0);
}

#[test]
fn the_time_to_come_again_is_spread_by_the_seed() {
    let pauses = |seed| {
        let mut driver = ready(RelayTerms { seed, catch_up_at_once: 0, waiting: 0, ..terms() }, 60);
        let mut pause = |id| match driver.subscribe(id, hello(1))[..] {
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
fn too_many_subscribers_are_turned_away() {
    let mut driver = ready(RelayTerms { subscribers: 2, ..terms() }, 9);
    for id in 1..=2 {
        reader(&mut driver, id, hello(9));
    }
    assert_eq!(rejection(&driver.subscribe(3, hello(9))), Some(RejectReason::TooMany));
    driver.input(Input::Gone(1));
    assert_eq!(accepted(&driver.subscribe(4, hello(9))), [4]);
}

#[test]
fn one_that_reads_slowly_goes_back_to_the_log_once_and_is_then_cut_off() {
    let mut driver = ready(terms(), 9);
    let mut slow = reader(&mut driver, 1, hello(9));
    let mut quick = reader(&mut driver, 2, hello(9));
    let mut cuts = Vec::new();
    for number in 10..40 {
        driver.input(Input::Event(purge(number, number)));
        cuts.extend(driver.pass(100 * MILLISECOND));
        quick.pull_all(&mut driver.relay, driver.now);
        assert_eq!(quick.view.cursor, number);
        if number == 20 {
            slow.pull_all(&mut driver.relay, driver.now);
            assert_eq!((slow.view.cursor, slow.view.floor), (20, 0));
        }
    }
    assert!(!slow.pull(&mut driver.relay, driver.now));
    cuts.extend(driver.input(Input::Tick));
    assert_eq!(cut(&cuts), Some(CutReason::FellBehind));
    assert_eq!(driver.relay.subscribers(), 1);
}

#[test]
fn one_whose_place_is_gone_from_the_log_too_is_cut_off() {
    let limits = LogLimits { events: 10, bytes: 1 << 20 };
    let mut driver = ready(RelayTerms { log: limits, ..terms() }, 9);
    let mut slow = reader(&mut driver, 1, hello(9));
    for number in 10..40 {
        driver.input(Input::Event(purge(number, number)));
        driver.pass(100 * MILLISECOND);
    }
    assert!(!slow.pull(&mut driver.relay, driver.now));
    assert_eq!(cut(&driver.input(Input::Tick)), Some(CutReason::FellBehind));
}

#[test]
fn one_that_stops_reading_is_cut_off_and_one_with_nothing_to_read_is_not() {
    let mut driver = ready(RelayTerms { stall_limit: 2 * SECOND, ..terms() }, 9);
    let mut idle = reader(&mut driver, 1, hello(9));
    assert_eq!(cut(&driver.pass(60 * SECOND)), None);
    driver.input(Input::Event(purge(10, 10)));
    assert_eq!(cut(&driver.pass(2 * SECOND)), None);
    idle.pull_all(&mut driver.relay, driver.now);
    assert_eq!(cut(&driver.pass(60 * SECOND)), None);
    driver.input(Input::Event(purge(11, 11)));
    assert_eq!(cut(&driver.pass(5 * SECOND)), Some(CutReason::Stalled));
}

#[test]
fn one_that_does_not_catch_up_in_time_is_cut_off() {
    let mut driver = ready(RelayTerms { catch_up_limit: 3 * SECOND, ..terms() }, 60);
    let mut slow = reader(&mut driver, 1, hello(1));
    assert!(slow.pull(&mut driver.relay, driver.now));
    assert_eq!(cut(&driver.pass(3 * SECOND)), Some(CutReason::CatchUpTooSlow));
    assert_eq!(driver.relay.catching_up(), 0);
}

#[test]
fn a_page_cut_short_at_the_end_is_made_again_for_one_that_is_further() {
    let mut driver = ready(RelayTerms { ring: 1, ..terms() }, 13);
    let mut first = reader(&mut driver, 1, hello(10));
    first.pull_all(&mut driver.relay, driver.now);
    assert_eq!(first.view.cursor, 13);
    for number in 14..=17 {
        driver.input(Input::Event(purge(number, number)));
        driver.pass(100 * MILLISECOND);
    }
    let mut second = reader(&mut driver, 2, hello(14));
    assert!(second.pull(&mut driver.relay, driver.now));
    assert_eq!(second.view.cursor, 17);
}

#[test]
fn log_batches_and_pages_stay_inside_their_bytes() {
    let limits = LogLimits { events: 1 << 20, bytes: 40_000 };
    let bounds =
        RelayTerms { log: limits, ring: 1 << 20, ring_bytes: 30_000, cache_bytes: 20_000, ..terms() };
    let mut driver = ready(bounds, 2);
    for number in 3..2000 {
        driver.input(Input::Event(purge(number, number)));
        if number % 5 == 0 {
            driver.pass(100 * MILLISECOND);
        }
        if number % 50 == 0 {
            let mut reader = reader(&mut driver, number, hello(number - 100.min(number)));
            reader.pull_all(&mut driver.relay, driver.now);
            driver.input(Input::Gone(number));
        }
        assert!(driver.relay.bytes() < 40_000 + 30_000 + 20_000 + 8_000, "{}", driver.relay.bytes());
    }
}

#[test]
fn a_full_batch_does_not_wait_for_its_time() {
    let mut driver = ready(RelayTerms { batch_bytes: 300, batch: 100 * SECOND, ..terms() }, 1);
    let sealed =
        (2..12).filter(|number| driver.input(Input::Event(purge(*number, 1))).contains(&Output::Ready));
    assert_eq!(sealed.count(), 2);
}

#[test]
fn positions_go_up_once_a_second_and_say_who_keeps_an_event() {
    let mut driver = ready(terms(), 9);
    let position =
        |id, name: &str, applied| Input::Position { id, report: PositionReport::of_gateway(name, applied) };
    for (id, name) in [(1, "a"), (2, "b")] {
        reader(&mut driver, id, Hello { name: Some(name.to_string()), ..hello(9) });
    }
    let mut out = driver.input(position(1, "a", 9));
    for _ in 0..10 {
        out.extend(driver.input(position(2, "b", 7)));
    }
    assert_eq!(out.iter().filter(|output| matches!(output, Output::Report(_))).count(), 1);
    let out = driver.pass(SECOND);
    let Some(Output::Report(report)) = out.last() else { panic!("{out:?}") };
    assert_eq!((report.applied, report.gateways, report.lost), (7, 2, 0));
    assert_eq!(report.furthest[0].name, "b");
    assert_eq!(driver.relay.done_everywhere(9), None);
    driver.input(position(2, "b", 9));
    assert_eq!(driver.relay.done_everywhere(9), Some(driver.now));
    driver.input(Input::Gone(2));
    assert_eq!(driver.relay.positions().aggregate().lost, 1);
    driver.pass(20 * SECOND);
    assert_eq!(driver.relay.positions().aggregate(), PositionReport::of_gateway("a", 9));
}
