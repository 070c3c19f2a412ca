//! Admission of fetches from the origin: limits on concurrent fetches in total and by hub, on how often one object is
//! fetched, and on objects that the origin recently failed to deliver. Writes count towards the limit and are never
//! rejected.
//!
//! The limit adapts to the origin. Vegas and gradient limiters (Netflix concurrency-limits) follow latency alone and
//! drift upwards with an origin that slows down for all requests; AIMD on rejections alone reacts too late to an
//! origin that stops responding. The limiter is therefore AIMD whose signs of overload are a rejection, a failure, or a
//! latency over a multiple of the recent minimum. It decreases at most once within the latency of a fetch, so that a
//! burst of failures counts as one sign.
mod minimum_latency;
mod object_table;
mod settings;

use larchway::{duration_micros, MonotonicTime};
use minimum_latency::MinimumLatency;
use object_table::ObjectTable;
use std::collections::BTreeMap;
use std::time::Duration;

pub use settings::AdmissionSettings;

/// The wait at a reached limit as long as no latency has been measured.
const ASSUMED_LATENCY: Duration = Duration::from_millis(100);
/// Lower bound of the usual latency in comparisons and of the wait at a reached limit.
const MIN_LATENCY: Duration = Duration::from_millis(1);
/// The least time between two decreases of the limit.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_micros(1);

/// The decision on a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The fetch may start; its end must be reported by [`OriginAdmission::fetch_ended`].
    Admit,
    /// A fetch of the same object is in flight, and joining it is allowed.
    Join,
    /// The limit is reached: retry after this wait.
    LimitReached(Duration),
    /// The last fetch of the object started less than the minimum interval ago: retry after this wait.
    TooSoon(Duration),
    /// The origin recently failed to deliver the object: retry after this wait.
    RecentlyFailed(Duration),
}

/// Whether a fetch may join one of the same object that is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joining {
    /// The fetch may join.
    Allowed,
    /// The fetch may not join.
    Forbidden,
}

/// The outcome of an admitted fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchEnd {
    /// The origin delivered the object.
    Delivered,
    /// The origin has no such object.
    NotFound,
    /// The origin rejected the fetch, failed or exceeded the deadline.
    Failed,
    /// The gateway cancelled the fetch, which says nothing about the origin.
    Cancelled,
    /// A cache or a parent had the object, so the origin was not asked. The object is removed from the table.
    OriginNotAsked,
}

/// Admits the fetches of one gateway from the origin.
#[derive(Debug, Clone)]
pub struct OriginAdmission {
    settings: AdmissionSettings,
    limit: f64,
    /// Fetches in flight by hub.
    in_flight: BTreeMap<String, u32>,
    /// Writes in flight.
    writes: u32,
    objects: ObjectTable,
    latency: MinimumLatency,
    /// When the limit was last decreased.
    decreased_at: MonotonicTime,
    /// The number of live gateways, at least 1.
    gateways: u64,
    /// Fetches rejected since the start.
    pub rejected: u64,
}

impl OriginAdmission {
    /// The initial state of a gateway that shares the origin with others, `gateways` in total.
    pub fn new(settings: AdmissionSettings, gateways: u64) -> Self {
        OriginAdmission {
            limit: (settings.initial_limit / gateways.max(1) as f64).max(1.0),
            settings,
            in_flight: BTreeMap::new(),
            writes: 0,
            objects: ObjectTable::new(settings.max_objects),
            latency: MinimumLatency::new(settings.latency_window),
            decreased_at: MonotonicTime::MIN,
            gateways: gateways.max(1),
            rejected: 0,
        }
    }

    /// Sets the number of live gateways; the limits are divided equally among them.
    pub fn set_gateway_count(&mut self, gateways: u64) {
        let gateways = gateways.max(1);
        self.limit = (self.limit * self.gateways as f64 / gateways as f64).max(1.0);
        self.gateways = gateways;
    }

    /// The settings.
    pub fn settings(&self) -> AdmissionSettings {
        self.settings
    }

    /// The number of concurrent fetches that this gateway may have in flight.
    pub fn limit(&self) -> u32 {
        (self.limit.floor() as u32).max(1)
    }

