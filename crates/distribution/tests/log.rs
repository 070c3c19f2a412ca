//! The event log compared with a complete history, and its limits (E1 and E4 of `docs/design/event-distribution.md`).
mod common;
use common::{group_purge, list, purge, read, store_json, View};
use larchway_distribution::batch::placeholder;
use larchway_distribution::log::{AppendError, Appended, EventLog, HistoryCheck, LogEntry, LogLimits};
use larchway_distribution::{Event, EventNumber};
use proptest::prelude::*;

const LARGE_LIMITS: LogLimits = LogLimits { events: 10_000, bytes: 1 << 24 };

fn log_of(events: impl IntoIterator<Item = Event>) -> EventLog {
    let mut log = EventLog::new(LARGE_LIMITS);
    for event in events {
        log.append(event).expect("in order");
    }
    log
}

fn is_replaced(log: &EventLog, number: EventNumber) -> bool {
    log.get(number) == Some(LogEntry::Replaced)
}

#[test]
fn later_events_replace_earlier_ones_about_the_same_subject() {
    let entry = |store, health| store_json(store, health);
    let log = log_of([
        list(1, true, &[entry(1, "up"), entry(2, "up")]),
        purge(2, 7),
        list(3, false, &[entry(1, "draining"), entry(3, "up")]),
        purge(4, 7),
        group_purge(5, 7),
        list(6, false, &[entry(1, "removed")]),
        group_purge(7, 7),
        list(8, false, &[entry(3, "draining")]),
    ]);
    let replaced: Vec<_> = (1..=8).filter(|number| is_replaced(&log, *number)).collect();
    assert_eq!(replaced, [2, 3, 5]);
    assert_eq!(log.stores().len(), 2);
    let mut log = log;
    log.append(list(9, true, &[entry(9, "up")])).expect("in order");
    let replaced: Vec<_> = (1..=9).filter(|number| is_replaced(&log, *number)).collect();
    assert_eq!(replaced, [1, 2, 3, 5, 6, 8]);
    assert_eq!(log.stores().len(), 1);
}

