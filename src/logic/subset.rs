//! Deterministic subsetting: in a large location, each router sends its requests to a subset of the caches of
//! bounded size, so that its number of connections does not grow with the number of listed caches.
use super::ring::Ring;
use crate::hashing::{mix, rendezvous_seed};
use crate::interface::ServerId;
use std::collections::BTreeMap;

/// Maximum number of caches in a router's subset; a location with no more caches up is used as a whole.
///
/// At sixteen times the stores, a router may make 2.5 times its usual connections plus 40, and may hold twice
/// its usual descriptors plus 40. Only the constant 40 applies at every site. A fifth of it is left for
/// connections outside the subset and to replaced members. A smaller subset would satisfy the bounds as well,
/// but each object would then be cached by more subsets.
pub(super) const SUBSET_SIZE: usize = 32;

/// The rank of a cache for one router, lowest first; the id breaks ties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    drawn: u64,
    server: ServerId,
}

impl Rank {
    /// Ignores weights: within each subset, a cache's share of the work already follows its weight.
    fn new(router: u64, server: ServerId) -> Rank {
        Rank { drawn: mix(mix(router) ^ rendezvous_seed(server)), server }
    }
}

/// The caches of the own location that are up, with their weights, ordered by their ranks for this router.
#[derive(Debug, Default)]
pub(super) struct CacheSubset {
    /// The members of the subset: the first caches in rank, at most [`SUBSET_SIZE`].
    ranked_members: BTreeMap<Rank, f64>,
    /// All other caches.
    others: BTreeMap<Rank, f64>,
    /// The members, for rendezvous hashing.
    members: Ring,
}

impl CacheSubset {
    /// Adds a cache, or changes its weight; replaces at most one member of the subset.
    pub fn set(&mut self, router: u64, server: ServerId, weight: f64) {
        let rank = Rank::new(router, server);
        if let Some(existing_weight) = self.others.get_mut(&rank) {
            *existing_weight = weight;
            return;
        }
        self.add_member(rank, weight);
        if self.ranked_members.len() > SUBSET_SIZE {
            self.drop_last_member();
        }
    }

    /// Removes a cache, if present; the next in rank replaces it in the subset.
    pub fn remove(&mut self, router: u64, server: ServerId) {
        let rank = Rank::new(router, server);
        self.others.remove(&rank);
        if self.ranked_members.remove(&rank).is_none() {
            return;
        }
        self.members.remove(server);
        if let Some((next, weight)) = self.others.pop_first() {
            self.add_member(next, weight);
        }
    }

    /// Removes all caches.
    pub fn clear(&mut self) {
        self.ranked_members.clear();
        self.others.clear();
        self.members.clear();
    }

    /// The members of the subset; none if all caches that are up are members.
    pub fn members(&self) -> Option<&Ring> {
        (!self.others.is_empty()).then_some(&self.members)
    }

    /// Number of caches that are up.
    pub fn caches_up(&self) -> usize {
        self.ranked_members.len() + self.others.len()
    }

    /// Number of ranks computed since the start.
    pub fn ranks_computed(&self) -> u64 {
        self.members.ranks_computed()
    }

    fn add_member(&mut self, rank: Rank, weight: f64) {
        self.ranked_members.insert(rank, weight);
        self.members.set(rank.server, weight);
    }

    fn drop_last_member(&mut self) {
        if let Some((last, weight)) = self.ranked_members.pop_last() {
            self.members.remove(last.server);
            self.others.insert(last, weight);
        }
    }
}

#[cfg(test)]
mod tests;
