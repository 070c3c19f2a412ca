//! The objects that were fetched from the origin recently.
use larchway::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};

/// The fetches of one object.
#[derive(Debug, Clone, Copy)]
pub(super) struct Object {
    /// Fetches in flight.
    pub(super) in_flight: u32,
    /// When the last fetch started.
    pub(super) started_at: MonotonicTime,
    /// When the origin last failed to deliver the object, if no fetch has started since.
    pub(super) failed_at: Option<MonotonicTime>,
}

/// A bounded table of the objects that were fetched last.
#[derive(Debug, Clone)]
pub(super) struct ObjectTable {
    capacity: usize,
    objects: BTreeMap<u64, Object>,
    /// The objects in the order in which they were added.
    insertion_order: VecDeque<u64>,
}

impl ObjectTable {
    /// Creates an empty table for this number of objects, at least 1.
    pub(super) fn new(capacity: usize) -> Self {
        ObjectTable { capacity: capacity.max(1), objects: BTreeMap::new(), insertion_order: VecDeque::new() }
    }

    /// The number of objects.
    pub(super) fn len(&self) -> usize {
        self.objects.len()
    }

    /// The fetches of an object, if the table has it.
    pub(super) fn get(&self, object: u64) -> Option<&Object> {
        self.objects.get(&object)
    }

    /// Records that a fetch of an object starts.
    pub(super) fn fetch_started(&mut self, now: MonotonicTime, object: u64) {
        if !self.objects.contains_key(&object) {
            self.insertion_order.push_back(object);
            while self.insertion_order.len() > self.capacity {
                self.evict_oldest();
            }
        }
        let in_flight = self.objects.get(&object).map_or(0, |state| state.in_flight);
        let state = Object { in_flight: in_flight + 1, started_at: now, failed_at: None };
        self.objects.insert(object, state);
    }

    /// Records that a fetch of an object has ended, at `failed_at` if the origin could not deliver it.
    pub(super) fn fetch_ended(&mut self, object: u64, failed_at: Option<MonotonicTime>) {
        if let Some(state) = self.objects.get_mut(&object) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.failed_at = failed_at.or(state.failed_at);
        }
    }

    /// Removes an object unless a fetch of it is in flight. Its entry in the insertion order stays, so that the table
    /// covers the last admitted fetches.
    pub(super) fn forget(&mut self, object: u64) {
        if self.objects.get(&object).is_some_and(|state| state.in_flight == 0) {
            self.objects.remove(&object);
        }
    }

    /// Evicts the oldest object without a fetch in flight. An evicted object in flight would be fetched a second time.
    fn evict_oldest(&mut self) {
        for _ in 0..self.insertion_order.len() {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            if self.objects.get(&oldest).is_some_and(|state| state.in_flight > 0) {
                self.insertion_order.push_back(oldest);
            } else {
                self.objects.remove(&oldest);
                return;
            }
        }
    }
}
