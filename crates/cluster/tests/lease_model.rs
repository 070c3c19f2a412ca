//! Model checking of invariants L1 to L3 of `docs/design/fleet.md`: gateways that run the production lease code, an
//! ensemble, a clock, and pauses, crashes, delays and disconnections in every order. The checker must also find
//! deliberately planted faults.
use larchway::MonotonicTime;
use larchway_cluster::lease::{ClusterSize, Input, Lease, LeaseSettings};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The time step of the model.
const TICK: Duration = Duration::from_micros(1);

/// The parameters of a model.
#[derive(Clone)]
struct LeaseModel {
    gateways: usize,
    ticks: u64,
    first_use_delay: Duration,
    lease: Duration,
    deleted_node_hold: Duration,
    /// Whether a resumed gateway still uses the time at which it was paused (a planted fault).
    stale_clock: bool,
    /// Greatest number of pauses, kills and disconnections.
    faults: u8,
    /// Whether nodes are deleted manually while their sessions live.
    manual_deletes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    up: bool,
    paused: bool,
    /// Counts the process's restarts; messages to an earlier incarnation are lost.
    incarnation: u8,
    lease: Lease,
    /// When it last handled an input; used as its clock in models with a stale clock.
    handled_at: MonotonicTime,
    /// Batches of inputs on the way to it, in order.
    inbox: VecDeque<Vec<Input>>,
    /// When it sent a sync that has not reached the ensemble yet.
    syncing: Option<MonotonicTime>,
    /// When it last sent a sync.
    synced_at: MonotonicTime,
    connected: bool,
    /// Whether it knows that its own node exists.
    registered: bool,
}

/// A session in the ensemble, identified by the incarnation of the gateway that opened it.
type Session = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: MonotonicTime,
    gateways: Vec<Gateway>,
    /// The session that owns the node of each gateway.
    nodes: BTreeMap<usize, Session>,
    /// Number of pauses, kills and disconnections so far.
    faults: u8,
    /// Number of sessions ended, or nodes deleted manually, so far.
    ended_sessions: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Connect(usize),
    Sync(usize),
    DeliverSync(usize),
    HandleInbox(usize),
    Disconnect(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    ExpireSession(usize),
    DeleteNode(usize),
    RecreateNode(usize),
}

impl LeaseModel {
    fn settings(&self) -> LeaseSettings {
        LeaseSettings {
            floor: 0.0,
            lease: self.lease,
            first_use_delay: self.first_use_delay,
            deleted_node_hold: self.deleted_node_hold,
        }
    }
    fn end_time(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.ticks)
    }
    fn new_lease(&self) -> Lease {
        Lease::new(ClusterSize { all: self.gateways as u64, own_zone: self.gateways as u64, zone: 0 })
    }
}

fn node_name(id: usize) -> String {
    format!("g{id}")
}

/// The event that a gateway's node exists; all gateways are in one zone.
fn node_appeared(id: usize) -> Input {
    Input::NodeAppeared { name: node_name(id), zone: 0 }
}

