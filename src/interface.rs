//! The terms in which a router and the decision module speak: settings, events and actions. Moments are
//! [`MonotonicTime`], spans [`Duration`] in whole microseconds.
use crate::time::{micros_f64, MonotonicTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// An integer count of microseconds, a moment of the monotonic clock or a span: for numbers read from
/// settings and wires before they are typed, and for the laboratory. All else takes [`MonotonicTime`] and
/// [`Duration`].
pub type Micros = u64;
/// A request, as the caller numbers it.
pub type RequestId = u64;
/// A cache, parent or origin.
pub type ServerId = u64;
/// What is asked for, whatever its part.
pub type ObjectId = u64;

/// What a retry of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// A retry does no harm.
    #[default]
    Idempotent,
    /// Retries are dropped by an idempotency key, within a group of servers, for a while.
    IdempotencyKey,
    /// A retry acts again.
    Unsafe,
}

/// Which servers drop repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// The latency objective: answers within this span have the full value.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of the sending time.
    pub objective_stretch: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a keyed request.
    pub group: Group,
    /// For how long they do, from the first send that may have run.
    pub window: Duration,
    /// How long a copy is fresh; zero for ever.
    pub fresh: Duration,
    /// How much older a copy may be when asked for.
    pub grace: Duration,
    /// Never cached: it runs at the origin.
    pub uncacheable: bool,
    /// Attempts for one request at most; 0: as [`Settings::max_attempts`]. A request retains those of its
    /// class.
    pub attempts: u64,
    /// What else is allowed for a request, which it retains likewise; none: as the settings in force say.
    pub limits: Option<Limits>,
}

/// What settings allow for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Whether an attempt may be withdrawn.
    pub cancel: bool,
    /// Whether two attempts may be out at once.
    pub duplicates: bool,
    /// The longest retry-after that a client respects; zero if it is given none.
    pub max_retry_after: Duration,
}

/// Which other caches may supply a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the same location.
    Location,
    /// Any.
    Any,
}

/// Shares of what routers divide among themselves, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Of what all routers divide.
    pub of_all: f64,
    /// Of what those of the own zone divide.
    pub of_own_zone: f64,
}

/// What the router may use of all that is divided among the routers, where that is lent to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quotas {
    /// Until when the lent shares hold; from then on, those of `unleased` do.
    pub until: MonotonicTime,
    /// The lent shares.
    pub leased: Shares,
    /// The shares of a router to which nothing is lent.
    pub unleased: Shares,
}

impl Quotas {
    /// What may be used now.
    pub fn now(&self, now: MonotonicTime) -> Shares {
        if now < self.until {
            self.leased
        } else {
            self.unleased
        }
    }
}

/// What the router knows from the start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Routers in service.
    pub routers: u64,
    /// This router's number among them, the same after a restart; none where the settings do not say.
    pub router_index: Option<u64>,
    /// Zone of this router.
    pub zone: usize,
    /// By zone, how many routers serve it.
    pub zone_routers: Vec<u64>,
    /// The shares lent to this router; none: it goes by the numbers of routers.
    pub shares: Option<Quotas>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Whether changes of the servers must be polled for.
    pub poll_endpoints: bool,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<usize>,
    /// Kind of the origin.
    pub origin_kind: Option<usize>,
    /// KB a second of one transfer to a client at most; 0 if unknown.
    pub flow_kb_per_s: f64,
    /// KB a second that the own location's link for fills carries; 0 if unknown.
    pub link_kb_per_s: f64,
    /// Whether a listed weight stands for a size.
    pub weighted: bool,
    /// Which caches may supply a fill.
    pub siblings: Siblings,
    /// Whether a request may wait for a fill that runs.
    pub joins: bool,
    /// Whether parents and the origin take requests too.
    pub direct: bool,
    /// Whether an attempt may be withdrawn.
    pub cancel: bool,
    /// Whether two attempts of one request may be out at once.
    pub duplicates: bool,
    /// Attempts for one request at most.
    pub max_attempts: u64,
    /// The longest retry-after that a client respects; zero if it is given none.
    pub max_retry_after: Duration,
    /// A cold cache falls over at this multiple of what it can do,
    pub overload_multiple: f64,
    /// sent to it for this long.
    pub overload_span: Duration,
    /// A cache starts with this share of its capacity or more
    pub slow_start_share: f64,
    /// and is warm by then.
    pub slow_start_span: Duration,
    /// The same three for parents.
    pub parent_overload_multiple: f64,
    /// Share of its link that a parent gives at its start.
    pub parent_slow_start_share: f64,
    /// By then it gives all.
    pub parent_slow_start_span: Duration,
    /// Within this time of a purge older copies are gone everywhere.
    pub purge_done: Duration,
    /// Names of the values in reports of load.
    pub report: Vec<String>,
}

