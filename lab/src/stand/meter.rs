//! Passes connections on to one address, and counts the bytes of both directions.
use super::accepted::Acceptor;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Most bytes passed on at once.
const PIECE: usize = 16 * 1024;

/// A meter. It ends with the last of its clones.
#[derive(Clone)]
pub struct Meter {
    /// Where it listens.
    pub address: SocketAddr,
    passed: Arc<AtomicU64>,
    _acceptor: Arc<Acceptor>,
}

impl Meter {
    /// A meter before an address.
    pub fn before(target: SocketAddr) -> std::io::Result<Meter> {
        let passed = Arc::new(AtomicU64::new(0));
        let counted = passed.clone();
        let serve = move |near: Arc<TcpStream>| {
            // A connection that cannot be made further ends here, as one that is refused.
            let _ = join(&near, target, &counted);
        };
        let (acceptor, address) = Acceptor::start(serve)?;
        Ok(Meter { address, passed, _acceptor: Arc::new(acceptor) })
    }

    /// Bytes passed on in both directions so far.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }
}

/// Connects both sides, and passes on until both directions have ended.
fn join(near: &TcpStream, target: SocketAddr, passed: &AtomicU64) -> std::io::Result<()> {
    let far = TcpStream::connect(target)?;
    for stream in [near, &far] {
        stream.set_nodelay(true)?;
    }
    std::thread::scope(|scope| {
        scope.spawn(|| pass(&far, near, passed));
        pass(near, &far, passed);
    });
    Ok(())
}

/// Passes bytes on until either side ends, then ends both.
fn pass(mut from: &TcpStream, mut to: &TcpStream, passed: &AtomicU64) {
    let mut piece = vec![0; PIECE];
    while let Ok(read @ 1..) = from.read(&mut piece) {
        if to.write_all(&piece[..read]).is_err() {
            break;
        }
        passed.fetch_add(read as u64, Ordering::Relaxed);
    }
    // One that has ended already is as good.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
