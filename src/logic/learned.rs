//! Exports a router's observations and imports them into the next process of the same router; nothing is
//! decided here. Times are on the monotonic clock that both processes share.
use super::load::LOAD_SPAN;
use super::server::Pace;
use super::state::Indicator;
use super::Router;
use crate::interface::{DatedStart, ObjectId, ServerId};
use crate::purges::PurgeTarget;
use crate::records::Item;
use crate::roles::PerRole;
use crate::statistics::{DecayingLevel, DecayingMean, DecayingReport, SlidingSum};
use crate::time::MonotonicTime;
use std::time::Duration;

/// The observations of one server.
#[derive(Debug, Clone)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct LearnedServer {
    server: ServerId,
    /// Its start as listed. The observations apply only to this process of the server, not to its next one.
    listed: MonotonicTime,
    started: Option<MonotonicTime>,
    notified_at: MonotonicTime,
    roles: PerRole<Indicator>,
    in_flight: DecayingLevel,
    flows: Option<f64>,
    sent: SlidingSum,
    sent_by_others: SlidingSum,
    rate: DecayingLevel,
    failure_share: f64,
    lost: bool,
    pace: Pace,
    #[cfg_attr(feature = "serde", serde(with = "crate::time::serde_micros"))]
    backoff: Duration,
    retry_at: MonotonicTime,
}

/// The observations of a part of an object.
#[derive(Debug, Clone)]
#[cfg_attr(feature = "serde", derive(serde::Deserialize), serde(from = "SerializedItem"))]
struct LearnedItem {
    object: ObjectId,
    part: u64,
    item: Item,
}

/// The serialized form of a [`LearnedItem`]: its key and the observations.
type SerializedItem = ((ObjectId, u64), Item);

impl From<SerializedItem> for LearnedItem {
    fn from(((object, part), item): SerializedItem) -> LearnedItem {
        LearnedItem { object, part, item }
    }
}

/// Serializes in the form of [`SerializedItem`], without copying the item.
#[cfg(feature = "serde")]
impl serde::Serialize for LearnedItem {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ((self.object, self.part), &self.item).serialize(serializer)
    }
}

/// When copies of an object or a group were purged.
#[derive(Debug, Clone, Copy)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "SerializedPurge", into = "SerializedPurge")
)]
struct LearnedPurge {
    target: PurgeTarget,
    issued: MonotonicTime,
}

/// The serialized form of a [`LearnedPurge`]: the group, the object and the time. The purge of an object has
/// group 0; the purge of a group has no object.
type SerializedPurge = ((u64, Option<ObjectId>), MonotonicTime);

impl From<LearnedPurge> for SerializedPurge {
    fn from(LearnedPurge { target, issued }: LearnedPurge) -> SerializedPurge {
        match target {
            PurgeTarget::Object(object) => ((0, Some(object)), issued),
            PurgeTarget::Group(group) => ((group, None), issued),
        }
    }
}

impl From<SerializedPurge> for LearnedPurge {
    fn from(((group, object), issued): SerializedPurge) -> LearnedPurge {
        LearnedPurge { target: PurgeTarget::new(object, group), issued }
    }
}

/// Work sent to a server by one process of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentWork {
    /// The server that the work was sent to.
    pub server: ServerId,
    /// Sending time of the work, in microseconds.
    pub work_micros: f64,
}

/// The observations of a router, for its next process.
#[derive(Debug, Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Learned {
    servers: Vec<LearnedServer>,
    items: Vec<LearnedItem>,
    purges: Vec<LearnedPurge>,
    /// Time up to which copies of all objects are invalid.
    #[cfg_attr(feature = "serde", serde(default))]
    purge_floor: Option<MonotonicTime>,
    work: Vec<DecayingMean>,
    penalty: DecayingMean,
    unfilled: f64,
    in_flight: DecayingLevel,
    fills_in_flight: DecayingLevel,
    link_flows: Option<f64>,
    link_load_report: DecayingReport,
    all_caches: PerRole<Indicator>,
    /// Seeds the random share of a request that is added to slow start budgets in each time slot: all
    /// processes of a router must draw the same one, so that the router uses it once.
    seed: u64,
}

impl Learned {
    /// The servers and the listed starts of their processes at the time of the export.
    pub fn listed_starts(&self) -> impl Iterator<Item = DatedStart> + '_ {
        self.servers.iter().map(|s| DatedStart { server: s.server, started: s.listed })
    }

    /// Time of the export.
    pub fn taken_at(&self) -> MonotonicTime {
        self.in_flight.at
    }
}

