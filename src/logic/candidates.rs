//! The servers that a request may be sent to or filled from, indexed as the list changes, so that a decision
//! does not walk over all listed servers. Nothing is decided here: the caller filters the servers.
use super::load::USUAL_RATE_SPAN;
use super::ring::Ring;
use super::server::Server;
use super::subset::CacheSubset;
use super::Router;
use crate::hashing::mix;
use crate::interface::{ParentWeights, ServerId, ServerWeight, State};
use crate::statistics::mean;
use std::cell::Cell;
use std::collections::BTreeSet;

/// The listed servers, by their possible roles in a request.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Caches of the own location.
    pub own: Ring,
    /// The caches of the own location that are up, divided into the router's subset and the others.
    pub subset: CacheSubset,
    /// All listed parents.
    pub parents: Ring,
    /// All listed origins.
    pub origins: BTreeSet<ServerId>,
    /// Parents by the present weights of the topology. Some may not be listed.
    pub weighted_parents: Ring,
    /// Parents by the weights before the migration in progress. Some may not be listed.
    pub former_weighted_parents: Ring,
    /// Servers with an observed number of transfers at full pace.
    pub measured: BTreeSet<ServerId>,
    /// Servers with observations as the source of a sibling fill.
    pub observed_sources: BTreeSet<ServerId>,
    /// Cached result of [`Router::mean_flows`] with its kind; reset when the list or an observation changes.
    mean_flows: Cell<Option<(usize, Option<f64>)>>,
    /// Cached result of [`Router::mean_rate`] with its kind; reset with each event and when work is sent.
    mean_rate: Cell<Option<(usize, Option<f64>)>>,
    /// Number of servers examined for decisions since the start.
    examined: Cell<u64>,
}

impl Candidates {
    /// Removes a server that has left the list.
    fn remove(&mut self, router: u64, server: ServerId) {
        self.own.remove(server);
        self.subset.remove(router, server);
        self.parents.remove(server);
        self.origins.remove(&server);
        self.measured.remove(&server);
        self.observed_sources.remove(&server);
        self.mean_flows.set(None);
    }

    /// Records that the number of transfers of a server was observed.
    pub fn record_measured(&mut self, server: ServerId) {
        self.measured.insert(server);
        self.mean_flows.set(None);
    }

    /// Resets the cached mean rate, after work was sent or time has passed.
    pub fn reset_mean_rate(&self) {
        self.mean_rate.set(None);
    }

    /// Counts servers examined for a decision.
    fn examine(&self, servers: usize) {
        self.examined.set(self.examined.get() + servers as u64);
    }

    /// Number of caches of the own location that are up.
    pub fn caches_up(&self) -> usize {
        self.subset.caches_up()
    }

    /// Number of servers examined for decisions since the start.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Number of ranks computed since the start.
    pub fn ranks_computed(&self) -> u64 {
        let rings = [&self.own, &self.parents, &self.weighted_parents, &self.former_weighted_parents];
        rings.iter().map(|ring| ring.ranks_computed()).sum::<u64>() + self.subset.ranks_computed()
    }
}

/// The ring of the servers with these weights. Weights of 0 are skipped; the first entry of a server counts.
fn ring_of_weights(weights: &[ServerWeight]) -> Ring {
    let mut ring = Ring::default();
    for &ServerWeight { server, weight } in weights.iter().rev().filter(|entry| entry.weight > 0.0) {
        ring.set(server, weight);
    }
    ring
}

