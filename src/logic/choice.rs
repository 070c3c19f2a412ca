//! Chooses the cache that a request goes to and the server that fills a miss: by rendezvous hashing, by the
//! costs of Eq. (11) of the paper, and by whether an answer can be in time.
use super::load::CROWDED_STRETCH;
use super::ring::Ring;
use super::server::Server;
use super::state::{
    Attempt, EdgeCost, Indicator, OpenRequest, SiblingQuery, HIT_RECORD_LIFETIME, INITIAL_ACCESS_COST,
    INITIAL_FALSE_NEGATIVES, INITIAL_FALSE_POSITIVES, INITIAL_MISS_PENALTY, INITIAL_POSITIVES,
};
use super::Router;
use crate::hashing::{mix, unit};
use crate::interface::*;
use crate::records::Choice;
use crate::roles::{PerRole, Role};
use crate::statistics::{miss_chance, Indication, IndicationRates};
use std::cell::OnceCell;

impl Router {
    /// The first usable origin.
    fn origin(&self, work: f64) -> Option<&Server> {
        let mut origins = self.candidates.origins.iter().filter_map(|id| self.examine(*id));
        origins.find(|s| self.usable(s, work))
    }

    /// The rates of a cache in a role. Rates not yet observed at it are those of all caches together.
    fn indication_rates(&self, own: &Indicator, role: Role) -> IndicationRates {
        let all = &self.all_caches[role];
        let rate = |get: fn(&Indicator) -> Option<f64>, usual| get(own).or(get(all)).unwrap_or(usual);
        IndicationRates {
            false_positives: rate(|i| i.false_positives.0, INITIAL_FALSE_POSITIVES),
            false_negatives: rate(|i| i.false_negatives.0, INITIAL_FALSE_NEGATIVES),
            positives: rate(|i| i.q, INITIAL_POSITIVES),
        }
    }

    /// The servers with a valid hit record for the requested part.
    fn holders(&self, req: &Request) -> Vec<ServerId> {
        let item = self.items.get(&(req.object, req.part));
        let hits = item.into_iter().flat_map(|item| &item.hits);
        hits.filter(|&&(_, at)| self.now < at + HIT_RECORD_LIFETIME).map(|&(server, _)| server).collect()
    }

    /// Access cost in microseconds: the mean hit latency, or the delay by the present load if that is more;
    /// both without the sending time.
    fn cost(&self, s: &Server, role: Role, work: f64) -> f64 {
        s.roles[role].cost.or(INITIAL_ACCESS_COST).max(work * (self.stretch(s) - 1.0))
    }

    /// The server that fills a miss: the first usable parent by rendezvous hashing, or the origin if there is
    /// none. Servers at which a fill of the request has failed are skipped.
    fn parent_for(&self, open: &OpenRequest, work: f64) -> Option<ServerId> {
        let (object, now) = (open.req.object, self.now);
        let failed =
            |s: &Server| open.attempts.iter().any(|a| a.source_failed && a.choice.source == s.host.server);
        let fit = |s: &Server| self.usable(s, work) && !failed(s);
        let ring = if self.parent_weights.is_some() {
            &self.candidates.weighted_parents
        } else {
            &self.candidates.parents
        };
        let parent = self.first_parent(ring, object, fit).map(|first| {
            // A parent whose link is full would slow all of its fills while other parents are idle. A share
            // of its objects, which grows with its pace, moves to the next ranked parents; all routers choose
            // the same objects.
            let spill_share = |s: &Server| 1.0 - CROWDED_STRETCH * s.pace(now) / first.pace(now);
            let draw = unit(mix(object) ^ first.host.server);
            let next = |s: &Server| s.host.server != first.host.server && draw < spill_share(s) && fit(s);
            // A pace is at least 1, so the spill share is positive only above this bound.
            let link_full = first.pace(now) > CROWDED_STRETCH;
            link_full.then(|| self.first_parent(ring, object, next)).flatten().unwrap_or(first)
        });
        parent.or_else(|| self.origin(work).filter(|s| fit(s))).map(|s| s.host.server)
    }

