//! The rules that give an endpoint its state. The first rule that applies decides; `docs/design/membership.md` gives
//! the reasons for their order.
use super::record::{Departure, EndpointRecord, ListRecord, NodeRecord};
use super::{EndpointSet, INSTANT};
use crate::policy::{MergeMode, Role};
use crate::reason::Reason;
use larchway::{MonotonicTime, State};
use std::time::Duration;

/// Whether a state that takes an endpoint out of service may be overridden for the last endpoint of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Certainty {
    Certain,
    Doubtful,
}

/// The state of an endpoint by its own record, before its pool is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Decision {
    /// An end that may be revoked is [`State::Draining`]: what the decision module has learned of the endpoint stays.
    pub(super) state: State,
    pub(super) reason: Reason,
    pub(super) certainty: Certainty,
    /// When the decision may change without an input.
    pub(super) review_at: Option<MonotonicTime>,
}

impl Decision {
    fn certain(state: State, reason: Reason) -> Self {
        Decision { state, reason, certainty: Certainty::Certain, review_at: None }
    }

    /// Out of service, in a way that may be revoked.
    fn doubtful(reason: Reason) -> Self {
        Decision { certainty: Certainty::Doubtful, ..Self::certain(State::Draining, reason) }
    }

    fn reviewed_at(self, review_at: Option<MonotonicTime>) -> Self {
        Decision { review_at, ..self }
    }

    /// Up, to be reviewed at the earlier of two times.
    fn up_until(reason: Reason, until: MonotonicTime, recheck_at: Option<MonotonicTime>) -> Self {
        let earliest = recheck_at.map_or(until, |recheck_at| recheck_at.min(until));
        Self::certain(State::Up, reason).reviewed_at(Some(earliest))
    }
}

impl EndpointSet {
    /// Applies the rules to a record; `suppressed_until` is set while flap damping suppresses the endpoint.
    pub(super) fn decide(
        &self,
        now: MonotonicTime,
        record: &EndpointRecord,
        suppressed_until: Option<MonotonicTime>,
    ) -> Decision {
        if self.policy.merge == MergeMode::NodesOnly {
            return self.decide_by_nodes_alone(record);
        }
        self.decide_draining(record)
            .or_else(|| self.decide_removed_from_list(record))
            .or_else(|| self.decide_departed(now, record))
            .or_else(|| self.decide_missing_in_required_source(record))
            .unwrap_or_else(|| self.decide_named(record, suppressed_until))
    }

    fn list_counts(&self) -> bool {
        self.list.ready && self.policy.list != Role::Advisory
    }

    fn nodes_count(&self) -> bool {
        self.policy.nodes != Role::Advisory
    }

    fn is_listed(&self, record: &EndpointRecord) -> bool {
        self.list_counts() && record.list.is_listed()
    }

    /// Rule 1: a drain counts whichever source reports it.
    fn decide_draining(&self, record: &EndpointRecord) -> Option<Decision> {
        if let (true, ListRecord::Listed { endpoint, .. }) = (self.list_counts(), &record.list) {
            if endpoint.host.state == State::Draining {
                return Some(Decision::certain(State::Draining, Reason::DrainingInList));
            }
        }
        let nodes_drain = !record.nodes.is_empty() && record.nodes.values().all(NodeRecord::is_draining);
        let draining = self.nodes_count() && nodes_drain;
        draining.then(|| Decision::certain(State::Draining, Reason::DrainingInNode))
    }

    /// Rule 2: an endpoint that has left the list is removed, unless a node has appeared since.
    fn decide_removed_from_list(&self, record: &EndpointRecord) -> Option<Decision> {
        let ListRecord::Removed { at } = record.list else { return None };
        let returned = |node: &NodeRecord| node.changed_at > at && !node.is_draining();
        let has_returned = self.nodes_count() && record.nodes.values().any(returned);
        let removed = self.list_counts() && !has_returned;
        removed.then(|| Decision::certain(State::Removed, Reason::RemovedFromList))
    }

    /// Rule 3: the last session of an endpoint has ended, and the list does not outweigh that.
    fn decide_departed(&self, now: MonotonicTime, record: &EndpointRecord) -> Option<Decision> {
        let departure = record.departure.filter(|_| self.nodes_count() && record.nodes.is_empty())?;
        let outweighed_at = self.outweighed_at(record, &departure);
        let is_outweighed = |at: MonotonicTime| self.last_list_heartbeat >= at && now >= at;
        if self.list.connected && outweighed_at.is_some_and(is_outweighed) {
            return None;
        }
        // After that time each heartbeat of the list leads to a review.
        let recheck_at = outweighed_at.filter(|at| *at > now);
        Some(self.decide_after_departure(now, record, &departure, recheck_at))
    }

