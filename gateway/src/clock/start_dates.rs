//! When the listed stores started, as the decision module gets it: never earlier than is known.
//!
//! A listed start is a Unix time, converted by the own clock. Where that clock is fast, a store that has just started
//! seems to have been up for as long, and would be sent more than it bears. So its age counts on the clock of those who
//! report: up to the latest time that they have reported. As later reports come, starts turn out to be earlier.
use larchway::{DatedStart, MonotonicTime, ServerId, State};
use larchway_endpoints::{Endpoint, ListScope};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::info;

/// How much two sources may differ in when a process started.
const START_TOLERANCE: Duration = Duration::from_secs(1);
/// Starts that are remembered at most. At the bound the earliest one is forgotten.
const MAX_STARTS: usize = 20_000;
/// Ages up to which starts are logged.
const LOGGED_AGE: Duration = Duration::from_secs(60);

/// The start of a store's process.
#[derive(Debug, Clone, Copy)]
struct StartDate {
    /// As the list has it, by the own clock.
    listed: MonotonicTime,
    /// As the decision module has it.
    dated: MonotonicTime,
}

/// The starts of the listed stores, at most 20,000.
#[derive(Debug, Default)]
pub struct StartDates {
    by_server: BTreeMap<ServerId, StartDate>,
    /// How far the own clock may be fast; none before others have reported a time.
    max_fast: Option<Duration>,
}

impl StartDates {
    /// Dates the starts of the entries of a list, or of a change of it.
    pub fn date_entries(&mut self, now: MonotonicTime, scope: ListScope, entries: &mut [Endpoint]) {
        if scope.is_complete() {
            let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.host.server).collect();
            self.by_server.retain(|server, _| named.contains(server));
        }
        for entry in entries {
            if entry.host.state == State::Removed {
                self.by_server.remove(&entry.host.server);
            } else if let Some(listed) = entry.host.known_start() {
                entry.host.started = self.date_entry(now, entry, listed);
            }
        }
    }

    fn date_entry(&mut self, now: MonotonicTime, entry: &Endpoint, listed: MonotonicTime) -> MonotonicTime {
        let server = entry.host.server;
        let known = self.by_server.get(&server);
        if let Some(known) = known.filter(|known| listed <= known.listed.saturating_add(START_TOLERANCE)) {
            return known.dated;
        }
        // Danger: by a wall clock that is ahead, a store that has just started would count as warm.
        let dated = self.earliest(listed).min(now);
        self.by_server.insert(server, StartDate { listed, dated });
        self.forget_earliest();
        let age = now.saturating_since(dated);
        if age <= LOGGED_AGE {
            let by_own_clock_ms = now.saturating_since(listed).as_millis();
            info!(store = entry.name, age_ms = age.as_millis(), by_own_clock_ms, "a store has started");
        }
        dated
    }

    /// The earliest time that a start can be, for all that is known.
    fn earliest(&self, listed: MonotonicTime) -> MonotonicTime {
        listed.saturating_add(self.max_fast.unwrap_or(Duration::MAX))
    }

    fn forget_earliest(&mut self) {
        if self.by_server.len() > MAX_STARTS {
            let earliest =
                self.by_server.iter().min_by_key(|(_, start)| start.dated).map(|(&server, _)| server);
            earliest.map(|server| self.by_server.remove(&server));
        }
    }

    /// Others have reported times, by which the own clock is fast by so much at most. Returns the starts that turn out
    /// to be earlier: none where the bound has not come down to half, so that each report does not cost a walk.
    pub fn lower_max_fast(&mut self, max_fast: Option<Duration>) -> Vec<DatedStart> {
        let is_lower = match (max_fast, self.max_fast) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(new), Some(old)) => new <= old / 2 && new < old,
        };
        if !is_lower {
            return Vec::new();
        }
        self.max_fast = max_fast;
        let max_fast = max_fast.unwrap_or(Duration::MAX);
        let mut earlier = Vec::new();
        for (&server, start) in &mut self.by_server {
            let dated = start.listed.saturating_add(max_fast);
            if dated < start.dated {
                start.dated = dated;
                earlier.push(DatedStart { server, started: dated });
            }
        }
        earlier
    }

    /// Another process of this gateway dates the starts so, on the clock that both share. Returns those that are the
    /// same starts and are known to be earlier there: it has read more reports.
    pub fn take_over(&mut self, others: impl Iterator<Item = DatedStart>) -> Vec<DatedStart> {
        let mut earlier = Vec::new();
        for other in others {
            let Some(start) = self.by_server.get_mut(&other.server) else { continue };
            let is_same = start.listed <= other.started.saturating_add(START_TOLERANCE);
            if is_same && other.started < start.dated {
                start.dated = other.started;
                earlier.push(other);
            }
        }
        earlier
    }
}

#[cfg(test)]
mod tests;
