//! The interface between a caller and the decision module: settings, events and actions. Points in time are
//! [`MonotonicTime`], time spans are [`Duration`] in whole microseconds.
use crate::time::{micros_f64, MonotonicTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// An untyped number of microseconds, either a point in time or a time span. Used for numbers as read from
/// settings and wires, and by the laboratory; all other code uses [`MonotonicTime`] and [`Duration`].
pub type Micros = u64;
/// Identifier of a request, assigned by the caller.
pub type RequestId = u64;
/// Identifier of a server: a cache, parent or origin.
pub type ServerId = u64;
/// Identifier of an object; all parts of an object share it.
pub type ObjectId = u64;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// The request is idempotent: it may be retried freely.
    #[default]
    Idempotent,
    /// The servers of a [`Group`] drop repeats by an idempotency key, for the window [`Class::window`].
    IdempotencyKey,
    /// A retry executes the request again, so it is not retried once it may have run.
    Unsafe,
}

/// The servers that recognize and drop repeats of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// The servers of the zone of the first attempt that may have run.
    Zone,
    /// The servers of the cell of the first attempt that may have run.
    Cell,
}

/// Settings of one class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// The latency objective: answers within this time have the full value.
    pub latency_objective: Duration,
    /// Multiple of the expected sending time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Whether requests of the class may be executed more than once.
    pub effect: Effect,
    /// The servers that drop repeats by idempotency key.
    pub group: Group,
    /// How long these servers remember a key, counted from the first attempt that may have run.
    pub window: Duration,
    /// How long a copy is fresh; zero: without limit.
    pub fresh: Duration,
    /// How much longer a stale copy may be served after a failed attempt.
    pub grace: Duration,
    /// Whether answers are never cached, so that each request runs at the origin.
    pub uncacheable: bool,
    /// Maximum number of attempts for one request; 0: [`Settings::max_attempts`] applies. A request keeps the
    /// value of its class when settings change.
    pub attempts: u64,
    /// Further limits, which a request keeps likewise; none: those of the settings in force apply.
    pub limits: Option<Limits>,
}

/// Limits on the attempts and the rejection of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether a hedged request may be sent: two attempts in flight at once.
    pub duplicates: bool,
    /// The longest Retry-After that clients respect; zero if none is sent to them.
    pub max_retry_after: Duration,
}

/// Which sibling caches may supply a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Siblings {
    /// No siblings.
    #[default]
    None,
    /// Caches of the same location.
    Location,
    /// Any cache.
    Any,
}

/// A router's quotas of the capacity that routers share, as fractions from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Share of what all routers use, such as parents.
    pub of_all: f64,
    /// Share of what the routers of the own zone use: its caches.
    pub of_own_zone: f64,
}

/// The router's leased quota of the shared capacity, and the one that applies without a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quotas {
    /// When the lease expires; from then on `unleased` applies.
    pub until: MonotonicTime,
    /// The shares while the lease is valid.
    pub leased: Shares,
    /// The shares of a router without a valid lease.
    pub unleased: Shares,
}

impl Quotas {
    /// The shares that apply at this time.
    pub fn now(&self, now: MonotonicTime) -> Shares {
        if now < self.until {
            self.leased
        } else {
            self.unleased
        }
    }
}

