//! The other gateways of the tier: the socket, who they are, and the parts that talk over it, each in the one envelope:
//! who is there, the shares lent, words of stores, the stores' load. Decides nothing.
use crate::log;
use larchway::{Micros, ServerId, Shares};
use larchway_fleet::lease::{self, Configured, Lease};
use larchway_fleet::members::{self, Members, Verdict};
use larchway_fleet::wire::{self, Fault, Kind};
use larchway_fleet::words::{self, Found, Words};
use larchway_fleet::FleetFile;
use larchway_spread::{Input, Output, Spread, SpreadFile};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Datagrams taken in a turn of the loop: what is more stays in the socket's queue, and is lost where that is full.
const TURN: usize = 256;
/// µs after which an address that is not free is tried again: the other process of an upgrade has it.
const AGAIN: Micros = 250_000;
/// µs between two datagrams of words, and to how many others each goes.
const WORDS: (Micros, usize) = (300_000, 3);
/// Change of a share from which on the module is told.
const CHANGE: f64 = 0.01;

/// Where gateways of the tier hear each other, by the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Addresses {
    /// Where this one listens, if datagrams are allowed.
    pub own: Option<SocketAddr>,
    /// All of the tier, its own among them, by their numbers.
    pub all: Vec<SocketAddr>,
    /// Its own number.
    pub me: usize,
}

/// What the parts go by: their files, each off without one, and what the configuration says.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The stores' load.
    pub spread: Option<SpreadFile>,
    /// Membership, shares and words.
    pub fleet: Option<FleetFile>,
    /// Where gateways hear each other.
    pub addresses: Addresses,
    /// How many there are.
    pub configured: Configured,
    /// Whether shares are lent: gateways have sessions with an ensemble.
    pub lent: bool,
    /// For numbers drawn; new with each start.
    pub seed: u64,
}

impl Terms {
    /// Whether no part is on.
    pub fn off(&self) -> bool {
        self.spread.is_none() && self.fleet.is_none()
    }
}

/// What the loop is to do.
#[derive(Debug)]
pub enum Effect {
    /// These stores shed these shares of their objects.
    Shed(Vec<(ServerId, f64)>),
    /// Ask this store for its report.
    Probe(ServerId),
    /// Another gateway found that this store fails.
    Suspect(ServerId),
    /// The shares that may be used, or the gateways that stand, are others now: see [`Peers::shares`].
    Shares,
    /// The socket is another one now.
    Socket,
}

/// Membership, shares and words at this gateway.
struct Fleet {
    terms: FleetFile,
    members: Members,
    words: Words,
    words_due: Micros,
    /// The stores that this gateway itself avoids, as last looked at.
    avoided: BTreeSet<ServerId>,
    lease: Lease,
    /// Whether shares are lent at all.
    lent: bool,
    shares: Option<Shares>,
    standing: Option<(u64, u64)>,
}

/// The peers of this gateway and what it has of them.
pub struct Peers {
    addresses: Addresses,
    socket: Option<UdpSocket>,
    /// By address, the number.
    numbers: BTreeMap<SocketAddr, u16>,
    again: Option<Micros>,
    spread: Option<Spread>,
    fleet: Option<Fleet>,
    /// Datagrams turned down, by cause.
    turned_down: BTreeMap<Fault, u64>,
}

#[derive(Serialize)]
struct Report {
    members: members::Report,
    lease: LeaseReport,
    words_told: u64,
    words_heard: u64,
    turned_down: BTreeMap<&'static str, u64>,
}

#[derive(Serialize)]
struct LeaseReport {
    /// Whether shares are lent, and this gateway has one now.
    lent: bool,
    held: bool,
    /// Gateways whose sessions live, in all and in the own zone.
    standing: u64,
    standing_near: u64,
    /// What may be used now, of what all divide and of what the own zone divides.
    share: f64,
    share_near: f64,
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn number(at: usize) -> u16 {
    u16::try_from(at).unwrap_or(u16::MAX)
}

impl Fleet {
    fn new(at: Micros, file: FleetFile, terms: &Terms) -> Self {
        let (me, all) = (number(terms.addresses.me), terms.addresses.all.len());
        Fleet {
            members: Members::new(at, file.clone(), me, all, terms.seed),
            terms: file,
            words: Words::default(),
            words_due: 0,
            avoided: BTreeSet::new(),
            lease: Lease::new(terms.configured.clone()),
            // Danger: one that starts has lost what it had lent out; it must not take its whole share up unasked.
            lent: terms.lent,
            shares: None,
            standing: None,
        }
    }

