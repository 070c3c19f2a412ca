//! The connection to the source of events, and the effects of the event stream.
use super::Gateway;
use crate::connection::{ConnectFailure, Role};
use crate::deadlines::DeadlineKind;
use crate::events::Effect;
use crate::postponed::{take_due, Postponed};
use larchway::MonotonicTime;
use larchway_endpoints::Connectivity;
use std::net::SocketAddr;
use tracing::warn;

/// A subscription request to a source of events.
pub(super) struct EventsRequest {
    address: SocketAddr,
    bytes: Vec<u8>,
}

impl Gateway {
    /// Handles the deadline of the event stream.
    pub(super) fn check_events(&mut self, now: MonotonicTime) {
        self.events_deadline = None;
        let effects = self.events.tick(now);
        self.apply_event_effects(now, effects);
    }

    /// Carries out the effects of the event stream and schedules its next deadline.
    pub(super) fn apply_event_effects(&mut self, now: MonotonicTime, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dial { address, request } => {
                    self.connect_to_events(now, now, EventsRequest { address, bytes: request });
                }
                Effect::Write(bytes) => self.write_events(now, &bytes),
                Effect::Close(reason) => {
                    self.postponed_events_connect = None;
                    if let Some(key) = self.events_connection.take() {
                        warn!(%reason, "the bulletin is lost");
                        self.close(now, key, None);
                    }
                }
                Effect::SourceAlive(alive_at) => self.update_event_contact(now, Some(alive_at)),
                Effect::SourceLost => self.update_event_contact(now, None),
                Effect::InvalidateCopies => self.core.invalidate_copies(now, self.wire_times.latest(now)),
                Effect::PurgesMissed => self.core.purges_missed(now),
                Effect::Apply { event, arrival } => {
                    if let Some(change) = self.wire_times.change(now, event, arrival) {
                        self.apply_event(now, change);
                    }
                    self.bound_clock(now);
                }
                Effect::TryDocuments(candidate) => self.apply_documents(now, candidate),
            }
        }
        let next_due = self.events.next_due();
        self.core.deadlines.reschedule(&mut self.events_deadline, next_due, DeadlineKind::Events);
    }

    /// Writes to the source of events, if connected.
    fn write_events(&mut self, now: MonotonicTime, bytes: &[u8]) {
        let Some(key) = self.events_connection else { return };
        if let Some(connection) = self.connections.get_mut(key) {
            connection.output.tail().extend_from_slice(bytes);
        }
        self.flush(now, key);
    }

    /// Retries the connect to the source of events that was postponed because of a local shortage, if its time has
    /// come.
    pub(super) fn retry_events_connect(&mut self, now: MonotonicTime) {
        if let Some(postponed) = take_due(&mut self.postponed_events_connect, now) {
            self.connect_to_events(now, postponed.since, postponed.work);
        }
    }

    /// Connects to a source of events; `since`: when this was first tried. A local shortage is retried until the
    /// connect time-out: attributed to the source, it would make the gateway leave a healthy source for one that may
    /// lag behind.
    fn connect_to_events(&mut self, now: MonotonicTime, since: MonotonicTime, request: EventsRequest) {
        self.postponed_events_connect = None;
        let timeout = self.wire_settings.connect_timeout;
        match self.connect(now, request.address, Role::Events, now + timeout) {
            Ok(key) => {
                self.events_connection = Some(key);
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.output.tail().extend_from_slice(&request.bytes);
                }
            }
            Err(ConnectFailure::LocalShortage) if now < since + timeout => {
                let postponed = Postponed::new(now, since, request);
                self.core.deadlines.set(postponed.retry_at(), DeadlineKind::EventsConnect);
                self.postponed_events_connect = Some(postponed);
            }
            Err(_) => {
                let effects = self.events.connect_failed(now);
                self.apply_event_effects(now, effects);
            }
        }
    }

    /// Records when the source of events was last alive, or, with none, that contact with it is lost.
    fn update_event_contact(&mut self, now: MonotonicTime, last_contact: Option<MonotonicTime>) {
        let connectivity =
            if last_contact.is_some() { Connectivity::Connected } else { Connectivity::Disconnected };
        self.core.object_cache.iter_mut().for_each(|cache| match last_contact {
            Some(when) => cache.feed_active(when),
            None => cache.feed_disconnected(),
        });
        if let Some(membership) = self.membership.as_mut().filter(|m| m.merges_sources()) {
            let effects = membership.update_list_source(now, connectivity);
            self.apply_membership_effects(now, effects);
        }
    }
}
