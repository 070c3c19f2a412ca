//! Whether the feed of purges is current. While it is not, a cached object may have been purged unnoticed.
use larchway::MonotonicTime;
use std::time::Duration;

/// How long the feed may be silent by default: it carries a heartbeat every second.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Where purges come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PurgeSource {
    /// A feed: objects answer only while it is current.
    Feed,
    /// Nowhere: nothing is ever purged.
    None,
}

/// The connection to the feed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FeedState {
    /// No feed is configured: nothing is ever purged.
    NotConfigured,
    /// Something was received, last at this time.
    ActiveAt(MonotonicTime),
    /// The feed is not connected.
    Disconnected,
}

/// The feed of purges as the cache sees it.
#[derive(Debug)]
pub(crate) struct PurgeFeed {
    state: FeedState,
    timeout: Duration,
}

impl PurgeFeed {
    /// A feed that is configured but not connected yet.
    pub(crate) fn new() -> Self {
        PurgeFeed { state: FeedState::Disconnected, timeout: DEFAULT_TIMEOUT }
    }

    /// Sets where purges come from. A feed that is new counts as disconnected.
    pub(crate) fn set_source(&mut self, source: PurgeSource) {
        match source {
            PurgeSource::None => self.state = FeedState::NotConfigured,
            PurgeSource::Feed if self.state == FeedState::NotConfigured => {
                self.state = FeedState::Disconnected;
            }
            PurgeSource::Feed => {}
        }
    }

    /// Sets how long the feed may be silent; without a value the default applies.
    pub(crate) fn set_timeout(&mut self, timeout: Option<Duration>) {
        self.timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    }

    /// Records that something was received.
    pub(crate) fn record_activity(&mut self, now: MonotonicTime) {
        self.state = FeedState::ActiveAt(now);
    }

    /// Records that the connection was lost.
    pub(crate) fn record_disconnect(&mut self) {
        self.state = FeedState::Disconnected;
    }

    /// Whether all purges up to now can be assumed to be known.
    pub(crate) fn is_current(&self, now: MonotonicTime) -> bool {
        match self.state {
            FeedState::NotConfigured => true,
            FeedState::ActiveAt(last_received) => now <= last_received + self.timeout,
            FeedState::Disconnected => false,
        }
    }
}
