//! Slow start: what a server that has started may be sent while it is warming up.
use super::server::Server;
use super::state::{OpenRequest, INITIAL_SENDING_TIME};
use super::Router;
use crate::hashing::{mix, unit};
use crate::interface::{ReplacedClass, SlowStart, State, Tier};
use crate::time::{duration_micros, micros_f64, MonotonicTime, MICROSECOND};

/// Share of a slow start budget that is used at the least: one router's own bursts take the rest.
const BUDGET_SHARE: f64 = 0.35;
/// How much more of it is used as many routers share the budget: their bursts even out.
const SHARED_BUDGET_SHARE: f64 = 0.2;
/// Requests that any server bears which has just started, as long as nothing is known of their work.
const MIN_COLD_REQUESTS: f64 = 8.0;
/// Share of a fill that a request with a hit record counts for in its source's budget: records can be wrong.
pub(super) const RECORDED_FILL_SHARE: f64 = 0.3;

impl Router {
    fn tier(&self, s: &Server) -> Tier {
        if self.is_cache(s) {
            Tier::Cache
        } else {
            Tier::Parent
        }
    }

    /// Share of its capacity that a server can give, if it warms at the slowest pace.
    pub(super) fn warm_share(&self, s: &Server) -> f64 {
        self.warm_share_at(s, self.now)
    }

    /// The same at another time.
    pub(super) fn warm_share_at(&self, s: &Server, now: MonotonicTime) -> f64 {
        let Some(started) = s.started else { return 1.0 };
        let SlowStart { from, span, .. } = self.settings.slow_start(self.tier(s));
        let elapsed = micros_f64(now.saturating_since(started)) / micros_f64(span.max(MICROSECOND));
        (from + (1.0 - from) * elapsed).clamp(0.0, 1.0)
    }

    /// Danger: all routers together push over a cold cache or parent. Each stays within its share of the
    /// budget. Harm: a server that warms faster idles for some seconds.
    pub(super) fn within_slow_start_budget(&self, s: &Server, work: f64) -> bool {
        let (set, warm_share) = (&self.settings, self.warm_share(s));
        if warm_share >= 1.0 || Some(s.host.kind) == set.origin_kind {
            return true;
        }
        let share = set.quota_divisor(self.now, self.is_cache(s).then_some(s.host.zone));
        let span = set.overload_span.max(MICROSECOND);
        let used_share = BUDGET_SHARE + SHARED_BUDGET_SHARE * (1.0 - (4.0 / share).min(1.0).sqrt());
        // Danger: what the process before this one has sent is not known, and all may begin again at once.
        let uptime = micros_f64((self.now - self.started_at.unwrap_or(self.now)).min(span));
        let budget =
            set.slow_start(self.tier(s)).multiple * warm_share * self.flows(s) * uptime / share * used_share;
        // A share may be under one request: then a router has turns in some spans, which begin at any time.
        let slot_length = duration_micros(span);
        let slot_of = |at: MonotonicTime| (at.as_micros() + self.seed % slot_length) / slot_length;
        let [slot, notified_slot] = [self.now, s.notified_at].map(slot_of);
        let slot_share =
            if notified_slot < slot { unit(self.seed ^ mix(s.host.server ^ mix(slot))) } else { 0.0 };
        let sent = s.sent.sum(self.now, span, |class| self.unsized_work_of(class));
        sent + s.sent_by_others.sum(self.now, span) + work <= budget + slot_share * work
    }

    /// Work that a request counts for in slow start budgets: the mean of its class, or its own where clients
    /// state sizes.
    pub(super) fn mean_work(&self, open: &OpenRequest) -> f64 {
        let class = open.req.class;
        if open.sized {
            return self.work[class].0.map_or(open.work, |mean| mean.max(open.work));
        }
        self.unsized_work_of(class)
    }

    /// Microseconds that a request of a class counts for where clients state no sizes.
    pub(super) fn unsized_work_of(&self, class: usize) -> f64 {
        self.unsized_work[class].estimate(self.assumed_work(class))
    }

    /// Values what was sent of classes whose slots others take.
    pub(super) fn settle_recent_work(&mut self, replaced: &[ReplacedClass]) {
        let known = replaced.iter().filter(|class| class.slot < self.unsized_work.len());
        let values: Vec<_> = known.map(|class| (class.slot, self.unsized_work_of(class.slot))).collect();
        for server in self.servers.values_mut() {
            values.iter().for_each(|&(slot, work)| server.sent.settle(slot, work));
        }
    }

    /// Microseconds that a request of a class is taken for at first: what fits its objective at most. Danger:
    /// by one that is many times the work, servers that have started idle; each bears a few requests.
    pub(super) fn assumed_work(&self, class: usize) -> f64 {
        let objective = micros_f64(self.settings.classes[class].latency_objective).max(INITIAL_SENDING_TIME);
        objective.min(self.min_cold_budget / MIN_COLD_REQUESTS)
    }

    /// Work (µs) that pushes over a server which has just started; none where its size is not listed.
    pub(super) fn cold_budget(&self, s: &Server) -> Option<f64> {
        let is_sized = self.settings.weighted && s.host.weight > 0.0;
        let SlowStart { from, multiple, .. } = self.settings.slow_start(self.tier(s));
        let budget = multiple * from * s.host.weight * micros_f64(self.settings.overload_span);
        (is_sized && Some(s.host.kind) != self.settings.origin_kind).then_some(budget)
    }

    /// The least of all that are listed; unbounded where no sizes are.
    pub(super) fn find_min_cold_budget(&self) -> f64 {
        self.servers.values().filter_map(|s| self.cold_budget(s)).fold(f64::MAX, f64::min)
    }

    /// May anything new go to, or be filled from, this server?
    pub(super) fn usable(&self, s: &Server, work: f64) -> bool {
        s.host.state == State::Up && !s.is_ejected(self.now) && self.within_slow_start_budget(s, work)
    }
}
