//! What processes hold together: memory and descriptors, looked at while they run.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Memory and descriptors.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Resources {
    pub memory_kb: u64,
    pub descriptors: u64,
}

impl Resources {
    /// Those of a process now; none if it has ended.
    fn of(process_id: u32) -> Self {
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory_kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{process_id}/fd"));
        Resources { memory_kb, descriptors: descriptors.map_or(0, |entries| entries.count() as u64) }
    }

    fn plus(self, other: Self) -> Self {
        Resources {
            memory_kb: self.memory_kb + other.memory_kb,
            descriptors: self.descriptors + other.descriptors,
        }
    }

    fn max(self, other: Self) -> Self {
        Resources {
            memory_kb: self.memory_kb.max(other.memory_kb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

#[derive(Default)]
struct Shared {
    process_ids: Mutex<Vec<u32>>,
    peak: Mutex<Resources>,
    stop: AtomicBool,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn poll(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let process_ids = lock(&self.process_ids).clone();
            let sum = process_ids.into_iter().map(Resources::of).fold(Resources::default(), Resources::plus);
            let mut peak = lock(&self.peak);
            *peak = peak.max(sum);
            drop(peak);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Polls the processes that are there, and has the most that they held together.
pub(super) struct ResourceMonitor {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl ResourceMonitor {
    /// Starts with one process.
    pub fn start(process_id: u32) -> Self {
        let shared = Arc::new(Shared::default());
        *lock(&shared.process_ids) = vec![process_id];
        let polled = shared.clone();
        ResourceMonitor { shared, thread: std::thread::spawn(move || polled.poll()) }
    }

    /// From now on these processes are there.
    pub fn set_processes(&self, process_ids: Vec<u32>) {
        *lock(&self.shared.process_ids) = process_ids;
    }

    /// Ends it; returns the most that the processes held together.
    pub fn finish(self) -> Resources {
        self.shared.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let peak = *lock(&self.shared.peak);
        peak
    }
}
