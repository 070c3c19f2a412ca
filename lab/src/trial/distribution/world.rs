//! The source, relays, followers and gateways of one case, and the faults between them.
use super::events::{list_event, purge_event};
use super::gateways::{RealGateway, Upstream};
use super::processes::{FollowerProcess, RelayProcess};
use super::spent::Spent;
use super::{Case, Fault, FAULT_AT, FAULT_FOR, FIRST_EVENTS, GATEWAYS, SPAN};
use crate::clock::now;
use crate::followers::Seen;
use crate::stand::event_source::EventSource;
use crate::stand::link::Link;
use crate::stand::meter::Meter;
use crate::trial::TrialError;
use larchway::Micros;
use larchway_distribution::EventNumber;
use larchway_endpoints::ListScope;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Relays below the root.
const LEAVES: usize = 3;
/// Processes that share the hollow followers.
const FOLLOWER_PROCESSES: usize = 4;
/// Hollow followers and gateways behind links, where a region is cut or slow.
const REGION: usize = 100;
const REGION_GATEWAYS: usize = 5;
/// Bytes a second that a slow link lets pass for each follower: a little more than it needs.
const SLOW_RATE: u64 = 8_000;
/// How long all may take to connect before the first event, and time between two looks.
const CONNECT: Duration = Duration::from_secs(30);
const CONNECT_POLL: Duration = Duration::from_millis(100);
/// How long followers of the source itself, which has no report of them, are given to connect.
const CONNECT_DIRECT: Duration = Duration::from_secs(5);

/// A process of hollow followers.
struct FollowerGroup {
    process: FollowerProcess,
    behind_links: bool,
}

/// What a process of followers has seen.
pub(super) struct GroupSeen {
    /// Whether they reach their sources through links that are cut or slow.
    pub behind_links: bool,
    /// What they have seen.
    pub seen: Seen,
}

/// The end of a fault.
pub(super) struct FaultEnd {
    /// When it ended.
    pub at: Micros,
    /// The last event published before.
    pub last: EventNumber,
    /// What was spent from then until the last event was published, and how long that was.
    pub spent: Spent,
    pub elapsed: Duration,
}

