//! The servers that a request may go to or be filled from, updated as the list changes, so that deciding a
//! request does not walk over all servers listed. Nothing is decided here: the caller says who is fit.
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

/// The servers listed, by the part that they can have in a request.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Caches of the own location.
    pub own: Ring,
    /// Of these, those that are up: the router's subset and the others.
    pub subset: CacheSubset,
    pub parents: Ring,
    pub origins: BTreeSet<ServerId>,
    /// Parents by the weights of a shape of the hierarchy now, and before its present move. Some may not be
    /// listed.
    pub weighted_parents: Ring,
    pub former_weighted_parents: Ring,
    /// Servers of which it was learned how many transfers they carry.
    pub measured: BTreeSet<ServerId>,
    /// Servers that have shown something as the source of a sibling's fill.
    pub observed_sources: BTreeSet<ServerId>,
    /// Transfers that a server of a kind carries in the mean, until a list or an answer may change it.
    mean_flows: Cell<Option<(usize, Option<f64>)>>,
    /// Mean rate of work sent to servers of a kind, for the event that is handled.
    mean_rate: Cell<Option<(usize, Option<f64>)>>,
    /// Servers looked at for a decision since the start.
    examined: Cell<u64>,
}

impl Candidates {
    /// Forgets a server that is listed no more.
    fn remove(&mut self, router: u64, server: ServerId) {
        self.own.remove(server);
        self.subset.remove(router, server);
        self.parents.remove(server);
        self.origins.remove(&server);
        self.measured.remove(&server);
        self.observed_sources.remove(&server);
        self.mean_flows.set(None);
    }

    /// It was learned how many transfers a server carries.
    pub fn measure(&mut self, server: ServerId) {
        self.measured.insert(server);
        self.mean_flows.set(None);
    }

    /// Work is sent, or time has passed.
    pub fn rates_change(&self) {
        self.mean_rate.set(None);
    }

    /// Counts servers that are looked at for a decision.
    fn examine(&self, servers: usize) {
        self.examined.set(self.examined.get() + servers as u64);
    }

    /// How many caches of the own location are up.
    pub fn caches_up(&self) -> usize {
        self.subset.caches_up()
    }

    /// Servers looked at for a decision since the start.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Places drawn since the start.
    pub fn drawn(&self) -> u64 {
        let rings = [&self.own, &self.parents, &self.weighted_parents, &self.former_weighted_parents];
        rings.iter().map(|ring| ring.drawn()).sum::<u64>() + self.subset.drawn()
    }
}

/// The ring of a shape's weights: the first above 0 of each server.
fn ring_of_weights(weights: &[ServerWeight]) -> Ring {
    let mut ring = Ring::default();
    for &ServerWeight { server, weight } in weights.iter().rev().filter(|entry| entry.weight > 0.0) {
        ring.set(server, weight);
    }
    ring
}

impl Router {
    /// Sorts all servers anew: the list is a complete one, or the settings sort them otherwise.
    pub(super) fn classify_servers(&mut self) {
        self.candidates.own.clear();
        self.candidates.subset.clear();
        self.candidates.parents.clear();
        self.candidates.origins.clear();
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.classify_server(id));
    }

    /// Sorts a server that a list names.
    pub(super) fn classify_server(&mut self, id: ServerId) {
        let identity = self.identity();
        let Some(server) = self.servers.get(&id) else { return self.candidates.remove(identity, id) };
        let up = server.host.state == State::Up;
        let (own, kind, observed_source) =
            (self.is_own(server), Some(server.host.kind), server.roles.source.is_observed());
        let weight = if self.settings.weighted { server.host.weight.max(0.01) } else { 1.0 };
        let candidates = &mut self.candidates;
        put(&mut candidates.own, id, own.then_some(weight));
        if own && up {
            candidates.subset.set(identity, id, weight);
        } else {
            candidates.subset.remove(identity, id);
        }
        put(&mut candidates.parents, id, (kind == self.settings.parent_kind).then_some(weight));
        put_id(&mut candidates.origins, id, kind == self.settings.origin_kind);
        put_id(&mut candidates.measured, id, server.flows.is_some());
        put_id(&mut candidates.observed_sources, id, observed_source);
        candidates.mean_flows.set(None);
    }

    /// What draws this router's subset. Danger: if it were new with each start, the objects of a fleet that
    /// is restarted would all move to other caches.
    pub(super) fn identity(&self) -> u64 {
        self.settings.router_index.unwrap_or(self.seed)
    }

    /// Takes over the weights of parents.
    pub(super) fn set_parent_weights(&mut self, weights: Option<&ParentWeights>) {
        self.candidates.weighted_parents =
            weights.map_or_else(Ring::default, |weights| ring_of_weights(&weights.weights));
        self.candidates.former_weighted_parents =
            weights.map_or_else(Ring::default, |weights| ring_of_weights(&weights.previous));
    }

    /// A listed server, looked at for a decision.
    pub(super) fn examine(&self, id: ServerId) -> Option<&Server> {
        self.candidates.examine(1);
        self.servers.get(&id)
    }

    /// The first server of a ring by the shared hash that is listed and fit.
    pub(super) fn first(&self, ring: &Ring, key: u64, fit: impl Fn(&Server) -> bool) -> Option<&Server> {
        let first = ring.first(key, |id| self.examine(id).is_some_and(&fit));
        first.and_then(|id| self.servers.get(&id))
    }

    /// The first parent for an object that is fit, in a shape's ring or among all that are listed.
    pub(super) fn first_parent(
        &self,
        ring: &Ring,
        object: u64,
        fit: impl Fn(&Server) -> bool,
    ) -> Option<&Server> {
        let parent = |s: &Server| Some(s.host.kind) == self.settings.parent_kind;
        self.first(ring, mix(object), |s| parent(s) && fit(s))
    }

    /// Transfers that servers of a kind carry in the mean, as those that are up have shown.
    pub(super) fn mean_flows(&self, kind: usize) -> Option<f64> {
        if let Some((known, flows)) = self.candidates.mean_flows.get() {
            if known == kind {
                return flows;
            }
        }
        let measured = self.candidates.measured.iter().filter_map(|id| self.examine(*id));
        let like = measured.filter(|s| s.host.kind == kind && s.host.state == State::Up);
        let flows = mean(like.filter_map(|s| s.flows));
        self.candidates.mean_flows.set(Some((kind, flows)));
        flows
    }

    /// Mean rate of work sent to the parents or origins that are up.
    pub(super) fn mean_rate(&self, kind: usize) -> Option<f64> {
        if let Some((known, rate)) = self.candidates.mean_rate.get() {
            if known == kind {
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

fn put(ring: &mut Ring, id: ServerId, weight: Option<f64>) {
    match weight {
        Some(weight) => ring.set(id, weight),
        None => ring.remove(id),
    }
}

fn put_id(ids: &mut BTreeSet<ServerId>, id: ServerId, present: bool) {
    if present {
        ids.insert(id);
    } else {
        ids.remove(&id);
    }
}
