//! The loop: connections in numbered slots, their buffers, and one poller.
use crate::admin::{self, Admin, Turn};
use crate::bulletin::{self, Store};
use crate::clock::now;
use crate::config::{Config, Ensemble, Files, Front, Loaded, Shape};
use crate::connection::{Buffer, Conn, Final, Life, Pool, Role, Undialled, LINGER, STALLED, TURN, WHOLE};
use crate::console::{self, Console};
use crate::core::{Core, Order, Ticket};
use crate::deadlines::Due;
use crate::descriptors::Descriptors;
use crate::events::{self, Events, EventsConfig};
use crate::hierarchy::{Hierarchy, HierarchyFile, ShieldReport};
use crate::log;
use crate::membership::{Effect, Membership, Own};
use crate::peers::{self, Peers};
use crate::resp::{self, Link, Reply};
use crate::shutdown::{Begun, Shutdown, ACCEPTING};
use crate::signed::{self, Session};
use crate::slots::{Key, Slots};
use crate::sockets::{begin_connect, closed, drain, exhausted, hung_up, polled, polled_in_time, signal_pipe};
use crate::terms::Terms;
use crate::thrift::{self, Calls};
use crate::turn;
use crate::upgrade::{self, Upgrade};
use larchway::{Micros, Note, ServerId, Settings, State, Status};
use larchway_copies::{Copies, CopiesFile};
use larchway_distribution::events_file::EventsFile;
use larchway_operations::cordon::{self, Cordon, Verdict};
use larchway_operations::handover::{self, Company, Frame};
use larchway_operations::tally::Gauges;
use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown as Side, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const PLATFORM: usize = usize::MAX - 1;
const SIGNAL: usize = usize::MAX - 2;
const SECOND: usize = usize::MAX - 3;
const RELOAD: usize = usize::MAX - 4;
const ADMIN: usize = usize::MAX - 5;
/// The keys of the clients of the admin socket, one a place.
const ADMIN_CLIENTS: usize = usize::MAX - 5 - admin::MOST;
const CONSOLE: usize = ADMIN_CLIENTS - 1;
/// The keys of the callers of the console, one a place.
const CONSOLE_CLIENTS: usize = CONSOLE - console::MOST;
const UPGRADE: usize = CONSOLE_CLIENTS - 1;
/// The keys of the gateway's other processes, one a place.
const PEERS: usize = UPGRADE - upgrade::MOST;
/// The datagrams of the gateways of the tier.
const DATAGRAMS: usize = PEERS - 1;
/// µs after which a turn of the loop is cut, so that callers of the console are not kept waiting: what is left is
/// polled again.
const LONGEST_TURN: Micros = 20_000;
/// µs after which an address that is not free is tried again.
const BIND_AGAIN: Micros = 100_000;
const ADMIN_AGAIN: Micros = 1_000_000;
/// µs for which no client is taken in once there is no descriptor for one.
const ACCEPT_AGAIN: Micros = 50_000;
/// Parts of the memory limit that the bytes of all clients' connections, read and not dealt with or written and not
/// sent, may take: from the first on, who has answers waiting is refused more; from the second on, everybody is; at the
/// third, whoever holds most is cut off. Slow readers are no fault, and cutting one off loses what it was owed.
const CLIENTS_HOLD: (usize, usize, usize) = (6, 4, 3);

/// The gateway.
pub struct Gateway {
    poller: Poller,
    /// Clients of the platform's front come in here; none before all is known, and none once they are left to the next
    /// process.
    listener: Option<TcpListener>,
    /// Where it listens, as configured.
    listens: SocketAddr,
    second: Option<TcpListener>,
    /// The second front, if it is on.
    pub front: Option<Front>,
    /// Membership, if the instance registers.
    membership: Option<Membership>,
    /// By zone, the live gateways as last told.
    alive: BTreeMap<usize, u64>,
    /// The connection to the ensemble, and when membership is to be looked at.
    keeper: Option<Key>,
    membership_due: Option<Micros>,
    admin: Option<Admin>,
    /// The hierarchy, if a shape is given, and when it is to be looked at.
    hierarchy: Option<Hierarchy>,
    hierarchy_due: Option<Micros>,
    /// The other gateways of the tier, if the fleet's view is kept, and when it is to be looked at.
    peers: Option<Peers>,
    peers_due: Option<Micros>,
    settings: Settings,
    shape: Shape,
    /// Where operators call, as configured; the console itself; and when it is to be looked at.
    console_at: Option<SocketAddr>,
    console: Option<Console>,
    console_due: Option<Micros>,
    /// What operators say of stores.
    cordon: Cordon,
    sockets: usize,
    /// The gateway's other processes: their sockets, and how they are.
    upgrade: Option<Upgrade>,
    company: Company,
    /// Until when the others know what was sent to cold stores.
    sent_told: Micros,
    cordon_due: Option<Micros>,
    /// How far the end of this process has come.
    shutdown: Shutdown,
    /// Who had no turn when the last one was cut: the next one begins there.
    cut: Option<usize>,
    resumed: Vec<Key>,
    seed: u64,
    drawn: u64,
    files: Files,
    stop_signal: UnixStream,
    reload_signal: UnixStream,
    conns: Slots<Conn>,
    pools: BTreeMap<ServerId, Pool>,
    /// The stream of events, its connection, and when it is to be looked at.
    events: Events,
    events_key: Option<Key>,
    events_due: Option<Micros>,
    own_zone: usize,
    /// Names and limits of the wires.
    pub terms: Terms,
    /// Requests and attempts.
    pub core: Core,
    memory: usize,
    /// Bytes that the connections of all clients hold, and the most that they may.
    held: usize,
    most_held: usize,
    /// µs of the longest turn of the loop.
    longest_turn: Micros,
    most: Descriptors,
    clients: usize,
    /// Of these, those that are half-closed.
    lingering: usize,
    links: usize,
}

impl Gateway {
    /// Listens where the configuration says and takes in what it knows.
    pub fn new(files: Files) -> Result<Self, String> {
        let Loaded { config, front, fleet, hierarchy, copies, spread, tier, events } = files.read()?;
        let poller = Poller::new().map_err(|e| format!("cannot poll: {e}"))?;
        let stop_signal = signal_pipe(&poller, &[SIGTERM, SIGINT], SIGNAL)?;
        let reload_signal = signal_pipe(&poller, &[SIGHUP], RELOAD)?;
        let mut gateway = Gateway {
            poller,
            listener: None,
            listens: config.listen,
            second: None,
            front,
            membership: None,
            alive: BTreeMap::new(),
            keeper: None,
            membership_due: None,
            admin: None,
            hierarchy: None,
            hierarchy_due: None,
            peers: None,
            peers_due: None,
            settings: Settings::default(),
            shape: Shape::default(),
            console_at: None,
            console: None,
            console_due: None,
            cordon: Cordon::default(),
            sockets: 0,
            upgrade: None,
            company: Company::default(),
            sent_told: 0,
            cordon_due: None,
            shutdown: Shutdown::default(),
            cut: None,
            resumed: Vec::new(),
            seed: config.seed,
            drawn: 0,
            files,
            stop_signal,
            reload_signal,
            conns: Slots::default(),
            pools: BTreeMap::new(),
            events: Events::new(now(), config.seed),
            events_key: None,
            events_due: None,
            own_zone: 0,
            core: Core::new(config.seed),
            memory: 0,
            held: 0,
            most_held: 0,
            longest_turn: 0,
            most: Descriptors::default(),
            clients: 0,
            lingering: 0,
            links: 0,
            terms: Terms::default(),
        };
        let at = now();
        let shared = config.console.is_some();
        let scratch = config.scratch.clone().filter(|_| shared);
        let name = config.name.clone();
        // What the other process knows comes before the first decision, and clients come when all is known.
        let told = scratch.map(|folder| gateway.find_others(at, &folder, &name)).unwrap_or_default();
        gateway.keep_copies(&config, copies, events.is_some());
        gateway.keep_peers(at, config.between_peers(spread, tier, fleet.as_ref()), &config.terms);
        gateway.take_in(at, config, fleet, hierarchy, events)?;
        gateway.told_first(now(), told);
        gateway.listener =
            Some(polled_in_time(&gateway.poller, gateway.listens, PLATFORM, shared, &gateway.stop_signal)?);
        if let Some(front) = &gateway.front {
            gateway.second =
                Some(polled_in_time(&gateway.poller, front.listen, SECOND, shared, &gateway.stop_signal)?);
        }
        gateway.tell_status();
        Ok(gateway)
    }

