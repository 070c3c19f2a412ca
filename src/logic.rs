//! Every decision of a router: which cache is asked, where a miss is filled from, what is kept, when to try
//! again and when to decline. The settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the paper's: FP, FN and q per cache give the chance of a miss (Eq. 1 to 3); the edge
//! cache plus at most one sibling minimize Eq. (11).
use crate::helpers::{learned_flows, mean, miss_chance, mix, ranked, unit, Aged, Level, Told, Window};
use crate::interface::*;
use crate::items::ItemTable;
use crate::purges::{PurgeTable, PurgeTarget};
use crate::records::Choice;
use std::collections::BTreeMap;

mod learned;
mod view;
pub use learned::Learned;

/// µs: how long a hit record counts; about as long as a cache keeps what nobody asks for.
const RECORD_LIFE: Micros = 12_000_000;
/// Requests in an epoch of q (the paper's T): of a cache in a role, seconds of its traffic; of all caches.
const EPOCH: (u32, u32) = (50, 8);
/// Weight of the newest epoch in q (the paper's delta).
const DELTA: f64 = 0.25;
/// Weight of the newest observation in an aged mean: about the last twenty count.
const AGEING: f64 = 0.05;
/// FP, FN and q of a role before any cache was heard in it: a guess that makes a first look worth it.
const UNHEARD: [f64; 3] = [0.2, 0.4, 0.4];
/// µs: miss penalty, a sibling's cost, and a class's sending time, before any was seen.
const FIRST_PENALTY: f64 = 150_000.0;
const FIRST_COST: f64 = 15_000.0;
const FIRST_WORK: f64 = 100_000.0;
/// Transfers that a cache of untold size is taken to carry at full pace until it has shown more.
const FIRST_FLOWS: f64 = 4.0;
/// µs: span of the mean of one's own load that stands for the other routers' load: several transfers.
const LOAD_SPAN: f64 = 3_000_000.0;
/// µs: span of the usual rate of work sent to a server, by which a parent's capacity is judged.
const USUAL_SPAN: f64 = 10_000_000.0;
/// µs: how long a report of the link's load counts, and the weight of the newest: noisy, and late.
const REPORTED: (f64, f64) = (1_000_000.0, 0.4);
/// Weight of the newest in a server's pace (time taken over sending time), and the most that a fill counts.
const PACED: (f64, f64) = (0.3, 4.0);
/// Time taken over sending time that tells of a jam, and the work (µs) from which no far source alone does.
const JAMMED: (f64, f64) = (1.4, 100_000.0);
/// Share of the link's told size below which nothing learned goes: slow fills are not all the link's doing.
const LINK_LEAST: f64 = 0.5;
/// Share of the aim that a predicted answer may take, with its size told and untold: load grows meanwhile.
const IN_TIME: (f64, f64) = (0.75, 0.65);
/// Share of the expected sending time that an answer may take at the least, its object seen before or not.
const LEAST: (f64, f64) = (0.8, 0.2);
/// Above this stretch (time taken over sending time) a default cache is passed over for one half as busy.
const CROWDED: f64 = 1.8;
/// Share of a cold budget in use, and how much more with many routers: bursts are one's own, or even out.
const COLD_SHARE: (f64, f64) = (0.35, 0.2);
/// Share of a fill that a request with a hit record counts for in its source's budget: records can be wrong.
const RECORDED_FILL: f64 = 0.3;
/// Share of failed answers above which a server is left to trials; well above the odd error.
const FAILING: f64 = 0.35;
/// Weight of a failure in that share, and what a success leaves of it: three in a row, or nearly half, tell.
const FAILED: (f64, f64) = (0.25, 0.7);
/// The same for a source: it also refuses what it lacks while the origin halts, but may hold the rest.
const REFUSING: f64 = 0.8;
/// Fills asked for over those brought in time that are too many; the most withheld; the newest's weight.
const OVERASKED: [f64; 3] = [1.2, 0.97, 0.3];
/// Share of the aim from which a fill counts as too late: what is asked next waits longer than what has come.
const LATE: f64 = 0.55;
/// µs: first and longest pause between trials of a failing server.
const PAUSE: (Micros, Micros) = (250_000, 4_000_000);
/// A silent attempt is given up after so many times its expected time, plus some µs for jitter.
const PATIENCE: (f64, Micros) = (2.0, 150_000);
/// Part of its aim after which a client that was refused may come back: a jam passes in moments, and the aim
/// counts from its first try. Later answers earn next to nothing and take as much.
const RETURN: Micros = 6;
/// µs between looks at what is out.
const LOOK: Micros = 20_000;
/// Attempts for one request at most: what four places do not give is not worth a storm.
const TRIES: usize = 4;
/// Second copies out at once, as a share of the open requests: a jam must not double itself.
const SECOND_COPIES: f64 = 0.1;
/// µs taken off the age of a purge: clocks and rounding on the way.
const PURGE_MARGIN: Micros = 10_000;
/// The parts that a server plays in requests: its shares differ much between the two.
const EDGE: usize = 0;
const SOURCE: usize = 1;

/// What is known of the indications (hit records) of one cache in one role.
#[derive(Debug, Clone, Copy, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Indicator {
    fp: Aged,
    fn_: Aged,
    q: Option<f64>,
    asked: u32,
    positive: u32,
    /// Aged hit latency, less the sending time that every choice pays alike.
    cost: Aged,
}

impl Indicator {
    /// Counts an indication; q moves once an epoch, Eq. (10).
    fn count(&mut self, positive: bool, epoch: u32) {
        self.asked += 1;
        self.positive += u32::from(positive);
        if self.asked == epoch {
            let seen = f64::from(self.positive) / f64::from(epoch);
            self.q = Some(self.q.map_or(seen, |old| DELTA * seen + (1.0 - DELTA) * old));
            (self.asked, self.positive) = (0, 0);
        }
    }
    fn seen(&mut self, positive: bool, hit: bool) {
        let wrong = if hit { &mut self.fn_ } else { &mut self.fp };
        wrong.add(f64::from(u8::from(positive != hit)), AGEING);
    }
}