/// Settings of a router, known before its first event.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of routers in service.
    pub routers: u64,
    /// This router's index among them, which survives restarts; none if the settings do not state it.
    pub router_index: Option<u64>,
    /// Zone (location) of this router.
    pub zone: usize,
    /// By zone, the number of routers that serve it.
    pub zone_routers: Vec<u64>,
    /// This router's quotas; none: capacity is divided evenly among the configured numbers of routers.
    pub shares: Option<Quotas>,
    /// Classes of requests; a request refers to its class by index.
    pub classes: Vec<Class>,
    /// Whether the caller polls for changes of the endpoint list only after [`Action::Watch`].
    pub poll_endpoints: bool,
    /// [`Host::kind`] of parents, if there are any.
    pub parent_kind: Option<usize>,
    /// [`Host::kind`] of origins, if there are any.
    pub origin_kind: Option<usize>,
    /// Highest rate of one transfer to a client in KB/s; 0 if unknown.
    pub flow_kb_per_s: f64,
    /// Capacity of the own location's link for fills in KB/s; 0 if unknown.
    pub link_kb_per_s: f64,
    /// Whether the listed weight of a server states its capacity.
    pub weighted: bool,
    /// Which sibling caches may supply a fill.
    pub siblings: Siblings,
    /// Whether a request may join a fill that is already running.
    pub joins: bool,
    /// Whether requests may go directly to a parent or the origin when no cache is available.
    pub direct: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether a hedged request may be sent: two attempts of one request in flight at once.
    pub duplicates: bool,
    /// Maximum number of attempts for one request.
    pub max_attempts: u64,
    /// The longest Retry-After that clients respect; zero if none is sent to them.
    pub max_retry_after: Duration,
    /// Multiple of its present capacity at which a cache that is warming up fails from overload, if it is
    /// sent that much work within [`Settings::overload_span`].
    pub overload_multiple: f64,
    /// The time span over which the work sent to a server counts towards an overload.
    pub overload_span: Duration,
    /// Least share of its capacity that a cache can provide right after its start.
    pub slow_start_share: f64,
    /// Time after its start within which a cache reaches its full capacity.
    pub slow_start_span: Duration,
    /// Like [`Settings::overload_multiple`], for parents.
    pub parent_overload_multiple: f64,
    /// Share of its link's capacity that a parent can provide right after its start.
    pub parent_slow_start_share: f64,
    /// Time after its start within which a parent reaches its full capacity.
    pub parent_slow_start_span: Duration,
    /// Time after a purge within which older copies are gone from all servers.
    pub purge_done: Duration,
    /// Names of the values in load reports, in their order.
    pub report: Vec<String>,
}

impl Class {
    /// The latency objective in microseconds for an answer with this expected sending time (µs).
    pub(crate) fn latency_objective_of(&self, work: f64) -> f64 {
        micros_f64(self.latency_objective) + self.objective_stretch * work
    }
}

impl Settings {
    /// Maximum number of attempts for one request of a class.
    pub fn attempts_of(&self, class: &Class) -> usize {
        (if class.attempts > 0 { class.attempts } else { self.max_attempts }) as usize
    }

    /// The limits for requests of the class with this index.
    pub fn limits_of(&self, class: usize) -> Limits {
        let (cancel, duplicates, max_retry_after) = (self.cancel, self.duplicates, self.max_retry_after);
        let class_limits = self.classes.get(class).and_then(|class| class.limits);
        class_limits.unwrap_or(Limits { cancel, duplicates, max_retry_after })
    }

    /// The load of the location's link from a cache's load report, as transfers in flight over those that the
    /// link carries at full pace; none if the report lacks a valid value (`x1`).
    pub fn reported_link_load(&self, load: &[f64]) -> Option<f64> {
        let index = self.report.iter().position(|name| name == "x1")?;
        load.get(index).copied().filter(|v| v.is_finite() && *v >= 0.0)
    }
}

/// Lower bound of a share, which keeps the divisor finite.
const MIN_SHARE: f64 = 1e-6;

/// Slow start of a server: how its capacity grows after a start, and the overload at which it fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it can provide right after its start.
    pub from: f64,
    /// Time until it can provide all of its capacity.
    pub span: Duration,
    /// Multiple of its present capacity at which it fails from overload.
    pub multiple: f64,
}

/// Selects the slow start settings of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// The settings of caches.
    Cache,
    /// The settings of parents, also used for origins.
    Parent,
}

impl Settings {
    /// The slow start settings of a tier.
    pub fn slow_start(&self, tier: Tier) -> SlowStart {
        match tier {
            Tier::Cache => SlowStart {
                from: self.slow_start_share,
                span: self.slow_start_span,
                multiple: self.overload_multiple,
            },
            Tier::Parent => SlowStart {
                from: self.parent_slow_start_share,
                span: self.parent_slow_start_span,
                multiple: self.parent_overload_multiple,
            },
        }
    }

    /// The number by which shared capacity is divided to get this router's quota: of the capacity used by the
    /// routers of a zone, or by all routers without one. Checks the lease at each call: a router that was
    /// suspended must not use a quota whose lease has expired in the meantime.
    pub fn quota_divisor(&self, now: MonotonicTime, zone: Option<usize>) -> f64 {
        let shares = self.shares.map(|shares| shares.now(now));
        match (shares, zone) {
            (Some(shares), None) => 1.0 / shares.of_all.max(MIN_SHARE),
            (Some(shares), Some(zone)) if zone == self.zone => 1.0 / shares.of_own_zone.max(MIN_SHARE),
            (_, None) => self.routers.max(1) as f64,
            (_, Some(zone)) => self.routers_of(zone),
        }
    }

