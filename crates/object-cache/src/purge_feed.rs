//! The state of the purge feed. While the feed is not current, purges of cached objects may have been missed.
use larchway::MonotonicTime;
use std::time::Duration;

/// Default maximum silence of the feed, which carries a heartbeat every second.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The source of purges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PurgeSource {
    /// A feed: cached objects answer only while it is current.
    Feed,
    /// No source: nothing is ever purged.
    None,
}

/// The state of the connection to the feed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FeedState {
    /// No feed is configured: nothing is ever purged.
    NotConfigured,
    /// The feed is connected; something was last received at this time.
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

    /// Sets the source of purges. A newly configured feed counts as disconnected.
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

    /// Whether all purges up to now can be assumed to have been received.
    pub(crate) fn is_current(&self, now: MonotonicTime) -> bool {
        match self.state {
            FeedState::NotConfigured => true,
            FeedState::ActiveAt(last_received) => now <= last_received + self.timeout,
            FeedState::Disconnected => false,
        }
    }
}
