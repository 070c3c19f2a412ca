//! The processes of the trial: gateways that know of each other, an ensemble, stores, clients, and the network between
//! the gateways.
use super::clients::Clients;
use super::status::{ClusterStatus, ClusterStatuses};
use super::{LOAD, OBJECTS, SESSION_MS};
use crate::clock::now;
use crate::load::Load;
use crate::stand::bulletin::Bulletin;
use crate::stand::ensemble::EnsembleServers;
use crate::stand::relay::Relay;
use crate::trial::console::{self, call, free_address};
use crate::trial::edge_stores::{capacity, settings, EdgeStore, STORES};
use crate::trial::gateway::Gateway;
use crate::trial::parallel::sleep_until;
use crate::trial::scratch_folder::ScratchFolder;
use crate::trial::TrialError;
use std::net::SocketAddr;
use std::time::Instant;

/// Servers of the ensemble.
const ENSEMBLE_SERVERS: usize = 3;

/// A tier on loopback.
pub struct World {
    bulletin: Bulletin,
    /// The ensemble.
    pub ensemble: EnsembleServers,
    /// The network between the gateways.
    pub relay: Relay,
    stores: Vec<EdgeStore>,
    /// By number, the process if it runs.
    pub gateways: Vec<Option<Gateway>>,
    /// By number, where operators call them.
    consoles: Vec<SocketAddr>,
    /// The cluster's file of all gateways, if they have one.
    file: Option<&'static str>,
    seed: u64,
    start: Instant,
    pub(super) clients: Clients,
    /// Removed once all processes have ended.
    folder: ScratchFolder,
}

impl World {
    /// Starts so many gateways, with this file of the cluster or without one. `name` distinguishes its files from
    /// those of others.
    pub fn start(
        name: &str,
        gateways: usize,
        file: Option<&'static str>,
        seed: u64,
    ) -> Result<Self, TrialError> {
        let folder = ScratchFolder::new(&format!("fleet-{name}"))?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut world = World {
            folder,
            bulletin: Bulletin::start().map_err(TrialError::io("the bulletin"))?,
            ensemble: EnsembleServers::start(any, ENSEMBLE_SERVERS)
                .map_err(TrialError::io("the ensemble"))?,
            relay: Relay::start(gateways, seed).map_err(TrialError::io("the relay"))?,
            stores: Vec::new(),
            gateways: Vec::new(),
            consoles: (0..gateways).map(|_| free_address()).collect(),
            file,
            seed,
            start: Instant::now(),
            clients: Clients::default(),
        };
        for number in 0..STORES {
            world.stores.push(EdgeStore::start(&format!("s-a{number}"), 0)?);
        }
        world.bulletin.roster(true, &world.first_entries());
        for number in 0..gateways {
            let gateway = world.start_gateway(number)?;
            world.gateways.push(Some(gateway));
        }
        world.start = Instant::now();
        Ok(world)
    }

    /// The list as it is at first, and in the gateways' configuration.
    fn first_entries(&self) -> Vec<String> {
        self.stores[..STORES].iter().map(|store| store.entry("up")).collect()
    }

    fn start_gateway(&self, number: usize) -> Result<Gateway, TrialError> {
        let mut files = vec![("ensemble", self.ensemble_file())];
        files.extend(self.file.map(|text| ("fleet", text.to_string())));
        Gateway::start(self.folder.path(), number, &self.configuration(number), &files)
    }

