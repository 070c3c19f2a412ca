//! How far the gateways have applied the events: reports that go up the tree of relays, constant in size.
mod report;

pub use report::{PositionReport, Straggler, MAX_NAME_BYTES, MAX_STRAGGLERS};

use crate::configuration::{DocumentId, DocumentVersion, RejectionTotals};
use crate::event::EventNumber;
use larchway::MonotonicTime;
use report::bounded_name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bounds of [`Positions`].
#[derive(Debug, Clone, Copy)]
pub struct PositionLimits {
    /// Time for which a subscriber that is gone is counted as lost.
    pub lost_retention: Duration,
    /// Lost subscribers held at most; past it the one lost first is dropped.
    pub max_lost: usize,
    /// Advances of the minimum held at most; past it the oldest is dropped.
    pub max_advances: usize,
}

/// The key of a subscriber in [`Positions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReporterKey {
    Connected(u64),
    /// By order of loss.
    Lost(u64),
}

#[derive(Debug)]
struct ReporterEntry {
    name: Option<String>,
    report: PositionReport,
}

impl ReporterEntry {
    /// Whether it is a gateway's own report, not that of a relay.
    fn is_gateway(&self) -> bool {
        let own_name = self.report.furthest.first().map(|straggler| straggler.name.as_str());
        self.report.gateways == 1 && own_name == self.name.as_deref()
    }
}

/// A subscriber that is gone.
#[derive(Debug, Clone, Copy)]
struct LostSubscriber {
    lost_at: MonotonicTime,
    /// Gateways that were connected before it was lost.
    gateways_before: u64,
}

/// An advance of the minimum over all gateways.
#[derive(Debug, Clone, Copy)]
struct Advance {
    applied: EventNumber,
    reached_at: MonotonicTime,
}

/// The last report of each subscriber, and what they say together. A report costs O(log n) for n subscribers.
#[derive(Debug)]
pub struct Positions {
    limits: PositionLimits,
    /// At most one a subscriber connected, and `PositionLimits::max_lost` others.
    entries: BTreeMap<ReporterKey, ReporterEntry>,
    /// All entries that count gateways, by their minimum.
    by_applied: BTreeSet<(EventNumber, ReporterKey)>,
    /// Those that are gone, in order of loss; at most `PositionLimits::max_lost`.
    lost: BTreeMap<u64, LostSubscriber>,
    /// Of those that have not returned, the one lost last under each name.
    lost_by_name: BTreeMap<String, u64>,
    /// Relays in `lost` that have returned while some of their gateways had not reported again, by the gateways
    /// that were connected before the relay was lost.
    returned: BTreeSet<(u64, u64)>,
    next_lost: u64,
    gateways: u64,
    gateways_lost: u64,
    /// Advances of the minimum, oldest first; at most `PositionLimits::max_advances`.
    advances: VecDeque<Advance>,
    /// What the entries reject, taken out of their reports.
    rejections: RejectionTotals<ReporterKey>,
    /// The last advance dropped: when events up to it were applied everywhere is not known any more.
    evicted_up_to: EventNumber,
}

impl Positions {
    /// No reports yet.
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

    /// Takes in a subscriber's report. A gateway of the same name that is lost counts as this one from now on; of a
    /// relay, those of its gateways that have not reported again stay counted as lost.
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

    /// A subscriber has disconnected: its gateways count as lost, with their last position, for a bounded time.
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

    /// Drops those that have been lost for long enough, or are too many.
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

    /// When the next lost subscriber is dropped.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.lost.first_key_value().map(|(_, lost)| lost.lost_at + self.limits.lost_retention)
    }

    /// What all reports say together.
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

    /// Whether a version of a document is applied by all gateways: all are past its event, and none rejects it.
    pub fn is_document_applied(
        &self,
        number: EventNumber,
        id: &DocumentId,
        version: DocumentVersion,
    ) -> bool {
        let all_past = self.minimum().is_some_and(|applied| applied >= number);
        all_past && self.rejections.has_no_rejection_of(id, version)
    }

    /// Since when the event is known to be applied by every gateway; none if it is not, or if the time was dropped.
    pub fn applied_everywhere_at(&self, number: EventNumber) -> Option<MonotonicTime> {
        if number <= self.evicted_up_to {
            return None;
        }
        let index = self.advances.partition_point(|advance| advance.applied < number);
        self.advances.get(index).map(|advance| advance.reached_at)
    }

    /// Subscribers with a report, those lost included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn minimum(&self) -> Option<EventNumber> {
        self.by_applied.first().map(|(applied, _)| *applied)
    }

    fn record_advance(&mut self, now: MonotonicTime) {
        let Some(applied) = self.minimum() else { return };
        // A gateway that appears with an older position has not applied what the others have.
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

    /// Gateways counted that are not lost.
    fn connected_gateways(&self) -> u64 {
        self.gateways - self.gateways_lost
    }

    /// A lost subscriber has returned. Danger: the gateways of a relay may have turned elsewhere, and one that has not
    /// reported there yet would be counted nowhere; events would be done without it.
    fn on_return(&mut self, loss_index: u64) {
        if self.entries.get(&ReporterKey::Lost(loss_index)).is_none_or(ReporterEntry::is_gateway) {
            self.remove_lost(loss_index);
        } else if let Some(lost) = self.lost.get(&loss_index) {
            self.returned.insert((lost.gateways_before, loss_index));
        }
    }

    /// Drops relays that have returned, once as many gateways are connected as before they were lost.
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
