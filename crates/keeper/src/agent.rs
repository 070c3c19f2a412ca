//! What the gateway wants of a session: a node of its own, and mirrors of the children of some paths.
//!
//! On each connection a lasting recursive watch is set on every mirrored path and the path is read behind it, in
//! pipelined pieces. Lasting watches do not tell what changed while there was no connection (`setWatches2` sets
//! them, but replays nothing), so the reading is always done again. A server that answers 'unimplemented' (before
//! release 3.6) gets one-time watches and the older calls.
//!
//! * A1 A child is told as gone only by the service's own word: a deletion, or a list that leaves it out.
//! * A2 Loss of contact tells nothing of children.
//! * A3 At most one request a child is queued, and at most the session's window is on its way.
//! * A5 A server is made to catch up as often as the plan says, by `sync`, one at a time.
//! * A6 A mirror is told as caught up, by the time at which a `sync` was asked for, when that is answered and nothing of
//!   the mirror is being read.
//! * A4 Once a reading is whole, the mirror equals the service's state at the time of the reading or later.
use crate::proto::{Acl, Code, Event, EventKind, Mode, Request, Response, Stat, WatchMode};
use crate::session::{self, Session};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most requests on their way, and so most answers a server holds for this session.
const WINDOW: usize = 256;
/// Most children of one path; those beyond are left out, and the driver is told.
pub const MOST_CHILDREN: usize = 100_000;

/// The own node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The path it hangs below; made if it is not there.
    pub base: String,
    /// Its name.
    pub name: String,
    /// Its data.
    pub data: Vec<u8>,
}

/// What an agent is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// How many servers there are.
    pub servers: usize,
    /// The session's time-out to ask for.
    pub timeout: Micros,
    /// Credentials: scheme and secret.
    pub credentials: Vec<(String, Vec<u8>)>,
    /// The own node, if there is one.
    pub register: Option<Registration>,
    /// The paths whose children are mirrored.
    pub mirrors: Vec<String>,
    /// How often the server is made to catch up with the ensemble, while paths are mirrored; 0: never. A server that
    /// lies behind tells of a departure late, and nothing it says shows that.
    pub sync: Micros,
}

/// What an agent finds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// The session is granted; whether it is a new one; its time-out.
    Granted {
        /// Its id.
        session: i64,
        /// Whether nothing of an earlier one stands.
        fresh: bool,
        /// Its time-out.
        timeout: Micros,
    },
    /// Contact is lost, for this reason. Nothing is known of the nodes by that.
    Suspended(String),
    /// The service has ended the session, and with it the own node.
    Expired,
    /// The service was put back to an older state.
    Rewound,
    /// The own node stands.
    Registered(String),
    /// The own node of an earlier session stands; its end is waited for.
    Leftover(String),
    /// Something was refused: what it was, and why.
    Refused(String, Code),
    /// A child is there, new or changed.
    Child {
        /// Which mirror.
        mirror: usize,
        /// Its name.
        name: String,
        /// Its data.
        data: Vec<u8>,
        /// Its figures.
        stat: Stat,
    },
    /// A child is gone.
    Gone {
        /// Which mirror.
        mirror: usize,
        /// Its name.
        name: String,
    },
    /// A mirror has been read as a whole, at this zxid.
    Whole {
        /// Which mirror.
        mirror: usize,
        /// The zxid of its list.
        zxid: i64,
        /// How many children it has.
        children: usize,
    },
    /// The path of a mirror is not there.
    NoPath {
        /// Which mirror.
        mirror: usize,
    },
    /// A mirror has more children than are taken in.
    Crowded {
        /// Which mirror.
        mirror: usize,
    },
    /// A mirror holds at least what stood when this server was asked to catch up, at this time.
    CaughtUp {
        /// Which mirror.
        mirror: usize,
        /// When it was asked.
        asked: Micros,
    },
    /// The session was closed in good order.
    Closed,
}

/// What is to be done, and what was found.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection to the server at this place.
    Connect(usize),
    /// Write this.
    Write(Vec<u8>),
    /// Close the connection; the agent knows of it.
    Disconnect(String),
    /// Something was found.
    Fact(Fact),
}