    /// Number of routers that serve a zone, at least 1.
    pub fn routers_of(&self, zone: usize) -> f64 {
        self.zone_routers.get(zone).map_or(1.0, |&n| n.max(1) as f64)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routers: 1,
            router_index: None,
            zone: 0,
            zone_routers: Vec::new(),
            shares: None,
            classes: Vec::new(),
            poll_endpoints: false,
            parent_kind: None,
            origin_kind: None,
            flow_kb_per_s: 0.0,
            link_kb_per_s: 0.0,
            weighted: false,
            siblings: Siblings::None,
            joins: false,
            direct: false,
            cancel: false,
            duplicates: false,
            max_attempts: 1,
            max_retry_after: Duration::ZERO,
            overload_multiple: 3.0,
            overload_span: Duration::from_secs(2),
            slow_start_share: 0.15,
            slow_start_span: Duration::from_secs(20),
            parent_overload_multiple: 2.0,
            parent_slow_start_share: 0.06,
            parent_slow_start_span: Duration::from_secs(22),
            purge_done: Duration::from_secs(6),
            report: Vec::new(),
        }
    }
}

/// A client's request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Its identifier, unique among open requests.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: u64,
    /// The purge group of the object.
    pub group: u64,
    /// How long the client waits for an answer.
    pub ttl: Duration,
    /// Size of the answer in KB, 0 if unknown.
    pub size_kb: f64,
    /// Whether parents may only serve it from cache, to spare the origin a fill.
    pub spare_origin: bool,
}

/// State of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// In service; gets new requests.
    #[default]
    Up,
    /// Finishes its requests in flight and gets no new ones.
    Draining,
    /// Removed from service.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Host {
    /// The server that the entry describes.
    pub server: ServerId,
    /// Its zone (location).
    pub zone: usize,
    /// Its kind: cache, parent or origin, by the numbers in [`Settings`].
    pub kind: usize,
    /// Its cell, which may bound an idempotency key (see [`Group::Cell`]).
    pub cell: u64,
    /// Its state: up, draining or removed.
    pub state: State,
    /// Its capacity in transfers at full pace, if [`Settings::weighted`].
    pub weight: f64,
    /// When it last started; [`Host::STARTED_LONG_AGO`] if unknown.
    pub started: MonotonicTime,
}

impl Host {
    /// Start time of a server whose start is unknown, or too long ago to matter for slow start.
    pub const STARTED_LONG_AGO: MonotonicTime = MonotonicTime::MIN;

    /// When the server last started; none if unknown.
    pub fn known_start(&self) -> Option<MonotonicTime> {
        (self.started != Host::STARTED_LONG_AGO).then_some(self.started)
    }
}

/// A class that changed its slot, or was added, with new settings. Slots are indexes in
/// [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacedClass {
    /// Its slot in the new settings.
    pub slot: usize,
    /// The slot in the former settings whose observations it takes over; none if the class is new.
    pub predecessor: Option<usize>,
}

/// What an endpoint list update covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Only the servers that changed.
    Changes,
    /// All servers: those not named are removed.
    Full,
    /// The list could not be read; the last one stays in force.
    Failed,
}

/// An update of the endpoint list.
#[derive(Debug, Clone)]
pub struct Members {
    /// What the update covers.
    pub scope: Scope,
    /// The entries of the update.
    pub hosts: Vec<Host>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It was answered.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server or its source rejected the request before reading it.
    Full,
    /// No answer arrived in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// Neither the server nor its source has a suitable copy.
    Miss,
}

impl Status {
    /// Whether the status proves that the request was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::NeverSent | Status::Miss)
    }
}

/// How an answer was produced, as reported by the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// Not reported.
    None,
    /// Served from a cached copy.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled from the origin.
    FilledByOrigin,
    /// Joined a fill that was already running.
    Joined,
    /// Served from a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRefused,
    /// The source was not reached, broke off the fill or timed out.
    SourceLost,
    /// The source does not have the object.
    SourceLacks,
    /// The server had no free slot for a fill.
    NoFillSlot,
    /// The origin failed while the parent was filling from it.
    OriginFailed,
}

/// Whether a request still needs a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It has no final answer yet.
    Open,
    /// It has its final answer, or its client has left.
    Closed,
}

