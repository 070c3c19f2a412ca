//! Open-loop load on the platform's front: requests are sent when they are due, whatever became of those before, and
//! latency counts from then (no coordinated omission). Histograms are hdrhistogram's.
mod connection;
mod player;
mod result;
mod wire;

pub use player::play;
pub use result::{LoadResult, SecondCounts};

use larchway::Micros;

/// The load that is put on a gateway.
#[derive(Debug, Clone)]
pub struct Load {
    /// The first byte of all ids: which gateway.
    pub gateway: u8,
    /// Requests a second, as a Poisson process.
    pub rate: f64,
    /// How long the client waits, ms.
    pub ttl_ms: u64,
    /// The latency objective: a request that is served within it is in time, ms.
    pub objective_ms: u64,
    /// The class of the reads.
    pub class: String,
    /// Objects that are requested.
    pub objects: u64,
    /// Their popularity: the exponent of Zipf's law; 0: evenly.
    pub zipf: f64,
    /// Share of the requests that are writes, under an idempotency key each; class `bid-submit`.
    pub writes: f64,
    /// For how long requests are sent.
    pub span: Micros,
    /// Decides on times and objects.
    pub seed: u64,
    /// The connections that it is spread over.
    pub connections: Connections,
}

/// The connections that a load is spread over: with hundreds of gateways, few that are polled rarely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// How many.
    pub count: usize,
    /// µs between two polls of them.
    pub poll_interval: Micros,
}

impl Connections {
    /// Those for a load on one of few gateways.
    pub const FEW_GATEWAYS: Connections = Connections { count: 8, poll_interval: 300 };
}