/// What happens to an agent.
#[derive(Debug)]
pub enum Input<'a> {
    /// A time named by [`Agent::next_due`] has come.
    Tick,
    /// The connection has come up.
    Up,
    /// Bytes came in on it.
    Bytes(&'a [u8]),
    /// It is lost, or could not be opened.
    Lost(&'a str),
    /// The own node's data are to be these.
    Data(Vec<u8>),
    /// The session is to end.
    Close,
}

#[derive(Debug, Clone, PartialEq)]
enum Asked {
    Part(String),
    Register,
    Own,
    OwnData,
    Sync,
    Watch(usize),
    Path(usize),
    List(usize),
    Child(usize, String),
}

#[derive(Debug, Default)]
struct Mirror {
    path: String,
    /// Whether the server knows lasting watches; found anew on each connection.
    lasting: bool,
    /// Children told of, at most [`MOST_CHILDREN`].
    known: BTreeSet<String>,
    /// Children to be read, each once.
    queue: VecDeque<String>,
    queued: BTreeSet<String>,
    /// Children being read.
    reading: BTreeMap<String, u64>,
    /// The zxid of the list whose children are being read.
    listed: Option<i64>,
    /// Whether a list is on its way, and whether another must follow it.
    listing: bool,
    again: bool,
    /// Whether all children are to be read, since the connection is new and nothing is watched on it.
    anew: bool,
}

impl Mirror {
    /// Nothing that was on its way comes any more.
    fn break_off(&mut self) {
        self.queue.clear();
        self.queued.clear();
        self.reading.clear();
        (self.listed, self.listing, self.again) = (None, false, false);
    }

    /// Whether no child is being read, or is to be.
    fn idle(&self) -> bool {
        self.queue.is_empty() && self.reading.is_empty()
    }

    fn enqueue(&mut self, name: &str) {
        if self.queued.insert(name.to_string()) {
            self.queue.push_back(name.to_string());
        }
    }

    /// The name of the child that this path is, if it is one.
    fn child<'a>(&self, path: &'a str) -> Option<&'a str> {
        let below = path.strip_prefix(&self.path)?.strip_prefix('/')?;
        (!below.is_empty() && !below.contains('/')).then_some(below)
    }
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    session: Session,
    register: Option<Registration>,
    registered: bool,
    mirrors: Vec<Mirror>,
    /// What was asked, by token; at most the session's window.
    asked: BTreeMap<u64, Asked>,
    token: u64,
    sync: Micros,
    /// When the server is to catch up next; none while it is asked to, or if it can't.
    sync_due: Option<Micros>,
    /// When it was last asked to.
    sync_asked: Micros,
    /// Requests that wait for room, at most the parts of the own path and a handful a mirror.
    waiting: VecDeque<(Asked, Request)>,
    acl: Vec<Acl>,
}

