//! Read-only views of a router for its caller; nothing is decided here.
use super::Router;
use crate::interface::ServerId;
use crate::time::MonotonicTime;

/// Numbers of entries touched by decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntriesTouched {
    /// Servers examined one by one.
    pub servers: u64,
    /// Ranks computed by rendezvous hashing, one for each candidate of a search.
    pub places: u64,
}

/// Why the router rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// No further attempt is allowed, or none could end before the client gives up.
    AttemptsExhausted,
    /// No cache of the location is up and not ejected.
    NoServer,
    /// The caches that are up are warming up, and their slow start budgets are used up.
    SlowStart,
    /// A cache could be asked, but no answer would meet the latency objective, or fills are withheld.
    NotInTime,
}

/// Numbers of requests that the router has rejected since its start, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RejectionCounts {
    /// No further attempt was allowed, or none could have ended before the client gave up.
    pub attempts_exhausted: u64,
    /// No cache of the location was up and not ejected.
    pub no_server: u64,
    /// The caches that were up were warming up, and their slow start budgets were used up.
    pub slow_start: u64,
    /// A cache could be asked, but no answer would have met the latency objective, or fills were withheld.
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
    /// Numbers of rejected requests by reason.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// The servers that are warming up now.
    pub fn warming(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.values().filter(move |s| self.warm_share_at(s, now) < 1.0).map(|s| s.host.server)
    }

    /// Number of listed servers.
    pub fn servers(&self) -> usize {
        self.servers.len() + self.unreachable.len()
    }

    /// The cost of all decisions since the start, as numbers of entries touched.
    pub fn entries_touched(&self) -> EntriesTouched {
        EntriesTouched { servers: self.candidates.examined(), places: self.candidates.ranks_computed() }
    }

    /// The servers that are ejected now: they get single trial requests only.
    pub fn avoided(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.values().filter(move |s| s.is_ejected(now)).map(|s| s.host.server)
    }
}
