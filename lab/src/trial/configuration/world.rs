//! The source, relays, hollow followers and real gateways of one case.
use super::{Way, FOLLOWERS, GATEWAYS};
use crate::followers::Seen;
use crate::stand::event_source::EventSource;
use crate::stand::meter::Meter;
use crate::trial::capacity::gateway::site::{self, SiteConfiguration};
use crate::trial::distribution::events::purge_event;
use crate::trial::distribution::gateways::{RealGateway, Upstream};
use crate::trial::distribution::processes::{FollowerProcess, RelayProcess};
use crate::trial::TrialError;
use larchway_distribution::EventNumber;
use std::net::SocketAddr;
use std::ops::Sub;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Relays below the root.
const LEAVES: usize = 3;
/// Processes that share the hollow followers.
const FOLLOWER_PROCESSES: usize = 2;
/// Events by which all are known to have connected: a list, and a purge.
const FIRST_EVENTS: EventNumber = 2;
/// How long all may take to connect, and time between two looks.
const CONNECT: Duration = Duration::from_secs(60);
const CONNECT_POLL: Duration = Duration::from_millis(100);
/// The attempts that the file allows, which changes of the file change.
const ATTEMPTS: &str = "\"maxAttempts\":8";
/// The key that the staged change is about.
const STAGED_KEY: &str = "\"fallMs\":1000,";
/// Gateways whose file lacks that key in the case that is staged: the first ones.
pub(super) const WITHOUT_KEY: usize = 3;

/// What the gateways have spent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spent {
    /// Bytes between gateways and relays, in both directions.
    pub gateway_bytes: u64,
    /// Processor time of the gateways.
    pub gateway_cpu: Duration,
}

impl Sub for Spent {
    type Output = Spent;

    fn sub(self, before: Spent) -> Spent {
        Spent {
            gateway_bytes: self.gateway_bytes - before.gateway_bytes,
            gateway_cpu: self.gateway_cpu.saturating_sub(before.gateway_cpu),
        }
    }
}

/// The processes of one case.
pub(super) struct World {
    /// The real gateways.
    pub gateways: Arc<Vec<RealGateway>>,
    /// Where the files of all processes are.
    pub dir: PathBuf,
    /// The root relay.
    pub root: RelayProcess,
    source: EventSource,
    leaves: Vec<RelayProcess>,
    followers: Vec<FollowerProcess>,
    /// Before what real gateways connect to.
    meters: Vec<Meter>,
    files: Vec<String>,
}

impl Drop for World {
    fn drop(&mut self) {
        // A directory that stays is no fault of the measurement.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl World {
    /// Starts all processes. In a case that is staged some files lack the key that it is about.
    pub fn start(name: &str, way: Way, seed: u64) -> Result<World, TrialError> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(TrialError::io(dir.display().to_string()))?;
        let mut source = EventSource::start().map_err(TrialError::io("the source"))?;
        source.publish(list_event);
        source.publish(purge_event);
        let root = RelayProcess::start(&dir, "root", &[source.address], ",\"root\":true")?;
        let mut leaves = Vec::new();
        for number in 0..LEAVES {
            leaves.push(RelayProcess::start(&dir, &format!("leaf-{number}"), &[root.address], "")?);
        }
        let targets: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
        let mut followers = Vec::new();
        for place in 0..FOLLOWER_PROCESSES {
            let seed = larchway::mix(seed ^ (place as u64) << 32);
            followers.push(FollowerProcess::start(&targets, true, FOLLOWERS / FOLLOWER_PROCESSES, seed)?);
        }
        let mut meters = Vec::new();
        for target in &targets {
            meters.push(Meter::before(*target).map_err(TrialError::io("a meter"))?);
        }
        let (gateways, files) = (Arc::default(), Vec::new());
        let mut world = World { gateways, dir, root, source, leaves, followers, meters, files };
        world.start_gateways(way, name == super::STAGED, seed)?;
        Ok(world)
    }

