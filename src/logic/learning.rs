//! Updates the state of the edge cache, the source and the object from the outcome of an attempt.
use super::admission::{FAILED_FILL_WEIGHT, LATE_FILL_SHARE};
use super::ejection::{attribute_failure, FailedPart, EJECTION_THRESHOLD, SOURCE_EJECTION_THRESHOLD};
use super::load::{
    FILL_PACE_LIMIT, INITIAL_FLOWS, JAM_MIN_WORK, JAM_PACE, LINK_FLOOR_SHARE, LOAD_REPORT_SPAN,
    LOAD_REPORT_WEIGHT, LOAD_SPAN,
};
use super::state::{HIT_RECORD_LIFETIME, INITIAL_ACCESS_COST, OBSERVATION_WEIGHT};
use super::Router;
use crate::interface::*;
use crate::items::ItemKey;
use crate::records::Choice;
use crate::statistics::learned_flows;
use crate::time::{micros_f64, MonotonicTime};

/// Weight of the newest observation in the estimated number of transfers at full pace.
const FLOWS_WEIGHT: f64 = 2.0 * OBSERVATION_WEIGHT;
/// Sending time in microseconds above which a hit updates the estimated number of transfers of its cache.
const MEASURED_MIN_WORK: f64 = 20_000.0;

/// An outcome, with the data of its request and attempt.
struct Observation<'a> {
    outcome: &'a Outcome,
    choice: Choice,
    /// Index of the request's class in the settings.
    class: usize,
    /// When the attempt was sent.
    sent: MonotonicTime,
    item: ItemKey,
    /// Expected sending time in microseconds.
    work: f64,
    /// Whether the client stated the size.
    sized: bool,
    /// Whether the sending time was stated or observed for this object, not just for its class.
    work_known: bool,
    /// Whether the attempt belongs to the sample that estimates the work of its class.
    sampled: bool,
    cacheable: bool,
    /// Whether the answer was filled from the source.
    filled: bool,
    /// Whether the answer came from a copy of the edge cache.
    hit: bool,
    failed_part: FailedPart,
    /// Whether no connection could be made to the part that failed.
    unreached: bool,
}

impl Observation<'_> {
    /// Duration of the attempt in microseconds.
    fn latency(&self) -> f64 {
        micros_f64(self.outcome.latency)
    }

    /// Duration of the attempt beyond its sending time, in microseconds.
    fn excess(&self) -> f64 {
        (self.latency() - self.work).max(0.0)
    }

    /// Time taken over sending time.
    fn pace(&self) -> f64 {
        self.latency() / (self.work + INITIAL_ACCESS_COST)
    }

    /// Whether the attempt shows whether the sibling has the object.
    fn sibling_answered(&self) -> bool {
        let lacked = self.outcome.status == Status::Miss || self.outcome.note == Note::SourceLacks;
        self.choice.sibling && (self.filled || lacked)
    }
}

/// The state of an edge cache while the attempt that has ended was in flight.
struct EdgeState {
    /// Whether its slow start is over.
    warm: bool,
    /// Number of transfers that it carries at full pace.
    flows: f64,
    /// Number of transfers at the cache.
    load: f64,
}

fn learned_flows_of(old: f64, pace: f64, load: f64) -> f64 {
    learned_flows(FLOWS_WEIGHT, JAM_PACE, old, pace, load)
}

impl Router {
    /// Updates the state of the edge cache, the source and the object from an outcome.
    pub(super) fn learn(&mut self, outcome: &Outcome) {
        let Some(observation) = self.observe(outcome) else { return };
        self.learn_fills(&observation);
        self.in_flight.add(-1.0, self.now, LOAD_SPAN);
        if observation.choice.link {
            self.learn_link(&observation);
        }
        self.learn_load_report(&observation);
        let edge_state = self.edge_state(observation.choice.edge);
        let edge_restarted = self.learn_edge(&observation, &edge_state);
        let source_restarted = self.learn_source(&observation);
        if edge_restarted {
            self.items.forget_server(observation.choice.edge);
        }
        if source_restarted {
            self.items.forget_server(observation.choice.source);
        }
        self.learn_unsized_work(&observation);
        if outcome.status == Status::Ok && !observation.sized {
            for server in [observation.choice.edge, observation.choice.source] {
                let server = self.servers.get_mut(&server);
                server.into_iter().for_each(|s| s.sent.answer(observation.class, observation.sent));
            }
        }
        if outcome.status == Status::Ok && observation.cacheable {
            self.learn_object(&observation, &edge_state);
        }
    }

