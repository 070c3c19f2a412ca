//! The endpoint list as received, without manual ejections, and the stores that were removed from it.
use larchway::{ServerId, State};
use larchway_endpoints::{Endpoint, ListScope};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of delisted stores whose ids are remembered; the oldest is dropped first.
const MAX_DELISTED_IDS: usize = 4096;

/// The endpoint list, and the ids of delisted stores.
#[derive(Debug, Clone, Default)]
pub(super) struct ListedEndpoints {
    by_server: BTreeMap<ServerId, Endpoint>,
    /// Delisted stores in the order of delisting; at most [`MAX_DELISTED_IDS`].
    delisted: VecDeque<ServerId>,
}

impl ListedEndpoints {
    /// Applies a complete list or a change of the list. Returns the stores that were removed.
    pub(super) fn update(&mut self, scope: ListScope, entries: Vec<Endpoint>) -> Vec<ServerId> {
        let mut removed = if scope.is_complete() { self.missing_from(&entries) } else { Vec::new() };
        removed.iter().for_each(|id| self.delist(*id));
        for entry in entries {
            let id = entry.host.server;
            if entry.host.state == State::Removed {
                self.delist(id);
                removed.push(id);
            } else {
                self.by_server.insert(id, entry);
                self.delisted.retain(|delisted| *delisted != id);
            }
        }
        removed
    }

    pub(super) fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.by_server.get(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_server.values()
    }

    pub(super) fn len(&self) -> usize {
        self.by_server.len()
    }

    /// Whether a store was listed earlier and is not listed now.
    pub(super) fn is_delisted(&self, id: ServerId) -> bool {
        self.delisted.contains(&id)
    }

    fn missing_from(&self, entries: &[Endpoint]) -> Vec<ServerId> {
        let present: BTreeSet<ServerId> = entries.iter().map(|entry| entry.host.server).collect();
        self.by_server.keys().copied().filter(|id| !present.contains(id)).collect()
    }

    fn delist(&mut self, id: ServerId) {
        if self.by_server.remove(&id).is_none() {
            return;
        }
        self.delisted.push_back(id);
        if self.delisted.len() > MAX_DELISTED_IDS {
            self.delisted.pop_front();
        }
    }
}
