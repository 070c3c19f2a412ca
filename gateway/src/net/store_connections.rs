//! Connections to stores: choosing one for an attempt, connecting, and ending the attempts of a closed one.
use super::Gateway;
use crate::connection::{ConnectFailure, Connection, Role};
use crate::core::Command;
use crate::pools::Pool;
use crate::resp::Session;
use crate::slots::SlotKey;
use larchway::{MonotonicTime, Note, ServerId, State, Status};
use std::net::SocketAddr;
use tracing::warn;

/// Connections that each store may have even when descriptors are scarce.
const MIN_CONNECTIONS_PER_STORE: usize = 2;
/// Maximum number of connections to one store.
const MAX_CONNECTIONS_PER_STORE: usize = 128;

/// The connection that an attempt is sent on.
enum ConnectionChoice {
    /// On this open connection.
    Existing(SlotKey),
    /// On a new connection to this address.
    New(SocketAddr),
    /// None: no address of the store is known.
    NoAddress,
}

impl Gateway {
    /// Assigns a connection to an attempt and sends it there. Replies on a connection can block those behind them, so
    /// each attempt gets its own connection within the limits, unless the settings allow more attempts per connection
    /// to save handshakes.
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

    /// Chooses the connection to a store with the fewest attempts, established ones preferred, or a new one if that has
    /// too many and the limits allow one more. Connections that have carried the same call id are skipped.
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
        // The first one of several with equal load.
        let least_loaded = pool
            .connections
            .iter()
            .filter_map(usable)
            .min_by_key(|(load, is_connecting, _)| (*load, *is_connecting));
        let stores_in_zone = self.pools.listed_in_zone(self.own_zone).max(1);
        let limit = (self.descriptor_limits.store_connections / stores_in_zone)
            .clamp(MIN_CONNECTIONS_PER_STORE, MAX_CONNECTIONS_PER_STORE);
        let may_open = pool.connections.len() < limit
            && self.store_connection_count < self.descriptor_limits.store_connections;
        match least_loaded {
            Some((load, _, key)) if load < self.wire_settings.attempts_per_connection || !may_open => {
                ConnectionChoice::Existing(key)
            }
            _ => ConnectionChoice::New(address),
        }
    }

    /// Starts to connect to a store and adds the connection to the store's pool.
    fn connect_to_store(
        &mut self,
        now: MonotonicTime,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<SlotKey, ConnectFailure> {
        let due = now + self.wire_settings.connect_timeout;
        let key = self.connect(now, address, Role::Store(Session::new(server)), due)?;
        if let Some(links) = self.pools.connections_mut(server) {
            links.push(key);
        }
        Ok(key)
    }

    /// Ends or postpones an attempt for which connecting failed. A local shortage is not attributed to the store: all
    /// stores would seem to be lost and then to return cold.
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

    /// Ends the attempts of a closed connection to a store. `was_connected`: whether it had been established.
    pub(super) fn end_store_connection(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        session: Session,
        was_connected: bool,
        reason: &str,
    ) {
        if let Some(links) = self.pools.connections_mut(session.store) {
            links.retain(|link| *link != key);
        }
        self.forget_removed_store(session.store);
        if !was_connected {
            warn!(store = %format_args!("{:08x}", session.store), %reason, "cannot connect to a store");
        }
        // An attempt of which a byte was written may have been executed by the store.
        for (_, attempt) in session.open {
            self.core.end_attempt(now, attempt, Status::Reset, Note::None);
        }
        // An established connection that closed before a byte of an attempt was written says nothing of the store's
        // health: the unsent attempt uses another connection.
        for attempt in session.waiting {
            if was_connected && self.core.reconnect_once(attempt) {
                self.core.commands.push_back(Command::SendAttempt(attempt));
            } else {
                self.core.end_attempt(now, attempt, Status::ConnectFailed, Note::None);
            }
        }
    }

    /// Moves the attempts of which nothing is written from a connection whose store is served by another process now,
    /// or at another address: what answers at the former address may be another store. A connection that carries
    /// nothing else is closed.
    pub(super) fn redirect_waiting(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(Connection { role: Role::Store(session), .. }) = self.connections.get_mut(key) else {
            return;
        };
        let waiting = std::mem::take(&mut session.waiting);
        let is_idle = session.is_idle();
        for key in waiting {
            if let Some(attempt) = self.core.attempt(key) {
                attempt.connection = None;
            }
            self.core.commands.push_back(Command::SendAttempt(key));
        }
        if is_idle {
            self.close(now, key, None);
        }
    }

    /// Deletes a removed store once its last connection is closed.
    pub(super) fn forget_removed_store(&mut self, id: ServerId) {
        let is_gone = |p: &Pool| p.store.host.state == State::Removed && p.connections.is_empty();
        if self.pools.get(&id).is_some_and(is_gone) {
            self.pools.remove(id);
        }
    }
}
