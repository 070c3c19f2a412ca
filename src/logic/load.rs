//! Load: the transfers at a server and on the location's link, and how many each carries at full pace.
use super::server::{Pace, Server};
use super::subset::SUBSET_SIZE;
use super::Router;
use crate::time::{micros_f64, MonotonicTime};
use std::time::Duration;

/// Assumed number of transfers that a cache of unknown capacity carries at full pace, before any observation.
pub(super) const INITIAL_FLOWS: f64 = 4.0;
/// Time constant of the mean of this router's own load, from which the load of the other routers is
/// estimated; several transfers long.
pub(super) const LOAD_SPAN: Duration = Duration::from_secs(3);
/// Time constant of the mean rate of work sent to a server, from which a parent's capacity is estimated.
pub(super) const USUAL_RATE_SPAN: Duration = Duration::from_secs(10);
/// Time constant with which a report of the link's load loses weight.
pub(super) const LOAD_REPORT_SPAN: Duration = Duration::from_secs(1);
/// Weight of the newest report of the link's load: reports are noisy and delayed.
pub(super) const LOAD_REPORT_WEIGHT: f64 = 0.4;
/// Weight of the newest observation in a server's pace (time taken over sending time).
const PACE_WEIGHT: f64 = 0.3;
/// Upper bound of the pace that one fill contributes to its source's mean.
pub(super) const FILL_PACE_LIMIT: f64 = 4.0;
/// Pace (time taken over sending time) above which a transfer indicates congestion.
pub(super) const JAM_PACE: f64 = 1.4;
/// Sending time in microseconds above which a slow transfer cannot be explained by a distant source alone.
pub(super) const JAM_MIN_WORK: f64 = 100_000.0;
/// Lower bound of the estimated link capacity, as a share of the configured one: slow fills have other causes
/// too.
pub(super) const LINK_FLOOR_SHARE: f64 = 0.5;
/// Stretch (time taken over sending time) above which a cache at most half as busy is preferred.
pub(super) const CROWDED_STRETCH: f64 = 1.8;

impl Router {
    /// Whether a server is a cache of the own location.
    pub(super) fn is_own(&self, s: &Server) -> bool {
        s.host.zone == self.settings.zone && self.is_cache(s)
    }

    /// Whether a server is neither a parent nor an origin.
    pub(super) fn is_cache(&self, s: &Server) -> bool {
        Some(s.host.kind) != self.settings.parent_kind && Some(s.host.kind) != self.settings.origin_kind
    }

    /// Number of transfers that a server carries at full pace: as observed, as listed, or as estimated from
    /// servers of the same kind.
    pub(super) fn flows(&self, s: &Server) -> f64 {
        if self.settings.weighted && s.host.weight > 0.0 {
            return s.flows.unwrap_or(s.host.weight);
        }
        if self.is_cache(s) {
            return s.flows.or_else(|| self.mean_flows(s.host.kind)).unwrap_or(INITIAL_FLOWS);
        }
        self.mean_rate(s.host.kind).unwrap_or(0.0) * self.settings.routers as f64
    }

    /// Estimated number of transfers at a server from all routers. The other routers are assumed to have as
    /// many there as this one had recently, half of that averaged over the location's caches: multiplying
    /// only the own present requests would count a single one for every router. In a large location only part
    /// of the routers have the server in their subsets.
    pub(super) fn load(&self, s: &Server) -> f64 {
        let mut mean_in_flight = s.in_flight.mean(self.now, LOAD_SPAN);
        if self.is_own(s) {
            let subset_share = (SUBSET_SIZE as f64 / self.own_caches_up).min(1.0);
            mean_in_flight = (mean_in_flight * subset_share
                + self.in_flight.mean(self.now, LOAD_SPAN) / self.own_caches_up)
                / 2.0;
        }
        s.in_flight.now + mean_in_flight * (self.settings.routers_of(s.host.zone) - 1.0)
    }

    /// Estimated number of transfers on the location's link from all routers of the location.
    pub(super) fn link_load(&self) -> f64 {
        self.fills_in_flight.now
            + self.fills_in_flight.mean(self.now, LOAD_SPAN)
                * (self.settings.routers_of(self.settings.zone) - 1.0)
    }

    /// Lower bound of the estimated number of transfers that the link carries at full pace. Slow parents and
    /// unusually large objects look like a congested link: without a bound the estimate falls, rejections
    /// empty the link, and the estimate falls further. The cost: some late fills are admitted.
    pub(super) fn link_floor(&self) -> f64 {
        let configured = self.settings.link_kb_per_s / self.settings.flow_kb_per_s.max(1.0);
        (LINK_FLOOR_SHARE * configured).max(INITIAL_FLOWS)
    }

    /// Number of transfers that a server carries at full pace now, reduced while it is warming up.
    fn flows_now(&self, s: &Server) -> f64 {
        (self.flows(s) * self.warm_share(s)).max(0.1)
    }

    /// Expected time of a transfer at a server now, over its sending time.
    pub(super) fn stretch(&self, s: &Server) -> f64 {
        ((self.load(s) + 1.0) / self.flows_now(s)).max(s.pace(self.now))
    }

    /// Whether a transfer at a server takes much longer than it would alone, whatever the server's capacity.
    pub(super) fn is_saturated(&self, s: &Server) -> bool {
        let stretch_alone = (1.0 / self.flows_now(s)).max(1.0);
        self.stretch(s) > CROWDED_STRETCH * stretch_alone
    }
}

impl Server {
    /// Records the pace of a transfer, so that a cache that becomes slower and slower is noticed although it
    /// has no more requests in flight than others. The cost: one large object of unknown size makes a cache
    /// look slow for seconds.
    pub(super) fn record_pace(&mut self, now: MonotonicTime, pace: f64) {
        let value = self.pace(now) + PACE_WEIGHT * (pace - self.pace(now));
        self.pace = Pace { value, observed_at: now };
    }

    /// The recent pace, decaying to 1 without observations.
    pub(super) fn pace(&self, now: MonotonicTime) -> f64 {
        let age = micros_f64(now - self.pace.observed_at);
        1.0 + (self.pace.value - 1.0).max(0.0) * (-age / micros_f64(LOAD_SPAN)).exp()
    }
}
