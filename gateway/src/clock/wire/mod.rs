//! Times that other machines report, on the gateway's monotonic clock (`docs/design/time.md`).
//!
//! The own Unix clock may be wrong by any amount. What others report bounds the error: nothing reported can lie in the
//! future. So an age is taken as the least that is possible where a higher one would be dangerous (a purge, the start
//! of a store), and as the most where a lower one would be (a copy). From its receipt an age grows by the monotonic
//! clock alone.
mod clock_error;
mod store_starts;

use crate::bulletin::{BulletinEvent, Change, EventBody};
use crate::clock;
use clock_error::ClockError;
use larchway::{Host, MonotonicTime, ServerId, State};
use larchway_endpoints::endpoint::ListedEndpoint;
use larchway_endpoints::{Endpoint, ListScope};
use larchway_unix_time::{Anchor, UnixMicros};
use std::collections::BTreeSet;
use std::time::Duration;
use store_starts::StoreStarts;

/// How far clocks may differ that count as the same: a time reported as that far in the future counts as present.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// When the origin issued a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyTimes {
    /// As reported, to be compared only with the reported issue times of purges.
    pub issued: MonotonicTime,
    /// On the gateway's own clock: the copy's age counts from here.
    pub issued_local: MonotonicTime,
}

/// Converts times from wires to the monotonic clock.
#[derive(Debug, Default)]
pub struct WireTimes {
    anchor: Anchor,
    clock_error: ClockError,
    starts: StoreStarts,
    /// Whether a complete list of stores is known: until then no reported start counts as live.
    list_complete: bool,
}

/// How an event arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// In the configuration or with the first list: it may report what happened long ago.
    Initial,
    /// As a change while the gateway runs: a start that it reports is a recent one.
    Live,
}

impl WireTimes {
    /// By the clocks of this process.
    pub fn new() -> Self {
        WireTimes { anchor: clock::wire_anchor(), ..WireTimes::default() }
    }

    /// Observes the times of events that are known together, before each of them is converted.
    pub fn prepare(&mut self, now: MonotonicTime, events: &[BulletinEvent]) {
        for event in events {
            match &event.body {
                EventBody::EndpointList { endpoints, .. } => self.observe_starts(now, endpoints),
                EventBody::Purge { issued, .. } => drop(self.source_time(now, *issued)),
                EventBody::Other => {}
            }
        }
    }

    fn observe_starts(&mut self, now: MonotonicTime, endpoints: &[ListedEndpoint]) {
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.started.is_unset()) {
            self.clock_error.observe(now, self.anchor.to_monotonic(endpoint.started));
        }
    }

    /// The change that an event makes, on the monotonic clock; none if it makes none.
    pub fn change(&mut self, now: MonotonicTime, body: EventBody, arrival: Arrival) -> Option<Change> {
        match body {
            EventBody::EndpointList { scope, endpoints } => {
                let endpoints = self.endpoints(now, scope, endpoints, arrival);
                Some(Change::EndpointList { scope, endpoints })
            }
            EventBody::Purge { object, group, issued } => {
                let issued = self.source_time(now, issued);
                let age = self.clock_error.min_age(now, issued);
                Some(Change::Purge { object, group, issued, age })
            }
            EventBody::Other => None,
        }
    }

    fn endpoints(
        &mut self,
        now: MonotonicTime,
        scope: ListScope,
        listed: Vec<ListedEndpoint>,
        arrival: Arrival,
    ) -> Vec<Endpoint> {
        if scope.is_complete() {
            let servers: BTreeSet<ServerId> = listed.iter().map(|entry| entry.endpoint.host.server).collect();
            self.starts.retain(&servers);
        }
        let arrival = if self.list_complete { arrival } else { Arrival::Initial };
        self.list_complete |= scope.is_complete();
        listed.into_iter().map(|entry| self.endpoint(now, entry, arrival)).collect()
    }

    /// A listed endpoint, with its start on the monotonic clock.
    pub fn endpoint(&mut self, now: MonotonicTime, listed: ListedEndpoint, arrival: Arrival) -> Endpoint {
        let ListedEndpoint { mut endpoint, started } = listed;
        let server = endpoint.host.server;
        endpoint.host.started = if endpoint.host.state == State::Removed {
            self.starts.remove(server);
            self.anchor.to_monotonic(started).min(now)
        } else if started.is_unset() {
            Host::STARTED_LONG_AGO
        } else {
            self.start(now, server, started, arrival)
        };
        endpoint
    }

    /// When a store started. A start that is reported live is taken to be as late as it can be: a store that is taken
    /// for older than it is gets more load than it can serve.
    fn start(
        &mut self,
        now: MonotonicTime,
        server: ServerId,
        reported: UnixMicros,
        arrival: Arrival,
    ) -> MonotonicTime {
        if let Some(started_at) = self.starts.find(server, reported) {
            return started_at.min(now);
        }
        let reported_at = self.anchor.to_monotonic(reported);
        self.clock_error.observe(now, reported_at);
        let started_at = match arrival {
            Arrival::Live => now - self.clock_error.min_age(now, reported_at),
            Arrival::Initial => reported_at.min(now),
        };
        self.starts.record(server, reported, started_at);
        started_at
    }

    /// The times of a copy that a store has just replied with, reported as issued by the origin at a time. None if no
    /// time was reported, or one in the future: such a copy would never expire.
    pub fn copy(&mut self, now: MonotonicTime, issued: UnixMicros) -> Option<CopyTimes> {
        if issued.is_unset() {
            return None;
        }
        let issued = self.anchor.to_monotonic(issued);
        let latest = self.latest(now);
        if issued > latest.saturating_add(CLOCK_TOLERANCE) {
            return None;
        }
        self.clock_error.observe(now, issued);
        Some(CopyTimes { issued, issued_local: now.saturating_sub(latest.saturating_since(issued)) })
    }

    /// How far the own clock may be fast, at most, by what others have reported so far; none before a report.
    pub fn max_fast(&self) -> Option<Duration> {
        self.clock_error.max_fast()
    }

    /// The latest time that others may report as the present: by the own clock, and how slow it is known to be.
    pub fn latest(&self, now: MonotonicTime) -> MonotonicTime {
        self.clock_error.latest(now)
    }

    /// A time reported by the source of events, on the monotonic clock.
    fn source_time(&mut self, now: MonotonicTime, reported: UnixMicros) -> MonotonicTime {
        let reported_at = self.anchor.to_monotonic(reported);
        self.clock_error.observe_source(now, reported_at);
        reported_at
    }
}

#[cfg(test)]
mod tests;