    fn configuration(&self, number: usize) -> String {
        let all = self.consoles.len();
        let peers: Vec<String> =
            self.relay.peers.iter().map(|peer| format!("\"{}\"", peer.reached)).collect();
        format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":96}},"bulletin":"{}","console":"{}",
            "peer_listen":"{}","peers":[{}],
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
            "settings":{{"balancers":{all},"me":{number},{}}}}}"#,
            larchway::mix(self.seed ^ number as u64 ^ now() << 16),
            self.bulletin.address,
            self.consoles[number],
            self.relay.peers[number].listen,
            peers.join(","),
            self.first_entries().join(","),
            settings(all),
        )
    }

    fn ensemble_file(&self) -> String {
        let servers: Vec<String> =
            self.ensemble.servers.iter().map(|server| format!("\"{server}\"")).collect();
        format!(
            r#"{{"servers":[{}],"path":"/larchway","session_ms":{SESSION_MS},"gateways":true}}"#,
            servers.join(",")
        )
    }

    /// Waits until so many ms of the script have gone.
    pub fn sleep_until(&self, ms: u64) {
        sleep_until(self.start, ms);
    }

    /// ms of the script that have gone.
    pub fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Kills these gateways.
    pub fn kill(&mut self, numbers: &[usize]) {
        for number in numbers {
            if let Some(mut gateway) = self.gateways[*number].take() {
                gateway.kill();
            }
        }
    }

    /// Starts these again, with the list that they were configured with.
    pub fn restart(&mut self, numbers: &[usize]) -> Result<(), TrialError> {
        for number in numbers {
            self.gateways[*number] = Some(self.start_gateway(*number)?);
        }
        Ok(())
    }

    /// Sends a signal, by its name, to those of these gateways that run.
    pub fn signal(&self, numbers: &[usize], signal: &str) -> Result<(), TrialError> {
        let running = numbers.iter().filter_map(|number| self.gateways[*number].as_ref());
        running.into_iter().try_for_each(|gateway| gateway.signal(signal))
    }

    /// Starts clients of these gateways, which together send the load of the trial for so long.
    pub fn start_clients(&mut self, numbers: &[usize], ms: u64) {
        let rate = capacity() * STORES as f64 * LOAD / numbers.len().max(1) as f64;
        let second = self.start.elapsed().as_secs() as usize;
        for number in numbers {
            let Some(gateway) = &self.gateways[*number] else { continue };
            let load = Load {
                gateway: *number as u8,
                rate,
                ttl_ms: 2000,
                objective_ms: 250,
                class: "history-files".into(),
                objects: OBJECTS,
                zipf: 0.0,
                writes: 0.0,
                span: ms * 1000,
                seed: larchway::mix(self.seed ^ (*number as u64) << 20 ^ ms),
                connections: crate::load::Connections { count: 3, poll_interval: 2000 },
            };
            self.clients.start(gateway.front, load, second);
        }
    }

    /// Replaces so many stores by new, cold ones, whose numbers it returns.
    pub(super) fn replace_stores(&mut self, from: usize, count: usize) -> Result<Vec<usize>, TrialError> {
        let started_at = now();
        let mut entries = Vec::new();
        let first = self.stores.len();
        for number in from..from + count {
            let store = EdgeStore::start(&format!("s-new{started_at}-{number}"), started_at)?;
            entries.push(store.entry("up"));
            entries.push(self.stores[number].entry("draining"));
            self.stores.push(store);
        }
        self.bulletin.roster(false, &entries);
        Ok((first..self.stores.len()).collect())
    }

    /// The most that came to any of these stores within a second, over what it could do then.
    pub(super) fn peak(&self, stores: &[usize]) -> f64 {
        stores.iter().map(|number| self.stores[*number].peak(0)).fold(0.0, f64::max)
    }

    /// What a gateway says of the cluster, if it runs and answers.
    pub fn status(&self, number: usize) -> Option<ClusterStatus> {
        self.gateways[number].as_ref()?;
        let answer = call(self.consoles[number], "GET", "/ops/fleet", None).ok()?;
        if answer.status != console::OK {
            return None;
        }
        ClusterStatus::parse(&answer.text)
    }

    /// What all gateways say that run and are not paused.
    pub fn statuses(&self, paused: &[usize]) -> ClusterStatuses {
        let numbers = (0..self.gateways.len()).filter(|number| !paused.contains(number));
        numbers.filter_map(|number| Some((number, self.status(number)?))).collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        self.clients.join();
    }
}
