//! Call ids of requests that have ended and must not run again. Clients use a new id for each request, so one that
//! comes again, from a client that has left and returned, is the same request once more.
use larchway::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of ids that are remembered; beyond it the one that expires first is forgotten.
const MAX_REMEMBERED_CALLS: usize = 4000;

/// The remembered call ids, ordered by expiry.
#[derive(Debug, Default)]
pub(super) struct RecentCalls {
    expiry_by_id: BTreeMap<String, MonotonicTime>,
    ids_by_expiry: BTreeSet<(MonotonicTime, String)>,
}

impl RecentCalls {
    /// Remembers a call id until this time.
    pub(super) fn insert(&mut self, now: MonotonicTime, id: &str, until: MonotonicTime) {
        self.remove_expired(now);
        if let Some(previous) = self.expiry_by_id.insert(id.to_string(), until) {
            self.ids_by_expiry.remove(&(previous, id.to_string()));
        }
        self.ids_by_expiry.insert((until, id.to_string()));
        while self.ids_by_expiry.len() > MAX_REMEMBERED_CALLS {
            self.remove_first();
        }
    }

    /// Whether a call id is remembered.
    pub(super) fn contains(&self, now: MonotonicTime, id: &str) -> bool {
        self.expiry_by_id.get(id).is_some_and(|until| *until > now)
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        while self.ids_by_expiry.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.ids_by_expiry.pop_first() {
            self.expiry_by_id.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
