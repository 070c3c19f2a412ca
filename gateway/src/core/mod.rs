//! The core of the gateway: requests, attempts and their outcomes. It feeds the decision module its events and
//! executes its actions, and gives each request exactly one final reply. It depends on no protocol and no socket, and
//! takes the time as an argument.
mod attempts;
mod decisions;
mod endpoints;
mod handover;
mod messages;
mod object_cache;
mod origin;
mod outcomes;
mod recent_calls;
mod requests;
mod settings;
mod store_request;

pub use attempts::Attempt;
pub use handover::LearnedState;
pub use messages::{
    AttemptResult, Command, FailureCause, FinalReply, LoadReport, ReplyHandle, Request, ServedReply,
    NO_CAPACITY_RETRY_AFTER,
};
pub use store_request::StoreRequest;

use crate::deadlines::Deadlines;
use crate::hierarchy::OwnHop;
use crate::slots::{SlotKey, Slots};
use crate::wire_settings::ClassSettings;
use endpoints::ListedStore;
use larchway::{Action, Event, MonotonicTime, Router, ServerId, Settings};
use larchway_endpoints::evidence::EndpointEvidence;
use larchway_hierarchy::origin_admission::OriginAdmission;
use larchway_object_cache::ObjectCache;
use larchway_operations::{ClassTable, RequestCounters};
use origin::LoopDetector;
use recent_calls::RecentCalls;
use requests::OpenRequest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The requests and attempts of one gateway, and the decision module that they go through.
pub struct Core {
    router: Router,
    /// The classes by slot; a slot stays in use until its last request has ended.
    pub classes: ClassTable<ClassSettings>,
    /// Request counters for operators.
    pub counters: RequestCounters,
    requests: Slots<OpenRequest>,
    open_call_ids: BTreeSet<String>,
    /// The call ids of requests that have ended and must not run again.
    recent_calls: RecentCalls,
    attempts: Slots<Attempt>,
    /// The attempts of which no byte is written, which a purge or a drain can still withdraw.
    unsent_attempts: BTreeSet<SlotKey>,
    stores: BTreeMap<ServerId, ListedStore>,
    shield: Option<OriginAdmission>,
    /// The hub of each parent.
    hubs: BTreeMap<ServerId, String>,
    /// The stores that fetch from the origin: those of the machine kinds below.
    origin_fetchers: BTreeSet<ServerId>,
    origin_fetcher_kinds: [Option<usize>; 2],
    gateway_count: u64,
    /// The hop of this gateway, where stores accept the list of proxies passed.
    pub own_hop: Option<OwnHop>,
    loop_detector: Option<LoopDetector>,
    /// Parents newly suspected to be in a loop because of their fills; the event loop takes them out.
    pub suspected_parents: Vec<ServerId>,
    /// Events that the module has not handled yet.
    events: VecDeque<Event>,
    /// The buffer for the module's actions, reused.
    actions: Vec<Action>,
    /// The object cache, if one is configured.
    pub object_cache: Option<ObjectCache>,
    /// The time after a purge during which a store may still serve a purged copy.
    purge_window: Duration,
    /// Whether a complete list of stores was received.
    pub has_endpoints: bool,
    /// When all requests must be answered because the process ends; none while it is not shutting down.
    answer_all_before: Option<MonotonicTime>,
    /// Instructions for the connections, in order.
    pub commands: VecDeque<Command>,
    /// All deadlines, those of connections included.
    pub deadlines: Deadlines,
    /// Bytes of the bodies of open requests.
    pub request_body_bytes: usize,
    /// The index of the load value in stores' reports, if the gateways share their view of the load.
    pub load_field: Option<usize>,
    /// The reported load values; the event loop takes them out.
    pub load_reports: Vec<LoadReport>,
    /// Evidence of stores' health from ended attempts, if it is collected; emptied after each event.
    pub evidence: Option<Vec<EndpointEvidence>>,
}

impl Core {
    /// A core without classes or stores; `seed` feeds the module's random choices.
    pub fn new(seed: u64) -> Self {
        Core {
            router: Router::new(Settings::default(), seed),
            classes: ClassTable::default(),
            counters: RequestCounters::default(),
            requests: Slots::default(),
            open_call_ids: BTreeSet::new(),
            recent_calls: RecentCalls::default(),
            attempts: Slots::default(),
            unsent_attempts: BTreeSet::new(),
            stores: BTreeMap::new(),
            shield: None,
            hubs: BTreeMap::new(),
            origin_fetchers: BTreeSet::new(),
            origin_fetcher_kinds: [None; 2],
            gateway_count: 1,
            own_hop: None,
            loop_detector: None,
            suspected_parents: Vec::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            object_cache: None,
            purge_window: Duration::ZERO,
            has_endpoints: false,
            answer_all_before: None,
            commands: VecDeque::new(),
            deadlines: Deadlines::default(),
            request_body_bytes: 0,
            load_field: None,
            load_reports: Vec::new(),
            evidence: None,
        }
    }
}

#[cfg(test)]
mod tests;
