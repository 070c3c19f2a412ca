//! Runs a client against the simulated ensemble of the lab, in simulated time and with random faults.
use larchway::MonotonicTime;
use larchway_lab::stand::ensemble::{Ensemble, SocketAction};
use larchway_zookeeper::client::{Client, ClientConfig, ClientEvent, Input, Output, Registration};
use larchway_zookeeper::error::ProtocolError;
use larchway_zookeeper::proto::{self, Code, Connected, Credential, Reply, Request, Response, Watch};
use larchway_zookeeper::session::{self, Session};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

struct Simulation {
    client: Client,
    ensemble: Ensemble,
    now: MonotonicTime,
    connection: Option<u64>,
    last_connection: u64,
    children: BTreeMap<String, Vec<u8>>,
    /// Names of the children in the ensemble at the last check.
    present_names: BTreeSet<String>,
    /// For each child deleted between two checks, the zxid of the ensemble at the later check.
    removal_zxids: BTreeMap<String, i64>,
    /// For each reported child, the zxid of its last reported change.
    reported_zxids: BTreeMap<String, i64>,
    events: Vec<ClientEvent>,
}

impl Simulation {
    fn new(servers: usize, seed: u64) -> Self {
        let config = ClientConfig {
            servers,
            timeout: 3000 * MS,
            credentials: Vec::new(),
            registration: Some(Registration {
                base: "/fleet/edge".into(),
                name: "n1".into(),
                data: b"here".to_vec(),
            }),
            watched_paths: vec!["/stores".into()],
            sync_interval: 500 * MS,
        };
        Simulation {
            client: Client::new(config, seed),
            ensemble: Ensemble::new(servers),
            now: MonotonicTime::MIN + 1_000_000 * MS,
            connection: None,
            last_connection: 0,
            children: BTreeMap::new(),
            present_names: BTreeSet::new(),
            removal_zxids: BTreeMap::new(),
            reported_zxids: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    fn handle_input(&mut self, input: Input<'_>) {
        let mut pending_outputs = Vec::new();
        self.client.handle(self.now, input, &mut pending_outputs);
        let mut pending_outputs = VecDeque::from(pending_outputs);
        loop {
            while let Some(output) = pending_outputs.pop_front() {
                match output {
                    Output::Connect(server) => {
                        self.last_connection += 1;
                        self.connection = Some(self.last_connection);
                        self.ensemble.accept(self.last_connection, server);
                        let mut out = Vec::new();
                        self.client.handle(self.now, Input::Connected, &mut out);
                        pending_outputs.extend(out);
                    }
                    Output::Write(bytes) => {
                        if let Some(connection) = self.connection {
                            self.ensemble.receive(self.now.as_micros(), connection, &bytes);
                        }
                    }
                    Output::Disconnect(_) => {
                        self.connection
                            .take()
                            .into_iter()
                            .for_each(|connection| self.ensemble.disconnected(connection));
                    }
                    Output::Event(event) => self.record_event(event),
                }
            }
            let actions = self.ensemble.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let mut out = Vec::new();
                match action {
                    SocketAction::Write(connection, bytes) if Some(connection) == self.connection => {
                        // In two chunks or more, since a network may split writes.
                        for chunk in bytes.chunks(1 + bytes.len() / 2) {
                            self.client.handle(self.now, Input::Bytes(chunk), &mut out);
                        }
                    }
                    SocketAction::Close(connection) if Some(connection) == self.connection => {
                        self.connection = None;
                        self.client.handle(self.now, Input::ConnectionLost("closed"), &mut out);
                    }
                    _ => {}
                }
                pending_outputs.extend(out);
            }
        }
    }

    fn record_event(&mut self, event: ClientEvent) {
        match &event {
            ClientEvent::ChildChanged { name, data, stat, .. } => {
                self.children.insert(name.clone(), data.clone());
                self.reported_zxids.insert(name.clone(), stat.mzxid);
            }
            ClientEvent::ChildRemoved { name, .. } => {
                // A lagging server may report a deletion long after the ensemble executed it.
                let reported_zxid = self.reported_zxids[name];
                assert!(
                    self.removal_zxids.get(name).is_some_and(|zxid| *zxid > reported_zxid),
                    "A1: {name} was not deleted after its last report"
                );
                assert!(self.children.remove(name).is_some(), "{name} was removed but is not in the cache");
            }
            _ => {}
        }
        self.events.push(event);
    }

    /// Compares the children in the ensemble with the last check and records the zxid for those that were removed.
    fn record_removals(&mut self) {
        let present_names: BTreeSet<String> = self.stored_children().into_keys().collect();
        for name in self.present_names.difference(&present_names) {
            self.removal_zxids.insert(name.clone(), self.ensemble.zxid());
        }
        self.present_names = present_names;
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = end.min(self.now + 20 * MS);
            self.ensemble.tick(self.now.as_micros());
            self.record_removals();
            if self.client.next_due().is_some_and(|due| due <= self.now) {
                self.handle_input(Input::Tick);
            } else {
                self.handle_input(Input::Bytes(&[]));
            }
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::PutChild(n, data) => {
                self.ensemble.put(self.now.as_micros(), &format!("/stores/s{n}"), data, 7);
            }
            Step::DeleteChild(n) => self.ensemble.take(self.now.as_micros(), &format!("/stores/s{n}")),
            Step::EndOwnerSession => self.ensemble.end(self.now.as_micros(), 7),
            Step::CutConnections(server) => self.ensemble.cut(server % self.ensemble.servers.len()),
            Step::ExpireSession => {
                let own = self.client.session().id();
                self.ensemble.end(self.now.as_micros(), own);
                (0..self.ensemble.servers.len()).for_each(|server| self.ensemble.cut(server));
            }
            Step::ServerFault(server, fault) => {
                let index = server % self.ensemble.servers.len();
                let server = &mut self.ensemble.servers[index];
                match fault {
                    0 => server.stalled = !server.stalled,
                    1 => server.refusing = !server.refusing,
                    2 => server.truncates_next_frame = true,
                    n => server.lag = usize::from(*n),
                }
            }
            Step::Advance(ms) => self.advance(u32::from(*ms) * MS),
        }
        self.record_removals();
        self.handle_input(Input::Bytes(&[]));
    }

