//! The stores of the trial, and the processes of its one gateway.
use super::{LONGEST_DEADLINE_MS, MEMORY_MB, PLATFORM_GRACE_MS, SETTINGS, SOCKETS};
use crate::stand::bulletin::Bulletin;
use crate::stand::store::Store;
use crate::trial::console::{self, call, free_address};
use crate::trial::list_entry::{site_of_class, ListEntry};
use crate::trial::TrialError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The caches, which are taken out and drained.
pub(super) const CACHES: [&str; 4] = ["s-a0", "s-a1", "s-a2", "s-a3"];
/// How long a process may take until it is ready, and time between two looks.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SERVICE: Duration = Duration::from_millis(4);
const BODY_BYTES: usize = 20_000;

/// A process of the gateway; it is killed with this.
pub(super) struct GatewayProcess {
    child: Child,
    /// Where operators call it.
    pub console: SocketAddr,
}

/// How a process that was asked to end did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    InTime,
    /// It did not, and was killed.
    Killed,
}

impl GatewayProcess {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> Result<bool, TrialError> {
        let status = self.child.try_wait().map_err(TrialError::io("a gateway"))?;
        Ok(status.is_some())
    }

    /// Asks it to end, and waits for as long as the platform does before it kills.
    pub fn terminate(mut self) -> Result<Ending, TrialError> {
        let line = format!("kill -TERM {}", self.id());
        Command::new("sh").args(["-c", &line]).status().map_err(TrialError::io("kill"))?;
        let deadline = Instant::now() + Duration::from_millis(LONGEST_DEADLINE_MS + PLATFORM_GRACE_MS);
        while !self.has_ended()? {
            if Instant::now() > deadline {
                return Ok(Ending::Killed);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(Ending::InTime)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store with its class.
pub(super) struct ClassedStore {
    class: &'static str,
    /// The store.
    pub store: Store,
}

impl ClassedStore {
    fn start(class: &'static str) -> Result<Self, TrialError> {
        let store = Store::start(SERVICE, BODY_BYTES).map_err(TrialError::io("a box"))?;
        Ok(ClassedStore { class, store })
    }
}

/// A process that has become ready, and how long that took.
pub(super) struct Started {
    pub process: GatewayProcess,
    pub elapsed: Duration,
}

/// The stores, the list, and where the gateway listens.
pub(super) struct World {
    pub dir: PathBuf,
    /// Where all processes of the gateway listen.
    pub front: SocketAddr,
    bulletin: Bulletin,
    /// The stores by name.
    pub stores: BTreeMap<String, ClassedStore>,
    seed: u64,
    /// How many processes of the gateway were started.
    started: u64,
}

impl World {
    /// Starts the stores; `variant` distinguishes its files from those of others.
    pub fn start(seed: u64, variant: &str) -> Result<Self, TrialError> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-upgrade-{variant}", std::process::id()));
        std::fs::create_dir_all(dir.join("tmp")).map_err(TrialError::io(dir.display().to_string()))?;
        let bulletin = Bulletin::start().map_err(TrialError::io("the bulletin"))?;
        let mut stores = BTreeMap::new();
        for name in CACHES {
            stores.insert(name.to_string(), ClassedStore::start("standard")?);
        }
        for (name, class) in [("s-b0", "parent"), ("s-b1", "parent"), ("s-c0", "origin")] {
            stores.insert(name.to_string(), ClassedStore::start(class)?);
        }
        let world = World { dir, front: free_address(), bulletin, stores, seed, started: 0 };
        world.bulletin.roster(true, &world.entries());
        Ok(world)
    }

    fn entry(&self, name: &str, health: &str) -> String {
        let ClassedStore { class, store } = &self.stores[name];
        let entry = ListEntry {
            host: name,
            address: store.address,
            site: site_of_class(class),
            class,
            health,
            units: 4.0,
            started_ms: 0,
        };
        entry.to_string()
    }

    fn entries(&self) -> Vec<String> {
        self.stores.keys().map(|name| self.entry(name, "up")).collect()
    }

    /// The list changes a store's health.
    pub fn list(&self, name: &str, health: &str) {
        self.bulletin.roster(false, &[self.entry(name, health)]);
    }

    /// Starts a process of the gateway, and waits until it is ready.
    pub fn start_process(&mut self) -> Result<Started, TrialError> {
        self.started += 1;
        let console = free_address();
        let path = self.dir.join(format!("config-{}.json", self.started));
        std::fs::write(&path, self.configuration(console))
            .map_err(TrialError::io(path.display().to_string()))?;
        let own = std::env::current_exe().map_err(TrialError::io("the own program"))?;
        let log = std::fs::File::create(self.dir.join(format!("log-{}", self.started)));
        let start = Instant::now();
        let child = Command::new(own)
            .arg("daemon")
            .env("EDGE_CONFIG", &path)
            .env("EDGE_NAME", "g0")
            .env("EDGE_LISTEN", self.front.to_string())
            .env("TMPDIR", self.dir.join("tmp"))
            .env_remove("EDGE_CONSOLE")
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .map_err(TrialError::io("a gateway"))?;
        let process = GatewayProcess { child, console };
        self.wait_until_ready(console, start)?;
        Ok(Started { process, elapsed: start.elapsed() })
    }

    fn configuration(&self, console: SocketAddr) -> String {
        format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},
            "bulletin":"{}","console":"{console}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
            "settings":{SETTINGS}}}"#,
            self.seed + self.started,
            self.bulletin.address,
            self.entries().join(",")
        )
    }

    fn wait_until_ready(&self, console: SocketAddr, start: Instant) -> Result<(), TrialError> {
        let is_ready = || {
            let answer = call(console, "GET", "/ops/readiness", None);
            answer.is_ok_and(|answer| answer.status == console::OK)
        };
        while !is_ready() {
            if start.elapsed() > READY_TIMEOUT {
                return Err(TrialError::NotReady { number: self.started, folder: self.dir.clone() });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
