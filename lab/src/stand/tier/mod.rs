//! A stand-in for a tier of the hierarchy: an edge cache, a parent or the origin, on the wire to stores. Caches and
//! parents store what was requested, the oldest is evicted first; a parent that has started is slow and empty; the
//! origin has few workers and stops when it is overloaded for too long. Parents pass a trail on (RFC 8586), as a field
//! of their own that the platform's wire does not know.
mod client;
mod messages;
mod origin;
mod parent;
mod respond;
mod server;
mod state;

pub use state::{Kind, LoopCounts, Net, SeenRequest, COLD_SPAN};

use crate::clock::now;
use state::{lock, ObjectStore, State, Upstream};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A server of a tier. Its threads end with the process.
pub struct Tier {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Tier {
    /// Starts one, known to the others by its name.
    ///
    /// # Errors
    /// Those of listening on loopback.
    pub fn start(name: &str, kind: Kind, service: Duration, net: &Net) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        lock(net).insert(name.to_string(), address);
        let state = Arc::new(State::new(name, kind, service, net.clone()));
        let accepting = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = accepting.clone();
                std::thread::spawn(move || server::serve(stream, &state));
            }
        });
        Ok(Tier { address, state })
    }

    /// It has these objects from before.
    pub fn fill(&self, objects: impl Iterator<Item = String>) {
        objects.for_each(|object| self.state.store_object(&object));
    }

    /// It starts now: cold and empty.
    pub fn start_cold(&self) {
        *lock(&self.state.objects) = ObjectStore::default();
        self.state.started_at.store(now(), Ordering::Relaxed);
    }

    /// Ends its process, or starts it again.
    pub fn dead(&self, dead: bool) {
        self.state.dead.store(dead, Ordering::Relaxed);
    }

    /// Multiplies its service time.
    pub fn slow(&self, times: f64) {
        self.state.set_slowdown(times);
    }

    /// What it fetches from, as it knows of this epoch.
    pub fn upstream(&self, name: &str, epoch: u64) {
        *lock(&self.state.upstream) = Upstream { name: name.into(), epoch };
    }

    /// Requests so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state.seen).clone()
    }

    /// Loops that it was part of.
    pub fn loops(&self) -> LoopCounts {
        self.state.loops.load()
    }

    /// Whether the origin has stopped at some time.
    pub fn stopped(&self) -> bool {
        self.state.stopped_until.load(Ordering::Relaxed) > 0
    }

    /// Requests a second that it can serve.
    pub fn capacity(&self) -> f64 {
        self.state.kind.workers() as f64 / self.state.service.as_secs_f64()
    }
}
