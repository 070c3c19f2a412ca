//! Rows for the operator's console.
use super::record::{EndpointRecord, ListRecord};
use super::EndpointSet;
use crate::damping::DampingSettings;
use crate::reason::state_name;
use crate::status::EndpointStatus;
use larchway::{MonotonicTime, ServerId};
use std::time::Duration;

/// A span in milliseconds, rounded down.
fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl EndpointSet {
    /// All known endpoints, including those that have departed, in the order of their names.
    pub fn statuses(&self, now: MonotonicTime) -> Vec<EndpointStatus> {
        let settings = self.policy.damping_settings();
        let rows = self.records.iter().map(|(id, record)| record.status_row(now, *id, &settings));
        let mut rows: Vec<EndpointStatus> = rows.collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }
}

impl EndpointRecord {
    fn status_row(&self, now: MonotonicTime, id: ServerId, settings: &DampingSettings) -> EndpointStatus {
        let millis_since = |at: MonotonicTime| millis(now.saturating_since(at));
        let (list, list_changed_at) = self.list_columns();
        let last_node_change = self.nodes.values().map(|node| node.changed_at).max();
        let nodes_changed_at = last_node_change.or(self.departure.map(|departure| departure.at));
        EndpointStatus {
            name: self.latest.name.clone(),
            id: format!("{id:08x}"),
            dial: self.latest.dial.map(|address| address.to_string()),
            zone: self.membership.pool.zone,
            kind: self.membership.pool.kind,
            state: state_name(self.status.state),
            reason: self.status.reason,
            for_ms: millis_since(self.status_since),
            list,
            list_age_ms: list_changed_at.map(millis_since),
            nodes: self.nodes.keys().cloned().collect(),
            nodes_age_ms: nodes_changed_at.map(millis_since),
            penalty: self.damping.penalty(now, settings).round() as u64,
            incarnation: self.incarnation,
            started_ms: millis(self.started - MonotonicTime::MIN),
            answered_ms: self.attempts.last_answer.map(millis_since),
        }
    }

    /// The state of the endpoint in the list, and when that has changed.
    fn list_columns(&self) -> (Option<&'static str>, Option<MonotonicTime>) {
        match &self.list {
            ListRecord::NeverListed => (None, None),
            ListRecord::Listed { changed_at, endpoint } => {
                (Some(state_name(endpoint.host.state)), Some(*changed_at))
            }
            ListRecord::Removed { at } => (Some("gone"), Some(*at)),
        }
    }
}
