//! Inputs of the ephemeral nodes.
use super::process::UnreportedStart;
use super::record::{Departure, NodeRecord};
use super::EndpointSet;
use crate::endpoint::Endpoint;
use crate::output::{LogEvent, Output};
use larchway::{MonotonicTime, ServerId, State};

/// Flap penalty for a session that ended without a drain.
const FLAP_PENALTY: f64 = 1000.0;
/// Flap penalty for a session that ended after a drain.
const RESTART_PENALTY: f64 = 200.0;
/// An endpoint with at least this penalty has departed before, and gets no grace period.
const REPEATED_DEPARTURE_PENALTY: f64 = FLAP_PENALTY / 2.0;

impl EndpointSet {
    pub(super) fn node_appeared(
        &mut self,
        now: MonotonicTime,
        node: String,
        endpoint: Endpoint,
        session: i64,
        outputs: &mut Vec<Output>,
    ) {
        let id = endpoint.host.server;
        let removed = endpoint.host.state == State::Removed;
        let renamed = self.endpoint_of_node.get(&node).is_some_and(|previous| *previous != id);
        if renamed || removed {
            self.node_gone(now, &node, outputs);
        }
        if removed {
            return;
        }
        // Nodes that are found in the first reading may have stood for long.
        let unreported_start = if self.nodes.ready { UnreportedStart::Now } else { UnreportedStart::LongAgo };
        let Some(record) = self.register(now, &endpoint, Some(session), unreported_start, outputs) else {
            return;
        };
        let node_record = NodeRecord { changed_at: now, endpoint, session, unconfirmed: false };
        let dropped = record.insert_node(node.clone(), node_record);
        record.departure = None;
        if let Some(dropped) = dropped {
            self.endpoint_of_node.remove(&dropped);
        }
        self.departed.remove(&id);
        self.endpoint_of_node.insert(node, id);
        self.review(now, id, outputs);
    }

    pub(super) fn node_gone(&mut self, now: MonotonicTime, node: &str, outputs: &mut Vec<Output>) {
        let Some(id) = self.endpoint_of_node.remove(node) else { return };
        let settings = self.policy.damping_settings();
        let Some(record) = self.records.get_mut(&id) else { return };
        let Some(last) = record.nodes.remove(node) else { return };
        if !record.nodes.is_empty() {
            return self.review(now, id, outputs);
        }
        let after_drain = last.is_draining();
        record.departure = Some(Departure {
            at: now,
            after_drain,
            in_mass_departure: self.rewound,
            session: last.session,
            repeated: record.damping.penalty(now, &settings) >= REPEATED_DEPARTURE_PENALTY,
        });
        self.departed.insert(id);
        if after_drain {
            record.damping.flap(now, RESTART_PENALTY, &settings);
        } else {
            self.session_ended(now, id, outputs);
        }
        self.review(now, id, outputs);
    }

    /// An endpoint's last session has ended without a drain.
    fn session_ended(&mut self, now: MonotonicTime, id: ServerId, outputs: &mut Vec<Output>) {
        let settings = self.policy.mass_departure_settings();
        let known_before = self.mass_departures.is_ongoing(now, &settings);
        let remaining = self.endpoint_of_node.len();
        let doubted = self.mass_departures.record(now, id, remaining, &settings);
        if !known_before && doubted.len() > 1 {
            outputs.push(Output::Log(LogEvent::MassDeparture(doubted.len())));
        }
        // M5: in a mass departure it is the service that flaps, not the endpoint.
        if doubted.is_empty() && !self.rewound {
            let settings = self.policy.damping_settings();
            if let Some(record) = self.records.get_mut(&id) {
                record.damping.flap(now, FLAP_PENALTY, &settings);
            }
        }
        for doubted_id in doubted {
            self.doubt_departure(doubted_id);
            if doubted_id != id {
                self.review(now, doubted_id, outputs);
            }
        }
    }

    fn doubt_departure(&mut self, id: ServerId) {
        let departure = self.records.get_mut(&id).and_then(|record| record.departure.as_mut());
        if let Some(departure) = departure {
            departure.in_mass_departure = true;
        }
    }

    pub(super) fn start_reread(&mut self) {
        for record in self.records.values_mut() {
            record.nodes.values_mut().for_each(|node| node.unconfirmed = true);
        }
        self.gateways.start_reread();
    }

    pub(super) fn nodes_complete(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.nodes.connected = true;
        let first = !std::mem::replace(&mut self.nodes.ready, true);
        for node in self.unconfirmed_nodes() {
            self.node_gone(now, &node, outputs);
        }
        self.rewound = false;
        if first {
            self.review_all(now, outputs);
        }
    }

    fn unconfirmed_nodes(&self) -> Vec<String> {
        let nodes = self.records.values().flat_map(|record| &record.nodes);
        nodes.filter(|(_, node)| node.unconfirmed).map(|(name, _)| name.clone()).collect()
    }
}
