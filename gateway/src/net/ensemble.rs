//! Membership of the gateway: its connection to the ensemble, and the effects of the membership protocol.
use super::errors::CloseReason;
use super::Gateway;
use crate::connection::{ConnectFailure, Role};
use crate::deadlines::DeadlineKind;
use crate::membership::{Effect, EnsembleSettings, Membership, OwnInstance};
use crate::postponed::{take_due, Postponed};
use larchway::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum connect time-out for a server of the ensemble.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl Gateway {
    /// Creates or reconfigures membership.
    pub(super) fn configure_membership(
        &mut self,
        now: MonotonicTime,
        settings: EnsembleSettings,
        own: OwnInstance,
    ) {
        let seed = self.random();
        let effects = match &mut self.membership {
            Some(membership) => membership.configure(now, settings, own, &self.wire_settings, seed),
            None => {
                let (membership, effects) = Membership::new(now, settings, own, &self.wire_settings, seed);
                self.membership = Some(membership);
                effects
            }
        };
        let merges_sources = self.membership.as_ref().is_some_and(Membership::merges_sources);
        self.core.evidence = merges_sources.then(Vec::new);
        self.configure_admin(now);
        self.apply_membership_effects(now, effects);
    }

    /// Handles the membership deadline.
    pub(super) fn check_membership(&mut self, now: MonotonicTime) {
        self.membership_deadline = None;
        let effects = self.membership.as_mut().map(|membership| membership.tick(now)).unwrap_or_default();
        self.apply_membership_effects(now, effects);
    }

    /// Passes to membership the evidence of the stores' health that the gateway's own attempts gave.
    pub(super) fn report_evidence(&mut self, now: MonotonicTime) {
        if let (Some(evidence), Some(membership)) = (&mut self.core.evidence, &mut self.membership) {
            if !evidence.is_empty() {
                let effects = membership.handle_evidence(now, std::mem::take(evidence));
                self.apply_membership_effects(now, effects);
            }
        }
    }

    /// Retries the connect to the ensemble that was postponed because of a local shortage, if its time has come.
    pub(super) fn retry_ensemble_connect(&mut self, now: MonotonicTime) {
        if let Some(postponed) = take_due(&mut self.postponed_ensemble_connect, now) {
            self.connect_to_ensemble(now, postponed.since, postponed.work);
        }
    }

    /// Connects to a server of the ensemble; `since` is the time of the first try. If this machine lacks a resource,
    /// the connect is retried until the connect time-out has passed since then: if the shortage were attributed to the
    /// server, membership would leave a healthy server and back off from it.
    fn connect_to_ensemble(&mut self, now: MonotonicTime, since: MonotonicTime, address: SocketAddr) {
        self.postponed_ensemble_connect = None;
        let timeout = self.wire_settings.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        match self.connect(now, address, Role::Ensemble, now + timeout) {
            Ok(key) => self.ensemble_connection = Some(key),
            Err(ConnectFailure::LocalShortage) if now < since + timeout => {
                let postponed = Postponed::new(now, since, address);
                self.core.deadlines.set(postponed.retry_at(), DeadlineKind::EnsembleConnect);
                self.postponed_ensemble_connect = Some(postponed);
            }
            Err(_) => {
                self.ensemble_connection = None;
                let effects = self
                    .membership
                    .as_mut()
                    .map(|membership| membership.handle_connection_lost(now, "no connection"));
                self.apply_membership_effects(now, effects.unwrap_or_default());
            }
        }
    }

    /// Carries out the effects of membership and schedules its next deadline.
    pub(super) fn apply_membership_effects(&mut self, now: MonotonicTime, effects: Vec<Effect>) {
        if self.membership.is_none() {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Connect(address) => self.connect_to_ensemble(now, now, address),
                Effect::Write(bytes) => {
                    if let Some(connection) =
                        self.ensemble_connection.and_then(|key| self.connections.get_mut(key))
                    {
                        connection.output.tail().extend_from_slice(&bytes);
                    }
                }
                Effect::Close(reason) => {
                    self.postponed_ensemble_connect = None;
                    if let Some(key) = self.ensemble_connection {
                        // The message that ends the session must be sent before the connection is closed.
                        self.flush(now, key);
                    }
                    if let Some(key) = self.ensemble_connection.take() {
                        self.close(now, key, Some(&CloseReason::Left(reason)));
                    }
                }
                Effect::Save { file, content } => self.save(file, content),
                Effect::ApplyChange(change) => self.apply_merged_change(now, &change),
                Effect::GatewaysByZone(numbers) => {
                    self.live_gateways = numbers;
                    self.update_gateway_count();
                }
                Effect::Lease(input) => {
                    let effects = self.peers.as_mut().map(|peers| peers.handle_session(now, input));
                    self.apply_peer_effects(now, effects.unwrap_or_default());
                }
                Effect::HierarchyChange { node, data } => {
                    if let Some(hierarchy) = &mut self.hierarchy {
                        hierarchy.handle_change_node(now, &node, &data);
                    }
                    self.check_hierarchy(now);
                }
            }
        }
        if let Some(key) = self.ensemble_connection {
            self.flush(now, key);
        }
        let next_due = self.membership.as_ref().and_then(Membership::next_due);
        self.core.deadlines.reschedule(&mut self.membership_deadline, next_due, DeadlineKind::Membership);
    }
}
