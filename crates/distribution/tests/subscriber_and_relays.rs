//! Random histories of the real subscriber and two real relays, with a source that restarts with a different history
//! (E1 and E2 of `docs/design/event-distribution.md`).
mod common;
use common::{
    list, next_inputs, parse, purge, snapshot_before_last, store_json, unix_time, Driver, StreamItem,
    MILLISECOND, SECOND, START,
};
use larchway::MonotonicTime;
use larchway_distribution::batch::Encoding;
use larchway_distribution::log::{EventLog, LogLimits};
use larchway_distribution::relay::{HistoryMismatch, Input, Output, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::subscriber::{
    self, GapReason, SourceKind, Subscriber, SubscriberSettings, Subscription,
};
use larchway_distribution::{Event, EventNumber};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const RELAYS: usize = 2;
const HISTORY_OFFSET: u64 = 100;

#[derive(Debug, Clone)]
enum Step {
    Purge(u64),
    Store(u64),
    RestartSource,
    Feed { relay: usize, events: u64, compacted: bool },
    Gap { relay: usize },
    RestartRelay { relay: usize },
    Tick,
    CutSubscriber,
    Pull { chunks: usize },
    Pass { milliseconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let relay = 0..RELAYS;
    prop_oneof![
        8 => (0..4_u64).prop_map(Step::Purge),
        2 => (0..4_u64).prop_map(Step::Store),
        1 => Just(Step::RestartSource),
        8 => (relay.clone(), 1..12_u64, any::<bool>())
            .prop_map(|(relay, events, compacted)| Step::Feed { relay, events, compacted }),
        2 => relay.clone().prop_map(|relay| Step::Gap { relay }),
        1 => relay.prop_map(|relay| Step::RestartRelay { relay }),
        4 => Just(Step::Tick),
        2 => Just(Step::CutSubscriber),
        8 => (1..4_usize).prop_map(|chunks| Step::Pull { chunks }),
        4 => (1..2000_u64).prop_map(|milliseconds| Step::Pass { milliseconds }),
    ]
}

#[derive(Debug, Default)]
struct View {
    history: Option<u64>,
    cursor: EventNumber,
    purged: BTreeMap<String, EventNumber>,
    floor: EventNumber,
}

struct World {
    settings: RelaySettings,
    history: u64,
    events: Vec<Event>,
    source: EventLog,
    relays: Vec<Driver>,
    relay_history: Vec<u64>,
    subscriber: Subscriber,
    connection: Option<(usize, u64, bool)>,
    next_id: u64,
    view: View,
    text: String,
}

fn address(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4000 + relay as u16))
}

fn history_of(data: &str) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_str(data).expect("JSON");
    if let Some(item) = value["recall"]["item"].as_str() {
        return Some(u64::from_str_radix(item, 16).expect("hex") / HISTORY_OFFSET);
    }
    let host = value["roster"]["hosts"].get(0)?["host"].as_str()?;
    Some(u64::from_str_radix(&host[2..], 16).expect("hex") / HISTORY_OFFSET)
}

impl World {
    fn new(events: usize) -> World {
        let settings = RelaySettings {
            log: LogLimits { events, bytes: 1 << 20 },
            max_batches: 2,
            page_events: 4,
            batch_interval: 100 * MILLISECOND,
            ..RelaySettings::default()
        };
        let subscriber = SubscriberSettings {
            sources: (0..RELAYS).map(address).collect(),
            kind: SourceKind::Relay,
            verify: true,
            restart_history: true,
            gzip: false,
            scope: None,
            max_backoff: SECOND,
        };
        let mut world = World {
            relays: (0..RELAYS).map(|_| Driver::new(Relay::new(settings.clone()))).collect(),
            relay_history: vec![0; RELAYS],
            subscriber: Subscriber::new(START, subscriber, 0, 1),
            settings,
            history: 0,
            events: Vec::new(),
            source: EventLog::new(LogLimits { events: 1 << 20, bytes: 1 << 30 }),
            connection: None,
            next_id: 1,
            view: View::default(),
            text: String::new(),
        };
        world.start_history();
        world
    }

    fn start_history(&mut self) {
        self.events.clear();
        self.source = EventLog::new(LogLimits { events: 1 << 20, bytes: 1 << 30 });
        let store = store_json(self.history * HISTORY_OFFSET, "up");
        self.append(list(1, true, &[store]));
    }

    fn append(&mut self, event: Event) {
        self.source.append(event.clone()).expect("in order");
        self.events.push(event);
    }

    fn next_number(&self) -> EventNumber {
        self.events.len() as EventNumber + 1
    }

    fn now(&self) -> MonotonicTime {
        self.relays[0].now
    }

    fn input(&mut self, relay: usize, input: Input) {
        let out = self.relays[relay].input(input);
        self.handle_outputs(relay, out);
    }

