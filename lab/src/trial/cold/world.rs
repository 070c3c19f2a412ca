//! The processes of the trial: gateways that know nothing of each other, the store that starts and the warm ones.
use super::budget::{COLD_START_SHARE, WARM_UP_MS};
use super::scenario::{Scenario, StartKnownFrom, CLIENT_CONNECTIONS, GATEWAY_DESCRIPTORS};
use super::{capacity, OBJECTIVE_MS, WORKERS};
use crate::clock::now;
use crate::load::{self, Load, LoadResult};
use crate::stand::bulletin::Bulletin;
use crate::stand::store::Store;
use crate::trial::descriptors::{DescriptorBudget, Reservation};
use crate::trial::edge_stores::settings;
use crate::trial::gateway::Gateway;
use crate::trial::list_entry::ListEntry;
use crate::trial::scratch_folder::ScratchFolder;
use crate::trial::wall_clock;
use crate::trial::TrialError;
use larchway::Micros;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::thread::JoinHandle;

/// Bytes of an object.
const BODY_BYTES: usize = 500;
const OBJECTS: u64 = 20_000;
/// The name of the store that starts.
const STARTED_NAME: &str = "s-a0";

/// What a gateway knows when it is started, and by which clock.
#[derive(Debug, Clone, Copy)]
pub(super) enum Knowledge {
    /// The list from before the store's start.
    BeforeStart,
    /// What the scenario says of gateways that are started again.
    AfterStart,
}

/// The configuration's part about the list, and the source of its changes.
struct KnownList<'a> {
    known: String,
    source: &'a Bulletin,
}

/// A store before many gateways.
pub(super) struct World {
    bulletin: Bulletin,
    /// Sends the complete list, once the store has started, as its first event.
    late_bulletin: Bulletin,
    /// The store that starts.
    pub store: Store,
    warm: Vec<Store>,
    scenario: Scenario,
    /// When the store was listed, µs of the Unix clock.
    started_at: OnceLock<Micros>,
    folder: ScratchFolder,
    /// Released last, once all that was opened is closed.
    _descriptors: Reservation<'static>,
}

impl World {
    /// Starts the stores, the one that is to start not listed yet, as soon as there are descriptors for the scenario;
    /// `name` distinguishes the files from those of others.
    pub fn start(name: &str, scenario: &Scenario) -> Result<Self, TrialError> {
        let descriptors = DescriptorBudget::of_process()?.reserve(scenario.descriptors())?;
        let folder = ScratchFolder::new(&format!("cold-{name}"))?;
        let bulletin = || Bulletin::start().map_err(TrialError::io("the bulletin"));
        let store = || {
            let store = Store::with_service_time(scenario.service, BODY_BYTES, WORKERS);
            store.map_err(TrialError::io("a box"))
        };
        let warm = (0..scenario.warm_stores).map(|_| store()).collect::<Result<_, _>>()?;
        let world = World {
            bulletin: bulletin()?,
            late_bulletin: bulletin()?,
            store: store()?,
            warm,
            scenario: scenario.clone(),
            started_at: OnceLock::new(),
            folder,
            _descriptors: descriptors,
        };
        world.bulletin.roster(true, &world.warm_entries());
        Ok(world)
    }

    /// Lists the store as one that starts now, and returns the time.
    pub fn list_store(&self) -> Micros {
        let started_at = *self.started_at.get_or_init(now);
        self.bulletin.roster(false, &[self.started_entry()]);
        self.late_bulletin.roster(true, &self.all_entries());
        started_at
    }

    fn warm_entries(&self) -> Vec<String> {
        let entry = |(index, store)| entry(&format!("s-w{index}"), store, 0);
        self.warm.iter().enumerate().map(entry).collect()
    }

    fn started_entry(&self) -> String {
        entry(STARTED_NAME, &self.store, self.started_at.get().copied().unwrap_or(0))
    }

    fn all_entries(&self) -> Vec<String> {
        self.warm_entries().into_iter().chain([self.started_entry()]).collect()
    }