/// A listed server and what has been seen of it.
#[derive(Default)]
struct Server {
    host: Host,
    /// When it started, as listed or as its failures suggest.
    started: Option<Micros>,
    /// When that was learned.
    told: Micros,
    roles: [Indicator; 2],
    /// Attempts out to it.
    out: Level,
    /// Transfers that it carries at full pace.
    flows: Option<f64>,
    /// Work sent of late, by this process and by others of the same router, and its usual rate.
    sent: Window,
    elsewhere: Window,
    rate: Level,
    failing: f64,
    lost: bool,
    /// Time taken over sending time of late, and when that was seen.
    pace: (f64, Micros),
    pause: Micros,
    retry_at: Micros,
    heard: Micros,
    filled: Micros,
}

impl Server {
    fn new(host: Host) -> Self {
        let started = (host.started > 0).then_some(host.started);
        Server { host, started, ..Server::default() }
    }
    fn suspended(&self, now: Micros) -> bool {
        self.pause > 0 && now < self.retry_at
    }
    /// Danger: a server that fails fast looks idle and draws traffic; a silent one holds it. Both are left to
    /// single trials, further and further apart. Harm: a blameless server rests for a moment.
    fn fault(&mut self, now: Micros, bar: f64) {
        self.failing += FAILED.0 * (1.0 - self.failing);
        if self.failing > bar && !self.suspended(now) {
            self.pause = (self.pause * 2).clamp(PAUSE.0, PAUSE.1);
            self.retry_at = now + self.pause;
        }
    }
    /// Danger: another's word must not put a server out: it stays at the bar, and one own failure passes it.
    fn suspect(&mut self) {
        self.failing = self.failing.max(FAILING);
    }
    /// Danger: a cache that grows slower and slower looks no busier than its like. Harm: one large object of
    /// untold size makes it look slow for seconds.
    fn paced(&mut self, now: Micros, pace: f64) {
        self.pace = (self.pace(now) + PACED.0 * (pace - self.pace(now)), now);
    }
    fn pace(&self, now: Micros) -> f64 {
        1.0 + (self.pace.0 - 1.0).max(0.0) * (-((now - self.pace.1) as f64) / LOAD_SPAN).exp()
    }
    /// Returns whether it was lost before: then it has restarted, cold and empty.
    fn success(&mut self, now: Micros) -> bool {
        self.failing *= FAILED.1;
        self.pause = if self.pause / 4 < PAUSE.0 { 0 } else { self.pause / 4 };
        self.retry_at = self.retry_at.min(now + self.pause);
        let back = std::mem::take(&mut self.lost);
        if back {
            (self.started, self.told) = (Some(now), now);
        }
        back
    }
}

/// One attempt of a request.
#[derive(Default)]
struct Attempt {
    to: Choice,
    sent: Micros,
    check_at: Micros,
    patience: Micros,
    done: bool,
    cancelled: bool,
    edge_failed: bool,
    source_failed: bool,
    /// Whether it has counted as a fill that comes too late.
    late: bool,
}

impl Attempt {
    /// Whether a parent or the origin fetches what it lacks.
    fn fetches(&self) -> bool {
        let Choice { edge, source, sibling, peek, link, .. } = self.to;
        link && !sibling && !peek && source != edge
    }
}

/// A request not yet forgotten.
#[derive(Default)]
struct Open {
    req: Request,
    arrived: Micros,
    work: f64,
    sized: bool,
    /// Whether the sending time is of this object, not of its class.
    known: bool,
    attempts: Vec<Attempt>,
    /// Its final answer is given, or the client has left.
    closed: bool,
    streaming: bool,
    /// First attempt that may have run.
    ran: Option<(Micros, ServerId)>,
}

impl Open {
    /// Danger: sizes vary widely, so a mean above the client's patience is no reason to give up.
    fn least(&self) -> f64 {
        match (self.attempts.is_empty() && !self.sized, self.known) {
            (false, _) => self.work,
            (_, true) => LEAST.0 * self.work,
            _ => LEAST.1 * self.work,
        }
    }
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| !a.done).count()
    }
}

/// The decisions of one router.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    now: Micros,
    /// When the first event came.
    born: Option<Micros>,
    servers: BTreeMap<ServerId, Server>,
    open: BTreeMap<RequestId, Open>,
    items: ItemTable,
    purges: PurgeTable,
    /// By class, the aged sending time.
    work: Vec<Aged>,
    penalty: Aged,
    /// Share of fills that parents and origin failed to bring in time, all taken together.
    unfilled: f64,
    /// Attempts out to the location's caches, and over its link.
    out: Level,
    filling: Level,
    /// Transfers that the link carries at full pace, once it jammed.
    link: Option<f64>,
    /// Transfers on it over those that fit at full pace, as its caches report.
    link_told: Told,
    /// Caches of the own location.
    caches: f64,
    wake: bool,
    watching: bool,
    homes: Option<Homes>,
    /// By server, the share of its objects that goes to their next homes, each router's own choice of them.
    shed: BTreeMap<ServerId, f64>,
    /// By role, FP, FN and q of all caches taken together.
    all: [Indicator; 2],
}

/// Whom a failure is laid to; the link is to blame for a late fill.
#[derive(PartialEq)]
enum Blame {
    Nobody,
    Link,
    Edge,
    Source,
}

