use super::*;
use larchway::{duration_micros, Host};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
const NOW: MonotonicTime = MonotonicTime::from_micros(500_000 * duration_micros(HOUR));

fn entry(server: ServerId, started: MonotonicTime) -> Endpoint {
    let host = Host { server, started, state: State::Up, ..Host::default() };
    Endpoint { host, name: format!("s-{server}"), dial: None }
}

/// The start of a store that results from a change of the list.
fn effective_start(
    dates: &mut StartDates,
    now: MonotonicTime,
    server: ServerId,
    listed: MonotonicTime,
) -> MonotonicTime {
    let mut entries = [entry(server, listed)];
    dates.date_entries(now, ListScope::Changes, &mut entries);
    entries[0].host.started
}

fn dates_with_max_clock_lead(max_clock_lead: Duration) -> StartDates {
    let mut dates = StartDates::default();
    dates.lower_max_clock_lead(Some(max_clock_lead));
    dates
}

/// Guards against a clock that is an hour fast, by which a store that started a second ago seems to be an hour old
/// and would get its full load.
#[test]
fn no_start_is_dated_earlier_than_the_reports_of_others_allow() {
    let mut dates = dates_with_max_clock_lead(HOUR + SECOND);
    assert_eq!(
        effective_start(&mut dates, NOW, 1, NOW - HOUR - SECOND),
        NOW,
        "it is the latest reported time itself"
    );
    assert_eq!(effective_start(&mut dates, NOW, 2, NOW - HOUR - 9 * SECOND), NOW - 8 * SECOND);
    assert_eq!(effective_start(&mut StartDates::default(), NOW, 1, NOW - HOUR), NOW, "nothing was reported");
}

#[test]
fn a_start_that_is_not_stated_stays_unset() {
    let long_ago = Host::STARTED_LONG_AGO;
    assert_eq!(effective_start(&mut StartDates::default(), NOW, 1, long_ago), long_ago);
}

#[test]
fn a_start_is_dated_once_however_often_it_is_listed() {
    let mut dates = dates_with_max_clock_lead(HOUR);
    let listed = NOW - HOUR;
    let first = effective_start(&mut dates, NOW, 1, listed);
    for (later, listed) in [(5, listed), (10, listed + SECOND / 2), (15, listed - 600 * SECOND)] {
        assert_eq!(
            effective_start(&mut dates, NOW + later * SECOND, 1, listed),
            first,
            "listed as {listed:?}"
        );
    }
    let restarted = effective_start(&mut dates, NOW + 20 * SECOND, 1, listed + 19 * SECOND);
    assert_eq!(restarted, NOW + 19 * SECOND, "another process of the store");
}

#[test]
fn later_reports_show_that_starts_were_earlier() {
    let mut dates = dates_with_max_clock_lead(HOUR);
    assert_eq!(effective_start(&mut dates, NOW, 1, NOW - HOUR), NOW);
    assert_eq!(
        dates.lower_max_clock_lead(Some(HOUR - SECOND)),
        Vec::new(),
        "too small a change to walk through all starts"
    );
    let earlier = vec![DatedStart { server: 1, started: NOW - HOUR + SECOND }];
    assert_eq!(dates.lower_max_clock_lead(Some(SECOND)), earlier);
    assert_eq!(dates.lower_max_clock_lead(Some(SECOND)), Vec::new());
    assert_eq!(dates.lower_max_clock_lead(None), Vec::new());
    assert_eq!(effective_start(&mut dates, NOW + SECOND, 1, NOW - HOUR), NOW - HOUR + SECOND);
}

#[test]
fn another_process_of_the_gateway_may_know_that_a_start_was_earlier() {
    let mut dates = dates_with_max_clock_lead(HOUR);
    let listed = NOW - HOUR;
    effective_start(&mut dates, NOW, 1, listed);
    let other = |started| [DatedStart { server: 1, started }].into_iter();
    assert_eq!(
        dates.take_over(other(listed - 2 * SECOND)),
        Vec::new(),
        "the start is that of another process of the store"
    );
    assert_eq!(
        dates.take_over(other(NOW + SECOND)),
        Vec::new(),
        "the other process has received fewer reports"
    );
    assert_eq!(dates.take_over(other(listed + SECOND)).len(), 1);
    assert_eq!(effective_start(&mut dates, NOW, 1, listed), listed + SECOND);
}

#[test]
fn starts_are_bounded_and_forgotten_with_their_stores() {
    let mut dates = dates_with_max_clock_lead(Duration::ZERO);
    for server in 0..MAX_STARTS as u64 + 10 {
        effective_start(&mut dates, NOW, server, NOW - HOUR - Duration::from_micros(server));
    }
    assert_eq!(dates.by_server.len(), MAX_STARTS);
    dates.date_entries(NOW, ListScope::Complete, &mut [entry(3, NOW - SECOND)]);
    assert_eq!(dates.by_server.len(), 1);
    let mut removed = entry(3, NOW - SECOND);
    removed.host.state = State::Removed;
    dates.date_entries(NOW, ListScope::Changes, &mut [removed]);
    assert_eq!(dates.by_server.len(), 0);
}
