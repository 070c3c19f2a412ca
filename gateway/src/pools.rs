//! The listed stores with the connections to each, and their number by zone, which is maintained as the list changes so
//! that an attempt need not count them.
use crate::slots::Key;
use larchway::{ServerId, State};
use larchway_endpoints::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A store: its name, its address and the connections to it.
pub(crate) struct Pool {
    pub(crate) store: Endpoint,
    pub(crate) connections: Vec<Key>,
}

/// The pools of all stores. One whose store is removed stays until its last connection is closed.
#[derive(Default)]
pub(crate) struct Pools {
    by_store: BTreeMap<ServerId, Pool>,
    /// By zone, the stores that are not removed.
    listed_by_zone: BTreeMap<usize, usize>,
}

impl Deref for Pools {
    type Target = BTreeMap<ServerId, Pool>;

    fn deref(&self) -> &Self::Target {
        &self.by_store
    }
}

impl Pools {
    /// The number of stores listed in a zone.
    pub(crate) fn listed_in_zone(&self, zone: usize) -> usize {
        self.listed_by_zone.get(&zone).copied().unwrap_or(0)
    }

    /// The connections to a store.
    pub(crate) fn connections_mut(&mut self, store: ServerId) -> Option<&mut Vec<Key>> {
        self.by_store.get_mut(&store).map(|pool| &mut pool.connections)
    }

    /// Applies an entry of a list. Returns whether its address or start is another one, so that another process serves
    /// there and old connections are of no use.
    pub(crate) fn apply_entry(&mut self, store: &Endpoint) -> bool {
        let id = store.host.server;
        let previous = self.by_store.get(&id).map(|pool| pool.store.clone());
        self.count(previous.as_ref(), Some(store));
        let pool =
            self.by_store.entry(id).or_insert_with(|| Pool { store: store.clone(), connections: Vec::new() });
        let is_other_process = pool.store.dial != store.dial || pool.store.host.started != store.host.started;
        let dial = store.dial.or(pool.store.dial);
        pool.store = Endpoint { dial, ..store.clone() };
        is_other_process
    }

    /// Marks the stores that a complete list does not name as removed, and returns their ids.
    pub(crate) fn remove_unlisted(&mut self, listed_ids: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let is_unlisted = |id: &ServerId, pool: &Pool| !listed_ids.contains(id) && is_listed(&pool.store);
        let removed: Vec<ServerId> =
            self.by_store.iter().filter(|(id, pool)| is_unlisted(id, pool)).map(|(id, _)| *id).collect();
        for id in &removed {
            let Some(pool) = self.by_store.get_mut(id) else { continue };
            let previous = pool.store.clone();
            pool.store.host.state = State::Removed;
            self.count(Some(&previous), None);
        }
        removed
    }

    /// Forgets a store.
    pub(crate) fn remove(&mut self, id: ServerId) {
        let pool = self.by_store.remove(&id);
        self.count(pool.map(|pool| pool.store).as_ref(), None);
    }

    /// Counts a store as it is listed now in place of how it was.
    fn count(&mut self, previous: Option<&Endpoint>, current: Option<&Endpoint>) {
        if let Some(store) = previous.filter(|store| is_listed(store)) {
            self.listed_by_zone.entry(store.host.zone).and_modify(|count| *count -= 1);
        }
        if let Some(store) = current.filter(|store| is_listed(store)) {
            *self.listed_by_zone.entry(store.host.zone).or_default() += 1;
        }
    }
}

fn is_listed(store: &Endpoint) -> bool {
    store.host.state != State::Removed
}

#[cfg(test)]
mod tests;
