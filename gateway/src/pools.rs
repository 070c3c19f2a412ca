//! The listed stores with the connections to each, and their number by zone, which is maintained as the list changes so
//! that an attempt need not count them.
use crate::slots::SlotKey;
use larchway::{ServerId, State};
use larchway_endpoints::Endpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A store: its name, its address and the connections to it.
pub(crate) struct Pool {
    pub(crate) store: Endpoint,
    pub(crate) links: Vec<SlotKey>,
}

/// The pools of all stores. One whose store is removed stays until its last connection is closed.
#[derive(Default)]
pub(crate) struct Pools {
    by_store: BTreeMap<ServerId, Pool>,
    /// By zone, the stores that are not removed.
    listed: BTreeMap<usize, usize>,
}

impl Deref for Pools {
    type Target = BTreeMap<ServerId, Pool>;

    fn deref(&self) -> &Self::Target {
        &self.by_store
    }
}

impl Pools {
    /// The number of stores listed in a zone.
    pub(crate) fn listed_in(&self, zone: usize) -> usize {
        self.listed.get(&zone).copied().unwrap_or(0)
    }

    /// The connections to a store.
    pub(crate) fn links_mut(&mut self, store: ServerId) -> Option<&mut Vec<SlotKey>> {
        self.by_store.get_mut(&store).map(|pool| &mut pool.links)
    }

    /// Applies an entry of a list. Returns whether its address or start is another one, so that another process serves
    /// there and old connections are of no use.
    pub(crate) fn list(&mut self, store: &Endpoint) -> bool {
        let id = store.host.server;
        let known = self.by_store.get(&id).map(|pool| pool.store.clone());
        self.count(known.as_ref(), Some(store));
        let pool =
            self.by_store.entry(id).or_insert_with(|| Pool { store: store.clone(), links: Vec::new() });
        let is_other_process = pool.store.dial != store.dial || pool.store.host.started != store.host.started;
        let dial = store.dial.or(pool.store.dial);
        pool.store = Endpoint { dial, ..store.clone() };
        is_other_process
    }

    /// Marks the stores that a complete list does not name as removed, and returns their ids.
    pub(crate) fn remove_unnamed(&mut self, named: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let unnamed = |id: &ServerId, pool: &Pool| !named.contains(id) && is_listed(&pool.store);
        let removed: Vec<ServerId> =
            self.by_store.iter().filter(|(id, pool)| unnamed(id, pool)).map(|(id, _)| *id).collect();
        for id in &removed {
            let Some(pool) = self.by_store.get_mut(id) else { continue };
            let before = pool.store.clone();
            pool.store.host.state = State::Removed;
            self.count(Some(&before), None);
        }
        removed
    }

    /// Forgets a store.
    pub(crate) fn forget(&mut self, id: ServerId) {
        let pool = self.by_store.remove(&id);
        self.count(pool.map(|pool| pool.store).as_ref(), None);
    }

    /// Counts a store as it is listed now in place of how it was.
    fn count(&mut self, before: Option<&Endpoint>, now: Option<&Endpoint>) {
        if let Some(store) = before.filter(|store| is_listed(store)) {
            self.listed.entry(store.host.zone).and_modify(|count| *count -= 1);
        }
        if let Some(store) = now.filter(|store| is_listed(store)) {
            *self.listed.entry(store.host.zone).or_default() += 1;
        }
    }
}

fn is_listed(store: &Endpoint) -> bool {
    store.host.state != State::Removed
}

#[cfg(test)]
mod tests;
