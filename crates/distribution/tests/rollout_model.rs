//! Model check of C1, C4 and C6 of `docs/design/configuration-events.md`: a rollout, a relay's log, and three gateways
//! that read, report, restart and reject documents, in every order. Planted faults must be detected.
mod common;
use common::documents::{changes, document, id, wanted, Gateway, BAD};
use common::{compacted, list, read, store_json, START};
use larchway::MonotonicTime;
use larchway_distribution::batch::placeholder;
use larchway_distribution::configuration::{
    Document, Observation, Rollout, RolloutInput, RolloutOutput, RolloutPlan, RolloutState,
};
use larchway_distribution::log::{EventLog, LogLimits};
use larchway_distribution::positions::{PositionLimits, PositionReport, Positions};
use larchway_distribution::{Event, EventNumber};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["z-1", "z-2", "z-3"];
const TIME_STEP: Duration = Duration::from_secs(1);
/// Maximum number of time steps.
const MAX_STEPS: u8 = 2;
/// Maximum number of gateway restarts.
const MAX_FAULTS: u8 = 1;
/// Small enough that a restarted gateway receives a snapshot.
const LOG: LogLimits = LogLimits { events: 3, bytes: 1 << 20 };
const NEW_VERSION: u64 = 2;

/// A fault planted to check that the model detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    Nothing,
    /// A relay's snapshot has no documents.
    SnapshotWithoutDocuments,
    /// A staged version replaces the version for all gateways in the log.
    StagedReplacesVersionForAll,
    /// The rollout considers positions but no rejections.
    RejectionsNotObserved,
    /// A gateway reports a position before it has tried the documents of its event.
    PositionBeforeDecision,
    /// An upstream relay drops disconnected gateways from its report immediately.
    LostGatewaysNotCounted,
}

struct World {
    planted_fault: PlantedFault,
    /// Data derived from each history, cached because many states share the same history.
    derived: Mutex<BTreeMap<Vec<Arc<str>>, Arc<Derived>>>,
}

/// Data derived from a history.
struct Derived {
    events: Vec<Event>,
    log: EventLog,
    /// The wanted documents of each gateway.
    wanted: Vec<BTreeMap<String, (EventNumber, Document)>>,
}

