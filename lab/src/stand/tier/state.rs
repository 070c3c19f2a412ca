//! The state of a tier's server: its objects, its workers and its counters.
use crate::clock::now;
use larchway::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The share of its speed at which a started parent begins.
const COLD_SPEED: f64 = 0.1;
/// µs until it has its full speed.
pub const COLD_SPAN: Micros = 10_000_000;
/// Workers of a cache or a parent.
const CACHE_WORKERS: usize = 4;
/// The server that the origin is reached at.
pub(super) const ORIGIN_SERVER: &str = "s-c0";
/// The slowdown is stored in thousandths.
const SLOWDOWN_UNIT: f64 = 1000.0;

/// What a server is, with its size.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// An edge cache for so many objects.
    Cache(usize),
    /// A parent for so many objects.
    Parent(usize),
    /// The origin with so many workers.
    Origin(usize),
}

impl Kind {
    /// Requests that are worked on at once.
    pub(super) fn workers(self) -> usize {
        match self {
            Kind::Origin(workers) => workers,
            Kind::Cache(_) | Kind::Parent(_) => CACHE_WORKERS,
        }
    }
}

/// The addresses of all servers, by name.
pub type Net = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// A request that came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenRequest {
    /// When.
    pub time: Micros,
    /// Whether the server had the object.
    pub hit: bool,
}

/// Loops that a parent was part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoopCounts {
    /// Requests that were about to loop.
    pub begun: u64,
    /// Loops broken by the trail.
    pub broken: u64,
    /// Loops that only a time-out ended.
    pub unbroken: u64,
}

/// [`LoopCounts`] that several threads count.
#[derive(Default)]
pub(super) struct LoopCounters {
    pub(super) begun: AtomicU64,
    pub(super) broken: AtomicU64,
    pub(super) unbroken: AtomicU64,
}

impl LoopCounters {
    pub(super) fn load(&self) -> LoopCounts {
        LoopCounts {
            begun: self.begun.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
            unbroken: self.unbroken.load(Ordering::Relaxed),
        }
    }
}

/// Objects, of which the oldest is evicted first.
#[derive(Default)]
pub(super) struct ObjectStore {
    objects: BTreeSet<String>,
    order: VecDeque<String>,
}

impl ObjectStore {
    fn insert(&mut self, object: &str, capacity: usize) {
        if !self.objects.insert(object.to_string()) {
            return;
        }
        self.order.push_back(object.to_string());
        if self.order.len() > capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.objects.remove(&oldest);
            }
        }
    }
}

/// What a parent fetches from, and the epoch of the hierarchy in which it does.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    pub(super) name: String,
    pub(super) epoch: u64,
}

/// A server's state, shared by the threads of its connections.
pub(super) struct State {
    pub(super) name: String,
    pub(super) kind: Kind,
    pub(super) net: Net,
    /// The time that a request takes.
    pub(super) service: Duration,
    pub(super) objects: Mutex<ObjectStore>,
    idle_workers: Mutex<usize>,
    worker_idle: Condvar,
    /// When it started cold; 0: it has not.
    pub(super) started_at: AtomicU64,
    pub(super) dead: AtomicBool,
    slowdown: AtomicU64,
    pub(super) upstream: Mutex<Upstream>,
    pub(super) stopped_until: AtomicU64,
    pub(super) seen: Mutex<Vec<SeenRequest>>,
    pub(super) loops: LoopCounters,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn new(name: &str, kind: Kind, service: Duration, net: Net) -> Self {
        State {
            name: name.into(),
            kind,
            net,
            service,
            objects: Mutex::default(),
            idle_workers: Mutex::new(kind.workers()),
            worker_idle: Condvar::new(),
            started_at: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            slowdown: AtomicU64::new(SLOWDOWN_UNIT as u64),
            upstream: Mutex::new(Upstream { name: ORIGIN_SERVER.into(), epoch: 0 }),
            stopped_until: AtomicU64::new(0),
            seen: Mutex::default(),
            loops: LoopCounters::default(),
        }
    }

    pub(super) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// How many times the service time is longer than usual.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown.load(Ordering::Relaxed) as f64 / SLOWDOWN_UNIT
    }

    pub(super) fn set_slowdown(&self, times: f64) {
        self.slowdown.store((times * SLOWDOWN_UNIT) as u64, Ordering::Relaxed);
    }

    /// Whether the server has an object; the origin has all.
    pub(super) fn has_object(&self, object: &str) -> bool {
        matches!(self.kind, Kind::Origin(_)) || lock(&self.objects).objects.contains(object)
    }

    pub(super) fn store_object(&self, object: &str) {
        if let Kind::Cache(capacity) | Kind::Parent(capacity) = self.kind {
            lock(&self.objects).insert(object, capacity);
        }
    }

    /// Occupies a worker for the service time; false if none was idle within the time-out.
    pub(super) fn work(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let mut idle = lock(&self.idle_workers);
        while *idle == 0 {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            idle = self.worker_idle.wait_timeout(idle, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
        *idle -= 1;
        drop(idle);
        std::thread::sleep(self.service.mul_f64(self.slowdown() / self.warm_up_speed()));
        *lock(&self.idle_workers) += 1;
        self.worker_idle.notify_one();
        true
    }

    /// The share of its speed that a server has by now which has started cold.
    fn warm_up_speed(&self) -> f64 {
        let started_at = self.started_at.load(Ordering::Relaxed);
        if started_at == 0 {
            return 1.0;
        }
        let progress = now().saturating_sub(started_at) as f64 / COLD_SPAN as f64;
        (COLD_SPEED + (1.0 - COLD_SPEED) * progress).min(1.0)
    }
}
