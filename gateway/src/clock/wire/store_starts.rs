//! The reported starts of the listed stores' processes.
use super::CLOCK_TOLERANCE;
use larchway::{duration_micros, MonotonicTime, ServerId};
use larchway_unix_time::{Anchor, UnixMicros};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most starts that are remembered. Beyond that the earliest one is dropped, since that store has warmed up.
pub(super) const MAX_STARTS: usize = 20_000;

/// The start of a store's process.
#[derive(Debug, Clone, Copy)]
struct Start {
    /// The reported time.
    reported: UnixMicros,
    /// The start on the monotonic clock.
    started_at: MonotonicTime,
}

impl Start {
    /// The start of the same process by the slightly different report of another source.
    fn adjusted_to(&self, reported: UnixMicros) -> MonotonicTime {
        let (reported, known) = (reported.as_micros(), self.reported.as_micros());
        let earlier = self.started_at.saturating_sub(Duration::from_micros(known.saturating_sub(reported)));
        earlier.saturating_add(Duration::from_micros(reported.saturating_sub(known))).max(Anchor::EARLIEST)
    }
}

/// The starts by store, at most [`MAX_STARTS`].
#[derive(Debug, Default)]
pub(super) struct StoreStarts(BTreeMap<ServerId, Start>);

impl StoreStarts {
    /// The start of a store's process on the monotonic clock, if the same start was reported before.
    pub(super) fn find(&self, server: ServerId, reported: UnixMicros) -> Option<MonotonicTime> {
        let known = self.0.get(&server)?;
        let same_until = known.reported.as_micros().saturating_add(duration_micros(CLOCK_TOLERANCE));
        (reported.as_micros() <= same_until).then(|| known.adjusted_to(reported))
    }

    /// Records the start of a store's process.
    pub(super) fn record(&mut self, server: ServerId, reported: UnixMicros, started_at: MonotonicTime) {
        self.0.insert(server, Start { reported, started_at });
        if self.0.len() > MAX_STARTS {
            let earliest = self.0.iter().min_by_key(|(_, start)| start.started_at).map(|(&server, _)| server);
            earliest.map(|server| self.0.remove(&server));
        }
    }

    /// Removes a store.
    pub(super) fn remove(&mut self, server: ServerId) {
        self.0.remove(&server);
    }

    /// Removes all stores except these.
    pub(super) fn retain(&mut self, servers: &BTreeSet<ServerId>) {
        self.0.retain(|server, _| servers.contains(server));
    }

    /// The number of remembered starts.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
