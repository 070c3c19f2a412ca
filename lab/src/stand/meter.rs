//! Passes connections on to one address, and counts the bytes of both directions.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Most bytes passed on at once.
const PIECE: usize = 16 * 1024;

/// A meter. Its listener lives as long as the process.
#[derive(Debug, Clone)]
pub struct Meter {
    /// Where it listens.
    pub address: SocketAddr,
    passed: Arc<AtomicU64>,
}

impl Meter {
    /// A meter before an address.
    pub fn before(target: SocketAddr) -> std::io::Result<Meter> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let passed = Arc::new(AtomicU64::new(0));
        let counted = passed.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A connection that cannot be made further ends here, as one that is refused.
                let _ = join(near, target, &counted);
            }
        });
        Ok(Meter { address, passed })
    }

    /// Bytes passed on in both directions so far.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }
}

/// Connects both sides, by a thread for each direction.
fn join(near: TcpStream, target: SocketAddr, passed: &Arc<AtomicU64>) -> std::io::Result<()> {
    let far = TcpStream::connect(target)?;
    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
    }
    let (near_reader, far_reader) = (near.try_clone()?, far.try_clone()?);
    let (up, down) = (passed.clone(), passed.clone());
    std::thread::spawn(move || pass(near_reader, far, &up));
    std::thread::spawn(move || pass(far_reader, near, &down));
    Ok(())
}

/// Passes bytes on until either side ends, then ends both.
fn pass(mut from: TcpStream, mut to: TcpStream, passed: &AtomicU64) {
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
