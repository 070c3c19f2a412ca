//! The settings of the exchange between the gateways of a tier.
use larchway_cluster::lease::ClusterSize;
use larchway_cluster::tiers::Topology;
use larchway_cluster::FleetFile;
use larchway_load_sharing::SpreadFile;
use std::net::SocketAddr;
use std::sync::Arc;

/// The addresses on which the gateways of a tier exchange datagrams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Addresses {
    /// The address on which this gateway listens, if the configuration allows datagrams.
    pub own: Option<SocketAddr>,
    /// The addresses of all gateways of the tier, this one included, in the order of their member numbers.
    pub all: Vec<SocketAddr>,
    /// The index of this gateway in `all`.
    pub own_index: usize,
}

/// The settings of the exchange. Load sharing and the fleet are each off without their file.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The file of the load sharing.
    pub spread: Option<SpreadFile>,
    /// The file of the fleet: failure detector, quota leases and gossip of stores' health.
    pub fleet: Option<FleetFile>,
    /// The sites, zones and regions of the gateways, if membership is tiered. Without the file of the fleet they have
    /// no effect.
    pub topology: Option<Arc<Topology>>,
    /// The addresses of the gateways.
    pub addresses: Addresses,
    /// The number of gateways according to the configuration.
    pub configured: ClusterSize,
    /// Whether quotas are leased, which requires sessions with an ensemble.
    pub quotas_leased: bool,
    /// The seed of random numbers; it differs at each start.
    pub seed: u64,
}

impl PeerSettings {
    /// Whether neither load sharing nor the fleet is on.
    pub fn is_disabled(&self) -> bool {
        self.spread.is_none() && self.fleet.is_none()
    }
}