    fn report(&self, at: Micros, turned_down: &BTreeMap<Fault, u64>) -> String {
        let terms = lease::Terms::of(&self.terms);
        let share = self.lease.share(&terms, at);
        let (standing, standing_near) = self.lease.standing(&terms, at);
        let now = if self.lent { share.now(at) } else { self.lease.whole() };
        let name = |fault: &Fault| match fault {
            Fault::Foreign => "foreign",
            Fault::Malformed => "malformed",
            Fault::Spoilt => "spoilt",
            Fault::Version => "version",
        };
        let report = Report {
            members: self.members.report(at),
            lease: LeaseReport {
                lent: self.lent,
                held: self.lent && self.lease.holds(&terms, at),
                standing,
                standing_near,
                share: now.0,
                share_near: now.1,
            },
            words_told: self.words.told,
            words_heard: self.words.heard,
            turned_down: turned_down.iter().map(|(fault, n)| (name(fault), *n)).collect(),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }

    /// The shares that may be used, if they are others than those last told of.
    fn shares(&mut self, at: Micros) -> Option<Effect> {
        let terms = lease::Terms::of(&self.terms);
        let new = self.lent.then(|| self.lease.share(&terms, at));
        let far = |a: (f64, f64), b: (f64, f64)| {
            (a.0 - b.0).abs() > CHANGE * b.0 || (a.1 - b.1).abs() > CHANGE * b.1
        };
        let changed = match (&self.shares, &new) {
            (Some(old), Some(new)) => {
                old.until != new.until || far(old.lent, new.lent) || far(old.alone, new.alone)
            }
            (old, new) => old.is_some() != new.is_some(),
        };
        let standing = new.filter(|new| at < new.until).map(|_| self.lease.standing(&terms, at));
        let changed = changed || self.standing != standing;
        (self.shares, self.standing) = (new, standing);
        changed.then_some(Effect::Shares)
    }
}

impl Peers {
    /// Listens where the configuration says. Without a socket, and without others, each part goes by what it sees alone.
    pub fn new(at: Micros, terms: &Terms) -> Self {
        let mut peers = Peers {
            addresses: Addresses::default(),
            socket: None,
            numbers: BTreeMap::new(),
            again: None,
            spread: None,
            fleet: None,
            turned_down: BTreeMap::new(),
        };
        peers.configure(at, terms);
        peers
    }

    /// Takes other terms and addresses; what is known stays. Whether the socket is another one now.
    pub fn configure(&mut self, at: Micros, terms: &Terms) -> bool {
        let (me, all) = (terms.addresses.me, terms.addresses.all.len());
        match (&mut self.spread, &terms.spread) {
            (Some(spread), Some(file)) => spread.configure(file.clone(), (me, all)),
            (spread, file) => {
                let zone = terms.configured.zone;
                *spread = file.clone().map(|file| Spread::new(at, file, zone, (me, all), terms.seed));
            }
        }
        match (&mut self.fleet, &terms.fleet) {
            (Some(fleet), Some(file)) => {
                fleet.members.configure(file.clone());
                let input = members::Input::Configured(number(me), all);
                fleet.members.handle(at, input, &mut Vec::new());
                fleet.lease.configure(terms.configured.clone());
                (fleet.terms, fleet.lent) = (file.clone(), terms.lent);
            }
            (fleet, file) => *fleet = file.clone().map(|file| Fleet::new(at, file, terms)),
        }
        // In force with the configuration; the next tick need not tell of them.
        if let Some(fleet) = &mut self.fleet {
            fleet.shares(at);
        }
        self.numbers = terms.addresses.all.iter().enumerate().map(|(n, a)| (*a, number(n))).collect();
        let moved = self.addresses.own != terms.addresses.own;
        self.addresses = terms.addresses.clone();
        if moved {
            self.socket = None;
            self.listen(at);
        }
        moved
    }

