//! Work that failed because this machine was short of something, and is done again after a backoff.
use crate::system_errors::{backoff, SystemCallError};
use larchway::MonotonicTime;
use std::time::Duration;

/// How long a reload is tried again while this machine is short of something: a descriptor for a file, a socket for a
/// new listener.
const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a reload that was tried first at `since`, and failed now, is to be tried again.
pub fn should_retry_reload(error: &impl SystemCallError, now: MonotonicTime, since: MonotonicTime) -> bool {
    error.is_local_shortage() && now < since + RELOAD_RETRY_TIMEOUT
}

/// Work that is done again.
#[derive(Debug)]
pub struct Postponed<T> {
    /// What is to be done.
    pub work: T,
    /// When it was tried first.
    pub since: MonotonicTime,
    retry_at: MonotonicTime,
}

impl<T> Postponed<T> {
    /// Postpones work that failed now; `since`: when it was tried first.
    pub fn new(now: MonotonicTime, since: MonotonicTime, work: T) -> Postponed<T> {
        Postponed { work, since, retry_at: now + backoff(now - since) }
    }

    /// When it is tried next.
    pub fn retry_at(&self) -> MonotonicTime {
        self.retry_at
    }
}

/// Takes out what is to be tried now, if anything is.
pub fn take_due<T>(postponed: &mut Option<Postponed<T>>, now: MonotonicTime) -> Option<Postponed<T>> {
    postponed.take_if(|postponed| postponed.retry_at <= now)
}