/// Whom a failure is laid to, and whether there was no connection. Without a note, a refusal is the parent's.
fn blame(outcome: &Outcome, attempt: &Attempt) -> (Blame, bool) {
    let Choice { edge, source, sibling, positive, .. } = attempt.to;
    let fill = source != edge && !positive[0];
    let blamed = match (outcome.status, outcome.note) {
        (Status::Ok | Status::NeverSent | Status::Cancelled, _) | (_, Note::OriginFailed) => Blame::Nobody,
        (_, Note::SourceRefused | Note::SourceLost) => Blame::Source,
        // Danger: a fill that dries up ends in an error too, late; laid to caches it empties a location.
        (Status::Error, _) if fill && outcome.latency >= attempt.patience => Blame::Link,
        (Status::Error | Status::ConnectFailed | Status::Reset, _) => Blame::Edge,
        (Status::Full, Note::None) if source != edge && !sibling => Blame::Source,
        _ => Blame::Nobody,
    };
    // Danger: a restart that the list has not told of yet; no connection is a strong sign of one. But a cache
    // that loses some answers, or a parent whose fill ran out of time, is neither gone nor cold.
    let unreached = outcome.status == Status::Full && outcome.note == Note::SourceLost;
    (blamed, unreached || outcome.status == Status::ConnectFailed)
}