    fn listen(&mut self, at: Micros) {
        self.again = None;
        match self.addresses.own.map(open) {
            Some(Ok(socket)) => self.socket = Some(socket),
            // Nothing is owed to peers: without them each part goes by what it sees alone.
            Some(Err(e)) => {
                log!("peer_listen: cannot listen: {e}");
                self.again = Some(at + AGAIN);
            }
            None => {}
        }
    }

    /// The socket, for the poller.
    pub fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// Whether the stores' load is told.
    pub fn spreads(&self) -> bool {
        self.spread.is_some()
    }

    /// The shares that may be used, if they are lent.
    pub fn shares(&self) -> Option<Shares> {
        self.fleet.as_ref().and_then(|f| f.shares)
    }

    /// How many gateways stand, in all and in the own zone, while that is known for sure. What the others carry is judged
    /// by it; what they may use goes by the shares.
    pub fn standing(&self) -> Option<(u64, u64)> {
        self.fleet.as_ref().and_then(|f| f.standing)
    }

    /// When [`Peers::tick`] is due.
    pub fn next_due(&self) -> Option<Micros> {
        let fleet = self.fleet.as_ref().map(|f| f.members.next_due());
        [self.spread.as_ref().map(Spread::next_due), fleet, self.again].into_iter().flatten().min()
    }

    /// The stores of the own location that are up now, and how many gateways share their probes.
    pub fn stores(&mut self, now: Micros, stores: Vec<ServerId>, sharers: u64) {
        if let Some(spread) = &mut self.spread {
            spread.handle(now, Input::Stores(stores, sharers), &mut Vec::new());
        }
    }

    /// A store reported its load.
    pub fn reported(&mut self, now: Micros, store: ServerId, load: f64) {
        if let Some(spread) = &mut self.spread {
            spread.handle(now, Input::Report(store, load), &mut Vec::new());
        }
    }

    /// The ensemble told of the gateways' sessions.
    pub fn told(&mut self, now: Micros, input: lease::Input) -> Vec<Effect> {
        let Some(fleet) = &mut self.fleet else { return Vec::new() };
        fleet.lease.handle(now, input);
        fleet.shares(now).into_iter().collect()
    }

    fn send(&self, to: usize, kind: Kind, body: &[u8]) {
        if let (Some(socket), Some(address)) = (&self.socket, self.addresses.all.get(to)) {
            // What is lost here is as good as lost on the way.
            let _ = socket.send_to(&wire::seal(kind, number(self.addresses.me), body), address);
        }
    }