#[test]
fn a_purge_issued_earlier_does_not_replace_one_issued_later() {
    let early = read(r#"{"no":2,"recall":{"item":"7","issued":1764576000000}}"#);
    let mut log = log_of([purge(1, 7), early]);
    assert!(!is_replaced(&log, 1));
    log.append(purge(3, 7)).expect("in order");
    assert!(is_replaced(&log, 1));
}

#[test]
fn digests_outlive_compaction_and_distinguish_histories() {
    let first = purge(1, 7);
    let mut log = log_of([first.clone(), purge(2, 7)]);
    assert_eq!(log.digest(1), Some(first.digest));
    assert_eq!(log.check_history(1, first.digest), HistoryCheck::Same);
    assert_eq!(log.check_history(1, 1), HistoryCheck::Other);
    assert_eq!(log.append(first), Ok(Appended::Duplicate));
    assert_eq!(log.append(purge(1, 8)), Err(AppendError::OtherHistory { number: 1 }));
    assert_eq!(log.append(purge(4, 8)), Err(AppendError::Gap { expected: 3 }));
    assert_eq!(log.last(), 2);
}

#[test]
fn a_placeholder_from_upstream_does_not_verify_the_history() {
    let mut log = log_of([purge(1, 7), read(&placeholder(2)), purge(3, 7)]);
    assert_eq!(log.check_history(2, 5), HistoryCheck::Unknown);
    // An event that was received as a placeholder, or the reverse, is not a different history.
    assert_eq!(log.append(purge(2, 9)), Ok(Appended::Duplicate));
    assert_eq!(log.append(read(&placeholder(1))), Ok(Appended::Duplicate));
}

#[test]
fn restart_after_a_gap_begins_a_new_range() {
    let mut log = log_of([list(1, true, &[store_json(1, "up")]), purge(2, 7)]);
    let snapshot = list(9, true, &[store_json(2, "up")]);
    log.restart_at(snapshot.clone());
    assert_eq!((log.first(), log.last(), log.is_empty()), (10, 9, true));
    assert_eq!(log.check_history(9, snapshot.digest), HistoryCheck::Same);
    assert_eq!(log.check_history(9, 1), HistoryCheck::Unknown);
    assert!(log.stores().is_complete());
    log.append(purge(10, 7)).expect("in order");
    // After a gap without a full list, the store list is unknown.
    log.restart_at(purge(20, 7));
    assert_eq!((log.first(), log.last()), (20, 20));
    assert!(!log.stores().is_complete());
}

#[test]
fn both_bounds_evict_the_oldest() {
    for limits in [LogLimits { events: 10, bytes: 1 << 20 }, LogLimits { events: 1000, bytes: 4000 }] {
        let mut log = EventLog::new(limits);
        for number in 1..=100 {
            log.append(purge(number, number)).expect("in order");
            assert!(log.len() <= limits.events && log.bytes() <= limits.bytes, "{limits:?}");
        }
        assert_eq!(log.last(), 100);
        assert!(log.first() > 80);
        assert_eq!(log.digest(log.first() - 1), Some(purge(log.first() - 1, log.first() - 1).digest));
        assert_eq!(log.digest(log.first() - 2), None);
    }
}

#[derive(Debug, Clone)]
enum Change {
    Purge(u64),
    Group(u64),
    Store(u64, &'static str),
    FullList(Vec<u64>),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (0..8_u64).prop_map(Change::Purge),
        2 => (0..3_u64).prop_map(Change::Group),
        3 => (0..6_u64, prop_oneof![Just("up"), Just("draining"), Just("removed")])
            .prop_map(|(store, health)| Change::Store(store, health)),
        1 => prop::collection::vec(0..6_u64, 0..5).prop_map(Change::FullList),
    ]
}

fn event(number: EventNumber, change: &Change) -> Event {
    match change {
        Change::Purge(object) => purge(number, *object),
        Change::Group(group) => group_purge(number, *group),
        Change::Store(store, health) => list(number, false, &[store_json(*store, health)]),
        Change::FullList(stores) => {
            let entries: Vec<_> = stores.iter().map(|store| store_json(*store, "up")).collect();
            list(number, true, &entries)
        }
    }
}

fn data(log: &EventLog, number: EventNumber) -> String {
    match log.get(number) {
        Some(LogEntry::Current(event)) => event.data.to_string(),
        Some(LogEntry::Replaced) => placeholder(number),
        None => panic!("{number} is not in the log"),
    }
}

proptest! {
    /// E1: a reader that has all events up to any number in the log's range, and then reads the log, ends with the
    /// state of a reader of the complete history.
    #[test]
    fn a_compacted_log_ends_in_the_state_of_the_complete_history(
        changes in prop::collection::vec(change(), 1..60),
        events in 1..60_usize,
    ) {
        let history: Vec<Event> = (1..).zip(&changes).map(|(number, change)| event(number, change)).collect();
        let mut log = EventLog::new(LogLimits { events, bytes: 1 << 20 });
        let mut naive = View::default();
        let mut naive_at = vec![naive.clone()];
        for event in &history {
            log.append(event.clone()).expect("in order");
            naive.apply(event.number, &event.data);
            naive_at.push(naive.clone());
        }
        for cursor in log.first() - 1..=log.last() {
            let mut view = naive_at[cursor as usize].clone();
            for number in cursor + 1..=log.last() {
                view.apply(number, &data(&log, number));
            }
            prop_assert_eq!(&view.purged, &naive.purged);
            prop_assert_eq!(&view.stores, &naive.stores);
            prop_assert_eq!(view.floor, 0);
        }
        let snapshot = log.snapshot(log.last(), |_| true);
        if let Some(snapshot) = snapshot {
            let mut view = View { cursor: log.last() - 1, ..View::default() };
            view.apply(log.last(), &snapshot);
            prop_assert_eq!(view.stores, naive.stores);
        }
    }
}