    /// Takes in a configuration, the first or a later one: limits, names, the fleet, and what is known of the
    /// stores. Open requests, connections and all that was learned stay.
    fn take_in(
        &mut self,
        at: Micros,
        config: Config,
        fleet: Option<Ensemble>,
        hierarchy: Option<HierarchyFile>,
        events: Option<EventsFile>,
    ) -> Result<(), String> {
        let events = EventsConfig {
            name: config.name.clone(),
            bulletin: config.bulletin,
            notice: config.terms.notice,
            file: events,
        };
        self.memory = config.memory;
        self.sockets = config.sockets;
        self.share_limits();
        self.own_zone = config.settings.zone;
        if let Some(file) = hierarchy {
            let set = &config.settings;
            match &mut self.hierarchy {
                Some(hierarchy) => hierarchy.configure(at, file)?,
                None => {
                    let (from, span) = (set.parent_cold_from, set.parent_cold_span);
                    self.hierarchy = Some(Hierarchy::new(at, file, from, span)?);
                }
            }
            if let Some(hierarchy) = &mut self.hierarchy {
                hierarchy.name(&config.name);
            }
            self.check_hierarchy(at);
        }
        // What is lent is not in the configuration, and stays.
        let shares = self.peers.as_ref().and_then(Peers::shares);
        let settings = Settings { shares, ..config.settings };
        self.settings = self.core.configure(at, settings, config.classes);
        self.shape = config.shape;
        // Danger: budgets of cold stores that are shared by fewer gateways than there are.
        if !self.alive.is_empty() || shares.is_some() {
            self.count_gateways();
        }
        self.terms = config.terms;
        self.terms.name(&mut self.core.classes.all());
        if self.console_at != config.console {
            self.console_at = config.console;
            self.console = None;
        }
        self.check_console(at);
        // One that was told to stop has left the fleet, and stays away from it.
        if let Some(fleet) = fleet.filter(|_| !self.shutdown.begun()) {
            let here = self.listener.as_ref().and_then(|l| l.local_addr().ok());
            let listen = here.unwrap_or(config.listen).to_string();
            let changes = self.hierarchy.as_ref().and_then(Hierarchy::path).map(String::from);
            self.set_up(at, fleet, Own { changes, name: config.name, listen, zone: self.own_zone });
        }
        let effects = self.events.take_known(config.items, config.known);
        self.apply_event_effects(at, effects);
        let effects = self.events.configure(at, events);
        self.apply_event_effects(at, effects);
        let limit = self.events.lag_limit();
        self.core.copies.iter_mut().for_each(|copies| copies.doubt_after(limit));
        Ok(())
    }

    /// Reads the configuration again, whole, and puts it in the place of the old one. One that cannot be used
    /// is logged by its faulty key and changes nothing.
    fn reload(&mut self, at: Micros) {
        let signals = drain(&self.reload_signal);
        let done = self.files.read().and_then(|loaded| self.replace(at, loaded));
        self.core.tally.read(signals, done.is_ok());
        match done {
            Ok(()) => log!("the configuration is read again"),
            Err(why) => log!("the configuration stays as it was: {why}"),
        }
    }

    /// Puts a configuration in the place of the one in force; what can fail comes first.
    fn replace(&mut self, at: Micros, loaded: Loaded) -> Result<(), String> {
        let Loaded { config, front, fleet, hierarchy, copies, spread, tier, events } = loaded;
        config.shape.replaces(&self.shape)?;
        config.terms.extends(&self.terms)?;
        // One that listens no more does not begin again.
        let moved = config.listen != self.listens && !self.shutdown.closing();
        let shared = config.console.is_some();
        let listener =
            if moved { Some(polled(&self.poller, config.listen, PLATFORM, shared)?) } else { None };
        let here = self.front.as_ref().map(|f| f.listen);
        let second = match &front {
            Some(front) if here != Some(front.listen) && !self.shutdown.closing() => {
                Some(polled(&self.poller, front.listen, SECOND, shared)?)
            }
            _ => None,
        };
        let rebound = listener.is_some() || second.is_some();
        if listener.is_some() {
            self.close_listener(at, PLATFORM);
            (self.listener, self.listens) = (listener, config.listen);
        }
        if second.is_some() {
            self.close_listener(at, SECOND);
            self.second = second;
        }
        self.front = front;
        if rebound {
            self.log_listening();
        }
        self.keep_copies(&config, copies, events.is_some());
        if !self.shutdown.begun() {
            self.keep_peers(at, config.between_peers(spread, tier, fleet.as_ref()), &config.terms);
        }
        self.take_in(at, config, fleet, hierarchy, events)
    }

    /// Keeps copies of the gateway's own as its file says, or none; those held stay. They answer nothing until the
    /// bulletin has been heard.
    fn keep_copies(&mut self, config: &Config, terms: Option<CopiesFile>, relays: bool) {
        match (&mut self.core.copies, terms) {
            (copies, None) => *copies = None,
            (Some(copies), Some(terms)) => copies.configure(terms, config.uplink),
            (copies, Some(terms)) => *copies = Some(Copies::new(terms, config.uplink)),
        }
        if let Some(copies) = &mut self.core.copies {
            copies.told_by_bulletin(config.bulletin.is_some() || relays);
        }
    }

    /// Keeps what gateways tell each other as its files say, or nothing of it.
    fn keep_peers(&mut self, at: Micros, told: peers::Terms, terms: &Terms) {
        let field = told.spread.as_ref().map(|file| &file.field);
        self.core.load_field = terms.report.iter().position(|name| Some(name) == field);
        if told.spread.is_none() && self.peers.as_ref().is_some_and(Peers::spreads) {
            self.core.shed(at, Vec::new());
        }
        let moved = match &mut self.peers {
            _ if told.off() => self.peers.take().is_some(),
            Some(peers) => peers.configure(at, &told),
            peers => {
                *peers = Some(Peers::new(at, &told));
                true
            }
        };
        if moved {
            self.listen_to_peers();
        }
        self.tell_stores(at);
        self.set_peers();
    }

    fn listen_to_peers(&mut self) {
        // A socket that is dropped is no longer polled.
        if let Some(socket) = self.peers.as_ref().and_then(Peers::socket) {
            let added = self.poller.add_with_mode(socket, Event::readable(DATAGRAMS), PollMode::Level);
            added.unwrap_or_else(|e| log!("peer_listen: cannot poll: {e}"));
        }
    }

    /// Tells the fleet's view which stores of the own location are up.
    fn tell_stores(&mut self, at: Micros) {
        if let Some(peers) = &mut self.peers {
            let caches = |p: &&Pool| {
                let host = &p.store.host;
                let kinds = [self.settings.parent_kind, self.settings.origin_kind];
                host.state == State::Up && host.zone == self.own_zone && !kinds.contains(&Some(host.kind))
            };
            let stores = self.pools.values().filter(caches).map(|p| p.store.host.server).collect();
            let sharers = self.settings.sharers(at, Some(self.own_zone));
            peers.stores(at, stores, sharers.ceil() as u64);
        }
    }

    /// Sets when the fleet's view is to be looked at.
    fn set_peers(&mut self) {
        let due = self.peers.as_ref().and_then(Peers::next_due);
        self.core.deadlines.shift(&mut self.peers_due, due, Due::Peers);
    }

    fn check_peers(&mut self, at: Micros) {
        self.peers_due = None;
        let avoided = self.core.avoided(at).collect();
        let effects = self.peers.as_mut().map(|peers| peers.tick(at, avoided)).unwrap_or_default();
        self.apply_peer_effects(at, effects);
        self.set_peers();
    }

    /// Carries out what other gateways' words come to.
    fn apply_peer_effects(&mut self, at: Micros, effects: Vec<peers::Effect>) {
        for effect in effects {
            match effect {
                peers::Effect::Shed(shares) => self.core.shed(at, shares),
                peers::Effect::Probe(store) if self.terms.probes => self.probe(at, store),
                peers::Effect::Probe(_) => {}
                peers::Effect::Suspect(store) => self.core.suspect(at, store),
                peers::Effect::Shares => self.count_gateways(),
                peers::Effect::Socket => self.listen_to_peers(),
            }
        }
    }

    /// Asks a store for its report on a connection that is free for it; where there is none, another gateway asks.
    fn probe(&mut self, at: Micros, store: ServerId) {
        let links = self.pools.get(&store).map(|p| p.links.clone()).unwrap_or_default();
        let free = |key: &Key| {
            let conn = self.conns.get(*key);
            conn.is_some_and(|c| {
                c.life.up()
                    && c.output.rest().is_empty()
                    && matches!(&c.role, Role::Store(link) if !link.doubtful)
            })
        };
        let Some(key) = links.into_iter().find(free) else { return };
        let tag = format!("{:016x}", self.random());
        if let Some(conn) = self.conns.get_mut(key) {
            resp::write_words(&mut conn.output.bytes, &[b"METER", tag.as_bytes()]);
        }
        self.flush(at, key);
    }

    /// Tells the fleet's view what stores have reported.
    fn tell_reports(&mut self, at: Micros) {
        for (store, load) in std::mem::take(&mut self.core.reports) {
            self.peers.iter_mut().for_each(|peers| peers.reported(at, store, load));
        }
    }

    /// A number that is new with every call, and with every start.
    pub fn random(&mut self) -> u64 {
        self.drawn += 1;
        larchway::mix(self.seed ^ larchway::mix(self.drawn ^ now() << 20))
    }

    /// Whether SIGTERM has come.
    pub fn stopping(&self) -> bool {
        self.shutdown.begun()
    }

    /// Lets the next request on a connection have its turn.
    pub fn resume(&mut self, key: Key) {
        self.resumed.push(key);
    }

