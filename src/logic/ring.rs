//! Weighted rendezvous hashing over a set of servers that follows the endpoint list. Nothing is decided here:
//! the caller filters the servers.
use crate::hashing::{rank_of, rendezvous_seed, unit};
use crate::interface::ServerId;
use std::cell::Cell;

/// Tolerated relative error of a rank's lower bound: far above the rounding error of a logarithm.
const RELATIVE_ERROR: f64 = 1e-12;

/// A server with its hash seed and weight.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    server: ServerId,
    seed: u64,
    weight: f64,
}

/// Servers that share objects by weighted rendezvous hashing, ordered by id.
#[derive(Debug, Default)]
pub(super) struct Ring {
    candidates: Vec<Candidate>,
    /// Number of ranks computed since the start.
    ranks_computed: Cell<u64>,
}

impl Ring {
    /// Adds a server or changes its weight.
    pub fn set(&mut self, server: ServerId, weight: f64) {
        let candidate = Candidate { server, seed: rendezvous_seed(server), weight };
        match self.find(server) {
            Ok(at) => self.candidates[at] = candidate,
            Err(at) => self.candidates.insert(at, candidate),
        }
    }

    /// Removes a server, if present.
    pub fn remove(&mut self, server: ServerId) {
        if let Ok(at) = self.find(server) {
            self.candidates.remove(at);
        }
    }

    /// Removes all servers.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }

    /// The ids of the servers, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.candidates.iter().map(|candidate| candidate.server)
    }

    /// Whether the ring contains a server.
    pub fn contains(&self, server: ServerId) -> bool {
        self.find(server).is_ok()
    }

    /// The rank of a server for a key, lowest first; none if the ring does not contain it.
    pub fn rank(&self, key: u64, server: ServerId) -> Option<f64> {
        let candidate = self.candidates[self.find(server).ok()?];
        Some(rank_of(unit(key ^ candidate.seed), candidate.weight))
    }

    /// The accepted server with the lowest rank for a key; the lower id wins a tie. Calls `accept` only for
    /// servers that rank before the best one so far, usually about ln(n) of them.
    pub fn first(&self, key: u64, accept: impl Fn(ServerId) -> bool) -> Option<ServerId> {
        self.ranks_computed.set(self.ranks_computed.get() + self.candidates.len() as u64);
        let mut best: Option<(f64, ServerId)> = None;
        for candidate in &self.candidates {
            let drawn = unit(key ^ candidate.seed);
            // -ln(x) is at least 1 - x, so the logarithm is computed for few servers only.
            let lower_bound = (1.0 - drawn) / candidate.weight * (1.0 - RELATIVE_ERROR);
            if best.is_some_and(|(rank, _)| lower_bound > rank) {
                continue;
            }
            let rank = rank_of(drawn, candidate.weight);
            // Candidates are ordered by id, so on a tie the earlier one has the lower id.
            let ranks_before = best.is_none_or(|(first, _)| rank.total_cmp(&first).is_lt());
            if ranks_before && accept(candidate.server) {
                best = Some((rank, candidate.server));
            }
        }
        best.map(|(_, server)| server)
    }

    /// Number of ranks computed since the start.
    pub fn ranks_computed(&self) -> u64 {
        self.ranks_computed.get()
    }

    fn find(&self, server: ServerId) -> Result<usize, usize> {
        self.candidates.binary_search_by_key(&server, |candidate| candidate.server)
    }
}
