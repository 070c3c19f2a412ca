//! Plain data types of the decision module, without any decision.
use crate::interface::ServerId;
use crate::roles::PerRole;
use crate::time::MonotonicTime;

/// The servers chosen for an attempt, with the expectations behind the choice.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub edge: ServerId,
    /// The server that fills a miss; equal to `edge` if nothing is filled.
    pub source: ServerId,
    /// Whether the source is a sibling cache.
    pub sibling: bool,
    /// Whether the source may only serve from its cache.
    pub cached_only: bool,
    /// Whether the attempt is likely to use the location's link.
    pub link: bool,
    /// Whether the edge cache and the source have a record of a hit of the object.
    pub positive: PerRole<bool>,
    /// Expected duration of the attempt in microseconds.
    pub expected: f64,
}

/// Observations of a part of an object.
#[derive(Debug, Default, Clone)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Item {
    /// The purge group.
    pub group: u64,
    /// Number of requests since the last long pause.
    pub seen: u32,
    /// Time of the last request.
    pub last: MonotonicTime,
    /// Observed sending time in microseconds.
    pub work: Option<f64>,
    /// Recorded hits: the server and the time of its last hit.
    pub hits: Vec<(ServerId, MonotonicTime)>,
}
