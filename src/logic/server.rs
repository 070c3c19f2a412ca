//! A listed server and what has been observed of it; nothing is decided here.
use super::recent_work::RecentWork;
use super::state::Indicator;
use crate::interface::Host;
use crate::roles::PerRole;
use crate::statistics::{DecayingLevel, SlidingSum};
use crate::time::MonotonicTime;
use std::time::Duration;

/// The pace of a server, time taken over sending time, with the time of its last observation.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "(f64, MonotonicTime)", into = "(f64, MonotonicTime)")
)]
pub(super) struct Pace {
    /// Moving average of the ratio; 1 is full pace.
    pub value: f64,
    /// When it was observed.
    pub observed_at: MonotonicTime,
}

impl From<Pace> for (f64, MonotonicTime) {
    fn from(pace: Pace) -> (f64, MonotonicTime) {
        (pace.value, pace.observed_at)
    }
}

impl From<(f64, MonotonicTime)> for Pace {
    fn from((value, observed_at): (f64, MonotonicTime)) -> Pace {
        Pace { value, observed_at }
    }
}

/// A listed server and what has been observed of it.
#[derive(Default)]
pub(super) struct Server {
    pub host: Host,
    /// When it started, as listed or as its failures suggest.
    pub started: Option<MonotonicTime>,
    /// When this router learned of that start.
    pub notified_at: MonotonicTime,
    /// Quality of its indications as edge cache and as source.
    pub roles: PerRole<Indicator>,
    /// Attempts in flight at the server.
    pub in_flight: DecayingLevel,
    /// Observed number of transfers that it carries at full pace; none before any observation.
    pub flows: Option<f64>,
    /// Work recently sent by this process.
    pub sent: RecentWork,
    /// Work (µs) recently sent by other processes of the same router.
    pub sent_by_others: SlidingSum,
    /// Rate of the work sent to it.
    pub rate: DecayingLevel,
    /// Moving average of the share of failed answers, from 0 to 1.
    pub failure_share: f64,
    /// Whether a connection to it failed and no attempt has succeeded since.
    pub lost: bool,
    /// Recent time taken over sending time.
    pub pace: Pace,
    /// Pause between single trials after an ejection; zero once it has recovered.
    pub backoff: Duration,
    /// When the next trial may be sent to it.
    pub retry_at: MonotonicTime,
    /// When an attempt at the server last ended with a response.
    pub last_response: MonotonicTime,
    /// When it last delivered a fill.
    pub last_fill: MonotonicTime,
}

impl Server {
    pub(super) fn new(host: Host) -> Self {
        let started = host.known_start();
        Server { host, started, ..Server::default() }
    }
}