    /// From when on a list that still names an endpoint outweighs the end of its session, if ever.
    fn outweighed_at(&self, record: &EndpointRecord, departure: &Departure) -> Option<MonotonicTime> {
        let ListRecord::Listed { changed_at, endpoint } = &record.list else { return None };
        let nodes_required = self.policy.nodes == Role::Required;
        if !self.list_counts() || nodes_required || endpoint.host.state != State::Up {
            return None;
        }
        // Another process, which the list knows and which has no node yet.
        if *changed_at > departure.at && endpoint.host.started > departure.at {
            return Some(*changed_at);
        }
        Some(departure.at + Duration::from_millis(self.policy.refute_ms))
    }

    fn decide_after_departure(
        &self,
        now: MonotonicTime,
        record: &EndpointRecord,
        departure: &Departure,
        recheck_at: Option<MonotonicTime>,
    ) -> Decision {
        if departure.after_drain {
            return Decision::certain(State::Removed, Reason::ClosedAfterDrain).reviewed_at(recheck_at);
        }
        if record.attempts.indicates_down_since(departure.at) {
            return Decision::certain(State::Draining, Reason::ExpiryConfirmed).reviewed_at(recheck_at);
        }
        let grace_end = departure.at + Duration::from_millis(self.policy.settle_ms);
        if now < grace_end && !departure.repeated {
            return Decision::up_until(Reason::GracePeriod, grace_end, recheck_at);
        }
        self.decide_in_mass_departure(now, record, departure, recheck_at)
            .unwrap_or_else(|| Decision::doubtful(Reason::SessionExpired).reviewed_at(recheck_at))
    }

    /// In a mass departure an endpoint that answers stays in service.
    fn decide_in_mass_departure(
        &self,
        now: MonotonicTime,
        record: &EndpointRecord,
        departure: &Departure,
        recheck_at: Option<MonotonicTime>,
    ) -> Option<Decision> {
        if !departure.in_mass_departure {
            return None;
        }
        let alive = Duration::from_millis(self.policy.alive_ms);
        let answer_valid_until = record.attempts.last_answer.unwrap_or_default() + alive;
        if record.attempts.indicates_alive_since(departure.at + INSTANT) && now < answer_valid_until {
            return Some(Decision::up_until(Reason::RetainedWhileAnswering, answer_valid_until, recheck_at));
        }
        let answered_before = record.attempts.indicates_alive_since(departure.at.saturating_sub(alive));
        let confirm_until = departure.at + Duration::from_millis(self.policy.confirm_ms);
        let awaiting = answered_before && now < confirm_until;
        awaiting.then(|| Decision::up_until(Reason::AwaitingAnswer, confirm_until, recheck_at))
    }

    /// Rule 4: a required source does not name the endpoint.
    fn decide_missing_in_required_source(&self, record: &EndpointRecord) -> Option<Decision> {
        let list_required = self.policy.list == Role::Required && self.list.ready;
        if list_required && !self.is_listed(record) {
            return Some(Decision::certain(State::Removed, Reason::NotInList));
        }
        let node_required = self.policy.nodes == Role::Required && self.nodes.ready && self.nodes.connected;
        let missing = node_required && record.nodes.is_empty();
        missing.then(|| Decision::doubtful(Reason::NoNode))
    }

    /// Rules 5 and 6: an endpoint that any source names is up, unless flap damping suppresses it.
    fn decide_named(&self, record: &EndpointRecord, suppressed_until: Option<MonotonicTime>) -> Decision {
        let has_node = self.nodes_count() && !record.nodes.is_empty();
        let nothing_read = !self.list.ready && !self.nodes.ready;
        let reason = match (self.is_listed(record), has_node) {
            (false, false) if record.restored && nothing_read => Reason::Restored,
            (false, false) => return Decision::certain(State::Removed, Reason::Unknown),
            (true, true) => Reason::InListAndNode,
            (true, false) => Reason::InList,
            (false, true) if record.nodes.values().all(|node| node.unconfirmed) => Reason::Restored,
            (false, true) => Reason::HasNode,
        };
        if suppressed_until.is_some() {
            return Decision::doubtful(Reason::FlapDamped).reviewed_at(suppressed_until);
        }
        Decision::certain(State::Up, reason)
    }

    /// [`MergeMode::NodesOnly`]: the nodes as they are; a service without a single node is ignored.
    fn decide_by_nodes_alone(&self, record: &EndpointRecord) -> Decision {
        if !self.nodes.ready || self.endpoint_of_node.is_empty() {
            return match &record.list {
                _ if record.published.is_some() => {
                    Decision::certain(record.status.state, record.status.reason)
                }
                ListRecord::Listed { endpoint, .. } if self.list.ready => {
                    Decision::certain(endpoint.host.state, Reason::InList)
                }
                _ => Decision::certain(State::Removed, Reason::Unknown),
            };
        }
        match record.nodes.values().next() {
            Some(node) => Decision::certain(node.endpoint.host.state, Reason::HasNode),
            None => Decision::certain(State::Removed, Reason::NoNode),
        }
    }
}
