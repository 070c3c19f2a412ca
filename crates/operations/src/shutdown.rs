//! The deadline for replies of a process that shuts down.
use larchway::MonotonicTime;
use std::time::Duration;

/// Longest request deadline that the platform waits for after the signal to stop.
const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// Time after that wait in which the last replies must be written. The platform kills the process 100 ms later, and a
/// reply needs time on the network.
const REPLY_GRACE: Duration = Duration::from_millis(600);

/// Returns the time by which a stopping process must have replied to the requests that arrived last.
pub fn final_reply_deadline(stopped_at: MonotonicTime, longest_deadline: Duration) -> MonotonicTime {
    stopped_at + longest_deadline.min(MAX_DEADLINE_WAIT) + REPLY_GRACE
}
