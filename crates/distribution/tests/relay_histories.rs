//! Random histories of two relays and several subscribers, compared with the complete history and a simple filter of
//! the full list (E1 and E2 of `docs/design/event-distribution.md`, S1 and S3 of `docs/design/site-lists.md`). Stores
//! move between sites and classes under the same host name. Planted faults must be detected.
mod common;
use common::{
    group_purge, list, next_inputs, placed_store_json, purge, snapshot_before_last, Driver, Reader, View,
    MILLISECOND, SECOND,
};
use larchway_distribution::batch::Encoding;
use larchway_distribution::log::{EventLog, LogLimits};
use larchway_distribution::relay::{Input, Output, RejectReason, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::scope::{Scope, SourceScope};
use larchway_distribution::{Event, EventNumber};
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

const RELAYS: usize = 2;
const SUBSCRIBERS: usize = 4;
const SCOPE: &str = "east-and-its-sources";
const SITE: &str = "east";
const SOURCE_CLASS: &str = "hub";

/// A store and the site and class under which it is listed.
#[derive(Debug, Clone, Copy)]
struct PlacedStore {
    store: u64,
    site: Option<&'static str>,
    class: &'static str,
}

impl PlacedStore {
    fn json(self, health: &str) -> String {
        placed_store_json(self.store, self.site, self.class, health)
    }
}

fn placed_store() -> impl Strategy<Value = PlacedStore> {
    let site = prop_oneof![4 => Just(Some(SITE)), 4 => Just(Some("west")), 1 => Just(None)];
    let class = prop_oneof![4 => Just("std"), 1 => Just(SOURCE_CLASS)];
    (0..6_u64, site, class).prop_map(|(store, site, class)| PlacedStore { store, site, class })
}

/// A fault planted to check that the test detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// The scope does not include the sources of its site's stores.
    SourcesForgotten,
    /// A store that has left the scope stays listed.
    MovedStoreStays,
    /// A snapshot contains the full list in spite of the scope.
    SnapshotIgnoresScope,
}

