//! The list of stores as events, merged sources, operators and the hierarchy change it.
use super::Gateway;
use crate::bulletin::Change;
use crate::connection::Role;
use crate::deadlines::Due;
use crate::membership::Membership;
use crate::slots::Key;
use crate::upgrade::Upgrade;
use larchway::{DatedStart, MonotonicTime, ServerId, State};
use larchway_endpoints::{Endpoint, ListScope};
use larchway_operations::handover::Frame;
use larchway_operations::manual_ejection::{self, EjectionOutcome};
use std::collections::BTreeSet;

impl Gateway {
    /// Passes the weights of the parents to the module, and sets when they change next.
    pub(super) fn check_hierarchy(&mut self, now: MonotonicTime) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        if let Some(weights) = hierarchy.tick(now) {
            self.core.set_parent_weights(now, weights);
        }
        self.core.configure_shield(hierarchy.shield_settings(), hierarchy.hubs_by_parent());
        self.core.configure_loop_inference(hierarchy.loop_inference());
        self.core.own_hop = hierarchy.own_hop();
        self.core.deadlines.shift(&mut self.hierarchy_deadline, hierarchy.next_due(), Due::Hierarchy);
    }

    /// Reports to the hierarchy which parents fills have made suspect of a loop.
    pub(super) fn report_suspected_loops(&mut self, now: MonotonicTime) {
        if self.core.suspected_parents.is_empty() {
            return;
        }
        let suspects = std::mem::take(&mut self.core.suspected_parents);
        if let Some(hierarchy) = &mut self.hierarchy {
            suspects.into_iter().for_each(|parent| hierarchy.exclude_parent(now, parent));
        }
        self.check_hierarchy(now);
    }

    /// Whether a request that has been at these places may pass (RFC 8586); without a hierarchy nothing is known of it.
    pub(super) fn may_pass(&mut self, via: &str) -> bool {
        self.hierarchy.as_mut().is_none_or(|hierarchy| hierarchy.admits_trail(via))
    }

    /// Applies an event: a change of the list by way of the merge, where sources are merged.
    pub(super) fn apply_event(&mut self, now: MonotonicTime, change: Change) {
        match (change, self.membership.as_mut().filter(|m| m.merges_sources())) {
            (Change::EndpointList { scope, endpoints }, Some(membership)) => {
                let effects = membership.update_list(now, scope, endpoints);
                self.apply_membership_effects(now, effects);
            }
            (change, _) => self.apply_merged(now, &change),
        }
    }

    /// Applies a change of the merged list, by way of what operators say of stores, or a purge.
    pub(super) fn apply_merged(&mut self, now: MonotonicTime, change: &Change) {
        match change {
            Change::EndpointList { scope, endpoints } => {
                let mut endpoints = endpoints.clone();
                self.store_overrides.apply(*scope, &mut endpoints);
                self.apply_listed(now, *scope, endpoints);
            }
            change => self.core.apply_event(now, change),
        }
    }

    /// Applies entries of the list, documents included, by way of what operators say of stores.
    pub(super) fn apply_listed(&mut self, now: MonotonicTime, scope: ListScope, entries: Vec<Endpoint>) {
        self.apply_ejection_input(now, manual_ejection::Input::EndpointList { scope, entries });
    }

    /// Takes in what the list, an operator or another process says of stores. Returns what a caller is answered.
    pub(super) fn apply_ejection_input(
        &mut self,
        now: MonotonicTime,
        input: manual_ejection::Input,
    ) -> Option<EjectionOutcome> {
        let (mut outputs, mut outcome) = (Vec::new(), None);
        self.manual_ejections.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                manual_ejection::Output::EndpointList { scope, entries } => {
                    self.apply_list(now, scope, entries);
                }
                manual_ejection::Output::SaveRecords(records) => {
                    if let Some(upgrade) = &self.upgrade {
                        self.save(upgrade.ejections_file().clone(), Upgrade::ejections_content(&records));
                    }
                    self.send_to_processes(&Frame::EjectionRecords(records));
                }
                manual_ejection::Output::Reply(result) => outcome = Some(result),
            }
        }
        self.core.deadlines.shift(
            &mut self.ejection_deadline,
            self.manual_ejections.next_due(),
            Due::ManualEjection,
        );
        outcome
    }

    /// Others may have reported times: starts of stores that turn out to be earlier are so for the decision module.
    pub(super) fn bound_clock(&mut self, now: MonotonicTime) {
        let of_nodes = self.membership.as_ref().and_then(Membership::max_clock_lead);
        let max_clock_lead = self.wire_times.max_clock_lead().into_iter().chain(of_nodes).min();
        let earlier = self.start_dates.lower_max_clock_lead(max_clock_lead);
        self.core.correct_starts(now, earlier);
    }

    /// Takes over how another process of this gateway dates the starts of stores.
    pub(super) fn take_over_starts(&mut self, now: MonotonicTime, starts: impl Iterator<Item = DatedStart>) {
        let earlier = self.start_dates.take_over(starts);
        self.core.correct_starts(now, earlier);
    }

    /// Applies a change of the list as it counts: to the core, the hierarchy and the connections to stores.
    fn apply_list(&mut self, now: MonotonicTime, scope: ListScope, mut endpoints: Vec<Endpoint>) {
        self.bound_clock(now);
        self.start_dates.date_entries(now, scope, &mut endpoints);
        let change = Change::EndpointList { scope, endpoints };
        self.core.apply_event(now, &change);
        let Change::EndpointList { endpoints, .. } = &change else { return };
        if let Some(hierarchy) = &mut self.hierarchy {
            hierarchy.observe_endpoints(now, endpoints);
            self.check_hierarchy(now);
        }
        let named: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.host.server).collect();
        let unlisted = if scope.is_complete() { self.pools.remove_unlisted(&named) } else { Vec::new() };
        for store in endpoints {
            let address_changed = self.pools.apply_entry(store);
            if address_changed || store.host.state == State::Removed {
                let is_idle = |key: &Key| match self.connections.get(*key).map(|c| &c.role) {
                    Some(Role::Store(session)) => session.is_idle(),
                    _ => false,
                };
                let Some(links) = self.pools.connections_mut(store.host.server) else { continue };
                let (idle, busy): (Vec<Key>, Vec<Key>) = links.iter().partition(|k| is_idle(k));
                *links = if address_changed { Vec::new() } else { busy };
                idle.into_iter().for_each(|key| self.close(now, key, None));
                self.forget_removed_store(store.host.server);
            }
        }
        unlisted.into_iter().for_each(|id| self.forget_removed_store(id));
        self.update_tier_stores(now);
    }
}