impl Derived {
    fn new(history: &[Arc<str>]) -> Derived {
        let events: Vec<Event> = history.iter().map(|data| read(data)).collect();
        let mut log = EventLog::new(LOG);
        for event in &events {
            log.append(event.clone()).expect("in order");
        }
        let wanted = ZONES.iter().map(|zone| wanted(&events, &format!("g-{zone}"), zone)).collect();
        Derived { events, log, wanted }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GatewayState {
    gateway: Gateway,
    reported: Option<Report>,
    connected: bool,
    /// Whether the gateway has ever had the new version in force.
    has_applied: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Report {
    applied: EventNumber,
    observation: Observation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Seen {
    /// C1: a gateway that has read the complete history does not have its documents in force.
    other_documents: bool,
    /// C6: the next stage or completion was reached before all gateways of the previous stage had applied the version.
    too_early: bool,
    /// C6: a stage was published after the halt.
    stage_after_halt: bool,
    completed: bool,
    halted: bool,
    rolled_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    history: Vec<Arc<str>>,
    gateways: Vec<GatewayState>,
    rollout: Rollout,
    steps: u8,
    faults: u8,
    seen: Seen,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    /// A gateway reads the next event or a snapshot, and reports its position.
    Deliver(usize),
    Restart(usize),
    Observe,
    /// One time step passes.
    Pass,
    /// An operator publishes another document.
    PublishOther,
    RollBack,
}

/// A plan with stages for the first zone, for the first two zones, and for all gateways.
fn plan() -> RolloutPlan {
    RolloutPlan {
        id: id("a"),
        version: NEW_VERSION,
        content: Some(format!("\"{BAD}\"").into()),
        previous: Some("1".into()),
        stages: RolloutPlan::stages(&[], &[ZONES[0], ZONES[1]].map(str::to_string)),
        minimum_soak: TIME_STEP,
        tolerated_rejections: 0,
        max_stage_time: 2 * TIME_STEP,
        roll_back_when_halted: true,
    }
}

fn observation(applied: EventNumber, gateway: &Gateway, name: &str) -> Observation {
    PositionReport::of_gateway(name, applied).with_documents(&gateway.documents).observation()
}

impl State {
    fn now(&self) -> MonotonicTime {
        START + u32::from(self.steps) * TIME_STEP
    }

    fn next_number(&self) -> EventNumber {
        self.history.len() as EventNumber + 1
    }

    fn publish(&mut self, document: Document) {
        self.history.push(changes(self.next_number(), [document]).data);
    }

    /// Passes an input to the rollout and carries out its outputs.
    fn drive(&mut self, input: RolloutInput) {
        let was_halted =
            matches!(self.rollout.state(), RolloutState::Halted | RolloutState::RollingBack { .. });
        let mut out = Vec::new();
        self.rollout.handle(self.now(), input, &mut out);
        for output in out {
            match output {
                RolloutOutput::Publish(document) => {
                    self.seen.stage_after_halt |= was_halted;
                    self.check_stage_before(document.version.stage as usize);
                    self.publish(document);
                }
                RolloutOutput::RollBack(document) => self.publish(document),
                RolloutOutput::Halted(_) => self.seen.halted = true,
                RolloutOutput::Completed => {
                    self.check_stage_before(self.rollout.plan().stages.len() + 1);
                    self.seen.completed = true;
                }
                RolloutOutput::RolledBack => self.seen.rolled_back = true,
            }
        }
    }

    /// C6: checks that all gateways of the previous stage have applied the version.
    fn check_stage_before(&mut self, stage: usize) {
        let Some(before) = stage.checked_sub(1) else { return };
        let document = self.rollout.plan().document(before);
        let targeted = |zone: &&str| document.includes(&format!("g-{zone}"), zone);
        let late = ZONES.iter().zip(&self.gateways).any(|(zone, state)| targeted(zone) && !state.has_applied);
        self.seen.too_early |= late;
    }
}

impl World {
    fn new(planted_fault: PlantedFault) -> World {
        World { planted_fault, derived: Mutex::default() }
    }

    fn derived(&self, state: &State) -> Arc<Derived> {
        let mut derived = self.derived.lock().expect("no panic");
        let entry = derived.entry(state.history.clone());
        entry.or_insert_with(|| Arc::new(Derived::new(&state.history))).clone()
    }

    fn deliver(&self, state: &mut State, index: usize) {
        let derived = self.derived(state);
        let log = &derived.log;
        let cursor = state.gateways[index].gateway.cursor;
        let event = match log.first() > cursor + 1 {
            true => self.snapshot(log),
            false => self.event(&derived, cursor + 1),
        };
        let entry = &mut state.gateways[index];
        entry.connected = true;
        entry.gateway.read(&event);
        let has_new = |document: &Document| document.version.version == NEW_VERSION && document.id == id("a");
        entry.has_applied |= entry.gateway.documents.in_force().any(has_new);
        if entry.gateway.cursor == log.last() {
            state.seen.other_documents |= !has_wanted(&entry.gateway, &derived.wanted[index]);
        }
    }

    fn snapshot(&self, log: &EventLog) -> Event {
        match self.planted_fault {
            PlantedFault::SnapshotWithoutDocuments => list(log.last(), true, &[store_json(1, "up")]),
            _ => read(&log.snapshot(log.last(), |_| true).expect("a full list")),
        }
    }

    fn event(&self, derived: &Derived, number: EventNumber) -> Event {
        let (earlier, later) = derived.events.split_at(number as usize);
        let event = &earlier[number as usize - 1];
        let staged_later = later.iter().any(|later| later.data.contains("targets"));
        if self.planted_fault == PlantedFault::StagedReplacesVersionForAll
            && staged_later
            && event.has_documents()
        {
            return read(&placeholder(number));
        }
        compacted(&derived.log, event)
    }

    fn report(&self, state: &mut State, index: usize) {
        let last = state.history.len() as EventNumber;
        let entry = &mut state.gateways[index];
        let early = u64::from(self.planted_fault == PlantedFault::PositionBeforeDecision);
        let applied = (entry.gateway.cursor + early).min(last);
        let observation = observation(applied, &entry.gateway, ZONES[index]);
        entry.reported = Some(Report { applied, observation });
    }

    /// Passes the relay's aggregated report of all gateways to the rollout.
    fn observe(&self, state: &mut State) {
        let derived = self.derived(state);
        for stored in derived.log.documents().iter().filter(|stored| stored.document.id == id("a")) {
            state.drive(RolloutInput::VersionStored {
                version: stored.document.version,
                number: stored.number,
            });
        }
        let limits = PositionLimits { lost_retention: Duration::MAX, max_lost: 9, max_advances: 9 };
        let mut positions = Positions::new(limits);
        for (index, entry) in state.gateways.iter().enumerate() {
            let Some(Report { applied, observation }) = &entry.reported else { continue };
            if self.planted_fault == PlantedFault::LostGatewaysNotCounted && !entry.connected {
                continue;
            }
            let rejections = observation.rejections.clone();
            let report = PositionReport { rejections, ..PositionReport::of_gateway(ZONES[index], *applied) };
            positions.report(START, index as u64, Some(ZONES[index]), report);
        }
        let mut observation = positions.aggregate().observation();
        if self.planted_fault == PlantedFault::RejectionsNotObserved {
            observation.rejections.clear();
        }
        state.drive(RolloutInput::Observed(observation));
    }
}

/// C1 and C3: whether all wanted documents are in force, except those that the gateway rejects.
fn has_wanted(gateway: &Gateway, wanted: &BTreeMap<String, (EventNumber, Document)>) -> bool {
    let in_force = gateway.in_force();
    let rejected = gateway.rejected();
    wanted.iter().all(|(name, (_, document))| {
        let version = in_force.get(name).map(|(version, _)| *version);
        version == Some(document.version.version) || rejected.contains(&(name.clone(), document.version))
    })
}

impl Model for World {
    type State = State;
    type Action = Action;

    /// Initial states in which all gateways can apply the new version, or all but the gateway of one zone.
    fn init_states(&self) -> Vec<State> {
        let state = |rejecting: Option<usize>| {
            let gateway = |(index, zone): (usize, &&str)| {
                let mut gateway = Gateway::new(&format!("g-{zone}"), zone);
                gateway.applies_bad = rejecting != Some(index);
                GatewayState { gateway, reported: None, connected: false, has_applied: false }
            };
            let mut state = State {
                history: vec![list(1, true, &[store_json(1, "up")]).data],
                gateways: ZONES.iter().enumerate().map(gateway).collect(),
                rollout: Rollout::new(plan()).expect("a plan"),
                steps: 0,
                faults: 0,
                seen: Seen::default(),
            };
            state.publish(document("a", 1, Some("1")));
            // All gateways are connected and up to date.
            for index in 0..ZONES.len() {
                for event in &self.derived(&state).events {
                    state.gateways[index].gateway.read(event);
                }
                state.gateways[index].connected = true;
                World::new(PlantedFault::Nothing).report(&mut state, index);
            }
            state.drive(RolloutInput::Start);
            state
        };
        [None, Some(0), Some(1), Some(2)].map(state).to_vec()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let last = state.history.len() as EventNumber;
        for (index, entry) in state.gateways.iter().enumerate() {
            if entry.gateway.cursor < last {
                actions.push(Action::Deliver(index));
            }
            if state.faults < MAX_FAULTS {
                actions.push(Action::Restart(index));
            }
        }
        actions.push(Action::Observe);
        if state.steps < MAX_STEPS {
            actions.push(Action::Pass);
        }
        if !state.history.iter().any(|data| data.contains("\"b\"")) {
            actions.push(Action::PublishOther);
        }
        if state.steps == 1 {
            actions.push(Action::RollBack);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(index) => {
                self.deliver(&mut state, index);
                self.report(&mut state, index);
            }
            Action::Restart(index) => {
                state.faults += 1;
                let entry = &mut state.gateways[index];
                let applies_bad = entry.gateway.applies_bad;
                let gateway = Gateway::new(&format!("g-{}", ZONES[index]), ZONES[index]);
                entry.gateway = Gateway { applies_bad, ..gateway };
                entry.connected = false;
            }
            Action::Observe => self.observe(&mut state),
            Action::Pass => {
                state.steps += 1;
                state.drive(RolloutInput::Tick);
            }
            Action::PublishOther => state.publish(document("b", 1, Some("1"))),
            Action::RollBack => state.drive(RolloutInput::RollBack),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(OTHER_DOCUMENTS, |_, state: &State| !state.seen.other_documents),
            Property::always(TOO_EARLY, |_, state: &State| !state.seen.too_early),
            Property::always("C6: no stage after the halt", |_, state: &State| !state.seen.stage_after_halt),
            Property::sometimes("a rollout completes", |_, state: &State| state.seen.completed),
            Property::sometimes("a rollout is halted", |_, state: &State| state.seen.halted),
            Property::sometimes("a rollout is rolled back", |_, state: &State| state.seen.rolled_back),
        ]
    }
}

const OTHER_DOCUMENTS: &str = "C1: a gateway that has read everything has the documents of the history";
const TOO_EARLY: &str = "C6: no wider stage before the narrower one is applied by all that it targets";

#[test]
fn the_invariants_hold_in_every_order() {
    let checker = World::new(PlantedFault::Nothing).checker().threads(3).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn each_planted_fault_is_found() {
    let cases = [
        (PlantedFault::SnapshotWithoutDocuments, OTHER_DOCUMENTS),
        (PlantedFault::StagedReplacesVersionForAll, OTHER_DOCUMENTS),
        (PlantedFault::RejectionsNotObserved, TOO_EARLY),
        (PlantedFault::PositionBeforeDecision, TOO_EARLY),
        (PlantedFault::LostGatewaysNotCounted, TOO_EARLY),
    ];
    for (planted_fault, property) in cases {
        let found = HasDiscoveries::AllOf(BTreeSet::from([property]));
        let checker = World::new(planted_fault).checker().threads(3).finish_when(found).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{planted_fault:?} is not found");
    }
}