    /// The sibling with the lowest cost for a request at an edge cache, if its cost is at most `max_cost`.
    /// The first by rendezvous hashing wins a tie.
    fn sibling_for(&self, query: &SiblingQuery, edge: &EdgeCost, max_cost: f64) -> Option<(f64, ServerId)> {
        let mut best = (max_cost, None);
        let own = &self.candidates.own;
        let rank = |id| own.rank(query.key, id).unwrap_or(f64::INFINITY);
        let ranks_before = |id: ServerId, other: Option<ServerId>| {
            other.is_none_or(|other| (rank(id), id) < (rank(other), other))
        };
        let can_supply = |s: &Server| {
            let usable = s.host.server != edge.server && self.usable(s, query.budget_work);
            usable && self.warm_share(s) >= 1.0 && self.is_own(s)
        };
        let better = |cost: f64, id, best: (f64, Option<ServerId>)| {
            cost < best.0 || cost == best.0 && ranks_before(id, best.1)
        };
        for &id in self.candidates.observed_sources.iter().chain(query.holders) {
            let Some(s) = self.examine(id) else { continue };
            let miss = miss_chance(
                self.indication_rates(&s.roles.source, Role::Source),
                Indication::from_record(query.holders.contains(&id)),
            );
            // The lower bound of the cost, without the load, rules out most siblings.
            if edge.with_source(s.roles.source.cost.or(INITIAL_ACCESS_COST), miss) > best.0 || !can_supply(s)
            {
                continue;
            }
            let cost = edge.with_source(self.cost(s, Role::Source, query.work), miss);
            if better(cost, id, best) {
                best = (cost, Some(id));
            }
        }
        // All other siblings are unobserved, so their costs differ only by their load.
        let miss =
            miss_chance(self.indication_rates(&Indicator::default(), Role::Source), Indication::Negative);
        let min_cost = edge.with_source(INITIAL_ACCESS_COST, miss);
        let unobserved =
            |s: &Server| !s.roles.source.is_observed() && !query.holders.contains(&s.host.server);
        let cost = |s: &Server| edge.with_source(self.cost(s, Role::Source, query.work), miss);
        if min_cost <= best.0 {
            let idle = self.first(own, query.key, |s| unobserved(s) && cost(s) <= min_cost && can_supply(s));
            let all = own.ids().filter(|_| idle.is_none()).filter_map(|id| self.examine(id));
            for s in all.chain(idle).filter(|s| unobserved(s) && can_supply(s)) {
                if better(cost(s), s.host.server, best) {
                    best = (cost(s), Some(s.host.server));
                }
            }
        }
        best.1.map(|server| (best.0, server))
    }

    /// Chooses the edge cache and at most one sibling that minimize Eq. (11): the sum of the access costs
    /// plus the miss penalty times the product of the miss probabilities. None if no answer is possible in
    /// time.
    pub(super) fn choose(&self, open: &OpenRequest, class: &Class) -> Option<Choice> {
        let mean = self.mean_work(open);
        let key = mix(open.req.object ^ mix(open.req.part + 1));
        let origin = class.uncacheable.then(|| self.origin(mean)).flatten().map(|s| s.host.server);
        let parent = origin.or_else(|| self.parent_for(open, mean));
        let eligible =
            |s: &Server| self.usable(s, mean) && may_attempt(open, s) && self.in_group(open, class, s);
        let caches = self.edge_candidates(key, eligible);
        let Some(nearest) = self.first(caches, key, eligible) else {
            return self.choose_without_cache(open, class, parent);
        };
        let default = self.default_edge(caches, key, nearest, eligible);
        if class.uncacheable {
            return Some(self.plain_choice(open, default.host.server, parent?));
        }
        let holders = self.holders(&open.req);
        let query = SiblingQuery { key, work: open.work, budget_work: mean, holders: &holders };
        let edges = self.possible_edges(caches, &query, default, eligible);
        let (choice, miss) = self.cheapest(open, &query, &edges, parent);
        self.choose_fill(open, class, choice, miss)
    }

    /// A choice without sibling and hit records.
    fn plain_choice(&self, open: &OpenRequest, edge: ServerId, source: ServerId) -> Choice {
        let expected = open.work + self.penalty.or(INITIAL_MISS_PENALTY);
        Choice { edge, source, expected, link: true, ..Choice::default() }
    }

    /// Whether a server belongs to the group that drops repeats of a request that may have been executed.
    /// Uses the recorded location of the first attempt: its server may have left the list, and the request
    /// must not be executed again in another group.
    fn in_group(&self, open: &OpenRequest, class: &Class, server: &Server) -> bool {
        let first = open.first_run.filter(|_| class.effect == Effect::IdempotencyKey);
        let (zone, cell) = (class.group != Group::All, class.group == Group::Cell);
        first.is_none_or(|first| {
            let same_zone = first.location.zone == server.host.zone;
            let same_cell = first.location.cell == server.host.cell;
            (!zone || same_zone) && (!cell || same_cell)
        })
    }

