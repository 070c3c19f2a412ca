//! A worker thread that saves durable files, so that a slow disk never blocks the event loop.
//!
//! Only the newest content of each file waits. A save that fails is tried again with backoff until it is done.
use super::{DurableFile, Storage};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tracing::{error, info};

/// First wait before a failed save is tried again; it doubles up to [`LONGEST_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait before a failed save is tried again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// The number of a save; later saves have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct SaveNumber(u64);

/// How far the last save of a file has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// It is on stable storage.
    Durable,
    /// It waits or is being written for the first time.
    Waiting,
    /// It has failed, for this reason, and is tried again.
    Failing(String),
}

/// Content that is not durable yet.
struct PendingSave {
    number: SaveNumber,
    content: Arc<[u8]>,
    retry: Option<Retry>,
}

/// A save that has failed.
struct Retry {
    reason: String,
    backoff: Duration,
    retry_at: Instant,
}

/// What the event loop and the worker share.
#[derive(Default)]
struct Queue {
    /// The newest content of each file that is not durable; as many entries as there are files at most.
    pending: BTreeMap<DurableFile, PendingSave>,
    last_number: u64,
    stopping: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    /// Signalled when content arrives, a save is done or the worker is to stop.
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        // The queue is consistent between any two statements that hold the lock.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, queue: MutexGuard<'a, Queue>) -> MutexGuard<'a, Queue> {
        self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_timeout<'a>(&self, queue: MutexGuard<'a, Queue>, timeout: Duration) -> MutexGuard<'a, Queue> {
        self.changed.wait_timeout(queue, timeout).unwrap_or_else(PoisonError::into_inner).0
    }
}

/// The event loop's handle of the worker. The worker ends soon after the handle is dropped.
pub struct DurableWriter {
    shared: Arc<Shared>,
}

impl DurableWriter {
    /// Starts the worker. `notify`: gets a byte whenever a save has succeeded or failed.
    pub fn start(storage: Box<dyn Storage>, notify: UnixStream) -> io::Result<Self> {
        notify.set_nonblocking(true)?;
        let shared = Arc::new(Shared::default());
        let worker = Worker { shared: Arc::clone(&shared), storage, notify };
        std::thread::Builder::new().name("durable-writer".into()).spawn(move || worker.run())?;
        Ok(DurableWriter { shared })
    }

    /// Saves the content of a file in the background, in the place of what still waits for that file.
    pub fn save(&self, file: DurableFile, content: Vec<u8>) {
        let mut queue = self.shared.lock();
        queue.last_number += 1;
        let number = SaveNumber(queue.last_number);
        let content = content.into();
        let retry = queue.pending.remove(&file).and_then(|older| older.retry);
        queue.pending.insert(file, PendingSave { number, content, retry });
        self.shared.changed.notify_all();
    }

    /// How far the last save of a file has come.
    pub fn progress(&self, file: &DurableFile) -> Progress {
        match self.shared.lock().pending.get(file) {
            None => Progress::Durable,
            Some(PendingSave { retry: None, .. }) => Progress::Waiting,
            Some(PendingSave { retry: Some(retry), .. }) => Progress::Failing(retry.reason.clone()),
        }
    }

    /// The number of files whose newest content is not durable.
    pub fn unsaved(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Waits until all is durable, for `timeout` at most. Returns the number of files that are not.
    pub fn finish(&self, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        let mut queue = self.shared.lock();
        while !queue.pending.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            queue = self.shared.wait_timeout(queue, left);
        }
        queue.pending.len()
    }
}

impl Drop for DurableWriter {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
    }
}

/// A save whose time has come.
struct DueSave {
    file: DurableFile,
    number: SaveNumber,
    content: Arc<[u8]>,
}

struct Worker {
    shared: Arc<Shared>,
    storage: Box<dyn Storage>,
    notify: UnixStream,
}

impl Worker {
    fn run(mut self) {
        while let Some(DueSave { file, number, content }) = self.next_save() {
            let outcome = file.save(&mut *self.storage, &content);
            self.record(&file, number, outcome);
            // A full pipe already wakes the event loop.
            let _ = self.notify.write(&[1]);
        }
    }

    /// Waits for the next content to be written; none once the worker is to stop.
    fn next_save(&self) -> Option<DueSave> {
        let mut queue = self.shared.lock();
        loop {
            if queue.stopping {
                return None;
            }
            let now = Instant::now();
            let next = queue.pending.iter().min_by_key(|(_, save)| (save.retry_at(), save.number));
            let Some((file, save)) = next else {
                queue = self.shared.wait(queue);
                continue;
            };
            let Some(retry_at) = save.retry_at().filter(|retry_at| *retry_at > now) else {
                let content = Arc::clone(&save.content);
                return Some(DueSave { file: file.clone(), number: save.number, content });
            };
            queue = self.shared.wait_timeout(queue, retry_at - now);
        }
    }

    /// Records how an attempt ended. Content that came meanwhile stays pending.
    fn record(&self, file: &DurableFile, number: SaveNumber, outcome: io::Result<()>) {
        let mut queue = self.shared.lock();
        let Some(save) = queue.pending.get_mut(file) else { return };
        let path = file.path().display();
        match outcome {
            Ok(()) => {
                if save.retry.take().is_some() {
                    info!(%path, "a file is written again");
                }
                if save.number == number {
                    queue.pending.remove(file);
                }
            }
            Err(error) => {
                if save.retry.is_none() {
                    error!(%path, %error, "a file cannot be written, and is tried again");
                }
                let doubled = save.retry.as_ref().map(|retry| retry.backoff * 2);
                let backoff = doubled.map_or(FIRST_BACKOFF, |backoff| backoff.min(LONGEST_BACKOFF));
                let retry_at = Instant::now() + backoff;
                save.retry = Some(Retry { reason: error.to_string(), backoff, retry_at });
            }
        }
        self.shared.changed.notify_all();
    }
}

impl PendingSave {
    /// When it may be tried again; none: at once.
    fn retry_at(&self) -> Option<Instant> {
        self.retry.as_ref().map(|retry| retry.retry_at)
    }
}

#[cfg(test)]
mod tests;
