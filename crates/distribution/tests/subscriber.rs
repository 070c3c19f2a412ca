//! The subscriber: single cases, and random histories with sources that fail or have different histories (E1 and E2 of
//! `docs/design/event-distribution.md`).
use larchway::MonotonicTime;
use larchway_distribution::event::MAX_EVENT_NUMBER;
use larchway_distribution::subscriber::{
    shuffled, EventMetadata, GapReason, Input, LeaveReason, Output, SourceKind, Subscriber,
    SubscriberSettings, Subscription, ANSWER_TIMEOUT, INITIAL_BACKOFF, MAX_RETRY_AFTER, SILENCE_TIMEOUT,
};
use larchway_distribution::EventNumber;
use larchway_unix_time::{Anchor, UnixMicros};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MICROSECOND: Duration = Duration::from_micros(1);
/// Start time of the tests' monotonic clock.
const START: MonotonicTime = MonotonicTime::from_micros(1_000_000);

fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings(kind: SourceKind, source_count: u16) -> SubscriberSettings {
    SubscriberSettings {
        sources: (0..source_count).map(address).collect(),
        kind,
        verify: kind == SourceKind::Relay,
        restart_history: true,
        gzip: false,
        scope: None,
        max_backoff: 2 * SECOND,
    }
}

fn received(number: EventNumber) -> EventMetadata {
    EventMetadata { number: Some(number), digest: Some(number.wrapping_add(1000)), is_full_list: false }
}

fn events_missing(after: EventNumber, next: EventNumber) -> Output {
    Output::Gap { after, reason: GapReason::EventsMissing { next } }
}

/// A subscriber with a virtual clock and its pending outputs.
struct Rig {
    now: MonotonicTime,
    subscriber: Subscriber,
    out: Vec<Output>,
}

impl Rig {
    fn new(settings: SubscriberSettings, cursor: EventNumber) -> Rig {
        Rig { now: START, subscriber: Subscriber::new(START, settings, cursor, 7), out: Vec::new() }
    }

    fn input(&mut self, input: Input<'_>) -> Vec<Output> {
        self.subscriber.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn event(&mut self, number: EventNumber) -> Vec<Output> {
        self.input(Input::Event(received(number)))
    }

    /// Advances to the next tick, which must dial. Returns the pause and the request.
    fn expect_dial(&mut self) -> (Duration, Subscription) {
        let due = self.subscriber.next_due().expect("a tick is scheduled");
        let pause = due.saturating_since(self.now);
        self.now = self.now.max(due);
        match &self.input(Input::Tick)[..] {
            [Output::Dial(subscription)] => (pause, subscription.clone()),
            other => panic!("no dial: {other:?}"),
        }
    }
}

#[test]
fn a_plain_source_is_dialled_immediately_then_with_doubling_backoff_until_it_sends_data() {
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), 4);
    let (pause, request) = rig.expect_dial();
    assert_eq!((pause, request.after, request.if_match), (Duration::ZERO, 4, None));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert_eq!(rig.input(Input::Disconnected), [Output::Disconnected]);
        pauses.push(rig.expect_dial().0.as_millis());
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1600, 2000]);
    assert_eq!(rig.input(Input::BytesReceived), []);
    rig.input(Input::Disconnected);
    assert_eq!(rig.expect_dial().0, INITIAL_BACKOFF);
}

/// Guards against purged copies that answer because the head of a response counted as proof that no purge was missed.
#[test]
fn a_plain_source_is_alive_only_once_a_comment_shows_that_all_missed_events_have_come() {
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), 4);
    for first_missed in [5, 7] {
        rig.expect_dial();
        assert_eq!(rig.input(Input::BytesReceived), [], "the head of the response");
        assert_eq!(
            rig.event(first_missed),
            [Output::Apply(first_missed)],
            "the next missed event may follow"
        );
        assert_eq!(rig.input(Input::Comment(" alive")), [Output::SourceAlive(rig.now)]);
        assert_eq!(rig.input(Input::BytesReceived), [], "the first half of an event");
        let next = first_missed + 1;
        assert_eq!(rig.event(next), [Output::Apply(next), Output::SourceAlive(rig.now)]);
        rig.input(Input::Disconnected);
    }
}