    /// The choice when no cache is usable: the parent or the origin serves the request, if the settings allow
    /// it.
    fn choose_without_cache(
        &self,
        open: &OpenRequest,
        class: &Class,
        parent: Option<ServerId>,
    ) -> Option<Choice> {
        let server = parent.filter(|_| self.settings.direct)?;
        let source = self.origin(self.mean_work(open)).map_or(server, |origin| origin.host.server);
        let accepts = |s: &Server| {
            may_attempt(open, s) && self.in_group(open, class, s) && self.in_time(open, class, 1.0, 1.0)
        };
        let accepted = self.servers.get(&server).is_some_and(accepts);
        accepted.then(|| self.plain_choice(open, server, source))
    }

    /// Whether an object of a cache is offloaded to the next ranked one. The share is given from outside:
    /// with many routers, each sees too little to know which cache is given more objects than the others.
    fn offloads(&self, key: u64, id: ServerId) -> bool {
        unit(key ^ mix(id ^ self.seed)) < self.offload_shares.get(&id).map_or(0.0, |share| *share)
    }

    /// The caches that a request may go to: the router's subset, or all caches of the location if all members
    /// of the subset are ejected, cold or saturated. Their requests would otherwise be rejected or delayed
    /// while other caches are idle. The cost: each cache outside the subset takes a connection.
    fn edge_candidates(&self, key: u64, eligible: impl Fn(&Server) -> bool) -> &Ring {
        let all = &self.candidates.own;
        let Some(subset) = self.candidates.subset.members() else { return all };
        let members = || subset.ids().filter_map(|id| self.examine(id));
        let has_room = |s: &Server| eligible(s) && s.backoff.is_zero() && !self.is_saturated(s);
        if members().any(has_room) {
            return subset;
        }
        let others_have_room = self.first(all, key, has_room).is_some();
        if !others_have_room && members().any(eligible) {
            return subset;
        }
        all
    }

