//! Freshness: the maximum age of a copy for a request, from its class and the stored purges.
use super::Router;
use crate::interface::{Class, Request};
use crate::purges::PurgeTarget;
use crate::time::{MonotonicTime, MICROSECOND};
use std::time::Duration;

/// Subtracted from the age of a purge, to allow for clock differences and rounding.
const PURGE_AGE_MARGIN: Duration = Duration::from_millis(10);

impl Router {
    /// How long a purge is stored: longer than it takes to reach all servers, because a slow fill may still
    /// deliver a copy from before it.
    pub(super) fn purge_retention(&self) -> Duration {
        3 * self.settings.purge_done
    }

    /// Records a purge and drops the hit records of its target.
    pub(super) fn on_purge(&mut self, at: MonotonicTime, target: PurgeTarget) {
        self.purges.record(self.now, target, at, at + self.purge_retention());
        self.items.purge(target);
    }

    /// Maximum age of an acceptable copy; none: no bound. Excludes copies from before a purge, which remain
    /// in caches for seconds after it was announced.
    pub(super) fn max_age(&self, req: &Request, class: &Class, grace: bool) -> Option<Duration> {
        let fresh =
            (!class.fresh.is_zero()).then(|| class.fresh + if grace { class.grace } else { Duration::ZERO });
        let purged_at = self.purges.latest(self.now, req.object, req.group);
        let since_purge =
            purged_at.map(|at| (self.now - at).saturating_sub(PURGE_AGE_MARGIN).max(MICROSECOND));
        // A missed purge leaves invalid copies in caches until it has taken effect at every server.
        let missed_purge_age = self.purges.is_missed_pending(self.now).then_some(self.settings.purge_done);
        let missed_purge_age =
            missed_purge_age.map(|age| age.saturating_sub(PURGE_AGE_MARGIN).max(MICROSECOND));
        fresh.into_iter().chain(since_purge).chain(missed_purge_age).min()
    }
}