impl Class {
    /// Microseconds within which an answer of this sending time (µs) meets the latency objective.
    pub(crate) fn latency_objective_of(&self, work: f64) -> f64 {
        micros_f64(self.latency_objective) + self.objective_stretch * work
    }
}

impl Settings {
    /// Attempts for one request of a class at most.
    pub fn attempts_of(&self, class: &Class) -> usize {
        (if class.attempts > 0 { class.attempts } else { self.max_attempts }) as usize
    }

    /// What is allowed for a request of the class at this place.
    pub fn limits_of(&self, class: usize) -> Limits {
        let (cancel, duplicates, max_retry_after) = (self.cancel, self.duplicates, self.max_retry_after);
        let own = self.classes.get(class).and_then(|class| class.limits);
        own.unwrap_or(Limits { cancel, duplicates, max_retry_after })
    }

    /// What a cache's report says of its location's link: transfers over those that fit at full pace.
    pub fn reported_link_load(&self, load: &[f64]) -> Option<f64> {
        let at = self.report.iter().position(|name| name == "x1")?;
        load.get(at).copied().filter(|v| v.is_finite() && *v >= 0.0)
    }
}

/// Smaller shares count as this one, so that a divisor is finite.
const MIN_SHARE: f64 = 1e-6;

/// How a server warms that has started, and what pushes it over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it can give at first.
    pub from: f64,
    /// In which time it can give all of it.
    pub span: Duration,
    /// The multiple of what it can give that makes it fall.
    pub multiple: f64,
}

/// Which settings of slow start a server has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Those of caches.
    Cache,
    /// Those of parents, which origins have too.
    Parent,
}

impl Settings {
    /// How a server of this tier warms.
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

    /// Among how many this router's share is one, now: of what the routers of a zone divide, or all of them.
    /// The time is looked at with each use: a router that stood still must not go by a share that has lapsed
    /// meanwhile.
    pub fn quota_divisor(&self, now: MonotonicTime, zone: Option<usize>) -> f64 {
        let shares = self.shares.map(|shares| shares.now(now));
        match (shares, zone) {
            (Some(shares), None) => 1.0 / shares.of_all.max(MIN_SHARE),
            (Some(shares), Some(zone)) if zone == self.zone => 1.0 / shares.of_own_zone.max(MIN_SHARE),
            (_, None) => self.routers.max(1) as f64,
            (_, Some(zone)) => self.routers_of(zone),
        }
    }

    /// How many routers serve a zone.
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

/// A request that has come in.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// What it asks for.
    pub object: ObjectId,
    /// Which part of it.
    pub part: u64,
    /// The group that a purge may name.
    pub group: u64,
    /// For how long the client waits.
    pub ttl: Duration,
    /// Its size in KB, 0 if unknown.
    pub size_kb: f64,
    /// Whether the origin is to be spared a fill for it now.
    pub spare_origin: bool,
}

/// What a list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// Takes requests.
    #[default]
    Up,
    /// Ends its work; gets nothing new.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One entry of a list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Host {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: State,
    /// Its size, where lists state it.
    pub weight: f64,
    /// When it last started; [`Host::STARTED_LONG_AGO`] where that is not known.
    pub started: MonotonicTime,
}

impl Host {
    /// The start of a server that no list states, or that is no matter for slow start any more.
    pub const STARTED_LONG_AGO: MonotonicTime = MonotonicTime::MIN;

    /// When it last started, if that is known.
    pub fn known_start(&self) -> Option<MonotonicTime> {
        (self.started != Host::STARTED_LONG_AGO).then_some(self.started)
    }
}

/// A class that new settings have put into a slot, by the index of the class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacedClass {
    /// Its slot.
    pub slot: usize,
    /// The slot whose evidence it begins with, under the settings before; none if the class is new.
    pub predecessor: Option<usize>,
}

/// What a list covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Only what changed.
    Changes,
    /// Everything: what is absent is gone.
    Full,
    /// No list could be had; the last one holds.
    Failed,
}

