//! Work that failed because of a local shortage and is retried after a backoff.
use crate::system_errors::{backoff, SystemCallError};
use larchway::MonotonicTime;
use std::time::Duration;

/// How long a reload is retried during a local shortage, such as of a descriptor for a file or a socket for a listener.
const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a reload that failed now, and was first tried at `since`, is to be retried.
pub fn should_retry_reload(error: &impl SystemCallError, now: MonotonicTime, since: MonotonicTime) -> bool {
    error.is_local_shortage() && now < since + RELOAD_RETRY_TIMEOUT
}

/// Work that is to be retried.
#[derive(Debug)]
pub struct Postponed<T> {
    /// The work.
    pub work: T,
    /// When it was first tried.
    pub since: MonotonicTime,
    retry_at: MonotonicTime,
}

impl<T> Postponed<T> {
    /// Postpones work that failed now; `since`: when it was first tried.
    pub fn new(now: MonotonicTime, since: MonotonicTime, work: T) -> Postponed<T> {
        Postponed { work, since, retry_at: now + backoff(now - since) }
    }

    /// When the work is retried.
    pub fn retry_at(&self) -> MonotonicTime {
        self.retry_at
    }
}

/// Takes the postponed work out if it is time to retry it.
pub fn take_due<T>(postponed: &mut Option<Postponed<T>>, now: MonotonicTime) -> Option<Postponed<T>> {
    postponed.take_if(|postponed| postponed.retry_at <= now)
}
