//! Costs as the number of events, subscribers and gateways grows: counts, not times, at n, 4n and 16n (E4 of
//! `docs/design/event-distribution.md`).
mod common;
use common::{list, purge, request, store_json, Driver, MILLISECOND, SECOND, START};
use larchway_distribution::batch::Encoding;
use larchway_distribution::log::{Appended, EventLog, LogLimits};
use larchway_distribution::positions::{PositionLimits, PositionReport, Positions};
use larchway_distribution::relay::{Input, Output, Relay, RelaySettings, SubscribeRequest, SUBSCRIBER_BYTES};
use larchway_distribution::EventNumber;

/// The sizes for which counts are compared.
fn sizes(n: usize) -> [usize; 3] {
    [n, 4 * n, 16 * n]
}

fn assert_constant<T: PartialEq + std::fmt::Debug>(counts: [T; 3], what: &str) {
    assert!(counts[0] == counts[1] && counts[1] == counts[2], "{what} grows: {counts:?}");
}

/// Entries touched by 1000 appends to a full log of `events` events. Each object is purged again after two thirds of
/// the log's length.
fn entries_touched(events: usize) -> usize {
    const APPENDS: u64 = 1000;
    let mut log = EventLog::new(LogLimits { events, bytes: usize::MAX });
    let objects = events as u64 * 2 / 3;
    let mut append = |number| match log.append(purge(number, number % objects)) {
        Ok(Appended::Stored { replaced, evicted }) => 1 + replaced + evicted,
        other => panic!("{other:?}"),
    };
    let full = 2 * events as u64;
    for number in 1..=full {
        append(number);
    }
    (full + 1..=full + APPENDS).map(append).sum()
}

#[test]
fn the_cost_of_an_append_does_not_grow_with_the_log() {
    let counts = sizes(1000).map(entries_touched);
    assert_constant(counts, "entries touched");
    assert_eq!(counts[0], 3000, "per append: the new entry, the replaced one, the evicted one");
}

/// A ready relay with a store list followed by purges up to `events`.
fn relay(settings: RelaySettings, events: EventNumber) -> Driver {
    let mut driver = Driver::new(Relay::new(settings));
    driver.input(Input::Event(list(1, true, &[store_json(1, "up")])));
    for number in 2..=events {
        driver.input(Input::Event(purge(number, number)));
        if number % 25 == 0 {
            driver.advance(100 * MILLISECOND);
        }
    }
    driver.heartbeat();
    driver.advance(SECOND);
    driver
}

fn settings() -> RelaySettings {
    RelaySettings {
        batch_interval: 100 * MILLISECOND,
        max_batches: 4,
        page_events: 500,
        ..RelaySettings::default()
    }
}

fn subscribe(driver: &mut Driver, subscribers: usize, cursor: EventNumber) {
    for id in 1..=subscribers as u64 {
        let encoding = if id % 2 == 0 { Encoding::Gzip } else { Encoding::Identity };
        driver.subscribe(id, SubscribeRequest { encoding, ..request(cursor) });
    }
}

/// Lets all accepted subscribers read to the end, and those that are admitted as a result. Returns the number of
/// chunks.
fn read_all(driver: &mut Driver, mut accepted: Vec<u64>) -> usize {
    let mut chunks = 0;
    while !accepted.is_empty() {
        for id in std::mem::take(&mut accepted) {
            while driver.relay.next_chunk(driver.now, id).is_some() {
                chunks += 1;
            }
        }
        accepted = accepted_ids(&driver.input(Input::Tick));
    }
    chunks
}

fn accepted_ids(out: &[Output]) -> Vec<u64> {
    let accept = |output: &Output| match output {
        Output::Accept(id) => Some(*id),
        _ => None,
    };
    out.iter().filter_map(accept).collect()
}