impl Router {
    /// A router that knows only its settings; `seed` feeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let work = vec![Aged::default(); settings.classes.len()];
        Router { settings, seed, work, ..Router::default() }
    }

    /// Puts settings in the place of those in force. `heirs`: classes that are new (from none) or changed.
    pub fn configure(&mut self, settings: Settings, heirs: &[(Option<usize>, usize)]) {
        self.work.resize(settings.classes.len(), Aged::default());
        let kept = |from: Option<usize>| from.map_or(Aged::default(), |at| self.work[at]);
        let kept: Vec<Aged> = heirs.iter().map(|h| kept(h.0)).collect();
        heirs.iter().zip(kept).for_each(|(h, work)| self.work[h.1] = work);
        self.settings = settings;
        self.count_caches();
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.born.get_or_insert(now);
        match event {
            Event::Request(req) if self.open.contains_key(&req.id) => {}
            Event::Request(req) => self.on_request(req, actions),
            Event::Members(members) => self.on_members(members, actions),
            Event::Outcome(outcome) => self.on_outcome(&outcome, actions),
            Event::Started(id) => self.open.get_mut(&id).into_iter().for_each(|o| o.streaming = true),
            Event::Gone(id) => self.close(id, actions),
            Event::Timer(_) => self.on_timer(actions),
            Event::Homes(homes) => self.homes = homes,
            Event::Shed(shares) => self.shed = shares.into_iter().collect(),
            Event::Suspected(id) => self.servers.get_mut(&id).into_iter().for_each(Server::suspect),
            Event::PurgesMissed => self.purges.miss(now + self.settings.purge_done),
            Event::Purged { age, group, object } => {
                self.on_purge(now.saturating_sub(age), PurgeTarget::new(object, group));
            }
        }
        if !self.wake && !self.open.is_empty() {
            self.wake = true;
            actions.push(Action::Timer { at: now + LOOK, mark: 0 });
        }
    }

    fn on_members(&mut self, members: Members, actions: &mut Vec<Action>) {
        if self.settings.ask && (!self.watching || members.scope == Scope::Failed) {
            self.watching = true;
            actions.push(Action::Watch);
        }
        if members.scope == Scope::Failed {
            return;
        }
        if members.scope == Scope::Full {
            // Danger: a server that a whole list no longer names is gone, and a drain in all but name.
            let named = |id: &ServerId| members.hosts.iter().any(|h| h.server == *id);
            let gone: Vec<ServerId> = self.servers.keys().copied().filter(|id| !named(id)).collect();
            gone.into_iter().for_each(|id| self.retire(id));
        }
        for host in members.hosts {
            let id = host.server;
            if host.state == State::Removed {
                self.retire(id);
                continue;
            }
            let server = self
                .servers
                .entry(id)
                .or_insert_with(|| Server { told: self.now, ..Server::new(host.clone()) });
            let restarted = host.started > server.host.started.max(server.started.unwrap_or(0));
            if restarted {
                // Danger: records of a cache that starts empty would name it for fills that must fail.
                let (out, flows) = (server.out, server.flows);
                *server = Server { out, flows, told: self.now, ..Server::new(host) };
                self.items.forget_server(id);
            } else {
                server.host = host;
            }
        }
        self.count_caches();
    }

    fn count_caches(&mut self) {
        let own = self.servers.values().filter(|s| self.is_own(s));
        self.caches = own.filter(|s| s.host.state == State::Up).count().max(1) as f64;
    }

    /// Danger: over weeks of replaced servers, what is kept of each grows without end.
    fn retire(&mut self, id: ServerId) {
        self.servers.remove(&id);
        self.items.forget_server(id);
    }

    /// For how long a purge is remembered: no answer is older than one long done, but fills may be slow.
    fn remember_purges(&self) -> Micros {
        3 * self.settings.purge_done
    }

    fn on_purge(&mut self, at: Micros, target: PurgeTarget) {
        self.purges.record(self.now, target, at, at + self.remember_purges());
        self.items.purge(target);
    }

    /// The oldest copy that will do. Danger: copies from before a purge linger for seconds after word of it.
    fn max_age(&self, req: &Request, class: &Class, grace: bool) -> Option<Micros> {
        let fresh = (class.fresh > 0).then(|| class.fresh + if grace { class.grace } else { 0 });
        let purged = self.purges.latest(self.now, req.object, req.group);
        let since = purged.map(|at| (self.now - at).saturating_sub(PURGE_MARGIN).max(1));
        // Danger: a missed purge leaves copies that must not be served, until it is done everywhere.
        let missed = self.purges.missing(self.now).then_some(self.settings.purge_done);
        let missed = missed.map(|age| age.saturating_sub(PURGE_MARGIN).max(1));
        fresh.into_iter().chain(since).chain(missed).min()
    }

    fn on_request(&mut self, req: Request, actions: &mut Vec<Action>) {
        let (id, now) = (req.id, self.now);
        if req.class >= self.settings.classes.len() {
            return actions.push(Action::Fail(id));
        }
        let key = (req.object, req.part);
        let known = self.items.count(now, key, req.group, 4 * RECORD_LIFE);
        let sized = req.size_kb > 0.0 && self.settings.flow_kb_per_s > 0.0;
        let mut work = known.unwrap_or_else(|| self.work[req.class].or(FIRST_WORK));
        if sized {
            work = req.size_kb / self.settings.flow_kb_per_s * 1e6;
            self.work[req.class].add(work, AGEING);
        }
        let open = Open { req, arrived: now, work, sized, known: known.is_some(), ..Open::default() };
        self.open.insert(id, open);
        self.advance(id, actions);
    }

    /// Ends a request: withdraws what is out and forgets it when all outcomes are in.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.closed = true;
        if self.settings.limits_of(open.req.class).cancel && !open.streaming {
            for (n, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| !a.done && !a.cancelled) {
                a.cancelled = true;
                actions.push(Action::Cancel { id, attempt: n as u64 });
            }
        }
        if open.out() == 0 {
            self.open.remove(&id);
        }
    }

    /// Gives up: the final answer, at once, as the class allows.
    fn give_up(&mut self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.req.class];
        let dropped = class.effect == Effect::Keyed && class.group == Group::All;
        let harmless = open.ran.is_none() || class.effect == Effect::Pure || dropped;
        let retry_after = retry_after.min(self.settings.limits_of(open.req.class).max_retry_after);
        actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.close(id, actions);
    }

    /// Makes the next attempt of a request, or gives it up.
    fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[open.req.class];
        let (now, tries, end) = (self.now, open.attempts.len(), open.arrived + open.req.ttl);
        let bound = tries >= TRIES.min(self.settings.attempts_of(class))
            || open.least() > end.saturating_sub(now) as f64
            || match (class.effect, open.ran) {
                (_, None) | (Effect::Pure, _) => false,
                (Effect::Keyed, Some((at, _))) => now + LOOK > at + class.window,
                (Effect::Unsafe, _) => true,
            };
        let Some(choice) = (if bound { None } else { self.choose(open, class) }) else {
            if open.out() == 0 {
                self.give_up(id, class.aim / RETURN, actions);
            }
            return;
        };
        // Only a failure is worth a stale copy; that a sibling lacked the object is none.
        let grace = open.attempts.iter().any(|a| a.edge_failed || a.source_failed && !a.to.sibling);
        let max_age = self.max_age(&open.req, class, grace);
        let seen = self.items.get(&(open.req.object, open.req.part)).map_or(1, |i| i.seen.max(1));
        let patience = (PATIENCE.0 * choice.expected) as Micros + PATIENCE.1;
        let get = Get {
            id,
            server: choice.edge,
            source: choice.source,
            stop_at: (!self.settings.limits_of(open.req.class).cancel).then(|| now + 2 * patience),
            rank: if class.uncacheable { 0 } else { (1 + seen.ilog2()).min(3) as u8 },
            max_age,
            peek: choice.peek,
            join: self.settings.joins && tries == 0 && !class.uncacheable,
            renew: class.fresh > 0,
        };
        let mean = self.work[open.req.class].or(open.work);
        let work = mean.max(if open.sized { open.work } else { 0.0 });
        let record = choice.positive[0];
        let fill = (choice.source, if record { RECORDED_FILL } else { 1.0 });
        let reached = [Some((choice.edge, 1.0)), (choice.source != choice.edge).then_some(fill)];
        for (server, share) in reached.into_iter().flatten() {
            let Some(s) = self.servers.get_mut(&server) else { continue };
            s.sent.add(work * share, now, self.settings.fall_span);
            s.rate.pulse(work * share, now, USUAL_SPAN);
            if s.pause > 0 && (server == choice.edge || !record) {
                s.retry_at = now + s.pause; // the one trial of this pause
            }
        }
        let Some(edge) = self.servers.get_mut(&choice.edge) else { return };
        edge.out.step(1.0, now, LOAD_SPAN);
        self.out.step(1.0, now, LOAD_SPAN);
        edge.roles[EDGE].count(record, EPOCH.0);
        self.all[EDGE].count(record, EPOCH.1);
        self.filling.step(f64::from(u8::from(choice.link)), now, LOAD_SPAN);
        if let (true, Some(s)) = (choice.sibling, self.servers.get_mut(&choice.source)) {
            s.roles[SOURCE].count(choice.positive[1], EPOCH.0);
            self.all[SOURCE].count(choice.positive[1], EPOCH.1);
        }
        if let Some(open) = self.open.get_mut(&id) {
            let (to, sent, check_at) = (choice, now, now + patience);
            open.attempts.push(Attempt { to, sent, check_at, patience, ..Attempt::default() });
        }
        actions.push(Action::Get(get));
    }

    fn origin(&self, work: f64) -> Option<&Server> {
        let kind = self.settings.origin_kind?;
        self.servers.values().find(|s| s.host.kind == kind && self.usable(s, work))
    }

    /// Whether it is a cache of the own location.
    fn is_own(&self, s: &Server) -> bool {
        s.host.zone == self.settings.zone && self.is_cache(s)
    }

    fn is_cache(&self, s: &Server) -> bool {
        Some(s.host.kind) != self.settings.parent_kind && Some(s.host.kind) != self.settings.origin_kind
    }

    /// Transfers that a server carries at full pace: as listed, as learned, or as its like have shown.
    fn flows(&self, s: &Server) -> f64 {
        if self.settings.weighted && s.host.weight > 0.0 {
            return s.flows.unwrap_or(s.host.weight);
        }
        let like = self.servers.values().filter(|o| o.host.kind == s.host.kind && o.host.state == State::Up);
        if self.is_cache(s) {
            return s.flows.or_else(|| mean(like.filter_map(|o| o.flows))).unwrap_or(FIRST_FLOWS);
        }
        let usual = mean(like.map(|o| o.rate.mean(self.now, USUAL_SPAN))).unwrap_or(0.0);
        usual * self.settings.routers as f64
    }

    /// Transfers at a server. Danger: with many routers, one's own single request must not be taken for that
    /// of all. The others have there what one had there of late, half of it pooled over the location.
    fn load(&self, s: &Server) -> f64 {
        let mut usual = s.out.mean(self.now, LOAD_SPAN);
        if self.is_own(s) {
            usual = (usual + self.out.mean(self.now, LOAD_SPAN) / self.caches) / 2.0;
        }
        s.out.now + usual * (self.settings.routers_of(s.host.zone) - 1.0)
    }

    /// The same for the location's link.
    fn link_load(&self) -> f64 {
        self.filling.now
            + self.filling.mean(self.now, LOAD_SPAN) * (self.settings.routers_of(self.settings.zone) - 1.0)
    }

    /// Danger: slow parents, and objects larger than their class, look like a jam of the link; the estimate
    /// falls, refusals empty the link, and the estimate falls after them. Harm: fills pass that come late.
    fn link_floor(&self) -> f64 {
        let told = self.settings.link_kb_per_s / self.settings.flow_kb_per_s.max(1.0);
        (LINK_LEAST * told).max(FIRST_FLOWS)
    }

    /// How much longer than its sending time a transfer takes there now.
    fn stretch(&self, s: &Server) -> f64 {
        let flows = (self.flows(s) * self.warmth(s)).max(0.1);
        ((self.load(s) + 1.0) / flows).max(s.pace(self.now))
    }

    /// Share of its capacity that a server can give, if it warms at the slowest pace.
    fn warmth(&self, s: &Server) -> f64 {
        let Some(started) = s.started else { return 1.0 };
        let Cold { from, span, .. } = self.settings.cold(self.is_cache(s));
        let gone = self.now.saturating_sub(started) as f64 / span.max(1) as f64;
        (from + (1.0 - from) * gone).clamp(0.0, 1.0)
    }

    /// Danger: all routers together push over a cold cache or parent. Each keeps to its share of the budget.
    /// Harm: a server that warms faster idles for some seconds.
    fn within_budget(&self, s: &Server, work: f64) -> bool {
        let (set, warmth) = (&self.settings, self.warmth(s));
        if warmth >= 1.0 || Some(s.host.kind) == set.origin_kind {
            return true;
        }
        let share = set.sharers(self.now, self.is_cache(s).then_some(s.host.zone));
        let span = set.fall_span.max(1);
        let used = COLD_SHARE.0 + COLD_SHARE.1 * (1.0 - (4.0 / share).min(1.0).sqrt());
        // Danger: what the process before this one has sent is not known, and all may begin again at once.
        let lived = (self.now - self.born.unwrap_or(self.now)).min(span) as f64;
        let room = set.cold(self.is_cache(s)).multiple * warmth * self.flows(s) * lived / share * used;
        // A share may be under one request: then a router has turns in some spans, which begin at any time.
        let [slot, first] = [self.now, s.told].map(|at| (at + self.seed % span) / span);
        let turn = if first < slot { unit(self.seed ^ mix(s.host.server ^ mix(slot))) } else { 0.0 };
        s.sent.sum(self.now, span) + s.elsewhere.sum(self.now, span) + work <= room + turn * work
    }

    /// May anything new go to, or be filled from, this server?
    fn usable(&self, s: &Server, work: f64) -> bool {
        s.host.state == State::Up && !s.suspended(self.now) && self.within_budget(s, work)
    }

    /// Servers by the shared hash, the default first; the same at every router.
    fn by_hash<'a>(&self, key: u64, servers: impl Iterator<Item = &'a Server>) -> Vec<&'a Server> {
        let weight = |h: &Host| if self.settings.weighted { h.weight.max(0.01) } else { 1.0 };
        ranked(key, servers.map(|s| (s.host.server, weight(&s.host), s)))
    }

    /// The same among parents: all that are listed or, where a shape is given, by its weights.
    fn homes<'a>(&'a self, object: ObjectId, shape: Option<&[(ServerId, f64)]>) -> Vec<&'a Server> {
        let parents = || self.servers.values().filter(|s| Some(s.host.kind) == self.settings.parent_kind);
        let Some(weights) = shape else { return self.by_hash(mix(object), parents()) };
        let of = |id| weights.iter().find(|(server, w)| *server == id && *w > 0.0).map(|(_, w)| *w);
        ranked(mix(object), parents().filter_map(|s| Some((s.host.server, of(s.host.server)?, s))))
    }

    /// FP, FN and q of a cache in a role; what all have shown together stands for what it has not shown yet.
    fn shares(&self, s: &Server, role: usize) -> [f64; 3] {
        let (own, all) = (&s.roles[role], &self.all[role]);
        let share = |get: fn(&Indicator) -> Option<f64>, usual| get(own).or(get(all)).unwrap_or(usual);
        [share(|i| i.fp.0, UNHEARD[0]), share(|i| i.fn_.0, UNHEARD[1]), share(|i| i.q, UNHEARD[2])]
    }

    fn recorded(&self, req: &Request, server: ServerId) -> bool {
        self.items
            .get(&(req.object, req.part))
            .is_some_and(|item| item.hits.iter().any(|&(s, at)| s == server && self.now < at + RECORD_LIFE))
    }

    /// Access cost: aged hit latency, or what the present load makes of the sending time, less that time.
    fn cost(&self, s: &Server, role: usize, work: f64) -> f64 {
        s.roles[role].cost.or(FIRST_COST).max(work * (self.stretch(s) - 1.0))
    }

    /// The parent (or the origin) that fills a miss: the first by hash that is fit for it.
    fn parent_for(&self, open: &Open, work: f64) -> Option<ServerId> {
        let failed =
            |s: &Server| open.attempts.iter().any(|a| a.source_failed && a.to.source == s.host.server);
        let fit = |s: &&Server| self.usable(s, work) && !failed(s);
        let shape = self.homes.as_ref().map(|h| &h.weights[..]);
        let mut homes = self.homes(open.req.object, shape).into_iter().filter(fit);
        let parent = homes.next().map(|first| {
            // Danger: a parent whose link is full slows all its fills while its like stand idle. Part of its
            // objects go to their next homes, the same from all routers: the more, the fuller it is.
            let over = |s: &Server| 1.0 - CROWDED * s.pace(self.now) / first.pace(self.now);
            let spill = unit(mix(open.req.object) ^ first.host.server);
            homes.find(|next| spill < over(next)).unwrap_or(first)
        });
        parent.or_else(|| self.origin(work).filter(fit)).map(|s| s.host.server)
    }

    /// The edge cache and at most one sibling that minimize Eq. (11), summed access cost plus M times the
    /// product of miss chances.
    fn choose(&self, open: &Open, class: &Class) -> Option<Choice> {
        let (req, work) = (&open.req, open.work);
        let mean = self.work[req.class].or(work).max(if open.sized { work } else { 0.0 });
        let key = mix(req.object ^ mix(req.part + 1));
        let own = self.servers.values().filter(|s| self.is_own(s));
        let spent = |a: &Attempt| a.edge_failed || !a.done;
        let avoid = |s: &Server| open.attempts.iter().any(|a| a.to.edge == s.host.server && spent(a));
        let bound = |s: &Server| {
            let first = open.ran.filter(|_| class.effect == Effect::Keyed);
            let (zone, cell) = (class.group != Group::All, class.group == Group::Cell);
            first.and_then(|(_, first)| self.servers.get(&first)).is_none_or(|f| {
                (!zone || f.host.zone == s.host.zone) && (!cell || f.host.cell == s.host.cell)
            })
        };
        let ranked = self.by_hash(key, own);
        let able = |s: &&Server| self.usable(s, mean) && !avoid(s) && bound(s);
        let fit: Vec<&Server> = ranked.iter().copied().filter(able).collect();
        let origin = class.uncacheable.then(|| self.origin(mean)).flatten().map(|s| s.host.server);
        let parent = origin.or_else(|| self.parent_for(open, mean));
        let penalty = self.penalty.or(FIRST_PENALTY);
        let expected = work + penalty;
        let plain = |edge, source| Choice { edge, source, expected, link: true, ..Choice::default() };
        if fit.is_empty() {
            // No cache is left here; where it is allowed, the parent or the origin serves the client itself.
            let server = parent.filter(|_| self.settings.direct)?;
            let source = self.origin(mean).map_or(server, |o| o.host.server);
            let open_to = |s: &Server| !avoid(s) && bound(s) && self.in_time(open, class, 1.0, 1.0);
            return self.servers.get(&server).is_some_and(open_to).then(|| plain(server, source));
        }
        let quiet = fit.iter().map(|s| self.stretch(s)).fold(f64::MAX, f64::min);
        let crowded = |s: &Server| self.stretch(s) > CROWDED.max(2.0 * quiet);
        // Danger: of many routers each sees too little to tell which cache the hash gives more than its like.
        let sheds = |id: ServerId| unit(key ^ mix(id ^ self.seed)) < self.shed.get(&id).map_or(0.0, |s| *s);
        let default = fit.iter().copied().find(|s| !crowded(s) && !sheds(s.host.server)).unwrap_or(fit[0]);
        if class.uncacheable {
            return Some(plain(default.host.server, parent?));
        }
        // Danger: with a dear miss any sibling seems to pay, and requests wander from one to the next.
        let none = self.settings.siblings == Siblings::None || open.attempts.iter().any(|a| a.to.sibling);
        let lends = |s: &&Server| !none && self.usable(s, mean) && self.warmth(s) >= 1.0;
        let siblings: Vec<&Server> = ranked.iter().copied().filter(lends).collect();
        let mut best = (f64::MAX, Choice::default(), 1.0);
        for &edge in &fit {
            let positive = self.recorded(req, edge.host.server);
            if edge.host.server != default.host.server && (!positive || sheds(edge.host.server)) {
                continue;
            }
            let rho = miss_chance(self.shares(edge, EDGE), positive);
            let at = self.cost(edge, EDGE, work);
            let expected = work + at + if positive { 0.0 } else { penalty };
            let id = edge.host.server;
            for other in siblings.iter().copied().filter(|s| s.host.server != id).map(Some).chain([None]) {
                let (more, lacks, source, known) = match other {
                    Some(s) => {
                        let known = self.recorded(req, s.host.server);
                        let lacks = miss_chance(self.shares(s, SOURCE), known);
                        (self.cost(s, SOURCE, work), lacks, s.host.server, known)
                    }
                    None => (0.0, 1.0, parent.unwrap_or(id), false),
                };
                let (cost, sibling) = (at + more + penalty * rho * lacks, other.is_some());
                if cost < best.0 {
                    let (link, positive) = (!positive, [positive, known]);
                    best = (cost, Choice { sibling, link, positive, expected, ..plain(id, source) }, rho);
                }
            }
        }
        let (_, choice, rho) = best;
        // A second look without a fill would find no more than the first.
        if choice.source == choice.edge && open.attempts.iter().any(|a| a.to.edge == choice.edge) {
            return None;
        }
        let stretch = self.servers.get(&choice.edge).map_or(1.0, |s| self.stretch(s));
        // Danger: while fills are withheld, what parents hold would be lost with the origin, and copies here
        // may be too old. Parents are asked for what they hold, once, and fetch nothing for it.
        let peek = !choice.sibling && choice.source != choice.edge && self.withheld(open);
        let parent = self.servers.get(&choice.source).map(|s| s.host.kind) == self.settings.parent_kind;
        let old = self.home_before(open, mean).filter(|old| parent && !peek && *old != choice.source);
        if let Some(source) = old.filter(|_| !choice.sibling && self.in_time(open, class, stretch, rho)) {
            return Some(Choice { source, peek: true, ..choice });
        }
        let barred = peek && (!parent || open.attempts.iter().any(|a| a.to.peek));
        if !barred && self.in_time(open, class, stretch, rho) {
            return Some(Choice { peek, ..choice });
        }
        // Where only the fill is too slow or withheld, a look still finds what the cache holds.
        let look = Choice { source: choice.edge, sibling: false, link: false, ..choice };
        (open.attempts.is_empty() && self.in_time(open, class, stretch, 0.0)).then_some(look)
    }

    /// Danger: objects whose home moves are all missing at the new one, and the origin gets every fill. The
    /// home of before is asked first for what it holds. Harm: one way more for what it does not.
    fn home_before(&self, open: &Open, work: f64) -> Option<ServerId> {
        let asked = |h: &&Homes| unit(mix(open.req.object) ^ 1) <= h.asked && open.attempts.is_empty();
        let before = self.homes.as_ref().filter(asked)?;
        let ranked = self.homes(open.req.object, Some(&before.before));
        ranked.into_iter().find(|s| self.usable(s, work)).map(|s| s.host.server)
    }

    /// Danger: in a jam of a cache or of the location's link, all slow down until none is in time. What
    /// can't be is declined at once, before it takes room from what can. Harm: a late answer earns a little.
    fn in_time(&self, open: &Open, class: &Class, edge: f64, miss: f64) -> bool {
        let guess = self.link.map_or(1.0, |flows| (self.link_load() + 1.0) / flows);
        let link = self.link_told.or(guess, self.now, REPORTED.0);
        let aim = class.aim_of(open.work) * if open.sized { IN_TIME.0 } else { IN_TIME.1 };
        let stretch = edge + miss * (link - edge).max(0.0);
        let least = open.least() * stretch + miss * self.penalty.or(FIRST_PENALTY).min(FIRST_PENALTY);
        // Danger: what is too large to be in time even alone is declined on the quietest day.
        stretch <= if open.work > aim { CROWDED } else { aim / open.work.max(1.0) }
            && least <= open.req.ttl as f64
            || open.attempts.iter().any(|a| a.to.link || a.to.positive[0])
    }

    /// Danger: when origin or parents can do no more, retries and new fetches keep them there, and neighbours
    /// follow. Fills are withheld by the share that fails, none is tried again. Harm: one would have come.
    fn withheld(&self, open: &Open) -> bool {
        let share = (1.0 - OVERASKED[0] * (1.0 - self.unfilled)).min(OVERASKED[1]);
        let again = open.attempts.iter().any(|a| a.source_failed && !a.to.sibling);
        open.req.spared || share > 0.0 && (again || unit(self.seed ^ mix(open.req.id)) < share)
    }

    fn on_outcome(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.id;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(outcome.attempt as usize).filter(|a| !a.done) else {
            return;
        };
        attempt.done = true;
        let (edge, sent) = (attempt.to.edge, attempt.sent);
        if !outcome.status.never_ran() && outcome.status != Status::Ok && open.ran.is_none() {
            open.ran = Some((sent, edge));
        }
        self.learn(outcome);
        let Some(open) = self.open.get_mut(&id) else { return };
        if outcome.closed || open.closed {
            return self.close(id, actions);
        }
        if open.streaming || open.out() > 0 {
            return;
        }
        // Danger: each retry is one more call on an origin that is down for being asked too much.
        if outcome.note == Note::OriginFailed {
            return self.give_up(id, PAUSE.1, actions);
        }
        // Never sent, before the end: its store was withdrawn or a purge was told while it waited.
        if self.now >= open.arrived + open.req.ttl {
            actions.push(Action::Fail(id));
            return self.close(id, actions);
        }
        self.advance(id, actions);
    }

    /// Draws what can be drawn from an outcome, on the edge cache, the source and the object.
    fn learn(&mut self, outcome: &Outcome) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&outcome.id) else { return };
        let attempt = &mut open.attempts[outcome.attempt as usize];
        let Choice { edge, source, sibling, positive, link, .. } = attempt.to;
        let (class, key) = (open.req.class, (open.req.object, open.req.part));
        let (work, sized, known) = (open.work.max(1.0), open.sized, open.sized || open.known);
        let cacheable = !self.settings.classes[class].uncacheable;
        let filled = matches!(outcome.note, Note::Filled | Note::FilledByOrigin);
        let hit = matches!(outcome.note, Note::Hit | Note::Stale) && outcome.status == Status::Ok;
        let outside = source != edge;
        let (blame, lost) = blame(outcome, attempt);
        attempt.edge_failed |= blame == Blame::Edge && outcome.status != Status::Reset
            || matches!(outcome.status, Status::Full | Status::Error);
        attempt.source_failed |= blame == Blame::Source || outcome.status == Status::Miss;
        // Danger: clients of little patience leave before a fill can come; that tells nothing of the origin.
        let set = &self.settings.classes[class];
        let late = outcome.latency as f64 > LATE * set.aim_of(work);
        // Danger: a parent that is gone or errs says so at once. Laid to the origin, it withholds the fills
        // of all healthy parents; that parent alone is left to trials.
        let alone = outcome.note == Note::SourceLost && !late;
        let failed = attempt.source_failed && !alone
            || outcome.note == Note::OriginFailed
            || outcome.status == Status::Timeout && late;
        if attempt.fetches() && !attempt.late && (filled || failed) {
            // Danger: an origin that slows brings all that it is asked for, too late, until it stops.
            self.unfilled += OVERASKED[2] * (f64::from(u8::from(!filled || late)) - self.unfilled);
        }
        let excess = (outcome.latency as f64 - work).max(0.0);
        let pace = outcome.latency as f64 / (work + FIRST_COST);
        let learned = |old, pace, load| learned_flows(2.0 * AGEING, JAMMED.0, old, pace, load);
        self.out.step(-1.0, now, LOAD_SPAN);
        if link {
            self.filling.step(-1.0, now, LOAD_SPAN);
            let noted = filled || (outcome.status, &outcome.note) == (Status::Ok, &Note::None);
            let tells = (noted || blame == Blame::Link) && known && work > JAMMED.1;
            if tells && (self.link.is_some() || pace > JAMMED.0) {
                let (load, least) = (self.link_load(), self.link_floor());
                let old = self.link.unwrap_or(least / LINK_LEAST);
                self.link = Some(learned(old, pace, load).max(least));
            }
        }
        // Danger: of many routers each sees little of the link, and takes an idle one for full by what it
        // guesses of the others. Reports count the work of all. Harm: they are late.
        let asked = self.servers.get(&edge);
        let told = asked.filter(|s| self.is_own(s)).and(self.settings.link_told(&outcome.load));
        told.into_iter().for_each(|load| self.link_told.hear(load, now, REPORTED));
        let (warm, usual) = asked.map_or((false, FIRST_FLOWS), |s| (self.warmth(s) >= 1.0, self.flows(s)));
        let load = asked.map_or(0.0, |s| self.load(s));
        let mut returned = Vec::new();
        if let Some(s) = self.servers.get_mut(&edge) {
            s.out.step(-1.0, now, LOAD_SPAN);
            if !matches!(outcome.status, Status::Cancelled | Status::Timeout | Status::NeverSent) {
                s.heard = now;
            }
            if blame == Blame::Edge {
                s.lost |= lost;
                s.fault(now, if lost { 0.0 } else { FAILING });
            } else if matches!(outcome.status, Status::Ok | Status::Miss) && s.success(now) {
                returned.push(edge);
            }
            if hit {
                s.roles[EDGE].cost.add(excess, AGEING);
                if known {
                    s.paced(now, pace);
                }
                if sized && work > 20_000.0 && warm {
                    s.flows = Some(learned(usual, outcome.latency as f64 / work, load));
                }
            }
            if cacheable && (hit || filled || outcome.status == Status::Miss) {
                s.roles[EDGE].seen(positive[0], hit);
                self.all[EDGE].seen(positive[0], hit);
            }
        }
        if let Some(s) = self.servers.get_mut(&source).filter(|_| outside) {
            if blame == Blame::Source {
                s.lost |= lost;
                s.fault(now, if outcome.note == Note::SourceLost { 0.0 } else { REFUSING });
            } else if filled {
                s.filled = now;
                if !sibling {
                    let sent = outcome.latency.saturating_sub(outcome.waited) as f64;
                    s.paced(now, (sent / (work + FIRST_COST)).min(PACED.1));
                }
                if s.success(now) {
                    returned.push(source);
                }
            }
            if sibling && (filled || outcome.status == Status::Miss || outcome.note == Note::SourceLacks) {
                s.roles[SOURCE].seen(positive[1], filled);
                self.all[SOURCE].seen(positive[1], filled);
                if filled {
                    s.roles[SOURCE].cost.add(excess, AGEING);
                }
            }
        }
        returned.into_iter().for_each(|id| self.items.forget_server(id));
        if outcome.status == Status::Ok && cacheable {
            if !hit && !sibling {
                self.penalty.add(excess, AGEING);
            }
            // Where sizes are not told, the sending time is what was taken less what the jam made of it.
            let sending = outcome.latency as f64 / (load / usual).max(1.0);
            if !sized && hit {
                self.work[class].add(sending, AGEING);
            }
            let Some(item) = self.items.get_mut(&key) else { return };
            item.work = Some(item.work.map_or(sending, |old| old.min(sending)));
            for at in [hit.then_some(edge), (sibling && filled).then_some(source)].into_iter().flatten() {
                item.hits.retain(|&(s, since)| s != at && now < since + RECORD_LIFE);
                item.hits.push((at, now));
            }
        }
    }

    /// Danger: a server that takes work and answers none holds requests to their end. It is silent when an
    /// attempt is overdue and nothing came from it since. Harm: one that is only slow rests for a moment.
    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        self.wake = false;
        let now = self.now;
        let overdue = |a: &Attempt| !a.done && !a.cancelled && now >= a.check_at;
        let waits = |o: &Open| !o.closed && !o.streaming && o.attempts.last().is_some_and(overdue);
        let due: Vec<RequestId> = self.open.iter().filter(|(_, o)| waits(o)).map(|(&id, _)| id).collect();
        // Danger: an origin that is overrun answers nothing for a second, and is asked all that while.
        // Harm: a large object counts as late before it can be whole.
        for open in self.open.values_mut().filter(|o| !o.closed) {
            let class = &self.settings.classes[open.req.class];
            let aim = LATE * class.aim_of(open.work);
            let waits = |a: &&mut Attempt| !a.done && !a.late && a.fetches() && now > a.sent + aim as Micros;
            for attempt in open.attempts.iter_mut().filter(waits) {
                attempt.late = true;
                self.unfilled += OVERASKED[2] * (1.0 - self.unfilled);
            }
        }
        let mut copies = self.open.values().filter(|o| o.out() > 1).count() as f64;
        let most = 2.0 + SECOND_COPIES * self.open.len() as f64;
        for id in due {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let once = self.settings.classes[open.req.class].effect == Effect::Unsafe || open.out() > 1;
            let last = open.attempts.len() as u64 - 1;
            let Some(attempt) = open.attempts.last_mut() else { continue };
            let (edge, source, sent) = (attempt.to.edge, attempt.to.source, attempt.sent);
            let heard = self.servers.get(&edge).is_some_and(|s| s.heard > sent);
            let filled = self.servers.get(&source).is_some_and(|s| s.filled > sent);
            attempt.check_at = now + attempt.patience;
            let blamed = if !heard {
                attempt.edge_failed = true;
                edge
            } else if !attempt.to.positive[0] && !filled && source != edge {
                attempt.source_failed = true;
                source
            } else {
                continue;
            };
            if let Some(s) = self.servers.get_mut(&blamed) {
                s.fault(now, FAILING);
            }
            if once {
            } else if self.settings.limits_of(open.req.class).duplicates && copies < most {
                copies += 1.0;
                open.ran.get_or_insert((sent, edge));
                self.advance(id, actions);
            } else if self.settings.limits_of(open.req.class).cancel {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: last });
            }
        }
    }
}
