//! A stand-in network for datagrams between gateways: each peer is reached at an address of the relay's, which loses and
//! delays what passes.
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[derive(Default)]
struct Shared {
    /// Thousandths lost, and most ms on the way.
    lost: AtomicU32,
    delay: AtomicU32,
    passed: AtomicU64,
    over: AtomicBool,
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
        let shared = Arc::new(Shared::default());
        // Addresses that nobody has now: all are held until all are found, so that none is given twice.
        let held = (0..peers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let own = held.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let mut addresses = Vec::new();
        for (at, to) in own.into_iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
            addresses.push((socket.local_addr()?, to));
            let shared = shared.clone();
            std::thread::spawn(move || pass(&socket, to, &shared, seed ^ (at as u64) << 8));
        }
        Ok(Relay { peers: addresses, shared })
    }

    /// Loses this share, and holds the rest for up to so many ms.
    pub fn set(&self, lost: f64, delay_ms: u32) {
        self.shared.lost.store((lost * 1000.0) as u32, Ordering::Relaxed);
        self.shared.delay.store(delay_ms, Ordering::Relaxed);
    }

    /// Datagrams that have passed.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

fn pass(socket: &UdpSocket, to: SocketAddr, shared: &Shared, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut bytes = [0; 2048];
    while !shared.over.load(Ordering::Relaxed) {
        let Ok(n) = socket.recv(&mut bytes) else { continue };
        if random.random_range(0..1000) < shared.lost.load(Ordering::Relaxed) {
            continue;
        }
        let most = shared.delay.load(Ordering::Relaxed);
        if most > 0 {
            std::thread::sleep(Duration::from_millis(random.random_range(0..=u64::from(most))));
        }
        shared.passed.fetch_add(1, Ordering::Relaxed);
        let _ = socket.send_to(&bytes[..n], to);
    }
}
