//! Limits and time-outs of a relay.
use crate::batch::DEFAULT_GZIP_LEVEL;
use crate::log::LogLimits;
use crate::positions::PositionLimits;
use crate::scope::Scope;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits and time-outs of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Limits of the event log.
    pub log: LogLimits,
    /// Time after which the open batch of events is sealed.
    pub batch_interval: Duration,
    /// Bytes of event text at which the open batch is sealed early.
    pub batch_bytes: usize,
    /// Maximum number of sealed batches. A subscriber further behind returns to catch-up pages.
    pub max_batches: usize,
    /// Maximum bytes of the texts and encoded pieces of sealed batches. The oldest batches are dropped beyond it.
    pub ring_bytes: usize,
    /// Events per catch-up page. Pages begin at multiples of this number plus one.
    pub page_events: u64,
    /// Maximum bytes of cached pages and snapshots. The least recently used is dropped beyond it.
    pub cache_bytes: usize,
    /// Maximum number of subscribers that catch up at the same time. Others wait in order of arrival.
    pub max_catching_up: usize,
    /// Maximum number of subscribers waiting for readiness or catch-up. Others are rejected with
    /// [`RejectReason::NotReady`](super::RejectReason::NotReady) or [`RejectReason::Busy`](super::RejectReason::Busy).
    pub max_waiting: usize,
    /// Maximum time that a subscriber waits for the relay to become ready. Twice the heartbeat interval: a relay with a
    /// live upstream is ready by then, and with a dead upstream its subscribers still reach another relay within the 4
    /// s in which a store list change must be in force.
    pub readiness_timeout: Duration,
    /// Maximum time that a subscriber waits for catch-up, including the wait for readiness.
    pub admission_timeout: Duration,
    /// Maximum duration of a subscriber's catch-up before it is disconnected.
    pub catch_up_timeout: Duration,
    /// Time for which a subscriber may leave a sealed batch unread before it is disconnected.
    pub stall_timeout: Duration,
    /// Maximum number of subscribers, including waiting ones. Others are rejected.
    pub max_subscribers: usize,
    /// Minimum `Retry-After` of a rejection.
    pub retry_after: Duration,
    /// Maximum random time added to `retry_after`.
    pub retry_jitter: Duration,
    /// Minimum time between two position reports to upstream.
    pub report_interval: Duration,
    /// Limits of the position aggregate.
    pub positions: PositionLimits,
    /// Scopes by name.
    pub scopes: BTreeMap<String, Scope>,
    /// Gzip compression level, 0 to 9.
    pub gzip_level: u32,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl Default for RelaySettings {
    fn default() -> RelaySettings {
        RelaySettings {
            log: LogLimits { events: 200_000, bytes: 64 << 20 },
            batch_interval: Duration::from_millis(250),
            batch_bytes: 256 << 10,
            max_batches: 256,
            ring_bytes: 16 << 20,
            page_events: 1000,
            cache_bytes: 16 << 20,
            max_catching_up: 64,
            max_waiting: 16_384,
            readiness_timeout: Duration::from_secs(2),
            admission_timeout: Duration::from_secs(5),
            catch_up_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(10),
            max_subscribers: 16_384,
            retry_after: Duration::from_secs(1),
            retry_jitter: Duration::from_secs(2),
            report_interval: Duration::from_secs(1),
            positions: PositionLimits {
                lost_retention: Duration::from_secs(10),
                max_lost: 16_384,
                max_advances: 4096,
            },
            scopes: BTreeMap::new(),
            gzip_level: DEFAULT_GZIP_LEVEL,
            seed: 0,
        }
    }
}
