//! A stand-in for the network between a region and the relays: passes connections on, can be cut, and can be slow.
use super::accepted::Acceptor;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: u64 = 50;
const READ_STEP: usize = 16 << 10;

#[derive(Default)]
struct Shared {
    /// Nothing passes, and connections stay open: neither side notices.
    cut: AtomicBool,
    /// Bytes a second for each connection; 0: as many as there are.
    rate: AtomicU64,
    has_ended: AtomicBool,
}

/// A link to one address. It ends with the last of its clones.
#[derive(Clone)]
pub struct Link {
    /// Where the region finds it.
    pub address: SocketAddr,
    server: Arc<Server>,
}

/// What all clones of a link have: its connections end with it, also while it is cut.
struct Server {
    shared: Arc<Shared>,
    _acceptor: Acceptor,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.has_ended.store(true, Ordering::Relaxed);
    }
}

impl Link {
    /// A link that passes all on.
    pub fn to(target: SocketAddr) -> std::io::Result<Link> {
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        let serve = move |near: Arc<TcpStream>| {
            // A connection that cannot be made further, or ends, ends here.
            let _ = pass(&near, target, &own);
        };
        let (acceptor, address) = Acceptor::start(serve)?;
        Ok(Link { address, server: Arc::new(Server { shared, _acceptor: acceptor }) })
    }

    /// Cuts the link, or mends it.
    pub fn cut(&self, cut: bool) {
        self.server.shared.cut.store(cut, Ordering::Relaxed);
    }

    /// Lets so many bytes a second pass on each connection.
    pub fn slow(&self, rate: u64) {
        self.server.shared.rate.store(rate, Ordering::Relaxed);
    }
}

/// Passes both directions on until one ends.
fn pass(near: &TcpStream, target: SocketAddr, shared: &Shared) -> Option<()> {
    while shared.cut.load(Ordering::Relaxed) && !shared.has_ended.load(Ordering::Relaxed) {
        std::thread::sleep(STEP);
    }
    let far = TcpStream::connect(target).ok()?;
    near.set_nonblocking(true).ok()?;
    far.set_nonblocking(true).ok()?;
    let mut bytes = vec![0; READ_STEP];
    while !shared.has_ended.load(Ordering::Relaxed) {
        std::thread::sleep(STEP);
        if shared.cut.load(Ordering::Relaxed) {
            continue;
        }
        let rate = shared.rate.load(Ordering::Relaxed);
        let most = match rate {
            0 => READ_STEP,
            rate => ((rate / STEPS_PER_SECOND) as usize).clamp(1, READ_STEP),
        };
        copy(near, &far, &mut bytes[..])?;
        copy(&far, near, &mut bytes[..most])?;
    }
    None
}

/// Copies once; none once either side has ended.
fn copy(mut from: &TcpStream, mut to: &TcpStream, bytes: &mut [u8]) -> Option<()> {
    match from.read(bytes) {
        Ok(0) => None,
        Ok(count) => {
            to.set_nonblocking(false).ok()?;
            let written = to.write_all(&bytes[..count]);
            to.set_nonblocking(true).ok()?;
            written.ok()
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Some(()),
        Err(_) => None,
    }
}
