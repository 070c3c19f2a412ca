//! Counters of requests by class, attempts and configuration reloads. Each event is counted in one place only.
mod statsd;

use larchway::RejectionCounts;
use std::collections::BTreeMap;

/// Maximum number of classes counted by name. Further names are counted under [`OTHER_CLASSES`], so that repeated
/// renames of classes do not grow the memory without bound.
const MAX_CLASSES: usize = 1000;
/// The name under which classes beyond [`MAX_CLASSES`] are counted.
const OTHER_CLASSES: &str = "other";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was served.
    Served,
    /// The request was rejected before it had an effect, so a retry is safe.
    Rejected,
    /// The request failed, or its client disconnected before the reply.
    Failed,
}

/// Numbers of ended requests of a class, by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// A class with its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountedClass<'a> {
    /// The name of the class.
    pub name: &'a str,
    /// The counts of its ended requests.
    pub counts: ClassCounts,
}

/// Present values that the caller collects for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Stores in the endpoint list.
    pub known_stores: usize,
    /// Listed stores that are avoided now.
    pub skipped_stores: usize,
    /// Files whose newest content is not on stable storage.
    pub unsaved_files: usize,
    /// Stores and parents that are warming up.
    pub warming_stores: usize,
    /// Requests that the decision module itself has rejected, by reason.
    pub rejections: RejectionCounts,
    /// The memory of the process.
    pub memory: MemoryGauges,
}

/// The private memory of a process by holder, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemoryGauges {
    /// Limit for all processes of the gateway together.
    pub limit: usize,
    /// What the kernel counts as memory of this process alone.
    pub private: usize,
    /// Buffers of connections of clients.
    pub client_buffers: usize,
    /// Buffers of all other connections.
    pub store_buffers: usize,
    /// Pages that are kept for the next buffers.
    pub spare_pages: usize,
    /// Cached copies of objects.
    pub copies: usize,
    /// Bodies of open requests.
    pub request_bodies: usize,
}

impl MemoryGauges {
    /// The rest: tables, and what the allocator of the heap keeps of freed memory.
    pub fn other(&self) -> usize {
        let held =
            self.client_buffers + self.store_buffers + self.spare_pages + self.copies + self.request_bodies;
        self.private.saturating_sub(held)
    }
}

/// Counters since the process started.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    classes: BTreeMap<String, ClassCounts>,
    received: u64,
    ended: u64,
    attempts: u64,
    reloads: u64,
    reload_errors: u64,
}

/// The outcome of a configuration reload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The new configuration is in force.
    Applied,
    /// The previous configuration stays in force.
    Rejected,
}

impl RequestCounters {
    /// Declares the classes in force. Each is reported from now on, even while its counts are zero.
    pub fn declare<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.class_mut(name);
        }
    }

    fn class_mut(&mut self, name: &str) -> &mut ClassCounts {
        let is_counted = self.classes.contains_key(name);
        let name = if is_counted || self.classes.len() < MAX_CLASSES { name } else { OTHER_CLASSES };
        // Looks the name up first, so that a request of a known class does not allocate.
        if !is_counted && !self.classes.contains_key(name) {
            self.classes.insert(name.to_string(), ClassCounts::default());
        }
        self.classes.get_mut(name).expect("it was inserted above")
    }

    /// Counts a received request.
    pub fn count_received(&mut self) {
        self.received += 1;
    }

    /// Counts the end of a received request.
    pub fn count_ended(&mut self, class: &str, end: RequestEnd) {
        self.ended += 1;
        let counts = self.class_mut(class);
        match end {
            RequestEnd::Served => counts.served += 1,
            RequestEnd::Rejected => counts.rejected += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// Counts an attempt whose request was written completely to a store.
    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Counts configuration reloads that had the same outcome.
    pub fn count_reload(&mut self, reloads: u64, outcome: ReloadOutcome) {
        match outcome {
            ReloadOutcome::Applied => self.reloads += reloads,
            ReloadOutcome::Rejected => self.reload_errors += reloads,
        }
    }

    /// Number of requests received and not yet ended.
    pub fn in_progress(&self) -> u64 {
        self.received - self.ended
    }

    /// Number of requests received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The counts of a class; zero if the class is not counted by name.
    pub fn class(&self, class: &str) -> ClassCounts {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// All classes with their counts.
    pub fn classes(&self) -> impl Iterator<Item = CountedClass<'_>> {
        self.classes.iter().map(|(name, counts)| CountedClass { name, counts: *counts })
    }
}

#[cfg(test)]
mod tests;