    fn restore_service(&mut self) {
        for index in 0..self.ensemble.servers.len() {
            let server = &mut self.ensemble.servers[index];
            (server.stalled, server.refusing, server.truncates_next_frame, server.lag) =
                (false, false, false, 0);
            self.ensemble.apply(index, 0);
        }
        self.advance(30_000 * MS);
    }

    fn stored_children(&self) -> BTreeMap<String, Vec<u8>> {
        let tree = self.ensemble.tree();
        let children = tree.iter().filter_map(|(path, node)| Some((path.strip_prefix("/stores/")?, node)));
        children.map(|(name, node)| (name.to_string(), node.data.clone())).collect()
    }
}

/// Runs the same cases every time; PROPTEST_CASES and PROPTEST_RNG_SEED select more or other cases.
fn deterministic_config(cases: u32) -> ProptestConfig {
    let seed = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|s| s.parse().ok()).unwrap_or(cases);
    let rng_seed = proptest::test_runner::RngSeed::Fixed(seed);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

#[derive(Debug, Clone)]
enum Step {
    PutChild(u8, Vec<u8>),
    DeleteChild(u8),
    EndOwnerSession,
    CutConnections(usize),
    ExpireSession,
    ServerFault(usize, u8),
    Advance(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..12u8, prop::collection::vec(any::<u8>(), 0..4)).prop_map(|(n, d)| Step::PutChild(n, d)),
        3 => (0..12u8).prop_map(Step::DeleteChild),
        1 => Just(Step::EndOwnerSession),
        2 => (0..3usize).prop_map(Step::CutConnections),
        1 => Just(Step::ExpireSession),
        3 => (0..3usize, 0..9u8).prop_map(|(s, f)| Step::ServerFault(s, f)),
        6 => (1..4000u16).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(deterministic_config(200))]
    /// A1 to A4: under any faults, a child is reported as removed only if it was deleted. After the service recovers,
    /// the cache equals the tree, and the own node exists and belongs to the session.
    #[test]
    fn the_cache_equals_the_tree_after_the_service_recovers(
        seed in any::<u64>(),
        persistent_watches in any::<bool>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut simulation = Simulation::new(3, seed);
        simulation.ensemble.supports_persistent_watches = persistent_watches;
        simulation.ensemble.put(simulation.now.as_micros(), "/stores", b"", 0);
        for step in &steps {
            simulation.apply_step(step);
        }
        simulation.restore_service();
        prop_assert_eq!(&simulation.children, &simulation.stored_children());
        prop_assert!(simulation.client.registered());
        let Some(own) = simulation.ensemble.tree().get("/fleet/edge/n1") else { panic!("the own node does not exist: {:?}", simulation.events) };
        prop_assert_eq!(own.stat.owner, simulation.client.session().id());
    }

    /// The client is deterministic: the same seed and steps give the same events.
    #[test]
    fn the_same_history_gives_the_same_events(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..20)) {
        let run_history = || {
            let mut simulation = Simulation::new(2, seed);
            steps.iter().for_each(|step| simulation.apply_step(step));
            simulation.events
        };
        prop_assert_eq!(run_history(), run_history());
    }

    /// K1: a reply cut off and continued with random bytes neither panics nor yields an oversized list of children.
    #[test]
    fn corrupted_bytes_neither_panic_nor_report_oversized_lists(
        bytes in prop::collection::vec(any::<u8>(), 1..120),
        cut_at in 0..60usize,
    ) {
        let (mut session, mut out) = established_session();
        let reply = Reply { xid: 1, zxid: 5, body: Ok(Response::Children(vec!["a".into()], None)) }.framed();
        session.handle(time_at(2000), session::Input::Request(1, Request::GetChildren("/s".into(), Watch::None)), &mut out);
        out.clear();
        // A reply frame that is cut off and continued with other bytes.
        let corrupted = [&reply[..cut_at.min(reply.len() - 1)], &bytes].concat();
        session.handle(time_at(3000), session::Input::Bytes(&corrupted), &mut out);
        for output in &out {
            if let session::Output::Response { body: Ok(Response::Children(names, _)), .. } = output {
                // The random bytes may complete a valid reply; then it has the requested type.
                prop_assert!(names.len() < 30);
            }
        }
    }
}

