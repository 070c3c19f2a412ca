//! The processes of the trial: gateways, stores, clients, and the network between the gateways.
use super::span::Span;
use super::{LOAD, OBJECTS, ZIPF};
use crate::clock::now;
use crate::load::{self, Load, LoadResult};
use crate::stand::bulletin::Bulletin;
use crate::stand::relay::Relay;
use crate::stand::store::{Mode, Store};
use crate::trial::edge_stores::{capacity, settings, EdgeStore, STORES};
use crate::trial::gateway::Gateway;
use crate::trial::scratch_folder::ScratchFolder;
use crate::trial::TrialError;
use larchway::Micros;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Of the stores' own reports, by how many periods they are late.
const LATE_REPORTS: u64 = 4;

/// A tier on loopback.
pub struct World {
    bulletin: Bulletin,
    stores: Vec<EdgeStore>,
    relay: Relay,
    gateways: Vec<Gateway>,
    /// How many gateways are configured.
    gateway_count: usize,
    /// The file of load sharing of all gateways, if they have one.
    file: Option<&'static str>,
    seed: u64,
    /// Requests a second at each gateway.
    rate: f64,
    load_result: Arc<Mutex<LoadResult>>,
    clients: Vec<JoinHandle<()>>,
    /// Removed once all processes have ended.
    folder: ScratchFolder,
}

impl World {
    /// Starts so many gateways, with this file of load sharing or without one. `name` distinguishes its files from
    /// those of others.
    pub fn start(
        name: &str,
        gateways: usize,
        file: Option<&'static str>,
        seed: u64,
    ) -> Result<Self, TrialError> {
        let folder = ScratchFolder::new(&format!("spread-{name}"))?;
        let mut world = World {
            folder,
            bulletin: Bulletin::start().map_err(TrialError::io("the bulletin"))?,
            stores: Vec::new(),
            relay: Relay::start(gateways, seed).map_err(TrialError::io("the relay"))?,
            gateways: Vec::new(),
            gateway_count: gateways,
            file,
            seed,
            rate: capacity() * STORES as f64 * LOAD / gateways as f64,
            load_result: Arc::new(Mutex::new(LoadResult::none())),
            clients: Vec::new(),
        };
        for number in 0..STORES {
            world.stores.push(EdgeStore::start(&format!("s-a{number}"), 0)?);
        }
        world.bulletin.roster(true, &world.entries());
        world.start_gateways(0)?;
        Ok(world)
    }

    fn entries(&self) -> Vec<String> {
        self.stores.iter().map(|store| store.entry("up")).collect()
    }

    /// Starts the gateways from a number on, with the list as it is now.
    pub(super) fn start_gateways(&mut self, from: usize) -> Result<(), TrialError> {
        for number in from..self.gateway_count {
            let files: Vec<(&str, String)> =
                self.file.iter().map(|text| ("spread", text.to_string())).collect();
            let gateway = Gateway::start(self.folder.path(), number, &self.configuration(number), &files)?;
            self.gateways.push(gateway);
        }
        Ok(())
    }

    /// Kills the gateways from a number on.
    pub(super) fn kill_gateways(&mut self, from: usize) {
        for gateway in &mut self.gateways[from..] {
            gateway.kill();
        }
        self.gateways.truncate(from);
    }

    fn configuration(&self, number: usize) -> String {
        let all = self.gateway_count;
        let peers: Vec<String> =
            self.relay.peers.iter().map(|peer| format!("\"{}\"", peer.reached)).collect();
        format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":96}},"bulletin":"{}",
            "peer_listen":"{}","peers":[{}],
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
            "settings":{{"balancers":{all},"me":{number},{}}}}}"#,
            larchway::mix(self.seed ^ number as u64 ^ now() << 16),
            self.bulletin.address,
            self.relay.peers[number].listen,
            peers.join(","),
            self.entries().join(","),
            settings(all)
        )
    }

    /// Starts clients of the gateways from a number on, for so long.
    pub fn start_clients(&mut self, from: usize, ms: u64) {
        for gateway in &self.gateways[from..] {
            let load = Load {
                gateway: gateway.number as u8,
                rate: self.rate,
                ttl_ms: 2000,
                objective_ms: 250,
                class: "history-files".into(),
                objects: OBJECTS,
                zipf: ZIPF,
                writes: 0.0,
                span: ms * 1000,
                seed: larchway::mix(self.seed ^ (gateway.number as u64) << 20 ^ ms),
                connections: load::Connections { count: 2, poll_interval: 3000 },
            };
            let (front, all) = (gateway.front, self.load_result.clone());
            self.clients.push(std::thread::spawn(move || {
                // Those of a gateway that is killed end with an error, and are not counted.
                if let Ok(result) = load::play(front, &load) {
                    all.lock().unwrap_or_else(PoisonError::into_inner).add(&result);
                }
            }));
        }
    }

    /// Waits until all clients have ended; what became of their requests.
    pub(super) fn join_clients(&mut self) -> LoadResult {
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        self.load_result.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Datagrams that have passed between the gateways.
    pub fn datagrams(&self) -> u64 {
        self.relay.passed()
    }

    /// Sets what share of the gateways' datagrams is lost, and by how much they are delayed.
    pub fn set_datagram_faults(&self, lost: f64, delay_ms: u32) {
        self.relay.set(lost, delay_ms);
    }

    /// A store goes silent, or answers again.
    pub(super) fn set_mode(&self, store: usize, mode: Mode) {
        self.stores[store].store.set(mode);
    }

    /// Starts a cold store, and lists it.
    pub(super) fn add_cold_store(&mut self, name: &str, started_at: Micros) -> Result<(), TrialError> {
        let store = EdgeStore::start(name, started_at)?;
        self.bulletin.roster(false, &[store.entry("up")]);
        self.stores.push(store);
        Ok(())
    }

    /// Stores report late from now on.
    pub(super) fn delay_reports(&self) {
        self.stores.iter().for_each(|store| store.store.report_late(LATE_REPORTS));
    }

    /// The load of the stores from now on, for so long.
    pub fn measure(&self, name: &'static str, ms: u64) -> Span {
        let from = now();
        std::thread::sleep(Duration::from_millis(ms));
        let until = now();
        let requests =
            |store: &Store| store.seen().iter().filter(|request| (from..until).contains(&request.at)).count();
        let seconds = (until - from) as f64 / 1e6;
        let load = |store: &EdgeStore| requests(&store.store) as f64 / seconds / capacity();
        Span { name, loads: self.stores.iter().map(load).collect() }
    }

    /// The load of the stores in each second from a time on.
    pub(super) fn measure_seconds(&self, from: Micros) -> Vec<Span> {
        let seconds = (now().saturating_sub(from) / SECOND) as usize;
        let mut all = vec![Span { name: "second", loads: vec![0.0; self.stores.len()] }; seconds];
        for (number, store) in self.stores.iter().enumerate() {
            for request in store.store.seen().iter().filter(|request| request.at >= from) {
                if let Some(second) = all.get_mut(((request.at - from) / SECOND) as usize) {
                    second.loads[number] += 1.0 / capacity();
                }
            }
        }
        all
    }

    /// The most that came to a store within any second from a time on, over what it could do then.
    pub(super) fn peak(&self, store: usize, from: Micros) -> f64 {
        self.stores[store].peak(from)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}
