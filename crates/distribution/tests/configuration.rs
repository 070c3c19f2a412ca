//! Documents: wire format, targets, and their handling by a relay's log and table (C2, C5, C7 and C8 of
//! `docs/design/configuration-events.md`).
mod common;
use common::documents::{changes, document, full_list, id, staged, version, zone, Gateway, BAD};
use common::{list, purge, read, request, store_json, Driver, Reader, SECOND};
use larchway_distribution::batch::Encoding;
use larchway_distribution::configuration::{
    Document, DocumentTable, DocumentsError, DocumentsEvent, Targets, MAX_CONTENT_BYTES, MAX_DOCUMENTS,
    MAX_DOCUMENT_BYTES, MAX_DOCUMENT_NAME_BYTES,
};
use larchway_distribution::event::{ListKind, MAX_EVENT_NUMBER};
use larchway_distribution::log::{EventLog, LogEntry, LogLimits};
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::{Input, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::scope::Scope;
use larchway_distribution::{Event, EventNumber, Subject};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LARGE_LIMITS: LogLimits = LogLimits { events: 10_000, bytes: 1 << 30 };

#[test]
fn documents_are_written_and_read_with_their_text_unchanged() {
    let data = r#"{"no":7,"documents":{"whole":false,"entries":[{"kind":"class","name":"std","version":3,"stage":1,"content":{"b": 1.50, "a":[]},"targets":{"share":0.05,"zones":["z1"]}},{"kind":"peers","name":"x","version":4,"stage":0,"content":null}]}}"#;
    let event = DocumentsEvent::read(data).expect("documents").expect("some");
    assert_eq!(event.kind, ListKind::Delta);
    let [first, second] = &event.documents[..] else { panic!("{event:?}") };
    assert_eq!(first.document.content.as_deref(), Some(r#"{"b": 1.50, "a":[]}"#));
    assert_eq!(first.document.targets, Some(Targets { share: 0.05, zones: vec!["z1".to_string()] }));
    assert_eq!((second.document.content.as_ref(), second.document.targets.as_ref()), (None, None));
    assert_eq!(event.data(7), data);
    let subjects =
        [Subject::Document(second.document.id.clone()), Subject::StagedDocument(first.document.id.clone())];
    assert_eq!(read(data).subjects, subjects, "the version for all gateways comes first");
    assert!(DocumentsEvent::read(r#"{"no":8,"roster":{"hosts":[]}}"#).expect("an event").is_none());
}

#[test]
fn an_entry_is_no_larger_than_its_counted_size() {
    let largest = Targets { share: 0.1 + 0.2, zones: vec!["\"".to_string(); 9] };
    let document = document(&"\\".repeat(255), u64::MAX, Some("[1]"));
    let mut list = DocumentsEvent::changes([staged(document.clone(), u32::MAX, largest), document]);
    list.documents.iter_mut().for_each(|entry| entry.introduced_by = Some(MAX_EVENT_NUMBER));
    let counted: usize = list.documents.iter().map(|entry| entry.document.bytes()).sum();
    let envelope = DocumentsEvent { documents: Vec::new(), ..list.clone() }.json().len();
    assert!(list.json().len() - envelope <= counted, "{} bytes, {counted} counted", list.json().len());
}

#[test]
fn an_error_names_the_key_and_nothing_is_replaced() {
    let entry = |json: &str| format!("{{\"no\":2,\"documents\":{{\"entries\":[{json}]}}}}");
    let name = "n".repeat(MAX_DOCUMENT_NAME_BYTES + 1);
    let long = format!("\"{}\"", "c".repeat(MAX_CONTENT_BYTES));
    let good = r#""kind":"limit","name":"a","version":2,"content":1"#;
    let cases = [
        (r#"{"kind":"limit","name":"a","version":2}"#.to_string(), "content"),
        (r#"{"kind":"other","name":"a","version":2,"content":1}"#.to_string(), "other"),
        (r#"{"kind":"limit","name":"","version":2,"content":1}"#.to_string(), "entries[0] (limit/).name"),
        (format!(r#"{{"kind":"limit","name":"{name}","version":2,"content":1}}"#), "name: 256 bytes"),
        (r#"{"kind":"limit","name":"a","version":0,"content":1}"#.to_string(), "(limit/a).version: 0"),
        (format!(r#"{{"kind":"limit","name":"a","version":2,"content":{long}}}"#), "content: 65538 bytes"),
        (format!(r#"{{{good},"targets":{{"share":1.5}}}}"#), "targets.share: 1.5"),
        (format!(r#"{{{good},"targets":{{"zones":[]}}}}"#), "targets: neither"),
        (format!(r#"{{{good},"targets":{{"zones":["z",""]}}}}"#), "targets.zones[1]"),
        (format!(r#"{{{good},"targets":{{"sites":["x"]}}}}"#), "sites"),
        (format!(r#"{{{good}}},{{{good}}}"#), "entries[1] (limit/a): repeated"),
    ];
    for (json, key) in cases {
        let data = entry(&json);
        let error = DocumentsEvent::read(&data).expect_err(&json).to_string();
        assert!(error.starts_with("documents") && error.contains(key), "{error}: {key}");
        let mut log = EventLog::new(LARGE_LIMITS);
        log.append(changes(1, [document("a", 1, Some("1"))])).expect("in order");
        log.append(read(&data)).expect("appended although the documents are invalid");
        assert!(matches!(log.get(1), Some(LogEntry::Current(_))), "{json}");
        assert_eq!(
            log.documents().for_all(&id("a")).expect("a stored document").document.version,
            version(1, 0)
        );
    }
    let lines = document("a", 1, Some("{\n}"));
    let error = DocumentsEvent::changes([lines]).check().expect_err("two lines");
    assert!(
        matches!(error, DocumentsError::Document { .. }) && error.to_string().contains("content"),
        "{error}"
    );
}

#[test]
fn events_and_reports_without_documents_are_unchanged() {
    let entries = [store_json(1, "up")];
    let event = list(1, true, &entries);
    let mut log = EventLog::new(LARGE_LIMITS);
    log.append(event.clone()).expect("in order");
    assert_eq!(log.snapshot(1, |_| true).as_deref(), Some(&*event.data));
    let report = serde_json::to_string(&PositionReport::of_gateway("g", 5)).expect("JSON");
    assert_eq!(report, r#"{"applied":5,"gateways":1,"lost":0,"furthest":[{"name":"g","applied":5}]}"#);
}

fn is_replaced(log: &EventLog, number: EventNumber) -> bool {
    log.get(number) == Some(LogEntry::Replaced)
}

#[test]
fn the_log_keeps_the_last_version_for_all_and_one_staged() {
    let version_of = |name, number| document(name, number, Some("1"));
    let stage = |number, stage| staged(version_of("a", number), stage, zone("z"));
    let mut log = EventLog::new(LARGE_LIMITS);
    let events: Vec<Event> = vec![
        changes(1, [version_of("a", 1), version_of("b", 1)]),
        changes(2, [stage(2, 0)]),
        changes(3, [stage(2, 1)]),
        changes(4, [version_of("b", 2)]),
        changes(5, [document("a", 3, None)]),
        changes(6, [stage(4, 0)]),
        full_list(7, [version_of("c", 1)]),
        changes(8, [version_of("a", 5)]),
    ];
    let replaced_after: [&[EventNumber]; 8] =
        [&[], &[], &[2], &[2], &[1, 2, 3], &[1, 2, 3], &[1, 2, 3, 4, 5, 6], &[1, 2, 3, 4, 5, 6]];
    for (event, expected) in events.into_iter().zip(replaced_after) {
        let number = event.number;
        log.append(event).expect("in order");
        let replaced: Vec<_> = (1..=number).filter(|number| is_replaced(&log, *number)).collect();
        assert_eq!(replaced, expected, "after {number}");
    }
    let stored: Vec<_> =
        log.documents().iter().map(|stored| (stored.document.id.name.as_str(), stored.number)).collect();
    assert_eq!(stored, [("a", 8), ("c", 7)]);
}

#[test]
fn a_table_is_bounded_and_evicts_the_document_withdrawn_first() {
    let mut table = DocumentTable::default();
    let mut apply = |number: usize, document: Document| {
        table.apply(number as EventNumber, DocumentsEvent::changes([document]))
    };
    let name = |number: usize| format!("n{number}");
    for number in 1..=MAX_DOCUMENTS {
        let withdrawn = number == 20 || number == 10;
        apply(number, document(&name(number), 1, Some("1").filter(|_| !withdrawn)));
    }
    assert_eq!(apply(9001, document("new", 1, Some("1"))).changed, [id("n10"), id("new")].into());
    assert_eq!(apply(9002, document("newer", 1, Some("1"))).changed, [id("n20"), id("newer")].into());
    let ignored = apply(9003, document("newest", 1, Some("1"))).ignored;
    assert_eq!((ignored.len(), table.len()), (1, MAX_DOCUMENTS));
    let mut table = DocumentTable::default();
    let content = format!("\"{}\"", "x".repeat(MAX_CONTENT_BYTES - 2));
    let large = |number| document(&name(number), 1, Some(&content));
    let change = table.apply(1, DocumentsEvent::changes((1..=60).map(large)));
    assert!(!change.ignored.is_empty() && table.bytes() <= MAX_DOCUMENT_BYTES);
    let mut gateway = Gateway::new("g", "z");
    gateway.read(&changes(1, (1..=60).map(large)));
    assert_eq!(gateway.rejected().len(), change.ignored.len(), "ignored versions are reported as rejected");
}

#[test]
fn rejected_documents_are_retried_with_their_event_and_after_a_file_change() {
    let good = |name, number| document(name, number, Some("1"));
    let bad = |name, number| document(name, number, Some(&format!("\"{BAD}\"")));
    let mut gateway = Gateway::new("g", "z");
    gateway.read(&changes(1, [good("a", 1), good("b", 1), good("c", 1)]));
    gateway.read(&changes(2, [bad("a", 2), good("b", 2)]));
    let versions = |gateway: &Gateway| {
        gateway.in_force().into_iter().map(|(name, (version, _))| (name, version)).collect::<BTreeMap<_, _>>()
    };
    let expect = |a, b, c| {
        BTreeMap::from([("a", a), ("b", b), ("c", c)].map(|(name, version)| (name.to_string(), version)))
    };
    assert_eq!(
        (versions(&gateway), gateway.rejected().len()),
        (expect(1, 1, 1), 2),
        "together or not at all"
    );
    gateway.read(&changes(3, [good("c", 3)]));
    assert_eq!(
        (versions(&gateway), gateway.rejected().len()),
        (expect(1, 1, 3), 2),
        "documents of other events are still applied"
    );
    gateway.read(&changes(4, [bad("a", 4)]));
    assert_eq!(
        (versions(&gateway), gateway.rejected().len()),
        (expect(1, 2, 3), 1),
        "the other change of the event is applied alone"
    );
    let retried = gateway.documents.retry().expect("a rejected version to retry");
    gateway.documents.accept(retried);
    assert_eq!((versions(&gateway), gateway.rejected().len()), (expect(4, 2, 3), 0), "the file has changed");
}

/// A relay whose log begins with a snapshot sends all documents to a scoped subscriber, both live and on catch-up.
#[test]
fn documents_pass_a_snapshot_and_a_scope_unchanged() {
    let mut log = EventLog::new(LARGE_LIMITS);
    let stores = [store_json(0, "up"), store_json(1, "up")];
    let events = [list(1, true, &stores), changes(2, [document("a", 9, Some("{\"k\": 1.0}"))]), purge(3, 1)];
    for event in events {
        log.append(event).expect("in order");
    }
    let snapshot = read(&log.snapshot(3, |_| true).expect("a full list"));
    let east = Scope { sites: vec!["east".to_string()], ..Scope::default() };
    let scopes = BTreeMap::from([("east".to_string(), east)]);
    let mut driver =
        Driver::new(Relay::new(RelaySettings { scopes, page_events: 1, ..RelaySettings::default() }));
    driver.heartbeat();
    let subscribe = |driver: &mut Driver, id| {
        driver.subscribe(id, SubscribeRequest { scope: Some("east".to_string()), ..request(0) });
        Reader::new(id, Encoding::Identity)
    };
    let mut live = subscribe(&mut driver, 1);
    driver.input(Input::UpstreamGap(snapshot.clone()));
    driver.input(Input::Event(purge(4, 1)));
    driver.input(Input::Event(purge(5, 1)));
    driver.advance(SECOND);
    let mut late = subscribe(&mut driver, 2);
    let documents = r#""documents":{"whole":true,"entries":[{"kind":"limit","name":"a","version":9,"stage":0,"content":{"k": 1.0},"event":2}]}"#;
    for reader in [&mut live, &mut late] {
        let mut text = String::new();
        while let Some(chunk) = driver.relay.next_chunk(driver.now, reader.id) {
            text.push_str(std::str::from_utf8(&chunk).expect("text"));
        }
        assert!(text.contains(documents), "{text}");
        assert!(text.contains("s-00000000") && !text.contains("s-00000001"), "{text}");
    }
    let status = driver.relay.documents().next().expect("a stored document");
    assert_eq!((status.stored.number, status.is_applied), (2, false), "no gateway has reported");
    let report = PositionReport::of_gateway("g", 2);
    driver.input(Input::Position { id: 1, report });
    assert!(driver.relay.documents().all(|status| status.is_applied));
}

proptest! {
    #[test]
    fn wider_targets_include_the_narrower(
        gateway in "[a-z0-9-]{1,20}", share in 0.0..1.0, more in 0.0..1.0, number in 1..1000_u64,
    ) {
        let narrower = Targets { share, zones: vec!["z1".to_string()] };
        let wider = Targets { share: share.max(more), zones: vec!["z2".to_string(), "z1".to_string()] };
        prop_assert!(wider.contains(&narrower));
        for zone in ["z1", "z2", "z3"] {
            let includes = |targets: &Targets| targets.includes(&gateway, zone, &id("a"), number);
            prop_assert!(!includes(&narrower) || includes(&wider));
            prop_assert!(includes(&Targets::share(1.0)) && !includes(&Targets::share(0.0)));
        }
    }
}

#[test]
fn a_share_includes_the_expected_number_of_gateways_and_varies_by_version() {
    const GATEWAYS: usize = 12_000;
    let targets = Targets::share(0.05);
    let included = |number: u64| -> Vec<usize> {
        let includes = |gateway: &usize| targets.includes(&format!("gw-{gateway}"), "z", &id("a"), number);
        (0..GATEWAYS).filter(includes).collect()
    };
    let (first, second) = (included(1), included(2));
    // The tolerance is five standard deviations around the expected 600.
    assert!([&first, &second].iter().all(|drawn| drawn.len().abs_diff(600) < 120), "{}", first.len());
    let both = first.iter().filter(|gateway| second.contains(gateway)).count();
    assert!(both < 80, "{both} gateways are included for both versions");
}
