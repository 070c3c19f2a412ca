//! The status for operators. Its JSON keys are those of the console.
use larchway::ServerId;
use serde::Serialize;

/// The status of the load sharing at this gateway.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The mean load of the stores with a usable estimate; 0 if there is none.
    pub mean: f64,
    /// Number of datagrams sent to peers.
    pub sent: u64,
    /// Number of datagrams received and merged.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Number of rejected datagrams, which cannot be decoded or concern another zone or list of stores.
    #[serde(rename = "turned_down")]
    pub rejected: u64,
    /// The stores of the location.
    pub stores: Vec<StoreStatus>,
}

/// The status of one store.
#[derive(Debug, Clone, Serialize)]
pub struct StoreStatus {
    /// The number of the store.
    pub store: ServerId,
    /// The estimated load of the store.
    pub load: f64,
    /// The present weight of the estimate, in load reports.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// The share of its objects that it offloads at this gateway.
    #[serde(rename = "shed")]
    pub offload_share: f64,
}
