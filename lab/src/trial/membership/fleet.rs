//! The fleet of the trial on loopback: gateways as processes of their own, stores with their sessions, an ensemble
//! and a list.
use crate::stand::bulletin::Bulletin;
use crate::stand::ensemble::EnsembleServers;
use crate::stand::registrar::Registrar;
use crate::stand::store::Store;
use crate::trial::gateway::Gateway;
use crate::trial::list_entry::{site_of_class, ListEntry};
use crate::trial::scratch_folder::ScratchFolder;
use crate::trial::settings::settings;
use crate::trial::TrialError;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Servers of the ensemble.
const ENSEMBLE_SERVERS: usize = 3;
/// How long the stores may take to register, and time between two looks.
const REGISTRATION: Duration = Duration::from_secs(10);
const REGISTRATION_POLL: Duration = Duration::from_millis(10);
/// What a store takes for a request, and bytes of an object.
const SERVICE: Duration = Duration::from_millis(5);
const BODY_BYTES: usize = 1000;

/// A store with its session.
pub(super) struct Member {
    /// Its name.
    pub name: String,
    /// `standard`, `parent` or `origin`.
    pub class: &'static str,
    /// The store.
    pub store: Store,
    /// Its session.
    pub registrar: Registrar,
}

impl Member {
    /// Its entry in the list, and its node's data.
    pub fn entry(&self, health: &str) -> String {
        let entry = ListEntry {
            host: &self.name,
            address: self.store.address,
            site: site_of_class(self.class),
            class: self.class,
            health,
            units: 4.0,
            started_ms: 0,
        };
        entry.to_string()
    }
}

/// The fleet; its processes end with it.
pub(super) struct Fleet {
    /// The ensemble.
    pub ensemble: EnsembleServers,
    /// The list.
    pub bulletin: Bulletin,
    /// The stores.
    pub members: Vec<Member>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Removed once all processes have ended.
    folder: ScratchFolder,
}

/// How long a store's session lives without it, ms.
const SESSION_MS: u64 = 2000;

impl Fleet {
    /// Starts stores and their sessions, the list, the ensemble, and so many gateways with this part of the ensemble's
    /// file. `name` distinguishes its files from those of others.
    pub fn start(
        name: &str,
        caches: usize,
        gateways: usize,
        file: &str,
        seed: u64,
    ) -> Result<Self, TrialError> {
        let folder = ScratchFolder::new(name)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let ensemble =
            EnsembleServers::start(any, ENSEMBLE_SERVERS).map_err(TrialError::io("the ensemble"))?;
        let bulletin = Bulletin::start().map_err(TrialError::io("the bulletin"))?;
        let mut fleet = Fleet { ensemble, bulletin, members: Vec::new(), gateways: Vec::new(), folder };
        fleet.start_stores(caches, seed)?;
        fleet.wait_until_registered()?;
        let entries: Vec<String> = fleet.members.iter().map(|member| member.entry("up")).collect();
        fleet.bulletin.roster(true, &entries);
        for number in 0..gateways {
            let gateway = fleet.start_gateway(number, &entries, file, seed)?;
            fleet.gateways.push(gateway);
        }
        Ok(fleet)
    }

    fn start_stores(&mut self, caches: usize, seed: u64) -> Result<(), TrialError> {
        for number in 0..caches {
            self.start_store(&format!("s-a{number}"), "standard", seed + number as u64)?;
        }
        let others = [("s-b0", "parent"), ("s-b1", "parent"), ("s-c0", "origin")];
        for (number, (name, class)) in others.into_iter().enumerate() {
            self.start_store(name, class, seed + 100 + number as u64)?;
        }
        Ok(())
    }

    fn wait_until_registered(&self) -> Result<(), TrialError> {
        let deadline = Instant::now() + REGISTRATION;
        while !self.members.iter().all(|member| member.registrar.registered()) {
            if Instant::now() > deadline {
                return Err(TrialError::NotRegistered("stores"));
            }
            std::thread::sleep(REGISTRATION_POLL);
        }
        Ok(())
    }

    /// A store by its name.
    pub fn member(&self, name: &str) -> &Member {
        self.members.iter().find(|member| member.name == name).expect("a trial names its own stores")
    }

    fn start_store(&mut self, name: &str, class: &'static str, seed: u64) -> Result<(), TrialError> {
        let store = Store::start(SERVICE, BODY_BYTES).map_err(TrialError::io("a store"))?;
        let servers = self.ensemble.servers.clone();
        let registrar = Registrar::start(servers, "/stores", name, b"", SESSION_MS, seed);
        let member = Member { name: name.into(), class, store, registrar };
        member.registrar.set(member.entry("up").as_bytes());
        self.members.push(member);
        Ok(())
    }

    fn start_gateway(
        &self,
        number: usize,
        entries: &[String],
        file: &str,
        seed: u64,
    ) -> Result<Gateway, TrialError> {
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"bulletin":"{}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},"settings":{}}}"#,
            seed + number as u64,
            self.bulletin.address,
            entries.join(","),
            settings()
        );
        let servers: Vec<String> =
            self.ensemble.servers.iter().map(|server| format!("\"{server}\"")).collect();
        let admin = self.folder.path().join(format!("g{number}.admin"));
        let ensemble = format!(
            r#"{{"servers":[{}],"path":"/larchway","session_ms":{SESSION_MS},"admin":"{}"{file}}}"#,
            servers.join(","),
            admin.display()
        );
        Gateway::start(self.folder.path(), number, &config, &[("ensemble", ensemble)])
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
    }
}
