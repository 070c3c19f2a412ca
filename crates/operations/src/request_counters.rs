//! Counters of requests by class, attempts and reloads, each counted in one place: where the event happens.
mod statsd;

use larchway::RejectionCounts;
use std::collections::BTreeMap;

/// Most classes that are counted by name. Further names are counted under [`OTHER_CLASSES`], so that weeks of renamed
/// classes take no more memory than this.
const MAX_CLASSES: usize = 1000;
/// The name under which classes beyond [`MAX_CLASSES`] are counted.
const OTHER_CLASSES: &str = "other";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was served.
    Served,
    /// It was rejected before it had an effect: a retry is harmless.
    Rejected,
    /// It failed, or its client left before its answer.
    Failed,
}

/// Ended requests of a class, by how they ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassCounts {
    /// Served.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

/// A class with its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountedClass<'a> {
    /// The name of the class.
    pub name: &'a str,
    /// Its counts.
    pub counts: ClassCounts,
}

/// Values that their owners measure when the report is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Stores in the list.
    pub known_stores: usize,
    /// Listed stores that are avoided now.
    pub skipped_stores: usize,
    /// Files whose newest content is not on stable storage.
    pub unsaved_files: usize,
    /// Stores and parents that are warming up.
    pub warming_stores: usize,
    /// Requests that the decision module has given up by itself, by the reason.
    pub rejections: RejectionCounts,
}

/// Counters since the process began.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    classes: BTreeMap<String, ClassCounts>,
    received: u64,
    ended: u64,
    attempts: u64,
    reloads: u64,
    reload_errors: u64,
}

/// What came of a reload of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The new configuration is in force.
    Applied,
    /// The former configuration stays in force.
    Rejected,
}

impl RequestCounters {
    /// Names the classes in force: each is reported from now on, also while its counts are zero.
    pub fn declare<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.class_mut(name);
        }
    }

    fn class_mut(&mut self, name: &str) -> &mut ClassCounts {
        let is_counted = self.classes.contains_key(name);
        let name = if is_counted || self.classes.len() < MAX_CLASSES { name } else { OTHER_CLASSES };
        // The lookup comes first: a request should not cost an allocation for its class's name.
        if !is_counted && !self.classes.contains_key(name) {
            self.classes.insert(name.to_string(), ClassCounts::default());
        }
        self.classes.get_mut(name).expect("it was inserted above")
    }

    /// A request was received.
    pub fn count_received(&mut self) {
        self.received += 1;
    }

    /// A received request has ended.
    pub fn count_ended(&mut self, class: &str, end: RequestEnd) {
        self.ended += 1;
        let counts = self.class_mut(class);
        match end {
            RequestEnd::Served => counts.served += 1,
            RequestEnd::Rejected => counts.rejected += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// An attempt was written completely to a store.
    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Counts reloads of the configuration that ended with the same outcome.
    pub fn count_reload(&mut self, reloads: u64, outcome: ReloadOutcome) {
        match outcome {
            ReloadOutcome::Applied => self.reloads += reloads,
            ReloadOutcome::Rejected => self.reload_errors += reloads,
        }
    }

    /// Requests received and not ended.
    pub fn in_progress(&self) -> u64 {
        self.received - self.ended
    }

    /// Requests received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The counts of a class.
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
