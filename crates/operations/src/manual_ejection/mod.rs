//! Manual ejection of stores by operators. A store receives requests only if the endpoint list, the operators and its
//! health all allow it. This state machine combines the list with the operators' requests; the decision module adds
//! health.
mod listed_endpoints;
mod message;
mod record;

pub use message::{EjectionAction, EjectionOutcome, Input, Output, PeerEndpoint};
pub use record::{EjectionRecord, MAX_EJECTION_RECORDS};

use larchway::{Host, MonotonicTime, ServerId, State};
use larchway_endpoints::endpoint::endpoint_id;
use larchway_endpoints::{Endpoint, ListScope};
use listed_endpoints::ListedEndpoints;
use record::EjectionRecords;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the endpoint list of another process applies to stores of which this process has received no update. After
/// this time the event source has sent this process the complete list.
const PEER_VIEW_LIFETIME: Duration = Duration::from_secs(3);

/// The state machine of manual ejections.
#[derive(Debug, Clone, Default)]
pub struct ManualEjections {
    listed: ListedEndpoints,
    records: EjectionRecords,
    /// Listed stores that are draining or delisted in the list of another process, with the time until which they are
    /// treated as draining unless this process receives an update of them.
    drained_by_peer: BTreeMap<ServerId, MonotonicTime>,
}