#[test]
fn a_source_that_is_silent_for_two_and_a_half_seconds_is_left() {
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), 0);
    rig.expect_dial();
    rig.now += SECOND;
    rig.input(Input::BytesReceived);
    rig.input(Input::Comment(" alive"));
    assert_eq!(rig.subscriber.next_due(), Some(rig.now + SILENCE_TIMEOUT));
    rig.now += SILENCE_TIMEOUT - MICROSECOND;
    assert_eq!(rig.input(Input::Tick), []);
    rig.now += MICROSECOND;
    assert_eq!(rig.input(Input::Tick), [Output::Close(LeaveReason::Silent), Output::Disconnected]);
}

/// Guards against a slow source that is never heard because each request is given up before the answer comes.
#[test]
fn a_source_has_longer_to_answer_a_request_and_longer_still_after_each_that_it_did_not() {
    for (kind, source_count) in [(SourceKind::Plain, 1), (SourceKind::Relay, 1), (SourceKind::Relay, 2)] {
        let mut rig = Rig::new(settings(kind, source_count), 0);
        let mut seconds = Vec::new();
        for _ in 0..4 * source_count {
            rig.expect_dial();
            let dialled_at = rig.now;
            rig.now += SECOND;
            rig.input(Input::BytesReceived);
            rig.now = rig.subscriber.next_due().expect("a tick is scheduled");
            seconds.push(rig.now.saturating_since(dialled_at).as_secs());
            assert_eq!(rig.input(Input::Tick), [Output::Close(LeaveReason::Silent), Output::Disconnected]);
        }
        let expected: Vec<u64> =
            [6, 12, 24, 24].into_iter().flat_map(|s| vec![s; source_count.into()]).collect();
        assert_eq!(seconds, expected, "the head of a response is no answer");
        rig.expect_dial();
        rig.now += 23 * SECOND;
        rig.input(Input::BytesReceived);
        assert_eq!(rig.event(1), [Output::Apply(1)]);
        rig.input(Input::Disconnected);
        rig.expect_dial();
        assert_eq!(rig.subscriber.next_due(), Some(rig.now + ANSWER_TIMEOUT));
    }
}

/// Guards against a source with the same history that is rejected because it answers late.
#[test]
fn a_plain_source_that_answers_late_has_time_to_resend_the_event_at_the_cursor() {
    let verified = SubscriberSettings { verify: true, ..settings(SourceKind::Plain, 1) };
    let mut rig = Rig::new(verified, 0);
    rig.expect_dial();
    rig.event(1);
    rig.input(Input::Disconnected);
    rig.expect_dial();
    rig.now += 5 * SECOND + SECOND / 2;
    assert_eq!(rig.input(Input::Tick), []);
    rig.input(Input::BytesReceived);
    rig.now += SECOND;
    assert_eq!(rig.input(Input::Tick), []);
    assert_eq!(rig.event(1), []);
    assert_eq!(rig.event(2), [Output::Apply(2)]);
}

#[test]
fn missing_and_unreadable_events_are_requested_again_once_and_then_skipped() {
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), 0);
    let unreadable = Input::Event(EventMetadata { number: None, digest: None, is_full_list: false });
    rig.expect_dial();
    assert_eq!(rig.event(1), [Output::Apply(1)]);
    assert_eq!(rig.event(3), [Output::Close(LeaveReason::EventMissing), Output::Disconnected]);
    assert_eq!(rig.expect_dial().1.after, 1);
    assert_eq!(rig.event(3), [events_missing(1, 3), Output::Apply(3)]);
    assert_eq!(rig.event(2), [], "event 2 arrives after event 3");
    assert_eq!(rig.input(unreadable), [Output::Close(LeaveReason::EventUnreadable), Output::Disconnected]);
    rig.expect_dial();
    assert_eq!(rig.input(unreadable), [Output::Skip]);
    assert_eq!(rig.event(5), [events_missing(3, 5), Output::Apply(5)]);
    assert_eq!(rig.subscriber.gaps(), 3);
}

#[test]
fn an_event_number_above_the_maximum_is_unreadable() {
    for number in [MAX_EVENT_NUMBER + 1, EventNumber::MAX] {
        let mut rig = Rig::new(settings(SourceKind::Plain, 1), 0);
        rig.expect_dial();
        assert_eq!(rig.event(1), [Output::Apply(1)]);
        let left = [Output::Close(LeaveReason::EventUnreadable), Output::Disconnected];
        assert_eq!(rig.event(number), left);
        rig.expect_dial();
        assert_eq!(rig.event(number), [Output::Skip]);
        assert_eq!(rig.event(2), [Output::Apply(2)]);
    }
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), EventNumber::MAX);
    rig.subscriber.advance(EventNumber::MAX);
    assert_eq!(rig.expect_dial().1.after, MAX_EVENT_NUMBER);
    assert_eq!(rig.event(1), []);
}

