//! Datagrams between gateways: the socket, who the others are, and the fleet's view that they are for. Decides nothing.
use crate::log;
use larchway::{Micros, ServerId};
use larchway_spread::{Input, Output, Report, Spread, SpreadFile};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Datagrams taken in a turn of the loop: what is more stays in the socket's queue, and is lost where that is full.
const TURN: usize = 256;

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

/// The peers of this gateway and what it has of them.
pub struct Peers {
    addresses: Addresses,
    socket: Option<UdpSocket>,
    spread: Spread,
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Peers {
    /// Listens where the configuration says. Without a socket, and without others, only own reports count.
    pub fn new(now: Micros, terms: SpreadFile, addresses: Addresses, zone: usize, seed: u64) -> Self {
        let place = (addresses.me, addresses.all.len());
        let spread = Spread::new(now, terms, zone, place, seed);
        let mut peers = Peers { addresses: Addresses::default(), socket: None, spread };
        peers.listen(addresses);
        peers
    }

    /// Takes other terms and addresses; what is known stays. Whether the socket is another one now.
    pub fn configure(&mut self, terms: SpreadFile, addresses: Addresses) -> bool {
        self.spread.configure(terms, (addresses.me, addresses.all.len()));
        self.listen(addresses)
    }

    fn listen(&mut self, addresses: Addresses) -> bool {
        let moved = self.addresses.own != addresses.own;
        if moved {
            self.socket = None;
            match addresses.own.map(open) {
                Some(Ok(socket)) => self.socket = Some(socket),
                // Nothing is owed to peers: without them the view is of own reports.
                Some(Err(e)) => log!("peer_listen: cannot listen: {e}"),
                None => {}
            }
        }
        self.addresses = addresses;
        moved
    }

    /// The socket, for the poller.
    pub fn socket(&self) -> Option<&UdpSocket> {
        self.socket.as_ref()
    }

    /// When [`Peers::tick`] is due.
    pub fn next_due(&self) -> Micros {
        self.spread.next_due()
    }

    /// The stores of the own location that are up now, and how many gateways share their probes.
    pub fn stores(&mut self, now: Micros, stores: Vec<ServerId>, sharers: u64) {
        self.spread.handle(now, Input::Stores(stores, sharers), &mut Vec::new());
    }

    /// A store reported its load.
    pub fn reported(&mut self, now: Micros, store: ServerId, load: f64) {
        self.spread.handle(now, Input::Report(store, load), &mut Vec::new());
    }

    /// Takes in what has come.
    pub fn hear(&mut self, now: Micros) {
        let Some(socket) = &self.socket else { return };
        // One byte more than the longest: what is cut off here must not pass for a whole one.
        let mut bytes = [0; larchway_spread::wire::LONGEST + 1];
        for _ in 0..TURN {
            match socket.recv_from(&mut bytes) {
                Ok((n, _)) => self.spread.handle(now, Input::Datagram(&bytes[..n]), &mut Vec::new()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // A peer that is gone may show in an error of the next call; it concerns no other.
                Err(_) => {}
            }
        }
    }

    /// Lets the view decide and tell; returns what stores shed, if that is told anew, and which are to be probed.
    pub fn tick(&mut self, now: Micros) -> (Option<Vec<(ServerId, f64)>>, Vec<ServerId>) {
        let mut out = Vec::new();
        self.spread.handle(now, Input::Tick, &mut out);
        let (mut shed, mut probes) = (None, Vec::new());
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    if let (Some(socket), Some(address)) = (&self.socket, self.addresses.all.get(to)) {
                        // What is lost here is as good as lost on the way.
                        let _ = socket.send_to(&bytes, address);
                    }
                }
                Output::Probe(store) => probes.push(store),
                Output::Shed(shares) => shed = Some(shares),
            }
        }
        (shed, probes)
    }

    /// What operators are told.
    pub fn report(&self, now: Micros) -> Report {
        self.spread.report(now)
    }
}
