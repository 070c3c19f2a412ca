//! When endpoints have to be reviewed although no input concerns them.
use larchway::{MonotonicTime, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// At most one timer for each endpoint, in the order of their times.
#[derive(Debug, Clone, Default)]
pub(super) struct ReviewTimers {
    in_order: BTreeSet<(MonotonicTime, ServerId)>,
    of_endpoint: BTreeMap<ServerId, MonotonicTime>,
}

impl ReviewTimers {
    /// Replaces the timer of an endpoint.
    pub(super) fn set(&mut self, id: ServerId, due: Option<MonotonicTime>) {
        if self.of_endpoint.get(&id) == due.as_ref() {
            return;
        }
        if let Some(previous) = self.of_endpoint.remove(&id) {
            self.in_order.remove(&(previous, id));
        }
        if let Some(due) = due {
            self.of_endpoint.insert(id, due);
            self.in_order.insert((due, id));
        }
    }

    /// Removes the first timer that is due and returns its endpoint.
    pub(super) fn pop_due(&mut self, now: MonotonicTime) -> Option<ServerId> {
        let &(_, id) = self.in_order.first().filter(|(due, _)| *due <= now)?;
        self.set(id, None);
        Some(id)
    }

    /// The time of the first timer.
    pub(super) fn next_due(&self) -> Option<MonotonicTime> {
        self.in_order.first().map(|(due, _)| *due)
    }
}
