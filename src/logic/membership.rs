//! The endpoint list: applies its updates, and drops the observations that a restart or a removal
//! invalidates.
//!
//! Observations are stored only for the servers that a request can be sent to or filled from: the caches of
//! the own location, parents and origins. For all others only the list entry is stored, so that a list of the
//! former alone leads to the same decisions as the full list.
use super::server::Server;
use super::Router;
use crate::interface::{Action, DatedStart, Host, Members, Scope, ServerId, State};
use std::collections::BTreeSet;

impl Router {
    /// Whether requests can be sent to a server or filled from it: a cache of the own location, a parent or
    /// an origin.
    fn is_reachable(&self, host: &Host) -> bool {
        let is_source = [self.settings.parent_kind, self.settings.origin_kind].contains(&Some(host.kind));
        is_source || host.zone == self.settings.zone
    }

    /// Applies an update of the endpoint list.
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
            // A server missing from a complete list is treated as removed, so that nothing more is sent to
            // it.
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
                // Drops its observations: if it returns from another location later, it may be another
                // process.
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
                // Drops the hit records: a restarted cache is empty, so fills from it would fail.
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

    /// Applies more precise start times. A start inferred from own failed connections stays in force.
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

    /// Updates the number of caches of the own location that are up.
    pub(super) fn count_caches(&mut self) {
        self.own_caches_up = self.candidates.caches_up().max(1) as f64;
    }

    /// After a change of the own location or of the kinds of sources in the settings, adds the listed servers
    /// that are now reachable. Observations of those no longer reachable stay until the list names them
    /// again.
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

    /// Forgets a server that left the list, so that memory does not grow over weeks of replaced servers. The
    /// work recently sent to it is kept for its span: a list that drops a server and names it again must not
    /// grant a new slow start budget.
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
