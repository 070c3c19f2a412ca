//! The published roster, its history, and the changes that have not been published yet.
use super::EndpointSet;
use crate::endpoint::Endpoint;
use crate::input::ListScope;
use crate::output::Output;
use crate::status::{PublishedRoster, RosterEntry};
use imbl::OrdMap;
use larchway::{MonotonicTime, ServerId, State};
use std::collections::{BTreeMap, VecDeque};

/// Limit on the published rosters in the history. The oldest is dropped.
pub const MAX_HISTORY: usize = 64;

/// The published roster, its history, and pending changes.
#[derive(Debug, Clone, Default)]
pub(super) struct Publication {
    /// Whether a complete roster was published.
    started: bool,
    pending: BTreeMap<ServerId, Endpoint>,
    roster: OrdMap<ServerId, RosterEntry>,
    history: VecDeque<PublishedRoster>,
}

impl Publication {
    pub(super) fn roster(&self) -> &OrdMap<ServerId, RosterEntry> {
        &self.roster
    }

    pub(super) fn history(&self) -> impl Iterator<Item = &PublishedRoster> {
        self.history.iter()
    }

    pub(super) fn add_change(&mut self, id: ServerId, endpoint: Endpoint) {
        self.pending.insert(id, endpoint);
    }

    pub(super) fn set_status(&mut self, id: ServerId, status: RosterEntry) {
        if status.state == State::Removed {
            self.roster.remove(&id);
        } else if self.roster.get(&id) != Some(&status) {
            self.roster.insert(id, status);
        }
    }

    pub(super) fn remove(&mut self, id: ServerId) {
        self.roster.remove(&id);
    }

    fn record_history(&mut self, now: MonotonicTime) {
        self.history.push_back(PublishedRoster { published_at: now, endpoints: self.roster.clone() });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

impl EndpointSet {
    /// Publishes what has changed; all endpoints the first time.
    pub(super) fn publish_changes(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let first = !self.publication.started;
        if !first && self.publication.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.publication.pending);
        let endpoints = if first { self.published_endpoints() } else { pending.into_values().collect() };
        // A service without nodes says nothing of the endpoints that run.
        if first && endpoints.is_empty() && !self.list.ready {
            return;
        }
        self.publication.started = true;
        let scope = if first { ListScope::Complete } else { ListScope::Changes };
        outputs.push(Output::Change { scope, endpoints });
        self.publication.record_history(now);
    }

    fn published_endpoints(&self) -> Vec<Endpoint> {
        self.records.values().filter_map(|record| record.published.clone()).collect()
    }
}