#[test]
fn a_batch_is_encoded_once_per_encoding_for_any_number_of_subscribers() {
    let counts = sizes(100).map(|subscribers| {
        let mut driver = relay(settings(), 100);
        subscribe(&mut driver, subscribers, 100);
        let ids: Vec<_> = (1..=subscribers as u64).collect();
        read_all(&mut driver, ids.clone());
        let statistics_before = driver.relay.statistics();
        for number in 101..=125 {
            driver.input(Input::Event(purge(number, number)));
        }
        driver.advance(100 * MILLISECOND);
        let chunks = read_all(&mut driver, ids);
        assert_eq!(chunks, subscribers);
        let statistics_after = driver.relay.statistics();
        assert_eq!(statistics_after.batches_encoded - statistics_before.batches_encoded, 2);
        (
            statistics_after.text_bytes - statistics_before.text_bytes,
            statistics_after.encoded_bytes - statistics_before.encoded_bytes,
        )
    });
    assert_constant(counts, "bytes encoded");
}

#[test]
fn pages_and_snapshots_are_encoded_once_for_any_number_of_subscribers() {
    let counts = sizes(50).map(|subscribers| {
        let log = LogLimits { events: 3000, bytes: 1 << 24 };
        let mut driver = relay(RelaySettings { log, max_catching_up: 16, ..settings() }, 5000);
        let statistics_before = driver.relay.statistics();
        let mut accepted = Vec::new();
        for id in 1..=subscribers as u64 {
            // Half of the cursors are at different places in the log; the others are older than the log.
            let cursor = if id % 2 == 0 { 2000 + id } else { id };
            accepted.extend(accepted_ids(&driver.subscribe(id, request(cursor))));
        }
        read_all(&mut driver, accepted);
        assert_eq!((driver.relay.catching_up(), driver.relay.waiting()), (0, 0));
        let statistics_after = driver.relay.statistics();
        let pages = statistics_after.pages_encoded - statistics_before.pages_encoded;
        (pages, statistics_after.snapshots_encoded - statistics_before.snapshots_encoded)
    });
    assert_constant(counts, "pages and snapshots encoded");
    assert_eq!(counts[0], (6, 1));
}

#[test]
fn twelve_thousand_returning_subscribers_are_served_in_order_from_the_same_pages() {
    const RETURNING: usize = 12_000;
    let mut driver = relay(settings(), 5000);
    let statistics_before = driver.relay.statistics();
    let mut order = Vec::new();
    for id in 1..=RETURNING as u64 {
        order.extend(accepted_ids(
            &driver.subscribe(id, SubscribeRequest { encoding: Encoding::Gzip, ..request(100) }),
        ));
    }
    let concurrent = order.len();
    assert_eq!(concurrent, RelaySettings::default().max_catching_up);
    let mut accepted = order.clone();
    while !accepted.is_empty() {
        assert!(driver.relay.catching_up() <= concurrent);
        for id in std::mem::take(&mut accepted) {
            while driver.relay.next_chunk(driver.now, id).is_some() {}
        }
        accepted = accepted_ids(&driver.input(Input::Tick));
        order.extend(&accepted);
    }
    assert_eq!(order, (1..=RETURNING as u64).collect::<Vec<_>>());
    let statistics_after = driver.relay.statistics();
    assert_eq!(statistics_after.pages_encoded - statistics_before.pages_encoded, 10);
}

#[test]
fn a_subscriber_adds_only_its_own_state() {
    const { assert!(SUBSCRIBER_BYTES <= 160) };
    let counts = sizes(100).map(|subscribers| {
        let mut driver = relay(settings(), 100);
        subscribe(&mut driver, subscribers, 100);
        read_all(&mut driver, (1..=subscribers as u64).collect());
        driver.relay.bytes()
    });
    assert_constant(counts, "bytes of log, batches and pages");
}

#[test]
fn the_size_of_a_position_report_does_not_grow_with_the_gateways() {
    let limits = PositionLimits { lost_retention: SECOND, max_lost: 100, max_advances: 100 };
    let counts = sizes(750).map(|gateways| {
        let mut positions = Positions::new(limits);
        for id in 10_000..10_000 + gateways as u64 {
            let name = format!("gateway-{id}");
            let report = PositionReport::of_gateway(&name, 50_000 + id);
            positions.report(START, id, Some(&name), report);
        }
        let report = positions.aggregate();
        assert_eq!(report.gateways, gateways as u64);
        let digits = gateways.to_string().len();
        serde_json::to_string(&report).expect("JSON").len() - digits
    });
    assert_constant(counts, "bytes of a report");
    assert!(counts[0] < 300, "{counts:?}");
}
