//! Records of operators' eject and restore requests. The newest record of a store replaces older ones.
use larchway::{MonotonicTime, ServerId};
use larchway_endpoints::endpoint::endpoint_id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of ejected stores, and of records. Beyond it an ejection is rejected: accepting the request and
/// dropping its record later would be worse.
pub const MAX_EJECTION_RECORDS: usize = 4096;
/// How long the record of a restored store is retained after this process received it, so that both processes of an
/// upgrade warm the store up. Slow start ends long before.
const RESTORED_RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// Minimum difference between the times of two records of one store.
const CLOCK_RESOLUTION: Duration = Duration::from_micros(1);

/// The newest request of operators for a store. The order of the fields is the encoding in frames and files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionRecord {
    /// The store's id.
    pub store: String,
    /// Whether the request ejects the store; otherwise it restores the store.
    pub ejected: bool,
    /// The time of the request, on the clock that the gateway's processes share; in a file, microseconds on the Unix
    /// clock. Encoded as an integer.
    pub recorded_at: MonotonicTime,
}

impl EjectionRecord {
    /// Whether this record replaces another of the same store. Of two records with the same time the ejection wins.
    fn replaces(&self, other: &EjectionRecord) -> bool {
        (self.recorded_at, self.ejected) > (other.recorded_at, other.ejected)
    }
}

/// A record and the time at which this process received it.
#[derive(Debug, Clone)]
struct ReceivedRecord {
    record: EjectionRecord,
    received_at: MonotonicTime,
}

/// The newest record of each store that is ejected or was restored recently; at most [`MAX_EJECTION_RECORDS`].
#[derive(Debug, Clone, Default)]
pub(super) struct EjectionRecords {
    by_server: BTreeMap<ServerId, ReceivedRecord>,
}

impl EjectionRecords {
    /// Inserts a record if it is newer than the existing record of its store. Returns the store's id if inserted.
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

    /// The record of a store; none if the record under this server number belongs to a store of another name.
    pub(super) fn get(&self, id: ServerId, store: &str) -> Option<&EjectionRecord> {
        self.by_server.get(&id).map(|received| &received.record).filter(|record| record.store == store)
    }

    /// The time for a new record of a server: later than that of the previous record, even if the clock has not
    /// advanced.
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

    /// Removes the expired records of restored stores. Their age counts from when they were received: a wall clock that
    /// is ahead makes the time in a file look old, so the record of a store that was just restored would be removed and
    /// the store would count as warm.
    fn remove_expired(&mut self, now: MonotonicTime) {
        self.by_server.retain(|_, received| {
            received.record.ejected || now < received.received_at + RESTORED_RECORD_LIFETIME
        });
    }

    /// Removes the oldest records of restored stores beyond the maximum. Records of ejected stores are never removed.
    fn remove_excess(&mut self) {
        while self.by_server.len() > MAX_EJECTION_RECORDS {
            let restored = self.by_server.iter().filter(|(_, received)| !received.record.ejected);
            let oldest = restored.min_by_key(|(_, received)| received.record.recorded_at).map(|(&id, _)| id);
            let Some(oldest) = oldest else { break };
            self.by_server.remove(&oldest);
        }
    }
}
