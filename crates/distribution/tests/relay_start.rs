//! Subscribers that start before their relays are ready, in virtual time: number of dials and time until they are
//! served (V1 and V3 of `docs/design/event-distribution.md`).
mod common;
use common::{list, parse, purge, store_json, Driver, StreamItem, MILLISECOND, SECOND, START};
use larchway::{mix, MonotonicTime};
use larchway_distribution::batch::Encoding;
use larchway_distribution::relay::{Input, Output, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::subscriber::{
    self, shuffled, EventMetadata, SourceKind, Subscriber, SubscriberSettings, Subscription,
};
use larchway_distribution::{event, EventNumber};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const RELAYS: usize = 3;
const LAST_EVENT: EventNumber = 20;
/// Period within which all subscribers are started.
const START_PERIOD: Duration = SECOND;
/// Duration of a simulation step.
const STEP: Duration = Duration::from_millis(5);
/// Time within which a store list change must be in force.
const LIST_CHANGE_BOUND: Duration = Duration::from_secs(4);
const MAX_BACKOFF: Duration = SECOND;

/// The behaviour of a relay's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Upstream {
    /// Sends all events and the first heartbeat after this time, then a heartbeat every second.
    ReadyAfter(Duration),
    /// Never sends anything.
    Dead,
}

/// A simulated gateway: a subscriber with its connection.
struct Follower {
    subscriber: Subscriber,
    connection: Option<Connection>,
    dials: usize,
    first_dial_at: Option<MonotonicTime>,
    served_at: Option<MonotonicTime>,
    text: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Connection {
    relay: usize,
    id: u64,
}

struct World {
    now: MonotonicTime,
    relays: Vec<Driver>,
    /// Time of the next upstream heartbeat, per relay.
    next_heartbeat_at: [Option<MonotonicTime>; RELAYS],
    followers: Vec<Follower>,
    /// Index of the follower, by connection.
    followers_by_id: BTreeMap<u64, usize>,
    next_id: u64,
}

fn address(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 4000 + relay as u16))
}

/// A subscriber that is started at a random time within [`STARTS`], with the relays in a random order.
fn follower(seed: u64) -> Follower {
    let settings = SubscriberSettings {
        sources: shuffled((0..RELAYS).map(address).collect(), seed),
        kind: SourceKind::Relay,
        verify: true,
        restart_history: true,
        gzip: false,
        scope: None,
        max_backoff: MAX_BACKOFF,
    };
    let started_at = START + Duration::from_micros(mix(seed) % START_PERIOD.as_micros() as u64);
    Follower {
        subscriber: Subscriber::new(started_at, settings, 0, seed),
        connection: None,
        dials: 0,
        first_dial_at: None,
        served_at: None,
        text: String::new(),
    }
}

impl World {
    fn new(followers: usize, upstreams: [Upstream; RELAYS]) -> World {
        let relay = |seed| {
            let mut driver = Driver::new(Relay::new(RelaySettings { seed, ..RelaySettings::default() }));
            driver.input(Input::UpstreamConnected);
            driver
        };
        let next_heartbeat_at = upstreams.map(|upstream| match upstream {
            Upstream::ReadyAfter(delay) => Some(START + delay),
            Upstream::Dead => None,
        });
        World {
            now: START,
            relays: (0..RELAYS as u64).map(relay).collect(),
            next_heartbeat_at,
            followers: (1..=followers as u64).map(follower).collect(),
            followers_by_id: BTreeMap::new(),
            next_id: 1,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            (0..RELAYS).for_each(|relay| self.step_relay(relay));
            (0..self.followers.len()).for_each(|index| self.step_follower(index));
        }
    }

    fn step_relay(&mut self, relay: usize) {
        let passed = self.relays[relay].advance(STEP);
        self.carry_out(relay, passed);
        let Some(due) = self.next_heartbeat_at[relay].filter(|due| *due <= self.now) else { return };
        self.next_heartbeat_at[relay] = Some(due + SECOND);
        if self.relays[relay].relay.log().last() == 0 {
            self.relays[relay].input(Input::Event(list(1, true, &[store_json(1, "up")])));
            for number in 2..=LAST_EVENT {
                self.relays[relay].input(Input::Event(purge(number, number)));
            }
        }
        let out = self.relays[relay].heartbeat();
        self.carry_out(relay, out);
    }

    fn carry_out(&mut self, relay: usize, outputs: Vec<Output>) {
        for output in outputs {
            let (id, input) = match output {
                Output::Reject { id, reason, retry_after } => {
                    let (status, retry_after) = (reason.status(), Some(retry_after));
                    (id, subscriber::Input::Refused { status, retry_after })
                }
                Output::Disconnect { id, .. } => (id, subscriber::Input::Disconnected),
                _ => continue,
            };
            let Some(index) = self.followers_by_id.remove(&id) else { continue };
            assert_eq!(self.followers[index].connection, Some(Connection { relay, id }));
            self.followers[index].connection = None;
            self.feed(index, input);
        }
    }

