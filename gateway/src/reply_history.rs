//! How a client has taken its replies of late.
use larchway::MonotonicTime;
use std::time::Duration;

/// Time for which output is unsent after which a client counts as one that reads slowly.
const SLOW_READING_TIME: Duration = Duration::from_millis(100);
/// Time after which a client that does not read its replies is disconnected.
pub(crate) const UNREAD_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which what a client was seen to do counts.
const OBSERVATION_TIME: Duration = UNREAD_ANSWERS_TIMEOUT;

/// What is known of a client's replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHistory {
    /// Since when some output is unsent without a break.
    unsent_since: Option<MonotonicTime>,
    /// Until when the client counts as one that reads slowly.
    reads_slowly_until: MonotonicTime,
    /// Until when the client counts as one that asks for long replies; none if it was not served yet.
    gets_long_replies_until: Option<MonotonicTime>,
}

impl Default for ReplyHistory {
    fn default() -> Self {
        ReplyHistory {
            unsent_since: None,
            reads_slowly_until: MonotonicTime::MIN,
            gets_long_replies_until: None,
        }
    }
}

impl ReplyHistory {
    /// Records whether output is unsent after an attempt to write it.
    pub fn record_write(&mut self, now: MonotonicTime, has_unsent_output: bool) {
        if !has_unsent_output {
            self.unsent_since = None;
            return;
        }
        let unsent_since = *self.unsent_since.get_or_insert(now);
        if now >= unsent_since + SLOW_READING_TIME {
            self.reads_slowly_until = now + OBSERVATION_TIME;
        }
    }

    /// Whether output was unsent for so long in the last seconds that the client reads slowly.
    pub fn reads_slowly(&self, now: MonotonicTime) -> bool {
        now < self.reads_slowly_until
    }

    /// Records that the client was served with a reply, which is long or short.
    pub fn record_served(&mut self, now: MonotonicTime, is_long: bool) {
        if is_long {
            self.gets_long_replies_until = Some(now + OBSERVATION_TIME);
        } else {
            self.gets_long_replies_until.get_or_insert(now);
        }
    }

    /// Whether the client was served, and with short replies alone in the last seconds.
    pub fn gets_short_replies(&self, now: MonotonicTime) -> bool {
        self.gets_long_replies_until.is_some_and(|until| until <= now)
    }
}