    /// Takes in what has come.
    pub fn hear(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        // One byte more than the longest: what is cut off here must not pass for a whole one.
        let mut bytes = [0; wire::LONGEST + 1];
        for _ in 0..TURN {
            let Some(socket) = &self.socket else { break };
            match socket.recv_from(&mut bytes) {
                Ok((n, from)) => {
                    if let Err(fault) = self.take(now, &bytes[..n], from, &mut effects) {
                        *self.turned_down.entry(fault).or_default() += 1;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // A peer that is gone may show in an error of the next call; it concerns no other.
                Err(_) => {}
            }
        }
        effects
    }

    /// Takes in a datagram, if it comes from a gateway of the tier and is whole.
    fn take(
        &mut self,
        now: Micros,
        bytes: &[u8],
        from: SocketAddr,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Fault> {
        let sender = *self.numbers.get(&from).ok_or(Fault::Foreign)?;
        let told = wire::open(bytes)?;
        if told.from != sender || usize::from(sender) == self.addresses.me {
            return Err(Fault::Foreign);
        }
        let mut out = Vec::new();
        match (told.kind, &mut self.spread, &mut self.fleet) {
            (Kind::Load, Some(spread), _) => {
                spread.handle(now, Input::Datagram(told.body), &mut Vec::new());
            }
            (Kind::Words, _, Some(fleet)) if fleet.terms.words => {
                let words = words::read(told.body).ok_or(Fault::Malformed)?;
                let new = fleet.words.hear(now, words);
                let failing = new.into_iter().filter(|w| w.found == Found::Failing);
                effects.extend(failing.map(|w| Effect::Suspect(w.store)));
            }
            (Kind::Ping | Kind::Ack | Kind::Reach, _, Some(fleet)) => {
                fleet.members.handle(now, members::Input::Heard(told.kind, sender, told.body), &mut out);
            }
            // A part that is off here.
            _ => {}
        }
        self.carry_out(out);
        Ok(())
    }

    fn carry_out(&mut self, out: Vec<members::Output>) {
        for output in out {
            match output {
                members::Output::Send(to, kind, body) => self.send(usize::from(to), kind, &body),
                members::Output::Changed(who, Verdict::Dead) => log!("gateway {who} is taken for dead"),
                members::Output::Changed(who, Verdict::Left) => log!("gateway {who} has left"),
                members::Output::Changed(who, Verdict::Alive) => log!("gateway {who} is back"),
                members::Output::Paused(gone) => log!("stood still for {} ms", gone / 1000),
                members::Output::Dark(true) => log!("no other gateway is heard"),
                members::Output::Dark(false) => log!("other gateways are heard again"),
            }
        }
    }

    /// Lets the parts decide and tell. `avoided`: the stores that the module avoids now by what this gateway saw itself.
    pub fn tick(&mut self, now: Micros, avoided: BTreeSet<ServerId>) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.again.is_some_and(|at| at <= now) {
            self.listen(now);
            if self.socket.is_some() {
                effects.push(Effect::Socket);
            }
        }
        let mut told = Vec::new();
        if let Some(spread) = &mut self.spread {
            spread.handle(now, Input::Tick, &mut told);
        }
        for output in told {
            match output {
                Output::Send(to, bytes) => self.send(to, Kind::Load, &bytes),
                Output::Probe(store) => effects.push(Effect::Probe(store)),
                Output::Shed(shares) => effects.push(Effect::Shed(shares)),
            }
        }
        let (mut out, mut passed_on) = (Vec::new(), Vec::new());
        let me = number(self.addresses.me);
        if let Some(fleet) = &mut self.fleet {
            fleet.members.handle(now, members::Input::Tick, &mut out);
            effects.extend(fleet.shares(now));
            let old = std::mem::replace(&mut fleet.avoided, avoided);
            if fleet.terms.words {
                let new: Vec<ServerId> = fleet.avoided.difference(&old).copied().collect();
                new.into_iter().for_each(|store| fleet.words.own(now, me, store, Found::Failing));
                let back: Vec<ServerId> = old.difference(&fleet.avoided).copied().collect();
                back.into_iter().for_each(|store| fleet.words.own(now, me, store, Found::Back));
            }
            if now >= fleet.words_due {
                let words = fleet.words.take();
                if !words.is_empty() {
                    fleet.words_due = now + WORDS.0;
                    let body = words::write(&words);
                    passed_on =
                        fleet.members.some(WORDS.1).into_iter().map(|to| (to, body.clone())).collect();
                }
            }
        }
        self.carry_out(out);
        for (to, body) in passed_on {
            self.send(usize::from(to), Kind::Words, &body);
        }
        effects
    }

    /// The gateway stops as planned.
    pub fn farewell(&mut self, now: Micros) {
        let mut out = Vec::new();
        if let Some(fleet) = &mut self.fleet {
            fleet.members.handle(now, members::Input::Farewell, &mut out);
        }
        self.carry_out(out);
    }

    /// What operators are told of the stores' load, if it is told here.
    pub fn load(&self, now: Micros) -> Option<String> {
        self.spread.as_ref().map(|s| serde_json::to_string(&s.report(now)).unwrap_or_default())
    }

    /// What operators are told of the fleet, if it is on.
    pub fn fleet(&self, now: Micros) -> Option<String> {
        self.fleet.as_ref().map(|f| f.report(now, &self.turned_down))
    }
}