    fn step_follower(&mut self, index: usize) {
        if self.followers[index].subscriber.next_due().is_some_and(|due| due <= self.now) {
            self.feed(index, subscriber::Input::Tick);
        }
        while let Some(Connection { relay, id }) = self.followers[index].connection {
            let Some(chunk) = self.relays[relay].relay.next_chunk(self.now, id) else { break };
            self.followers[index].served_at.get_or_insert(self.now);
            self.followers[index].text.push_str(std::str::from_utf8(&chunk).expect("text"));
            self.feed(index, subscriber::Input::BytesReceived);
            let received = parse(&mut self.followers[index].text);
            received.into_iter().for_each(|item| self.handle_item(index, item));
        }
    }

    fn handle_item(&mut self, index: usize, item: StreamItem) {
        match item {
            StreamItem::Heartbeat { source_alive_ms } => {
                let comment = format!(" heard {source_alive_ms}");
                self.feed(index, subscriber::Input::Comment(&comment));
            }
            StreamItem::Event { number, data } => {
                let (digest, is_full_list) = (Some(event::digest(&data)), data.contains("\"whole\":true"));
                let event = EventMetadata { number: Some(number), digest, is_full_list };
                self.feed(index, subscriber::Input::Event(event));
            }
        }
    }

    fn feed(&mut self, index: usize, input: subscriber::Input<'_>) {
        let mut out = Vec::new();
        self.followers[index].subscriber.handle(self.now, input, &mut out);
        for output in out {
            match output {
                subscriber::Output::Dial(subscription) => self.dial(index, subscription),
                subscriber::Output::Close(_) => self.close_connection(index),
                _ => {}
            }
        }
    }

    fn dial(&mut self, index: usize, subscription: Subscription) {
        self.close_connection(index);
        let relay = usize::from(subscription.source.port() - address(0).port());
        let id = self.next_id;
        self.next_id += 1;
        let follower = &mut self.followers[index];
        follower.dials += 1;
        follower.first_dial_at.get_or_insert(self.now);
        follower.connection = Some(Connection { relay, id });
        self.followers_by_id.insert(id, index);
        let request = SubscribeRequest {
            cursor: Some(subscription.after),
            digest: subscription.if_match,
            encoding: Encoding::Identity,
            scope: None,
            name: None,
        };
        let out = self.relays[relay].subscribe(id, request);
        self.carry_out(relay, out);
    }

    fn close_connection(&mut self, index: usize) {
        let Some(Connection { relay, id }) = self.followers[index].connection.take() else { return };
        self.followers[index].text.clear();
        self.followers_by_id.remove(&id);
        let out = self.relays[relay].input(Input::SubscriberDisconnected(id));
        self.carry_out(relay, out);
    }

    fn dials(&self) -> usize {
        self.followers.iter().map(|follower| follower.dials).sum()
    }

    fn assert_all_caught_up(&self) {
        for follower in &self.followers {
            assert_eq!((follower.subscriber.cursor(), follower.subscriber.caught_up()), (LAST_EVENT, true));
        }
    }
}

/// The numbers of followers that are compared.
fn sizes(n: usize) -> [usize; 3] {
    [n, 4 * n, 16 * n]
}

#[test]
fn each_subscriber_that_starts_before_its_relays_are_ready_dials_once() {
    let delays = [600, 1200, 1900].map(Duration::from_millis);
    for followers in sizes(75) {
        let mut world = World::new(followers, delays.map(Upstream::ReadyAfter));
        world.run(8 * SECOND);
        assert_eq!(world.dials(), followers);
        world.assert_all_caught_up();
    }
}

#[test]
fn subscribers_of_a_relay_that_never_becomes_ready_are_served_by_others_in_time() {
    let ready = Upstream::ReadyAfter(600 * MILLISECOND);
    for followers in sizes(75) {
        let mut world = World::new(followers, [ready, Upstream::Dead, ready]);
        world.run(8 * SECOND);
        let first_at_dead = world.followers.iter().filter(|follower| follower.dials > 1).count();
        assert!(first_at_dead > followers / 5, "{first_at_dead}");
        assert_eq!(
            world.dials(),
            followers + first_at_dead,
            "each follower that tried the dead relay first dials once more"
        );
        assert_eq!(world.relays[1].relay.subscribers(), 0);
        for follower in &world.followers {
            let took = follower.served_at.expect("the follower is served")
                - follower.first_dial_at.expect("the follower has dialled");
            assert!(took < LIST_CHANGE_BOUND, "{took:?}");
        }
        world.assert_all_caught_up();
    }
}

#[test]
fn subscribers_of_a_relay_whose_upstream_dies_are_served_by_others_in_time() {
    let ready = Upstream::ReadyAfter(600 * MILLISECOND);
    for followers in sizes(75) {
        let mut world = World::new(followers, [ready; RELAYS]);
        world.run(4 * SECOND);
        world.next_heartbeat_at[1] = None;
        world.relays[1].input(Input::UpstreamDisconnected);
        let connected = |world: &World| world.relays[1].relay.subscribers();
        let moved = connected(&world);
        world.run(LIST_CHANGE_BOUND);
        assert_eq!(
            (connected(&world), world.dials()),
            (0, followers + moved),
            "each follower moves with one dial"
        );
        world.assert_all_caught_up();
    }
}