#[test]
fn the_request_to_the_next_relay_has_the_cursor_and_its_digest() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 2), 0);
    let first = rig.expect_dial().1;
    assert_eq!((first.source, first.if_match), (address(0), None));
    rig.input(Input::BytesReceived);
    rig.event(1);
    rig.event(2);
    let without_digest = EventMetadata { digest: None, ..received(3) };
    assert_eq!(rig.input(Input::Event(without_digest)), [Output::Apply(3)]);
    for (input, reason) in [
        (Input::Refused { status: 503, retry_after: Some(9 * SECOND) }, LeaveReason::Refused(503)),
        (Input::Malformed, LeaveReason::Malformed),
    ] {
        assert_eq!(rig.input(input), [Output::Close(reason), Output::Disconnected]);
        let (pause, request) = rig.expect_dial();
        assert!(pause <= INITIAL_BACKOFF, "{pause:?}");
        assert_eq!((request.after, request.if_match), (2, Some(1002)), "the last event with a digest");
        assert_eq!(request.source, address(1), "the first source is deferred for 9 s");
    }
}

#[test]
fn a_response_that_has_ended_is_left_and_events_after_the_cursor_are_requested_anew() {
    let mut rig = Rig::new(settings(SourceKind::Plain, 1), 0);
    rig.expect_dial();
    rig.input(Input::BytesReceived);
    rig.event(1);
    rig.event(2);
    assert_eq!(rig.input(Input::Ended), [Output::Close(LeaveReason::Ended), Output::Disconnected]);
    let (pause, request) = rig.expect_dial();
    assert!(pause <= INITIAL_BACKOFF, "{pause:?}");
    assert_eq!(request.after, 2);
}

#[test]
fn retry_after_is_limited_to_the_maximum() {
    let pauses =
        [MAX_RETRY_AFTER, MAX_RETRY_AFTER + MICROSECOND, Duration::from_micros(u64::MAX), Duration::MAX];
    for (kind, status) in [(SourceKind::Plain, 503), (SourceKind::Relay, 503), (SourceKind::Relay, 412)] {
        for requested in pauses {
            let mut rig = Rig::new(settings(kind, 1), 0);
            rig.expect_dial();
            rig.input(Input::Refused { status, retry_after: Some(requested) });
            let (pause, request) = rig.expect_dial();
            assert_eq!(
                (pause, request.source),
                (MAX_RETRY_AFTER, address(0)),
                "{kind:?} {status} {requested:?}"
            );
        }
    }
}

#[test]
fn failover_to_another_relay_is_immediate_and_a_full_round_backs_off() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 3), 0);
    let mut requested = vec![rig.expect_dial().1.source];
    let mut pauses = Vec::new();
    for _ in 0..4 {
        rig.input(Input::Disconnected);
        let (pause, request) = rig.expect_dial();
        requested.push(request.source);
        pauses.push(pause);
    }
    assert_eq!(requested, [0, 1, 2, 0, 1].map(address));
    let millis = Duration::from_millis;
    assert!(pauses[..2].iter().all(|pause| *pause <= millis(50)), "{pauses:?}");
    assert!((millis(50)..=millis(100)).contains(&pauses[2]), "{pauses:?}");
    assert!((millis(100)..=millis(200)).contains(&pauses[3]), "{pauses:?}");
}

#[test]
fn a_history_that_all_relays_reject_is_reset_and_reported_as_a_gap() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 2), 0);
    rig.expect_dial();
    rig.event(1);
    let refused = Input::Refused { status: 412, retry_after: None };
    assert_eq!(rig.input(refused), [Output::Close(LeaveReason::Refused(412)), Output::Disconnected]);
    rig.expect_dial();
    assert_eq!(rig.input(refused)[2..], [Output::Gap { after: 1, reason: GapReason::OtherHistory }]);
    assert_eq!((rig.expect_dial().1.after, rig.subscriber.cursor()), (0, 0));
    // Without `restart_history`, the subscriber keeps requesting its own history.
    let mut rig =
        Rig::new(SubscriberSettings { restart_history: false, ..settings(SourceKind::Relay, 1) }, 0);
    rig.expect_dial();
    rig.event(1);
    assert_eq!(rig.input(refused).len(), 2);
    assert_eq!(rig.expect_dial().1.after, 1);
}

