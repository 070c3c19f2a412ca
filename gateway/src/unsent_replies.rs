//! The replies of a connection's output that are not written completely.
//!
//! A request is open for its client until the reply has come. Danger: a client that sends and never reads gets a
//! reply to each message, however small; if they were not counted, they would take the memory that all clients share.
use std::collections::VecDeque;

/// The ends of the unsent replies, as positions in all that was ever appended to the output. As many as messages are
/// handled before [`Self::count`] is looked at: the owner of the connection sets the bound.
#[derive(Debug, Default)]
pub struct UnsentReplies {
    written: u64,
    ends: VecDeque<u64>,
}

impl UnsentReplies {
    /// Records that the output, which has `unsent_bytes`, may have a further reply at its end.
    pub fn record_output(&mut self, unsent_bytes: usize) {
        let end = self.written + unsent_bytes as u64;
        if end > self.ends.back().copied().unwrap_or(self.written) {
            self.ends.push_back(end);
        }
    }

    /// Records that bytes of the output were written.
    pub fn record_written(&mut self, bytes: usize) {
        self.written += bytes as u64;
        while self.ends.front().is_some_and(|end| *end <= self.written) {
            self.ends.pop_front();
        }
    }

    /// Number of replies that are not written completely.
    pub fn count(&self) -> usize {
        self.ends.len()
    }
}