impl State {
    /// Sends an event to all connected gateways.
    fn notify(&mut self, input: &Input) {
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.up && gateway.connected) {
            gateway.inbox.push_back(vec![input.clone()]);
        }
    }
    /// On a new connection, the gateway reads all nodes and registers its own.
    fn reread_nodes(&mut self, id: usize) {
        let mut inputs = vec![Input::RereadStarted];
        inputs.extend(self.nodes.keys().map(|id| node_appeared(*id)));
        inputs.push(Input::RereadComplete);
        let gateway = &mut self.gateways[id];
        if !gateway.registered {
            inputs.push(Input::Registered);
        }
        gateway.inbox.clear();
        gateway.inbox.push_back(inputs);
    }
    /// The share that a gateway uses now.
    fn used_share(&self, model: &LeaseModel, id: usize) -> f64 {
        let gateway = &self.gateways[id];
        if !gateway.up || gateway.paused {
            return 0.0;
        }
        let lease_time = if model.stale_clock { gateway.handled_at } else { self.now };
        gateway.lease.share(&model.settings(), lease_time).now(lease_time).of_all
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gateway = Gateway {
            up: true,
            paused: false,
            incarnation: 0,
            lease: self.new_lease(),
            handled_at: MonotonicTime::MIN,
            inbox: VecDeque::new(),
            syncing: None,
            synced_at: MonotonicTime::MIN,
            connected: false,
            registered: false,
        };
        vec![State {
            now: MonotonicTime::MIN,
            gateways: vec![gateway; self.gateways],
            nodes: BTreeMap::new(),
            faults: 0,
            ended_sessions: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.end_time() {
            actions.push(Action::Tick);
        }
        for (id, gateway) in state.gateways.iter().enumerate() {
            let session = state.nodes.get(&id);
            // The gateways are symmetric, so faults of one of them suffice; events to the other may be delayed.
            let may_fail = id == 0 && state.faults < self.faults;
            // The ensemble may end a session at any time, also that of a running gateway; once suffices.
            if session.is_some() && state.ended_sessions < 1 {
                actions.push(Action::ExpireSession(id));
                if self.manual_deletes && gateway.connected {
                    actions.push(Action::DeleteNode(id));
                }
            }
            if !gateway.up {
                actions.push(Action::Restart(id));
                continue;
            }
            if gateway.syncing.is_some() && gateway.connected {
                actions.push(Action::DeliverSync(id));
            }
            if gateway.paused {
                actions.push(Action::Resume(id));
                continue;
            }
            match gateway.connected {
                // The node of an earlier incarnation prevents registration until its session has ended.
                false if session.is_none_or(|incarnation| *incarnation == gateway.incarnation) => {
                    actions.push(Action::Connect(id));
                }
                false => {}
                true => {
                    if session.is_none() && !gateway.registered && gateway.inbox.is_empty() {
                        actions.push(Action::RecreateNode(id));
                    }
                    if gateway.syncing.is_none() && gateway.inbox.is_empty() && gateway.synced_at < state.now
                    {
                        actions.push(Action::Sync(id));
                    }
                    if may_fail {
                        actions.push(Action::Disconnect(id));
                    }
                }
            }
            if !gateway.inbox.is_empty() {
                actions.push(Action::HandleInbox(id));
            }
            if may_fail {
                actions.push(Action::Pause(id));
                actions.push(Action::Kill(id));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        state.faults +=
            u8::from(matches!(action, Action::Disconnect(_) | Action::Pause(_) | Action::Kill(_)));
        match action {
            Action::Tick => {
                state.now += TICK;
                let now = state.now;
                let is_running = |gateway: &&mut Gateway| self.stale_clock && !gateway.paused;
                state.gateways.iter_mut().filter(is_running).for_each(|gateway| gateway.handled_at = now);
            }
            Action::Connect(id) => {
                let incarnation = state.gateways[id].incarnation;
                let is_new_node = state.nodes.insert(id, incarnation).is_none();
                if is_new_node {
                    // A gateway opens a new session once it knows that the last one has ended.
                    state.gateways[id].lease.handle(now, Input::SessionEnded);
                    state.gateways[id].registered = false;
                    // Connected gateways are notified; the connecting one reads all nodes below.
                    state.notify(&node_appeared(id));
                }
                state.gateways[id].connected = true;
                state.reread_nodes(id);
            }
            Action::Sync(id) => (state.gateways[id].syncing, state.gateways[id].synced_at) = (Some(now), now),
            Action::DeliverSync(id) => {
                let gateway = &mut state.gateways[id];
                let sent_at = gateway.syncing.take()?;
                if state.nodes.get(&id) == Some(&gateway.incarnation) {
                    gateway.inbox.push_back(vec![Input::Synced(sent_at)]);
                }
            }
            Action::HandleInbox(id) => {
                let gateway = &mut state.gateways[id];
                let inputs = gateway.inbox.pop_front()?;
                gateway.handled_at = if self.stale_clock { now } else { MonotonicTime::MIN };
                gateway.registered |= inputs.contains(&Input::Registered);
                gateway.registered &= !inputs.contains(&Input::SessionEnded);
                inputs.into_iter().for_each(|input| gateway.lease.handle(now, input));
            }
            Action::Disconnect(id) => {
                let gateway = &mut state.gateways[id];
                (gateway.connected, gateway.syncing) = (false, None);
                gateway.inbox.clear();
            }
            Action::Pause(id) => state.gateways[id].paused = true,
            Action::Resume(id) => state.gateways[id].paused = false,
            Action::Kill(id) => {
                let gateway = &mut state.gateways[id];
                (gateway.up, gateway.connected, gateway.syncing) = (false, false, None);
                (gateway.lease, gateway.registered) = (self.new_lease(), false);
                gateway.inbox.clear();
            }
            Action::Restart(id) => {
                let gateway = &mut state.gateways[id];
                (gateway.up, gateway.paused) = (true, false);
                gateway.handled_at = if self.stale_clock { now } else { MonotonicTime::MIN };
                gateway.incarnation += 1;
            }
            Action::ExpireSession(id) => {
                state.nodes.remove(&id)?;
                state.ended_sessions += 1;
                // The gateway receives nothing more in that session.
                let gateway = &mut state.gateways[id];
                (gateway.connected, gateway.syncing) = (false, None);
                gateway.inbox.clear();
                state.notify(&Input::NodeGone(node_name(id)));
            }
            Action::DeleteNode(id) => {
                // An operator deletes the node: the session lives on, and the gateway is notified like the others.
                state.nodes.remove(&id)?;
                state.ended_sessions += 1;
                state.notify(&Input::NodeGone(node_name(id)));
                state.gateways[id].inbox.pop_back();
                state.gateways[id].inbox.push_back(vec![Input::SessionEnded, Input::NodeGone(node_name(id))]);
            }
            Action::RecreateNode(id) => {
                state.nodes.insert(id, state.gateways[id].incarnation);
                state.notify(&node_appeared(id));
                state.gateways[id].inbox.push_back(vec![Input::Registered]);
            }
        }
        Some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.now <= self.end_time()
            && state.gateways.iter().all(|gateway| gateway.incarnation <= 1 && gateway.inbox.len() <= 3)
            && state.gateways.iter().map(|gateway| gateway.incarnation).sum::<u8>() <= 1
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("shares never sum to more than 1", |model: &LeaseModel, state: &State| {
                (0..model.gateways).map(|id| state.used_share(model, id)).sum::<f64>() <= 1.0 + 1e-9
            }),
            Property::sometimes(
                "one gateway uses all shares after the other has stopped",
                |model: &LeaseModel, state: &State| {
                    (0..model.gateways).any(|id| state.used_share(model, id) > 0.99)
                        && state.gateways.iter().any(|gateway| gateway.incarnation > 0 || !gateway.up)
                },
            ),
            Property::sometimes(
                "all gateways use leased shares at the same time",
                |model: &LeaseModel, state: &State| {
                    (0..model.gateways).all(|id| state.used_share(model, id) > 0.0)
                },
            ),
        ]
    }
}

fn check(model: LeaseModel) -> (bool, usize) {
    let checker = model.clone().checker().threads(4).spawn_bfs().join();
    let violation = checker.discovery("shares never sum to more than 1");
    if let Some(path) = &violation {
        eprintln!("{:?}", path.clone().into_actions());
    }
    let is_violated = violation.is_some();
    if !is_violated {
        // Without these states the first property would hold trivially.
        if model.faults > 0 {
            checker.assert_any_discovery("one gateway uses all shares after the other has stopped");
        }
        checker.assert_any_discovery("all gateways use leased shares at the same time");
    }
    (is_violated, checker.unique_state_count())
}

const CORRECT: LeaseModel = LeaseModel {
    gateways: 2,
    ticks: 4,
    first_use_delay: TICK,
    lease: TICK,
    deleted_node_hold: TICK,
    stale_clock: false,
    faults: 2,
    manual_deletes: false,
};
const MANUAL_DELETES: LeaseModel = LeaseModel { faults: 0, manual_deletes: true, ..CORRECT };

#[test]
fn shares_never_sum_to_more_than_one_whatever_is_lost_paused_killed_or_late() {
    let (is_violated, states) = check(CORRECT);
    assert!(!is_violated, "shares exceed 1; {states} states explored");
    assert!(states > 10_000, "only {states} states explored");
    let (is_violated, states) = check(MANUAL_DELETES);
    assert!(!is_violated, "shares exceed 1; {states} states explored");
}

#[test]
fn the_checker_finds_a_lease_used_after_a_pause() {
    assert!(check(LeaseModel { stale_clock: true, ..CORRECT }).0);
}

#[test]
fn the_checker_finds_a_first_use_delay_shorter_than_the_lease() {
    assert!(check(LeaseModel { first_use_delay: Duration::ZERO, ..MANUAL_DELETES }).0);
}

#[test]
fn the_checker_finds_a_share_reassigned_as_soon_as_a_session_has_ended() {
    assert!(check(LeaseModel { deleted_node_hold: Duration::ZERO, ..CORRECT }).0);
}