impl Router {
    /// Exports the observations, with at most `objects` objects, the most recently requested.
    pub fn learned(&self, now: MonotonicTime, objects: usize) -> Learned {
        let level = |l: &DecayingLevel| l.without_current(now, LOAD_SPAN);
        let servers = self.servers.values().map(|s| LearnedServer {
            server: s.host.server,
            listed: s.host.started,
            started: s.started,
            notified_at: s.notified_at,
            roles: s.roles,
            in_flight: level(&s.in_flight),
            flows: s.flows,
            sent: s.sent.valued(|class| self.unsized_work_of(class)),
            sent_by_others: s.sent_by_others.clone(),
            rate: s.rate,
            failure_share: s.failure_share,
            lost: s.lost,
            pace: s.pace,
            backoff: s.backoff,
            retry_at: s.retry_at,
        });
        let items = self.items.latest().take(objects);
        let items = items.map(|((object, part), item)| LearnedItem { object, part, item: item.clone() });
        Learned {
            servers: servers.collect(),
            items: items.collect(),
            purges: self.purges.iter().map(|(target, issued)| LearnedPurge { target, issued }).collect(),
            purge_floor: self.purges.floor(),
            work: self.work.clone(),
            penalty: self.penalty,
            unfilled: self.failed_fill_share,
            in_flight: level(&self.in_flight),
            fills_in_flight: level(&self.fills_in_flight),
            link_flows: self.link_flows,
            link_load_report: self.link_load_report,
            all_caches: self.all_caches,
            seed: self.seed,
        }
    }

    /// The work sent after `at` to servers that are warming up, for the other processes of this router.
    pub fn sent_after(&self, now: MonotonicTime, at: MonotonicTime) -> Vec<SentWork> {
        let cold = self.servers.values().filter(|s| {
            let span = self.settings.slow_start_span.max(self.settings.parent_slow_start_span);
            s.started.is_some_and(|started| now < started + span)
        });
        let work_of = |class| self.unsized_work_of(class);
        let sent = cold.map(|s| SentWork { server: s.host.server, work_micros: s.sent.after(at, work_of) });
        sent.filter(|sent| sent.work_micros > 0.0).collect()
    }

    /// Records work sent by another process of this router, which uses the same slow start budgets.
    pub fn record_work_sent_elsewhere(&mut self, now: MonotonicTime, sent: &[SentWork]) {
        for SentWork { server, work_micros } in sent {
            if let Some(s) = self.servers.get_mut(server) {
                s.sent_by_others.add(*work_micros, now, self.settings.overload_span);
            }
        }
    }

    /// Imports the observations of another process of this router; the servers must be listed before.
    /// `classes` maps the classes of that process to those of this one.
    pub fn take_over(&mut self, learned: Learned, classes: &[Option<usize>]) {
        for earlier in learned.servers {
            let Some(s) = self.servers.get_mut(&earlier.server).filter(|s| s.host.started == earlier.listed)
            else {
                continue;
            };
            (s.started, s.notified_at, s.roles) = (earlier.started, earlier.notified_at, earlier.roles);
            (s.in_flight, s.flows, s.rate) = (earlier.in_flight, earlier.flows, earlier.rate);
            // The processes of a router share its slow start budget.
            s.sent_by_others = earlier.sent;
            s.sent_by_others.merge(earlier.sent_by_others);
            (s.failure_share, s.lost, s.pace) = (earlier.failure_share, earlier.lost, earlier.pace);
            (s.backoff, s.retry_at) = (earlier.backoff, earlier.retry_at);
            self.classify_server(earlier.server);
        }
        for (from, to) in classes.iter().enumerate() {
            if let (Some(to), Some(work)) = (to, learned.work.get(from)) {
                self.work[*to] = *work;
            }
        }
        // The most recently requested items come first.
        for LearnedItem { object, part, item } in learned.items.into_iter().rev() {
            self.items.insert((object, part), item);
        }
        let retention = self.purge_retention();
        for LearnedPurge { target, issued } in learned.purges {
            self.purges.record(self.now, target, issued, issued + retention);
        }
        if let Some(at) = learned.purge_floor {
            self.purges.raise_floor(at, at + retention);
        }
        self.seed = learned.seed;
        self.classify_servers();
        (self.penalty, self.failed_fill_share) = (learned.penalty, learned.unfilled);
        (self.in_flight, self.fills_in_flight) = (learned.in_flight, learned.fills_in_flight);
        (self.link_flows, self.link_load_report, self.all_caches) =
            (learned.link_flows, learned.link_load_report, learned.all_caches);
    }
}
