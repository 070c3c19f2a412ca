//! Changes of the endpoint list and purges: applied to the module, the table of listed stores, the object cache and
//! the attempts that are not sent yet.
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

/// A store in the endpoint list.
pub(super) struct ListedStore {
    /// The name of the store.
    pub(super) name: String,
    /// The state of the store in the list.
    pub(super) state: State,
}

impl Core {
    /// Applies a change of the list or a purge. Withdraws the affected attempts that still wait for a connection, so
    /// that nothing is sent to a store after its drain was announced, and no outdated copy is accepted after a purge
    /// was announced.
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
        self.withdraw_affected(now, change);
    }

    /// Withdraws the attempts that a change invalidates and of which no byte is written.
    fn withdraw_affected(&mut self, now: MonotonicTime, change: &Change) {
        let is_affected = |key: &SlotKey| {
            let attempt = self.attempts.get(*key);
            attempt.is_some_and(|attempt| attempt.first_byte_at.is_none() && self.affects(change, attempt))
        };
        let affected: Vec<SlotKey> = self.unsent_attempts.iter().copied().filter(is_affected).collect();
        for key in affected {
            self.withdraw(now, key, Status::NeverSent);
        }
    }

    /// Whether a change invalidates the decision for an attempt: it purges the object, or the store or the source is
    /// no longer up.
    fn affects(&self, change: &Change, attempt: &Attempt) -> bool {
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
            // Without this the table would grow without bound as stores are replaced over weeks.
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

    /// Passes changed weights of the parents to the module.
    pub fn set_parent_weights(&mut self, now: MonotonicTime, weights: ParentWeights) {
        self.handle_event(now, Event::ParentWeights(Some(weights)));
    }

    /// Sets the share of its objects that each store offloads, as the gateways' joint view of the load has it.
    pub fn set_shed_shares(&mut self, now: MonotonicTime, shares: Vec<(ServerId, f64)>) {
        self.handle_event(now, Event::OffloadShares(shares.into_iter().collect()));
    }

    /// Notifies the module of stores that started earlier than assumed so far.
    pub fn correct_starts(&mut self, now: MonotonicTime, earlier: Vec<DatedStart>) {
        if !earlier.is_empty() {
            info!(stores = earlier.len(), "starts of stores turn out to be earlier");
            self.handle_event(now, Event::StartsDated(earlier));
        }
    }

    /// Notifies the module that another gateway has found a store failing.
    pub fn mark_suspected(&mut self, now: MonotonicTime, store: ServerId) {
        self.handle_event(now, Event::Suspected(store));
    }

    /// The stores that are in slow start now.
    pub fn warming(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.router.warming(now)
    }

    /// Requests that the module has rejected by its own rules, by reason.
    pub fn rejections(&self) -> RejectionCounts {
        self.router.rejections()
    }

    /// The stores that the module avoids now because of their failures.
    pub fn avoided(&self, now: MonotonicTime) -> impl Iterator<Item = ServerId> + '_ {
        self.router.avoided(now)
    }
}
