//! Aggregation of how far gateways have applied the events, reported up the tree of relays in reports of constant size.
mod report;

pub use report::{PositionReport, Straggler, MAX_NAME_BYTES, MAX_STRAGGLERS};

use crate::configuration::{DocumentId, DocumentVersion, RejectionTotals};
use crate::event::EventNumber;
use larchway::MonotonicTime;
use report::bounded_name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Limits of [`Positions`].
#[derive(Debug, Clone, Copy)]
pub struct PositionLimits {
    /// Time for which a disconnected subscriber is counted as lost.
    pub lost_retention: Duration,
    /// Maximum number of lost subscribers; the one lost first is dropped beyond it.
    pub max_lost: usize,
    /// Maximum number of remembered advances of the minimum position; the oldest is dropped beyond it.
    pub max_advances: usize,
}

/// Identifies a subscriber's report in [`Positions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReporterKey {
    Connected(u64),
    /// A lost subscriber, by its index in order of loss.
    Lost(u64),
}

#[derive(Debug)]
struct ReporterEntry {
    name: Option<String>,
    report: PositionReport,
}

impl ReporterEntry {
    /// Whether the report is a gateway's own and not a relay's.
    fn is_gateway(&self) -> bool {
        let own_name = self.report.furthest.first().map(|straggler| straggler.name.as_str());
        self.report.gateways == 1 && own_name == self.name.as_deref()
    }
}

/// A subscriber that has disconnected.
#[derive(Debug, Clone, Copy)]
struct LostSubscriber {
    lost_at: MonotonicTime,
    /// Number of gateways connected before this subscriber was lost.
    gateways_before: u64,
}

/// An advance of the minimum position over all gateways.
#[derive(Debug, Clone, Copy)]
struct Advance {
    applied: EventNumber,
    reached_at: MonotonicTime,
}

/// The last report of each subscriber and their aggregate. A report costs O(log n) for n subscribers.
#[derive(Debug)]
pub struct Positions {
    limits: PositionLimits,
    /// At most one entry per connected subscriber and `PositionLimits::max_lost` lost ones.
    entries: BTreeMap<ReporterKey, ReporterEntry>,
    /// Entries with at least one gateway, by their minimum position.
    by_applied: BTreeSet<(EventNumber, ReporterKey)>,
    /// Lost subscribers in order of loss; at most `PositionLimits::max_lost`.
    lost: BTreeMap<u64, LostSubscriber>,
    /// For each name, the last lost subscriber that has not returned.
    lost_by_name: BTreeMap<String, u64>,
    /// Relays in `lost` that have returned before all of their gateways reported again. Each is stored as the number of
    /// gateways connected before the relay was lost, and the relay's loss index.
    returned: BTreeSet<(u64, u64)>,
    next_lost: u64,
    gateways: u64,
    gateways_lost: u64,
    /// Advances of the minimum position, oldest first; at most `PositionLimits::max_advances`.
    advances: VecDeque<Advance>,
    /// The rejections of all entries, moved out of their reports.
    rejections: RejectionTotals<ReporterKey>,
    /// Position of the last dropped advance. The times at which events up to it were applied are no longer known.
    evicted_up_to: EventNumber,
}

impl Positions {
    /// Creates an aggregate without reports.
    pub fn new(limits: PositionLimits) -> Positions {
        Positions {
            limits,
            entries: BTreeMap::new(),
            by_applied: BTreeSet::new(),
            lost: BTreeMap::new(),
            lost_by_name: BTreeMap::new(),
            returned: BTreeSet::new(),
            next_lost: 0,
            gateways: 0,
            gateways_lost: 0,
            advances: VecDeque::new(),
            rejections: RejectionTotals::default(),
            evicted_up_to: 0,
        }
    }

    /// Records a subscriber's report. It replaces a lost gateway of the same name. If a relay of the same name is lost,
    /// that relay's gateways stay counted until as many gateways are connected as before the loss.
    pub fn report(
        &mut self,
        now: MonotonicTime,
        subscriber: u64,
        name: Option<&str>,
        report: PositionReport,
    ) {
        let name = name.map(bounded_name);
        let report = report.bounded();
        let returned = name.and_then(|name| self.lost_by_name.remove(name));
        let key = ReporterKey::Connected(subscriber);
        self.remove(key);
        self.insert(key, ReporterEntry { name: name.map(str::to_string), report });
        if let Some(loss_index) = returned {
            self.on_return(loss_index);
        }
        self.drop_returned();
        self.expire(now);
        self.record_advance(now);
    }

    /// Records that a subscriber has disconnected. Its gateways count as lost, with their last position, until the
    /// retention time has passed.
    pub fn disconnected(&mut self, now: MonotonicTime, subscriber: u64) {
        let gateways_before = self.connected_gateways();
        let Some(mut entry) = self.remove(ReporterKey::Connected(subscriber)) else { return };
        if entry.report.gateways == 0 {
            return;
        }
        entry.report.lost = entry.report.gateways;
        let loss_index = self.next_lost;
        self.next_lost += 1;
        if let Some(name) = &entry.name {
            if let Some(earlier) = self.lost_by_name.insert(name.clone(), loss_index) {
                self.on_return(earlier);
            }
        }
        self.lost.insert(loss_index, LostSubscriber { lost_at: now, gateways_before });
        self.insert(ReporterKey::Lost(loss_index), entry);
        self.expire(now);
    }