#[derive(Debug, Clone)]
enum Step {
    Purge(u64),
    Group(u64),
    Store(PlacedStore, &'static str),
    FullList(Vec<PlacedStore>),
    /// The relay reads a number of events, from a compacted log or not.
    Feed {
        relay: usize,
        events: u64,
        compacted: bool,
    },
    /// The relay was disconnected for too long and gets a snapshot.
    Gap {
        relay: usize,
    },
    /// The relay restarts and begins with the complete history or with a snapshot.
    Restart {
        relay: usize,
        snapshot: bool,
    },
    UpstreamLost {
        relay: usize,
    },
    Connect {
        subscriber: usize,
        relay: usize,
    },
    Disconnect {
        subscriber: usize,
    },
    Pull {
        subscriber: usize,
        chunks: usize,
    },
    Pass {
        milliseconds: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let relay = 0..RELAYS;
    let subscriber = 0..SUBSCRIBERS;
    prop_oneof![
        8 => (0..6_u64).prop_map(Step::Purge),
        2 => (0..2_u64).prop_map(Step::Group),
        3 => (placed_store(), prop_oneof![4 => Just("up"), 1 => Just("removed")])
            .prop_map(|(placed_store, health)| Step::Store(placed_store, health)),
        1 => prop::collection::vec(placed_store(), 0..5).prop_map(Step::FullList),
        6 => (relay.clone(), 1..12_u64, any::<bool>())
            .prop_map(|(relay, events, compacted)| Step::Feed { relay, events, compacted }),
        1 => relay.clone().prop_map(|relay| Step::Gap { relay }),
        1 => (relay.clone(), any::<bool>()).prop_map(|(relay, snapshot)| Step::Restart { relay, snapshot }),
        1 => relay.clone().prop_map(|relay| Step::UpstreamLost { relay }),
        4 => (subscriber.clone(), relay).prop_map(|(subscriber, relay)| Step::Connect { subscriber, relay }),
        2 => subscriber.clone().prop_map(|subscriber| Step::Disconnect { subscriber }),
        8 => (subscriber, 1..4_usize).prop_map(|(subscriber, chunks)| Step::Pull { subscriber, chunks }),
        4 => (1..400_u64).prop_map(|milliseconds| Step::Pass { milliseconds }),
    ]
}

fn settings(events: usize, max_batches: usize, fault: PlantedFault) -> RelaySettings {
    let sources = SourceScope { classes: vec![SOURCE_CLASS.to_string()], sites: Vec::new() };
    let sources = (fault != PlantedFault::SourcesForgotten).then_some(sources);
    let scope = Scope { sites: vec![SITE.to_string()], sources, ..Scope::default() };
    RelaySettings {
        log: LogLimits { events, bytes: 1 << 20 },
        max_batches,
        page_events: 4,
        batch_interval: 100 * MILLISECOND,
        max_catching_up: 2,
        admission_timeout: 2 * SECOND,
        scopes: BTreeMap::from([(SCOPE.to_string(), scope)]),
        ..RelaySettings::default()
    }
}

/// A subscriber and its connection.
struct Client {
    reader: Reader,
    scope: Option<String>,
    encoding: Encoding,
    relay: Option<usize>,
    accepted: bool,
}

struct World {
    settings: RelaySettings,
    fault: PlantedFault,
    history: Vec<Event>,
    /// The source's log, which is compacted but never evicted.
    source: EventLog,
    relays: Vec<Driver>,
    clients: Vec<Client>,
    next_id: u64,
}

impl World {
    fn new(settings: RelaySettings, fault: PlantedFault) -> World {
        let client = |index: usize| {
            let encoding = if index.is_multiple_of(2) { Encoding::Identity } else { Encoding::Gzip };
            let scope = (index >= 2).then(|| SCOPE.to_string());
            let mut reader = Reader::new(0, encoding);
            reader.view.keeps_moved_stores = fault == PlantedFault::MovedStoreStays;
            Client { reader, scope, encoding, relay: None, accepted: false }
        };
        World {
            relays: (0..RELAYS).map(|_| Driver::new(Relay::new(settings.clone()))).collect(),
            clients: (0..SUBSCRIBERS).map(client).collect(),
            history: Vec::new(),
            source: EventLog::new(LogLimits { events: 1 << 20, bytes: 1 << 30 }),
            next_id: 1,
            settings,
            fault,
        }
    }

    fn append(&mut self, event: Event) {
        self.source.append(event.clone()).expect("in order");
        self.history.push(event);
    }

    fn next_number(&self) -> EventNumber {
        self.history.len() as EventNumber + 1
    }

    /// An event as in the source's compacted log, or in its original form.
    fn event(&self, number: EventNumber, compacted: bool) -> Event {
        let event = &self.history[number as usize - 1];
        if compacted {
            common::compacted(&self.source, event)
        } else {
            event.clone()
        }
    }

    fn input(&mut self, relay: usize, input: Input) {
        let out = self.relays[relay].input(input);
        self.handle_outputs(relay, out);
    }

    fn handle_outputs(&mut self, relay: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Accept(id) => self.client(relay, id).accepted = true,
                Output::Disconnect { id, .. } => self.client(relay, id).relay = None,
                Output::Reject { id, reason, .. } => {
                    // All relays have the same history in this test.
                    assert_ne!(reason, RejectReason::OtherHistory);
                    self.client(relay, id).relay = None;
                }
                Output::StopServing(reason) => panic!("{reason}"),
                Output::BatchSealed | Output::Report(_) => {}
            }
        }
    }

    fn client(&mut self, relay: usize, id: u64) -> &mut Client {
        let connected = |client: &&mut Client| client.reader.id == id && client.relay == Some(relay);
        self.clients.iter_mut().find(connected).expect("a subscriber that is connected")
    }

