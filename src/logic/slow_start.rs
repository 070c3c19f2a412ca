//! Slow start: limits the work sent to a server while it is warming up after a start.
use super::server::Server;
use super::state::{OpenRequest, INITIAL_SENDING_TIME};
use super::Router;
use crate::hashing::{mix, unit};
use crate::interface::{ReplacedClass, SlowStart, State, Tier};
use crate::time::{duration_micros, micros_f64, MonotonicTime, MICROSECOND};

/// Share of a slow start budget that a single router uses; the rest is a reserve for its bursts.
const BUDGET_SHARE: f64 = 0.35;
/// Further share that is used as the number of routers grows, because their bursts even out.
const SHARED_BUDGET_SHARE: f64 = 0.2;
/// Number of requests that any server can take right after its start while their work is unknown.
const MIN_COLD_REQUESTS: f64 = 8.0;
/// Share of its work with which a request counts in its source's budget despite a hit record at the edge
/// cache, because records can be wrong.
pub(super) const RECORDED_FILL_SHARE: f64 = 0.3;

impl Router {
    /// The slow start settings that apply to a server.
    fn tier(&self, s: &Server) -> Tier {
        if self.is_cache(s) {
            Tier::Cache
        } else {
            Tier::Parent
        }
    }

    /// Share of its capacity that a server can provide now, if it warms up as slowly as the settings allow.
    pub(super) fn warm_share(&self, s: &Server) -> f64 {
        self.warm_share_at(s, self.now)
    }

    /// Like [`Router::warm_share`], at the time `now`.
    pub(super) fn warm_share_at(&self, s: &Server, now: MonotonicTime) -> f64 {
        let Some(started) = s.started else { return 1.0 };
        let SlowStart { from, span, .. } = self.settings.slow_start(self.tier(s));
        let elapsed = micros_f64(now.saturating_since(started)) / micros_f64(span.max(MICROSECOND));
        (from + (1.0 - from) * elapsed).clamp(0.0, 1.0)
    }

    /// Whether this work fits into the slow start budget of a server. Each router stays within its share of
    /// the budget, so that all of them together do not overload a cold cache or parent. The cost: a server
    /// that warms up faster than assumed idles for some seconds.
    pub(super) fn within_slow_start_budget(&self, s: &Server, work: f64) -> bool {
        let (settings, warm_share) = (&self.settings, self.warm_share(s));
        if warm_share >= 1.0 || Some(s.host.kind) == settings.origin_kind {
            return true;
        }
        let divisor = settings.quota_divisor(self.now, self.is_cache(s).then_some(s.host.zone));
        let span = settings.overload_span.max(MICROSECOND);
        let used_share = BUDGET_SHARE + SHARED_BUDGET_SHARE * (1.0 - (4.0 / divisor).min(1.0).sqrt());
        // The budget grows with the uptime: a new process does not know what its predecessor has sent, and
        // all routers may restart at once.
        let uptime = micros_f64((self.now - self.started_at.unwrap_or(self.now)).min(span));
        let budget = settings.slow_start(self.tier(s)).multiple * warm_share * self.flows(s) * uptime
            / divisor
            * used_share;
        // A router's budget may be less than one request, so each time slot adds a random share of one. Slots
        // begin at different times at different routers.
        let slot_length = duration_micros(span);
        let slot_of = |at: MonotonicTime| (at.as_micros() + self.seed % slot_length) / slot_length;
        let [slot, notified_slot] = [self.now, s.notified_at].map(slot_of);
        let slot_share =
            if notified_slot < slot { unit(self.seed ^ mix(s.host.server ^ mix(slot))) } else { 0.0 };
        let sent = s.sent.sum(self.now, span, |class| self.unsized_work_of(class));
        sent + s.sent_by_others.sum(self.now, span) + work <= budget + slot_share * work
    }

    /// Work of a request in slow start budgets, in microseconds: the estimate for its class, or if the client
    /// states the size, the larger of its own work and the mean of its class.
    pub(super) fn mean_work(&self, open: &OpenRequest) -> f64 {
        let class = open.req.class;
        if open.sized {
            return self.work[class].0.map_or(open.work, |mean| mean.max(open.work));
        }
        self.unsized_work_of(class)
    }

    /// Estimated work, in microseconds, of a request of a class without a stated size.
    pub(super) fn unsized_work_of(&self, class: usize) -> f64 {
        self.unsized_work[class].estimate(self.assumed_work(class))
    }

    /// Fixes the work of requests already sent whose class loses its slot to another class.
    pub(super) fn settle_recent_work(&mut self, replaced: &[ReplacedClass]) {
        let known = replaced.iter().filter(|class| class.slot < self.unsized_work.len());
        let values: Vec<_> = known.map(|class| (class.slot, self.unsized_work_of(class.slot))).collect();
        for server in self.servers.values_mut() {
            values.iter().for_each(|&(slot, work)| server.sent.settle(slot, work));
        }
    }

    /// Assumed work, in microseconds, of a request of a class before any observation: at most what fits the
    /// latency objective. Bounded so that any cold server gets a few requests: an assumption of many times
    /// the real work would leave servers that have just started idle.
    pub(super) fn assumed_work(&self, class: usize) -> f64 {
        let objective = micros_f64(self.settings.classes[class].latency_objective).max(INITIAL_SENDING_TIME);
        objective.min(self.min_cold_budget / MIN_COLD_REQUESTS)
    }

    /// Work (µs) that overloads a server right after its start; none if its capacity is not listed.
    pub(super) fn cold_budget(&self, s: &Server) -> Option<f64> {
        let is_sized = self.settings.weighted && s.host.weight > 0.0;
        let SlowStart { from, multiple, .. } = self.settings.slow_start(self.tier(s));
        let budget = multiple * from * s.host.weight * micros_f64(self.settings.overload_span);
        (is_sized && Some(s.host.kind) != self.settings.origin_kind).then_some(budget)
    }

    /// The lowest [`Router::cold_budget`] of all listed servers; unbounded if no capacities are listed.
    pub(super) fn find_min_cold_budget(&self) -> f64 {
        self.servers.values().filter_map(|s| self.cold_budget(s)).fold(f64::MAX, f64::min)
    }

    /// Whether a new attempt with this work may be sent to, or filled from, a server.
    pub(super) fn usable(&self, s: &Server, work: f64) -> bool {
        s.host.state == State::Up && !s.is_ejected(self.now) && self.within_slow_start_budget(s, work)
    }
}