    fn handle_outputs(&mut self, relay: usize, out: Vec<Output>) {
        for output in out {
            let Some((connected, id, accepted)) = &mut self.connection else { return };
            if *connected != relay {
                return;
            }
            match output {
                Output::Accept(output_id) if output_id == *id => *accepted = true,
                Output::Disconnect { id: output_id, .. } if output_id == *id => {
                    self.connection = None;
                    self.feed_subscriber(subscriber::Input::Disconnected);
                }
                Output::Reject { id: output_id, reason, retry_after } if output_id == *id => {
                    self.connection = None;
                    let input = subscriber::Input::Refused {
                        status: reason.status(),
                        retry_after: Some(retry_after),
                    };
                    self.feed_subscriber(input);
                }
                _ => {}
            }
        }
    }

    /// Passes an input to the subscriber. Returns whether its event is to be applied.
    fn feed_subscriber(&mut self, input: subscriber::Input<'_>) -> bool {
        let mut out = Vec::new();
        let now = self.now();
        self.subscriber.handle(now, input, &mut out);
        let mut apply = false;
        for output in out {
            match output {
                subscriber::Output::Dial(subscription) => self.dial(subscription),
                subscriber::Output::Close(_) => self.close_connection(),
                subscriber::Output::Gap { reason, .. } => {
                    let next = match reason {
                        GapReason::EventsMissing { next } => Some(next),
                        GapReason::OtherHistory | GapReason::HistoryUnknown => None,
                    };
                    // All applied state is discarded. A snapshot's number may be lower than the cursor.
                    let cursor = next.map_or(0, |next| self.view.cursor.min(next - 1));
                    self.view = View { floor: next.unwrap_or(0), cursor, ..View::default() };
                }
                subscriber::Output::Apply(_) => apply = true,
                subscriber::Output::Skip => panic!("no event is unreadable in this test"),
                subscriber::Output::SourceAlive(_) | subscriber::Output::Disconnected => {}
            }
        }
        apply
    }

    fn close_connection(&mut self) {
        self.text.clear();
        if let Some((relay, id, _)) = self.connection.take() {
            self.input(relay, Input::SubscriberDisconnected(id));
        }
    }

    fn dial(&mut self, subscription: Subscription) {
        self.close_connection();
        let relay = usize::from(subscription.source.port() - 4000);
        let id = self.next_id;
        self.next_id += 1;
        self.connection = Some((relay, id, false));
        let request = SubscribeRequest {
            cursor: Some(subscription.after),
            digest: subscription.if_match,
            encoding: Encoding::Identity,
            scope: None,
            name: None,
        };
        self.input(relay, Input::Subscribe { id, request });
    }

    fn pull(&mut self, chunks: usize) {
        for _ in 0..chunks {
            let Some((relay, id, true)) = self.connection else { return };
            let now = self.relays[relay].now;
            let Some(chunk) = self.relays[relay].relay.next_chunk(now, id) else {
                self.input(relay, Input::Tick);
                return;
            };
            self.text.push_str(std::str::from_utf8(&chunk).expect("text"));
            let mut text = std::mem::take(&mut self.text);
            self.feed_subscriber(subscriber::Input::BytesReceived);
            for received in parse(&mut text) {
                if self.connection.map(|(_, connected, _)| connected) != Some(id) {
                    return;
                }
                self.handle_item(received);
            }
        }
    }

    fn handle_item(&mut self, received: StreamItem) {
        match received {
            StreamItem::Heartbeat { source_alive_ms } => {
                let comment = format!(" heard {source_alive_ms}");
                self.feed_subscriber(subscriber::Input::Comment(&comment));
            }
            StreamItem::Event { number, data } => {
                let history = history_of(&data);
                let received = subscriber::EventMetadata {
                    number: Some(number),
                    digest: history.map(|_| xxh3_64(data.as_bytes())),
                    is_full_list: data.contains("\"whole\":true"),
                };
                if self.feed_subscriber(subscriber::Input::Event(received)) {
                    self.apply(number, &data, history);
                }
            }
        }
    }

    fn apply(&mut self, number: EventNumber, data: &str, history: Option<u64>) {
        assert!(number > self.view.cursor, "E2: in order, once");
        self.view.cursor = number;
        assert!(
            history.is_none() || self.view.history.is_none() || history == self.view.history,
            "E2: histories mix at {number}"
        );
        self.view.history = self.view.history.or(history);
        let value: serde_json::Value = serde_json::from_str(data).expect("JSON");
        if let Some(item) = value["recall"]["item"].as_str() {
            self.view.purged.insert(item.to_string(), number);
        }
    }

    fn feed(&mut self, relay: usize, events: u64, compacted: bool) {
        if self.relay_history[relay] != self.history {
            self.relay_history[relay] = self.history;
            if self.relays[relay].relay.log().last() > 0 {
                let after = self.relays[relay].relay.log().last();
                let mismatch = HistoryMismatch::AllSourcesDiffer { after, reason: None };
                self.input(relay, Input::OtherHistory(mismatch));
            }
        }
        let event = |number| self.event(number, compacted);
        let inputs = next_inputs(&self.relays[relay], events, self.next_number() - 1, event);
        inputs.into_iter().for_each(|input| self.input(relay, input));
    }