    fn feed(&mut self, relay: usize, events: u64, compacted: bool) {
        let event = |number| self.event(number, compacted);
        let inputs = next_inputs(&self.relays[relay], events, self.next_number() - 1, event);
        inputs.into_iter().for_each(|input| self.input(relay, input));
    }

    /// Feeds the source's snapshot with the number before its last event, then the last event.
    fn feed_snapshot(&mut self, relay: usize) {
        let last = self.next_number() - 1;
        let next = self.relays[relay].relay.log().last() + 1;
        if last <= next || !self.source.stores().is_complete() {
            return;
        }
        self.input(relay, snapshot_before_last(&self.source));
        self.feed(relay, 1, false);
    }

    fn restart(&mut self, relay: usize, snapshot: bool) {
        for client in self.clients.iter_mut().filter(|client| client.relay == Some(relay)) {
            client.relay = None;
        }
        let now = self.relays[relay].now;
        self.relays[relay] = Driver { now, ..Driver::new(Relay::new(self.settings.clone())) };
        if snapshot {
            self.feed_snapshot(relay);
        }
    }

    fn disconnect(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let Some(relay) = client.relay.take() else { return };
        let id = client.reader.id;
        self.input(relay, Input::SubscriberDisconnected(id));
    }

    fn connect(&mut self, index: usize, relay: usize) {
        self.disconnect(index);
        let id = self.next_id;
        self.next_id += 1;
        let client = &mut self.clients[index];
        let mut view = std::mem::take(&mut client.reader.view);
        // The subscriber resumes after the last event received with its own text.
        let digest = view.verified.map(|(number, digest)| {
            view.cursor = number;
            digest
        });
        let cursor = Some(view.cursor);
        client.reader = Reader { view, ..Reader::new(id, client.encoding) };
        client.relay = Some(relay);
        client.accepted = false;
        let scope = client.scope.clone();
        let request = SubscribeRequest { cursor, digest, encoding: client.encoding, scope, name: None };
        self.input(relay, Input::Subscribe { id, request });
    }

    fn pull(&mut self, index: usize, chunks: usize) {
        let client = &mut self.clients[index];
        let Some(relay) = client.relay.filter(|_| client.accepted) else { return };
        let driver = &mut self.relays[relay];
        for _ in 0..chunks {
            let floor = client.reader.view.floor;
            if !client.reader.pull(&mut driver.relay, driver.now) {
                break;
            }
            let has_jumped = client.reader.view.floor != floor;
            if self.fault == PlantedFault::SnapshotIgnoresScope && has_jumped {
                client.reader.view.stores = full_list(&driver.relay);
            }
        }
        self.input(relay, Input::Tick);
    }

    fn advance(&mut self, milliseconds: u64) {
        for relay in 0..RELAYS {
            let out = self.relays[relay].advance(Duration::from_millis(milliseconds));
            self.handle_outputs(relay, out);
        }
    }

    fn run(&mut self, step: &Step) {
        let number = self.next_number();
        match step {
            Step::Purge(object) => self.append(purge(number, *object)),
            Step::Group(group) => self.append(group_purge(number, *group)),
            Step::Store(store, health) => self.append(list(number, false, &[store.json(health)])),
            Step::FullList(stores) => {
                let entries: Vec<_> = stores.iter().map(|store| store.json("up")).collect();
                self.append(list(number, true, &entries));
            }
            Step::Feed { relay, events, compacted } => self.feed(*relay, *events, *compacted),
            Step::Gap { relay } => self.feed_snapshot(*relay),
            Step::Restart { relay, snapshot } => self.restart(*relay, *snapshot),
            Step::UpstreamLost { relay } => self.input(*relay, Input::UpstreamDisconnected),
            Step::Connect { subscriber, relay } => self.connect(*subscriber, *relay),
            Step::Disconnect { subscriber } => self.disconnect(*subscriber),
            Step::Pull { subscriber, chunks } => self.pull(*subscriber, *chunks),
            Step::Pass { milliseconds } => self.advance(*milliseconds),
        }
    }

