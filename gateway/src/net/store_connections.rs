//! Connections to stores: choosing one for an attempt, beginning one, and the end of one that is closed.
use super::Gateway;
use crate::connection::{ConnectFailure, Connection, Role};
use crate::core::Command;
use crate::pools::Pool;
use crate::resp::Session;
use crate::slots::SlotKey;
use larchway::{MonotonicTime, Note, ServerId, State, Status};
use std::net::SocketAddr;
use tracing::warn;

/// Connections that each store may have however few descriptors there are.
const MIN_CONNECTIONS_PER_STORE: usize = 2;
/// Connections that no store has more of.
const MAX_CONNECTIONS_PER_STORE: usize = 128;

/// Where an attempt is to be sent.
enum ConnectionChoice {
    /// On a connection that there is.
    Existing(SlotKey),
    /// On a new connection to this address.
    New(SocketAddr),
    /// Nowhere: no address of the store is known.
    NoAddress,
}

impl Gateway {
    /// Finds an attempt a connection. An answer blocks those behind it on its connection, so each attempt gets
    /// one of its own as far as the budget goes, unless handshakes have a price.
    pub(super) fn dispatch(&mut self, now: MonotonicTime, attempt: SlotKey) {
        let Some((server, call)) = self.core.target(attempt) else { return };
        let call = call.to_string();
        let key = match self.choose_connection(server, &call) {
            ConnectionChoice::Existing(key) => key,
            ConnectionChoice::New(address) => match self.connect_to_store(now, server, address) {
                Ok(key) => key,
                Err(failure) => return self.handle_connect_failure(now, attempt, failure),
            },
            ConnectionChoice::NoAddress => {
                self.core.end_attempt(now, attempt, Status::ConnectFailed, Note::None);
                return;
            }
        };
        if let Some(attempt) = self.core.attempt(attempt) {
            attempt.connection = Some(key);
        }
        if let Some(Connection { role: Role::Store(session), .. }) = self.connections.get_mut(key) {
            session.waiting.push_back(attempt);
        }
        self.send_waiting(now, key);
        self.update_interest(key);
    }

    /// The connection to a store with the least load, of those that are up first, or a new one where that is too much
    /// and the limits allow it. One that has carried the same call is passed over.
    fn choose_connection(&self, server: ServerId, call: &str) -> ConnectionChoice {
        let Some(pool) = self.pools.get(&server) else { return ConnectionChoice::NoAddress };
        let Some(address) = pool.store.dial else { return ConnectionChoice::NoAddress };
        let usable = |key: &SlotKey| match self.connections.get(*key) {
            Some(Connection { role: Role::Store(session), state, .. })
                if !session.is_doubtful && !session.has_used(call) =>
            {
                Some((session.attempt_count(), !state.is_connected(), *key))
            }
            _ => None,
        };
        // The first one of several that are alike.
        let least_loaded = pool
            .links
            .iter()
            .filter_map(usable)
            .min_by_key(|(load, is_connecting, _)| (*load, *is_connecting));
        let stores_in_zone = self.pools.listed_in(self.own_zone).max(1);
        let limit = (self.descriptor_limits.store_connections / stores_in_zone)
            .clamp(MIN_CONNECTIONS_PER_STORE, MAX_CONNECTIONS_PER_STORE);
        let may_open = pool.links.len() < limit
            && self.store_connection_count < self.descriptor_limits.store_connections;
        match least_loaded {
            Some((load, _, key)) if load < self.wire_settings.attempts_per_connection || !may_open => {
                ConnectionChoice::Existing(key)
            }
            _ => ConnectionChoice::New(address),
        }
    }

    /// Begins a connection to a store and adds it to the store's pool.
    fn connect_to_store(
        &mut self,
        now: MonotonicTime,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<SlotKey, ConnectFailure> {
        let due = now + self.wire_settings.connect_timeout;
        let key = self.connect(now, address, Role::Store(Session::new(server)), due)?;
        if let Some(links) = self.pools.links_mut(server) {
            links.push(key);
        }
        Ok(key)
    }

    /// Ends or postpones an attempt for which no connection could be begun. Danger: a shortage here, laid to the
    /// stores, makes them all look gone and back, cold.
    fn handle_connect_failure(&mut self, now: MonotonicTime, attempt: SlotKey, failure: ConnectFailure) {
        let status = match failure {
            ConnectFailure::LocalShortage => {
                if self.core.resend_after_backoff(now, attempt, self.wire_settings.connect_timeout) {
                    return;
                }
                Status::NeverSent
            }
            ConnectFailure::Unreachable => Status::ConnectFailed,
        };
        self.core.end_attempt(now, attempt, status, Note::None);
    }

    /// Ends the attempts of a connection to a store that is closed. `was_connected`: whether it had come up.
    pub(super) fn end_store_connection(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        session: Session,
        was_connected: bool,
        reason: &str,
    ) {
        if let Some(links) = self.pools.links_mut(session.store) {
            links.retain(|link| *link != key);
        }
        self.forget_removed_store(session.store);
        if !was_connected {
            warn!(store = %format_args!("{:08x}", session.store), %reason, "no connection to a store");
        }
        // Only what had no byte written is sure not to have run.
        for (_, attempt) in session.open {
            self.core.end_attempt(now, attempt, Status::Reset, Note::None);
        }
        // A connection that was up and broke before a byte was written says nothing of the store's health:
        // what waited for it has not been sent and takes another.
        for attempt in session.waiting {
            if was_connected && self.core.reconnect_once(attempt) {
                self.core.commands.push_back(Command::SendAttempt(attempt));
            } else {
                self.core.end_attempt(now, attempt, Status::ConnectFailed, Note::None);
            }
        }
    }

    /// Forgets a store that is gone, once its last connection is.
    pub(super) fn forget_removed_store(&mut self, id: ServerId) {
        let is_gone = |p: &Pool| p.store.host.state == State::Removed && p.links.is_empty();
        if self.pools.get(&id).is_some_and(is_gone) {
            self.pools.forget(id);
        }
    }
}
