//! Model check of E1 to E3 of `docs/design/event-distribution.md`: a source, two real relays, a modelled subscriber,
//! and failures between them, in every order. Planted faults must be detected.
mod common;
use common::{list, parse, purge, read, store_json, Driver, StreamItem, MICROSECOND};
use larchway_distribution::batch::{placeholder, Encoding};
use larchway_distribution::log::LogLimits;
use larchway_distribution::relay::{
    Input, Output, RejectReason, Relay, RelaySettings, SubscribeRequest, SubscriberId,
};
use larchway_distribution::{Event, EventNumber};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

const RELAYS: usize = 2;
const SUBSCRIBER: SubscriberId = 1;

/// A fault planted to check that the model detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    Nothing,
    /// A relay forwards heartbeats although it has not read all events.
    HeartbeatWhileBehind,
    /// A subscriber moves between relays without sending a digest of its history.
    NoDigest,
    /// A subscriber without a digest, because a snapshot was its last event, retains its cursor when it moves.
    CursorWithoutDigest,
    /// A relay's log loses a purge that no later event replaces.
    PurgeLostByCompaction,
    /// A subscriber that receives a snapshot retains its earlier copies.
    SnapshotWithoutFloor,
}

/// One of the source's two histories: 0 before its restart, 1 after.
type History = u8;

