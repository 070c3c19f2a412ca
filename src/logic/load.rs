//! Load: the transfers at a server and over the link of the location, and how many each carries at full pace.
use super::server::{Pace, Server};
use super::subset::SUBSET_SIZE;
use super::Router;
use crate::time::{micros_f64, MonotonicTime};
use std::time::Duration;

/// Transfers that a cache of unknown size is taken to carry at full pace until it has shown more.
pub(super) const INITIAL_FLOWS: f64 = 4.0;
/// Span of the mean of this router's own load, which stands for the load of the other routers;
/// several transfers long.
pub(super) const LOAD_SPAN: Duration = Duration::from_secs(3);
/// Span of the usual rate of work sent to a server, by which a parent's capacity is judged.
pub(super) const USUAL_RATE_SPAN: Duration = Duration::from_secs(10);
/// How long a report of the link's load counts.
pub(super) const LOAD_REPORT_SPAN: Duration = Duration::from_secs(1);
/// Weight of the newest report of the link's load: reports are noisy, and late.
pub(super) const LOAD_REPORT_WEIGHT: f64 = 0.4;
/// Weight of the newest observation in a server's pace (time taken over sending time).
const PACE_WEIGHT: f64 = 0.3;
/// The most that the pace of one fill counts for.
pub(super) const FILL_PACE_LIMIT: f64 = 4.0;
/// Pace (time taken over sending time) above which a transfer shows a jam.
pub(super) const JAM_PACE: f64 = 1.4;
/// Microseconds of sending time above which a slow transfer is not the doing of a far source alone.
pub(super) const JAM_MIN_WORK: f64 = 100_000.0;
/// Share of the link's configured size below which no estimate goes: slow fills are not all the link's doing.
pub(super) const LINK_FLOOR_SHARE: f64 = 0.5;
/// Stretch (time taken over sending time) above which a default cache is passed over for one half as busy.
pub(super) const CROWDED_STRETCH: f64 = 1.8;

impl Router {
    /// Whether it is a cache of the own location.
    pub(super) fn is_own(&self, s: &Server) -> bool {
        s.host.zone == self.settings.zone && self.is_cache(s)
    }

    pub(super) fn is_cache(&self, s: &Server) -> bool {
        Some(s.host.kind) != self.settings.parent_kind && Some(s.host.kind) != self.settings.origin_kind
    }

    /// Transfers that a server carries at full pace: as listed, as learned, or as its like have shown.
    pub(super) fn flows(&self, s: &Server) -> f64 {
        if self.settings.weighted && s.host.weight > 0.0 {
            return s.flows.unwrap_or(s.host.weight);
        }
        if self.is_cache(s) {
            return s.flows.or_else(|| self.mean_flows(s.host.kind)).unwrap_or(INITIAL_FLOWS);
        }
        self.mean_rate(s.host.kind).unwrap_or(0.0) * self.settings.routers as f64
    }

    /// Transfers at a server. Danger: with many routers, one's own single request must not be taken for that
    /// of all. The others have there what one had there of late, half of it pooled over the location; of a
    /// large location, only part of them has it in its subset.
    pub(super) fn load(&self, s: &Server) -> f64 {
        let mut usual = s.in_flight.mean(self.now, LOAD_SPAN);
        if self.is_own(s) {
            let sharing = (SUBSET_SIZE as f64 / self.own_caches_up).min(1.0);
            usual = (usual * sharing + self.in_flight.mean(self.now, LOAD_SPAN) / self.own_caches_up) / 2.0;
        }
        s.in_flight.now + usual * (self.settings.routers_of(s.host.zone) - 1.0)
    }

    /// The same for the location's link.
    pub(super) fn link_load(&self) -> f64 {
        self.fills_in_flight.now
            + self.fills_in_flight.mean(self.now, LOAD_SPAN)
                * (self.settings.routers_of(self.settings.zone) - 1.0)
    }

    /// Danger: slow parents, and objects larger than their class, look like a jam of the link; the estimate
    /// falls, refusals empty the link, and the estimate falls after them. Harm: fills pass that come late.
    pub(super) fn link_floor(&self) -> f64 {
        let configured = self.settings.link_kb_per_s / self.settings.flow_kb_per_s.max(1.0);
        (LINK_FLOOR_SHARE * configured).max(INITIAL_FLOWS)
    }

    /// Transfers that a server carries at full pace while it is as warm as it is now.
    fn flows_now(&self, s: &Server) -> f64 {
        (self.flows(s) * self.warm_share(s)).max(0.1)
    }

    /// How much longer than its sending time a transfer takes there now.
    pub(super) fn stretch(&self, s: &Server) -> f64 {
        ((self.load(s) + 1.0) / self.flows_now(s)).max(s.pace(self.now))
    }

    /// Whether a transfer takes much longer there than one that is alone, on a server of any size.
    pub(super) fn is_saturated(&self, s: &Server) -> bool {
        let alone = (1.0 / self.flows_now(s)).max(1.0);
        self.stretch(s) > CROWDED_STRETCH * alone
    }
}

impl Server {
    /// Danger: a cache that grows slower and slower looks no busier than its like. Harm: one large object of
    /// untold size makes it look slow for seconds.
    pub(super) fn record_pace(&mut self, now: MonotonicTime, pace: f64) {
        let value = self.pace(now) + PACE_WEIGHT * (pace - self.pace(now));
        self.pace = Pace { value, observed_at: now };
    }

    pub(super) fn pace(&self, now: MonotonicTime) -> f64 {
        let age = micros_f64(now - self.pace.observed_at);
        1.0 + (self.pace.value - 1.0).max(0.0) * (-age / micros_f64(LOAD_SPAN)).exp()
    }
}
