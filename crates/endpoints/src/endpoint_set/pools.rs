//! Pools: the endpoints of one kind in one zone, and how many of each are in service.
use larchway::{Host, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// The pool that an endpoint belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PoolId {
    pub(super) zone: usize,
    pub(super) kind: usize,
}

impl PoolId {
    pub(super) fn of(host: &Host) -> Self {
        PoolId { zone: host.zone, kind: host.kind }
    }
}

/// How an endpoint counts in its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PoolMembership {
    pub(super) pool: PoolId,
    /// Whether its own records give it [`State::Up`](larchway::State::Up).
    pub(super) in_service: bool,
}

#[derive(Debug, Clone, Default)]
struct Pool {
    endpoints: BTreeSet<ServerId>,
    in_service: usize,
}

/// All pools.
#[derive(Debug, Clone, Default)]
pub(super) struct Pools(BTreeMap<PoolId, Pool>);

impl Pools {
    /// Adds an endpoint that is not in service.
    pub(super) fn add(&mut self, id: ServerId, pool: PoolId) {
        self.0.entry(pool).or_default().endpoints.insert(id);
    }

    /// Removes an endpoint that is not in service.
    pub(super) fn remove(&mut self, id: ServerId, pool: PoolId) {
        let Some(found) = self.0.get_mut(&pool) else { return };
        found.endpoints.remove(&id);
        if found.endpoints.is_empty() {
            self.0.remove(&pool);
        }
    }

    /// The endpoints of a pool.
    pub(super) fn endpoints(&self, pool: PoolId) -> BTreeSet<ServerId> {
        self.0.get(&pool).map(|found| found.endpoints.clone()).unwrap_or_default()
    }

    /// Whether no endpoint of the pool is in service.
    pub(super) fn is_empty(&self, pool: PoolId) -> bool {
        self.0.get(&pool).is_none_or(|found| found.in_service == 0)
    }

    /// Replaces the membership of an endpoint. Returns the pool that has become empty by it, or has ceased to be empty.
    pub(super) fn update(
        &mut self,
        id: ServerId,
        before: PoolMembership,
        after: PoolMembership,
    ) -> Option<PoolId> {
        if before.pool == after.pool {
            return self.update_count(before, after);
        }
        let emptied = self.leave(id, before);
        let filled = self.join(id, after);
        emptied.or(filled)
    }

    fn update_count(&mut self, before: PoolMembership, after: PoolMembership) -> Option<PoolId> {
        if before.in_service == after.in_service {
            return None;
        }
        let pool = self.0.get_mut(&after.pool)?;
        pool.in_service = if after.in_service { pool.in_service + 1 } else { pool.in_service - 1 };
        let was_or_is_empty = pool.in_service == usize::from(after.in_service);
        was_or_is_empty.then_some(after.pool)
    }

    fn leave(&mut self, id: ServerId, before: PoolMembership) -> Option<PoolId> {
        let pool = self.0.get_mut(&before.pool)?;
        pool.endpoints.remove(&id);
        pool.in_service -= usize::from(before.in_service);
        (before.in_service && pool.in_service == 0).then_some(before.pool)
    }

    fn join(&mut self, id: ServerId, after: PoolMembership) -> Option<PoolId> {
        let pool = self.0.entry(after.pool).or_default();
        pool.endpoints.insert(id);
        pool.in_service += usize::from(after.in_service);
        (after.in_service && pool.in_service == 1).then_some(after.pool)
    }
}
