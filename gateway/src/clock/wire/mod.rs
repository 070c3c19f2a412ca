//! Converts times that other machines report to the gateway's monotonic clock (`docs/design/time.md`).
//!
//! The own Unix clock may be wrong by any amount. Reported times bound the error, since they cannot lie in the
//! future. Where an overestimated age would do harm (a purge, the start of a store), the lowest possible age is
//! assumed; where an underestimated one would (a copy), the highest. After its receipt an age grows by the monotonic
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

/// Most that two clocks may differ and still count as equal: a reported time up to this far in the future counts as
/// the present.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// When the origin issued a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyTimes {
    /// The reported time, to be compared only with the reported issue times of purges.
    pub issued: MonotonicTime,
    /// On the gateway's own clock; the age of the copy is computed from this time.
    pub issued_local: MonotonicTime,
}

/// Converts reported times to the monotonic clock.
#[derive(Debug, Default)]
pub struct WireTimes {
    anchor: Anchor,
    clock_error: ClockError,
    starts: StoreStarts,
    /// Whether a complete list of stores was received; until then no reported start is treated as live.
    list_complete: bool,
}

/// Whether an event may report the past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Received in the configuration or with the first list: it may report what happened long ago.
    Initial,
    /// Received as a change while the gateway runs: a reported start is a recent one.
    Live,
}

impl WireTimes {
    /// Uses the clocks of this process.
    pub fn new() -> Self {
        WireTimes { anchor: clock::wire_anchor(), ..WireTimes::default() }
    }

    /// Observes the times of events that were received together. To be called before any of them is converted.
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

    /// The change that an event makes, with times on the monotonic clock; none for events without one.
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

    /// When a store started. For a start that is reported live the latest possible time is assumed: a store that
    /// seems older than it is gets more load than it can serve.
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

    /// The times of a copy in a store's reply, by the reported time at which the origin issued it. None if no time
    /// was reported, or one in the future: such a copy would never expire.
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

    /// The most that the own clock can be fast, by the times reported so far; none before the first.
    pub fn max_clock_lead(&self) -> Option<Duration> {
        self.clock_error.max_clock_lead()
    }

    /// The latest time that other machines may report as the present: the own clock, plus the amount by which it is
    /// known to be slow.
    pub fn latest(&self, now: MonotonicTime) -> MonotonicTime {
        self.clock_error.latest(now)
    }

    /// Converts a time reported by the event source to the monotonic clock, and observes it.
    fn source_time(&mut self, now: MonotonicTime, reported: UnixMicros) -> MonotonicTime {
        let reported_at = self.anchor.to_monotonic(reported);
        self.clock_error.observe_source(now, reported_at);
        reported_at
    }
}

#[cfg(test)]
mod tests;