    /// The first eligible cache by rendezvous hashing that is not crowded; the nearest one if all are.
    fn default_edge<'a>(
        &'a self,
        caches: &Ring,
        key: u64,
        nearest: &'a Server,
        eligible: impl Fn(&Server) -> bool,
    ) -> &'a Server {
        // The stretch of the least busy eligible cache, computed only if some cache is busy.
        let least_busy = OnceCell::new();
        let find_least_busy = || {
            let fit = caches.ids().filter_map(|id| self.examine(id)).filter(|s| eligible(s));
            fit.map(|s| self.stretch(s)).fold(f64::MAX, f64::min)
        };
        let crowded = |s: &Server| {
            let stretch = self.stretch(s);
            stretch > CROWDED_STRETCH && stretch > 2.0 * *least_busy.get_or_init(find_least_busy)
        };
        let free = |s: &Server| !self.offloads(key, s.host.server) && eligible(s) && !crowded(s);
        let default = if free(nearest) { Some(nearest) } else { self.first(caches, key, free) };
        default.unwrap_or(nearest)
    }

    /// The default cache and the eligible ones with a hit record, in the order of rendezvous hashing.
    fn possible_edges<'a>(
        &'a self,
        caches: &Ring,
        query: &SiblingQuery,
        default: &'a Server,
        eligible: impl Fn(&Server) -> bool,
    ) -> Vec<&'a Server> {
        let is_other_holder = |id: &ServerId| *id != default.host.server && !self.offloads(query.key, *id);
        let held = query.holders.iter().filter(|id| is_other_holder(id)).filter_map(|id| self.examine(*id));
        let among = |s: &&Server| caches.contains(s.host.server) && eligible(s);
        let mut edges: Vec<&Server> = held.filter(among).chain([default]).collect();
        let rank = |s: &Server| caches.rank(query.key, s.host.server).unwrap_or(f64::INFINITY);
        edges.sort_by(|a, b| rank(a).total_cmp(&rank(b)).then(a.host.server.cmp(&b.host.server)));
        edges
    }

    /// The edge cache and source with the lowest cost by Eq. (11), and the probability of a miss at that
    /// cache.
    fn cheapest(
        &self,
        open: &OpenRequest,
        query: &SiblingQuery,
        edges: &[&Server],
        parent: Option<ServerId>,
    ) -> (Choice, f64) {
        let penalty = self.penalty.or(INITIAL_MISS_PENALTY);
        // At most one sibling for each request: with a high miss penalty every sibling seems worth its cost,
        // and requests would go from one to the next.
        let no_sibling =
            self.settings.siblings == Siblings::None || open.attempts.iter().any(|a| a.choice.sibling);
        let mut best = (f64::MAX, Choice::default(), 1.0);
        for edge in edges {
            let id = edge.host.server;
            let positive = query.holders.contains(&id);
            let rates = self.indication_rates(&edge.roles.edge, Role::Edge);
            let edge_miss_chance = miss_chance(rates, Indication::from_record(positive));
            let access = self.cost(edge, Role::Edge, query.work);
            let expected = query.work + access + if positive { 0.0 } else { penalty };
            let edge_cost = EdgeCost { server: id, access, miss: penalty * edge_miss_chance };
            let alone = edge_cost.with_source(0.0, 1.0);
            let sibling = if no_sibling { None } else { self.sibling_for(query, &edge_cost, alone) };
            let (cost, source) = sibling.unwrap_or((alone, parent.unwrap_or(id)));
            if cost < best.0 {
                let source_recorded = sibling.is_some() && query.holders.contains(&source);
                let (sibling, link, positive) =
                    (sibling.is_some(), !positive, PerRole { edge: positive, source: source_recorded });
                let plain = self.plain_choice(open, id, source);
                best = (cost, Choice { sibling, link, positive, expected, ..plain }, edge_miss_chance);
            }
        }
        (best.1, best.2)
    }

    /// Decides whether the source of a choice may fetch the object, may only serve it from cache, or is left
    /// out. None if no answer can be in time.
    fn choose_fill(&self, open: &OpenRequest, class: &Class, choice: Choice, miss: f64) -> Option<Choice> {
        // A second attempt at the same cache without a fill would miss again.
        if choice.source == choice.edge && open.attempts.iter().any(|a| a.choice.edge == choice.edge) {
            return None;
        }
        let stretch = self.servers.get(&choice.edge).map_or(1.0, |s| self.stretch(s));
        // While fills are withheld, a parent is asked once for what it has cached and fetches nothing:
        // without that, its copies would be unavailable with the origin, and copies in caches may be too old.
        let cached_only = !choice.sibling && choice.source != choice.edge && self.withholds_fill(open);
        let parent = self.servers.get(&choice.source).map(|s| s.host.kind) == self.settings.parent_kind;
        let former = self.former_home(open, self.mean_work(open));
        let former = former.filter(|former_home| parent && !cached_only && *former_home != choice.source);
        if let Some(source) = former.filter(|_| !choice.sibling && self.in_time(open, class, stretch, miss)) {
            return Some(Choice { source, cached_only: true, ..choice });
        }
        let fill_barred = cached_only && (!parent || open.attempts.iter().any(|a| a.choice.cached_only));
        if !fill_barred && self.in_time(open, class, stretch, miss) {
            return Some(Choice { cached_only, ..choice });
        }
        // If only the fill is too slow or withheld, the cache may still have a copy.
        let edge_only = Choice { source: choice.edge, sibling: false, link: false, ..choice };
        (open.attempts.is_empty() && self.in_time(open, class, stretch, 0.0)).then_some(edge_only)
    }

    /// The former home of an object whose parent changes, if it is still to be asked first for a cached copy.
    /// The new home has none of the moved objects yet, so the origin would get a fill for each. The cost: one
    /// more round trip for objects that the former home does not have.
    fn former_home(&self, open: &OpenRequest, work: f64) -> Option<ServerId> {
        let still_asked = |h: &&ParentWeights| {
            unit(mix(open.req.object) ^ 1) <= h.previous_share && open.attempts.is_empty()
        };
        self.parent_weights.as_ref().filter(still_asked)?;
        let home = self.first_parent(&self.candidates.former_weighted_parents, open.req.object, |s| {
            self.usable(s, work)
        });
        home.map(|s| s.host.server)
    }
}

/// Whether a request may be sent to an edge cache: no attempt of it there is in flight or has failed there.
fn may_attempt(open: &OpenRequest, server: &Server) -> bool {
    let unavailable = |attempt: &Attempt| attempt.edge_failed || !attempt.done;
    !open.attempts.iter().any(|attempt| attempt.choice.edge == server.host.server && unavailable(attempt))
}

#[cfg(test)]
mod tests;
