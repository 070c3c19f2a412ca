//! Requests, attempts and outcomes: feeds the module its events and carries out its actions. Knows no wire and
//! no socket; the clock is an argument. Each request gets its final answer exactly once.
use crate::bulletin::{News, Store};
use crate::deadlines::{Deadlines, Due};
use crate::hierarchy::InferFile;
use crate::slots::{Key, Slots};
use crate::terms::ClassTerms;
use larchway::{
    Action, Effect, Event, Get, Homes, Learned, Members, Micros, Note, Outcome, Request, Router, Scope,
    ServerId, Settings, State, Status,
};
use larchway_copies::{Copies, Copy, Found, Id, Want};
use larchway_hierarchy::loops::{self, Inference, Shown};
use larchway_hierarchy::shield::{End as FillEnd, Shield, Terms as ShieldTerms, Verdict};
use larchway_members::witness::Evidence;
use larchway_operations::classes::Heir;
use larchway_operations::{Book, End, Tally};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// µs before the client's own deadline at which the final answer goes out: the request was on its way for a
/// while when it came in, and the answer needs its time too. At most and at least, and a part of a short wait.
const MARGIN: (Micros, Micros, Micros) = (30_000, 2_000, 16);

/// µs that the first byte of a repeat is given to be at its store.
const ON_ITS_WAY: Micros = 10_000;

/// Objects of which the next process of this gateway is told: minutes of traffic, about 1 MB.
const HANDED: usize = 10_000;

/// Who waits for an answer: a connection and the number of the request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The connection.
    pub client: Key,
    /// The request's number on it.
    pub seq: u64,
}

/// A request as a front takes it in, with what passes through unchanged.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// Its class, by place in the settings.
    pub class: usize,
    /// Its id.
    pub call: String,
    /// The object, as the client wrote it.
    pub thing: String,
    /// The object, as the module and the bulletin know it.
    pub object: u64,
    /// The part.
    pub part: u64,
    /// The group that a purge may name.
    pub group: u64,
    /// For how long the client waits, from when it sent the request.
    pub ttl: Micros,
    /// The idempotency key.
    pub dedupe: Option<String>,
    /// The bare tag of the client's copy.
    pub mine: Option<String>,
    /// Where the request has been (RFC 8586), as it came; empty on wires that tell nothing.
    pub via: String,
    /// The body.
    pub body: Vec<u8>,
    /// The part's size in KB as the client told it; 0 where it was not told.
    pub size_kb: f64,
}

/// What the sockets have to do.
#[derive(Debug, PartialEq)]
pub enum Order {
    /// Find the attempt a connection and send it.
    Send(Key),
    /// Give the attempt up on the connection that carries it.
    Kill {
        /// The connection.
        carrier: Key,
        /// The attempt, no longer in the table.
        attempt: Key,
        /// The id it was sent under.
        call: String,
    },
    /// Final answer: served by a copy of the gateway's own.
    Held(Ticket, Found),
    /// Final answer: refused; come back after so long.
    Refused(Ticket, Micros),
    /// Final answer: failed; whether since its time was up.
    Failed(Ticket, bool),
}

struct Open {
    ticket: Ticket,
    ask: Ask,
    deadline: Micros,
    attempts: Vec<Key>,
    out: usize,
    answered: bool,
    /// Whether it must be answered before its own time is up.
    cut: bool,
    /// When the first of its ended attempts began that may have run.
    ran: Option<Micros>,
}

/// An attempt that has not ended.
pub struct Attempt {
    request: Key,
    number: u64,
    get: Get,
    at: Micros,
    /// When its first byte was written.
    begun: Option<Micros>,
    /// The connection that carries it.
    pub carrier: Option<Key>,
    /// Whether it has left a broken connection for another.
    moved: bool,
    fill: Option<Fill>,
}

/// What an attempt may ask of the origin.
#[derive(Debug, Clone, PartialEq)]
enum Fill {
    /// An object, by way of a hub.
    Object(String, u64),
    /// A write, which goes before all fills.
    Write,
}

/// An object's part, for the shield.
fn part_of(ask: &Ask) -> u64 {
    larchway::mix(ask.object ^ larchway::mix(ask.part + 1))
}

/// What is to be written for an attempt.
pub struct Pull<'a> {
    /// The request.
    pub ask: &'a Ask,
    /// The name of the source of a fill.
    pub source: Option<&'a str>,
    /// How long the gateway will wait, in milliseconds.
    pub max: u64,
    /// The oldest copy that will do, in milliseconds; 0 for the class's fresh time.
    pub within: u64,
    /// The rank at which the object is kept.
    pub rank: u8,
    /// Whether to join a fill that runs.
    pub join: bool,
    /// Whether the source gives only what it holds.
    pub peek: bool,
    /// Whether to renew an ageing copy behind the answer.
    pub renew: bool,
    /// Where the request has been, this gateway among it, for stores that take it.
    pub via: Option<String>,
}

