//! Gossip about the health of stores: a gateway that observes a store failing, or answering again, notifies all others.
//!
//! A report lowers the outlier threshold of the gateways that receive it; each still ejects a store by its own requests
//! alone (`docs/design/fleet.md`, W1). A gateway forwards a report to a few others when it first receives it, so the
//! report reaches the whole tier within a few hops, and the datagrams per gateway do not grow with the tier.
use larchway::{MonotonicTime, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which a further report of the same state of the same store is a duplicate.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Greatest number of reports remembered; beyond it the oldest is dropped.
const MAX_REPORTS: usize = 256;
/// Number of hops after which a report is not forwarded.
const MAX_HOPS: u8 = 8;
/// Bytes of an encoded report: store (8), state (1), hops (1), origin (2).
const REPORT_BYTES: usize = 12;
/// Greatest number of reports in a datagram.
pub const MAX_REPORTS_PER_DATAGRAM: usize = crate::wire::MAX_BODY_BYTES / REPORT_BYTES;

/// The health of a store, as a gateway observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreHealth {
    /// It does not answer, or answers only with errors.
    Failing,
    /// It answers again; its cache may be cold.
    Recovered,
}

/// One observation of a store's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// The observed store.
    pub store: ServerId,
    /// The observed health.
    pub health: StoreHealth,
    /// How many gateways have forwarded the report.
    pub hops: u8,
    /// The number of the member that observed it.
    pub origin: u16,
}

impl HealthReport {
    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.store.to_be_bytes());
        bytes.push(u8::from(self.health == StoreHealth::Recovered));
        bytes.push(self.hops);
        bytes.extend_from_slice(&self.origin.to_be_bytes());
    }

    /// Decodes [`REPORT_BYTES`] bytes; `None` if the health state is unknown.
    fn decode(bytes: &[u8]) -> Option<HealthReport> {
        let health = match bytes[8] {
            0 => StoreHealth::Failing,
            1 => StoreHealth::Recovered,
            _ => return None,
        };
        let store = bytes[..8].iter().fold(0, |id, byte| id << 8 | ServerId::from(*byte));
        let origin = u16::from_be_bytes([bytes[10], bytes[11]]);
        Some(HealthReport { store, health, hops: bytes[9], origin })
    }
}

/// Encodes the body of a datagram; omits reports beyond [`MAX_REPORTS_PER_DATAGRAM`].
pub fn encode(reports: &[HealthReport]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(reports.len() * REPORT_BYTES);
    for report in reports.iter().take(MAX_REPORTS_PER_DATAGRAM) {
        report.encode(&mut bytes);
    }
    bytes
}

/// Decodes the body of a datagram; `None` if any report is truncated or has an unknown health state.
pub fn decode(body: &[u8]) -> Option<Vec<HealthReport>> {
    if !body.len().is_multiple_of(REPORT_BYTES) {
        return None;
    }
    body.chunks_exact(REPORT_BYTES).map(HealthReport::decode).collect()
}

/// The recent reports that one gateway knows, and those that it has yet to send.
#[derive(Debug, Default)]
pub struct HealthGossip {
    /// When each report was first received or observed, by store and health; at most [`MAX_REPORTS`] entries.
    first_received: BTreeMap<(ServerId, StoreHealth), MonotonicTime>,
    /// Reports to send, at most [`MAX_REPORTS_PER_DATAGRAM`]; further ones are dropped.
    pending: Vec<HealthReport>,
    /// Number of this gateway's own observations so far.
    pub originated: u64,
    /// Number of new reports received so far; duplicates are not counted.
    pub received: u64,
}

impl HealthGossip {
    /// Records a store's health that this gateway, the member `origin`, observed itself.
    pub fn observe(&mut self, now: MonotonicTime, origin: u16, store: ServerId, health: StoreHealth) {
        if self.record(now, store, health) {
            self.originated += 1;
            self.enqueue(HealthReport { store, health, hops: 0, origin });
        }
    }

    /// Records reports of another gateway, enqueues the new ones for forwarding and returns them.
    pub fn receive(&mut self, now: MonotonicTime, reports: Vec<HealthReport>) -> Vec<HealthReport> {
        let mut new = reports;
        new.retain(|report| self.record(now, report.store, report.health));
        self.received += new.len() as u64;
        for report in new.iter().filter(|report| report.hops < MAX_HOPS) {
            self.enqueue(HealthReport { hops: report.hops + 1, ..*report });
        }
        new
    }

    /// Removes and returns the reports to send now.
    pub fn take_pending(&mut self) -> Vec<HealthReport> {
        std::mem::take(&mut self.pending)
    }

    /// Records a report; returns whether it is new.
    fn record(&mut self, now: MonotonicTime, store: ServerId, health: StoreHealth) -> bool {
        let last = self.first_received.get(&(store, health));
        if last.is_some_and(|received_at| now < *received_at + REPORT_LIFETIME) {
            return false;
        }
        if self.first_received.len() >= MAX_REPORTS {
            self.evict_oldest(now);
        }
        self.first_received.insert((store, health), now);
        true
    }

    /// Removes expired reports, and the oldest of the remaining ones.
    fn evict_oldest(&mut self, now: MonotonicTime) {
        self.first_received.retain(|_, received_at| now < *received_at + REPORT_LIFETIME);
        let oldest = self.first_received.iter().min_by_key(|(_, received_at)| **received_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.first_received.remove(&key);
        }
    }

    fn enqueue(&mut self, report: HealthReport) {
        if self.pending.len() < MAX_REPORTS_PER_DATAGRAM {
            self.pending.push(report);
        }
    }
}

#[cfg(test)]
mod tests;