    fn start_gateways(&mut self, way: Way, is_staged: bool, seed: u64) -> Result<(), TrialError> {
        let relays: Vec<SocketAddr> = self.meters.iter().map(|meter| meter.address).collect();
        let upstream = match way {
            Way::Documents => Upstream::Configured(relays),
            Way::Files | Way::NoChanges => Upstream::Relays(relays),
        };
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let mut file = site_file(upstream.bulletin(), seed + number as u64);
            if is_staged && number < WITHOUT_KEY {
                file = file.replace(STAGED_KEY, "");
            }
            gateways.push(RealGateway::start_with(&self.dir, number, &upstream, &file)?);
            self.files.push(file);
        }
        self.gateways = Arc::new(gateways);
        Ok(())
    }

    /// Waits until all followers and gateways have applied the first events.
    pub fn wait_for_all(&self) -> Result<(), TrialError> {
        let end = Instant::now() + CONNECT;
        let all = (FOLLOWERS + GATEWAYS) as u64;
        loop {
            let positions = self.root.status()?["positions"].clone();
            if positions["gateways"] == all && positions["applied"] == FIRST_EVENTS {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(TrialError::NotInTime(format!("not all have connected: {positions}")));
            }
            std::thread::sleep(CONNECT_POLL);
        }
    }

    /// Publishes a purge.
    pub fn publish_purge(&mut self) {
        self.source.publish(purge_event);
    }

    /// Publishes a change of one document; returns the number of its event.
    pub fn publish_documents(&mut self, entry: &str) -> EventNumber {
        self.source.publish(|number| {
            format!(r#"{{"no":{number},"documents":{{"whole":false,"entries":[{entry}]}}}}"#)
        });
        self.source.last()
    }

    /// Writes the file of this version for each gateway, and has it read again; returns the bytes of one.
    pub fn rewrite_files(&self, version: u64) -> Result<usize, TrialError> {
        let changed = format!("\"maxAttempts\":{}", 8 + version % 10);
        let mut bytes = 0;
        for (gateway, file) in self.gateways.iter().zip(&self.files) {
            let file = file.replace(ATTEMPTS, &changed);
            bytes = file.len();
            gateway.rewrite(&self.dir, &file)?;
        }
        Ok(bytes)
    }

    /// Kills a leaf.
    pub fn kill_leaf(&mut self) {
        self.leaves[0].kill();
    }

    /// What the gateways have spent so far.
    pub fn spent(&self) -> Spent {
        Spent {
            gateway_bytes: self.meters.iter().map(Meter::passed).sum(),
            gateway_cpu: self.gateways.iter().map(RealGateway::cpu).sum(),
        }
    }

    /// Ends the hollow followers; returns what they have seen.
    pub fn finish_followers(&mut self) -> Result<Vec<Seen>, TrialError> {
        std::mem::take(&mut self.followers).into_iter().map(FollowerProcess::finish).collect()
    }
}

/// The file of a gateway at one of 800 sites, with all stores listed and all gateways named.
fn site_file(bulletin: SocketAddr, seed: u64) -> String {
    let site = SiteConfiguration {
        stores: site::STORES,
        gateways: site::GATEWAYS,
        store: nobody(),
        bulletin,
        datagrams: false,
        sites: site::SITES,
        units: site::STORE_UNITS,
        named: site::Named::All,
        seed,
    };
    site.text().replacen('{', "{\"console\":\"127.0.0.1:0\",", 1)
}

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A complete list of one store.
fn list_event(number: EventNumber) -> String {
    let store = nobody();
    let host = format!(
        r#"{{"host":"s-0","dial":"{store}","site":"z0","class":"parent","health":"up","share":4,"born_ms":0}}"#
    );
    format!(r#"{{"no":{number},"roster":{{"seq":{number},"whole":true,"hosts":[{host}]}}}}"#)
}