/// A change of the list of servers.
#[derive(Debug, Clone)]
pub struct Members {
    /// What the list covers.
    pub scope: Scope,
    /// Its entries.
    pub hosts: Vec<Host>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Answered.
    Ok,
    /// The server answered with an error.
    Error,
    /// Rejected before it was read, by the server or its source.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Nothing suitable held, there or at its source.
    Miss,
}

impl Status {
    /// Whether this proves that the request did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::NeverSent | Status::Miss)
    }
}

/// What an answer says of how it was produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// Nothing.
    None,
    /// From a copy held.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill that ran.
    Joined,
    /// From a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or ran out of time.
    SourceLost,
    /// The source lacks the object.
    SourceLacks,
    /// No place for a fill.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// Whether a request is still to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It is.
    Open,
    /// It has its final answer, or its client has left.
    Closed,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u64,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub latency: Duration,
    /// Whether the request is still to be answered.
    pub request: RequestState,
    /// How the answer came about.
    pub note: Note,
    /// The cache's report of its load, in the order of [`Settings::report`]; empty: none came.
    pub load: Vec<f64>,
    /// Of the latency, the wait for the source's first byte; zero where it is unknown.
    pub waited: Duration,
}

/// What happens to a router.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request has come in.
    Request(Request),
    /// The list of servers has changed.
    Members(Members),
    /// An attempt has ended.
    Outcome(Outcome),
    /// A streamed answer has begun: the attempt is the client's now.
    Started(RequestId),
    /// The client has left.
    ClientLeft(RequestId),
    /// A timer has fallen due.
    Timer(u64),
    /// Older copies of an object, or of all objects of a group, are out of date.
    Purged {
        /// Time since the purge.
        age: Duration,
        /// The group.
        group: u64,
        /// The object, or none for all of the group.
        object: Option<ObjectId>,
    },
    /// Purges up to now may have been missed: for some time, copies as old as a purge takes to be done
    /// everywhere will not do.
    PurgesMissed,
    /// The weights of parents have changed; none: no topology is configured.
    ParentWeights(Option<ParentWeights>),
    /// By server, the share of its objects that goes to the next ranked servers from now on; those left out
    /// retain all theirs.
    OffloadShares(BTreeMap<ServerId, f64>),
    /// Another router found that a server fails. The own next attempts decide, but sooner.
    Suspected(ServerId),
    /// The listed processes of these servers are known to have started earlier than the list said.
    StartsDated(Vec<DatedStart>),
}

/// When the listed process of a server started, as it is known by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatedStart {
    /// The server.
    pub server: ServerId,
    /// The start.
    pub started: MonotonicTime,
}

/// A server and what it weighs among its like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerId,
    /// Its share of the objects is proportional to it.
    pub weight: f64,
}

/// Shares of the objects among parents, where a topology of the hierarchy is configured. Without it all
/// listed parents share them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ParentWeights {
    /// By parent, its weight now; one that is left out has no objects.
    pub weights: Vec<ServerWeight>,
    /// The weights before the present move; none where nothing moves.
    pub previous: Vec<ServerWeight>,
    /// Share of the objects whose home of before is still asked.
    pub previous_share: f64,
}

/// An attempt to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Get {
    /// The request.
    pub id: RequestId,
    /// The cache asked (or a parent or the origin, passing the caches by).
    pub server: ServerId,
    /// Where a miss is filled from; the server itself for no fill.
    pub source: ServerId,
    /// When to stop waiting; none: when the client gives up.
    pub stop_at: Option<MonotonicTime>,
    /// Rank at which a copy is cached; 0: none is cached.
    pub rank: u8,
    /// The oldest copy that will do; none: the class's fresh time.
    pub max_age: Option<Duration>,
    /// Wait for a fill that runs.
    pub join_fill: bool,
    /// The source gives only what it holds and fetches nothing.
    pub cached_only: bool,
    /// Fetch an ageing copy anew while it is served.
    pub renew_stale: bool,
}

/// What a router has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make an attempt.
    Get(Get),
    /// Final answer: declined, a retry does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; zero: nothing said.
        retry_after: Duration,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u64,
    },
    /// Deliver an [`Event::Timer`].
    Timer {
        /// When.
        at: MonotonicTime,
        /// With this mark.
        mark: u64,
    },
    /// Poll for changes of the servers from now on.
    Watch,
}