/// Returns the time this many microseconds after the earliest [`MonotonicTime`].
fn time_at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn established_session() -> (Session, Vec<session::Output>) {
    let config =
        session::SessionConfig { servers: 2, timeout: 3000 * MS, credentials: Vec::new(), window: 4 };
    let (mut session, mut out) = (Session::new(config, 1), Vec::new());
    session.handle(time_at(1000), session::Input::Tick, &mut out);
    session.handle(time_at(1000), session::Input::Connected, &mut out);
    let connected = Connected { timeout: 3000, session: 9, password: vec![1; 16] };
    session.handle(time_at(1000), session::Input::Bytes(&connected.framed()), &mut out);
    assert!(session.is_established());
    out.clear();
    (session, out)
}

#[test]
fn each_protocol_error_is_reported_and_closes_the_connection() {
    let request = Request::GetData("/s/a".into(), Watch::None);
    let data = Response::Data(b"x".to_vec(), proto::Stat::default());
    let reply = |xid, zxid| Reply { xid, zxid, body: Ok(data.clone()) }.framed();
    let raw = |content: &[u8]| [&(content.len() as u32).to_be_bytes(), content].concat();
    let cases = [
        (reply(2, 5), ProtocolError::UnexpectedXid { received: 2, expected: 1 }.to_string()),
        (raw(&[0, 0, 0, 1, 0]), "a frame ends within zxid".into()),
        (vec![0xb2, 0xd0, 0x5e, 0], "a frame of 3000000000 bytes".into()),
        (
            raw(&[&1i32.to_be_bytes()[..], &5i64.to_be_bytes(), &0i32.to_be_bytes(), &(-2i32).to_be_bytes()]
                .concat()),
            "data has a length of -2".into(),
        ),
        (
            raw(&[&1i32.to_be_bytes()[..], &5i64.to_be_bytes(), &(-9i32).to_be_bytes()].concat()),
            "error -9 is unknown".into(),
        ),
        (
            Reply { xid: proto::PING_XID, zxid: 5, body: Ok(Response::Done) }.framed(),
            "an answer to -2 where none is due".into(),
        ),
        (
            [reply(1, 90), reply(2, 80)].concat(),
            ProtocolError::StaleServer { zxid: 80, last_zxid: 90 }.to_string(),
        ),
    ];
    for (bytes, reason) in cases {
        let (mut session, mut out) = established_session();
        session.handle(time_at(2000), session::Input::Request(7, request.clone()), &mut out);
        if reason.contains("behind") {
            session.handle(time_at(2000), session::Input::Request(8, request.clone()), &mut out);
        }
        out.clear();
        session.handle(time_at(3000), session::Input::Bytes(&bytes), &mut out);
        assert!(out.contains(&session::Output::Disconnect(reason.clone())), "{reason}: {out:?}");
        // K3: all requests in flight have ended, and the next connection attempt is scheduled after a backoff.
        let ended = out
            .iter()
            .filter(|o| matches!(o, session::Output::Dropped(_) | session::Output::Response { .. }));
        assert_eq!(ended.count(), if reason.contains("behind") { 2 } else { 1 }, "{reason}");
        assert!(!session.is_established() && session.next_due().is_some_and(|due| due > time_at(3000)));
    }
}

