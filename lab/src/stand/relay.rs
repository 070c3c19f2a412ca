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

/// Datagrams on their way at most; what is more is lost.
const MOST: usize = 20_000;

/// When, in which order, from whom to whom, and what.
type Waiting = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Shared {
    /// By number, the address at which the relay has a peer's datagrams, and the peer's own.
    sockets: Vec<UdpSocket>,
    own: Vec<SocketAddr>,
    /// Thousandths lost, and most ms on the way, of all.
    lost: AtomicU32,
    delay: AtomicU32,
    plan: Mutex<Option<(Plan, Instant)>>,
    waiting: Mutex<BinaryHeap<Waiting>>,
    more: Condvar,
    number: AtomicU64,
    passed: AtomicU64,
    /// Sent by each peer.
    sent: Vec<AtomicU64>,
    longest: AtomicU64,
    over: AtomicBool,
}

fn locked<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The network. It ends with it.
pub struct Relay {
    /// Where each peer is reached, and where it must listen itself.
    pub peers: Vec<(SocketAddr, SocketAddr)>,
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
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        }
        let reached = sockets.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let addresses: Vec<_> = reached.into_iter().zip(own.iter().copied()).collect();
        let shared = Arc::new(Shared {
            sockets,
            own,
            lost: AtomicU32::new(0),
            delay: AtomicU32::new(0),
            plan: Mutex::new(None),
            waiting: Mutex::new(BinaryHeap::new()),
            more: Condvar::new(),
            number: AtomicU64::new(0),
            passed: AtomicU64::new(0),
            sent: (0..peers).map(|_| AtomicU64::new(0)).collect(),
            longest: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let numbers: BTreeMap<SocketAddr, usize> =
            shared.own.iter().enumerate().map(|(n, at)| (*at, n)).collect();
        for to in 0..peers {
            let (shared, numbers) = (shared.clone(), numbers.clone());
            let random = Pcg64Mcg::seed_from_u64(seed ^ (to as u64) << 8);
            std::thread::spawn(move || take(&shared, &numbers, to, random));
        }
        let sender = shared.clone();
        std::thread::spawn(move || deliver(&sender));
        Ok(Relay { peers: addresses, shared })
    }

    /// Loses this share, and holds the rest for up to so many ms.
    pub fn set(&self, lost: f64, delay_ms: u32) {
        self.shared.lost.store((lost * 1000.0) as u32, Ordering::Relaxed);
        self.shared.delay.store(delay_ms, Ordering::Relaxed);
    }

    /// Plays the links' faults of a plan from now on.
    pub fn plan(&self, plan: Plan) {
        *locked(&self.shared.plan) = Some((plan, Instant::now()));
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
        self.shared.over.store(true, Ordering::Relaxed);
        self.shared.more.notify_all();
    }
}

/// Takes what is sent to one peer, and decides when it arrives, and whether.
fn take(shared: &Shared, numbers: &BTreeMap<SocketAddr, usize>, to: usize, mut random: Pcg64Mcg) {
    let mut bytes = [0; 2048];
    while !shared.over.load(Ordering::Relaxed) {
        let Ok((n, from)) = shared.sockets[to].recv_from(&mut bytes) else { continue };
        // Nobody else has an address here.
        let Some(&from) = numbers.get(&from) else { continue };
        shared.sent[from].fetch_add(1, Ordering::Relaxed);
        shared.longest.fetch_max(n as u64, Ordering::Relaxed);
        let link = match &*locked(&shared.plan) {
            Some((plan, began)) => plan.link(from, to, began.elapsed().as_millis() as u64),
            None => Link::default(),
        };
        let lost = f64::from(shared.lost.load(Ordering::Relaxed)) / 1000.0;
        if link.cut || random.random_bool(link.lost) || random.random_bool(lost) {
            continue;
        }
        let copies = 1 + usize::from(random.random_bool(link.twice));
        for _ in 0..copies {
            let most = link.delay_ms.max(u64::from(shared.delay.load(Ordering::Relaxed)));
            let mut late = random.random_range(0..=most);
            if random.random_bool(link.later.0) {
                late += link.later.1;
            }
            let number = shared.number.fetch_add(1, Ordering::Relaxed);
            let at = Instant::now() + Duration::from_millis(late);
            let mut waiting = locked(&shared.waiting);
            if waiting.len() < MOST {
                waiting.push(Reverse((at, number, from, to, bytes[..n].to_vec())));
                shared.more.notify_one();
            }
        }
    }
}

fn deliver(shared: &Shared) {
    let mut waiting = locked(&shared.waiting);
    while !shared.over.load(Ordering::Relaxed) {
        let now = Instant::now();
        let next = waiting.peek().map(|Reverse(first)| first.0);
        match next {
            Some(at) if at <= now => {
                if let Some(Reverse((_, _, from, to, bytes))) = waiting.pop() {
                    shared.passed.fetch_add(1, Ordering::Relaxed);
                    let _ = shared.sockets[from].send_to(&bytes, shared.own[to]);
                }
            }
            next => {
                let wait = next.map_or(Duration::from_millis(200), |at| at - now);
                waiting = match shared.more.wait_timeout(waiting, wait) {
                    Ok((waiting, _)) => waiting,
                    Err(e) => e.into_inner().0,
                };
            }
        }
    }
}
