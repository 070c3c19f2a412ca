//! When the processes of parents started.
use crate::topology::MAX_PARENTS;
use larchway::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Start times of parents that may be warming up, including parents that do not serve the branch (yet). Holds at most
/// [`MAX_PARENTS`] start times; the oldest is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct ProcessStarts {
    started_at: BTreeMap<String, MonotonicTime>,
}

impl ProcessStarts {
    /// When the process of a parent started; `None` if no recent start is recorded.
    pub(super) fn get(&self, name: &str) -> Option<MonotonicTime> {
        self.started_at.get(name).copied().filter(|started_at| *started_at > MonotonicTime::MIN)
    }

    /// Records a start and drops those that are older by `warm_up` or more. If several starts of one parent are
    /// recorded, the latest is used.
    pub(super) fn record(&mut self, name: &str, at: MonotonicTime, warm_up: Duration) {
        self.started_at.retain(|_, started_at| *started_at + warm_up > at);
        if self.started_at.len() >= MAX_PARENTS && !self.started_at.contains_key(name) {
            self.drop_oldest();
        }
        let started_at = self.started_at.entry(name.to_string()).or_default();
        *started_at = at.max(*started_at);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.started_at.iter().min_by_key(|(_, started_at)| **started_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.started_at.remove(&name);
        }
    }
}