    fn known_list(&self, knowledge: Knowledge) -> KnownList<'_> {
        let source = &self.bulletin;
        let list = |no: usize, complete: bool, hosts: Vec<String>| {
            let hosts = hosts.join(",");
            format!(r#"{{"no":{no},"roster":{{"seq":{no},"whole":{complete},"hosts":[{hosts}]}}}}"#)
        };
        let known = |last: usize, items: &[String]| {
            format!(r#","known":{{"no":{last},"items":[{}]}}"#, items.join(","))
        };
        let before = list(1, true, self.warm_entries());
        let known = match (knowledge, self.scenario.start_known_from) {
            (Knowledge::BeforeStart, _) | (_, StartKnownFrom::Change) => known(1, &[before]),
            (_, StartKnownFrom::KnownList) => known(2, &[list(2, true, self.all_entries())]),
            (_, StartKnownFrom::KnownChange) => {
                known(2, &[before, list(2, false, vec![self.started_entry()])])
            }
            (_, StartKnownFrom::FirstList) => {
                return KnownList { known: String::new(), source: &self.late_bulletin };
            }
        };
        KnownList { known, source }
    }

    /// Starts a gateway.
    pub fn start_gateway(&self, number: usize, knowledge: Knowledge) -> Result<Gateway, TrialError> {
        let all = self.scenario.gateways;
        let settings = settings(all)
            .replace("\"startCapacity\":0.3", &format!("\"startCapacity\":{COLD_START_SHARE}"))
            .replace("\"warmWithinMs\":10000", &format!("\"warmWithinMs\":{WARM_UP_MS}"))
            .replace("\"targetMs\":250", &format!("\"targetMs\":{OBJECTIVE_MS}"))
            .replace("\"deadlineMs\":2000", &format!("\"deadlineMs\":{}", 2 * OBJECTIVE_MS));
        let KnownList { known, source } = self.known_list(knowledge);
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":{GATEWAY_DESCRIPTORS}}},
            "bulletin":"{}"{known},"settings":{{"balancers":{all},"me":{number},{settings}}}}}"#,
            self.seed_of(number),
            source.address,
        );
        let clock_ahead = match knowledge {
            Knowledge::BeforeStart => 0,
            Knowledge::AfterStart => self.scenario.clock_ahead,
        };
        let environment =
            wall_clock::ahead_by(clock_ahead, &self.folder.path().join(format!("g{number}.faults")))?;
        Gateway::start_in(self.folder.path(), number, &config, &[], &environment)
    }

    /// The seed in a gateway's configuration, new with each start.
    fn seed_of(&self, number: usize) -> u64 {
        if self.scenario.equal_seeds {
            return self.scenario.seed;
        }
        larchway::mix(self.scenario.seed ^ number as u64 ^ now() << 16)
    }

    /// Idle clients of a gateway, as many as the scenario has; some may be turned away.
    pub fn crowd(&self, gateway: &Gateway) -> Vec<TcpStream> {
        (0..self.scenario.crowd).filter_map(|_| TcpStream::connect(gateway.front).ok()).collect()
    }

    /// Starts clients of a gateway for so long. Those of one that is killed end with nothing.
    pub fn start_clients(&self, gateway: &Gateway, ms: u64) -> JoinHandle<Option<LoadResult>> {
        let stores = 1 + self.scenario.warm_stores;
        let load = Load {
            gateway: gateway.number as u8,
            rate: capacity() * stores as f64 * self.scenario.load / self.scenario.gateways as f64,
            ttl_ms: 2 * OBJECTIVE_MS,
            objective_ms: OBJECTIVE_MS,
            class: "history-files".into(),
            objects: OBJECTS,
            zipf: 0.0,
            writes: 0.0,
            span: ms * 1000,
            seed: larchway::mix(self.scenario.seed ^ (gateway.number as u64) << 20 ^ ms),
            connections: load::Connections { count: CLIENT_CONNECTIONS, poll_interval: 2000 },
        };
        let front = gateway.front;
        std::thread::spawn(move || load::play(front, &load).ok())
    }
}

fn entry(name: &str, store: &Store, started_at: Micros) -> String {
    let entry = ListEntry {
        host: name,
        address: store.address,
        site: "edge",
        class: "standard",
        health: "up",
        units: WORKERS as f64,
        started_ms: started_at / 1000,
    };
    entry.to_string()
}