    /// Serves until SIGTERM, and then until all that was taken is answered.
    pub fn run(&mut self) -> Result<(), String> {
        let mut events = Vec::new();
        self.log_listening();
        loop {
            let at = now();
            while let Some(due) = self.core.deadlines.pop(at) {
                self.due(at, due);
                self.carry_out(at);
            }
            if self.company.share() > 1 {
                self.tell_sent(at);
            }
            if self.shutdown.closing() {
                self.half_close_idle(at);
            }
            if self.finished() {
                log!("ends; the longest turn of the loop took {} ms", self.longest_turn.div_ceil(1000));
                return Ok(());
            }
            let wait =
                self.core.deadlines.next().map(|next| Duration::from_micros(next.saturating_sub(now())));
            events.clear();
            match self.poller.wait(&mut events, wait) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(format!("cannot poll: {e}")),
                _ => {}
            }
            let begun = now();
            // Operators wait a second at most, however much else there is to do.
            let soon = |key| (CONSOLE_CLIENTS..=CONSOLE).contains(&key) || key == SIGNAL || key == RELOAD;
            turn::order(&mut events, self.cut.take(), soon);
            for event in &events {
                let at = now();
                self.longest_turn = self.longest_turn.max(at - begun);
                if at > begun + LONGEST_TURN {
                    self.cut = Some(event.key);
                    break;
                }
                match event.key {
                    CONSOLE => self.admit_caller(at),
                    key if (CONSOLE_CLIENTS..CONSOLE).contains(&key) => {
                        self.serve_caller(at, key - CONSOLE_CLIENTS);
                    }
                    DATAGRAMS => {
                        let effects = self.peers.as_mut().map(|peers| peers.hear(at));
                        self.apply_peer_effects(at, effects.unwrap_or_default());
                    }
                    UPGRADE => self.admit_process(at),
                    key if (PEERS..UPGRADE).contains(&key) => self.hear_process(at, key - PEERS),
                    PLATFORM | SECOND => drop(self.accept(at, event.key)),
                    SIGNAL => self.stop(at),
                    RELOAD => self.reload(at),
                    ADMIN => self.admit(at),
                    key if key >= ADMIN_CLIENTS => self.serve_admin(at, key - ADMIN_CLIENTS),
                    key => self.ready(at, Key(key as u64), event),
                }
                self.carry_out(at);
            }
        }
    }

    fn log_listening(&self) {
        for listener in [self.listener.as_ref(), self.second.as_ref()].into_iter().flatten() {
            if let Ok(address) = listener.local_addr() {
                log!("listening on {address}");
            }
        }
    }

    fn stop(&mut self, at: Micros) {
        drain(&self.stop_signal);
        let first = !self.shutdown.begun();
        match self.shutdown.signalled(at, self.company.successor()) {
            Begun::Accepting => log!("told to stop: taking requests for {} ms more", ACCEPTING / 1000),
            Begun::Closing => {
                log!("told to stop: the next process takes all clients in");
                self.stop_listening(at);
            }
            Begun::Nothing => return,
        }
        self.tell_status();
        if !first {
            return;
        }
        // Danger: the platform ends the process, and with it whatever waits for longer than that.
        let longest = self.core.classes.current().map(|(_, _, c)| c.deadline).max().unwrap_or(0);
        self.core.answer_all_by(at, handover::last_answer(at, longest));
        if !self.company.successor() {
            self.peers.iter_mut().for_each(|peers| peers.farewell(at));
        }
        // The own node goes first, so that the fleet's users turn to the others.
        let effects = self.membership.as_mut().map(|m| m.close(at)).unwrap_or_default();
        self.perform(at, effects);
        self.core.deadlines.set(at + ACCEPTING, Due::Stop);
    }

    /// Whether it was told to stop, listens no more, owes nothing, and no client is connected: one that rests is owed
    /// an orderly end, since answers may still be on their way to it.
    fn finished(&self) -> bool {
        self.shutdown.closing() && self.core.unanswered() == 0 && self.clients == 0
    }

    fn due(&mut self, at: Micros, due: Due) {
        match due {
            Due::Connection(key) => self.look(at, key),
            Due::Events => self.check_events(at),
            Due::Membership => self.check_membership(at),
            Due::Peers => self.check_peers(at),
            Due::Console => {
                self.console_due = None;
                self.check_console(at);
            }
            Due::Hierarchy => {
                self.hierarchy_due = None;
                self.check_hierarchy(at);
            }
            Due::Cordon => {
                self.cordon_due = None;
                self.cordon_told(at, cordon::Input::Tick);
            }
            Due::Stop => {
                if self.shutdown.tick(at) {
                    self.stop_listening(at);
                }
            }
            Due::Accept => self.poll_listeners(true),
            due => self.core.due(at, due),
        }
    }

    // Connections.

    /// Takes clients in, some at a time. Returns whether there may be more.
    fn accept(&mut self, at: Micros, which: usize) -> bool {
        for _ in 0..64 {
            let listener = if which == PLATFORM { self.listener.as_ref() } else { self.second.as_ref() };
            let Some(listener) = listener else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    if !self.make_room(at) {
                        log!("a client is turned away: {} are connected", self.clients);
                        continue;
                    }
                    if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_ok() {
                        let (role, due) = match which {
                            PLATFORM => (Role::Client(Calls::default()), at + WHOLE),
                            _ => (Role::Web(Session::default()), at + signed::SLOW),
                        };
                        self.adopt(at, stream, role, Life::Open, due);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if exhausted(&e) => {
                    self.rest_listeners(at, &e);
                    return false;
                }
                // One that has gone while it waited says nothing of those behind it.
                Err(e) => log!("a client cannot be taken in: {e}"),
            }
        }
        true
    }

    /// There is no descriptor for one more connection. Danger: whoever waits at a listener stays in its queue, and the
    /// poller tells of it again at once, for ever. All listeners are left alone for a while, and the rest is served.
    fn rest_listeners(&mut self, at: Micros, why: &io::Error) {
        log!("cannot accept: {why}");
        self.poll_listeners(false);
        self.core.deadlines.set(at + ACCEPT_AGAIN, Due::Accept);
    }

    /// Polls all listeners, or none.
    fn poll_listeners(&mut self, readable: bool) {
        let all: [(usize, Option<BorrowedFd<'_>>); 5] = [
            (PLATFORM, self.listener.as_ref().map(AsFd::as_fd)),
            (SECOND, self.second.as_ref().map(AsFd::as_fd)),
            (CONSOLE, self.console.as_ref().map(|c| c.listener.as_fd())),
            (ADMIN, self.admin.as_ref().map(|a| a.listener.as_fd())),
            (UPGRADE, self.upgrade.as_ref().map(|u| u.listener.as_fd())),
        ];
        for (key, listener) in all {
            let Some(listener) = listener else { continue };
            let interest = Event { key, readable, writable: false };
            if let Err(e) = self.poller.modify_with_mode(listener.as_raw_fd(), interest, PollMode::Level) {
                log!("cannot poll a listener: {e}");
            }
        }
    }

    /// Takes in what waits at a listener, then closes it: what is left in its queue would be reset.
    fn close_listener(&mut self, at: Micros, which: usize) {
        while self.accept(at, which) {}
        let listener = if which == PLATFORM { self.listener.take() } else { self.second.take() };
        // A listener that is dropped is no longer polled; there is nothing to do about an error here.
        listener.into_iter().for_each(|old| drop(self.poller.delete(&old)));
    }

    /// Whether there is room for one more client; to make it, the end of another is begun, or one that has been told
    /// of its end is closed.
    fn make_room(&mut self, at: Micros) -> bool {
        if self.clients - self.lingering >= self.most.clients && !self.evict(at) {
            return false;
        }
        if self.lingering <= self.most.lingering {
            return true;
        }
        let until = |c: &Conn| if let Life::HalfClosed { until } = c.life { Some(until) } else { None };
        let told = self.conns.iter().filter(|(_, c)| c.role.client());
        let oldest = told.filter_map(|(key, c)| Some((until(c)?, key))).min();
        oldest.into_iter().for_each(|(_, key)| self.close(at, key, None));
        true
    }

    /// Ends a client's connection to make room: the one that has been idle for longest, and before all others one that
    /// never asked for anything.
    fn evict(&mut self, at: Micros) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.rests());
        let mut idle: Vec<_> = idle.map(|(key, c)| (c.asked, c.moved, key)).collect();
        idle.sort_unstable();
        let quiet = |key: &Key| self.conns.get(*key).is_some_and(Conn::quiet);
        let oldest = idle.into_iter().map(|(.., key)| key).find(quiet);
        oldest.map(|key| self.half_close(at, key)).is_some()
    }

    fn adopt(&mut self, at: Micros, stream: TcpStream, role: Role, life: Life, due: Micros) -> Option<Key> {
        match role {
            Role::Store(_) => self.links += 1,
            Role::Client(_) | Role::Web(_) => self.clients += 1,
            Role::Events | Role::Keeper => {}
        }
        let (input, output) = (Buffer::default(), Buffer::default());
        let armed = (true, !life.up());
        let key = self.conns.insert(Conn {
            stream,
            input,
            output,
            role,
            life,
            since: at,
            moved: at,
            heard: at,
            asked: false,
            partial: None,
            armed,
            due,
            holds: 0,
        });
        self.core.deadlines.set(due, Due::Connection(key));
        let conn = self.conns.get(key)?;
        let interest = Event { key: key.0 as usize, readable: armed.0, writable: armed.1 };
        if let Err(e) = self.poller.add_with_mode(&conn.stream, interest, PollMode::Level) {
            log!("cannot poll a connection: {e}");
            self.close(at, key, None);
            return None;
        }
        Some(key)
    }

    /// Begins to connect; the connection comes up later or fails. An error is that of this machine or of the other side.
    fn connect(
        &mut self,
        at: Micros,
        address: SocketAddr,
        role: Role,
        due: Micros,
    ) -> Result<Key, Undialled> {
        match begin_connect(address) {
            Ok(stream) => self.adopt(at, stream, role, Life::Dialling, due).ok_or(Undialled::Here),
            Err(e) => {
                log!("cannot connect to {address}: {e}");
                Err(if exhausted(&e) { Undialled::Here } else { Undialled::There })
            }
        }
    }

    fn ready(&mut self, at: Micros, key: Key, event: &Event) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.life.up() {
            match conn.stream.take_error() {
                Ok(None) if event.writable && conn.stream.peer_addr().is_ok() => {
                    (conn.life, conn.moved) = (Life::Open, at);
                    match conn.role {
                        Role::Store(_) => self.send_waiting(at, key),
                        Role::Keeper => {
                            let effects = self.membership.as_mut().map(|m| m.up(at)).unwrap_or_default();
                            self.perform(at, effects);
                        }
                        _ => {}
                    }
                }
                Ok(None) => {}
                Ok(Some(e)) | Err(e) => {
                    // One that is refused proves that nothing runs there; one that is reset had come up.
                    if e.kind() == ErrorKind::ConnectionReset {
                        conn.life = Life::Open;
                    }
                    return self.close(at, key, Some(&e.to_string()));
                }
            }
        }
        if event.readable {
            self.read(at, key);
        }
        if event.writable {
            self.flush(at, key);
        }
        self.arm(key);
    }

    fn read(&mut self, at: Micros, key: Key) {
        let mut taken = 0;
        let mut end = None;
        let Some(conn) = self.conns.get_mut(key) else { return };
        let client = conn.role.client();
        let mut input = std::mem::take(&mut conn.input);
        while taken < TURN && end.is_none() {
            let start = input.bytes.len();
            // Room for the next piece; large answers take it in large pieces.
            let room = if start > 8 * 1024 { 64 * 1024 } else { 8 * 1024 };
            input.bytes.resize(start + room, 0);
            match conn.stream.read(&mut input.bytes[start..]) {
                Ok(0) => end = Some("closed by the other side".to_string()),
                Ok(n) => {
                    input.bytes.truncate(start + n);
                    taken += n;
                    (conn.moved, conn.heard) = (at, at);
                    // Of a client the end is wanted too: nothing is begun for one that has left.
                    if n < room && !client {
                        break;
                    }
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    input.bytes.truncate(start);
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => end = Some(e.to_string()),
            }
            input.bytes.truncate(start);
        }
        // What a client asked for that has left meanwhile is not begun; a store's last answers count.
        let left = client && end.is_some();
        let wrong = if left { None } else { self.drive(at, key, &mut input).err() };
        input.compact();
        if let Some(conn) = self.conns.get_mut(key) {
            let begun = !input.rest().is_empty();
            conn.partial = begun.then(|| conn.partial.unwrap_or(at));
            conn.input = input;
            let watched = match conn.role {
                Role::Client(_) => at + WHOLE,
                Role::Store(_) => at + resp::CUT_SHORT,
                _ => Micros::MAX,
            };
            if begun && conn.due > watched {
                self.core.deadlines.clear(conn.due, Due::Connection(key));
                conn.due = watched;
                self.core.deadlines.set(conn.due, Due::Connection(key));
            }
        }
        self.count_held(key);
        self.bound_held(at);
        if let Some(why) = wrong {
            log!("a connection is closed: {why}");
            self.close(at, key, Some(&why));
        } else if let Some(why) = end {
            self.close(at, key, Some(&why));
        }
    }

    /// Takes whole messages off the input, each by the codec of the connection.
    fn drive(&mut self, at: Micros, key: Key, input: &mut Buffer) -> Result<(), String> {
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            if conn.life.over() {
                input.consume(input.rest().len());
                return Ok(());
            }
            let used = match &mut conn.role {
                Role::Web(_) => signed::drive(self, at, key, input.rest())?,
                Role::Client(_) => thrift::drive(self, at, key, input.rest())?,
                Role::Store(_) => resp::drive(self, at, key, input.rest())?,
                Role::Keeper => {
                    let effects = self.membership.as_mut().map(|m| m.bytes(at, input.rest()));
                    self.perform(at, effects.unwrap_or_default());
                    input.rest().len()
                }
                Role::Events => {
                    let effects = self.events.bytes(at, input.rest(), &self.terms);
                    self.apply_event_effects(at, effects);
                    input.rest().len()
                }
            };
            if used == 0 {
                return Ok(());
            }
            input.consume(used);
            if let Some(conn) = self.conns.get_mut(key) {
                (conn.asked, conn.partial) = (true, None);
            }
        }
    }

    /// Writes what can be written. Returns whether the connection still stands.
    pub fn flush(&mut self, at: Micros, key: Key) -> bool {
        let Some(conn) = self.conns.get_mut(key) else { return false };
        while conn.life.up() && !conn.output.rest().is_empty() {
            match conn.stream.write(conn.output.rest()) {
                Ok(n) => {
                    conn.output.consume(n);
                    conn.moved = at;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.close(at, key, Some(&e.to_string()));
                    return false;
                }
            }
        }
        conn.output.compact();
        self.count_held(key);
        let Some(conn) = self.conns.get_mut(key) else { return false };
        let empty = conn.output.rest().is_empty();
        if empty && conn.life == Life::Finishing {
            self.half_close(at, key);
        }
        let Some(conn) = self.conns.get_mut(key) else { return false };
        match &mut conn.role {
            Role::Store(link) if empty => {
                if std::mem::take(&mut link.partly) {
                    self.core.tally.tried();
                }
                self.send_waiting(at, key);
            }
            // A request that waited for earlier answers to be read has its turn.
            Role::Web(_) if empty && !conn.input.rest().is_empty() => self.resumed.push(key),
            _ => {}
        }
        self.arm(key);
        true
    }

    fn arm(&mut self, key: Key) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let armed = conn.interest();
        if armed != conn.armed {
            conn.armed = armed;
            let interest = Event { key: key.0 as usize, readable: armed.0, writable: armed.1 };
            if let Err(e) = self.poller.modify_with_mode(&conn.stream, interest, PollMode::Level) {
                log!("cannot poll a connection: {e}");
            }
        }
    }

    /// Closes a connection and ends what it carried.
    pub fn close(&mut self, at: Micros, key: Key, why: Option<&str>) {
        let Some(conn) = self.conns.remove(key) else { return };
        self.held -= conn.holds;
        self.lingering -= usize::from(matches!(conn.life, Life::HalfClosed { .. }));
        self.core.deadlines.clear(conn.due, Due::Connection(key));
        // A connection that is closed is no longer polled; there is nothing to do about an error here.
        let _ = self.poller.delete(&conn.stream);
        match conn.role {
            Role::Client(calls) => {
                self.clients -= 1;
                for request in calls.open.into_values() {
                    self.core.gone(at, request);
                }
            }
            Role::Web(session) => {
                self.clients -= 1;
                if let Some(request) = session.open {
                    self.core.gone(at, request);
                }
            }
            Role::Store(link) => {
                self.links -= 1;
                if let Some(pool) = self.pools.get_mut(&link.store) {
                    pool.links.retain(|k| *k != key);
                }
                self.retire(link.store);
                if !conn.life.up() {
                    log!("no connection to {:08x}: {}", link.store, why.unwrap_or("closed"));
                }
                // Only what had no byte written is sure not to have run.
                for attempt in link.open.into_iter().map(|(_, a)| a) {
                    self.core.outcome(at, attempt, Status::Reset, Note::None);
                }
                // A connection that was up and broke before a byte was written says nothing of the store's health:
                // what waited for it has not been sent and takes another.
                for attempt in link.waiting {
                    if conn.life.up() && self.core.again(attempt) {
                        self.core.orders.push_back(Order::Send(attempt));
                    } else {
                        self.core.outcome(at, attempt, Status::ConnectFailed, Note::None);
                    }
                }
            }
            Role::Keeper if self.keeper == Some(key) => {
                self.keeper = None;
                let effects = self.membership.as_mut().map(|m| m.lost(at, why.unwrap_or("closed")));
                self.perform(at, effects.unwrap_or_default());
            }
            // One that was left knows of it.
            Role::Keeper => {}
            Role::Events if self.events_key == Some(key) => {
                log!("the bulletin is lost: {}", why.unwrap_or("closed"));
                self.events_key = None;
                let effects = self.events.lost(at);
                self.apply_event_effects(at, effects);
            }
            // One that was left knows of it.
            Role::Events => {}
        }
    }

    /// Looks whether a connection came up, moves on, or has been idle for too long.
    fn look(&mut self, at: Micros, key: Key) {
        let (timeout, idle) = (self.terms.connect_timeout, self.terms.idle);
        let Some(conn) = self.conns.get_mut(key) else { return };
        let limit = conn.limit(at, timeout, idle);
        if limit <= at && conn.rests() {
            if conn.quiet() {
                return self.half_close(at, key);
            }
            // What has come meanwhile is read first.
            conn.due = at + LONGEST_TURN;
            return self.core.deadlines.set(conn.due, Due::Connection(key));
        }
        if limit <= at {
            let why = match conn.partial {
                _ if !conn.life.up() => "no connection in time",
                Some(_) => "a message does not go on",
                None => "idle",
            };
            return self.close(at, key, Some(why));
        }
        conn.due = limit.min(at + STALLED);
        self.core.deadlines.set(conn.due, Due::Connection(key));
    }

    /// A connection, if it is there.
    pub fn conn(&mut self, key: Key) -> Option<&mut Conn> {
        self.conns.get_mut(key)
    }

    // Answers.

    /// Carries out what the core ordered, and reads on where a request waited for the answer to the one before
    /// it, until nothing is left of either.
    fn carry_out(&mut self, at: Micros) {
        loop {
            self.carry_out_orders(at);
            self.tell_evidence(at);
            self.tell_suspects(at);
            self.tell_reports(at);
            if self.resumed.is_empty() && self.core.orders.is_empty() {
                return;
            }
            self.resume_all(at);
        }
    }

    fn carry_out_orders(&mut self, at: Micros) {
        while let Some(order) = self.core.orders.pop_front() {
            match order {
                Order::Send(attempt) => self.dispatch(at, attempt),
                Order::Kill { carrier, attempt, call } => {
                    resp::kill(self, at, carrier, attempt, &call);
                }
                Order::Held(ticket, found) => {
                    let reply = Reply::held(found.copy.tag.as_deref(), &found.copy.bytes, found.same);
                    self.answer(at, ticket, &Final::Served(&reply));
                }
                Order::Refused(ticket, pushback) => self.answer(at, ticket, &Final::Refused(pushback)),
                Order::Failed(ticket, late) => self.answer(at, ticket, &Final::Failed { late }),
            }
        }
    }

    fn resume_all(&mut self, at: Micros) {
        for key in std::mem::take(&mut self.resumed) {
            let Some(conn) = self.conns.get_mut(key) else { continue };
            let mut input = std::mem::take(&mut conn.input);
            let wrong = self.drive(at, key, &mut input).err();
            if let Some(conn) = self.conns.get_mut(key) {
                conn.input = input;
            }
            if let Some(why) = wrong {
                self.close(at, key, Some(&why));
            }
            self.arm(key);
        }
    }

    /// Gives the final answer, by the front at which the request came in.
    pub fn answer(&mut self, at: Micros, ticket: Ticket, done: &Final<'_>) {
        let Some(conn) = self.conns.get_mut(ticket.client) else { return };
        match &mut conn.role {
            Role::Client(calls) => {
                calls.open.remove(&ticket.seq);
                thrift::finish(&mut conn.output.bytes, ticket.seq as i32, done);
            }
            _ => return signed::finish(self, at, ticket, done),
        }
        self.flush(at, ticket.client);
        self.bound_held(at);
    }

    /// Counts what a client's connection holds.
    fn count_held(&mut self, key: Key) {
        if let Some(conn) = self.conns.get_mut(key).filter(|c| c.role.client()) {
            let holds = conn.output.rest().len() + conn.input.rest().len();
            self.held = self.held + holds - conn.holds;
            conn.holds = holds;
        }
    }

    /// Keeps what all clients' connections hold within its bound. Danger: some hundred readers of 1 MB a second, or
    /// senders of half a message, together take more than there is, each with little.
    fn bound_held(&mut self, at: Micros) {
        // Readers that are slow to take their answers go before copies that might be asked for.
        let memory = self.memory / self.company.share();
        self.core.copies.iter_mut().for_each(|copies| copies.fit(memory, self.held));
        while self.held > self.most_held {
            let most = self.conns.iter().max_by_key(|(_, c)| c.holds).map(|(key, c)| (key, c.holds));
            let Some((key, holds @ 1..)) = most else { return };
            log!("a client is cut off: it holds {holds} bytes, and all hold {}", self.held);
            self.close(at, key, Some("it holds too much"));
        }
    }

    /// Whether more can be taken in from a client; beyond that, memory would run out.
    pub fn has_room(&self, key: Key) -> bool {
        let waits = self.conns.get(key).is_some_and(|c| !c.output.rest().is_empty());
        let part = if waits { CLIENTS_HOLD.0 } else { CLIENTS_HOLD.1 };
        let share = self.company.share();
        self.core.held < self.memory / share / 8
            && self.core.open() < 4000
            && self.held < self.memory / share / part
    }

    // Stores.

    /// Finds an attempt a connection. An answer blocks those behind it on its connection, so each attempt gets
    /// one of its own as far as the budget goes, unless handshakes have a price.
    fn dispatch(&mut self, at: Micros, attempt: Key) {
        let Some((server, call)) = self.core.target(attempt) else { return };
        let call = call.to_string();
        let here = |p: &&Pool| p.store.host.zone == self.own_zone && p.store.host.state != State::Removed;
        let own = self.pools.values().filter(here).count().max(1);
        let most = (self.most.links / own).clamp(2, 128);
        let Some((address, links)) = self.pools.get(&server).and_then(|p| Some((p.store.dial?, &p.links)))
        else {
            self.core.outcome(at, attempt, Status::ConnectFailed, Note::None);
            return;
        };
        let mut best: Option<(usize, bool, Key)> = None;
        for &key in links {
            let Some(Conn { role: Role::Store(link), life, .. }) = self.conns.get(key) else { continue };
            let up = life.up();
            let load = link.open.len() + link.waiting.len();
            if !link.doubtful && !link.knows(&call) && best.is_none_or(|(l, u, _)| (load, !up) < (l, !u)) {
                best = Some((load, up, key));
            }
        }
        let more = links.len() < most && self.links < self.most.links;
        let key = match best {
            Some((load, _, key)) if load < self.terms.streams => key,
            Some((_, _, key)) if !more => key,
            _ => {
                let due = at + self.terms.connect_timeout;
                let key = match self.connect(at, address, Role::Store(Link::new(server)), due) {
                    Ok(key) => key,
                    // Danger: a shortage here, laid to the stores, makes them all look gone and back, cold.
                    Err(undialled) => {
                        let here = matches!(undialled, Undialled::Here);
                        let status = if here { Status::NeverSent } else { Status::ConnectFailed };
                        self.core.outcome(at, attempt, status, Note::None);
                        return;
                    }
                };
                if let Some(pool) = self.pools.get_mut(&server) {
                    pool.links.push(key);
                }
                key
            }
        };
        if let Some(a) = self.core.attempt(attempt) {
            a.carrier = Some(key);
        }
        if let Some(Conn { role: Role::Store(link), .. }) = self.conns.get_mut(key) {
            link.waiting.push_back(attempt);
        }
        self.send_waiting(at, key);
        self.arm(key);
    }

    /// Whether the client of an attempt has closed its connection, which is ended then. Danger: word of that may lie
    /// among events that have not had their turn, or behind bytes that are not read, and an attempt must not begin.
    fn client_left(&mut self, at: Micros, attempt: Key) -> bool {
        let Some(client) = self.core.client(attempt) else { return false };
        let Some(conn) = self.conns.get(client) else { return false };
        let left = match conn.armed.0 {
            // What came in this turn was read to its end.
            true if at < conn.heard + LONGEST_TURN => false,
            true => closed(&conn.stream),
            false => hung_up(&conn.stream),
        };
        if left {
            self.close(at, client, Some("closed by the other side"));
        }
        left
    }

    /// Writes the attempts that wait for a connection, each once all before it is written.
    fn send_waiting(&mut self, at: Micros, key: Key) {
        loop {
            let Some(conn) = self.conns.get_mut(key).filter(|c| c.life.up() && c.output.rest().is_empty())
            else {
                return;
            };
            let Role::Store(link) = &mut conn.role else { return };
            let Some(attempt) = link.waiting.pop_front() else { return };
            // Much may have happened while it waited.
            if self.client_left(at, attempt) || !self.core.may_begin(at, attempt) {
                continue;
            }
            let Some(conn) = self.conns.get_mut(key) else { return };
            let Role::Store(link) = &mut conn.role else { return };
            // Danger: what is written to a connection that the store has closed counts as having run, and a write then
            // fails that never ran. Its end may be among the events that have not had their turn.
            if link.open.is_empty() && self.core.writes(attempt) && closed(&conn.stream) {
                link.waiting.push_front(attempt);
                return self.close(at, key, Some("closed by the other side"));
            }
            let Some(pull) = self.core.pull(at, attempt) else { continue };
            let call = pull.ask.call.clone();
            resp::pull(&mut conn.output.bytes, &pull, &self.terms.classes);
            match conn.stream.write(conn.output.rest()) {
                Ok(n) => {
                    conn.output.consume(n);
                    conn.moved = at;
                    if link.open.is_empty() {
                        conn.heard = at;
                    }
                    link.open.push((call, attempt));
                    link.partly = !conn.output.rest().is_empty();
                    if !link.partly {
                        self.core.tally.tried();
                    }
                    self.core.begin(at, attempt);
                }
                Err(e) => {
                    // No byte went out: it waits on, or fails as one that never ran.
                    conn.output = Buffer::default();
                    link.waiting.push_front(attempt);
                    if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) {
                        return self.arm(key);
                    }
                    return self.close(at, key, Some(&e.to_string()));
                }
            }
        }
    }

    // Events and other processes.

    /// Begins or changes membership.
    fn set_up(&mut self, at: Micros, fleet: Ensemble, own: Own) {
        let seed = self.random();
        let effects = match &mut self.membership {
            Some(membership) => membership.configure(at, fleet, own, &self.terms, seed),
            None => {
                let (membership, effects) = Membership::new(at, fleet, own, &self.terms, seed);
                self.membership = Some(membership);
                effects
            }
        };
        let merges = self.membership.as_ref().is_some_and(Membership::merges);
        self.core.evidence = merges.then(Vec::new);
        self.set_up_admin();
        self.perform(at, effects);
    }

    /// Opens, moves or closes the admin socket as configured.
    fn set_up_admin(&mut self) {
        let wanted = self.membership.as_ref().and_then(Membership::admin).map(Path::to_path_buf);
        if self.admin.as_ref().map(|a| a.path().to_path_buf()) == wanted {
            return;
        }
        self.admin = None;
        let Some(path) = wanted else { return };
        let opened = Admin::listen(&path).and_then(|admin| {
            let interest = Event::readable(ADMIN);
            let polled = self.poller.add_with_mode(&admin.listener, interest, PollMode::Level);
            polled.map(|()| admin).map_err(|e| format!("admin: cannot poll: {e}"))
        });
        match opened {
            Ok(admin) => self.admin = Some(admin),
            // Operators lose sight, clients lose nothing.
            Err(why) => log!("{why}"),
        }
    }

    fn admit(&mut self, at: Micros) {
        let Some(admin) = &mut self.admin else { return };
        let (place, stream, old) = match admin.accept(at) {
            Ok(Some(admitted)) => admitted,
            Ok(None) => return,
            Err(e) => return self.rest_listeners(at, &e),
        };
        old.into_iter().for_each(|old| drop(self.poller.delete(&old)));
        let interest = Event::readable(ADMIN_CLIENTS + place);
        if let Err(e) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
            log!("cannot poll a connection: {e}");
        }
    }

    fn serve_admin(&mut self, at: Micros, place: usize) {
        let Some(admin) = &mut self.admin else { return };
        let write = match admin.turn(place) {
            Some(Turn::Asks(what)) => {
                let answer = match (what.as_str(), &self.membership) {
                    ("members", Some(membership)) => membership.report(at),
                    ("hierarchy", _) if self.hierarchy.is_some() => {
                        let shield = self.core.shield().map(|s| ShieldReport {
                            limit: s.limit(),
                            out: s.out(),
                            turned_away: s.turned_away,
                            remembered: s.remembered(),
                            usual_ms: s.usual().map(|us| us as f64 / 1000.0),
                        });
                        let report = self.hierarchy.as_ref().map(|h| h.report(at, shield));
                        serde_json::to_string(&report).unwrap_or_default()
                    }
                    _ => format!("{{\"error\":\"{} is no request\"}}", what.escape_default()),
                };
                admin.answer(place, answer);
                true
            }
            Some(Turn::Waits { write }) => write,
            // One that is closed is no longer polled; there is nothing to do about an error here.
            Some(Turn::Gone(stream)) => return drop(self.poller.delete(&stream)),
            None => return,
        };
        if let Some(stream) = admin.stream(place) {
            let interest = Event { key: ADMIN_CLIENTS + place, readable: !write, writable: write };
            if let Err(e) = self.poller.modify_with_mode(stream, interest, PollMode::Level) {
                log!("cannot poll a connection: {e}");
            }
        }
    }

    // The gateway's other processes.

    /// Finds the gateway's other processes. What they tell is taken in later, by [`Gateway::told_first`].
    fn find_others(&mut self, at: Micros, folder: &Path, name: &str) -> Vec<(usize, Frame)> {
        let upgrade::Begun { upgrade, kept, told } = match Upgrade::begin(folder, name) {
            Ok(found) => found,
            Err(why) => {
                log!("no other process of this gateway can be found: {why}");
                return Vec::new();
            }
        };
        let polled = self.poller.add_with_mode(&upgrade.listener, Event::readable(UPGRADE), PollMode::Level);
        if let Err(e) = polled {
            log!("cannot poll: {e}");
        }
        for place in upgrade.places() {
            self.company.joined(place);
            if let Some(stream) = upgrade.stream(place) {
                let interest = Event::readable(PEERS + place);
                if let Err(e) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
                    log!("cannot poll a connection: {e}");
                }
            }
        }
        self.upgrade = Some(upgrade);
        self.cordon_told(at, cordon::Input::Marks(kept));
        told
    }

    /// Takes in what the others told at the start: the one that serves knows most.
    fn told_first(&mut self, at: Micros, told: Vec<(usize, Frame)>) {
        let serves = |place: usize| {
            let status = told.iter().find(|(p, f)| *p == place && matches!(f, Frame::Status { .. }));
            matches!(status, Some((_, Frame::Status { stopping: false, .. })))
        };
        let order = told.iter().map(|(place, _)| (*place, serves(*place))).collect::<BTreeMap<_, _>>();
        let best = order.iter().max_by_key(|(_, serves)| **serves).map(|(place, _)| *place);
        for (place, frame) in told {
            match frame {
                Frame::State(state) if Some(place) == best => {
                    let (objects, stores) = (state.classes.len(), state.stores.len());
                    log!("takes over what another process has learned: {objects} classes, {stores} stores");
                    self.core.take_over(&state.classes, state.learned);
                    self.cordon_told(at, cordon::Input::Doubts(state.stores));
                }
                Frame::State(_) => {}
                frame => self.heard(at, place, frame),
            }
        }
        self.share_limits();
    }

    fn admit_process(&mut self, at: Micros) {
        while let Some(upgrade) = &mut self.upgrade {
            let place = match upgrade.accept() {
                Ok(Some(place)) => place,
                Ok(None) => return,
                Err(e) => return self.rest_listeners(at, &e),
            };
            let stream = self.upgrade.as_ref().and_then(|u| u.stream(place));
            let interest = Event::readable(PEERS + place);
            if let Some(Err(e)) = stream.map(|s| self.poller.add_with_mode(s, interest, PollMode::Level)) {
                log!("cannot poll a connection: {e}");
            }
            self.hear_process(at, place);
        }
    }

    fn hear_process(&mut self, at: Micros, place: usize) {
        let Some(upgrade) = &mut self.upgrade else { return };
        let (frames, became) = upgrade.turn(place);
        for frame in frames {
            self.heard(at, place, frame);
        }
        self.became(place, became);
    }

    fn heard(&mut self, at: Micros, place: usize, frame: Frame) {
        match frame {
            Frame::Hello { name } => {
                log!("another process of {name:?} begins");
                self.company.joined(place);
                self.share_limits();
                self.sent_told = at;
                let (classes, learned) = self.core.learned(at);
                let stores = self.cordon.stores().map(|(name, fit)| (name.to_string(), fit)).collect();
                let state = handover::State { classes, learned, stores };
                for frame in [self.status(), Frame::Marks(self.cordon.marks().cloned().collect())] {
                    self.tell_other(place, &frame);
                }
                self.tell_other(place, &Frame::State(Box::new(state)));
            }
            Frame::Marks(marks) => drop(self.cordon_told(at, cordon::Input::Marks(marks))),
            Frame::Sent(sent) => self.core.sent_elsewhere(at, &sent),
            Frame::Status { serving, stopping } => self.company.told(place, serving, stopping),
            // It is asked for at the start alone.
            Frame::State(_) => {}
        }
    }

    /// Tells the others what was sent to cold stores. Danger: two processes that each use the whole cold budget push a
    /// store over.
    fn tell_sent(&mut self, at: Micros) {
        let sent = self.core.sent_after(at, self.sent_told);
        self.sent_told = at;
        if !sent.is_empty() {
            self.tell_others(&Frame::Sent(sent));
        }
    }

    fn status(&self) -> Frame {
        Frame::Status { serving: self.listener.is_some(), stopping: self.stopping() }
    }

    fn tell_status(&mut self) {
        let status = self.status();
        self.tell_others(&status);
    }

    fn tell_others(&mut self, frame: &Frame) {
        for place in self.upgrade.as_ref().map(Upgrade::places).unwrap_or_default() {
            self.tell_other(place, frame);
        }
    }

    fn tell_other(&mut self, place: usize, frame: &Frame) {
        let became = self.upgrade.as_mut().and_then(|u| u.send(place, frame));
        self.became(place, became);
    }

    fn became(&mut self, place: usize, became: Option<upgrade::Told>) {
        match became {
            Some(upgrade::Told::Gone(stream)) => {
                // One that is closed is no longer polled; there is nothing to do about an error here.
                let _ = self.poller.delete(&stream);
                log!("another process of this gateway has ended");
                self.company.left(place);
                self.share_limits();
            }
            Some(upgrade::Told::Waits { write }) => {
                let stream = self.upgrade.as_ref().and_then(|u| u.stream(place));
                let interest = Event { key: PEERS + place, readable: true, writable: write };
                let armed = stream.map(|s| self.poller.modify_with_mode(s, interest, PollMode::Level));
                if let Some(Err(e)) = armed {
                    log!("cannot poll a connection: {e}");
                }
            }
            None => {}
        }
    }

    /// Shares the gateway's limits among its processes.
    fn share_limits(&mut self) {
        let share = self.company.share();
        let (sockets, memory) = (self.sockets / share, self.memory / share);
        self.most_held = memory / CLIENTS_HOLD.2;
        self.core.copies.iter_mut().for_each(|copies| copies.fit(memory, self.held));
        let most = Descriptors::of(sockets);
        self.most = Descriptors { links: most.links.min(memory / 3 / resp::LONGEST), ..most };
    }

    /// Listens no more.
    fn stop_listening(&mut self, at: Micros) {
        for which in [PLATFORM, SECOND] {
            self.close_listener(at, which);
        }
    }

    /// Half-closes clients' connections with nothing open, unsent or unread on them, so that clients turn elsewhere.
    fn half_close_idle(&mut self, at: Micros) {
        let rests = |c: &Conn| c.rests() && c.input.rest().is_empty() && c.quiet();
        let resting: Vec<Key> = self.conns.iter().filter(|(_, c)| rests(c)).map(|(key, _)| key).collect();
        resting.into_iter().for_each(|key| self.half_close(at, key));
    }

    /// Ends a client's connection in order. Danger: a request that crosses a plain close makes it a reset, and answers
    /// that are still on their way are lost with it. So the end is told first, and what comes meanwhile is read, and
    /// sent nowhere, until the client has closed too.
    fn half_close(&mut self, at: Micros, key: Key) {
        let Some(conn) = self.conns.get_mut(key).filter(|c| !matches!(c.life, Life::HalfClosed { .. }))
        else {
            return;
        };
        self.lingering += 1;
        conn.life = Life::HalfClosed { until: at + LINGER };
        // A connection that is broken is found out when it is read.
        let _ = conn.stream.shutdown(Side::Write);
        self.core.deadlines.clear(conn.due, Due::Connection(key));
        conn.due = at + LINGER;
        self.core.deadlines.set(conn.due, Due::Connection(key));
    }

    // The console.

    /// Listens where operators call, as soon as that address is free, and looks at callers whose time has come.
    fn check_console(&mut self, at: Micros) {
        let mut due = None;
        match (&mut self.console, self.console_at) {
            (None, Some(address)) => match polled(&self.poller, address, CONSOLE, false) {
                Ok(listener) => {
                    if let Ok(here) = listener.local_addr() {
                        log!("operators may call at {here}");
                    }
                    self.console = Some(Console::new(listener, self.most.callers));
                }
                Err(why) => {
                    log!("console: {why}");
                    due = Some(at + BIND_AGAIN);
                }
            },
            (Some(console), _) => {
                for (place, turn) in console.tick(at) {
                    self.caller_turned(place, turn);
                }
            }
            (None, None) => {}
        }
        // The operators' socket of the process before may stand until that one ends.
        if self.console.is_some() && self.admin.is_none() && self.company.share() > 1 {
            self.set_up_admin();
            let wanted = self.membership.as_ref().and_then(Membership::admin).is_some();
            due = due.or((wanted && self.admin.is_none()).then_some(at + ADMIN_AGAIN));
        }
        self.set_console(due);
    }

    /// Sets when the console is to be looked at.
    fn set_console(&mut self, due: Option<Micros>) {
        let callers = self.console.as_ref().and_then(Console::next_due);
        let due = due.into_iter().chain(callers).min();
        self.core.deadlines.shift(&mut self.console_due, due, Due::Console);
    }

    fn admit_caller(&mut self, at: Micros) {
        while let Some(console) = &mut self.console {
            let (place, stream, old) = match console.accept(at) {
                Ok(Some(admitted)) => admitted,
                Ok(None) => break,
                Err(e) => {
                    self.rest_listeners(at, &e);
                    break;
                }
            };
            old.into_iter().for_each(|old| drop(self.poller.delete(&old)));
            let interest = Event::readable(CONSOLE_CLIENTS + place);
            if let Err(e) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
                log!("cannot poll a connection: {e}");
            }
        }
        self.set_console(None);
    }

    fn serve_caller(&mut self, at: Micros, place: usize) {
        let mut turn = self.console.as_mut().and_then(|c| c.turn(at, place));
        if let Some(console::Turn::Asks(call)) = turn {
            let reply = self.called(at, call);
            turn = self.console.as_mut().and_then(|c| c.answer(at, place, &reply));
        }
        if let Some(turn) = turn {
            self.caller_turned(place, turn);
        }
        self.set_console(None);
    }

    fn caller_turned(&mut self, place: usize, turn: console::Turn) {
        match turn {
            // One that is closed is no longer polled; there is nothing to do about an error here.
            console::Turn::Gone(stream) => drop(self.poller.delete(&stream)),
            console::Turn::Waits { write } => {
                let stream = self.console.as_ref().and_then(|c| c.stream(place));
                let interest = Event { key: CONSOLE_CLIENTS + place, readable: true, writable: write };
                let armed = stream.map(|s| self.poller.modify_with_mode(s, interest, PollMode::Level));
                if let Some(Err(e)) = armed {
                    log!("cannot poll a connection: {e}");
                }
            }
            console::Turn::Asks(_) => {}
        }
    }

    /// Answers an operator.
    fn called(&mut self, at: Micros, call: console::Call) -> console::Reply {
        match call {
            console::Call::Readiness if self.stopping() => console::Reply::new(503, "it is told to stop\n"),
            console::Call::Readiness if self.core.well && self.listener.is_some() => {
                console::Reply::new(200, "ready\n")
            }
            console::Call::Readiness => console::Reply::new(503, "no list of stores is known yet\n"),
            console::Call::Stats => console::Reply::new(200, self.core.tally.report(self.gauges(at))),
            console::Call::Copies => {
                let report = self.core.copies.as_ref().map(|copies| copies.report(at));
                let told = report.map(|report| serde_json::to_string(&report).unwrap_or_default());
                console::Reply::told(told, "no copies are kept here")
            }
            console::Call::Events => console::Reply::told(Some(self.events.report(at)), ""),
            console::Call::Spread => {
                let told = self.peers.as_ref().and_then(|peers| peers.load(at));
                console::Reply::told(told, "the fleet's view is not kept here")
            }
            console::Call::Fleet => {
                let told = self.peers.as_ref().and_then(|peers| peers.fleet(at));
                console::Reply::told(told, "gateways know nothing of each other here")
            }
            console::Call::Store { who, down } => {
                let input = cordon::Input::Call { who: who.clone(), down };
                let verdict = self.cordon_told(at, input).unwrap_or(Verdict::Unknown);
                log!("an operator calls {who:?} {}: {verdict:?}", if down { "out" } else { "back" });
                console::Reply::store(&who, down, verdict)
            }
        }
    }

    fn gauges(&self, at: Micros) -> Gauges {
        let skipped: BTreeSet<ServerId> =
            self.cordon.out().chain(self.core.avoided(at)).filter(|id| self.cordon.lists(*id)).collect();
        Gauges { known_stores: self.cordon.listed(), skipped_stores: skipped.len() }
    }

    fn check_membership(&mut self, at: Micros) {
        self.membership_due = None;
        let effects = self.membership.as_mut().map(|m| m.tick(at)).unwrap_or_default();
        self.perform(at, effects);
    }

    /// Tells the module how objects' homes are shared now, and sets when that changes next.
    fn check_hierarchy(&mut self, at: Micros) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        if let Some(homes) = hierarchy.tick(at) {
            self.core.homes(at, homes);
        }
        self.core.shield_origin(hierarchy.shield(), hierarchy.hubs());
        self.core.infer_loops(hierarchy.infer());
        self.core.own_hop = hierarchy.own_hop();
        self.core.deadlines.shift(&mut self.hierarchy_due, hierarchy.next_due(), Due::Hierarchy);
    }

    fn check_events(&mut self, at: Micros) {
        self.events_due = None;
        let effects = self.events.tick(at);
        self.apply_event_effects(at, effects);
    }

    /// Carries out what the stream of events comes to, and sets when it is to be looked at next.
    fn apply_event_effects(&mut self, at: Micros, effects: Vec<events::Effect>) {
        for effect in effects {
            match effect {
                events::Effect::Dial(address, request) => self.dial_events(at, address, &request),
                events::Effect::Write(bytes) => self.write_events(at, &bytes),
                events::Effect::Close(why) => {
                    if let Some(key) = self.events_key.take() {
                        log!("the bulletin is lost: {why}");
                        self.close(at, key, None);
                    }
                }
                events::Effect::Heard(when) => self.events_heard(at, Some(when)),
                events::Effect::Lost => self.events_heard(at, None),
                events::Effect::CopiesVoid => self.core.void_copies(at),
                events::Effect::PurgesMissed => self.core.purges_missed(at),
                events::Effect::Apply(body) => self.apply_event(at, body),
            }
        }
        let due = self.events.next_due();
        self.core.deadlines.shift(&mut self.events_due, due, Due::Events);
    }

    fn write_events(&mut self, at: Micros, bytes: &[u8]) {
        let Some(key) = self.events_key else { return };
        if let Some(conn) = self.conns.get_mut(key) {
            conn.output.bytes.extend_from_slice(bytes);
        }
        self.flush(at, key);
    }

    fn dial_events(&mut self, at: Micros, address: SocketAddr, request: &[u8]) {
        let due = at + self.terms.connect_timeout;
        self.events_key = self.connect(at, address, Role::Events, due).ok();
        if let Some(conn) = self.events_key.and_then(|key| self.conns.get_mut(key)) {
            conn.output.bytes.extend_from_slice(request);
            return;
        }
        let effects = self.events.not_dialled(at);
        self.apply_event_effects(at, effects);
    }

    /// The source of events lived at that time, or is not heard any more.
    fn events_heard(&mut self, at: Micros, heard: Option<Micros>) {
        let contact = heard.is_some();
        self.core.copies.iter_mut().for_each(|copies| match heard {
            Some(when) => copies.heard(when),
            None => copies.lost(),
        });
        if let Some(membership) = self.membership.as_mut().filter(|m| m.merges()) {
            let effects = membership.bulletin(at, contact);
            self.perform(at, effects);
        }
    }

    /// Tells the hierarchy which parents show what a loop shows.
    fn tell_suspects(&mut self, at: Micros) {
        if self.core.suspects.is_empty() {
            return;
        }
        let suspects = std::mem::take(&mut self.core.suspects);
        if let Some(hierarchy) = &mut self.hierarchy {
            suspects.into_iter().for_each(|parent| hierarchy.suspect(at, parent));
        }
        self.check_hierarchy(at);
    }

    /// Whether a request that has been at these places may pass (RFC 8586); without a hierarchy nothing is known of it.
    pub fn may_pass(&mut self, trail: &str) -> bool {
        self.hierarchy.as_mut().is_none_or(|hierarchy| hierarchy.may_pass(trail))
    }

    /// Tells membership what own attempts have shown.
    fn tell_evidence(&mut self, at: Micros) {
        if let (Some(seen), Some(membership)) = (&mut self.core.evidence, &mut self.membership) {
            if !seen.is_empty() {
                let effects = membership.evidence(at, std::mem::take(seen));
                self.perform(at, effects);
            }
        }
    }

    /// Carries out what membership ordered, and sets when it is to be looked at next.
    fn perform(&mut self, at: Micros, effects: Vec<Effect>) {
        if self.membership.is_none() {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Connect(address) => {
                    let due = at + self.terms.connect_timeout.max(1_000_000);
                    self.keeper = self.connect(at, address, Role::Keeper, due).ok();
                    if self.keeper.is_none() {
                        let lost = self.membership.as_mut().map(|m| m.lost(at, "no connection"));
                        self.perform(at, lost.unwrap_or_default());
                    }
                }
                Effect::Write(bytes) => {
                    if let Some(conn) = self.keeper.and_then(|key| self.conns.get_mut(key)) {
                        conn.output.bytes.extend_from_slice(&bytes);
                    }
                }
                Effect::Close(why) => {
                    if let Some(key) = self.keeper {
                        // What ends a session goes out before its connection does.
                        self.flush(at, key);
                    }
                    if let Some(key) = self.keeper.take() {
                        self.close(at, key, Some(&why));
                    }
                }
                Effect::Apply(body) => self.apply_merged(at, &body),
                Effect::Gateways(numbers) => {
                    self.alive = numbers;
                    self.count_gateways();
                }
                Effect::Lease(input) => {
                    let effects = self.peers.as_mut().map(|peers| peers.told(at, input));
                    self.apply_peer_effects(at, effects.unwrap_or_default());
                }
                Effect::Change(node, data) => {
                    if let Some(hierarchy) = &mut self.hierarchy {
                        hierarchy.change(at, &node, &data);
                    }
                    self.check_hierarchy(at);
                }
            }
        }
        if let Some(key) = self.keeper {
            self.flush(at, key);
        }
        let due = self.membership.as_ref().and_then(Membership::next_due);
        self.core.deadlines.shift(&mut self.membership_due, due, Due::Membership);
    }

    /// Shares the budgets of cold stores by what is lent, or by the gateways that are alive; zones that no node tells of
    /// keep theirs.
    fn count_gateways(&mut self) {
        self.settings.shares = self.peers.as_ref().and_then(Peers::shares);
        let mut settings = self.settings.clone();
        let mut count = |zone: usize, number: u64| {
            if settings.zone_routers.len() <= zone {
                settings.zone_routers.resize(zone + 1, 1);
            }
            settings.zone_routers[zone] = number;
        };
        if let Some((all, near)) = self.peers.as_ref().and_then(Peers::standing) {
            count(self.own_zone, near);
            settings.routers = all.max(1);
        } else if !self.alive.is_empty() {
            let known = self.alive.iter().filter(|(zone, _)| **zone < self.terms.zones.len());
            known.for_each(|(zone, number)| count(*zone, *number));
            settings.routers = settings.zone_routers.iter().sum::<u64>().max(1);
        }
        self.core.adjust(now(), settings);
    }

    /// Applies an event: a change of the list by way of the merge, where sources are merged.
    fn apply_event(&mut self, at: Micros, body: bulletin::EventBody) {
        match (body, self.membership.as_mut().filter(|m| m.merges())) {
            (bulletin::EventBody::Roster { whole, stores }, Some(membership)) => {
                let effects = membership.list(at, whole, stores);
                self.perform(at, effects);
            }
            (body, _) => self.apply_merged(at, &body),
        }
    }

    /// Applies a change of the merged list, by way of what operators say of stores, or a purge.
    fn apply_merged(&mut self, at: Micros, body: &bulletin::EventBody) {
        match body {
            bulletin::EventBody::Roster { whole, stores } => {
                self.cordon_told(at, cordon::Input::List { whole: *whole, entries: stores.clone() });
            }
            body => self.core.apply_event(at, body),
        }
    }

    /// Takes in what the list, an operator or another process says of stores. Returns what a caller is told.
    fn cordon_told(&mut self, at: Micros, input: cordon::Input) -> Option<Verdict> {
        let (mut out, mut verdict) = (Vec::new(), None);
        self.cordon.handle(at, input, &mut out);
        for output in out {
            match output {
                cordon::Output::List { whole, entries } => {
                    self.apply_list(at, &bulletin::EventBody::Roster { whole, stores: entries });
                }
                cordon::Output::Keep(marks) => {
                    if let Some(upgrade) = &self.upgrade {
                        upgrade.keep(marks.clone());
                    }
                    self.tell_others(&Frame::Marks(marks));
                }
                cordon::Output::Verdict(told) => verdict = Some(told),
            }
        }
        self.core.deadlines.shift(&mut self.cordon_due, self.cordon.next_due(), Due::Cordon);
        verdict
    }

    /// Applies a change of the list as it counts: to the core, the hierarchy and the connections to stores.
    fn apply_list(&mut self, at: Micros, body: &bulletin::EventBody) {
        self.core.apply_event(at, body);
        let bulletin::EventBody::Roster { whole, stores } = body else { return };
        if let Some(hierarchy) = &mut self.hierarchy {
            hierarchy.roster(at, stores);
            self.check_hierarchy(at);
        }
        let named: BTreeSet<ServerId> = stores.iter().map(|s| s.host.server).collect();
        if *whole {
            for (_, pool) in self.pools.iter_mut().filter(|(id, _)| !named.contains(*id)) {
                pool.store.host.state = State::Removed;
            }
        }
        for store in stores {
            let pool = self
                .pools
                .entry(store.host.server)
                .or_insert_with(|| Pool { store: store.clone(), links: Vec::new() });
            // Another process stands behind a new address or start: old connections lead nowhere.
            let moved = pool.store.dial != store.dial || pool.store.host.started != store.host.started;
            let dial = store.dial.or(pool.store.dial);
            pool.store = Store { dial, ..store.clone() };
            if moved || store.host.state == State::Removed {
                let idle = |key: &Key| match self.conns.get(*key).map(|c| &c.role) {
                    Some(Role::Store(link)) => link.open.is_empty() && link.waiting.is_empty(),
                    _ => false,
                };
                let (close, keep): (Vec<Key>, Vec<Key>) = pool.links.iter().partition(|k| idle(k));
                pool.links = if moved { Vec::new() } else { keep };
                close.into_iter().for_each(|key| self.close(at, key, None));
                self.retire(store.host.server);
            }
        }
        let gone = |(id, p): (&ServerId, &Pool)| (p.store.host.state == State::Removed).then_some(*id);
        self.pools.iter().filter_map(gone).collect::<Vec<_>>().into_iter().for_each(|id| self.retire(id));
        self.tell_stores(at);
    }

    /// Forgets a store that is gone, once its last connection is.
    fn retire(&mut self, id: ServerId) {
        let over = |p: &Pool| p.store.host.state == State::Removed && p.links.is_empty();
        if self.pools.get(&id).is_some_and(over) {
            self.pools.remove(&id);
        }
    }
}
