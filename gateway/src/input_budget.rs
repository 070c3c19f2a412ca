//! The limits on one iteration of the event loop, and on the work that one connection causes in it.
//!
//! Danger: a peer that sends small messages at full speed has thousands of them in a buffer of the kernel. If all
//! were handled before the next connection has its turn, a few dozen such peers would delay all others by seconds.
use crate::thrift::MAX_OPEN_REQUESTS;
use std::time::Duration;

/// Time limit of one iteration of the loop; remaining events are polled again. It keeps callers of the console, who
/// have a time-out of one second, from waiting.
pub const MAX_ITERATION_TIME: Duration = Duration::from_millis(20);
/// Maximum number of messages of one connection that are handled in one iteration: twice as many as the requests that
/// a client may have open, so that those and their cancellations are never split.
pub const MAX_MESSAGES_PER_ITERATION: usize = 2 * MAX_OPEN_REQUESTS;
/// Number of bytes of handled messages after which no further one of the connection is handled in the same iteration.
pub const MAX_MESSAGE_BYTES_PER_ITERATION: usize = 256 * 1024;

/// The messages of one connection that were handled in the current iteration.
#[derive(Debug, Default, Clone, Copy)]
pub struct InputBudget {
    iteration: u64,
    messages: usize,
    bytes: usize,
}

impl InputBudget {
    /// Whether a further message may be handled in this iteration.
    pub fn allows(&self, iteration: u64) -> bool {
        self.iteration != iteration
            || (self.messages < MAX_MESSAGES_PER_ITERATION && self.bytes < MAX_MESSAGE_BYTES_PER_ITERATION)
    }

    /// Records that a message of `bytes` was handled in this iteration.
    pub fn charge(&mut self, iteration: u64, bytes: usize) {
        if self.iteration != iteration {
            *self = InputBudget { iteration, ..InputBudget::default() };
        }
        self.messages += 1;
        self.bytes += bytes;
    }
}
