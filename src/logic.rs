//! The decisions of a router: which cache a request goes to, where a miss is filled from, what is cached,
//! when to retry and when to decline. Settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the paper's: FP, FN and q per cache give the chance of a miss (Eq. 1 to 3); the edge
//! cache plus at most one sibling minimize Eq. (11).
//!
//! This file holds the router's state and hands each event to the module of its concern: `admission` takes
//! requests in and declines them, `choice` picks among the `candidates` (in a large location, among those of
//! the router's `subset`), `retry` makes the attempts and `learning` draws on their outcomes. `load`,
//! `slow_start`, `unsized_work`, `ejection` and `freshness` say what may be asked of a server.
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
    /// When the first event came.
    started_at: Option<MonotonicTime>,
    /// The servers that requests can go to or be filled from.
    servers: BTreeMap<ServerId, Server>,
    /// The entries of all other servers listed: nothing is learned of them.
    unreachable: BTreeMap<ServerId, Host>,
    /// Work (µs) sent to servers that were retired within the span in which it counts towards a fall: at most
    /// those that were listed in that time.
    work_of_retired: BTreeMap<ServerId, SlidingSum>,
    candidates: Candidates,
    open: BTreeMap<RequestId, OpenRequest>,
    items: ItemTable,
    purges: PurgeTable,
    /// By class, the aged sending time.
    work: Vec<DecayingMean>,
    /// By class, what slow start budgets go by where sizes are not stated.
    unsized_work: Vec<UnsizedWork>,
    /// Work (µs) that pushes over the smallest server listed that has just started.
    min_cold_budget: f64,
    /// Microseconds: the aged miss penalty.
    penalty: DecayingMean,
    /// Share of fills that parents and origin failed to bring in time, all taken together.
    failed_fill_share: f64,
    /// Attempts in flight.
    in_flight: DecayingLevel,
    /// Attempts in flight that are likely to take the location's link.
    fills_in_flight: DecayingLevel,
    /// Transfers that the link carries at full pace, once it jammed.
    link_flows: Option<f64>,
    /// Transfers on it over those that fit at full pace, as its caches report.
    link_load_report: DecayingReport,
    /// Caches of the own location.
    own_caches_up: f64,
    /// Whether a timer is set.
    timer_set: bool,
    /// Whether watch events of the endpoint list were asked for.
    watching: bool,
    parent_weights: Option<ParentWeights>,
    /// By server, the share of its objects that goes to the next ranked servers, each router's own choice.
    offload_shares: BTreeMap<ServerId, f64>,
    /// By role, FP, FN and q of all caches taken together.
    all_caches: PerRole<Indicator>,
    /// Requests given up, by the reason.
    rejections: RejectionCounts,
}

impl Router {
    /// A router that knows only its settings; `seed` feeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let work = vec![DecayingMean::default(); settings.classes.len()];
        let unsized_work = vec![UnsizedWork::default(); settings.classes.len()];
        Router { settings, seed, work, unsized_work, min_cold_budget: f64::MAX, ..Router::default() }
    }

    /// Puts settings in the place of those in force. `replaced`: classes that are new or have changed slots.
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

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: MonotonicTime, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.candidates.rates_change();
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

/// Carries what is known of classes over to those that take their place in new settings.
fn carry_over<T: Copy + Default>(by_class: &mut Vec<T>, class_count: usize, replaced: &[ReplacedClass]) {
    by_class.resize(class_count, T::default());
    let known_of = |class: &ReplacedClass| class.predecessor.map_or(T::default(), |slot| by_class[slot]);
    // All are read before one is written: a slot may be replaced and be a predecessor too.
    let carried_over: Vec<T> = replaced.iter().map(known_of).collect();
    replaced.iter().zip(carried_over).for_each(|(class, known)| by_class[class.slot] = known);
}
