//! The load of each role, by division of the total.
use super::error::CapacityError;
use super::slopes::Slopes;
use super::target::Target;

/// What one of a role sees.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleLoad {
    /// The role.
    pub role: &'static str,
    /// How many there are.
    pub count: f64,
    /// Requests a second in the mean of a day, of the mean one.
    pub requests_mean: f64,
    /// Requests a second at the peak, of the mean one.
    pub requests_peak: f64,
    /// Requests a second at the peak, of the busiest one.
    pub requests_busiest: f64,
    /// Gbit/s at the peak, of the busiest one.
    pub gigabits_busiest: f64,
    /// Gateways and stores that are part of it.
    pub gateways: f64,
    /// See [`RoleLoad::gateways`].
    pub stores: f64,
}

/// The roles that carry clients' requests.
pub fn role_loads(target: &Target) -> Vec<RoleLoad> {
    let (fleet, assumed) = (&target.fleet, &target.assumed);
    let through = 1.0 - assumed.answered_by_copies;
    vec![
        share(target, "gateway", fleet.gateways, assumed.machine_unevenness, 1.0),
        share(target, "site", fleet.sites, assumed.site_unevenness, 1.0),
        share(target, "zone", fleet.zones, assumed.zone_unevenness, 1.0),
        share(target, "region", fleet.regions, assumed.region_unevenness, 1.0),
        share(target, "store", fleet.stores, assumed.machine_unevenness, through),
    ]
}

/// The load of one of `count`, of a part of all requests.
fn share(target: &Target, role: &'static str, count: f64, unevenness: f64, part: f64) -> RoleLoad {
    let requests_peak = target.load.requests_per_second * part / count;
    let gigabits_peak = target.load.terabits_per_second * 1000.0 * part / count;
    RoleLoad {
        role,
        count,
        requests_mean: requests_peak / target.assumed.peak_over_mean,
        requests_peak,
        requests_busiest: requests_peak * unevenness,
        gigabits_busiest: gigabits_peak * unevenness,
        gateways: target.fleet.gateways / count,
        stores: target.fleet.stores / count,
    }
}

/// What the source of events and the control machines send, if all gateways subscribe at the source, and through
/// relays.
#[derive(Debug, Clone, PartialEq)]
pub struct EventLoad {
    /// Events a second: purges and changes.
    pub events_per_second: f64,
    /// Bytes a second to one subscriber.
    pub bytes_to_each: f64,
    /// Bytes a second that the source sends if all gateways are its subscribers.
    pub bytes_direct: f64,
    /// Relays on the lowest level.
    pub relays: f64,
    /// Bytes a second that one relay sends.
    pub bytes_of_relay: f64,
    /// Bytes a second that each control machine sends, with the relays spread over all of them.
    pub bytes_of_machine: f64,
}

/// The load of events when each takes so many bytes to a subscriber.
pub fn event_load(target: &Target, bytes_per_event: f64) -> EventLoad {
    let events_per_second = target.load.purges_per_second + target.changes_per_second();
    let bytes_to_each = events_per_second * bytes_per_event;
    let subscribers = target.assumed.subscribers_of_relay;
    let bytes_direct = bytes_to_each * target.fleet.gateways;
    EventLoad {
        events_per_second,
        bytes_to_each,
        bytes_direct,
        relays: (target.fleet.gateways / subscribers).ceil(),
        bytes_of_relay: bytes_to_each * subscribers,
        bytes_of_machine: bytes_direct / target.fleet.control_machines,
    }
}

/// Bytes of a purge as the source sends it, by the line through the bytes received.
pub fn bytes_per_purge(slopes: &Slopes) -> Result<f64, CapacityError> {
    let series = slopes
        .find("purges", "bytes_received")
        .ok_or(CapacityError::NotMeasured { case: "purges", quantity: "bytes_received" })?;
    Ok(series.fit.slope)
}
