//! Endpoint list and purges, as they concern the module, the stores known here and attempts that are not sent
//! yet.
use super::attempts::Attempt;
use super::Core;
use crate::bulletin::Change;
use crate::slots::SlotKey;
use larchway::purges::PurgeTarget;
use larchway::{
    DatedStart, Event, Members, MonotonicTime, ParentWeights, RejectionCounts, Scope, ServerId, State, Status,
};
use larchway_endpoints::{Endpoint, ListScope};
use tracing::info;

/// A listed store.
pub(super) struct ListedStore {
    /// Its name.
    pub(super) name: String,
    /// Its state in the list.
    pub(super) state: State,
}

impl Core {
    /// Applies a change of the list or a purge. An attempt that still waits for its connection was decided
    /// before it: one that it concerns is withdrawn, so that nothing goes to a store after its drain was
    /// announced and no old copy is asked for after a purge was announced.
    pub fn apply_event(&mut self, now: MonotonicTime, change: &Change) {
        let event = match *change {
            Change::EndpointList { scope, ref endpoints } => {
                let scope = match scope {
                    ListScope::Complete => Scope::Full,
                    ListScope::Changes => Scope::Changes,
                };
                self.update_stores(scope, endpoints);
                Event::Members(Members {
                    scope,
                    hosts: endpoints.iter().map(|endpoint| endpoint.host.clone()).collect(),
                })
            }
            Change::Purge { object, group, issued, age } => {
                let retention = self.purge_retention();
                if let Some(cache) = &mut self.object_cache {
                    cache.purge(now, PurgeTarget::new(object, group), issued, retention);
                }
                Event::Purged { age, group, object }
            }
        };
        self.handle_event(now, event);
        self.withdraw_concerned(now, change);
    }

    /// Withdraws the attempts of which no byte is written and that a change makes wrong.
    fn withdraw_concerned(&mut self, now: MonotonicTime, change: &Change) {
        let is_concerned = |key: &SlotKey| {
            let attempt = self.attempts.get(*key);
            attempt.is_some_and(|attempt| attempt.first_byte_at.is_none() && self.concerns(change, attempt))
        };
        let concerned: Vec<SlotKey> = self.unsent_attempts.iter().copied().filter(is_concerned).collect();
        for key in concerned {
            self.withdraw(now, key, Status::NeverSent);
        }
    }

    /// Whether a change makes what was decided for an attempt wrong.
    fn concerns(&self, change: &Change, attempt: &Attempt) -> bool {
        match *change {
            Change::Purge { object, group, .. } => {
                self.requests.get(attempt.request).is_some_and(|open| match object {
                    Some(object) => open.request.object == object,
                    None => open.request.group == group,
                })
            }
            Change::EndpointList { .. } => !self.is_up(attempt.get.server) || !self.is_up(attempt.get.source),
        }
    }

    fn is_up(&self, store: ServerId) -> bool {
        self.stores.get(&store).is_some_and(|store| store.state == State::Up)
    }

    fn update_stores(&mut self, scope: Scope, endpoints: &[Endpoint]) {
        if scope == Scope::Full {
            self.has_endpoints = true;
            self.stores.clear();
            self.origin_fetchers.clear();
        }
        for Endpoint { host, name, .. } in endpoints {
            // Removed stores are forgotten: over weeks of replaced stores the table would grow without end.
            if host.state == State::Removed {
                self.stores.remove(&host.server);
                self.origin_fetchers.remove(&host.server);
                continue;
            }
            if self.origin_fetcher_kinds.contains(&Some(host.kind)) {
                self.origin_fetchers.insert(host.server);
            }
            self.stores.insert(host.server, ListedStore { name: name.clone(), state: host.state });
        }
    }

    /// The shares of objects' home parents have changed.
    pub fn set_parent_weights(&mut self, now: MonotonicTime, weights: ParentWeights) {
        self.handle_event(now, Event::ParentWeights(Some(weights)));
    }

    /// The gateways' joint view says which share of its work each store sheds.
    pub fn set_shed_shares(&mut self, now: MonotonicTime, shares: Vec<(ServerId, f64)>) {
        self.handle_event(now, Event::OffloadShares(shares.into_iter().collect()));
    }

    /// Starts of stores turned out to be earlier than the list said.
    pub fn date_starts(&mut self, now: MonotonicTime, earlier: Vec<DatedStart>) {
        if !earlier.is_empty() {
            info!(stores = earlier.len(), "starts of stores turn out to be earlier");
            self.handle_event(now, Event::StartsDated(earlier));
        }
    }

    /// Another gateway found that a store fails.
    pub fn mark_suspected(&mut self, now: MonotonicTime, store: ServerId) {
        self.handle_event(now, Event::Suspected(store));
    }

    /// The stores that are warming up now.
    pub fn warming(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.router.warming(now)
    }

    /// Requests that the module has given up by itself, by the reason.
    pub fn rejections(&self) -> RejectionCounts {
        self.router.rejections()
    }

    /// The stores that the module avoids now by its own choice.
    pub fn avoided(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.router.avoided(now)
    }
}