    /// The number of fetches in flight from this gateway.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.values().sum()
    }

    /// The number of objects whose last fetch is remembered.
    pub fn remembered(&self) -> usize {
        self.objects.len()
    }

    /// The usual latency of the origin: the recent minimum, if any has been measured.
    pub fn usual_latency(&self) -> Option<Duration> {
        self.latency.get()
    }

    /// Records that a write to the origin starts.
    pub fn write_started(&mut self) {
        self.writes += 1;
    }

    /// Records that a write to the origin has ended.
    pub fn write_ended(&mut self) {
        self.writes = self.writes.saturating_sub(1);
    }

    /// The decision on a fetch of an object where it does not depend on the hub: a rejection, or joining. `None` if
    /// only the limit of the hub can reject the fetch. Records nothing.
    pub fn decision_before_hub_limit(
        &self,
        now: MonotonicTime,
        object: u64,
        joining: Joining,
    ) -> Option<AdmissionDecision> {
        if let Some(state) = self.objects.get(object) {
            let retry_at = state.failed_at.map(|failed_at| failed_at + self.settings.failure_hold);
            if let Some(retry_at) = retry_at.filter(|retry_at| now < *retry_at) {
                return Some(AdmissionDecision::RecentlyFailed(retry_at - now));
            }
            if state.in_flight > 0 && joining == Joining::Allowed {
                return Some(AdmissionDecision::Join);
            }
            let retry_at = state.started_at + self.settings.min_interval;
            if now < retry_at {
                return Some(AdmissionDecision::TooSoon(retry_at - now));
            }
        }
        // Writes take precedence: fetches may use the part of the limit that writes do not.
        let limit_reached = self.in_flight() + self.writes >= self.limit();
        limit_reached.then(|| self.limit_reached())
    }

    fn limit_reached(&self) -> AdmissionDecision {
        AdmissionDecision::LimitReached(self.usual_latency().unwrap_or(ASSUMED_LATENCY).max(MIN_LATENCY))
    }

    /// Decides on a fetch of an object through a hub, and records it as started if it is admitted.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        hub: &str,
        object: u64,
        joining: Joining,
    ) -> AdmissionDecision {
        let early_decision =
            self.decision_before_hub_limit(now, object, joining).or_else(|| self.hub_rejection(hub));
        if let Some(decision) = early_decision {
            self.rejected += u64::from(decision != AdmissionDecision::Join);
            return decision;
        }
        *self.in_flight.entry(hub.to_string()).or_default() += 1;
        self.objects.fetch_started(now, object);
        AdmissionDecision::Admit
    }

    /// Rejects a fetch through a hub that has reached its limit.
    fn hub_rejection(&self, hub: &str) -> Option<AdmissionDecision> {
        let in_flight = self.in_flight.get(hub).copied().unwrap_or(0);
        (in_flight >= self.hub_limit(hub)).then(|| self.limit_reached())
    }

    /// The limit of concurrent fetches through a hub: the whole limit if no other hub has fetches in flight, otherwise
    /// the fraction `hub_share`, so that part of the limit stays available to the other hubs.
    fn hub_limit(&self, hub: &str) -> u32 {
        let limit = self.limit();
        let others_fetch = self.in_flight.iter().any(|(name, fetches)| name != hub && *fetches > 0);
        if others_fetch {
            ((f64::from(limit) * self.settings.hub_share).ceil() as u32).max(1)
        } else {
            limit
        }
    }

    /// Records the end of an admitted fetch, which took `latency`.
    pub fn fetch_ended(
        &mut self,
        now: MonotonicTime,
        hub: &str,
        object: u64,
        end: FetchEnd,
        latency: Duration,
    ) {
        let limit_used = 2 * (self.in_flight() + self.writes) >= self.limit();
        self.remove_in_flight(hub);
        let is_failure = matches!(end, FetchEnd::NotFound | FetchEnd::Failed);
        self.objects.fetch_ended(object, is_failure.then_some(now));
        match end {
            FetchEnd::Cancelled => {}
            FetchEnd::OriginNotAsked => self.objects.forget(object),
            FetchEnd::Failed => self.decrease(now, latency),
            FetchEnd::Delivered | FetchEnd::NotFound => {
                if self.is_slow(latency) {
                    self.decrease(now, latency);
                } else if limit_used {
                    // If less than half of the limit is in use, a normal latency does not show that the limit is low
                    // enough.
                    self.increase();
                }
                self.latency.record(now, latency);
            }
        }
    }

    fn remove_in_flight(&mut self, hub: &str) {
        if let Some(fetches) = self.in_flight.get_mut(hub) {
            *fetches = fetches.saturating_sub(1);
            if *fetches == 0 {
                self.in_flight.remove(hub);
            }
        }
    }

    fn is_slow(&self, latency: Duration) -> bool {
        let slow_latency =
            |usual: Duration| duration_micros(usual.max(MIN_LATENCY)) as f64 * self.settings.slow_factor;
        self.usual_latency().is_some_and(|usual| duration_micros(latency) as f64 > slow_latency(usual))
    }

    fn increase(&mut self) {
        let upper_bound = (self.settings.max_limit / self.gateways as f64).max(1.0);
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(upper_bound);
    }

    /// Decreases the limit, unless it was decreased while this fetch was in flight.
    fn decrease(&mut self, now: MonotonicTime, latency: Duration) {
        if now < self.decreased_at + latency.max(MIN_DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = now;
        let lower_bound = (self.settings.min_limit / self.gateways as f64).max(1.0);
        self.limit = (self.limit * self.settings.decrease_factor).max(lower_bound);
    }
}
