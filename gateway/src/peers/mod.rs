//! The exchange with the other gateways of the tier: the datagram socket, and the components that share it (failure
//! detector, gossip of stores' health, load sharing). The components decide; this module does their I/O.
mod cluster;
mod datagrams;
mod effect;
mod members;
mod settings;

use cluster::{Cluster, HealthRound, QuotaChange};
use datagrams::membership_time;
use larchway::{MonotonicTime, Quotas, ServerId};
use larchway_cluster::lease::{self, NodeCounts};
use larchway_cluster::tiers;
use larchway_cluster::wire::{DecodeError, MessageKind};
use larchway_load_sharing::{Input, LoadSharing, Output, TierPosition};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tracing::warn;

pub use effect::Effect;
pub use settings::{Addresses, PeerSettings};

/// Interval at which listening is retried on an address in use. During an upgrade the old process still holds it.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a change of settings has replaced the datagram socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketChange {
    /// It is the same.
    Unchanged,
    /// It was replaced or closed.
    Replaced,
}

/// The exchange of this gateway with the other gateways of its tier.
pub struct Peers {
    addresses: Addresses,
    socket: Option<UdpSocket>,
    /// The member numbers by address.
    member_numbers: BTreeMap<SocketAddr, u16>,
    /// When listening is retried, if the address was in use.
    listen_retry_at: Option<MonotonicTime>,
    load_sharing: Option<LoadSharing>,
    cluster: Option<Cluster>,
    /// Number of rejected datagrams by cause.
    rejected: BTreeMap<DecodeError, u64>,
}

fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The member number, as datagrams carry it, of the gateway with an index in the list of addresses.
fn member_number(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}

impl Peers {
    /// Starts the exchange and listens. Without a socket or peers, each component works by the observations of this
    /// gateway alone.
    pub fn new(now: MonotonicTime, settings: &PeerSettings) -> Self {
        let mut peers = Peers {
            addresses: Addresses::default(),
            socket: None,
            member_numbers: BTreeMap::new(),
            listen_retry_at: None,
            load_sharing: None,
            cluster: None,
            rejected: BTreeMap::new(),
        };
        peers.configure(now, settings);
        peers
    }

    /// Replaces the settings; the state of the components stays.
    pub fn configure(&mut self, now: MonotonicTime, settings: &PeerSettings) -> SocketChange {
        self.configure_load_sharing(now, settings);
        self.configure_cluster(now, settings);
        let addresses = settings.addresses.all.iter().enumerate();
        self.member_numbers = addresses.map(|(index, address)| (*address, member_number(index))).collect();
        let address_changed = self.addresses.own != settings.addresses.own;
        self.addresses = settings.addresses.clone();
        if !address_changed {
            return SocketChange::Unchanged;
        }
        self.socket = None;
        self.listen(now);
        SocketChange::Replaced
    }

    fn configure_load_sharing(&mut self, now: MonotonicTime, settings: &PeerSettings) {
        let PeerSettings { addresses, configured, seed, .. } = settings;
        let position = TierPosition { own_index: addresses.own_index, gateways: addresses.all.len() };
        match (&mut self.load_sharing, settings.spread.clone()) {
            (Some(load_sharing), Some(file)) => load_sharing.configure(file, position),
            (load_sharing, file) => {
                *load_sharing =
                    file.map(|file| LoadSharing::new(now, file, configured.zone, position, *seed));
            }
        }
    }

    fn configure_cluster(&mut self, now: MonotonicTime, settings: &PeerSettings) {
        match (&mut self.cluster, settings.fleet.clone()) {
            (Some(cluster), Some(file)) => cluster.configure(membership_time(cluster, now), file, settings),
            (cluster, file) => *cluster = file.map(|file| Cluster::new(now, file, settings)),
        }
        // They take effect with the configuration, so the next tick need not notify of them.
        if let Some(cluster) = &mut self.cluster {
            cluster.update_quotas(now);
        }
    }

    fn listen(&mut self, now: MonotonicTime) {
        self.listen_retry_at = None;
        match self.addresses.own.map(open_socket) {
            Some(Ok(socket)) => self.socket = Some(socket),
            // Not fatal: without peers each component works by the observations of this gateway alone.
            Some(Err(error)) => {
                warn!(%error, "peer_listen: cannot listen");
                self.listen_retry_at = Some(now + LISTEN_RETRY_INTERVAL);
            }
            None => {}
        }
    }

    /// The socket, for the poller.
    pub fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// Whether load sharing is on.
    pub fn exchanges_load(&self) -> bool {
        self.load_sharing.is_some()
    }