/// The core of a gateway.
pub struct Core {
    router: Router,
    /// The classes by slot: each request keeps its own to its end.
    pub classes: Book<ClassTerms>,
    /// What operators read of requests and attempts.
    pub tally: Tally,
    requests: Slots<Open>,
    calls: BTreeSet<String>,
    attempts: Slots<Attempt>,
    /// Of these, those of which no byte is written: what a purge or a drain may still hold back.
    unsent: BTreeSet<Key>,
    stores: BTreeMap<ServerId, (String, State)>,
    /// The origin's shield, if there is one; the hub of each parent, and which stores fetch from the origin.
    shield: Option<Shield>,
    hubs: BTreeMap<ServerId, String>,
    fetch: BTreeSet<ServerId>,
    fetching_kinds: [Option<usize>; 2],
    gateways: u64,
    /// The own name and epoch, where stores take trails.
    pub own_hop: Option<(String, u64)>,
    /// What fills by parents have shown.
    watch: Option<(InferFile, BTreeMap<ServerId, Inference>)>,
    /// Parents that have become suspect of a loop since these were last taken out.
    pub suspects: Vec<ServerId>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// Copies of the gateway's own, if it keeps any.
    pub copies: Option<Copies>,
    /// For how long a store may still hold what was purged.
    purge_done: Micros,
    /// Whether a list of stores is known.
    pub well: bool,
    /// When all must be answered, since the process ends then; none: each request in its own time.
    last_answer: Option<Micros>,
    /// What the sockets have to do, in order.
    pub orders: VecDeque<Order>,
    /// All deadlines, also those of connections.
    pub deadlines: Deadlines,
    /// Bytes of request bodies held.
    pub held: usize,
    /// The place of the load in stores' reports, where the fleet's view is kept, and what was reported since this was
    /// last taken out.
    pub load_field: Option<usize>,
    /// See `load_field`.
    pub reports: Vec<(ServerId, f64)>,
    /// What ended attempts showed of their stores, where somebody wants to know; taken out after each event.
    pub evidence: Option<Vec<(ServerId, Evidence)>>,
}

/// What the end of an attempt shows of its store.
fn shown(status: Status) -> Option<Evidence> {
    match status {
        Status::ConnectFailed => Some(Evidence::Refused),
        Status::Reset => Some(Evidence::Reset),
        Status::Timeout => Some(Evidence::Silent),
        Status::Cancelled | Status::NeverSent => None,
        _ => Some(Evidence::Answered),
    }
}

impl Core {
    /// A core that knows only its settings.
    pub fn new(seed: u64) -> Self {
        Core {
            router: Router::new(Settings::default(), seed),
            classes: Book::default(),
            tally: Tally::default(),
            requests: Slots::default(),
            calls: BTreeSet::new(),
            attempts: Slots::default(),
            unsent: BTreeSet::new(),
            stores: BTreeMap::new(),
            shield: None,
            hubs: BTreeMap::new(),
            fetch: BTreeSet::new(),
            fetching_kinds: [None; 2],
            gateways: 1,
            own_hop: None,
            watch: None,
            suspects: Vec::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            copies: None,
            purge_done: 0,
            well: false,
            last_answer: None,
            orders: VecDeque::new(),
            deadlines: Deadlines::default(),
            held: 0,
            load_field: None,
            reports: Vec::new(),
            evidence: None,
        }
    }

    /// Puts settings and classes in the place of those in force; requests, attempts and what was learned stay.
    /// Returns the settings with the classes in their slots.
    pub fn configure(
        &mut self,
        now: Micros,
        settings: Settings,
        classes: Vec<(String, ClassTerms)>,
    ) -> Settings {
        let heirs = self.classes.replace(classes);
        // Danger: a slot that has another class now would serve the old one's copies.
        if let Some(copies) = &mut self.copies {
            heirs.iter().for_each(|heir| match heir {
                Heir::New(to) | Heir::Of { to, .. } => copies.forget_class(*to),
            });
        }
        let heirs: Vec<_> = heirs
            .into_iter()
            .map(|heir| match heir {
                Heir::New(to) => (None, to),
                Heir::Of { from, to } => (Some(from), to),
            })
            .collect();
        self.tally.declare(self.classes.current().map(|(_, name, _)| name));
        let classes = self.classes.all().map(|(_, terms, _)| terms.class.clone()).collect();
        let settings = Settings { classes, ..settings };
        self.note(now, &settings);
        self.router.configure(settings.clone(), &heirs);
        settings
    }