    fn observe<'a>(&self, outcome: &'a Outcome) -> Option<Observation<'a>> {
        let open = self.open.get(&outcome.id)?;
        let attempt = &open.attempts[outcome.attempt as usize];
        let attribution = attribute_failure(outcome, attempt);
        Some(Observation {
            outcome,
            choice: attempt.choice,
            class: open.req.class,
            sent: attempt.sent,
            item: (open.req.object, open.req.part),
            work: open.work.max(1.0),
            sized: open.sized,
            work_known: open.sized || open.work_known,
            sampled: attempt.sampled,
            cacheable: !self.settings.classes[open.req.class].uncacheable,
            filled: matches!(outcome.note, Note::Filled | Note::FilledByOrigin),
            hit: matches!(outcome.note, Note::Hit | Note::Stale) && outcome.status == Status::Ok,
            failed_part: attribution.part,
            unreached: attribution.unreached,
        })
    }

    /// Marks the failed part of the attempt, and updates the share of fills that parents and origins fail to
    /// deliver in time.
    fn learn_fills(&mut self, observation: &Observation) {
        let Observation { outcome, class, work, filled, failed_part, .. } = *observation;
        let Some(open) = self.open.get_mut(&outcome.id) else { return };
        let attempt = &mut open.attempts[outcome.attempt as usize];
        attempt.edge_failed |= failed_part == FailedPart::Edge && outcome.status != Status::Reset
            || matches!(outcome.status, Status::Full | Status::Error);
        attempt.source_failed |= failed_part == FailedPart::Source || outcome.status == Status::Miss;
        // Clients with a short timeout leave before a fill can arrive, which does not show an overloaded
        // origin: a time-out counts only if it is late by the latency objective.
        let late =
            observation.latency() > LATE_FILL_SHARE * self.settings.classes[class].latency_objective_of(work);
        // A parent that is down or returns errors fails at once. Counted against the origin, its failures
        // would withhold the fills of all healthy parents, so only that parent is ejected.
        let only_that_parent = outcome.note == Note::SourceLost && !late;
        let failed = attempt.source_failed && !only_that_parent
            || outcome.note == Note::OriginFailed
            || outcome.status == Status::Timeout && late;
        if attempt.fetches() && !attempt.late && (filled || failed) {
            // Late fills count as failed: an overloaded origin first delivers all fills too late, then none.
            self.failed_fill_share +=
                FAILED_FILL_WEIGHT * (f64::from(u8::from(!filled || late)) - self.failed_fill_share);
        }
    }

    /// Updates the number of transfers that the location's link carries at full pace.
    fn learn_link(&mut self, observation: &Observation) {
        let Observation { outcome, work, work_known, filled, .. } = *observation;
        self.fills_in_flight.add(-1.0, self.now, LOAD_SPAN);
        let is_answer = filled || (outcome.status, &outcome.note) == (Status::Ok, &Note::None);
        let informative =
            (is_answer || observation.failed_part == FailedPart::Link) && work_known && work > JAM_MIN_WORK;
        if informative && (self.link_flows.is_some() || observation.pace() > JAM_PACE) {
            let (load, floor) = (self.link_load(), self.link_floor());
            let old = self.link_flows.unwrap_or(floor / LINK_FLOOR_SHARE);
            self.link_flows = Some(learned_flows_of(old, observation.pace(), load).max(floor));
        }
    }

    /// Records the link load reported by a cache, which includes the work of all routers. With many routers,
    /// each sees little of the link itself, and would take an idle link for full by extrapolating its own
    /// load. The cost: reports are delayed.
    fn learn_load_report(&mut self, observation: &Observation) {
        let edge = self.servers.get(&observation.choice.edge).filter(|s| self.is_own(s));
        if let Some(load) = edge.and(self.settings.reported_link_load(&observation.outcome.load)) {
            self.link_load_report.report(load, self.now, LOAD_REPORT_SPAN, LOAD_REPORT_WEIGHT);
        }
    }

    fn edge_state(&self, edge: ServerId) -> EdgeState {
        let Some(server) = self.servers.get(&edge) else {
            return EdgeState { warm: false, flows: INITIAL_FLOWS, load: 0.0 };
        };
        let warm = self.warm_share(server) >= 1.0;
        EdgeState { warm, flows: self.flows(server), load: self.load(server) }
    }

    /// Updates health, pace, capacity and indications of the edge cache. Returns whether it has restarted.
    fn learn_edge(&mut self, observation: &Observation, state: &EdgeState) -> bool {
        let Observation { outcome, choice, work, hit, unreached, .. } = *observation;
        let now = self.now;
        let Some(server) = self.servers.get_mut(&choice.edge) else { return false };
        let mut restarted = false;
        server.in_flight.add(-1.0, now, LOAD_SPAN);
        if !matches!(outcome.status, Status::Cancelled | Status::Timeout | Status::NeverSent) {
            server.last_response = now;
        }
        if observation.failed_part == FailedPart::Edge {
            server.lost |= unreached;
            server.record_failure(now, if unreached { 0.0 } else { EJECTION_THRESHOLD });
        } else if matches!(outcome.status, Status::Ok | Status::Miss) {
            restarted = server.record_success(now);
        }
        if hit {
            server.roles.edge.cost.add(observation.excess(), OBSERVATION_WEIGHT);
            if observation.work_known {
                server.record_pace(now, observation.pace());
            }
            if observation.sized && work > MEASURED_MIN_WORK && state.warm {
                server.flows = Some(learned_flows_of(state.flows, observation.latency() / work, state.load));
                self.candidates.record_measured(choice.edge);
            }
        }
        if observation.cacheable && (hit || observation.filled || outcome.status == Status::Miss) {
            server.roles.edge.observe(choice.positive.edge, hit);
            self.all_caches.edge.observe(choice.positive.edge, hit);
        }
        restarted
    }

    /// Updates health, pace and indications of the source of a fill. Returns whether it has restarted.
    fn learn_source(&mut self, observation: &Observation) -> bool {
        let Observation { outcome, choice, work, filled, unreached, .. } = *observation;
        let now = self.now;
        if choice.source == choice.edge {
            return false;
        }
        let Some(server) = self.servers.get_mut(&choice.source) else { return false };
        let mut restarted = false;
        if observation.failed_part == FailedPart::Source {
            server.lost |= unreached;
            let source_lost = outcome.note == Note::SourceLost;
            server.record_failure(now, if source_lost { 0.0 } else { SOURCE_EJECTION_THRESHOLD });
        } else if filled {
            server.last_fill = now;
            if !choice.sibling {
                let transfer_time = micros_f64(outcome.latency.saturating_sub(outcome.waited));
                server.record_pace(now, (transfer_time / (work + INITIAL_ACCESS_COST)).min(FILL_PACE_LIMIT));
            }
            restarted = server.record_success(now);
        }
        if observation.sibling_answered() {
            server.roles.source.observe(choice.positive.source, filled);
            self.candidates.observed_sources.insert(choice.source);
            self.all_caches.source.observe(choice.positive.source, filled);
            if filled {
                server.roles.source.cost.add(observation.excess(), OBSERVATION_WEIGHT);
            }
        }
        restarted
    }

    /// Updates the estimated work of a class from an attempt without a stated size. The work is at most the
    /// time since the first byte of the answer. A cancelled or timed-out attempt might have taken longer, so
    /// it counts with at least the assumed work.
    fn learn_unsized_work(&mut self, observation: &Observation) {
        let Observation { outcome, class, .. } = *observation;
        let assumed = self.assumed_work(class);
        let since_first_byte = micros_f64(outcome.latency.saturating_sub(outcome.waited));
        let work = match outcome.status {
            Status::Ok => Some(since_first_byte),
            Status::Cancelled | Status::Timeout => Some(since_first_byte.max(assumed)),
            _ => None,
        };
        let class_work = &mut self.unsized_work[class];
        match work {
            work if observation.sampled => class_work.end_sampled(work, assumed),
            Some(work) if outcome.status == Status::Ok => class_work.observe(work),
            _ => {}
        }
    }

    /// Updates the miss penalty, the sending time of the object and its class, and the hit records.
    fn learn_object(&mut self, observation: &Observation, state: &EdgeState) {
        let Observation { choice, item: key, filled, hit, .. } = *observation;
        if !hit && !choice.sibling {
            self.penalty.add(observation.excess(), OBSERVATION_WEIGHT);
        }
        // The sending time is the duration without the slowdown by the load of the cache.
        let sending = observation.latency() / (state.load / state.flows).max(1.0);
        if !observation.sized && hit {
            self.work[observation.class].add(sending, OBSERVATION_WEIGHT);
        }
        let Some(item) = self.items.get_mut(&key) else { return };
        item.work = Some(item.work.map_or(sending, |old| old.min(sending)));
        let at_source = choice.sibling && filled;
        let held_at = [hit.then_some(choice.edge), at_source.then_some(choice.source)];
        // Skips servers that have left the list: their records would outlive their copies if they return.
        let listed = |server: &ServerId| self.servers.contains_key(server);
        for server in held_at.into_iter().flatten().filter(listed) {
            self.items.record_hit(key, server, self.now, HIT_RECORD_LIFETIME);
        }
    }
}
