//! The processes of one case in one variant: gateways, caches, parents and the origin, and what is done to them.
use super::script::{Action, Case};
use super::variant::Variant;
use super::{GATEWAYS, OBJECTS};
use crate::clock::now;
use crate::stand::bulletin::Bulletin;
use crate::stand::tier::{Kind, Net, SeenRequest, Tier};
use crate::trial::gateway::Gateway;
use crate::trial::list_entry::{site_of_class, ListEntry};
use crate::trial::scratch_folder::ScratchFolder;
use crate::trial::settings::settings;
use crate::trial::TrialError;
use larchway::Micros;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The origin, and the parent that joins.
pub(super) const ORIGIN: &str = "s-c0";
pub(super) const NEW_PARENT: &str = "s-b2";
/// All parents, the new one last.
pub(super) const PARENTS: [&str; 3] = ["s-b0", "s-b1", NEW_PARENT];
/// The parent that the new one replaces.
const REPLACED_PARENT: &str = "s-b1";

/// A store of the hierarchy.
struct StoreSpec {
    name: &'static str,
    class: &'static str,
}

const fn spec(name: &'static str, class: &'static str) -> StoreSpec {
    StoreSpec { name, class }
}

const STORES: [StoreSpec; 8] = [
    spec("s-a0", "standard"),
    spec("s-a1", "standard"),
    spec("s-a2", "standard"),
    spec("s-a3", "standard"),
    spec("s-b0", "parent"),
    spec("s-b1", "parent"),
    spec(NEW_PARENT, "parent"),
    spec(ORIGIN, "origin"),
];

impl StoreSpec {
    fn start(&self, net: &Net) -> std::io::Result<Tier> {
        let (kind, service_ms) = match self.class {
            "standard" => (Kind::Cache(60), 1),
            "parent" => (Kind::Parent(5000), 8),
            _ => (Kind::Origin(2), 50),
        };
        Tier::start(self.name, kind, Duration::from_millis(service_ms), net)
    }
}

/// A small hierarchy on loopback.
pub(super) struct World {
    pub gateways: Vec<Gateway>,
    stores: BTreeMap<&'static str, Tier>,
    bulletin: Bulletin,
    variant: Variant,
    /// Removed once all processes have ended.
    folder: ScratchFolder,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
    }
}

impl World {
    /// Starts it; `label` distinguishes its files from those of others.
    pub fn start(case: &Case, variant: Variant, label: &str, seed: u64) -> Result<Self, TrialError> {
        let folder = ScratchFolder::new(label)?;
        let stores = start_stores(case)?;
        let bulletin = Bulletin::start()?;
        let mut world = World { gateways: Vec::new(), stores, bulletin, variant, folder };
        let listed = STORES.iter().filter(|store| store.name != NEW_PARENT);
        let entries: Vec<String> = listed.map(|store| world.entry(store.name, "up", 0)).collect();
        world.bulletin.roster(true, &entries);
        for number in 0..GATEWAYS {
            let gateway = world.start_gateway(number, &entries, seed)?;
            world.gateways.push(gateway);
        }
        Ok(world)
    }

    fn start_gateway(&self, number: usize, entries: &[String], seed: u64) -> Result<Gateway, TrialError> {
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"bulletin":"{}",
                "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
                "settings":{}}}"#,
            seed + number as u64,
            self.bulletin.address,
            entries.join(","),
            settings()
        );
        let file = self.variant.file_before().map(|text| ("hierarchy", text));
        Gateway::start(self.folder.path(), number, &config, file.as_slice())
    }

    /// A store's entry in the list.
    fn entry(&self, name: &str, health: &str, started_ms: u64) -> String {
        let class = STORES.iter().find(|store| store.name == name).map_or("", |store| store.class);
        let entry = ListEntry {
            host: name,
            address: self.stores[name].address,
            site: site_of_class(class),
            class,
            health,
            units: 4.0,
            started_ms,
        };
        entry.to_string()
    }

    fn list(&self, name: &str, health: &str, started_ms: u64) {
        self.bulletin.roster(false, &[self.entry(name, health, started_ms)]);
    }

    /// A store by its name.
    pub fn store(&self, name: &str) -> &Tier {
        &self.stores[name]
    }

    /// Carries out an action of the script.
    pub fn act(&self, action: Action) -> Result<(), TrialError> {
        match action {
            Action::Migrate => self.migrate()?,
            Action::Kill(name) => self.store(name).dead(true),
            Action::RestartCold(name) => {
                self.store(name).dead(false);
                self.start_cold(name);
            }
            Action::SetListed { store, health } => self.list(store, health, 0),
            Action::SlowOrigin(times) => self.store(ORIGIN).slow(times),
            Action::SetUpstream { store, upstream, epoch } => self.store(store).upstream(upstream, epoch),
        }
        Ok(())
    }

    fn start_cold(&self, name: &str) {
        self.store(name).start_cold();
        self.list(name, "up", now() / 1000);
    }

    fn migrate(&self) -> Result<(), TrialError> {
        self.start_cold(NEW_PARENT);
        let Some(text) = self.variant.file_with_change() else {
            // Without a topology the list alone can say so.
            self.list(REPLACED_PARENT, "draining", 0);
            return Ok(());
        };
        for gateway in &self.gateways {
            let path = self.folder.path().join(format!("g{}.hierarchy", gateway.number));
            std::fs::write(path, &text)?;
            gateway.reload()?;
        }
        Ok(())
    }

    /// Requests that came to parents from a time on: when, and whether they held the object.
    pub fn parents_requests(&self, from: Micros) -> Vec<SeenRequest> {
        let all = PARENTS.iter().flat_map(|name| self.store(name).seen());
        all.filter(|request| request.time >= from).collect()
    }
}

fn start_stores(case: &Case) -> std::io::Result<BTreeMap<&'static str, Tier>> {
    let net: Net = Arc::new(Mutex::new(BTreeMap::new()));
    let mut stores = BTreeMap::new();
    for store in &STORES {
        stores.insert(store.name, store.start(&net)?);
    }
    for name in ["s-b0", "s-b1"] {
        // Zipf's ranks begin at 1. A loop shows only where something is missing at all of its parents.
        let cached = (1..=OBJECTS).filter(|object| !case.chained || object % 5 != 0);
        stores[name].fill(cached.map(|object| format!("{:016x}", larchway::mix(object))));
    }
    if case.chained {
        stores["s-b1"].upstream("s-b0", 0);
    }
    Ok(stores)
}