impl Agent {
    /// An agent that has not begun.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let acl = if plan.credentials.is_empty() { Acl::open() } else { Acl::own() };
        let held = session::Plan {
            servers: plan.servers,
            timeout: plan.timeout,
            credentials: plan.credentials,
            window: WINDOW,
        };
        Agent {
            session: Session::new(held, seed),
            register: plan.register,
            registered: false,
            mirrors: plan.mirrors.into_iter().map(|path| Mirror { path, ..Mirror::default() }).collect(),
            asked: BTreeMap::new(),
            token: 0,
            sync: plan.sync,
            sync_due: None,
            sync_asked: 0,
            waiting: VecDeque::new(),
            acl,
        }
    }

    /// The session.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Whether the own node is known to stand.
    pub fn registered(&self) -> bool {
        self.registered
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        let sync = self.sync_due.filter(|_| self.session.live());
        self.session.next_due().into_iter().chain(sync).min()
    }

    /// Takes in what happened.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        let mut told = Vec::new();
        let input = match input {
            Input::Tick => session::Input::Tick,
            Input::Up => session::Input::Up,
            Input::Bytes(bytes) => session::Input::Bytes(bytes),
            Input::Lost(why) => session::Input::Lost(why),
            Input::Close => session::Input::Close,
            Input::Data(data) => {
                self.set_data(data);
                return self.pump(now, out);
            }
        };
        self.session.handle(now, input, &mut told);
        for output in told {
            self.told(now, output, out);
        }
        if self.session.live() && self.sync_due.is_some_and(|due| due <= now) {
            self.catch_up();
        }
        self.pump(now, out);
    }

    fn catch_up(&mut self) {
        self.sync_due = None;
        if let Some(mirror) = self.mirrors.first() {
            self.waiting.push_back((Asked::Sync, Request::Sync(mirror.path.clone())));
        }
    }

    fn set_data(&mut self, data: Vec<u8>) {
        let Some(own) = &mut self.register else { return };
        if own.data != data {
            own.data = data.clone();
            if self.registered {
                let path = format!("{}/{}", own.base, own.name);
                self.waiting.push_back((Asked::OwnData, Request::SetData(path, data, -1)));
            }
        }
    }

    fn told(&mut self, now: Micros, output: session::Output, out: &mut Vec<Output>) {
        use session::Output as S;
        let fact = |fact| Output::Fact(fact);
        match output {
            S::Connect(server) => out.push(Output::Connect(server)),
            S::Write(bytes) => out.push(Output::Write(bytes)),
            S::Disconnect(why) => out.push(Output::Disconnect(why)),
            S::Granted { session, fresh, timeout } => {
                out.push(fact(Fact::Granted { session, fresh, timeout }));
                self.begin(fresh);
            }
            S::Suspended(why) => {
                self.break_off();
                out.push(fact(Fact::Suspended(why)));
            }
            S::Expired => {
                self.registered = false;
                out.push(fact(Fact::Expired));
            }
            S::Rewound => out.push(fact(Fact::Rewound)),
            S::Denied => out.push(fact(Fact::Refused("credentials".into(), Code::AuthFailed))),
            S::Closed => out.push(fact(Fact::Closed)),
            S::Event(event) => self.event(&event, out),
            S::Answer { token, zxid, body } => {
                if let Some(asked) = self.asked.remove(&token) {
                    self.answer(now, asked, token, zxid, body, out);
                }
            }
            // The next connection asks again for all that is wanted.
            S::Dropped(token) | S::Busy(token) => drop(self.asked.remove(&token)),
        }
    }

    fn break_off(&mut self) {
        self.asked.clear();
        self.sync_due = None;
        self.waiting.clear();
        self.mirrors.iter_mut().for_each(Mirror::break_off);
    }

    fn begin(&mut self, fresh: bool) {
        self.break_off();
        if let Some(own) = &self.register {
            if fresh {
                self.registered = false;
                let base = &own.base;
                for (end, _) in base.match_indices('/').skip(1).chain([(base.len(), "")]) {
                    let part = base[..end].to_string();
                    let request = self.create(&part, Vec::new(), Mode::Persistent);
                    self.waiting.push_back((Asked::Part(part), request));
                }
                self.register();
            } else {
                self.look_at_own();
            }
        }
        if self.sync > 0 {
            self.catch_up();
        }
        for at in 0..self.mirrors.len() {
            let mirror = &mut self.mirrors[at];
            (mirror.lasting, mirror.anew) = (true, true);
            let watch = Request::AddWatch(mirror.path.clone(), WatchMode::Recursive);
            self.waiting.push_back((Asked::Watch(at), watch));
        }
    }

    fn create(&self, path: &str, data: Vec<u8>, mode: Mode) -> Request {
        // Parts of the path are shared with other instances; only the own node can be kept for the owner.
        let acl = if mode.ephemeral() { self.acl.clone() } else { Acl::open() };
        Request::Create { path: path.to_string(), data, acl, mode, stat: false }
    }

    fn own(&self) -> Option<String> {
        self.register.as_ref().map(|own| format!("{}/{}", own.base, own.name))
    }

    fn register(&mut self) {
        let (Some(path), Some(own)) = (self.own(), &self.register) else { return };
        let request = self.create(&path, own.data.clone(), Mode::Ephemeral);
        self.waiting.push_back((Asked::Register, request));
    }

    fn look_at_own(&mut self) {
        if let Some(path) = self.own() {
            self.waiting.push_back((Asked::Own, Request::Exists(path, true)));
        }
    }

    fn list(&mut self, at: usize) {
        let mirror = &mut self.mirrors[at];
        if mirror.listing {
            mirror.again = true;
            return;
        }
        mirror.listing = true;
        let path = mirror.path.clone();
        // Servers old enough to know no lasting watches get the old calls throughout.
        let request = if mirror.lasting {
            Request::GetChildren2(path, false)
        } else {
            Request::GetChildren(path, true)
        };
        self.waiting.push_back((Asked::List(at), request));
    }

    /// Sends what waits, as far as the window goes.
    fn pump(&mut self, now: Micros, out: &mut Vec<Output>) {
        while self.session.room() > 0 {
            let next = self.waiting.pop_front().or_else(|| self.next_child());
            let Some((asked, request)) = next else { return };
            self.token += 1;
            if let Asked::Child(at, name) = &asked {
                self.mirrors[*at].reading.insert(name.clone(), self.token);
            }
            if asked == Asked::Sync {
                self.sync_asked = now;
            }
            self.asked.insert(self.token, asked);
            let mut told = Vec::new();
            self.session.handle(now, session::Input::Ask(self.token, request), &mut told);
            for output in told {
                self.told(now, output, out);
            }
        }
    }

    fn next_child(&mut self) -> Option<(Asked, Request)> {
        for (at, mirror) in self.mirrors.iter_mut().enumerate() {
            if let Some(name) = mirror.queue.pop_front() {
                mirror.queued.remove(&name);
                let request = Request::GetData(format!("{}/{name}", mirror.path), !mirror.lasting);
                return Some((Asked::Child(at, name), request));
            }
        }
        None
    }

    fn answer(
        &mut self,
        now: Micros,
        asked: Asked,
        token: u64,
        zxid: i64,
        body: Result<Response, Code>,
        out: &mut Vec<Output>,
    ) {
        let fact = |fact| Output::Fact(fact);
        match (asked, body) {
            (Asked::Part(_), Ok(_) | Err(Code::NodeExists)) => {}
            (Asked::Part(part), Err(code)) => out.push(fact(Fact::Refused(part, code))),
            (Asked::Register, Ok(_)) => {
                self.registered = true;
                out.push(fact(Fact::Registered(self.own().unwrap_or_default())));
            }
            // The node of this instance's life before a kill stands until its session lapses.
            (Asked::Register, Err(Code::NodeExists)) => self.look_at_own(),
            (Asked::Register, Err(code)) => {
                out.push(fact(Fact::Refused(self.own().unwrap_or_default(), code)));
            }
            (Asked::Own, Ok(Response::Stat(stat))) if stat.owner == self.session.id() => {
                if !std::mem::replace(&mut self.registered, true) {
                    out.push(fact(Fact::Registered(self.own().unwrap_or_default())));
                }
            }
            (Asked::Own, Ok(_)) => out.push(fact(Fact::Leftover(self.own().unwrap_or_default()))),
            (Asked::Own, Err(Code::NoNode)) => self.register(),
            (Asked::Own | Asked::OwnData, Err(code)) => {
                out.push(fact(Fact::Refused(self.own().unwrap_or_default(), code)));
            }
            (Asked::OwnData, Ok(_)) => {}
            (Asked::Sync, Ok(_)) => {
                self.sync_due = Some(now + self.sync);
                // A6: all that stood then was told before this answer; what is still being read of it counts as not known.
                let asked = self.sync_asked;
                let read = |m: &Mirror| !m.listing && m.listed.is_none() && !m.anew && m.idle();
                let caught = (0..self.mirrors.len()).filter(|at| read(&self.mirrors[*at]));
                out.extend(caught.map(|mirror| fact(Fact::CaughtUp { mirror, asked })));
            }
            // One that knows no sync is not asked again on this connection.
            (Asked::Sync, Err(_)) => {}
            (Asked::Watch(at), Ok(_)) => self.list(at),
            (Asked::Watch(at), Err(code)) => {
                if code != Code::Unimplemented {
                    out.push(fact(Fact::Refused(self.mirrors[at].path.clone(), code)));
                }
                self.mirrors[at].lasting = false;
                self.list(at);
            }
            (Asked::List(at), Ok(Response::Children(names, _))) => self.listed(at, zxid, names, out),
            (Asked::List(at), Err(Code::NoNode)) => {
                self.mirrors[at].listing = false;
                let mirror = &self.mirrors[at];
                let (lasting, path) = (mirror.lasting, mirror.path.clone());
                self.empty(at, out);
                if !lasting {
                    self.waiting.push_back((Asked::Path(at), Request::Exists(path, true)));
                }
                if std::mem::take(&mut self.mirrors[at].again) {
                    self.list(at);
                }
            }
            (Asked::List(at), Err(code)) => {
                self.mirrors[at].listing = false;
                out.push(fact(Fact::Refused(self.mirrors[at].path.clone(), code)));
            }
            // It was made between the two requests.
            (Asked::Path(at), Ok(_)) => self.list(at),
            (Asked::Path(_), Err(_)) => {}
            (Asked::Child(at, name), body) => {
                let mirror = &mut self.mirrors[at];
                // What was asked before a later change or the child's end says nothing of it any more.
                if mirror.reading.get(&name) != Some(&token) {
                    return;
                }
                mirror.reading.remove(&name);
                match body {
                    Ok(Response::Data(data, stat)) => {
                        if mirror.known.len() < MOST_CHILDREN || mirror.known.contains(&name) {
                            mirror.known.insert(name.clone());
                            out.push(fact(Fact::Child { mirror: at, name, data, stat }));
                        } else {
                            out.push(fact(Fact::Crowded { mirror: at }));
                        }
                    }
                    Err(Code::NoNode) => {
                        if mirror.known.remove(&name) {
                            out.push(fact(Fact::Gone { mirror: at, name }));
                        }
                    }
                    Err(code) => out.push(fact(Fact::Refused(format!("{}/{name}", mirror.path), code))),
                    Ok(_) => {}
                }
                self.whole(at, out);
            }
            (Asked::List(at), Ok(_)) => self.mirrors[at].listing = false,
        }
    }

    fn listed(&mut self, at: usize, zxid: i64, names: Vec<String>, out: &mut Vec<Output>) {
        let mirror = &mut self.mirrors[at];
        mirror.listing = false;
        mirror.listed = Some(zxid);
        if names.len() > MOST_CHILDREN {
            out.push(Output::Fact(Fact::Crowded { mirror: at }));
        }
        let names: BTreeSet<String> = names.into_iter().take(MOST_CHILDREN).collect();
        for name in mirror.known.difference(&names).cloned().collect::<Vec<_>>() {
            mirror.known.remove(&name);
            out.push(Output::Fact(Fact::Gone { mirror: at, name }));
        }
        // A child that is known and was read on this connection is watched still.
        let all = std::mem::take(&mut mirror.anew);
        for name in names {
            if all || !mirror.known.contains(&name) {
                mirror.enqueue(&name);
            }
        }
        if std::mem::take(&mut mirror.again) {
            self.list(at);
        }
        self.whole(at, out);
    }

    fn whole(&mut self, at: usize, out: &mut Vec<Output>) {
        let mirror = &mut self.mirrors[at];
        if mirror.listing || !mirror.idle() {
            return;
        }
        if let Some(zxid) = mirror.listed.take() {
            out.push(Output::Fact(Fact::Whole { mirror: at, zxid, children: mirror.known.len() }));
        }
    }

    /// The path itself is not there.
    fn empty(&mut self, at: usize, out: &mut Vec<Output>) {
        let mirror = &mut self.mirrors[at];
        mirror.queue.clear();
        mirror.queued.clear();
        mirror.listed = None;
        for name in std::mem::take(&mut mirror.known) {
            out.push(Output::Fact(Fact::Gone { mirror: at, name }));
        }
        out.push(Output::Fact(Fact::NoPath { mirror: at }));
    }

    fn event(&mut self, event: &Event, out: &mut Vec<Output>) {
        if event.kind == EventKind::Session {
            return;
        }
        if self.own().as_deref() == Some(&event.path) && event.kind == EventKind::Deleted {
            self.registered = false;
            self.register();
        }
        for at in 0..self.mirrors.len() {
            let mirror = &mut self.mirrors[at];
            let lasting = mirror.lasting;
            if mirror.path == event.path {
                match event.kind {
                    EventKind::Created | EventKind::ChildrenChanged => self.list(at),
                    EventKind::Deleted => {
                        self.empty(at, out);
                        if !lasting {
                            let path = self.mirrors[at].path.clone();
                            self.waiting.push_back((Asked::Path(at), Request::Exists(path, true)));
                        }
                    }
                    // The watch is gone: all must be asked for again.
                    EventKind::PersistentWatchRemoved | EventKind::ChildWatchRemoved => {
                        let path = self.mirrors[at].path.clone();
                        let watch = Request::AddWatch(path, WatchMode::Recursive);
                        self.waiting.push_back((Asked::Watch(at), watch));
                    }
                    _ => {}
                }
            } else if let Some(name) = mirror.child(&event.path).map(String::from) {
                match event.kind {
                    EventKind::Created | EventKind::DataChanged | EventKind::DataWatchRemoved => {
                        mirror.enqueue(&name);
                    }
                    EventKind::Deleted => {
                        if mirror.queued.remove(&name) {
                            mirror.queue.retain(|n| *n != name);
                        }
                        mirror.reading.remove(&name);
                        if mirror.known.remove(&name) {
                            out.push(Output::Fact(Fact::Gone { mirror: at, name }));
                        }
                        self.whole(at, out);
                    }
                    _ => {}
                }
            }
        }
    }
}
