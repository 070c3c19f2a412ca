//! Changes of the endpoint list by events, merged sources and operators, and of the parents' weights by the hierarchy.
use super::Gateway;
use crate::bulletin::Change;
use crate::connection::Role;
use crate::deadlines::DeadlineKind;
use crate::membership::Membership;
use crate::slots::SlotKey;
use crate::upgrade::Upgrade;
use larchway::{DatedStart, MonotonicTime, ServerId, State};
use larchway_endpoints::{Endpoint, ListScope};
use larchway_operations::handover::Frame;
use larchway_operations::manual_ejection::{self, EjectionOutcome};
use std::collections::BTreeSet;

impl Gateway {
    /// Passes the hierarchy's parent weights and settings to the core, and schedules the hierarchy's next change.
    pub(super) fn check_hierarchy(&mut self, now: MonotonicTime) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        if let Some(weights) = hierarchy.tick(now) {
            self.core.set_parent_weights(now, weights);
        }
        self.core.configure_shield(hierarchy.shield_settings(), hierarchy.hubs_by_parent());
        self.core.configure_loop_inference(hierarchy.loop_inference());
        self.core.own_hop = hierarchy.own_hop();
        self.core.deadlines.reschedule(
            &mut self.hierarchy_deadline,
            hierarchy.next_due(),
            DeadlineKind::Hierarchy,
        );
    }

    /// Reports to the hierarchy the parents for which fills indicate a routing loop, so that it excludes them.
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

    /// Whether a request with this `CDN-Loop` trail (RFC 8586) is admitted; without a hierarchy every request is.
    pub(super) fn admits_via(&mut self, via: &str) -> bool {
        self.hierarchy.as_mut().is_none_or(|hierarchy| hierarchy.admits_trail(via))
    }

    /// Applies an event. A change of the endpoint list goes through the merge of sources if sources are merged.
    pub(super) fn apply_event(&mut self, now: MonotonicTime, change: Change) {
        match (change, self.membership.as_mut().filter(|m| m.merges_sources())) {
            (Change::EndpointList { scope, endpoints }, Some(membership)) => {
                let effects = membership.update_list(now, scope, endpoints);
                self.apply_membership_effects(now, effects);
            }
            (change, _) => self.apply_merged_change(now, &change),
        }
    }

    /// Applies a change of the merged endpoint list, overlaid with the documents about stores, or a purge.
    pub(super) fn apply_merged_change(&mut self, now: MonotonicTime, change: &Change) {
        match change {
            Change::EndpointList { scope, endpoints } => {
                let mut endpoints = endpoints.clone();
                self.store_overrides.apply(*scope, &mut endpoints);
                self.apply_list_entries(now, *scope, endpoints);
            }
            change => self.core.apply_event(now, change),
        }
    }

    /// Applies endpoint entries, documents included, subject to manual ejections.
    pub(super) fn apply_list_entries(
        &mut self,
        now: MonotonicTime,
        scope: ListScope,
        entries: Vec<Endpoint>,
    ) {
        self.apply_ejection_input(now, manual_ejection::Input::EndpointList { scope, entries });
    }

    /// Handles an input for manual ejections: endpoints, an operator's request or another process's records. Returns
    /// the outcome if the input was an operator's request.
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
                    self.apply_effective_list(now, scope, entries);
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
        self.core.deadlines.reschedule(
            &mut self.ejection_deadline,
            self.manual_ejections.next_due(),
            DeadlineKind::ManualEjection,
        );
        outcome
    }

    /// Corrects the start times of stores with the latest bound on how fast this clock may be, and passes those that
    /// turn out to be earlier to the decision module.
    pub(super) fn bound_clock(&mut self, now: MonotonicTime) {
        let max_fast_of_nodes = self.membership.as_ref().and_then(Membership::max_clock_lead);
        let max_clock_lead = self.wire_times.max_clock_lead().into_iter().chain(max_fast_of_nodes).min();
        let earlier_starts = self.start_dates.lower_max_clock_lead(max_clock_lead);
        self.core.correct_starts(now, earlier_starts);
    }

    /// Adopts the store start times that another process of this gateway has recorded.
    pub(super) fn take_over_starts(&mut self, now: MonotonicTime, starts: impl Iterator<Item = DatedStart>) {
        let earlier_starts = self.start_dates.take_over(starts);
        self.core.correct_starts(now, earlier_starts);
    }

    /// Applies the effective change of the endpoint list to the core, the hierarchy and the connections to stores.
    fn apply_effective_list(&mut self, now: MonotonicTime, scope: ListScope, mut endpoints: Vec<Endpoint>) {
        self.bound_clock(now);
        self.start_dates.date_entries(now, scope, &mut endpoints);
        let change = Change::EndpointList { scope, endpoints };
        self.core.apply_event(now, &change);
        let Change::EndpointList { endpoints, .. } = &change else { return };
        if let Some(hierarchy) = &mut self.hierarchy {
            hierarchy.observe_endpoints(now, endpoints);
            self.check_hierarchy(now);
        }
        let listed_ids: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.host.server).collect();
        let unlisted = if scope.is_complete() { self.pools.remove_unlisted(&listed_ids) } else { Vec::new() };
        for store in endpoints {
            let address_changed = self.pools.apply_entry(store);
            if address_changed || store.host.state == State::Removed {
                let is_idle = |key: &SlotKey| match self.connections.get(*key).map(|c| &c.role) {
                    Some(Role::Store(session)) => session.is_idle(),
                    _ => false,
                };
                let Some(links) = self.pools.connections_mut(store.host.server) else { continue };
                let (idle, busy): (Vec<SlotKey>, Vec<SlotKey>) = links.iter().partition(|key| is_idle(key));
                let (kept, left) = if address_changed { (Vec::new(), busy) } else { (busy, Vec::new()) };
                *links = kept;
                idle.into_iter().for_each(|key| self.close(now, key, None));
                left.into_iter().for_each(|key| self.redirect_waiting(now, key));
                self.forget_removed_store(store.host.server);
            }
        }
        unlisted.into_iter().for_each(|id| self.forget_removed_store(id));
        self.update_tier_stores(now);
    }
}