#[test]
fn requests_beyond_the_window_are_rejected_and_a_silent_server_is_disconnected() {
    let (mut session, mut out) = established_session();
    for token in 0..6 {
        session.handle(
            time_at(2000),
            session::Input::Request(token, Request::GetData("/a".into(), Watch::None)),
            &mut out,
        );
    }
    let busy_outputs: Vec<_> = out.iter().filter(|o| matches!(o, session::Output::Busy(_))).collect();
    assert_eq!(busy_outputs, [&session::Output::Busy(4), &session::Output::Busy(5)], "K4");
    out.clear();
    // A ping is sent after a third of the time-out; the session disconnects after two thirds.
    session.handle(time_at(1_002_000), session::Input::Tick, &mut out);
    assert_eq!(out, [session::Output::Write(Request::Ping.framed(proto::PING_XID))]);
    out.clear();
    session.handle(time_at(2_001_000), session::Input::Tick, &mut out);
    assert!(
        matches!(&out[..], [session::Output::Disconnect(_), session::Output::Suspended(_), ..]),
        "K5: {out:?}"
    );
}

#[test]
fn a_service_restored_to_an_older_state_is_accepted_after_the_rollback_timeout() {
    let mut simulation = Simulation::new(2, 5);
    for n in 0..50 {
        simulation.ensemble.put(simulation.now.as_micros(), &format!("/stores/s{n}"), b"x", 7);
    }
    simulation.advance(2000 * MS);
    assert_eq!(simulation.children.len(), 50);
    simulation.ensemble = Ensemble::new(2);
    simulation.present_names.clear();
    simulation.removal_zxids = simulation.children.keys().map(|name| (name.clone(), i64::MAX)).collect();
    simulation.ensemble.put(simulation.now.as_micros(), "/stores/s1", b"x", 7);
    if simulation.connection.take().is_some() {
        simulation.handle_input(Input::ConnectionLost("restarted"));
    }
    simulation.advance(50_000 * MS);
    assert_eq!(
        simulation.children.len(),
        50,
        "the older state must not be accepted before the rollback time-out"
    );
    simulation.advance(40_000 * MS);
    assert!(simulation.events.contains(&ClientEvent::StateRolledBack));
    assert_eq!(simulation.children.keys().collect::<Vec<_>>(), ["s1"]);
}

#[test]
fn a_node_with_more_children_than_the_window_is_read_completely() {
    let mut simulation = Simulation::new(1, 5);
    for n in 0..10_000 {
        simulation.ensemble.put(simulation.now.as_micros(), &format!("/stores/s{n}"), b"0123456789", 7);
    }
    simulation.advance(2000 * MS);
    assert!(simulation.events.iter().any(|f| matches!(f, ClientEvent::Complete { children: 10_000, .. })));
    assert_eq!(simulation.children, simulation.stored_children());
}

#[test]
fn periodic_sync_makes_a_lagging_server_catch_up() {
    let mut simulation = Simulation::new(1, 5);
    simulation.ensemble.put(simulation.now.as_micros(), "/stores/s1", b"x", 7);
    simulation.advance(1100 * MS);
    simulation.ensemble.servers[0].lag = 50;
    simulation.ensemble.take(simulation.now.as_micros(), "/stores/s1");
    simulation.advance(100 * MS);
    assert!(simulation.children.contains_key("s1"), "the lagging server has not applied the deletion yet");
    simulation.advance(500 * MS);
    assert!(!simulation.children.contains_key("s1"), "A5: the sync must make the server catch up");
}

#[test]
fn credentials_prevent_other_clients_from_changing_the_own_node() {
    let mut simulation = Simulation::new(1, 5);
    let config = ClientConfig {
        servers: 1,
        timeout: 3000 * MS,
        credentials: vec![Credential { scheme: "digest".into(), secret: b"gateway:secret".to_vec() }],
        registration: Some(Registration { base: "/fleet".into(), name: "n1".into(), data: b"here".to_vec() }),
        watched_paths: Vec::new(),
        sync_interval: Duration::ZERO,
    };
    simulation.client = Client::new(config, 3);
    simulation.advance(500 * MS);
    assert!(simulation.client.registered());
    simulation.handle_input(Input::Data(b"moved".to_vec()));
    assert_eq!(simulation.ensemble.tree().get("/fleet/n1").expect("the own node exists").data, b"moved");
    // A client without the credentials is rejected.
    simulation.ensemble.accept(99, 0);
    let connect = proto::Connect { timeout: 1000, ..proto::Connect::default() };
    simulation.ensemble.receive(simulation.now.as_micros(), 99, &connect.framed());
    simulation.ensemble.receive(
        simulation.now.as_micros(),
        99,
        &Request::SetData("/fleet/n1".into(), vec![], -1).framed(1),
    );
    let rejection = Reply { xid: 1, zxid: simulation.ensemble.zxid(), body: Err(Code::NoAuth) }.framed();
    assert!(simulation.ensemble.take_actions().contains(&SocketAction::Write(99, rejection)));
}
