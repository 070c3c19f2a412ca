//! When stores were gone, by what the script says: new work that goes there then is late, and a gateway that has a
//! store out at any other time is wrong.
use crate::clock::now;
use larchway::Micros;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A time for which a store was gone, µs of the Unix clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departure {
    pub from: Micros,
    /// [`Micros::MAX`] if it did not return.
    pub until: Micros,
}

/// The departures of a case, by store; shared between the script and the observer.
#[derive(Debug, Default)]
pub(super) struct DepartureLog {
    by_store: Mutex<BTreeMap<String, Vec<Departure>>>,
}

impl DepartureLog {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Departure>>> {
        self.by_store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a store departs now.
    pub fn depart(&self, store: &str) {
        let departure = Departure { from: now(), until: Micros::MAX };
        self.lock().entry(store.to_string()).or_default().push(departure);
    }

    /// Notes that a store has returned now.
    pub fn return_now(&self, store: &str) {
        if let Some(last) = self.lock().get_mut(store).and_then(|departures| departures.last_mut()) {
            last.until = now();
        }
    }

    /// Whether a store is gone at a time.
    pub fn is_gone(&self, store: &str, time: Micros) -> bool {
        let gone = |departure: &Departure| (departure.from..departure.until).contains(&time);
        self.lock().get(store).is_some_and(|departures| departures.iter().any(gone))
    }

    /// All departures, by store.
    pub fn into_departures(self) -> BTreeMap<String, Vec<Departure>> {
        self.by_store.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}
