//! A stand-in network for datagrams between gateways: each peer is reached at an address of the relay's, which loses,
//! delays, doubles and cuts what passes by a plan. What arrives comes from the sender's address, as on the platform.
use crate::faults::plan::{Link, Plan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Datagrams in transit at most; what is more is lost.
const MAX_IN_TRANSIT: usize = 20_000;

/// How long a thread waits before it looks whether the network has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of the longest datagram that is passed on.
const MAX_DATAGRAM: usize = 2048;
/// Shares are stored in thousandths.
const SHARE_UNIT: f64 = 1000.0;

/// A datagram in transit; the order is that of delivery.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedDatagram {
    due: Instant,
    /// Decides between datagrams that are due at once.
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A plan that is played since a time.
struct ActivePlan {
    plan: Plan,
    began: Instant,
}

struct Shared {
    /// By number, the address at which the relay has a peer's datagrams, and the peer's own.
    sockets: Vec<UdpSocket>,
    own: Vec<SocketAddr>,
    /// Thousandths lost, and most ms on the way, of all.
    lost: AtomicU32,
    delay: AtomicU32,
    plan: Mutex<Option<ActivePlan>>,
    in_transit: Mutex<BinaryHeap<Reverse<QueuedDatagram>>>,
    queued: Condvar,
    number: AtomicU64,
    passed: AtomicU64,
    /// Sent by each peer.
    sent: Vec<AtomicU64>,
    longest: AtomicU64,
    stopped: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The addresses of a peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerAddresses {
    /// Where the others reach it: at the relay.
    pub reached: SocketAddr,
    /// Where it must listen itself.
    pub listen: SocketAddr,
}

/// The network. It ends when this is dropped.
pub struct Relay {
    /// By the peer's number.
    pub peers: Vec<PeerAddresses>,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts one between so many.
    pub fn start(peers: usize, seed: u64) -> std::io::Result<Self> {
        // Addresses that nobody has now: all are held until all are found, so that none is given twice.
        let held = (0..peers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let own = held.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let sockets = (0..peers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        for socket in &sockets {
            socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        }
        let reached = sockets.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let pairs = reached.into_iter().zip(own.iter().copied());
        let addresses = pairs.map(|(reached, listen)| PeerAddresses { reached, listen }).collect();
        let shared = Arc::new(Shared {
            sockets,
            own,
            lost: AtomicU32::new(0),
            delay: AtomicU32::new(0),
            plan: Mutex::new(None),
            in_transit: Mutex::new(BinaryHeap::new()),
            queued: Condvar::new(),
            number: AtomicU64::new(0),
            passed: AtomicU64::new(0),
            sent: (0..peers).map(|_| AtomicU64::new(0)).collect(),
            longest: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let numbers: BTreeMap<SocketAddr, usize> =
            shared.own.iter().enumerate().map(|(n, at)| (*at, n)).collect();
        for to in 0..peers {
            let (shared, numbers) = (shared.clone(), numbers.clone());
            let random = Pcg64Mcg::seed_from_u64(seed ^ (to as u64) << 8);
            std::thread::spawn(move || receive(&shared, &numbers, to, random));
        }
        let sender = shared.clone();
        std::thread::spawn(move || deliver(&sender));
        Ok(Relay { peers: addresses, shared })
    }

    /// Loses this share, and holds the rest for up to so many ms.
    pub fn set(&self, lost: f64, delay_ms: u32) {
        self.shared.lost.store((lost * SHARE_UNIT) as u32, Ordering::Relaxed);
        self.shared.delay.store(delay_ms, Ordering::Relaxed);
    }

    /// Plays the links' faults of a plan from now on.
    pub fn plan(&self, plan: Plan) {
        *lock(&self.shared.plan) = Some(ActivePlan { plan, began: Instant::now() });
    }

    /// Datagrams that have passed.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }

    /// Datagrams that each peer has sent.
    pub fn sent(&self) -> Vec<u64> {
        self.shared.sent.iter().map(|n| n.load(Ordering::Relaxed)).collect()
    }

    /// Bytes of the longest.
    pub fn longest(&self) -> u64 {
        self.shared.longest.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.shared.queued.notify_all();
    }
}

/// Receives what is sent to one peer, and decides whether and when it is delivered.
fn receive(shared: &Shared, numbers: &BTreeMap<SocketAddr, usize>, to: usize, mut random: Pcg64Mcg) {
    let mut bytes = [0; MAX_DATAGRAM];
    while !shared.stopped.load(Ordering::Relaxed) {
        let Ok((length, from)) = shared.sockets[to].recv_from(&mut bytes) else { continue };
        // Nobody else has an address here.
        let Some(&from) = numbers.get(&from) else { continue };
        shared.sent[from].fetch_add(1, Ordering::Relaxed);
        shared.longest.fetch_max(length as u64, Ordering::Relaxed);
        let link = match &*lock(&shared.plan) {
            Some(ActivePlan { plan, began }) => plan.link(from, to, began.elapsed().as_millis() as u64),
            None => Link::default(),
        };
        let lost = f64::from(shared.lost.load(Ordering::Relaxed)) / SHARE_UNIT;
        if link.cut || random.random_bool(link.lost) || random.random_bool(lost) {
            continue;
        }
        let copies = 1 + usize::from(random.random_bool(link.twice));
        for _ in 0..copies {
            let max_delay = link.delay_ms.max(u64::from(shared.delay.load(Ordering::Relaxed)));
            let mut delay_ms = random.random_range(0..=max_delay);
            if random.random_bool(link.reordering.share) {
                delay_ms += link.reordering.delay_ms;
            }
            let number = shared.number.fetch_add(1, Ordering::Relaxed);
            let due = Instant::now() + Duration::from_millis(delay_ms);
            let mut in_transit = lock(&shared.in_transit);
            if in_transit.len() < MAX_IN_TRANSIT {
                let bytes = bytes[..length].to_vec();
                in_transit.push(Reverse(QueuedDatagram { due, number, from, to, bytes }));
                shared.queued.notify_one();
            }
        }
    }
}

/// Delivers what is due, until the network has ended.
fn deliver(shared: &Shared) {
    let mut in_transit = lock(&shared.in_transit);
    while !shared.stopped.load(Ordering::Relaxed) {
        let now = Instant::now();
        let next_due = in_transit.peek().map(|Reverse(first)| first.due);
        if next_due.is_some_and(|due| due <= now) {
            if let Some(Reverse(QueuedDatagram { from, to, bytes, .. })) = in_transit.pop() {
                shared.passed.fetch_add(1, Ordering::Relaxed);
                // A datagram that cannot be sent is lost.
                let _ = shared.sockets[from].send_to(&bytes, shared.own[to]);
            }
            continue;
        }
        let wait = next_due.map_or(STOP_CHECK_INTERVAL, |due| due - now);
        let waited = shared.queued.wait_timeout(in_transit, wait);
        in_transit = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