struct World {
    planted_fault: PlantedFault,
    /// Maximum number of events in a history.
    events: EventNumber,
    /// Maximum number of restarts, connection failures and gaps.
    faults: u8,
    histories: [Vec<Event>; 2],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Source {
    history: History,
    last: EventNumber,
}

/// The input of a relay, sufficient to recreate the real relay.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RelayState {
    history: History,
    /// Number of the snapshot with which its log began, if any.
    snapshot: Option<EventNumber>,
    last: EventNumber,
    /// Whether the relay is connected to the source and has caught up since.
    ready: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Subscriber {
    cursor: EventNumber,
    /// Number and digest of the last event received with its own text.
    reference_event: Option<(EventNumber, u64)>,
    history: Option<History>,
    /// Number of the last purge applied in this history, by object.
    purged: BTreeMap<String, EventNumber>,
    /// Copies from before this event are invalid.
    floor: EventNumber,
    connected: Option<usize>,
    /// For each relay, whether it rejected the history since this subscriber was last accepted.
    rejected: [bool; RELAYS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Seen {
    /// E1 or E3: after a heartbeat, a purge that the source sent before it is neither applied nor before the floor.
    missed_purge: bool,
    /// E2: events of two histories were applied without a floor between them.
    mixed_histories: bool,
    /// E2: an event was applied after a later one.
    out_of_order: bool,
    heartbeat: bool,
    floor: bool,
    reset: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    source: Source,
    relays: Vec<RelayState>,
    subscriber: Subscriber,
    seen: Seen,
    faults: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Append,
    /// The source restarts with a different history.
    RestartSource,
    Read(usize),
    /// The relay was disconnected for long and receives a snapshot.
    ReadSnapshot(usize),
    Heartbeat(usize),
    KillRelay(usize),
    /// The relay's connection to the source breaks.
    CutRelay(usize),
    /// The subscriber connects and reads one chunk or all.
    Connect(usize, Chunks),
    Deliver,
    CutSubscriber,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Chunks {
    One,
    All,
}

/// A history of a list followed by purges of two alternating objects. Both histories have the same numbers.
fn history(which: History, events: EventNumber) -> Vec<Event> {
    let first = list(1, true, &[store_json(u64::from(which), "up")]);
    let object = |number| u64::from(which) * 10 + number % 2;
    std::iter::once(first).chain((2..=events).map(|number| purge(number, object(number)))).collect()
}

/// The history of an event's data; `None` for a placeholder.
fn history_of(data: &str) -> Option<History> {
    let of_second =
        data.contains("s-00000001") || data.contains("000000000000000a") || data.contains("000000000000000b");
    let of_first = data.contains("recall") || data.contains("roster");
    of_first.then_some(History::from(of_second))
}

impl World {
    fn new(planted_fault: PlantedFault, events: EventNumber, faults: u8) -> World {
        World { planted_fault, events, faults, histories: [history(0, events), history(1, events)] }
    }

    /// Recreates the real relay from the modelled relay's input.
    fn relay(&self, state: &RelayState) -> Driver {
        let settings = RelaySettings {
            log: LogLimits { events: 3, bytes: 1 << 20 },
            batch_interval: MICROSECOND,
            max_batches: 1,
            page_events: 2,
            ..RelaySettings::default()
        };
        let mut driver = Driver::new(Relay::new(settings));
        let mut next = 1;
        if let Some(number) = state.snapshot {
            let store = store_json(u64::from(state.history), "up");
            driver.input(Input::UpstreamGap(list(number, true, &[store])));
            driver.advance(MICROSECOND);
            next = number + 1;
        }
        for number in next..=state.last {
            driver.input(Input::Event(self.event(state.history, number)));
            driver.advance(MICROSECOND);
        }
        if state.ready {
            driver.heartbeat();
            driver.advance(MICROSECOND);
        }
        driver
    }

    /// An event as read by relays.
    fn event(&self, history: History, number: EventNumber) -> Event {
        let lost = self.planted_fault == PlantedFault::PurgeLostByCompaction && number == self.events;
        if lost {
            return read(&placeholder(number));
        }
        self.histories[history as usize][number as usize - 1].clone()
    }

    fn may_heartbeat(&self, state: &State, relay: usize) -> bool {
        let read = &state.relays[relay];
        let caught_up = read.history == state.source.history && read.last == state.source.last;
        caught_up || (self.planted_fault == PlantedFault::HeartbeatWhileBehind && read.last > 0)
    }

    fn read(&self, state: &mut State, relay: usize) {
        let read = &mut state.relays[relay];
        if read.history != state.source.history && read.last > 0 {
            // The relay compares the digest of its last event first and stops serving.
            *read = RelayState { history: state.source.history, snapshot: None, last: 0, ready: false };
            state.disconnect_from(relay);
            return;
        }
        read.history = state.source.history;
        read.last += 1;
    }

    fn heartbeat(&self, state: &mut State, relay: usize) {
        state.relays[relay].ready = true;
        let subscriber = &state.subscriber;
        if subscriber.connected != Some(relay) || subscriber.cursor != state.relays[relay].last {
            return;
        }
        state.seen.heartbeat = true;
        let sent = &self.histories[state.source.history as usize][..state.source.last as usize];
        let mut last_purges = BTreeMap::new();
        for event in sent.iter().filter(|event| event.issued.is_some()) {
            last_purges.insert(object(&event.data), event.number);
        }
        let same_history = subscriber.history == Some(state.source.history);
        let covered = |(object, number): (&String, &EventNumber)| {
            same_history && (subscriber.purged.get(object) == Some(number) || subscriber.floor >= *number)
        };
        state.seen.missed_purge |= !last_purges.iter().all(covered);
    }

    fn connect(&self, state: &mut State, relay: usize, chunks: Chunks) {
        let subscriber = &mut state.subscriber;
        let retains_cursor =
            matches!(self.planted_fault, PlantedFault::NoDigest | PlantedFault::CursorWithoutDigest);
        if subscriber.reference_event.is_none() && subscriber.cursor > 0 && !retains_cursor {
            // The subscriber's history is unknown: it resets its cursor, and all its copies are invalid.
            *subscriber = Subscriber { rejected: subscriber.rejected, ..Subscriber::default() };
        }
        let (cursor, digest) = match subscriber.reference_event {
            Some((number, digest)) if self.planted_fault != PlantedFault::NoDigest => (number, Some(digest)),
            _ => (subscriber.cursor, None),
        };
        subscriber.cursor = cursor;
        let request = SubscribeRequest {
            cursor: Some(cursor),
            digest,
            encoding: Encoding::Identity,
            scope: None,
            name: None,
        };
        let mut driver = self.relay(&state.relays[relay]);
        match driver.subscribe(SUBSCRIBER, request)[..] {
            [Output::Accept(_)] => {
                state.subscriber.connected = Some(relay);
                state.subscriber.rejected = [false; RELAYS];
                self.pull(state, &mut driver, chunks);
            }
            [Output::Reject { reason: RejectReason::OtherHistory, .. }] => self.rejected(state, relay),
            _ => {}
        }
    }

    /// Handles a rejected history. If all relays have rejected it, the subscriber resets its state and all its copies
    /// are invalid.
    fn rejected(&self, state: &mut State, relay: usize) {
        state.subscriber.rejected[relay] = true;
        if state.subscriber.rejected == [true; RELAYS] {
            state.subscriber = Subscriber::default();
            state.seen.reset = true;
        }
    }

    /// Continues an existing connection, so the cursor needs no verification.
    fn deliver(&self, state: &mut State, relay: usize) {
        let mut driver = self.relay(&RelayState { ready: true, ..state.relays[relay].clone() });
        let request = SubscribeRequest {
            cursor: Some(state.subscriber.cursor),
            digest: None,
            encoding: Encoding::Identity,
            scope: None,
            name: None,
        };
        driver.subscribe(SUBSCRIBER, request);
        self.pull(state, &mut driver, Chunks::All);
    }

    fn pull(&self, state: &mut State, driver: &mut Driver, chunks: Chunks) {
        let mut text = String::new();
        while let Some(chunk) = driver.relay.next_chunk(driver.now, SUBSCRIBER) {
            text.push_str(std::str::from_utf8(&chunk).expect("text"));
            if chunks == Chunks::One {
                break;
            }
        }
        for received in parse(&mut text) {
            if let StreamItem::Event { number, data } = received {
                self.apply(state, number, &data);
            }
        }
    }

    fn apply(&self, state: &mut State, number: EventNumber, data: &str) {
        let subscriber = &mut state.subscriber;
        if number <= subscriber.cursor {
            return;
        }
        let is_jump = number > subscriber.cursor + 1;
        let history = history_of(data);
        if is_jump {
            state.seen.floor = true;
            subscriber.reference_event = None;
            if self.planted_fault != PlantedFault::SnapshotWithoutFloor {
                subscriber.floor = number;
                subscriber.purged.clear();
                subscriber.history = history;
            }
        }
        let mixes_histories =
            history.is_some() && subscriber.history.is_some() && history != subscriber.history;
        state.seen.mixed_histories |= mixes_histories;
        state.seen.out_of_order |= subscriber.purged.values().any(|applied| *applied >= number);
        subscriber.history = subscriber.history.or(history);
        subscriber.cursor = number;
        if history.is_some() && !is_jump {
            subscriber.reference_event = Some((number, xxh3_64(data.as_bytes())));
        }
        if data.contains("recall") {
            subscriber.purged.insert(object(data), number);
        }
    }
}

fn object(data: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(data).expect("JSON");
    value["recall"]["item"].as_str().expect("an object").to_string()
}

impl State {
    fn disconnect_from(&mut self, relay: usize) {
        if self.subscriber.connected == Some(relay) {
            self.subscriber.connected = None;
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let relay = RelayState { history: 0, snapshot: None, last: 0, ready: false };
        vec![State {
            source: Source { history: 0, last: 1 },
            relays: vec![relay; RELAYS],
            subscriber: Subscriber::default(),
            seen: Seen::default(),
            faults: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let may_fail = state.faults < self.faults;
        if state.source.last < self.events {
            actions.push(Action::Append);
        }
        if may_fail && state.source.history == 0 {
            actions.push(Action::RestartSource);
        }
        for (relay, read) in state.relays.iter().enumerate() {
            let other = read.history != state.source.history && read.last > 0;
            if other || read.last < state.source.last {
                actions.push(Action::Read(relay));
            }
            if may_fail && !other && read.last + 2 < state.source.last {
                actions.push(Action::ReadSnapshot(relay));
            }
            if self.may_heartbeat(state, relay) {
                actions.push(Action::Heartbeat(relay));
            }
            if may_fail && read.last > 0 {
                actions.push(Action::KillRelay(relay));
            }
            if may_fail && read.ready {
                actions.push(Action::CutRelay(relay));
            }
            if state.subscriber.connected.is_none() && read.ready {
                actions.push(Action::Connect(relay, Chunks::One));
                actions.push(Action::Connect(relay, Chunks::All));
            }
        }
        if let Some(relay) = state.subscriber.connected {
            if state.relays[relay].last > state.subscriber.cursor {
                actions.push(Action::Deliver);
            }
            if may_fail {
                actions.push(Action::CutSubscriber);
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let fault = |state: &mut State| state.faults += 1;
        match action {
            Action::Append => state.source.last += 1,
            Action::RestartSource => {
                fault(&mut state);
                state.source = Source { history: 1, last: 1 };
                state.relays.iter_mut().for_each(|relay| relay.ready = false);
            }
            Action::Read(relay) => self.read(&mut state, relay),
            Action::ReadSnapshot(relay) => {
                fault(&mut state);
                let number = state.source.last - 1;
                let history = state.source.history;
                let last = state.source.last;
                state.relays[relay] = RelayState { history, snapshot: Some(number), last, ready: false };
            }
            Action::Heartbeat(relay) => self.heartbeat(&mut state, relay),
            Action::KillRelay(relay) => {
                fault(&mut state);
                let history = state.source.history;
                state.relays[relay] = RelayState { history, snapshot: None, last: 0, ready: false };
                state.disconnect_from(relay);
            }
            Action::CutRelay(relay) => {
                fault(&mut state);
                state.relays[relay].ready = false;
            }
            Action::Connect(relay, chunks) => self.connect(&mut state, relay, chunks),
            Action::Deliver => {
                let relay = state.subscriber.connected?;
                self.deliver(&mut state, relay);
            }
            Action::CutSubscriber => {
                fault(&mut state);
                state.subscriber.connected = None;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("E1, E3: no purge is missed before a heartbeat", |_, state: &State| {
                !state.seen.missed_purge
            }),
            Property::always("E2: histories do not mix", |_, state: &State| !state.seen.mixed_histories),
            Property::always("E2: events apply in order, once", |_, state: &State| !state.seen.out_of_order),
            Property::sometimes("a heartbeat arrives", |_, state: &State| state.seen.heartbeat),
            Property::sometimes("a floor arrives", |_, state: &State| state.seen.floor),
            Property::sometimes("a new history is taken over", |_, state: &State| state.seen.reset),
        ]
    }
}

const MISSED_PURGE: &str = "E1, E3: no purge is missed before a heartbeat";
const MIXED_HISTORIES: &str = "E2: histories do not mix";

#[test]
fn the_invariants_hold_in_every_order() {
    let checker = World::new(PlantedFault::Nothing, 5, 3).checker().threads(3).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn each_planted_fault_is_found() {
    let cases = [
        (PlantedFault::HeartbeatWhileBehind, MISSED_PURGE),
        (PlantedFault::NoDigest, MIXED_HISTORIES),
        (PlantedFault::CursorWithoutDigest, MIXED_HISTORIES),
        (PlantedFault::PurgeLostByCompaction, MISSED_PURGE),
        (PlantedFault::SnapshotWithoutFloor, MISSED_PURGE),
    ];
    for (planted_fault, property) in cases {
        let found = HasDiscoveries::AllOf(BTreeSet::from([property]));
        let checker =
            World::new(planted_fault, 5, 3).checker().threads(3).finish_when(found).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{planted_fault:?} is not found");
    }
}
