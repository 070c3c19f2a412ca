//! Reviews: decides the state of an endpoint anew, and prepares what has changed for publication.
use super::decision::{Certainty, Decision};
use super::pools::{PoolId, PoolMembership};
use super::record::EndpointRecord;
use super::{EndpointSet, INSTANT};
use crate::output::{LogEvent, Output};
use crate::reason::Reason;
use crate::status::RosterEntry;
use larchway::{MonotonicTime, ServerId, State};
use std::time::Duration;

/// Least time after which an endpoint that no source names is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// The final state of an endpoint, and when it has to be reviewed again.
struct Outcome {
    status: RosterEntry,
    review_at: Option<MonotonicTime>,
}

impl Outcome {
    fn review_by(&mut self, at: MonotonicTime) {
        self.review_at = Some(self.review_at.map_or(at, |known| known.min(at)));
    }
}

impl EndpointSet {
    pub(super) fn review_all(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let ids: Vec<ServerId> = self.records.keys().copied().collect();
        for id in ids {
            self.review(now, id, outputs);
        }
    }

    /// Reviews the endpoints whose last node is gone: a sign of the list may outweigh that.
    pub(super) fn review_departed(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        for id in self.departed.clone() {
            self.review(now, id, outputs);
        }
    }

    /// Reviews an endpoint, and all endpoints of its pool if that has become empty by it or has ceased to be empty.
    pub(super) fn review(&mut self, now: MonotonicTime, id: ServerId, outputs: &mut Vec<Output>) {
        let Some(pool) = self.review_one(now, id, outputs) else { return };
        for other in self.pools.endpoints(pool) {
            // The decision by an endpoint's own record does not depend on its pool, so no further pool changes.
            if other != id {
                self.review_one(now, other, outputs);
            }
        }
        self.review_one(now, id, outputs);
    }

    /// Returns the pool that has become empty by this, or has ceased to be empty.
    fn review_one(&mut self, now: MonotonicTime, id: ServerId, outputs: &mut Vec<Output>) -> Option<PoolId> {
        let decision = self.current_decision(now, id)?;
        let changed_pool = self.update_pool(id, &decision);
        match self.outcome(now, id, &decision) {
            Some(outcome) => self.apply_outcome(now, id, &outcome, outputs),
            None => self.forget(id),
        }
        changed_pool
    }

    fn current_decision(&mut self, now: MonotonicTime, id: ServerId) -> Option<Decision> {
        let settings = self.policy.damping_settings();
        let damping = &mut self.records.get_mut(&id)?.damping;
        let suppressed = damping.update_suppression(now, &settings);
        let suppressed_until = damping.suppressed_until(&settings).filter(|_| suppressed);
        let record = self.records.get(&id)?;
        Some(self.decide(now, record, suppressed_until))
    }

    fn update_pool(&mut self, id: ServerId, decision: &Decision) -> Option<PoolId> {
        let record = self.records.get_mut(&id)?;
        let pool = PoolId::of(&record.latest.host);
        let membership = PoolMembership { pool, in_service: decision.state == State::Up };
        let previous = std::mem::replace(&mut record.membership, membership);
        self.pools.update(id, previous, membership)
    }

    /// Applies what does not follow from the rules: the last endpoint of a pool, and the passing of time since an
    /// endpoint left service. None if the endpoint is to be forgotten.
    fn outcome(&mut self, now: MonotonicTime, id: ServerId, decision: &Decision) -> Option<Outcome> {
        let alive = Duration::from_millis(self.policy.alive_ms);
        let linger = Duration::from_millis(self.policy.linger_ms);
        let max_suppress_time = self.policy.damping_settings().max_suppress_time;
        let record = self.records.get_mut(&id)?;
        let status = RosterEntry { state: decision.state, reason: decision.reason };
        let mut outcome = Outcome { status, review_at: decision.review_at };
        let pool_is_empty = self.pools.is_empty(record.membership.pool);
        if pool_is_empty && record.may_stay_as_last(now, decision, alive) {
            outcome.status = RosterEntry { state: State::Up, reason: Reason::LastOfPool };
            outcome.review_by(record.attempts.last_answer.unwrap_or_default() + alive + INSTANT);
        }
        if outcome.status.state == State::Up {
            record.out_since = None;
            return Some(outcome);
        }
        let out_since = *record.out_since.get_or_insert(now);
        if record.status_lingers(outcome.status.reason) {
            if now >= out_since + linger {
                outcome.status.state = State::Removed;
            } else {
                outcome.review_by(out_since + linger);
            }
        }
        if record.is_named() {
            return Some(outcome);
        }
        let forget_at = out_since + FORGET_AFTER.max(2 * max_suppress_time);
        if now >= forget_at {
            return None;
        }
        outcome.review_by(forget_at);
        Some(outcome)
    }

    fn apply_outcome(
        &mut self,
        now: MonotonicTime,
        id: ServerId,
        outcome: &Outcome,
        outputs: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get_mut(&id) else { return };
        let status = outcome.status;
        if record.status != status {
            record.status = status;
            record.status_since = now;
            if record.published.is_some() || status.state == State::Up {
                let RosterEntry { state, reason } = status;
                let name = record.latest.name.clone();
                outputs.push(Output::Log(LogEvent::StateChanged { name, state, reason }));
            }
        }
        if let Some(endpoint) = record.publish(status.state) {
            self.publication.add_change(id, endpoint);
        }
        self.publication.set_status(id, status);
        // The next instant at the earliest, so that a timer never fires twice at the same time.
        self.timers.set(id, outcome.review_at.map(|at| at.max(now + INSTANT)));
    }

    fn forget(&mut self, id: ServerId) {
        self.timers.set(id, None);
        self.departed.remove(&id);
        if let Some(record) = self.records.remove(&id) {
            self.pools.remove(id, record.membership.pool);
        }
        self.publication.remove(id);
    }
}

impl EndpointRecord {
    /// M3: the last endpoint of a pool stays while it answers and nothing else indicates that it is down.
    fn may_stay_as_last(&self, now: MonotonicTime, decision: &Decision, alive: Duration) -> bool {
        decision.state != State::Up
            && decision.certainty == Certainty::Doubtful
            && self.attempts.indicates_alive_since(now.saturating_sub(alive))
    }

    /// Whether an endpoint that is out for this reason is draining for a while before it is removed.
    fn status_lingers(&self, reason: Reason) -> bool {
        matches!(reason, Reason::SessionExpired | Reason::ExpiryConfirmed | Reason::NoNode)
    }

    fn is_named(&self) -> bool {
        !self.nodes.is_empty() || self.list.is_listed()
    }

    /// Marks the endpoint as published in this state. Returns what has to be published, if that has changed; a removal
    /// is published once.
    fn publish(&mut self, state: State) -> Option<crate::Endpoint> {
        let endpoint = self.to_publish(state);
        let changed = match &self.published {
            Some(published) => *published != endpoint,
            None => state != State::Removed,
        };
        if !changed {
            return None;
        }
        self.published = (state != State::Removed).then(|| endpoint.clone());
        Some(endpoint)
    }
}
