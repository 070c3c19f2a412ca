//! Invariants L1 to L3 of `docs/design/fleet.md` by exhaustion: gateways with the lease as the program has it, an
//! ensemble, time, and whatever can go wrong between them, in every order. Planted faults must be found.
use larchway::MonotonicTime;
use larchway_cluster::lease::{ClusterSize, Input, Lease, LeaseSettings};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One tick of a world.
const TICK: Duration = Duration::from_micros(1);

/// A world of so many gateways, for so many ticks; `stale`: one that wakes goes by the time it fell asleep at.
#[derive(Clone)]
struct World {
    gateways: usize,
    ticks: u64,
    first_use_delay: Duration,
    lease: Duration,
    deleted_node_hold: Duration,
    stale: bool,
    /// Pauses, kills and broken connections at most.
    faults: u8,
    /// Whether nodes are deleted by hand under sessions that live.
    hands: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    up: bool,
    paused: bool,
    /// Which of its processes this is: what is sent to an earlier one reaches nobody.
    life: u8,
    lease: Lease,
    /// The time of its last turn.
    turn: MonotonicTime,
    /// What is on its way to it, in order; and when it asked for a sync that has not reached the ensemble yet.
    inbox: VecDeque<Vec<Input>>,
    asks: Option<MonotonicTime>,
    asked: MonotonicTime,
    connected: bool,
    /// Whether it knows of its own node.
    registered: bool,
}

/// A session as the ensemble has it: of which life.
type Session = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: MonotonicTime,
    gateways: Vec<Gateway>,
    /// By gateway, the session that owns its node.
    nodes: BTreeMap<usize, Session>,
    /// Pauses, kills and broken connections so far.
    faults: u8,
    /// Sessions ended so far.
    ended: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Connect(usize),
    Ask(usize),
    Reaches(usize),
    Take(usize),
    Breaks(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    Expire(usize),
    Delete(usize),
    Remake(usize),
}

impl World {
    fn terms(&self) -> LeaseSettings {
        LeaseSettings {
            floor: 0.0,
            lease: self.lease,
            first_use_delay: self.first_use_delay,
            deleted_node_hold: self.deleted_node_hold,
        }
    }
    fn end(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.ticks)
    }
    fn fresh(&self) -> Lease {
        Lease::new(ClusterSize { all: self.gateways as u64, own_zone: self.gateways as u64, zone: 0 })
    }
}

fn name(who: usize) -> String {
    format!("g{who}")
}

/// A gateway's node exists; all are of one zone.
fn appeared(who: usize) -> Input {
    Input::NodeAppeared { name: name(who), zone: 0 }
}

