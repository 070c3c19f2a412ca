//! Costs as the number of documents and gateways grows: counts, not times, at n, 4n and 16n (C7 of
//! `docs/design/configuration-events.md`).
mod common;
use common::documents::{changes, document, id, version, Gateway};
use common::{list, purge, request, store_json, Driver, Reader, SECOND};
use larchway::MonotonicTime;
use larchway_distribution::batch::Encoding;
use larchway_distribution::configuration::Rejection;
use larchway_distribution::log::{Appended, EventLog, LogLimits};
use larchway_distribution::positions::{PositionLimits, PositionReport, Positions};
use larchway_distribution::relay::{Input, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::{Event, EventNumber};
use std::time::Duration;

const SIZES: [u64; 3] = [300, 1200, 4800];
/// Event number of the measured change, the same for each size so that the number has the same length.
const CHANGE_NUMBER: EventNumber = 10_000;

/// A document content of about 300 bytes.
fn content(number: u64) -> String {
    let limits: Vec<String> =
        (0..8).map(|limit| format!("{{\"route\":\"r-{limit}\",\"rate\":{number}.25}}")).collect();
    format!("{{\"deadline_ms\":1500,\"retries\":2,\"limits\":[{}]}}", limits.join(","))
}

fn name(number: u64) -> String {
    format!("document-{number:05}")
}

/// A full store list, the given number of documents, purges, and finally a change of one document.
fn history(documents: u64) -> Vec<Event> {
    let document_event = |number: u64| changes(number, [document(&name(number), 1, Some(&content(100)))]);
    let first = list(1, true, &[store_json(1, "up")]);
    let documents = (2..=documents + 1).map(document_event);
    let purges = (documents.clone().count() as u64 + 2..CHANGE_NUMBER).map(|number| purge(number, number));
    let change = changes(CHANGE_NUMBER, [document(&name(7), 2, Some(&content(101)))]);
    std::iter::once(first).chain(documents).chain(purges).chain([change]).collect()
}

#[test]
fn the_cost_of_a_change_does_not_grow_with_the_documents() {
    for size in SIZES {
        let mut log = EventLog::new(LogLimits { events: usize::MAX, bytes: usize::MAX });
        let mut gateway = Gateway::new("g", "z");
        let history = history(size);
        let (change, before) = history.split_last().expect("a change");
        for event in before {
            log.append(event.clone()).expect("in order");
            gateway.read(event);
        }
        assert_eq!(log.documents().len(), size as usize);
        let appended = log.append(change.clone()).expect("in order");
        assert_eq!(appended, Appended::Stored { replaced: 1, evicted: 0 }, "{size} documents");
        let documents = common::documents::read_documents(change).expect("documents");
        let candidate = gateway.documents.handle(CHANGE_NUMBER, documents).expect("a change");
        assert_eq!(candidate.changes().len(), 1, "{size} documents");
    }
}

/// Bytes sent to a caught-up subscriber for one change, when the relay stores this number of documents.
fn bytes_of_a_change(documents: u64, encoding: Encoding) -> usize {
    let mut driver = Driver::new(Relay::new(RelaySettings::default()));
    let history = history(documents);
    let (change, before) = history.split_last().expect("a change");
    for event in before {
        driver.input(Input::Event(event.clone()));
    }
    driver.heartbeat();
    driver.advance(SECOND);
    driver.subscribe(1, SubscribeRequest { encoding, ..request(CHANGE_NUMBER - 1) });
    let mut reader = Reader::new(1, encoding);
    reader.pull_all(&mut driver.relay, driver.now);
    let bytes_before = reader.bytes;
    driver.input(Input::Event(change.clone()));
    driver.advance(SECOND);
    reader.pull_all(&mut driver.relay, driver.now);
    assert_eq!(reader.view.cursor, CHANGE_NUMBER);
    reader.bytes - bytes_before
}

#[test]
fn the_bytes_of_a_change_do_not_grow_with_the_documents() {
    for encoding in [Encoding::Identity, Encoding::Gzip] {
        let bytes = SIZES.map(|size| bytes_of_a_change(size, encoding));
        println!("{encoding:?}: {bytes:?} bytes, content of {}", content(101).len());
        assert!(bytes[0] == bytes[1] && bytes[1] == bytes[2], "{encoding:?}: {bytes:?}");
    }
}

#[test]
fn the_size_of_a_report_does_not_grow_with_the_rejecting_gateways() {
    let limits = PositionLimits { lost_retention: Duration::from_secs(1), max_lost: 10, max_advances: 10 };
    let report = |gateways: u64| {
        let mut positions = Positions::new(limits);
        for gateway in 0..gateways {
            let reason = "limits[2].rate: 9, at most 8".to_string();
            let rejection = Rejection { id: id("a"), version: version(7, 0), reason, number: 9 };
            let name = format!("gateway-{gateway:05}");
            let report = PositionReport::of_gateway(&name, 9).with_rejections([&rejection]);
            positions.report(MonotonicTime::from_micros(1), gateway, Some(&name), report);
        }
        let aggregate = positions.aggregate();
        assert_eq!(aggregate.rejections[0].gateways, gateways);
        serde_json::to_string(&aggregate).expect("JSON").len()
    };
    let bytes = [750, 3000, 12_000].map(report);
    println!("report: {bytes:?} bytes");
    // The report contains the number of gateways twice.
    let more_digits = 2 * ("12000".len() - "750".len());
    assert!(bytes[2] - bytes[0] <= more_digits, "{bytes:?}");
}
