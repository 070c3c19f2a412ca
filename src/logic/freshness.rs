//! Freshness: the oldest copy that will do for a request, by its class and by the purges that are remembered.
use super::Router;
use crate::interface::{Class, Request};
use crate::purges::PurgeTarget;
use crate::time::{MonotonicTime, MICROSECOND};
use std::time::Duration;

/// Taken off the age of a purge: clocks and rounding on the way.
const PURGE_AGE_MARGIN: Duration = Duration::from_millis(10);

impl Router {
    /// For how long a purge is remembered: no answer is older than one long done, but fills may be slow.
    pub(super) fn remember_purges(&self) -> Duration {
        3 * self.settings.purge_done
    }

    pub(super) fn on_purge(&mut self, at: MonotonicTime, target: PurgeTarget) {
        self.purges.record(self.now, target, at, at + self.remember_purges());
        self.items.purge(target);
    }

    /// The oldest copy that will do. Danger: copies from before a purge linger for seconds after it was
    /// announced.
    pub(super) fn max_age(&self, req: &Request, class: &Class, grace: bool) -> Option<Duration> {
        let fresh =
            (!class.fresh.is_zero()).then(|| class.fresh + if grace { class.grace } else { Duration::ZERO });
        let purged = self.purges.latest(self.now, req.object, req.group);
        let since = purged.map(|at| (self.now - at).saturating_sub(PURGE_AGE_MARGIN).max(MICROSECOND));
        // Danger: a missed purge leaves copies that must not be served, until it is done everywhere.
        let missed = self.purges.is_missed_pending(self.now).then_some(self.settings.purge_done);
        let missed = missed.map(|age| age.saturating_sub(PURGE_AGE_MARGIN).max(MICROSECOND));
        fresh.into_iter().chain(since).chain(missed).min()
    }
}
