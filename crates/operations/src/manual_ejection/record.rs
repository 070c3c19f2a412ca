//! Records of what operators asked for last, of which the newest per store wins.
use larchway::{MonotonicTime, ServerId};
use larchway_endpoints::endpoint::endpoint_id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most stores that may be ejected at once, and most records. At the bound a further request is rejected: to accept
/// and then forget one would be worse.
pub const MAX_EJECTION_RECORDS: usize = 4096;
/// How long the record of a restored store is retained from when this process learned of it, so that both processes
/// of an upgrade warm it up. Slow start is over long before.
const RESTORED_RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// The least difference between two records of one store.
const CLOCK_RESOLUTION: Duration = Duration::from_micros(1);

/// The last request of operators for a store. The order of the fields is the encoding in frames and files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionRecord {
    /// The store's id.
    pub store: String,
    /// Whether it is ejected.
    pub ejected: bool,
    /// When that was asked for, on the clock that the gateway's processes share; in a file, microseconds on the Unix
    /// clock. It is encoded as an integer.
    pub recorded_at: MonotonicTime,
}

impl EjectionRecord {
    /// Whether this record replaces another of the same store. Of two of the same time the ejection wins.
    fn replaces(&self, other: &EjectionRecord) -> bool {
        (self.recorded_at, self.ejected) > (other.recorded_at, other.ejected)
    }
}

/// A record, and when this process learned of it.
#[derive(Debug, Clone)]
struct ReceivedRecord {
    record: EjectionRecord,
    received_at: MonotonicTime,
}

/// The newest record of each store that is ejected or was restored lately; [`MAX_EJECTION_RECORDS`] at most.
#[derive(Debug, Clone, Default)]
pub(super) struct EjectionRecords {
    by_server: BTreeMap<ServerId, ReceivedRecord>,
}

impl EjectionRecords {
    /// Takes in a record that is newer than the known one of its store. Returns the store's id if it did.
    pub(super) fn insert_if_newer(&mut self, now: MonotonicTime, record: EjectionRecord) -> Option<ServerId> {
        let id = endpoint_id(&record.store);
        let received = self.by_server.get(&id);
        if received.is_some_and(|received| !record.replaces(&received.record)) {
            return None;
        }
        self.by_server.insert(id, ReceivedRecord { record, received_at: now });
        self.remove_expired(now);
        self.remove_excess();
        Some(id)
    }

    /// The record of a store. Another store with the same number has none.
    pub(super) fn get(&self, id: ServerId, store: &str) -> Option<&EjectionRecord> {
        self.by_server.get(&id).map(|received| &received.record).filter(|record| record.store == store)
    }

    /// The time for a new record under this number: later than the one before it, even if the clock stands still.
    pub(super) fn next_record_time(&self, now: MonotonicTime, id: ServerId) -> MonotonicTime {
        self.by_server
            .get(&id)
            .map_or(now, |received| now.max(received.record.recorded_at + CLOCK_RESOLUTION))
    }

    /// All records, by server number.
    pub(super) fn iter(&self) -> impl Iterator<Item = &EjectionRecord> {
        self.by_server.values().map(|received| &received.record)
    }

    /// The ejected stores, listed or not.
    pub(super) fn ejected(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.by_server.iter().filter(|(_, received)| received.record.ejected).map(|(&id, _)| id)
    }

    /// Danger: by the time in a file, which a wall clock that is ahead makes old, the record of a store that was just
    /// restored would be gone, and the store would count as warm.
    fn remove_expired(&mut self, now: MonotonicTime) {
        self.by_server.retain(|_, received| {
            received.record.ejected || now < received.received_at + RESTORED_RECORD_LIFETIME
        });
    }

    /// Removes the oldest records of restored stores beyond the bound; those of ejected stores stay.
    fn remove_excess(&mut self) {
        while self.by_server.len() > MAX_EJECTION_RECORDS {
            let restored = self.by_server.iter().filter(|(_, received)| !received.record.ejected);
            let oldest = restored.min_by_key(|(_, received)| received.record.recorded_at).map(|(&id, _)| id);
            let Some(oldest) = oldest else { break };
            self.by_server.remove(&oldest);
        }
    }
}