    /// Drops lost subscribers whose retention time has passed or that exceed the limit.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some((&loss_index, &LostSubscriber { lost_at, .. })) = self.lost.first_key_value() {
            let expired = lost_at + self.limits.lost_retention <= now;
            if !expired && self.lost.len() <= self.limits.max_lost {
                break;
            }
            self.expire_lost(loss_index);
        }
        self.record_advance(now);
    }

    /// Time at which the next lost subscriber expires; `None` if none is lost.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.lost.first_key_value().map(|(_, lost)| lost.lost_at + self.limits.lost_retention)
    }

    /// Combines all reports into one.
    pub fn aggregate(&self) -> PositionReport {
        let mut furthest: Vec<Straggler> = Vec::new();
        for (_, key) in self.by_applied.iter().take(MAX_STRAGGLERS) {
            let entry = &self.entries[key];
            furthest.extend(entry.report.furthest.iter().cloned());
        }
        furthest.sort_by(|a, b| (a.applied, &a.name).cmp(&(b.applied, &b.name)));
        furthest.truncate(MAX_STRAGGLERS);
        let rejections = self.rejections.aggregate();
        PositionReport {
            applied: self.minimum().unwrap_or(0),
            gateways: self.gateways,
            lost: self.gateways_lost,
            furthest,
            rejections: rejections.versions,
            rejections_omitted: rejections.omitted,
        }
    }

    /// Whether all gateways have applied a document version: all have reached its event, and none rejects it.
    pub fn is_document_applied(
        &self,
        number: EventNumber,
        id: &DocumentId,
        version: DocumentVersion,
    ) -> bool {
        let all_past = self.minimum().is_some_and(|applied| applied >= number);
        all_past && self.rejections.has_no_rejection_of(id, version)
    }

    /// Time since which every gateway is known to have applied the event; `None` if some have not, or if the time was
    /// dropped.
    pub fn applied_everywhere_at(&self, number: EventNumber) -> Option<MonotonicTime> {
        if number <= self.evicted_up_to {
            return None;
        }
        let index = self.advances.partition_point(|advance| advance.applied < number);
        self.advances.get(index).map(|advance| advance.reached_at)
    }

    /// Number of subscribers with a report, including lost ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn minimum(&self) -> Option<EventNumber> {
        self.by_applied.first().map(|(applied, _)| *applied)
    }

    fn record_advance(&mut self, now: MonotonicTime) {
        let Some(applied) = self.minimum() else { return };
        // A gateway that joins with an older position lowers the minimum again.
        while self.advances.back().is_some_and(|advance| advance.applied > applied) {
            self.advances.pop_back();
        }
        let last_advance = self.advances.back().map_or(self.evicted_up_to, |advance| advance.applied);
        if applied <= last_advance {
            return;
        }
        self.advances.push_back(Advance { applied, reached_at: now });
        if self.advances.len() > self.limits.max_advances {
            if let Some(oldest) = self.advances.pop_front() {
                self.evicted_up_to = oldest.applied;
            }
        }
    }

    /// Number of gateways that are not lost.
    fn connected_gateways(&self) -> u64 {
        self.gateways - self.gateways_lost
    }

    /// Handles the return of a lost subscriber. A lost relay's report is retained: its gateways may have moved to
    /// another relay without having reported there yet, and events would count as applied everywhere without them.
    fn on_return(&mut self, loss_index: u64) {
        if self.entries.get(&ReporterKey::Lost(loss_index)).is_none_or(ReporterEntry::is_gateway) {
            self.remove_lost(loss_index);
        } else if let Some(lost) = self.lost.get(&loss_index) {
            self.returned.insert((lost.gateways_before, loss_index));
        }
    }

    /// Drops the reports of returned relays once as many gateways are connected as before the loss.
    fn drop_returned(&mut self) {
        let connected = self.connected_gateways();
        while let Some(&(_, loss_index)) = self.returned.first().filter(|(before, _)| *before <= connected) {
            self.remove_lost(loss_index);
        }
    }

    fn expire_lost(&mut self, loss_index: u64) {
        let Some(entry) = self.remove_lost(loss_index) else { return };
        if let Some(name) = entry.name {
            if self.lost_by_name.get(&name) == Some(&loss_index) {
                self.lost_by_name.remove(&name);
            }
        }
    }

    fn remove_lost(&mut self, loss_index: u64) -> Option<ReporterEntry> {
        if let Some(lost) = self.lost.remove(&loss_index) {
            self.returned.remove(&(lost.gateways_before, loss_index));
        }
        self.remove(ReporterKey::Lost(loss_index))
    }

    fn insert(&mut self, key: ReporterKey, mut entry: ReporterEntry) {
        self.rejections.insert(key, entry.report.take_rejections());
        self.gateways += entry.report.gateways;
        self.gateways_lost += entry.report.lost;
        if entry.report.gateways > 0 {
            self.by_applied.insert((entry.report.applied, key));
        }
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: ReporterKey) -> Option<ReporterEntry> {
        let mut entry = self.entries.remove(&key)?;
        let rejections = self.rejections.remove(key);
        entry.report.rejections = rejections.versions;
        entry.report.rejections_omitted = rejections.omitted;
        self.gateways -= entry.report.gateways;
        self.gateways_lost -= entry.report.lost;
        self.by_applied.remove(&(entry.report.applied, key));
        Some(entry)
    }
}
