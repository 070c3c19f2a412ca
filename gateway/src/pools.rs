//! The listed stores with the connections to each. The number of stores by zone is maintained as the list changes, so
//! that an attempt need not count them.
use crate::slots::SlotKey;
use larchway::{ServerId, State};
use larchway_endpoints::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A store: its name, its address and the connections to it.
pub(crate) struct Pool {
    pub(crate) store: Endpoint,
    pub(crate) connections: Vec<SlotKey>,
}

/// The pools of all stores. The pool of a removed store stays until its last connection is closed.
#[derive(Default)]
pub(crate) struct Pools {
    by_store: BTreeMap<ServerId, Pool>,
    /// The number of stores by zone that are not removed.
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
    pub(crate) fn connections_mut(&mut self, store: ServerId) -> Option<&mut Vec<SlotKey>> {
        self.by_store.get_mut(&store).map(|pool| &mut pool.connections)
    }

    /// Applies an entry of the endpoint list. Returns whether the address or the start has changed: then another
    /// process serves there, and the old connections are useless.
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

    /// Marks the stores that are not in a complete list as removed, and returns their ids.
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

    /// Removes the pool of a store.
    pub(crate) fn remove(&mut self, id: ServerId) {
        let pool = self.by_store.remove(&id);
        self.count(pool.map(|pool| pool.store).as_ref(), None);
    }

    /// Updates the number of stores by zone for one store, by its previous and its current entry.
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