/// Liveness: a permanently dead relay never rejects the history, so the subscriber must not wait for its answer.
#[test]
fn a_dead_relay_does_not_block_the_reset_of_a_history_that_the_others_reject() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 2), 0);
    rig.expect_dial();
    rig.event(1);
    rig.input(Input::Disconnected);
    let refused = Input::Refused { status: 412, retry_after: None };
    let (dead, alive) = (address(0), address(1));
    let mut refusals = 0;
    let gap = loop {
        let (_, request) = rig.expect_dial();
        if request.source == dead {
            rig.input(Input::Disconnected);
            continue;
        }
        assert_eq!((request.source, request.if_match), (alive, Some(1001)));
        refusals += 1;
        let outputs = rig.input(refused);
        if outputs.len() > 2 {
            break outputs[2].clone();
        }
        assert!(refusals < 20, "the history is never reset");
    };
    assert_eq!(gap, Output::Gap { after: 1, reason: GapReason::OtherHistory });
    assert_eq!(refusals, 8);
    assert_eq!(rig.subscriber.cursor(), 0);
}

#[test]
fn a_snapshot_is_a_gap_even_if_it_has_the_next_number() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    rig.expect_dial();
    (1..=4).for_each(|number| drop(rig.event(number)));
    rig.input(Input::Disconnected);
    rig.expect_dial();
    let snapshot = EventMetadata { is_full_list: true, ..received(5) };
    let expected = [events_missing(4, 5), Output::Apply(5)];
    assert_eq!(rig.input(Input::Event(snapshot)), expected);
    let list = EventMetadata { is_full_list: true, ..received(6) };
    assert_eq!(
        rig.input(Input::Event(list)),
        [Output::Apply(6)],
        "a full list later in the stream is an ordinary event"
    );
    rig.input(Input::Disconnected);
    // The history of these numbers is unknown, so the subscriber resets its cursor.
    rig.now = rig.subscriber.next_due().expect("a dial");
    let outputs = rig.input(Input::Tick);
    assert_eq!(outputs[0], Output::Gap { after: 6, reason: GapReason::HistoryUnknown });
    assert!(matches!(&outputs[1], Output::Dial(request) if request.after == 0), "{outputs:?}");
}

/// A relay's snapshot always has a jump in the numbers, so a full list as event 1 is the source's own event.
#[test]
fn a_full_list_at_the_beginning_of_the_history_is_not_a_snapshot() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    rig.expect_dial();
    let list = EventMetadata { is_full_list: true, ..received(1) };
    assert_eq!(rig.input(Input::Event(list)), [Output::Apply(1)]);
    rig.input(Input::Disconnected);
    let (_, request) = rig.expect_dial();
    assert_eq!((request.after, request.if_match), (1, Some(1001)), "event 1 identifies the history");
    // For a subscriber that was advanced by other means, event 1 is not the next event, so the list is a snapshot.
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    rig.expect_dial();
    rig.subscriber.advance(3);
    assert_eq!(rig.input(Input::Event(list)), [events_missing(0, 1), Output::Apply(1)]);
}

#[test]
fn a_subscriber_name_is_sent_only_if_it_is_a_valid_header_value() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    let (_, request) = rig.expect_dial();
    let unnamed = request.to_http(None);
    assert!(!unnamed.contains("User-Agent"), "{unnamed}");
    let named = request.to_http(Some("gateway 7"));
    assert_eq!(named, unnamed.replace("\r\n\r\n", "\r\nUser-Agent: gateway 7\r\n\r\n"));
    for name in ["", " n", "n\r\nIf-Match: \"0\"", "g\u{e9}"] {
        assert_eq!(request.to_http(Some(name)), unnamed, "{name:?}");
    }
}

#[test]
fn an_unreadable_event_after_a_snapshot_is_eventually_skipped() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    let snapshot = Input::Event(EventMetadata { is_full_list: true, ..received(5) });
    let unreadable = Input::Event(EventMetadata { number: None, digest: None, is_full_list: false });
    rig.expect_dial();
    rig.input(snapshot);
    assert_eq!(rig.input(unreadable)[0], Output::Close(LeaveReason::EventUnreadable));
    rig.now = rig.subscriber.next_due().expect("a dial");
    assert_eq!(
        rig.input(Input::Tick)[0],
        Output::Gap { after: 5, reason: GapReason::HistoryUnknown },
        "the cursor is reset"
    );
    rig.input(snapshot);
    assert_eq!(rig.input(unreadable), [Output::Skip]);
}

