//! Settings of the admission of fetches from the origin.
use std::time::Duration;

/// Settings of [`super::OriginAdmission`]. The limits apply to all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Initial limit of concurrent fetches.
    pub initial_limit: f64,
    /// Lower bound of the limit of concurrent fetches.
    pub min_limit: f64,
    /// Upper bound of the limit of concurrent fetches.
    pub max_limit: f64,
    /// Factor by which the limit is multiplied at a sign of overload.
    pub decrease_factor: f64,
    /// A reply slower than the usual latency times this factor is a sign of overload.
    pub slow_factor: f64,
    /// Length of a window of the usual latency, which is the minimum over the current window and the one before.
    pub latency_window: Duration,
    /// Fraction of the limit that one hub may use while other hubs have fetches in flight.
    pub hub_share: f64,
    /// The least time between two fetches of one object that cannot be joined.
    pub min_interval: Duration,
    /// The time for which an object that the origin could not deliver is not fetched again.
    pub failure_hold: Duration,
    /// Largest number of objects whose last fetch is remembered; the oldest is evicted.
    pub max_objects: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            initial_limit: 16.0,
            min_limit: 2.0,
            max_limit: 4096.0,
            decrease_factor: 0.7,
            slow_factor: 4.0,
            latency_window: Duration::from_secs(10),
            hub_share: 0.6,
            min_interval: Duration::from_millis(200),
            failure_hold: Duration::from_secs(1),
            max_objects: 65_536,
        }
    }
}