/// The processes of one case.
pub(super) struct World {
    pub source: EventSource,
    pub gateways: Arc<Vec<RealGateway>>,
    /// Once a fault has ended that ends.
    pub fault_end: Option<FaultEnd>,
    root: Option<RelayProcess>,
    leaves: Vec<RelayProcess>,
    links: Vec<Link>,
    followers: Vec<FollowerGroup>,
    /// Before what real gateways connect to.
    meters: Vec<Meter>,
    dir: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        // A directory that stays is no fault of the measurement.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl World {
    pub fn start(case: &Case, seed: u64) -> Result<World, TrialError> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{}", std::process::id(), case.name));
        std::fs::create_dir_all(&dir).map_err(TrialError::io(dir.display().to_string()))?;
        let source = EventSource::start().map_err(TrialError::io("the source"))?;
        let mut world = World {
            source,
            gateways: Arc::default(),
            fault_end: None,
            root: None,
            leaves: Vec::new(),
            links: Vec::new(),
            followers: Vec::new(),
            meters: Vec::new(),
            dir,
        };
        let targets = world.start_relays(case)?;
        for target in &targets {
            world.links.push(Link::to(*target).map_err(TrialError::io("a link"))?);
        }
        world.start_followers(case, &targets, seed)?;
        world.start_gateways(case, &targets, seed)?;
        Ok(world)
    }

    /// Starts the tree, if there is one; returns what followers connect to.
    fn start_relays(&mut self, case: &Case) -> Result<Vec<SocketAddr>, TrialError> {
        if !case.relays {
            return Ok(vec![self.source.address]);
        }
        let root = RelayProcess::start(&self.dir, "root", &[self.source.address], ",\"root\":true")?;
        for number in 0..LEAVES {
            let name = format!("leaf-{number}");
            self.leaves.push(RelayProcess::start(&self.dir, &name, &[root.address], "")?);
        }
        self.root = Some(root);
        Ok(self.leaves.iter().map(|leaf| leaf.address).collect())
    }

    fn start_followers(&mut self, case: &Case, targets: &[SocketAddr], seed: u64) -> Result<(), TrialError> {
        let region = if matches!(case.fault, Fault::RegionCut | Fault::LinkSlow) { REGION } else { 0 };
        let near = case.followers - region;
        for place in 0..FOLLOWER_PROCESSES {
            let count = near / FOLLOWER_PROCESSES + usize::from(place < near % FOLLOWER_PROCESSES);
            self.start_group(case, targets, count, seed, false)?;
        }
        if region > 0 {
            self.start_group(case, &self.link_addresses(), region, seed, true)?;
        }
        Ok(())
    }

    fn start_group(
        &mut self,
        case: &Case,
        targets: &[SocketAddr],
        count: usize,
        seed: u64,
        behind_links: bool,
    ) -> Result<(), TrialError> {
        let seed = larchway::mix(seed ^ (self.followers.len() as u64) << 32);
        let process = FollowerProcess::start(targets, case.relays, count, seed)?;
        self.followers.push(FollowerGroup { process, behind_links });
        Ok(())
    }

    fn start_gateways(&mut self, case: &Case, targets: &[SocketAddr], seed: u64) -> Result<(), TrialError> {
        let behind_links = match case.fault {
            Fault::RegionCut | Fault::LinkSlow => REGION_GATEWAYS,
            Fault::AllReturn => GATEWAYS,
            Fault::None | Fault::LeafKilled | Fault::LeafPaused => 0,
        };
        let near = self.metered(targets)?;
        let far = self.metered(&self.link_addresses())?;
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let behind = number < behind_links;
            let addresses = if behind { &far } else { &near };
            let upstream = match case.relays {
                true => Upstream::Relays(addresses.clone()),
                false => Upstream::Source(addresses[0]),
            };
            let mut gateway = RealGateway::start(&self.dir, number, &upstream, seed)?;
            gateway.behind_links = behind;
            gateways.push(gateway);
        }
        self.gateways = Arc::new(gateways);
        Ok(())
    }

    fn link_addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|link| link.address).collect()
    }

    fn metered(&mut self, targets: &[SocketAddr]) -> Result<Vec<SocketAddr>, TrialError> {
        let mut addresses = Vec::new();
        for target in targets {
            let meter = Meter::before(*target).map_err(TrialError::io("a meter"))?;
            addresses.push(meter.address);
            self.meters.push(meter);
        }
        Ok(addresses)
    }

    /// Publishes the first events, a complete list among them, and waits until all followers have applied them, as
    /// far as there is a report of it.
    pub fn wait_for_followers(&mut self, case: &Case) -> Result<(), TrialError> {
        self.source.publish(|number| list_event(number, ListScope::Complete));
        self.source.publish(purge_event);
        if !case.relays {
            std::thread::sleep(CONNECT_DIRECT);
        }
        let all = (case.followers + GATEWAYS) as u64;
        let end = Instant::now() + CONNECT;
        while Instant::now() < end {
            let connected = match &self.root {
                None => true,
                Some(root) => {
                    let positions = root.status()?["positions"].clone();
                    positions["gateways"] == all && positions["applied"] == FIRST_EVENTS
                }
            };
            let applied = |gateway: &RealGateway| gateway.events().map(|status| status.cursor);
            if connected
                && self
                    .gateways
                    .iter()
                    .all(|gateway| applied(gateway).is_ok_and(|cursor| cursor == FIRST_EVENTS))
            {
                return Ok(());
            }
            std::thread::sleep(CONNECT_POLL);
        }
        let status = self.root.as_ref().map(RelayProcess::status).transpose()?;
        Err(TrialError::NotInTime(format!("{}: not all followers have connected: {status:?}", case.name)))
    }

    /// Publishes events at the case's rate, with its fault.
    pub fn publish_events(&mut self, case: &Case) -> Result<(), TrialError> {
        let began = Instant::now();
        let total = SPAN.as_secs() * case.rate;
        let (mut faulty, mut mended) = (false, false);
        let mut at_mending = None;
        for index in 0..total {
            let due = SPAN.mul_f64(index as f64 / total as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            if !faulty && began.elapsed() >= FAULT_AT {
                faulty = true;
                self.begin_fault(case.fault)?;
            }
            if !mended && case.fault.ends() && began.elapsed() >= FAULT_AT + FAULT_FOR {
                mended = true;
                self.end_fault(case.fault)?;
                at_mending = Some((now(), self.source.last(), self.spent()));
            }
            let is_list = index.is_multiple_of(case.rate);
            self.source.publish(|number| {
                if is_list {
                    list_event(number, ListScope::Changes)
                } else {
                    purge_event(number)
                }
            });
        }
        self.fault_end = at_mending.map(|(at, last, before)| {
            let elapsed = Duration::from_micros(now().saturating_sub(at));
            FaultEnd { at, last, spent: self.spent() - before, elapsed }
        });
        Ok(())
    }

    fn begin_fault(&mut self, fault: Fault) -> Result<(), TrialError> {
        match fault {
            Fault::None => {}
            Fault::LeafKilled => self.leaves[0].kill(),
            Fault::LeafPaused => self.leaves[0].signal("-STOP")?,
            Fault::RegionCut => self.links.iter().for_each(|link| link.cut(true)),
            Fault::LinkSlow => self.links.iter().for_each(|link| link.slow(SLOW_RATE)),
            Fault::AllReturn => {
                self.links.iter().for_each(|link| link.cut(true));
                self.followers.iter_mut().try_for_each(|group| group.process.leave())?;
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: Fault) -> Result<(), TrialError> {
        match fault {
            Fault::LeafPaused => self.leaves[0].signal("-CONT")?,
            Fault::RegionCut => self.links.iter().for_each(|link| link.cut(false)),
            Fault::AllReturn => {
                self.links.iter().for_each(|link| link.cut(false));
                self.followers.iter_mut().try_for_each(|group| group.process.come_back())?;
            }
            Fault::None | Fault::LeafKilled | Fault::LinkSlow => {}
        }
        Ok(())
    }

    /// What all roles have spent so far.
    pub fn spent(&self) -> Spent {
        let relays = || self.root.iter().chain(&self.leaves);
        // A relay that was killed has no figures any more.
        let bytes = |relay: &RelayProcess| relay.status().ok()?["bytes_written"].as_u64();
        Spent {
            source_bytes: self.source.bytes(),
            source_cpu: self.source.cpu(),
            relay_bytes: relays().filter_map(bytes).sum(),
            relay_cpu: relays().map(RelayProcess::cpu).sum(),
            follower_cpu: self.followers.iter().map(|group| group.process.cpu()).sum(),
            gateway_bytes: self.meters.iter().map(Meter::passed).sum(),
            gateway_cpu: self.gateways.iter().map(RealGateway::cpu).sum(),
        }
    }

    /// Ends the hollow followers.
    pub fn finish_followers(&mut self) -> Result<Vec<GroupSeen>, TrialError> {
        let groups = std::mem::take(&mut self.followers);
        let finish = |group: FollowerGroup| {
            Ok(GroupSeen { behind_links: group.behind_links, seen: group.process.finish()? })
        };
        groups.into_iter().map(finish).collect()
    }

    /// How many relays there are, or the one source in their place.
    pub const fn relays(case: &Case) -> usize {
        if case.relays {
            LEAVES + 1
        } else {
            1
        }
    }
}
