//! Snapshots of the roster for the next process of this gateway.
use super::process::UnreportedStart;
use super::record::{EndpointRecord, ListRecord, NodeRecord, MAX_NODES_PER_ENDPOINT};
use super::EndpointSet;
use crate::damping::{Damping, DampingSettings, Suppression};
use crate::output::Output;
use crate::snapshot::{SavedEndpoint, SavedNode, Snapshot};
use larchway::{MonotonicTime, State};

impl EndpointSet {
    /// The endpoints that are up and whose session has not ended.
    pub fn snapshot(&self, now: MonotonicTime) -> Snapshot {
        let settings = self.policy.damping_settings();
        let is_saved =
            |record: &&EndpointRecord| record.status.state == State::Up && record.departure.is_none();
        let saved = self.records.values().filter(is_saved).map(|record| record.save(now, &settings));
        Snapshot { taken_at: now, endpoints: saved.collect() }
    }

    /// Starts from the snapshot of an earlier process, without endpoints that a source says are gone (M8).
    pub(super) fn restore(&mut self, now: MonotonicTime, snapshot: Snapshot, outputs: &mut Vec<Output>) {
        if self.nodes.ready {
            return;
        }
        for saved in snapshot.endpoints {
            if self.contradicts(&saved) {
                continue;
            }
            let id = saved.endpoint.host.server;
            let registered = self.register(now, &saved.endpoint, None, UnreportedStart::LongAgo, outputs);
            let Some(record) = registered else { continue };
            let node_names = record.restore(now, saved);
            for name in node_names {
                self.endpoint_of_node.insert(name, id);
            }
            self.review(now, id, outputs);
        }
    }

    /// Whether the list, as read so far, contradicts that the endpoint is in service.
    fn contradicts(&self, saved: &SavedEndpoint) -> bool {
        let list = self.records.get(&saved.endpoint.host.server).map(|record| &record.list);
        let is_listed = list.is_some_and(ListRecord::is_listed);
        let was_removed = matches!(list, Some(ListRecord::Removed { .. }));
        let left_the_list = self.list.ready && saved.listed && !is_listed;
        // Whether an endpoint without nodes is in service is for the list alone to say.
        let only_in_list = self.list.ready && saved.nodes.is_empty();
        left_the_list || was_removed || only_in_list
    }
}

impl EndpointRecord {
    fn save(&self, now: MonotonicTime, settings: &DampingSettings) -> SavedEndpoint {
        let saved_node =
            |(name, node): (&String, &NodeRecord)| SavedNode { name: name.clone(), session: node.session };
        let nodes = self.nodes.iter().map(saved_node);
        SavedEndpoint {
            endpoint: self.published.clone().unwrap_or_else(|| self.latest.clone()),
            listed: self.list.is_listed(),
            nodes: nodes.collect(),
            reported_start: self.reported_start,
            incarnation: self.incarnation,
            penalty: self.damping.penalty(now, settings),
        }
    }

    /// Takes over what was saved, and returns the names of the nodes.
    fn restore(&mut self, now: MonotonicTime, saved: SavedEndpoint) -> Vec<String> {
        self.restored = true;
        self.incarnation = self.incarnation.max(saved.incarnation);
        self.reported_start = self.reported_start.max(saved.reported_start);
        self.started = self.started.max(saved.endpoint.host.started);
        self.damping = Damping::restored(saved.penalty, Suppression::Inactive, now);
        let mut endpoint = saved.endpoint;
        endpoint.host.started = saved.reported_start;
        let mut names = Vec::new();
        for SavedNode { name, session } in saved.nodes.into_iter().take(MAX_NODES_PER_ENDPOINT) {
            let node = NodeRecord { changed_at: now, endpoint: endpoint.clone(), session, unconfirmed: true };
            self.nodes.entry(name.clone()).or_insert(node);
            names.push(name);
        }
        if saved.listed && self.list == ListRecord::NeverListed {
            self.list = ListRecord::Listed { changed_at: now, endpoint };
        }
        names
    }
}