    /// Puts settings of the same classes in force.
    pub fn adjust(&mut self, now: Micros, settings: Settings) {
        self.note(now, &settings);
        self.router.configure(settings, &[]);
    }

    fn note(&mut self, now: Micros, settings: &Settings) {
        self.fetching_kinds = [settings.parent_kind, settings.origin_kind];
        self.gateways = settings.sharers(now, None).ceil() as u64;
        self.purge_done = settings.purge_done;
        if let Some(shield) = &mut self.shield {
            shield.shared_by(self.gateways);
        }
    }

    /// Shields the origin, or ends that; `hubs`: of each parent. What a shield has learned stays while its terms do.
    pub fn shield_origin(&mut self, terms: Option<ShieldTerms>, hubs: BTreeMap<ServerId, String>) {
        self.hubs = hubs;
        if let Some((_, seen)) = &mut self.watch {
            // Parents that are gone leave nothing behind.
            seen.retain(|id, _| self.hubs.contains_key(id));
        }
        if self.shield.as_ref().map(Shield::terms) != terms {
            // Fills that are out by the old one are told to nobody: their ends find none.
            self.attempts.values_mut().for_each(|a| a.fill = None);
            let gateways = self.gateways;
            self.shield = terms.map(|terms| Shield::new(terms, gateways));
        }
    }

    /// Infers loops from what fills show, or ends that.
    pub fn infer_loops(&mut self, terms: Option<InferFile>) {
        if self.watch.as_ref().map(|w| &w.0) != terms.as_ref() {
            self.watch = terms.map(|terms| (terms, BTreeMap::new()));
        }
    }

    /// A fill by way of a parent has ended: a run of them that find no place or run out of time is what a loop shows.
    fn seen_fill(&mut self, now: Micros, source: ServerId, (status, note): (Status, Note), took: Micros) {
        let usual = self.shield.as_ref().and_then(Shield::usual).unwrap_or(100_000);
        let Some((terms, seen)) = &mut self.watch else { return };
        if !self.hubs.contains_key(&source) || matches!(status, Status::Cancelled | Status::NeverSent) {
            return;
        }
        // What the cache held says nothing of the parent.
        if status == Status::Ok && matches!(note, Note::Hit | Note::Stale) {
            return;
        }
        let shown = Shown {
            timed_out: status == Status::Timeout || note == Note::SourceLost,
            full: note == Note::SourceRefused,
            waited: took,
        };
        let parent = seen.entry(source).or_insert_with(|| Inference::new(terms.window as usize, terms.share));
        if parent.see(now, shown, usual, terms.hold_ms * 1000) {
            self.suspects.push(source);
        }
    }

    /// The origin's shield, if there is one.
    pub fn shield(&self) -> Option<&Shield> {
        self.shield.as_ref()
    }