/// E1 and E2: events without a digest do not identify the history, so a snapshot at the cursor may be of a different
/// one.
#[test]
fn a_snapshot_at_the_cursor_is_a_gap_if_it_is_past_the_requested_number() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 2), 0);
    rig.expect_dial();
    (1..=5).for_each(|number| drop(rig.event(number)));
    for number in 6..=8 {
        rig.input(Input::Event(EventMetadata { digest: None, ..received(number) }));
    }
    rig.input(Input::Disconnected);
    assert_eq!(rig.expect_dial().1.after, 5);
    let snapshot = EventMetadata { is_full_list: true, ..received(8) };
    let expected = [events_missing(7, 8), Output::Apply(8)];
    assert_eq!(rig.input(Input::Event(snapshot)), expected);
    assert_eq!(rig.event(9), [Output::Apply(9)]);
    // A page may begin with a full list from before the cursor, which is not a snapshot.
    rig.input(Input::Disconnected);
    rig.expect_dial();
    let first_of_page = EventMetadata { is_full_list: true, ..received(1) };
    assert_eq!(rig.input(Input::Event(first_of_page)), []);
}

#[test]
fn a_plain_source_must_resend_the_event_at_the_cursor() {
    let verified =
        SubscriberSettings { verify: true, restart_history: false, ..settings(SourceKind::Plain, 1) };
    let mut rig = Rig::new(verified, 0);
    rig.expect_dial();
    rig.event(1);
    rig.event(2);
    rig.input(Input::Disconnected);
    assert_eq!(rig.expect_dial().1.after, 1);
    assert_eq!(rig.input(Input::BytesReceived), [], "the source is not verified yet");
    assert_eq!(rig.event(2), []);
    assert_eq!(rig.event(3), [Output::Apply(3)]);
    rig.input(Input::Disconnected);
    rig.expect_dial();
    let other = EventMetadata { digest: Some(9), ..received(3) };
    let left = [Output::Close(LeaveReason::OtherHistory), Output::Disconnected];
    assert_eq!(rig.input(Input::Event(other)), left);
    rig.expect_dial();
    // A source that sends only comments does not have the event at the cursor.
    rig.now += 2 * SECOND;
    rig.input(Input::BytesReceived);
    rig.now += 2 * SECOND;
    rig.input(Input::BytesReceived);
    assert!(!rig.subscriber.caught_up());
    rig.now += SECOND;
    assert_eq!(rig.input(Input::Tick), [Output::Close(LeaveReason::Behind), Output::Disconnected]);
}

#[test]
fn lag_is_measured_from_the_heartbeat_time() {
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    rig.now = at(50_000_000);
    rig.expect_dial();
    rig.input(Input::BytesReceived);
    assert_eq!(rig.input(Input::Comment(" hello")), []);
    assert_eq!((rig.subscriber.lag(rig.now), rig.subscriber.caught_up()), (None, false));
    assert_eq!(rig.input(Input::Comment(" heard 49500")), [Output::SourceAlive(at(49_500_000))]);
    assert_eq!(rig.subscriber.lag(rig.now), Some(SECOND / 2));
    assert_eq!(
        rig.input(Input::Comment("heard 99000")),
        [Output::SourceAlive(rig.now)],
        "a heartbeat from a clock that is ahead counts as now"
    );
    rig.input(Input::Disconnected);
    rig.now += 3 * SECOND;
    assert_eq!((rig.subscriber.lag(rig.now), rig.subscriber.caught_up()), (Some(3 * SECOND), false));
}