impl ManualEjections {
    /// Applies an event and appends its effects to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::EndpointList { scope, entries } => self.update_list(scope, entries, outputs),
            Input::OperatorRequest { store, action } => {
                let outcome = self.apply_request(now, store, action, outputs);
                outputs.push(Output::Reply(outcome));
            }
            Input::Records(records) => self.merge_records(now, records, outputs),
            Input::PeerEndpoints(endpoints) => self.apply_peer_view(now, &endpoints, outputs),
            Input::Timer => self.expire_peer_view(now, outputs),
        }
    }

    /// The time at which [`Input::Timer`] is due; none if no timer is needed.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.drained_by_peer.values().min().copied()
    }

    /// The newest record of each store that is ejected or was restored recently.
    pub fn records(&self) -> impl Iterator<Item = &EjectionRecord> {
        self.records.iter()
    }

    /// The ejected stores, listed or not.
    pub fn ejected(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.records.ejected()
    }

    /// Whether a store is in the endpoint list, possibly as draining.
    pub fn is_listed(&self, id: ServerId) -> bool {
        self.listed.get(id).is_some()
    }

    /// The entry of a store in the endpoint list, without manual ejections; draining stores included.
    pub fn listed(&self, id: ServerId) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// The listed stores, each with whether the endpoint list allows requests to it.
    pub fn endpoints(&self) -> impl Iterator<Item = PeerEndpoint> + '_ {
        self.listed.iter().map(|entry| PeerEndpoint {
            name: entry.name.clone(),
            usable: entry.host.state == State::Up && !self.drained_by_peer.contains_key(&entry.host.server),
        })
    }

    /// Number of stores in the endpoint list.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    fn update_list(&mut self, scope: ListScope, entries: Vec<Endpoint>, outputs: &mut Vec<Output>) {
        // An update from this process's own event source is newer than the list that the other process sent at the
        // start.
        for entry in &entries {
            self.drained_by_peer.remove(&entry.host.server);
        }
        let effective = entries.iter().map(|entry| self.effective_entry(entry)).collect();
        for id in self.listed.update(scope, entries) {
            self.drained_by_peer.remove(&id);
        }
        outputs.push(Output::EndpointList { scope, entries: effective });
    }

    fn apply_request(
        &mut self,
        now: MonotonicTime,
        store: String,
        action: EjectionAction,
        outputs: &mut Vec<Output>,
    ) -> EjectionOutcome {
        let id = endpoint_id(&store);
        let eject = action == EjectionAction::Eject;
        let ejected_now = self.records.get(id, &store).is_some_and(|record| record.ejected);
        let listed = self.listed.get(id).is_some_and(|entry| entry.name == store);
        // A delisted store can be restored; otherwise it would stay ejected for ever if it were listed again.
        let restorable = !eject && (ejected_now || self.listed.is_delisted(id));
        if !listed && !restorable {
            return EjectionOutcome::UnknownStore;
        }
        if ejected_now == eject {
            return EjectionOutcome::Applied;
        }
        if eject && self.ejected().count() >= MAX_EJECTION_RECORDS {
            return EjectionOutcome::TooManyEjected;
        }
        let recorded_at = self.records.next_record_time(now, id);
        self.merge_records(now, vec![EjectionRecord { store, ejected: eject, recorded_at }], outputs);
        EjectionOutcome::Applied
    }

    /// Merges records and, if any was newer than the existing one, requests that all records are saved and sent. The
    /// union is sent because concurrent requests to two processes must not overwrite each other.
    fn merge_records(&mut self, now: MonotonicTime, records: Vec<EjectionRecord>, outputs: &mut Vec<Output>) {
        let newer = records.into_iter().filter_map(|record| self.records.insert_if_newer(now, record));
        let changed: Vec<ServerId> = newer.collect();
        if !changed.is_empty() {
            outputs.push(Output::SaveRecords(self.records.iter().cloned().collect()));
        }
        self.report_changed(&changed, outputs);
    }

    fn apply_peer_view(&mut self, now: MonotonicTime, endpoints: &[PeerEndpoint], outputs: &mut Vec<Output>) {
        let usable = endpoints.iter().filter(|endpoint| endpoint.usable);
        let usable_names: BTreeSet<&str> = usable.map(|endpoint| endpoint.name.as_str()).collect();
        let up_entries = self.listed.iter().filter(|entry| entry.host.state == State::Up);
        let drained = up_entries.filter(|entry| !usable_names.contains(entry.name.as_str()));
        let drained: Vec<ServerId> = drained.map(|entry| entry.host.server).collect();
        self.drained_by_peer.extend(drained.iter().map(|id| (*id, now + PEER_VIEW_LIFETIME)));
        self.report_changed(&drained, outputs);
    }

    fn expire_peer_view(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let expired = self.drained_by_peer.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<ServerId> = expired.map(|(id, _)| *id).collect();
        self.drained_by_peer.retain(|_, until| *until > now);
        self.report_changed(&expired, outputs);
    }

    /// A list entry with manual ejections applied: an ejected store is draining, and a restored store counts as started
    /// when it was restored.
    fn effective_entry(&self, entry: &Endpoint) -> Endpoint {
        let id = entry.host.server;
        if entry.host.state == State::Up && self.drained_by_peer.contains_key(&id) {
            return draining(entry);
        }
        match self.records.get(id, &entry.name) {
            Some(record) if !record.ejected => started_no_earlier_than(entry, record.recorded_at),
            Some(_) if entry.host.state == State::Up => draining(entry),
            _ => entry.clone(),
        }
    }

    fn report_changed(&self, ids: &[ServerId], outputs: &mut Vec<Output>) {
        let listed = ids.iter().filter_map(|id| self.listed.get(*id));
        let entries: Vec<Endpoint> = listed.map(|entry| self.effective_entry(entry)).collect();
        if !entries.is_empty() {
            outputs.push(Output::EndpointList { scope: ListScope::Changes, entries });
        }
    }
}

fn draining(entry: &Endpoint) -> Endpoint {
    let host = Host { state: State::Draining, ..entry.host.clone() };
    Endpoint { host, ..entry.clone() }
}

/// The entry with a start time no earlier than `time`. Operators restart a store while it is ejected, so its slow start
/// and its health must start over.
fn started_no_earlier_than(entry: &Endpoint, time: MonotonicTime) -> Endpoint {
    let host = Host { started: entry.host.started.max(time), ..entry.host.clone() };
    Endpoint { host, ..entry.clone() }
}
