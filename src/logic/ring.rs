//! Weighted rendezvous hashing over a set of servers that is kept up as the list changes. Nothing is decided
//! here: the caller says who is fit.
use crate::hashing::{rank_of, rendezvous_seed, unit};
use crate::interface::ServerId;
use std::cell::Cell;

/// Relative error allowed for in a lower bound of a place: far above that of a logarithm.
const RELATIVE_ERROR: f64 = 1e-12;

/// A server as the shared hash sees it.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    server: ServerId,
    seed: u64,
    weight: f64,
}

/// Servers that share objects by weighted rendezvous hashing, in the order of their ids.
#[derive(Debug, Default)]
pub(super) struct Ring {
    candidates: Vec<Candidate>,
    /// Places drawn since the start.
    drawn: Cell<u64>,
}

impl Ring {
    /// Adds a server, or changes its weight.
    pub fn set(&mut self, server: ServerId, weight: f64) {
        let candidate = Candidate { server, seed: rendezvous_seed(server), weight };
        match self.find(server) {
            Ok(at) => self.candidates[at] = candidate,
            Err(at) => self.candidates.insert(at, candidate),
        }
    }

    /// Takes a server out, if it is in.
    pub fn remove(&mut self, server: ServerId) {
        if let Ok(at) = self.find(server) {
            self.candidates.remove(at);
        }
    }

    /// Takes all servers out.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }

    /// The servers, in the order of their ids.
    pub fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.candidates.iter().map(|candidate| candidate.server)
    }

    /// Whether a server is in.
    pub fn contains(&self, server: ServerId) -> bool {
        self.find(server).is_ok()
    }

    /// The place of a server for a key; none if it is not in.
    pub fn place(&self, key: u64, server: ServerId) -> Option<f64> {
        let candidate = self.candidates[self.find(server).ok()?];
        Some(rank_of(unit(key ^ candidate.seed), candidate.weight))
    }

    /// The accepted server whose place for a key is the first; the lesser id goes first where two are the
    /// same. Asks only of servers that come before the best so far whether they are accepted: of some ln(n)
    /// of them, mostly.
    pub fn first(&self, key: u64, accept: impl Fn(ServerId) -> bool) -> Option<ServerId> {
        self.drawn.set(self.drawn.get() + self.candidates.len() as u64);
        let mut best: Option<(f64, ServerId)> = None;
        for candidate in &self.candidates {
            let drawn = unit(key ^ candidate.seed);
            // -ln(x) is at least 1 - x, so that the logarithm is needed for few.
            let lower_bound = (1.0 - drawn) / candidate.weight * (1.0 - RELATIVE_ERROR);
            if best.is_some_and(|(place, _)| lower_bound > place) {
                continue;
            }
            let place = rank_of(drawn, candidate.weight);
            // Of two with the same place the one before, with the lesser id, stays.
            let before = best.is_none_or(|(first, _)| place.total_cmp(&first).is_lt());
            if before && accept(candidate.server) {
                best = Some((place, candidate.server));
            }
        }
        best.map(|(_, server)| server)
    }

    /// Places drawn since the start.
    pub fn drawn(&self) -> u64 {
        self.drawn.get()
    }

    fn find(&self, server: ServerId) -> Result<usize, usize> {
        self.candidates.binary_search_by_key(&server, |candidate| candidate.server)
    }
}
