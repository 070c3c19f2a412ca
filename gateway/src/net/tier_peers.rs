//! The other gateways of the tier: the datagram socket, gossip received, and shared slow start budgets.
use super::poll_key::PollKey;
use super::Gateway;
use crate::clock;
use crate::core::LoadReport;
use crate::deadlines::DeadlineKind;
use crate::peers::{self, Peers, SocketChange};
use crate::pools::Pool;
use crate::wire_settings::WireSettings;
use larchway::{MonotonicTime, State};
use polling::{Event, PollMode};
use tracing::error;

impl Gateway {
    /// Configures the exchange between gateways; ends it if no settings are left.
    pub(super) fn configure_tier_peers(
        &mut self,
        now: MonotonicTime,
        peer_settings: peers::PeerSettings,
        wire_settings: &WireSettings,
    ) {
        let field = peer_settings.spread.as_ref().map(|file| &file.field);
        self.core.load_field = wire_settings.load_fields.iter().position(|name| Some(name) == field);
        if peer_settings.spread.is_none() && self.peers.as_ref().is_some_and(Peers::exchanges_load) {
            self.core.set_shed_shares(now, Vec::new());
        }
        let socket_change = match &mut self.peers {
            peers if peer_settings.is_disabled() => {
                // This drops the socket, which ends polling.
                *peers = None;
                SocketChange::Unchanged
            }
            Some(peers) => peers.configure(now, &peer_settings),
            peers => {
                *peers = Some(Peers::new(now, &peer_settings));
                SocketChange::Replaced
            }
        };
        if socket_change == SocketChange::Replaced {
            self.listen_to_peers();
        }
        self.update_tier_stores(now);
        self.schedule_peers();
    }

    /// Polls the socket on which datagrams of the other gateways of the tier arrive.
    fn listen_to_peers(&mut self) {
        // The former socket was dropped, which ended polling.
        if let Some(socket) = self.peers.as_ref().and_then(Peers::socket) {
            let added = self.poller.add_with_mode(
                socket,
                Event::readable(PollKey::PeerDatagrams.into()),
                PollMode::Level,
            );
            added.unwrap_or_else(|error| error!(%error, "peer_listen: cannot poll"));
        }
    }

    /// Passes the caches of this location that are up to load sharing.
    pub(super) fn update_tier_stores(&mut self, now: MonotonicTime) {
        if let Some(peers) = &mut self.peers {
            let is_local_cache = |p: &&Pool| {
                let host = &p.store.host;
                let kinds = [self.settings.parent_kind, self.settings.origin_kind];
                host.state == State::Up && host.zone == self.own_zone && !kinds.contains(&Some(host.kind))
            };
            let stores = self.pools.values().filter(is_local_cache).map(|p| p.store.host.server).collect();
            let quota_divisor = self.settings.quota_divisor(now, Some(self.own_zone));
            peers.set_stores(now, stores, quota_divisor.ceil() as u64);
        }
    }

    /// Schedules the next deadline of the exchange.
    fn schedule_peers(&mut self) {
        let next_due = self.peers.as_ref().and_then(Peers::next_due);
        self.core.deadlines.reschedule(&mut self.peers_deadline, next_due, DeadlineKind::Peers);
    }

    /// Runs the rounds of the exchange that are due.
    pub(super) fn check_peers(&mut self, now: MonotonicTime) {
        self.peers_deadline = None;
        let avoided = self.core.avoided(now).collect();
        let effects = self.peers.as_mut().map(|peers| peers.tick(now, avoided)).unwrap_or_default();
        self.apply_peer_effects(now, effects);
        self.schedule_peers();
    }

    /// Receives the datagrams that have arrived from other gateways.
    pub(super) fn receive_datagrams(&mut self, now: MonotonicTime) {
        let effects = self.peers.as_mut().map(|peers| peers.receive_datagrams(now)).unwrap_or_default();
        self.apply_peer_effects(now, effects);
    }

    /// Carries out the effects of the exchange between gateways.
    pub(super) fn apply_peer_effects(&mut self, now: MonotonicTime, effects: Vec<peers::Effect>) {
        for effect in effects {
            match effect {
                peers::Effect::OffloadShares(shares) => self.core.set_shed_shares(now, shares),
                peers::Effect::SampleLoad(store) if self.wire_settings.probes_allowed => {
                    self.request_load_report(now, store);
                }
                peers::Effect::SampleLoad(_) => {}
                peers::Effect::SuspectStore(store) => self.core.mark_suspected(now, store),
                peers::Effect::QuotasChanged => self.update_gateway_count(),
                peers::Effect::SocketReplaced => self.listen_to_peers(),
            }
        }
    }

    /// Passes the load reports of stores to load sharing.
    pub(super) fn pass_load_reports(&mut self, now: MonotonicTime) {
        for LoadReport { store, load } in std::mem::take(&mut self.core.load_reports) {
            self.peers.iter_mut().for_each(|peers| peers.record_load(now, store, load));
        }
    }

    /// Divides the slow start budgets by the leased quotas or the number of live gateways; a zone for which neither is
    /// known keeps its configured number.
    pub(super) fn update_gateway_count(&mut self) {
        self.settings.shares = self.peers.as_ref().and_then(Peers::quotas);
        let mut settings = self.settings.clone();
        let mut set_gateways = |zone: usize, number: u64| {
            if settings.zone_routers.len() <= zone {
                settings.zone_routers.resize(zone + 1, 1);
            }
            settings.zone_routers[zone] = number;
        };
        if let Some(standing) = self.peers.as_ref().and_then(Peers::standing) {
            set_gateways(self.own_zone, standing.in_zone);
            settings.routers = standing.all.max(1);
        } else if !self.live_gateways.is_empty() {
            let known_zones =
                self.live_gateways.iter().filter(|(zone, _)| **zone < self.wire_settings.zones.len());
            known_zones.for_each(|(zone, number)| set_gateways(*zone, *number));
            settings.routers = settings.zone_routers.iter().sum::<u64>().max(1);
        }
        self.core.adjust(clock::now(), settings);
    }
}