    fn uncacheable(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|(_, terms)| terms.class.uncacheable)
    }

    /// What an attempt may ask of the origin: none where it asks nothing of it, an error where the shield turns it away.
    fn fill(&mut self, now: Micros, request: Key, get: &Get) -> Result<Option<Fill>, ()> {
        let fetches = get.source != get.server && !get.peek && self.fetch.contains(&get.source);
        let Some(ask) = self.requests.get(request).map(|r| &r.ask).filter(|_| fetches) else {
            return Ok(None);
        };
        let (write, part) = (self.uncacheable(ask.class), part_of(ask));
        let Some(shield) = &mut self.shield else { return Ok(None) };
        if write {
            shield.write(true);
            return Ok(Some(Fill::Write));
        }
        let hub = self.hubs.get(&get.source).cloned().unwrap_or_default();
        match shield.want(now, &hub, part, get.join) {
            Verdict::Go => Ok(Some(Fill::Object(hub, part))),
            Verdict::Join => Ok(None),
            Verdict::Full(_) | Verdict::Spaced(_) | Verdict::Barren(_) => Err(()),
        }
    }

    fn filled(&mut self, now: Micros, fill: Option<Fill>, (status, note): (Status, Note), took: Micros) {
        let (Some(fill), Some(shield)) = (fill, &mut self.shield) else { return };
        let (hub, part) = match fill {
            Fill::Write => return shield.write(false),
            Fill::Object(hub, part) => (hub, part),
        };
        let end = match (status, note) {
            (_, Note::OriginFailed) => FillEnd::Trouble,
            (Status::Ok, Note::FilledByOrigin) => FillEnd::Came,
            (Status::Ok, Note::Hit | Note::Stale | Note::Filled) => FillEnd::Unasked,
            (Status::Miss, _) => FillEnd::Nothing,
            // What ran out of time may have waited for the origin.
            (Status::Timeout, _) => FillEnd::Trouble,
            _ => FillEnd::GivenUp,
        };
        shield.ended(now, &hub, part, end, took);
    }

    /// What is learned, for the next process of this gateway.
    pub fn learned(&self, now: Micros) -> (Vec<String>, Learned) {
        let classes = self.classes.all().map(|(name, ..)| name.to_string()).collect();
        (classes, self.router.learned(now, HANDED))
    }

    /// Takes over what another process of this gateway has learned; classes go by their names.
    pub fn take_over(&mut self, classes: &[String], learned: Learned) {
        let places: Vec<_> = classes.iter().map(|name| self.classes.find(name)).collect();
        self.router.take_over(learned, &places);
    }

    /// The work sent to cold stores after this time.
    pub fn sent_after(&self, now: Micros, at: Micros) -> Vec<(ServerId, f64)> {
        self.router.sent_after(now, at)
    }

    /// Another process of this gateway has sent that work.
    pub fn sent_elsewhere(&mut self, now: Micros, sent: &[(ServerId, f64)]) {
        self.router.sent_elsewhere(now, sent);
    }

    /// Another gateway found that a store fails.
    pub fn suspect(&mut self, now: Micros, store: ServerId) {
        self.feed(now, Event::Suspected(store));
    }

    /// The stores that the module avoids now by its own choice.
    pub fn avoided(&self, now: Micros) -> impl Iterator<Item = ServerId> + '_ {
        self.router.avoided(now)
    }

    /// For how long a client may be told to stay away, where that long is wanted: as the settings of its class allow, or
    /// those in force where it has none.
    pub fn advice(&self, class: Option<usize>, wanted: Micros) -> Micros {
        let terms = class.and_then(|at| self.classes.get(at)).map(|(_, terms)| terms);
        let terms = terms.or_else(|| self.classes.current().next().map(|(_, _, terms)| terms));
        let limits = terms.and_then(|terms| terms.class.limits).unwrap_or_default();
        wanted.min(limits.max_retry_after)
    }

    /// A request that can be read was refused before it was taken in.
    pub fn turn_away(&mut self, class: usize) {
        self.tally.taken();
        self.ended(class, End::Dropped);
    }

    /// Ends a request for its client, once, and counts how: the ticket, unless it has ended before.
    fn end(&mut self, request: Key, end: End) -> Option<Ticket> {
        let open = self.requests.get_mut(request).filter(|r| !r.answered)?;
        open.answered = true;
        let (ticket, class) = (open.ticket, open.ask.class);
        self.ended(class, end);
        Some(ticket)
    }

    fn ended(&mut self, class: usize, end: End) {
        if let Some((name, _)) = self.classes.get(class) {
            self.tally.ended(name, end);
        }
    }

    /// How many requests have not ended, answered ones with attempts out among them.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// How many requests wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.requests.iter().filter(|(_, r)| !r.answered).count()
    }

    /// Takes a request in; its final answer comes as an order or by [`Core::outcome`]. One under the id of a
    /// request that has not ended is not taken: stores could not tell the two apart.
    pub fn request(&mut self, now: Micros, ticket: Ticket, ask: Ask) -> Option<Key> {
        if self.calls.contains(&ask.call) {
            return None;
        }
        let ttl = ask.ttl.saturating_sub((ask.ttl / MARGIN.2).clamp(MARGIN.1, MARGIN.0));
        let left = self.last_answer.map_or(Micros::MAX, |last| last.saturating_sub(now));
        let ttl = ttl.min(left);
        if let Some(found) = self.own_copy(now, &ask, ttl) {
            self.tally.taken();
            self.ended(ask.class, End::Passed);
            self.orders.push_back(Order::Held(ticket, found));
            return Some(Key(u64::MAX));
        }
        self.calls.insert(ask.call.clone());
        let (class, object, part, group, size_kb) = (ask.class, ask.object, ask.part, ask.group, ask.size_kb);
        let spares = |s: &Shield| !matches!(s.look(now, part_of(&ask), true), None | Some(Verdict::Join));
        let spared = self.shield.as_ref().is_some_and(spares) && !self.uncacheable(class);
        self.held += ask.body.len();
        self.tally.taken();
        self.classes.hold(class);
        let open = Open {
            ticket,
            ask,
            deadline: now + ttl,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            // Its own time already ends by then.
            cut: false,
            ran: None,
        };
        let key = self.requests.insert(open);
        self.deadlines.set(now + ttl, Due::Request(key));
        let request = Request { id: key.0, class, object, part, group, ttl, size_kb, spared };
        self.feed(now, Event::Request(request));
        Some(key)
    }

    /// The gateway's own copy that answers a request, if there is one. Writes and what is never kept have none.
    fn own_copy(&mut self, now: Micros, ask: &Ask, ttl: Micros) -> Option<Found> {
        let class = &self.classes.get(ask.class)?.1.class;
        let (copies, cacheable) = (self.copies.as_mut()?, !class.uncacheable);
        let id = Id { object: ask.object, part: ask.part, class: ask.class };
        let want = Want { fresh: class.fresh, aim: class.aim, ttl, mine: ask.mine.as_deref() };
        cacheable.then(|| copies.find(now, id, want)).flatten()
    }

    /// Keeps the bytes that an attempt was served, told to be given out at a time, if copies are kept.
    pub fn keep_copy(&mut self, now: Micros, key: Key, issued: Micros, tag: Option<&str>, bytes: &[u8]) {
        let request = self.attempts.get(key).and_then(|a| self.requests.get(a.request));
        let (Some(copies), Some(ask)) = (&mut self.copies, request.map(|r| &r.ask)) else { return };
        if self.classes.get(ask.class).is_some_and(|(_, terms)| !terms.class.uncacheable) {
            let id = Id { object: ask.object, part: ask.part, class: ask.class };
            let copy = Copy { tag: tag.map(str::to_string), issued, bytes: bytes.into() };
            copies.keep(now, id, ask.group, copy);
        }
    }

    /// The shares of objects' homes among parents have changed.
    pub fn homes(&mut self, now: Micros, homes: Homes) {
        self.feed(now, Event::Homes(Some(homes)));
    }

    /// The fleet's view says what stores shed.
    pub fn shed(&mut self, now: Micros, shares: Vec<(ServerId, f64)>) {
        self.feed(now, Event::Shed(shares));
    }

    /// The client has left: nothing is owed any more.
    pub fn gone(&mut self, now: Micros, request: Key) {
        if self.end(request, End::BadGateway).is_some() {
            self.feed(now, Event::Gone(request.0));
            self.drop_unsent(now, request);
        }
    }

    /// News of stores or a purge. An attempt that still waits for its connection was decided before it: one
    /// that the news concerns ends unsent, so that nothing goes to a store after word of its drain and no old
    /// copy is asked for after word of a purge.
    pub fn news(&mut self, now: Micros, news: &News) {
        let event = match *news {
            News::Roster { whole, ref stores } => {
                self.listed(whole, stores);
                let scope = if whole { Scope::Full } else { Scope::Changes };
                Event::Members(Members { scope, hosts: stores.iter().map(|s| s.host.clone()).collect() })
            }
            News::Recall { object, group, issued } => {
                let keep = self.remember_purges();
                self.copies.iter_mut().for_each(|c| c.purge(now, object, group, issued, keep));
                Event::Purged { age: now.saturating_sub(issued), group, object }
            }
            News::Other => return,
        };
        self.feed(now, event);
        let up = |id| self.stores.get(&id).is_some_and(|(_, state)| *state == State::Up);
        let void = |a: &Attempt| match *news {
            News::Recall { object, group, .. } => {
                self.requests.get(a.request).is_some_and(|r| match object {
                    Some(object) => r.ask.object == object,
                    None => r.ask.group == group,
                })
            }
            _ => !up(a.get.server) || !up(a.get.source),
        };
        let waits = |a: &Attempt| a.begun.is_none() && void(a);
        let concerned = |key: &Key| self.attempts.get(*key).is_some_and(waits);
        let late: Vec<Key> = self.unsent.iter().copied().filter(concerned).collect();
        for key in late {
            self.withdraw(now, key, Status::NeverSent);
        }
    }

    /// For how long copies of before a purge may still come from stores.
    fn remember_purges(&self) -> Micros {
        // An attempt that is out was decided before: what it brings may be that old for as long as it lasts.
        let longest = self.classes.all().map(|(_, terms, _)| terms.deadline).max().unwrap_or(0);
        2 * self.purge_done + longest
    }

    /// Events are missing, and may have been purges: copies of the gateway's own are void.
    pub fn void_copies(&mut self, now: Micros) {
        let keep = self.remember_purges();
        self.copies.iter_mut().for_each(|copies| copies.void_before(now, keep));
    }

    /// Purges up to now may have been missed: stores are asked for copies that are young enough.
    pub fn purges_missed(&mut self, now: Micros) {
        self.feed(now, Event::PurgesMissed);
    }

    fn listed(&mut self, whole: bool, stores: &[Store]) {
        if whole {
            self.well = true;
            self.stores.clear();
            self.fetch.clear();
        }
        // One that is gone is not kept: over weeks of replaced stores the table would grow without end.
        for store in stores {
            if store.host.state == State::Removed {
                self.stores.remove(&store.host.server);
                self.fetch.remove(&store.host.server);
                continue;
            }
            if self.fetching_kinds.contains(&Some(store.host.kind)) {
                self.fetch.insert(store.host.server);
            }
            self.stores.insert(store.host.server, (store.name.clone(), store.host.state));
        }
    }

    /// A deadline of a request, an attempt or the module has come.
    pub fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Module(mark) => self.feed(now, Event::Timer(mark)),
            Due::Attempt(key) => self.withdraw(now, key, Status::Timeout),
            Due::Request(key) => {
                let Some(open) = self.requests.get(key).filter(|r| !r.answered) else { return };
                let (cut, attempts) = (open.cut, open.attempts.clone());
                // The module knows nothing of the process's end, and would begin another attempt.
                if cut {
                    self.fail_late(now, key);
                }
                for attempt in attempts {
                    self.withdraw(now, attempt, Status::Timeout);
                }
                self.fail_late(now, key);
            }
            _ => {}
        }
    }

    /// Guards the promise of one final answer even where the module has none to give.
    fn fail_late(&mut self, now: Micros, request: Key) {
        if let Some(ticket) = self.end(request, End::BadGateway) {
            self.orders.push_back(Order::Failed(ticket, true));
            self.feed(now, Event::Gone(request.0));
        }
    }

    /// All that is open and all that comes must be answered by then, since the process ends.
    pub fn answer_all_by(&mut self, now: Micros, last: Micros) {
        self.last_answer = Some(last);
        let late = |r: &Open| !r.answered && r.deadline > last;
        let cut: Vec<Key> = self.requests.iter().filter(|(_, r)| late(r)).map(|(key, _)| key).collect();
        for key in cut {
            let Some(open) = self.requests.get_mut(key) else { continue };
            self.deadlines.clear(open.deadline, Due::Request(key));
            (open.deadline, open.cut) = (last.max(now), true);
            self.deadlines.set(open.deadline, Due::Request(key));
        }
    }

    /// Whether the first byte of an attempt may be written now. Danger: it waited for its connection, and meanwhile
    /// its client may have left or been answered, or the time may be over in which a repeat of it is dropped.
    pub fn may_begin(&mut self, now: Micros, key: Key) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        let fit = self.requests.get(attempt.request).is_some_and(|r| !r.answered && !self.lapsed(now, r));
        if !fit {
            self.withdraw(now, key, Status::NeverSent);
        }
        fit
    }

    /// Whether repeats of a request under its key would no longer be dropped, counted from the first attempt that has
    /// run or may be running. The module decided by the same rule, but before the wait.
    fn lapsed(&self, now: Micros, open: &Open) -> bool {
        let Some((_, ClassTerms { class, .. })) = self.classes.get(open.ask.class) else { return false };
        let begun = open.attempts.iter().filter_map(|key| self.attempts.get(*key)?.begun);
        let first = begun.chain(open.ran).min();
        class.effect == Effect::Keyed && first.is_some_and(|at| now + ON_ITS_WAY >= at + class.window)
    }

    /// The first byte of an attempt is written.
    pub fn begin(&mut self, now: Micros, key: Key) {
        self.unsent.remove(&key);
        self.attempts.get_mut(key).into_iter().for_each(|a| a.begun = Some(now));
    }

    /// Whether an attempt is one of a request that may not simply be repeated.
    pub fn writes(&self, key: Key) -> bool {
        let class = self.request_of(key).and_then(|r| self.classes.get(r.ask.class));
        class.is_some_and(|(_, terms)| terms.class.effect != Effect::Pure)
    }

    /// Ends the attempts of a request that has ended of which no byte is written, also where those that are out must
    /// not be withdrawn: nothing begins any more for its client.
    fn drop_unsent(&mut self, now: Micros, request: Key) {
        let Some(open) = self.requests.get(request) else { return };
        let unsent = |key: &Key| self.attempts.get(*key).is_some_and(|a| a.begun.is_none());
        let unsent: Vec<Key> = open.attempts.iter().copied().filter(unsent).collect();
        unsent.into_iter().for_each(|key| self.withdraw(now, key, Status::NeverSent));
    }

    /// The attempt, if it has not ended.
    pub fn attempt(&mut self, key: Key) -> Option<&mut Attempt> {
        self.attempts.get_mut(key)
    }

    /// The store that an attempt goes to, and the id it goes under.
    pub fn target(&self, key: Key) -> Option<(ServerId, &str)> {
        let attempt = self.attempts.get(key)?;
        Some((attempt.get.server, &self.requests.get(attempt.request)?.ask.call))
    }

    /// The connection of the client for whom an attempt is made.
    pub fn client(&self, key: Key) -> Option<Key> {
        self.request_of(key).filter(|r| !r.answered).map(|r| r.ticket.client)
    }

    /// The request that an attempt is made for.
    fn request_of(&self, key: Key) -> Option<&Open> {
        self.attempts.get(key).and_then(|a| self.requests.get(a.request))
    }

    /// Whether the store of an attempt was told of a copy that the client holds.
    pub fn offered_copy(&self, key: Key) -> bool {
        self.request_of(key).is_some_and(|r| r.ask.mine.is_some())
    }

    /// Whether an attempt that found its connection broken before a byte was written may try another one.
    pub fn again(&mut self, key: Key) -> bool {
        self.attempts.get_mut(key).is_some_and(|a| !std::mem::replace(&mut a.moved, true))
    }

    /// What is to be written for an attempt now.
    pub fn pull(&self, now: Micros, key: Key) -> Option<Pull<'_>> {
        let attempt = self.attempts.get(key)?;
        let open = self.requests.get(attempt.request)?;
        let get = &attempt.get;
        let stop = get.stop_at.unwrap_or(open.deadline).min(open.deadline);
        let source = (get.source != get.server).then(|| self.stores.get(&get.source)).flatten();
        let fresh = self.classes.get(open.ask.class).map_or(0, |(_, terms)| terms.class.fresh);
        // A bound below the fresh time stems from a purge: it moves on with the clock while an attempt waits.
        let waited = now.saturating_sub(attempt.at);
        let within = match get.max_age {
            None => 0,
            Some(age) if fresh == 0 => (age + waited) / 1000,
            Some(age) if age < fresh => (age + waited).min(fresh) / 1000,
            Some(age) => age / 1000,
        };
        Some(Pull {
            ask: &open.ask,
            source: source.map(|(name, _)| name.as_str()),
            max: (stop.saturating_sub(now) / 1000).max(1),
            // 0 would ask for any fresh copy, however old.
            within: if get.max_age.is_some() { within.max(1) } else { 0 },
            rank: get.rank,
            join: get.join,
            peek: get.peek,
            renew: get.renew,
            via: self.own_hop.as_ref().map(|(name, epoch)| loops::append(&open.ask.via, name, *epoch)),
        })
    }

    /// An attempt has ended without a word from its store.
    pub fn outcome(&mut self, now: Micros, key: Key, status: Status, note: Note) -> Option<Ticket> {
        self.answered(now, key, status, note, 0, Vec::new())
    }

    /// A store has reported its load, by the names of the settings.
    pub fn reported(&mut self, store: ServerId, load: &[f64]) {
        if let Some(told) = self.load_field.and_then(|at| load.get(at)) {
            self.reports.push((store, *told));
        }
    }

    /// An attempt has ended; `waited` is the wait for the source, as told. If that is the final answer, whoever waits
    /// for the bytes is returned.
    pub fn answered(
        &mut self,
        now: Micros,
        key: Key,
        status: Status,
        note: Note,
        waited: Micros,
        load: Vec<f64>,
    ) -> Option<Ticket> {
        let attempt = self.attempts.remove(key)?;
        self.unsent.remove(&key);
        if let Some(at) = attempt.get.stop_at {
            self.deadlines.clear(at, Due::Attempt(key));
        }
        if let (Some(seen), Some(evidence)) = (&mut self.evidence, shown(status)) {
            seen.push((attempt.get.server, evidence));
        }
        self.reported(attempt.get.server, &load);
        let latency = now.saturating_sub(attempt.at);
        let took = if waited > 0 { waited } else { latency };
        self.filled(now, attempt.fill, (status, note), took);
        if attempt.get.source != attempt.get.server && !attempt.get.peek {
            self.seen_fill(now, attempt.get.source, (status, note), took);
        }
        let open = self.requests.get_mut(attempt.request)?;
        open.out -= 1;
        if !status.never_ran() {
            open.ran = open.ran.into_iter().chain(attempt.begun).min();
        }
        let served = if status == Status::Ok { self.end(attempt.request, End::Passed) } else { None };
        let closed = self.requests.get(attempt.request)?.answered;
        let outcome = Outcome {
            id: attempt.request.0,
            attempt: attempt.number,
            status,
            latency,
            closed,
            note,
            waited,
            load,
        };
        self.feed(now, Event::Outcome(outcome));
        if served.is_some() {
            self.drop_unsent(now, attempt.request);
        }
        self.sweep(attempt.request);
        served
    }

    /// Ends an attempt from this side; one that was never written never ran.
    fn withdraw(&mut self, now: Micros, key: Key, status: Status) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let unsent = attempt.begun.is_none() && status != Status::Timeout;
        if let (Some(carrier), Some(open)) = (attempt.carrier, self.requests.get(attempt.request)) {
            self.orders.push_back(Order::Kill { carrier, attempt: key, call: open.ask.call.clone() });
        }
        self.outcome(now, key, if unsent { Status::NeverSent } else { status }, Note::None);
    }

    fn sweep(&mut self, key: Key) {
        if self.requests.get(key).is_some_and(|r| r.answered && r.out == 0) {
            if let Some(open) = self.requests.remove(key) {
                self.held -= open.ask.body.len();
                self.calls.remove(&open.ask.call);
                self.classes.release(open.ask.class);
                self.deadlines.clear(open.deadline, Due::Request(key));
            }
        }
    }

    fn feed(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Get(get) => {
                let request = Key(get.id);
                let fill = self.fill(now, request, &get);
                let Some(open) = self.requests.get_mut(request) else { return };
                let number = open.attempts.len() as u64;
                let stop_at = get.stop_at.map(|at| at.min(open.deadline));
                let Ok(fill) = fill else {
                    // Decided before the shield's last word: it never ran, and the module decides again at once.
                    open.attempts.push(Key(u64::MAX));
                    let (status, note) = (Status::Full, Note::NoFillSlot);
                    let closed = open.answered;
                    let (id, attempt, load) = (request.0, number, Vec::new());
                    let end = Outcome { id, attempt, status, latency: 0, closed, note, waited: 0, load };
                    return self.events.push_back(Event::Outcome(end));
                };
                let get = Get { stop_at, ..get };
                let key = self.attempts.insert(Attempt {
                    request,
                    number,
                    get,
                    at: now,
                    begun: None,
                    carrier: None,
                    moved: false,
                    fill,
                });
                self.unsent.insert(key);
                open.attempts.push(key);
                open.out += 1;
                if let Some(at) = stop_at {
                    self.deadlines.set(at, Due::Attempt(key));
                }
                self.orders.push_back(Order::Send(key));
            }
            Action::Refuse { id, retry_after } => {
                self.finish(Key(id), End::Dropped, |t| Order::Refused(t, retry_after));
            }
            Action::Fail(id) => {
                let late = self.requests.get(Key(id)).is_some_and(|r| now >= r.deadline);
                self.finish(Key(id), End::BadGateway, |t| Order::Failed(t, late));
            }
            Action::Cancel { id, attempt } => {
                let open = self.requests.get(Key(id));
                let Some(key) = open.and_then(|r| r.attempts.get(attempt as usize).copied()) else { return };
                // Its outcome is queued behind the actions that are being carried out.
                self.cancel(now, key);
            }
            Action::Timer { at, mark } => self.deadlines.set(at, Due::Module(mark)),
            // The bulletin brings news unasked.
            Action::Watch => {}
        }
    }

    fn cancel(&mut self, now: Micros, key: Key) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        self.unsent.remove(&key);
        if let Some(at) = attempt.get.stop_at {
            self.deadlines.clear(at, Due::Attempt(key));
        }
        let took = now.saturating_sub(attempt.at);
        self.filled(now, attempt.fill, (Status::Cancelled, Note::None), took);
        let Some(open) = self.requests.get_mut(attempt.request) else { return };
        open.out -= 1;
        open.ran = open.ran.into_iter().chain(attempt.begun).min();
        if let Some(carrier) = attempt.carrier {
            self.orders.push_back(Order::Kill { carrier, attempt: key, call: open.ask.call.clone() });
        }
        self.events.push_back(Event::Outcome(Outcome {
            id: attempt.request.0,
            attempt: attempt.number,
            status: if attempt.begun.is_some() { Status::Cancelled } else { Status::NeverSent },
            latency: now.saturating_sub(attempt.at),
            closed: open.answered,
            note: Note::None,
            waited: 0,
            load: Vec::new(),
        }));
        self.sweep(attempt.request);
    }

    fn finish(&mut self, key: Key, end: End, order: impl FnOnce(Ticket) -> Order) {
        let Some(ticket) = self.end(key, end) else { return };
        self.orders.push_back(order(ticket));
        self.sweep(key);
    }
}

#[cfg(test)]
mod tests;
