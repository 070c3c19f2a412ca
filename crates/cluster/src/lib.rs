//! Cluster state of a tier of gateways: which members are alive ([`failure_detector`]), what share of the divided
//! quotas each may use ([`lease`]), and gossip about the health of stores ([`store_health`]). In a large fleet,
//! gateways monitor each other within a site and know only how many are alive elsewhere ([`tiers`]). All datagrams
//! between them share one envelope ([`wire`]). No I/O; the clock is an argument. See `docs/design/fleet.md` and
//! `docs/design/membership-tiers.md`.
pub mod failure_detector;
mod fleet_file;
pub mod lease;
pub mod store_health;
pub mod tiers;
pub mod wire;

pub use fleet_file::{FleetFile, FleetFileError};