/// The local Unix clock is an hour slow. Lag that arises after the first heartbeat is still measured.
#[test]
fn lag_grows_with_a_local_clock_that_is_an_hour_slow() {
    const HOUR: u64 = 3_600_000_000;
    const MICROS_PER_SECOND: u64 = 1_000_000;
    let mut rig = Rig::new(settings(SourceKind::Relay, 1), 0);
    rig.now = at(50_000_000);
    let unix = UnixMicros::from_micros(2 * HOUR);
    rig.subscriber.set_anchor(Anchor { monotonic: rig.now, unix });
    rig.expect_dial();
    rig.input(Input::BytesReceived);
    let heartbeat = |seconds: u64| format!("heard {}", (3 * HOUR / MICROS_PER_SECOND + seconds) * 1000);
    assert_eq!(rig.input(Input::Comment(&heartbeat(0))), [Output::SourceAlive(rig.now)]);
    rig.now += 4 * SECOND;
    assert_eq!(rig.input(Input::Comment(&heartbeat(1))), [Output::SourceAlive(rig.now - 3 * SECOND)]);
    assert_eq!(rig.subscriber.lag(rig.now), Some(3 * SECOND));
    assert_eq!(
        rig.subscriber.source_alive_unix(),
        Some(UnixMicros::from_micros(3 * HOUR + MICROS_PER_SECOND))
    );
}

/// A simulated source of the random histories.
#[derive(Debug, Clone)]
struct TestSource {
    /// Identifies the history, which determines the digests.
    history: u64,
    first: EventNumber,
    last: EventNumber,
}

#[derive(Debug, Clone)]
enum Step {
    Deliver(u8),
    Skip,
    Unreadable,
    Heartbeat,
    Disconnect,
    Malformed,
    Grow { source: usize, events: u64 },
    Forget { source: usize, events: u64 },
    Replace { source: usize },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1..5u8).prop_map(Step::Deliver),
        1 => Just(Step::Skip),
        1 => Just(Step::Unreadable),
        2 => Just(Step::Heartbeat),
        1 => Just(Step::Disconnect),
        1 => Just(Step::Malformed),
        4 => (0..3usize, 1..6u64).prop_map(|(source, events)| Step::Grow { source, events }),
        1 => (0..3usize, 1..20u64).prop_map(|(source, events)| Step::Forget { source, events }),
        1 => (0..3usize).prop_map(|source| Step::Replace { source }),
        6 => (1..4_000u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..250)
}

/// The simulation: sources, the subscriber's connection, and a simple record of the applied events.
struct World {
    rig: Rig,
    sources: Vec<TestSource>,
    connected: Option<usize>,
    /// Events that the connection sends before those from `next` on.
    queue: Vec<EventMetadata>,
    next: EventNumber,
    /// For each event number, whether the event was applied (otherwise reported missing). Cleared with each history.
    applied: Vec<bool>,
    /// The history of the last applied event. Unknown after a snapshot or a gap.
    history: Option<u64>,
}

impl World {
    fn event(&self, source: usize, number: EventNumber) -> EventMetadata {
        let digest = self.sources[source].history << 32 | number;
        EventMetadata { number: Some(number), digest: Some(digest), is_full_list: false }
    }

    fn carry_out(&mut self, input_event: Option<EventMetadata>) {
        for output in std::mem::take(&mut self.rig.out) {
            match output {
                Output::Dial(subscription) => {
                    assert_eq!(self.rig.subscriber.cursor(), self.applied.len() as u64);
                    self.answer(&subscription);
                }
                Output::Close(_) | Output::Disconnected => {
                    self.connected = None;
                    self.queue.clear();
                }
                Output::SourceAlive(_) => {}
                Output::Gap { after, reason } => {
                    assert_eq!(after, self.applied.len() as u64, "a gap begins after the last event");
                    match reason {
                        GapReason::EventsMissing { next } => self.applied.resize(next as usize - 1, false),
                        GapReason::OtherHistory | GapReason::HistoryUnknown => self.applied.clear(),
                    }
                    self.history = None;
                }
                Output::Apply(number) => {
                    let input_event = input_event.expect("an event was handed in");
                    assert_eq!(input_event.number, Some(number));
                    assert_eq!(
                        self.applied.len() as u64 + 1,
                        number,
                        "in order, once, without a missing event"
                    );
                    self.applied.push(true);
                    let history =
                        input_event.digest.map(|digest| digest >> 32).filter(|_| !input_event.is_full_list);
                    let same = self.history.is_none() || self.history == history;
                    assert!(same, "without a gap, an event follows one of the same history");
                    self.history = history;
                }
                Output::Skip => assert_eq!(input_event.map(|input_event| input_event.number), Some(None)),
            }
        }
        assert_eq!(self.rig.subscriber.cursor(), self.applied.len() as u64);
    }