/// The outcome of an attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request of the attempt.
    pub id: RequestId,
    /// Index of the attempt within its request, from 0.
    pub attempt: u64,
    /// How the attempt ended.
    pub status: Status,
    /// Time from sending the attempt to its end.
    pub latency: Duration,
    /// Whether the request still needs a final answer.
    pub request: RequestState,
    /// How the answer was produced.
    pub note: Note,
    /// The cache's load report, in the order of [`Settings::report`]; empty if there was none.
    pub load: Vec<f64>,
    /// The part of the latency spent waiting for the source's first byte; zero if unknown.
    pub waited: Duration,
}

/// An input of a router.
#[derive(Debug, Clone)]
pub enum Event {
    /// A client has sent a request.
    Request(Request),
    /// The endpoint list has changed.
    Members(Members),
    /// An attempt has ended.
    Outcome(Outcome),
    /// The answer to a request is being streamed to the client, so its attempt is neither retried nor
    /// cancelled any more.
    Started(RequestId),
    /// The client of the request has disconnected.
    ClientLeft(RequestId),
    /// A timer has expired; carries the mark given in [`Action::Timer`].
    Timer(u64),
    /// An object, or all objects of a group, were purged: older copies must not be served.
    Purged {
        /// Time since the purge.
        age: Duration,
        /// The purged group, if `object` is none.
        group: u64,
        /// The purged object; none: all objects of the group.
        object: Option<ObjectId>,
    },
    /// Purges up to now may have been missed. For [`Settings::purge_done`], copies at least as old as that
    /// time are not accepted.
    PurgesMissed,
    /// The weights of parents have changed; none if no topology of the hierarchy is configured.
    ParentWeights(Option<ParentWeights>),
    /// By server, the share of its objects that moves to the next ranked servers. A server that is not named
    /// keeps all of its objects.
    OffloadShares(BTreeMap<ServerId, f64>),
    /// Another router reports a server as failing. The server is ejected only after a failure seen by this
    /// router, but the first one is enough.
    Suspected(ServerId),
    /// The listed processes of these servers turned out to have started earlier than the list stated.
    StartsDated(Vec<DatedStart>),
}

/// A more precise start time of a listed server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatedStart {
    /// The server whose start is stated.
    pub server: ServerId,
    /// When the process started.
    pub started: MonotonicTime,
}

/// A server and its weight in rendezvous hashing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The weighted server.
    pub server: ServerId,
    /// The server's share of the objects is proportional to its weight.
    pub weight: f64,
}

/// Weights of the parents, where a topology of the hierarchy is configured. Without one, all listed parents
/// share the objects.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParentWeights {
    /// The weights now in force; a parent that is not named has no objects.
    pub weights: Vec<ServerWeight>,
    /// The weights before the migration in progress; empty if there is none.
    pub previous: Vec<ServerWeight>,
    /// Share of the objects for which the former home is still asked first.
    pub previous_share: f64,
}

/// An attempt to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Get {
    /// The request to send.
    pub id: RequestId,
    /// The server that receives the attempt: a cache, or directly a parent or the origin.
    pub server: ServerId,
    /// The server that a miss is filled from; equal to `server` if nothing is filled.
    pub source: ServerId,
    /// When the attempt times out; none: when the client stops waiting.
    pub stop_at: Option<MonotonicTime>,
    /// Cache priority of the copy, higher for more popular objects; 0: no copy is cached.
    pub rank: u8,
    /// Maximum age of an acceptable copy; none: no bound.
    pub max_age: Option<Duration>,
    /// Whether the server may join a fill that is already running.
    pub join_fill: bool,
    /// Whether the source may only serve from its cache and fetches nothing.
    pub cached_only: bool,
    /// Whether an ageing copy is refreshed while it is served.
    pub renew_stale: bool,
}

/// What the caller has to do for a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make an attempt.
    Get(Get),
    /// Final answer: the request is rejected and may safely be retried.
    Refuse {
        /// The rejected request.
        id: RequestId,
        /// Retry-After for the client; zero: none.
        retry_after: Duration,
    },
    /// Final answer: the request failed; it may or may not have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request of the attempt.
        id: RequestId,
        /// Index of the attempt within its request, from 0.
        attempt: u64,
    },
    /// Deliver an [`Event::Timer`] at a given time.
    Timer {
        /// When the timer expires.
        at: MonotonicTime,
        /// The mark to hand back in the event.
        mark: u64,
    },
    /// Poll for changes of the endpoint list from now on.
    Watch,
}
