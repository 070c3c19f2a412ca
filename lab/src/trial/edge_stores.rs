//! The dozen edge stores of the trials `spread` and `fleet`, their settings, and the load that one can do cold and
//! warm.
use super::list_entry::ListEntry;
use super::TrialError;
use crate::stand::store::Store;
use larchway::Micros;
use std::time::Duration;

/// Stores of a tier.
pub(super) const STORES: usize = 12;
/// Requests that a store works on at a time.
pub(super) const WORKERS: usize = 4;
/// ms that each takes.
const SERVICE_MS: u64 = 12;
/// Bytes of an object.
const BODY_BYTES: usize = 500;
/// A store that starts can do this share of what it can do warm; as the settings have it.
const COLD_START_SHARE: f64 = 0.3;
/// ms in which it warms up; as the settings have it.
const WARM_UP_MS: f64 = 10_000.0;
const SECOND: Micros = 1_000_000;

const SETTINGS: &str = r#""familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0],
 "lifetimeByClassMs":[0],"mayPassBy":true,"neverKept":[false],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,
 "maxRetryAfterMs":1000,"mayDuplicate":true,"peers":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],"report":{"fields":["util"]},
 "rules":{"fallMs":1000,"fallMultiple":2.0,"startCapacity":0.3,"stopSendingWithinMs":500,"warmWithinMs":10000},
 "services":[{"aimStretch":2,"deadlineMs":2000,"effect":"pure","name":"history-files","targetMs":250}],
 "weightKind":"nominal","zones":["east","edge"]"#;

/// The settings of so many gateways before stores like these, without the braces around them.
pub(super) fn settings(gateways: usize) -> String {
    SETTINGS
        .replace("\"upperColdMs\":21000", &format!("\"upperColdMs\":21000,\"zoneBalancers\":[0,{gateways}]"))
}

/// Requests a second that a warm store can do.
pub(super) fn capacity() -> f64 {
    WORKERS as f64 * 1000.0 / SERVICE_MS as f64
}

/// A store as the list has it.
pub(super) struct EdgeStore {
    /// Its name.
    pub name: String,
    /// The store.
    pub store: Store,
    /// When it started cold, µs of the Unix clock; 0: long ago.
    pub started_at: Micros,
}

impl EdgeStore {
    /// Starts one.
    pub fn start(name: &str, started_at: Micros) -> Result<Self, TrialError> {
        let store = Store::wide(Duration::from_millis(SERVICE_MS), BODY_BYTES, WORKERS);
        let store = store.map_err(TrialError::io("a box"))?;
        Ok(EdgeStore { name: name.into(), store, started_at })
    }

    /// Its entry in the list.
    pub fn entry(&self, health: &str) -> String {
        let entry = ListEntry {
            host: &self.name,
            address: self.store.address,
            site: "edge",
            class: "standard",
            health,
            units: WORKERS as f64,
            started_ms: self.started_at / 1000,
        };
        entry.to_string()
    }

    /// Requests a second that it can do at a time.
    fn capacity_at(&self, time: Micros) -> f64 {
        let warmed = time.saturating_sub(self.started_at) as f64 / 1000.0 / WARM_UP_MS;
        capacity() * (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * warmed).min(1.0)
    }

    /// The most that came to it within any second from a time on, over what it could do then.
    pub fn peak(&self, from: Micros) -> f64 {
        let requests = self.store.seen();
        let times: Vec<Micros> =
            requests.iter().map(|request| request.at).filter(|time| *time >= from).collect();
        let (mut first, mut most) = (0, 0.0f64);
        for (last, until) in times.iter().enumerate() {
            while times[first] + SECOND < *until {
                first += 1;
            }
            most = most.max((last + 1 - first) as f64 / self.capacity_at(times[first]));
        }
        most
    }
}
