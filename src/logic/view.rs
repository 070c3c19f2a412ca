//! What can be seen of a router from outside; nothing is decided here.
use super::Router;
use crate::interface::ServerId;
use crate::time::MonotonicTime;

/// Entries that were touched to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntriesTouched {
    /// Servers looked at.
    pub servers: u64,
    /// Places drawn by the shared hash, one a candidate and search.
    pub places: u64,
}

/// Why the module gave a request up by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// No further attempt is allowed, or none could end in time.
    AttemptsExhausted,
    /// No cache that it may go to is up and not ejected.
    NoServer,
    /// All of these are warming up, and the budgets of slow start are used.
    SlowStart,
    /// Servers could be asked, but no answer would be in time, or fills are withheld.
    NotInTime,
}

/// Requests that the module has given up by itself since the start, by the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RejectionCounts {
    /// No further attempt was allowed, or none could have ended in time.
    pub attempts_exhausted: u64,
    /// No cache that it might have gone to was up and not ejected.
    pub no_server: u64,
    /// All of these were warming up, and the budgets of slow start were used.
    pub slow_start: u64,
    /// Servers could be asked, but no answer would have been in time, or fills were withheld.
    pub not_in_time: u64,
}

impl RejectionCounts {
    pub(super) fn count(&mut self, reason: RejectionReason) {
        match reason {
            RejectionReason::AttemptsExhausted => self.attempts_exhausted += 1,
            RejectionReason::NoServer => self.no_server += 1,
            RejectionReason::SlowStart => self.slow_start += 1,
            RejectionReason::NotInTime => self.not_in_time += 1,
        }
    }
}

impl Router {
    /// Requests that were given up, by the reason.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// The servers that are warming up now.
    pub fn warming(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.values().filter(move |s| self.warm_share_at(s, now) < 1.0).map(|s| s.host.server)
    }

    /// How many servers are listed.
    pub fn servers(&self) -> usize {
        self.servers.len() + self.unreachable.len()
    }

    /// What deciding has cost since the start: servers looked at one by one, and places drawn by the shared
    /// hash.
    pub fn entries_touched(&self) -> EntriesTouched {
        EntriesTouched { servers: self.candidates.examined(), places: self.candidates.drawn() }
    }

    /// The servers that it avoids now by its own choice: those left to single trials after failures.
    pub fn avoided(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.values().filter(move |s| s.is_ejected(now)).map(|s| s.host.server)
    }
}
