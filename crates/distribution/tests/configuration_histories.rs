//! Random histories of documents, read in every possible way and compared with a simple search from the end of the
//! history (C1 to C3 of `docs/design/configuration-events.md`).
mod common;
use common::documents::{changes, check, document, full_list, read_checked, staged, zone, Gateway, BAD};
use common::{compacted, list, purge, read, store_json};
use larchway_distribution::configuration::{Document, Targets};
use larchway_distribution::log::{EventLog, LogLimits};
use larchway_distribution::{Event, EventNumber, Subject};
use proptest::prelude::*;

const GATEWAYS: [(&str, &str); 3] = [("g-1", "z-1"), ("g-2", "z-2"), ("g-3", "z-2")];
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A document entry of an event: name, kind of content, and targets.
#[derive(Debug, Clone)]
struct RandomEntry {
    name: &'static str,
    content: Content,
    targets: Option<Targets>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Content {
    Good,
    Bad,
    Withdrawn,
}

#[derive(Debug, Clone)]
enum Step {
    Changes(Vec<RandomEntry>),
    FullList(Vec<RandomEntry>),
    Purge(u64),
    Store(u64),
}

fn entries(max: usize) -> impl Strategy<Value = Vec<RandomEntry>> {
    let content =
        prop_oneof![4 => Just(Content::Good), 1 => Just(Content::Bad), 1 => Just(Content::Withdrawn)];
    let targets = prop_oneof![
        3 => Just(None),
        1 => (1..100_u32).prop_map(|percent| Some(Targets::share(f64::from(percent) / 100.0))),
        1 => Just(Some(zone("z-2"))),
    ];
    let entry = (prop::sample::select(&NAMES[..]), content, targets);
    let entry = entry.prop_map(|(name, content, targets)| RandomEntry { name, content, targets });
    prop::collection::vec(entry, 0..=max).prop_map(|mut entries| {
        entries.sort_by_key(|entry| (entry.name, entry.targets.is_some()));
        entries.dedup_by_key(|entry| (entry.name, entry.targets.is_some()));
        entries
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => entries(3).prop_map(Step::Changes),
        1 => entries(6).prop_map(Step::FullList),
        2 => (1..4_u64).prop_map(Step::Purge),
        1 => (1..4_u64).prop_map(Step::Store),
    ];
    prop::collection::vec(step, 2..24)
}

/// Creates the documents of an event. Their version number equals the event number.
fn documents(entries: &[RandomEntry], number: EventNumber) -> Vec<Document> {
    let document = |entry: &RandomEntry| {
        let content = match entry.content {
            Content::Good => Some(format!("{{\"n\": {number}}}")),
            Content::Bad => Some(format!("\"{BAD} {number}\"")),
            Content::Withdrawn => None,
        };
        let document = document(entry.name, number, content.as_deref());
        match &entry.targets {
            Some(targets) => staged(document, 0, targets.clone()),
            None => document,
        }
    };
    entries.iter().map(document).collect()
}

/// A history of a full store list followed by the steps.
fn history(steps: &[Step]) -> Vec<Event> {
    let event = |(index, step): (usize, &Step)| {
        let number = index as EventNumber + 2;
        match step {
            Step::Changes(entries) => changes(number, documents(entries, number)),
            Step::FullList(entries) => full_list(number, documents(entries, number)),
            Step::Purge(object) => purge(number, *object),
            Step::Store(store) => list(number, false, &[store_json(*store, "up")]),
        }
    };
    let first = list(1, true, &[store_json(1, "up")]);
    std::iter::once(first).chain(steps.iter().enumerate().map(event)).collect()
}

fn log_of(history: &[Event], limits: LogLimits) -> EventLog {
    let mut log = EventLog::new(limits);
    for event in history {
        log.append(event.clone()).expect("in order");
    }
    log
}

const LARGE_LIMITS: LogLimits = LogLimits { events: 1000, bytes: 1 << 20 };

fn snapshot(log: &EventLog, number: EventNumber) -> Event {
    read(&log.snapshot(number, |_| true).expect("a full list"))
}

/// Reads the rest of a history as compacted by `log`, which contains all of it.
fn read_rest(gateway: &mut Gateway, log: &EventLog, history: &[Event]) {
    let rest = &history[gateway.cursor as usize..];
    rest.iter().for_each(|event| gateway.read(&compacted(log, event)));
}

/// Reads events that a snapshot already includes although its number is lower, and checks that they change nothing.
/// Skips the check if there is a full list among them, because that replaces documents.
fn read_covered(gateway: &mut Gateway, events: &[Event]) {
    if events.iter().any(|event| event.subjects.contains(&Subject::DocumentList)) {
        return;
    }
    let before = (gateway.in_force(), gateway.rejected());
    for event in events {
        gateway.read(event);
        assert_eq!((gateway.in_force(), gateway.rejected()), before, "event {}", event.number);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_way_of_reading_a_history_ends_with_the_same_documents(
        steps in steps(),
        cut in 0..24_usize,
        ahead in 0..4_usize,
    ) {
        let history = history(&steps);
        let log = log_of(&history, LARGE_LIMITS);
        // A downstream relay whose log begins with a snapshot that includes events after the snapshot's number.
        let cut = 1 + cut % history.len();
        let snapshot_last = (cut + ahead).min(history.len());
        let early_log = log_of(&history[..snapshot_last], LARGE_LIMITS);
        let early_snapshot = snapshot(&early_log, cut as EventNumber);
        let mut downstream_log = EventLog::new(LogLimits { events: 3, ..LARGE_LIMITS });
        downstream_log.restart_at(early_snapshot.clone());
        history[cut..].iter().for_each(|event| {
            downstream_log.append(event.clone()).expect("in order");
        });
        for (name, zone) in GATEWAYS {
            let mut live = Gateway::new(name, zone);
            for (index, event) in history.iter().enumerate() {
                read_checked(&mut live, event, name, zone);
                check(&live, &history[..=index], name, zone, "live");
            }
            let mut from_log = Gateway::new(name, zone);
            read_rest(&mut from_log, &log, &history);
            check(&from_log, &history, name, zone, "compacted log");
            let mut late = Gateway::new(name, zone);
            late.read(&early_snapshot);
            read_covered(&mut late.clone(), &history[cut..snapshot_last]);
            read_rest(&mut late, &log, &history);
            check(&late, &history, name, zone, "snapshot, then the log");
            let mut last = live.clone();
            last.cursor = 0;
            last.read(&snapshot(&downstream_log, downstream_log.last() + 7));
            check(&last, &history, name, zone, "snapshot of the downstream relay");
        }
    }
}