    /// Answers a request like a relay.
    fn answer(&mut self, request: &Subscription) {
        let source = usize::from(request.source.port());
        let test_source = self.sources[source].clone();
        let expected_digest = self.event(source, request.after).digest;
        let differs = request.if_match.is_some_and(|digest| Some(digest) != expected_digest);
        // A log has the digest of the event before its range.
        let in_log = (test_source.first - 1..=test_source.last).contains(&request.after);
        let status = if request.after > test_source.last {
            503
        } else if differs && in_log {
            412
        } else {
            200
        };
        if status != 200 {
            self.step(Input::Refused { status, retry_after: None }, None);
            return;
        }
        self.connected = Some(source);
        if request.after + 1 < test_source.first {
            let snapshot = EventMetadata { is_full_list: true, ..self.event(source, test_source.last) };
            self.queue = vec![snapshot];
            self.next = test_source.last + 1;
        } else {
            self.next = request.after + 1;
        }
    }

    fn step(&mut self, input: Input<'_>, input_event: Option<EventMetadata>) {
        self.rig.subscriber.handle(self.rig.now, input, &mut self.rig.out);
        self.carry_out(input_event);
    }

    fn deliver(&mut self) {
        let Some(source) = self.connected else { return };
        let event = match self.queue.pop() {
            Some(event) => event,
            None if self.next <= self.sources[source].last => {
                self.next += 1;
                self.event(source, self.next - 1)
            }
            None => return,
        };
        self.step(Input::BytesReceived, None);
        self.step(Input::Event(event), Some(event));
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Deliver(count) => (0..count).for_each(|_| self.deliver()),
            Step::Skip => self.next += 1,
            Step::Unreadable if self.connected.is_some() => {
                let event = EventMetadata { number: None, digest: None, is_full_list: false };
                self.step(Input::Event(event), Some(event));
            }
            Step::Heartbeat if self.connected.is_some() => self.step(Input::Comment("heard 1"), None),
            Step::Disconnect if self.connected.take().is_some() => self.step(Input::Disconnected, None),
            Step::Malformed if self.connected.is_some() => self.step(Input::Malformed, None),
            Step::Unreadable | Step::Heartbeat | Step::Disconnect | Step::Malformed => {}
            Step::Grow { source, events } => self.sources[source].last += events,
            Step::Forget { source, events } => {
                let test_source = &mut self.sources[source];
                test_source.first = (test_source.first + events).min(test_source.last);
            }
            Step::Replace { source } => {
                self.sources[source] =
                    TestSource { history: self.sources[source].history + 1, first: 1, last: 1 };
                if self.connected == Some(source) {
                    self.connected = None;
                    self.step(Input::Disconnected, None);
                }
            }
            Step::Wait(milliseconds) => self.wait(Duration::from_millis(milliseconds)),
        }
    }

    fn wait(&mut self, pause: Duration) {
        let until = self.rig.now + pause;
        while let Some(due) = self.rig.subscriber.next_due().filter(|due| *due <= until) {
            self.rig.now = self.rig.now.max(due);
            self.step(Input::Tick, None);
        }
        self.rig.now = until;
    }
}

proptest! {
    /// E1 and E2: under all simulated failures, events are applied in order and once, and missing events are reported.
    #[test]
    fn every_event_is_applied_once_in_order_or_reported_missing(steps in steps(), seed in any::<u64>()) {
        let sources = shuffled((0..3).map(address).collect(), seed);
        let settings = SubscriberSettings { sources, ..settings(SourceKind::Relay, 3) };
        let rig = Rig { now: START, subscriber: Subscriber::new(START, settings, 0, seed), out: Vec::new() };
        let sources = vec![TestSource { history: 1, first: 1, last: 3 }; 3];
        let mut world = World {
            rig,
            sources,
            connected: None,
            queue: Vec::new(),
            next: 1,
            applied: Vec::new(),
            history: None,
        };
        steps.iter().for_each(|step| world.play(step));
        // Once all sources are available with the same history, the subscriber catches up.
        let last = world.sources.iter().map(|test_source| test_source.last).max().unwrap_or(0).max(world.rig.subscriber.cursor());
        world.sources = vec![TestSource { history: 99, first: 1, last }; 3];
        world.play(&Step::Disconnect);
        for _ in 0..60 {
            world.wait(SECOND);
            (0..last + 1).for_each(|_| world.deliver());
        }
        prop_assert_eq!(world.rig.subscriber.cursor(), last);
    }
}