    /// Ends all failures: new events are appended, both relays read all events, and every subscriber reads to the end.
    fn settle(&mut self) {
        for _ in 0..3 {
            let number = self.next_number();
            self.append(purge(number, 99));
            for relay in 0..RELAYS {
                self.feed(relay, u64::MAX >> 1, false);
            }
            self.advance(200);
            for index in 0..SUBSCRIBERS {
                self.settle_client(index);
            }
        }
    }

    fn settle_client(&mut self, index: usize) {
        for attempt in 0..6 {
            if self.clients[index].relay.is_none() {
                self.connect(index, attempt % RELAYS);
            }
            self.pull(index, usize::MAX);
            self.advance(200);
        }
    }
}

/// The full store list of a relay, without a scope.
fn full_list(relay: &Relay) -> BTreeMap<String, String> {
    let mut view = View::default();
    let data = relay.log().snapshot(1, |_| true);
    data.into_iter().for_each(|data| view.apply(1, &data));
    view.stores
}

/// A simple reference filter by the text of an entry.
fn in_scope(stores: &BTreeMap<String, String>, scope: Option<&String>) -> BTreeMap<String, String> {
    let is_own = |entry: &str| entry.contains("\"site\":\"east\"") || !entry.contains("\"site\"");
    let is_source = |entry: &str| entry.contains("\"class\":\"hub\"");
    stores
        .iter()
        .filter(|(_, entry)| scope.is_none() || is_own(entry) || is_source(entry))
        .map(|(host, entry)| (host.clone(), entry.clone()))
        .collect()
}

/// A random history: its steps, and the limits of a relay's log (events) and ring (batches).
type RandomHistory = (Vec<Step>, usize, usize);

fn history() -> impl Strategy<Value = RandomHistory> {
    (prop::collection::vec(step(), 1..120), 3..60_usize, 1..8_usize)
}

/// Runs a history to its end and checks that every subscriber has the expected state or a floor.
fn run_history((steps, events, ring): RandomHistory, fault: PlantedFault) -> Result<(), TestCaseError> {
    let mut world = World::new(settings(events, ring, fault), fault);
    let first = [SITE, "west", SITE, "west"].into_iter().zip(0..);
    let first = first.map(|(site, store)| placed_store_json(store, Some(site), "std", "up"));
    world.append(list(1, true, &first.collect::<Vec<_>>()));
    for step in &steps {
        world.run(step);
    }
    world.settle();
    let mut expected = View::default();
    for event in &world.history {
        expected.apply(event.number, &event.data);
    }
    for client in &world.clients {
        let view = &client.reader.view;
        prop_assert_eq!(view.cursor, expected.cursor, "caught up");
        prop_assert_eq!(&view.stores, &in_scope(&expected.stores, client.scope.as_ref()));
        for (subject, number) in &expected.purged {
            let applied = view.purged.get(subject) == Some(number);
            prop_assert!(applied || view.floor >= *number, "purge {number} of {subject}: {view:?}");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn every_subscriber_ends_with_the_expected_state_or_a_floor(history in history()) {
        run_history(history, PlantedFault::None)?;
    }
}

/// Each planted fault must be detected within the number of histories with which the property is tested.
#[test]
fn planted_faults_of_a_scope_are_found() {
    for fault in
        [PlantedFault::SourcesForgotten, PlantedFault::MovedStoreStays, PlantedFault::SnapshotIgnoresScope]
    {
        let config = ProptestConfig {
            cases: 400,
            max_shrink_iters: 0,
            failure_persistence: None,
            ..ProptestConfig::default()
        };
        let mut runner = TestRunner::new(config);
        let found = runner.run(&history(), |history| run_history(history, fault));
        assert!(found.is_err(), "{fault:?} is not found");
    }
}