    /// The quotas that may be used, if they are leased.
    pub fn quotas(&self) -> Option<Quotas> {
        self.cluster.as_ref().and_then(Cluster::quotas)
    }

    /// The number of gateways whose nodes exist, while the lease is held. It serves to estimate the load by the
    /// others; quotas are those of [`Peers::quotas`].
    pub fn standing(&self) -> Option<NodeCounts> {
        self.cluster.as_ref().and_then(Cluster::standing)
    }

    /// When [`Peers::tick`] is due.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let load_sharing = self.load_sharing.as_ref().map(LoadSharing::next_due);
        let cluster = self.cluster.as_ref().map(Cluster::next_due);
        [load_sharing, cluster, self.listen_retry_at].into_iter().flatten().min()
    }

    /// Replaces the list of stores of the own location that are up, and the number of gateways that sample their load.
    pub fn set_stores(&mut self, now: MonotonicTime, stores: Vec<ServerId>, quota_divisor: u64) {
        if let Some(load_sharing) = &mut self.load_sharing {
            load_sharing.handle(now, Input::StoresChanged { stores, quota_divisor }, &mut Vec::new());
        }
    }

    /// Records a load report of a store.
    pub fn record_load(&mut self, now: MonotonicTime, store: ServerId, load: f64) {
        if let Some(load_sharing) = &mut self.load_sharing {
            load_sharing.handle(now, Input::LoadReport { store, load }, &mut Vec::new());
        }
    }

    /// Handles an event of the gateways' sessions with the ensemble.
    pub fn handle_session(&mut self, now: MonotonicTime, input: lease::Input) -> Vec<Effect> {
        let Some(cluster) = &mut self.cluster else { return Vec::new() };
        cluster.handle_session(now, input);
        let changed = cluster.update_quotas(now) == QuotaChange::Changed;
        changed.then_some(Effect::QuotasChanged).into_iter().collect()
    }

    /// Runs the rounds that are due. `avoided` has the stores that the decision module avoids now, by the
    /// observations of this gateway.
    pub fn tick(&mut self, now: MonotonicTime, avoided: BTreeSet<ServerId>) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.listen_retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.listen(now);
            if self.socket.is_some() {
                if let Some(cluster) = &mut self.cluster {
                    cluster.take_over_socket(membership_time(cluster, now));
                }
                effects.push(Effect::SocketReplaced);
            }
        }
        self.tick_load_sharing(now, &mut effects);
        self.tick_cluster(now, avoided, &mut effects);
        effects
    }

    fn tick_load_sharing(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        if let Some(load_sharing) = &mut self.load_sharing {
            load_sharing.handle(now, Input::Tick, &mut outputs);
        }
        for output in outputs {
            match output {
                Output::Send { peer, body } => self.send(peer, MessageKind::Load, &body),
                Output::SampleLoad(store) => effects.push(Effect::SampleLoad(store)),
                Output::OffloadShares(shares) => {
                    let shares = shares.iter().map(|offload| (offload.store, offload.share)).collect();
                    effects.push(Effect::OffloadShares(shares));
                }
            }
        }
    }

    fn tick_cluster(&mut self, now: MonotonicTime, avoided: BTreeSet<ServerId>, effects: &mut Vec<Effect>) {
        let own_member = member_number(self.addresses.own_index);
        let Some(cluster) = &mut self.cluster else { return };
        let outputs = cluster.handle_membership(membership_time(cluster, now), tiers::Input::Tick);
        if cluster.update_quotas(now) == QuotaChange::Changed {
            effects.push(Effect::QuotasChanged);
        }
        cluster.observe_avoided(now, own_member, avoided);
        let health_round = cluster.take_health_round(now);
        self.execute(outputs);
        if let Some(HealthRound { receivers, body }) = health_round {
            for receiver in receivers {
                self.send(usize::from(receiver), MessageKind::StoreHealth, &body);
            }
        }
    }

    /// Notifies the peers that the graceful shutdown of this gateway begins.
    pub fn leave(&mut self, now: MonotonicTime) {
        if let Some(cluster) = &mut self.cluster {
            let outputs = cluster.handle_membership(membership_time(cluster, now), tiers::Input::Leave);
            self.execute(outputs);
        }
    }

    /// The status of the load sharing for operators as JSON, if it is on.
    pub fn load_report(&self, now: MonotonicTime) -> Option<String> {
        let status = self.load_sharing.as_ref()?.status(now);
        Some(serde_json::to_string(&status).unwrap_or_default())
    }

    /// The status of the fleet for operators as JSON, if it is on.
    pub fn fleet_report(&self, now: MonotonicTime) -> Option<String> {
        self.cluster.as_ref().map(|cluster| cluster.report(membership_time(cluster, now), &self.rejected))
    }
}
