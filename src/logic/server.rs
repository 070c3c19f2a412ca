//! A listed server and what has been observed of it; nothing is decided here.
use super::recent_work::RecentWork;
use super::state::Indicator;
use crate::interface::Host;
use crate::roles::PerRole;
use crate::statistics::{DecayingLevel, SlidingSum};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time taken over sending time, as it was last observed.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "(f64, MonotonicTime)", into = "(f64, MonotonicTime)")
)]
pub(super) struct Pace {
    /// The ratio, smoothed.
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
    /// When this router was notified of that start.
    pub notified_at: MonotonicTime,
    /// Its indications, as edge cache and as source.
    pub roles: PerRole<Indicator>,
    /// Attempts in flight to it.
    pub in_flight: DecayingLevel,
    /// Transfers that it carries at full pace.
    pub flows: Option<f64>,
    /// Work sent of late by this process.
    pub sent: RecentWork,
    /// Work (µs) sent of late by other processes of the same router.
    pub sent_by_others: SlidingSum,
    /// The usual rate of the work sent.
    pub rate: DecayingLevel,
    /// Share of failed answers of late, from 0 to 1.
    pub failure_share: f64,
    /// Whether no connection was had, and no success has come since.
    pub lost: bool,
    /// Time taken over sending time of late.
    pub pace: Pace,
    /// The pause between single trials while it is ejected; zero while it is not.
    pub backoff: Duration,
    /// When the next trial may go to it.
    pub retry_at: MonotonicTime,
    /// When an attempt at it last ended with a response.
    pub last_response: MonotonicTime,
    /// When it last supplied a fill.
    pub last_fill: MonotonicTime,
}

impl Server {
    pub(super) fn new(host: Host) -> Self {
        let started = host.known_start();
        Server { host, started, ..Server::default() }
    }
}