impl State {
    /// Tells all that are connected, and watch, of a node.
    fn tell(&mut self, input: &Input) {
        for gateway in self.gateways.iter_mut().filter(|g| g.up && g.connected) {
            gateway.inbox.push_back(vec![input.clone()]);
        }
    }
    /// All nodes are read on a new connection, and the own one is made or looked at.
    fn read(&mut self, who: usize) {
        let mut all = vec![Input::RereadStarted];
        all.extend(self.nodes.keys().map(|who| appeared(*who)));
        all.push(Input::RereadComplete);
        let gateway = &mut self.gateways[who];
        if !gateway.registered {
            all.push(Input::Registered);
        }
        gateway.inbox.clear();
        gateway.inbox.push_back(all);
    }
    /// What a gateway uses now, of what all divide.
    fn used(&self, world: &World, who: usize) -> f64 {
        let gateway = &self.gateways[who];
        if !gateway.up || gateway.paused {
            return 0.0;
        }
        let at = if world.stale { gateway.turn } else { self.now };
        gateway.lease.share(&world.terms(), at).now(at).of_all
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gateway = Gateway {
            up: true,
            paused: false,
            life: 0,
            lease: self.fresh(),
            turn: MonotonicTime::MIN,
            inbox: VecDeque::new(),
            asks: None,
            asked: MonotonicTime::MIN,
            connected: false,
            registered: false,
        };
        vec![State {
            now: MonotonicTime::MIN,
            gateways: vec![gateway; self.gateways],
            nodes: BTreeMap::new(),
            faults: 0,
            ended: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.end() {
            actions.push(Action::Tick);
        }
        for (who, gateway) in state.gateways.iter().enumerate() {
            let session = state.nodes.get(&who);
            // The gateways are alike, so faults of one of them are enough; what is told to the other may be late.
            let faulty = who == 0 && state.faults < self.faults;
            // Sessions end when the ensemble will, also under a gateway that lives; once is enough.
            if session.is_some() && state.ended < 1 {
                actions.push(Action::Expire(who));
                if self.hands && gateway.connected {
                    actions.push(Action::Delete(who));
                }
            }
            if !gateway.up {
                actions.push(Action::Restart(who));
                continue;
            }
            if gateway.asks.is_some() && gateway.connected {
                actions.push(Action::Reaches(who));
            }
            if gateway.paused {
                actions.push(Action::Resume(who));
                continue;
            }
            match gateway.connected {
                // The node of an earlier life stands in the way until its session is over.
                false if session.is_none_or(|life| *life == gateway.life) => {
                    actions.push(Action::Connect(who));
                }
                false => {}
                true => {
                    if session.is_none() && !gateway.registered && gateway.inbox.is_empty() {
                        actions.push(Action::Remake(who));
                    }
                    if gateway.asks.is_none() && gateway.inbox.is_empty() && gateway.asked < state.now {
                        actions.push(Action::Ask(who));
                    }
                    if faulty {
                        actions.push(Action::Breaks(who));
                    }
                }
            }
            if !gateway.inbox.is_empty() {
                actions.push(Action::Take(who));
            }
            if faulty {
                actions.push(Action::Pause(who));
                actions.push(Action::Kill(who));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        state.faults += u8::from(matches!(action, Action::Breaks(_) | Action::Pause(_) | Action::Kill(_)));
        match action {
            Action::Tick => {
                state.now += TICK;
                let now = state.now;
                let awake = |g: &&mut Gateway| self.stale && !g.paused;
                state.gateways.iter_mut().filter(awake).for_each(|g| g.turn = now);
            }
            Action::Connect(who) => {
                let life = state.gateways[who].life;
                let fresh = state.nodes.insert(who, life).is_none();
                if fresh {
                    // A gateway asks for a new session when it knows that the last one is over.
                    state.gateways[who].lease.handle(now, Input::SessionEnded);
                    state.gateways[who].registered = false;
                    // Those that are connected hear of it; the own one reads all.
                    state.tell(&appeared(who));
                }
                state.gateways[who].connected = true;
                state.read(who);
            }
            Action::Ask(who) => (state.gateways[who].asks, state.gateways[who].asked) = (Some(now), now),
            Action::Reaches(who) => {
                let gateway = &mut state.gateways[who];
                let asked = gateway.asks.take()?;
                if state.nodes.get(&who) == Some(&gateway.life) {
                    gateway.inbox.push_back(vec![Input::Synced(asked)]);
                }
            }
            Action::Take(who) => {
                let gateway = &mut state.gateways[who];
                let inputs = gateway.inbox.pop_front()?;
                gateway.turn = if self.stale { now } else { MonotonicTime::MIN };
                gateway.registered |= inputs.contains(&Input::Registered);
                gateway.registered &= !inputs.contains(&Input::SessionEnded);
                inputs.into_iter().for_each(|input| gateway.lease.handle(now, input));
            }
            Action::Breaks(who) => {
                let gateway = &mut state.gateways[who];
                (gateway.connected, gateway.asks) = (false, None);
                gateway.inbox.clear();
            }
            Action::Pause(who) => state.gateways[who].paused = true,
            Action::Resume(who) => state.gateways[who].paused = false,
            Action::Kill(who) => {
                let gateway = &mut state.gateways[who];
                (gateway.up, gateway.connected, gateway.asks) = (false, false, None);
                (gateway.lease, gateway.registered) = (self.fresh(), false);
                gateway.inbox.clear();
            }
            Action::Restart(who) => {
                let gateway = &mut state.gateways[who];
                (gateway.up, gateway.paused) = (true, false);
                gateway.turn = if self.stale { now } else { MonotonicTime::MIN };
                gateway.life += 1;
            }
            Action::Expire(who) => {
                state.nodes.remove(&who)?;
                state.ended += 1;
                // Whoever owned it hears nothing more on that session.
                let gateway = &mut state.gateways[who];
                (gateway.connected, gateway.asks) = (false, None);
                gateway.inbox.clear();
                state.tell(&Input::NodeGone(name(who)));
            }
            Action::Delete(who) => {
                // By somebody's hand: the session lives, and the gateway hears of it as the others do.
                state.nodes.remove(&who)?;
                state.ended += 1;
                state.tell(&Input::NodeGone(name(who)));
                state.gateways[who].inbox.pop_back();
                state.gateways[who].inbox.push_back(vec![Input::SessionEnded, Input::NodeGone(name(who))]);
            }
            Action::Remake(who) => {
                state.nodes.insert(who, state.gateways[who].life);
                state.tell(&appeared(who));
                state.gateways[who].inbox.push_back(vec![Input::Registered]);
            }
        }
        Some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.now <= self.end()
            && state.gateways.iter().all(|g| g.life <= 1 && g.inbox.len() <= 3)
            && state.gateways.iter().map(|g| g.life).sum::<u8>() <= 1
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("shares never sum to more than 1", |world: &World, state: &State| {
                (0..world.gateways).map(|who| state.used(world, who)).sum::<f64>() <= 1.0 + 1e-9
            }),
            Property::sometimes("one takes up all that the other left", |world: &World, state: &State| {
                (0..world.gateways).any(|who| state.used(world, who) > 0.99)
                    && state.gateways.iter().any(|g| g.life > 0 || !g.up)
            }),
            Property::sometimes("all use their parts at once", |world: &World, state: &State| {
                (0..world.gateways).all(|who| state.used(world, who) > 0.0)
            }),
        ]
    }
}

fn check(world: World) -> (bool, usize) {
    let checker = world.clone().checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("shares never sum to more than 1");
    if let Some(path) = &found {
        eprintln!("{:?}", path.clone().into_actions());
    }
    let broken = found.is_some();
    if !broken {
        // What can never be reached would make the first property true of nothing.
        if world.faults > 0 {
            checker.assert_any_discovery("one takes up all that the other left");
        }
        checker.assert_any_discovery("all use their parts at once");
    }
    (broken, checker.unique_state_count())
}

const SOUND: World = World {
    gateways: 2,
    ticks: 4,
    first_use_delay: TICK,
    lease: TICK,
    deleted_node_hold: TICK,
    stale: false,
    faults: 2,
    hands: false,
};
const HANDS: World = World { faults: 0, hands: true, ..SOUND };

#[test]
fn shares_never_sum_to_more_than_one_whatever_is_lost_paused_killed_or_late() {
    let (broken, states) = check(SOUND);
    assert!(!broken, "of {states} states");
    assert!(states > 10_000, "only {states} states");
    let (broken, states) = check(HANDS);
    assert!(!broken, "of {states} states");
}

#[test]
fn a_lease_used_after_a_pause_is_found() {
    assert!(check(World { stale: true, ..SOUND }).0);
}

#[test]
fn a_wait_shorter_than_the_lease_is_found() {
    assert!(check(World { first_use_delay: Duration::ZERO, ..HANDS }).0);
}

#[test]
fn a_share_taken_up_as_soon_as_a_session_has_ended_is_found() {
    assert!(check(World { deleted_node_hold: Duration::ZERO, ..SOUND }).0);
}
