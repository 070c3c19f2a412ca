//! The endpoint list: which servers are known, and what a restart or a removal makes void.
//!
//! What is learned is of the servers that a request can go to or be filled from: the caches of the own
//! location, parents and origins. Of all others only the entry is stored, so that a list of these servers
//! alone leads to the same choices as the full one.
use super::server::Server;
use super::Router;
use crate::interface::{Action, DatedStart, Host, Members, Scope, ServerId, State};
use std::collections::BTreeSet;

impl Router {
    /// Whether requests can go to a server or be filled from it: a cache of the own location, a parent or an
    /// origin.
    fn is_reachable(&self, host: &Host) -> bool {
        let is_source = [self.settings.parent_kind, self.settings.origin_kind].contains(&Some(host.kind));
        is_source || host.zone == self.settings.zone
    }

    pub(super) fn on_members(&mut self, members: Members, actions: &mut Vec<Action>) {
        if self.settings.poll_endpoints && (!self.watching || members.scope == Scope::Failed) {
            self.watching = true;
            actions.push(Action::Watch);
        }
        if members.scope == Scope::Failed {
            return;
        }
        let scope = members.scope;
        if scope == Scope::Full {
            // Danger: a server that a complete list no longer names is gone, and a drain in all but name.
            let reachable = members.hosts.iter().filter(|host| self.is_reachable(host));
            let listed: BTreeSet<ServerId> = reachable.map(|host| host.server).collect();
            let unlisted: Vec<ServerId> =
                self.servers.keys().copied().filter(|id| !listed.contains(id)).collect();
            unlisted.into_iter().for_each(|id| self.retire(id));
            self.unreachable.clear();
        }
        for host in members.hosts {
            let id = host.server;
            if host.state == State::Removed {
                self.retire(id);
                continue;
            }
            if !self.is_reachable(&host) {
                // Danger: one that moves to another location and back would be taken for the one that it was.
                self.retire(id);
                self.unreachable.insert(id, host);
                continue;
            }
            self.unreachable.remove(&id);
            if !self.servers.contains_key(&id) {
                self.add_server(host.clone());
            }
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let known_start = server.started.unwrap_or(Host::STARTED_LONG_AGO);
            let restarted = host.started > server.host.started.max(known_start);
            if restarted {
                // Danger: records of a cache that starts empty would name it for fills that must fail.
                let (in_flight, flows) = (server.in_flight, server.flows);
                *server = Server { in_flight, flows, notified_at: self.now, ..Server::new(host) };
                self.items.forget_server(id);
            } else {
                server.host = host;
            }
            self.classify_server(id);
            let budget = self.servers.get(&id).and_then(|s| self.cold_budget(s));
            self.min_cold_budget = budget.unwrap_or(f64::MAX).min(self.min_cold_budget);
        }
        if scope == Scope::Full {
            self.min_cold_budget = self.find_min_cold_budget();
        }
        self.count_caches();
    }

    /// Starts are known better. A start that own failures have shown since stays as it is.
    pub(super) fn on_starts_dated(&mut self, starts: &[DatedStart]) {
        for &DatedStart { server, started } in starts {
            if let Some(s) = self.servers.get_mut(&server).filter(|s| started < s.host.started) {
                if s.started == s.host.known_start() {
                    s.started = Some(started);
                }
                s.host.started = started;
            }
            if let Some(host) = self.unreachable.get_mut(&server).filter(|host| started < host.started) {
                host.started = started;
            }
        }
    }

    pub(super) fn count_caches(&mut self) {
        self.own_caches_up = self.candidates.caches_up().max(1) as f64;
    }

    /// The settings have another location or other kinds of sources: servers that requests can go to now are
    /// known from their entries. What was learned of the others stays until the list names them again.
    pub(super) fn find_reachable(&mut self) {
        let unreachable = std::mem::take(&mut self.unreachable);
        for (id, host) in unreachable {
            if self.is_reachable(&host) {
                self.add_server(host);
            } else {
                self.unreachable.insert(id, host);
            }
        }
    }

    fn add_server(&mut self, host: Host) {
        let id = host.server;
        let mut server = Server { notified_at: self.now, ..Server::new(host) };
        if let Some(work) = self.work_of_retired.remove(&id) {
            server.sent_by_others = work;
        }
        self.servers.insert(id, server);
    }

    /// Danger: over weeks of replaced servers, what is stored of each grows without end. But a list that
    /// drops a server and names it again must not grant a new budget: what was sent counts for its span.
    pub(super) fn retire(&mut self, id: ServerId) {
        self.unreachable.remove(&id);
        let (now, span) = (self.now, self.settings.overload_span);
        self.work_of_retired.retain(|_, work| work.sum(now, span) > 0.0);
        if let Some(Server { sent, sent_by_others: mut work, .. }) = self.servers.remove(&id) {
            work.merge(sent.valued(|class| self.unsized_work_of(class)));
            if work.sum(now, span) > 0.0 {
                self.work_of_retired.insert(id, work);
            }
        }
        self.classify_server(id);
        self.items.forget_server(id);
    }
}