impl Router {
    /// Rebuilds the index of all servers, after a change of settings or an import of observations.
    pub(super) fn classify_servers(&mut self) {
        self.candidates.own.clear();
        self.candidates.subset.clear();
        self.candidates.parents.clear();
        self.candidates.origins.clear();
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.classify_server(id));
    }

    /// Updates the index for one server; removes it if it is not listed.
    pub(super) fn classify_server(&mut self, id: ServerId) {
        let identity = self.identity();
        let Some(server) = self.servers.get(&id) else { return self.candidates.remove(identity, id) };
        let up = server.host.state == State::Up;
        let (own, kind, observed_source) =
            (self.is_own(server), Some(server.host.kind), server.roles.source.is_observed());
        let weight = if self.settings.weighted { server.host.weight.max(0.01) } else { 1.0 };
        let candidates = &mut self.candidates;
        set_weight(&mut candidates.own, id, own.then_some(weight));
        if own && up {
            candidates.subset.set(identity, id, weight);
        } else {
            candidates.subset.remove(identity, id);
        }
        set_weight(&mut candidates.parents, id, (kind == self.settings.parent_kind).then_some(weight));
        set_presence(&mut candidates.origins, id, kind == self.settings.origin_kind);
        set_presence(&mut candidates.measured, id, server.flows.is_some());
        set_presence(&mut candidates.observed_sources, id, observed_source);
        candidates.mean_flows.set(None);
    }

    /// The identity from which this router's subset is derived. It must survive restarts: otherwise the
    /// objects of a restarted fleet would all move to other caches.
    pub(super) fn identity(&self) -> u64 {
        self.settings.router_index.unwrap_or(self.seed)
    }

    /// Applies the weights of parents from the topology.
    pub(super) fn set_parent_weights(&mut self, weights: Option<&ParentWeights>) {
        self.candidates.weighted_parents =
            weights.map_or_else(Ring::default, |weights| ring_of_weights(&weights.weights));
        self.candidates.former_weighted_parents =
            weights.map_or_else(Ring::default, |weights| ring_of_weights(&weights.previous));
    }

    /// A listed server; counts it as examined for a decision.
    pub(super) fn examine(&self, id: ServerId) -> Option<&Server> {
        self.candidates.examine(1);
        self.servers.get(&id)
    }

    /// The first server of a ring by rendezvous hashing that is listed and accepted by `fit`.
    pub(super) fn first(&self, ring: &Ring, key: u64, fit: impl Fn(&Server) -> bool) -> Option<&Server> {
        let first = ring.first(key, |id| self.examine(id).is_some_and(&fit));
        first.and_then(|id| self.servers.get(&id))
    }

    /// The first listed parent of a ring for an object that `fit` accepts.
    pub(super) fn first_parent(
        &self,
        ring: &Ring,
        object: u64,
        fit: impl Fn(&Server) -> bool,
    ) -> Option<&Server> {
        let parent = |s: &Server| Some(s.host.kind) == self.settings.parent_kind;
        self.first(ring, mix(object), |s| parent(s) && fit(s))
    }

    /// Mean number of transfers at full pace observed at the servers of a kind that are up.
    pub(super) fn mean_flows(&self, kind: usize) -> Option<f64> {
        if let Some((cached_kind, flows)) = self.candidates.mean_flows.get() {
            if cached_kind == kind {
                return flows;
            }
        }
        let measured = self.candidates.measured.iter().filter_map(|id| self.examine(*id));
        let same_kind = measured.filter(|s| s.host.kind == kind && s.host.state == State::Up);
        let flows = mean(same_kind.filter_map(|s| s.flows));
        self.candidates.mean_flows.set(Some((kind, flows)));
        flows
    }

    /// Mean rate of work sent to the parents, or the origins, that are up.
    pub(super) fn mean_rate(&self, kind: usize) -> Option<f64> {
        if let Some((cached_kind, rate)) = self.candidates.mean_rate.get() {
            if cached_kind == kind {
                return rate;
            }
        }
        let rate = |s: &Server| s.rate.mean(self.now, USUAL_RATE_SPAN);
        let up = |s: &&Server| s.host.kind == kind && s.host.state == State::Up;
        let rate = if Some(kind) == self.settings.parent_kind {
            mean(self.candidates.parents.ids().filter_map(|id| self.examine(id)).filter(up).map(rate))
        } else {
            mean(self.candidates.origins.iter().filter_map(|id| self.examine(*id)).filter(up).map(rate))
        };
        self.candidates.mean_rate.set(Some((kind, rate)));
        rate
    }
}

/// Sets the weight of a server in a ring, or removes it without one.
fn set_weight(ring: &mut Ring, id: ServerId, weight: Option<f64>) {
    match weight {
        Some(weight) => ring.set(id, weight),
        None => ring.remove(id),
    }
}

/// Adds a server to a set, or removes it.
fn set_presence(ids: &mut BTreeSet<ServerId>, id: ServerId, present: bool) {
    if present {
        ids.insert(id);
    } else {
        ids.remove(&id);
    }
}