    /// An event as in the source's compacted log, or in its original form.
    fn event(&self, number: EventNumber, compacted: bool) -> Event {
        let event = &self.events[number as usize - 1];
        if compacted {
            common::compacted(&self.source, event)
        } else {
            event.clone()
        }
    }

    fn feed_snapshot(&mut self, relay: usize) {
        let last = self.next_number() - 1;
        let next = self.relays[relay].relay.log().last() + 1;
        if last <= next || self.relay_history[relay] != self.history {
            return;
        }
        self.input(relay, snapshot_before_last(&self.source));
        self.feed(relay, 1, false);
    }

    fn advance(&mut self, milliseconds: u64) {
        for relay in 0..RELAYS {
            let out = self.relays[relay].advance(Duration::from_millis(milliseconds));
            self.handle_outputs(relay, out);
        }
    }

    fn run(&mut self, step: &Step) {
        let number = self.next_number();
        let offset = self.history * HISTORY_OFFSET;
        match step {
            Step::Purge(object) => self.append(purge(number, offset + object)),
            Step::Store(store) => self.append(list(number, false, &[store_json(offset + store, "up")])),
            Step::RestartSource => {
                self.history += 1;
                self.start_history();
                for relay in 0..RELAYS {
                    self.input(relay, Input::UpstreamDisconnected);
                }
            }
            Step::Feed { relay, events, compacted } => self.feed(*relay, *events, *compacted),
            Step::Gap { relay } => self.feed_snapshot(*relay),
            Step::RestartRelay { relay } => self.restart_relay(*relay),
            Step::Tick => {
                self.feed_subscriber(subscriber::Input::Tick);
            }
            Step::CutSubscriber => self.cut_subscriber(),
            Step::Pull { chunks } => self.pull(*chunks),
            Step::Pass { milliseconds } => self.advance(*milliseconds),
        }
    }

    fn cut_subscriber(&mut self) {
        if self.connection.is_some() {
            self.close_connection();
            self.feed_subscriber(subscriber::Input::Disconnected);
        }
    }

    fn restart_relay(&mut self, relay: usize) {
        if self.connection.is_some_and(|(connected, ..)| connected == relay) {
            self.connection = None;
            self.text.clear();
            self.feed_subscriber(subscriber::Input::Disconnected);
        }
        let now = self.relays[relay].now;
        self.relays[relay] = Driver { now, ..Driver::new(Relay::new(self.settings.clone())) };
    }

    fn settle(&mut self) {
        let offset = self.history * HISTORY_OFFSET;
        for _ in 0..60 {
            let number = self.next_number();
            self.append(purge(number, offset + number % 4));
            for relay in 0..RELAYS {
                self.feed(relay, u64::MAX >> 1, false);
            }
            self.advance(1500);
            self.feed_subscriber(subscriber::Input::Tick);
            self.pull(usize::MAX);
        }
    }
}

/// A leaf relay subscribes while its upstream relay is empty. It must not treat event 1, a full list, as a snapshot, so
/// that its log begins with event 1 and can serve subscribers without events.
#[test]
fn a_leaf_of_an_empty_relay_begins_its_log_with_the_first_list() {
    let mut world = World::new(20);
    let source_alive_at = unix_time(world.now());
    world.input(0, Input::Heartbeat { source_alive_at });
    world.feed_subscriber(subscriber::Input::Tick);
    world.pull(usize::MAX);
    assert!(
        matches!(world.connection, Some((0, _, true))),
        "not accepted by the empty relay: {:?}",
        world.connection
    );
    world.feed(0, 1, false);
    world.advance(200);
    world.pull(usize::MAX);
    assert_eq!((world.view.cursor, world.subscriber.gaps()), (1, 0));
    // The leaf's own log, with the events that its subscriber applied.
    let mut leaf = Driver::new(Relay::new(world.settings.clone()));
    leaf.input(Input::Event(world.events[0].clone()));
    leaf.heartbeat();
    let request = common::request(0);
    assert!(leaf.subscribe(1, request).contains(&Output::Accept(1)));
    assert_eq!((leaf.relay.log().first(), leaf.relay.log().last()), (1, 1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    #[test]
    fn the_subscriber_ends_with_the_expected_state_or_a_floor(
        steps in prop::collection::vec(step(), 1..150),
        events in 3..40_usize,
    ) {
        let mut world = World::new(events);
        for step in &steps {
            world.run(step);
        }
        world.settle();
        let view = &world.view;
        prop_assert_eq!(view.cursor, world.next_number() - 1, "caught up: {:?}", view);
        let mut last_purges = BTreeMap::new();
        for event in world.events.iter().filter(|event| event.issued.is_some()) {
            let value: serde_json::Value = serde_json::from_str(&event.data).expect("JSON");
            last_purges.insert(value["recall"]["item"].as_str().expect("item").to_string(), event.number);
        }
        for (item, number) in &last_purges {
            let covered = view.purged.get(item) == Some(number) || view.floor >= *number;
            prop_assert!(covered, "E1: purge {} of {}: {:?}", number, item, view);
        }
    }
}
