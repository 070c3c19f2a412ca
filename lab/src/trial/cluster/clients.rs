//! The clients of all gateways, and what became of their requests, by second of the script.
use crate::load::{self, Load, LoadResult};
use larchway::Micros;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Seconds of the window in which service is worst.
const WORST_SECONDS: usize = 10;

/// What became of the requests that were due in one second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    asked: u64,
    in_time: u64,
}

/// Results of the clients that have ended.
#[derive(Debug, Default)]
struct Results {
    /// By second of the script.
    seconds: Vec<Second>,
    /// Largest delay of a sender itself, µs.
    sender_delay: Micros,
}

impl Results {
    /// Adds those of clients that began in a second of the script.
    fn add(&mut self, begin: usize, result: &LoadResult) {
        let end = begin + result.seconds.len();
        if self.seconds.len() < end {
            self.seconds.resize(end, Second::default());
        }
        for (second, counts) in self.seconds[begin..].iter_mut().zip(&result.seconds) {
            second.asked += counts.asked;
            second.in_time += counts.in_time;
        }
        self.sender_delay = self.sender_delay.max(result.behind);
    }
}

/// Share of the requests that were answered in time.
fn service(seconds: &[Second]) -> f64 {
    let asked: u64 = seconds.iter().map(|second| second.asked).sum();
    let in_time: u64 = seconds.iter().map(|second| second.in_time).sum();
    in_time as f64 / asked.max(1) as f64
}

/// The clients.
#[derive(Default)]
pub(super) struct Clients {
    results: Arc<Mutex<Results>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn results(&self) -> MutexGuard<'_, Results> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the clients of a gateway in a second of the script.
    pub fn start(&mut self, front: SocketAddr, load: Load, second: usize) {
        let results = self.results.clone();
        self.threads.push(std::thread::spawn(move || {
            // Those of a gateway that is killed end with an error, and are not counted.
            if let Ok(result) = load::play(front, &load) {
                results.lock().unwrap_or_else(PoisonError::into_inner).add(second, &result);
            }
        }));
    }

    /// Waits until all have ended.
    pub fn join(&mut self) {
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }

    /// Service over all seconds.
    pub fn service(&self) -> f64 {
        service(&self.results().seconds)
    }

    /// The least service over ten seconds in a row, within these seconds of the script.
    pub fn worst(&self, from: usize, to: usize) -> f64 {
        let results = self.results();
        let span = results.seconds.get(from..to.min(results.seconds.len())).unwrap_or_default();
        let windows = span.windows(WORST_SECONDS.min(span.len().max(1)));
        windows.map(service).fold(1.0, f64::min)
    }

    /// Largest delay of a sender itself, µs.
    pub fn sender_delay(&self) -> Micros {
        self.results().sender_delay
    }
}
