//! The decisions of a router: which cache a request goes to, where a miss is filled from, what is cached,
//! when to retry and when to reject. Settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the paper's: FP, FN and q of each cache give the probability of a miss (Eq. 1 to 3);
//! the edge cache and at most one sibling are chosen to minimize Eq. (11).
//!
//! This file holds the router's state and dispatches each event: `admission` admits and rejects requests,
//! `choice` selects among the `candidates` (in a large location, among those of the router's `subset`),
//! `retry` makes the attempts and `learning` evaluates their outcomes. `load`, `slow_start`, `unsized_work`,
//! `ejection` and `freshness` limit what may be sent to a server.
use crate::interface::*;
use crate::items::ItemTable;
use crate::purges::{PurgeTable, PurgeTarget};
use crate::roles::PerRole;
use crate::statistics::{DecayingLevel, DecayingMean, DecayingReport, SlidingSum};
use crate::time::MonotonicTime;
use candidates::Candidates;
use retry::CHECK_INTERVAL;
use server::Server;
use state::{Indicator, OpenRequest};
use std::collections::BTreeMap;
use unsized_work::UnsizedWork;

mod admission;
mod candidates;
mod choice;
mod ejection;
mod freshness;
mod learned;
mod learning;
mod load;
mod membership;
mod recent_work;
mod retry;
mod ring;
mod server;
mod slow_start;
mod state;
mod subset;
mod unsized_work;
mod view;
pub use learned::{Learned, SentWork};
pub use view::{EntriesTouched, RejectionCounts};

/// The decisions of one router.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    now: MonotonicTime,
    /// Time of the first event.
    started_at: Option<MonotonicTime>,
    /// The servers that requests can be sent to or filled from.
    servers: BTreeMap<ServerId, Server>,
    /// The entries of all other listed servers, of which nothing is observed.
    unreachable: BTreeMap<ServerId, Host>,
    /// Work (µs) sent to servers that left the list, kept for [`Settings::overload_span`]. The size is
    /// bounded by the number of servers that were listed within that span.
    work_of_retired: BTreeMap<ServerId, SlidingSum>,
    candidates: Candidates,
    open: BTreeMap<RequestId, OpenRequest>,
    items: ItemTable,
    purges: PurgeTable,
    /// By class, the moving average of the sending time in microseconds.
    work: Vec<DecayingMean>,
    /// By class, the work that slow start budgets assume for requests without a stated size.
    unsized_work: Vec<UnsizedWork>,
    /// Work (µs) that overloads the smallest listed server right after its start.
    min_cold_budget: f64,
    /// Moving average of the miss penalty in microseconds.
    penalty: DecayingMean,
    /// Share of fills that all parents and origins together failed to deliver in time.
    failed_fill_share: f64,
    /// Attempts in flight.
    in_flight: DecayingLevel,
    /// Attempts in flight that are likely to use the location's link.
    fills_in_flight: DecayingLevel,
    /// Number of transfers that the link carries at full pace; none until the first congestion.
    link_flows: Option<f64>,
    /// Transfers on the link over those that it carries at full pace, as reported by the caches.
    link_load_report: DecayingReport,
    /// Number of caches of the own location that are up, at least 1.
    own_caches_up: f64,
    /// Whether a timer is set.
    timer_set: bool,
    /// Whether watch events of the endpoint list were requested.
    watching: bool,
    parent_weights: Option<ParentWeights>,
    /// By server, the share of its objects that moves to the next ranked servers. Each router selects other
    /// objects.
    offload_shares: BTreeMap<ServerId, f64>,
    /// By role, FP, FN and q of all caches together.
    all_caches: PerRole<Indicator>,
    /// Rejected requests by reason.
    rejections: RejectionCounts,
}

impl Router {
    /// Creates a router without servers; `seed` seeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let work = vec![DecayingMean::default(); settings.classes.len()];
        let unsized_work = vec![UnsizedWork::default(); settings.classes.len()];
        Router { settings, seed, work, unsized_work, min_cold_budget: f64::MAX, ..Router::default() }
    }

    /// Replaces the settings. `replaced` names the classes that are new or have changed slots.
    pub fn configure(&mut self, settings: Settings, replaced: &[ReplacedClass]) {
        self.settle_recent_work(replaced);
        carry_over(&mut self.work, settings.classes.len(), replaced);
        carry_over(&mut self.unsized_work, settings.classes.len(), replaced);
        let classification_of =
            |s: &Settings| (s.zone, s.router_index, s.weighted, s.parent_kind, s.origin_kind);
        let same_classification = classification_of(&settings) == classification_of(&self.settings);
        self.settings = settings;
        if !same_classification {
            self.find_reachable();
            self.classify_servers();
        }
        self.min_cold_budget = self.find_min_cold_budget();
        self.count_caches();
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: MonotonicTime, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.candidates.reset_mean_rate();
        self.started_at.get_or_insert(now);
        match event {
            Event::Request(req) if self.open.contains_key(&req.id) => {}
            Event::Request(req) => self.on_request(req, actions),
            Event::Members(members) => self.on_members(members, actions),
            Event::Outcome(outcome) => self.on_outcome(&outcome, actions),
            Event::Started(id) => self.open.get_mut(&id).into_iter().for_each(|o| o.streaming = true),
            Event::ClientLeft(id) => self.close(id, actions),
            Event::Timer(_) => self.on_timer(actions),
            Event::ParentWeights(weights) => {
                self.set_parent_weights(weights.as_ref());
                self.parent_weights = weights;
            }
            Event::OffloadShares(shares) => self.offload_shares = shares,
            Event::Suspected(id) => {
                self.servers.get_mut(&id).into_iter().for_each(Server::record_reported_failure);
            }
            Event::StartsDated(starts) => self.on_starts_dated(&starts),
            Event::PurgesMissed => self.purges.record_missed(now + self.settings.purge_done),
            Event::Purged { age, group, object } => {
                self.on_purge(now.saturating_sub(age), PurgeTarget::new(object, group));
            }
        }
        if !self.timer_set && !self.open.is_empty() {
            self.timer_set = true;
            actions.push(Action::Timer { at: now + CHECK_INTERVAL, mark: 0 });
        }
    }
}

/// Moves per-class values to the slots of the classes in the new settings.
fn carry_over<T: Copy + Default>(by_class: &mut Vec<T>, class_count: usize, replaced: &[ReplacedClass]) {
    by_class.resize(class_count, T::default());
    let value_of = |class: &ReplacedClass| class.predecessor.map_or(T::default(), |slot| by_class[slot]);
    // Reads all values before writing any: a replaced slot may also be a predecessor.
    let carried_over: Vec<T> = replaced.iter().map(value_of).collect();
    replaced.iter().zip(carried_over).for_each(|(class, value)| by_class[class.slot] = value);
}
