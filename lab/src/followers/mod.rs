//! Hollow followers of events, thousands in one process: the product's own subscriber and event reader on real sockets,
//! without what a gateway does with an event.
mod run;

pub use run::follow;

use larchway::Micros;
use larchway_distribution::subscriber::SourceKind;
use larchway_distribution::EventNumber;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The line on the standard input at which all followers close their connections.
pub const LEAVE: &str = "leave";
/// The line at which all come back at once.
pub const COME_BACK: &str = "come back";

/// The followers, and what they follow.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The sources; each follower has them in an order of its own.
    pub sources: Vec<SocketAddr>,
    /// What the sources are.
    pub kind: SourceKind,
    /// How many followers.
    pub count: usize,
    /// Decides on orders and jitter.
    pub seed: u64,
}

/// How far an event has got.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Applied {
    /// Followers that have.
    pub followers: usize,
    /// When the last of them did, Unix µs.
    pub last: Micros,
}

/// What the followers have seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Seen {
    /// By event number.
    pub applied: BTreeMap<EventNumber, Applied>,
    /// Gaps, each of which makes one gateway drop its copies.
    pub gaps: u64,
    /// Connections begun.
    pub dials: u64,
    /// Bytes read.
    pub bytes: u64,
}
