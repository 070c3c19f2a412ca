//! The request that is written to a store for an attempt, computed at the moment it is sent.
use super::messages::Request;
use super::Core;
use crate::slots::SlotKey;
use crate::spans::floor_millis;
use larchway::MonotonicTime;
use larchway_hierarchy::loop_detection;
use std::time::Duration;

/// The request that a store receives for an attempt.
pub struct StoreRequest<'a> {
    /// The client's request.
    pub request: &'a Request,
    /// The name of the store to fill from, if it is not the store itself.
    pub source: Option<&'a str>,
    /// The time that the gateway will wait for the reply, in milliseconds.
    pub max_wait_ms: u64,
    /// The age of the oldest acceptable copy, in milliseconds; with 0 the fresh time of the class applies.
    pub max_age_ms: u64,
    /// The rank at which the object is cached.
    pub rank: u8,
    /// Whether to join a fill that is already running.
    pub join_fill: bool,
    /// Whether the source may reply only from its cache.
    pub cached_only: bool,
    /// Whether the store renews a stale copy after its reply.
    pub renew_stale: bool,
    /// The proxies that the request has passed, this gateway included, for stores that accept that field.
    pub via: Option<String>,
}

impl Core {
    /// The request to be written to the store for an attempt, with the time left by now.
    pub fn store_request(&self, now: MonotonicTime, key: SlotKey) -> Option<StoreRequest<'_>> {
        let attempt = self.attempts.get(key)?;
        let open = self.requests.get(attempt.request)?;
        let get = &attempt.get;
        let source = (get.source != get.server).then(|| self.stores.get(&get.source)).flatten();
        let fresh =
            self.classes.get(open.request.class).map_or(Duration::ZERO, |slot| slot.settings.class.fresh);
        let waited = now.saturating_since(attempt.created_at);
        Some(StoreRequest {
            request: &open.request,
            source: source.map(|store| store.name.as_str()),
            max_wait_ms: floor_millis(attempt.deadline(open).saturating_since(now)),
            max_age_ms: get.max_age.map_or(0, |age| max_age_ms(age, fresh, waited)),
            rank: get.rank,
            join_fill: get.join_fill,
            cached_only: get.cached_only,
            renew_stale: get.renew_stale,
            via: self
                .own_hop
                .as_ref()
                .map(|hop| loop_detection::append(&open.request.via, &hop.name, hop.epoch)),
        })
    }
}

/// The bound on a copy's age, in milliseconds, for an attempt that has waited since it was decided. A bound below the
/// fresh time comes from a purge, so it grows with the time since then. Never 0, which would accept any fresh copy.
fn max_age_ms(age: Duration, fresh: Duration, waited: Duration) -> u64 {
    let bound = if fresh.is_zero() {
        age + waited
    } else if age < fresh {
        (age + waited).min(fresh)
    } else {
        age
    };
    floor_millis(bound).max(1)
}
