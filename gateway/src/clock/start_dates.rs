//! The start times of the listed stores for the decision module: never earlier than the reported times prove.
//!
//! A listed start is a Unix time, converted by the own clock. If that clock is fast, a store that has just started
//! seems to have been up for that long, and would get more load than it can serve. So its age is computed on the
//! clock of the machines that report times: up to the latest time that they have reported. Later reports can show
//! that starts were earlier.
use larchway::{DatedStart, MonotonicTime, ServerId, State};
use larchway_endpoints::{Endpoint, ListScope};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::info;

/// Most that two sources may differ about the start of one process.
const START_TOLERANCE: Duration = Duration::from_secs(1);
/// Most starts that are remembered; beyond that the earliest one is dropped.
const MAX_STARTS: usize = 20_000;
/// Highest age at which a start is logged.
const LOGGED_AGE: Duration = Duration::from_secs(60);

/// The start of a store's process.
#[derive(Debug, Clone, Copy)]
struct StartDate {
    /// The start in the list, converted by the own clock.
    listed: MonotonicTime,
    /// The start that the decision module uses.
    effective: MonotonicTime,
}

/// The starts of the listed stores, at most 20,000.
#[derive(Debug, Default)]
pub struct StartDates {
    by_server: BTreeMap<ServerId, StartDate>,
    /// The most that the own clock can be fast; none before other machines have reported a time.
    max_clock_lead: Option<Duration>,
}

impl StartDates {
    /// Replaces the starts in the entries of a list, or of a change of it, by those for the decision module.
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
            return known.effective;
        }
        // By a Unix clock that is fast, a store that has just started would be treated as warmed up.
        let effective = self.earliest(listed).min(now);
        self.by_server.insert(server, StartDate { listed, effective });
        self.forget_earliest();
        let age = now.saturating_since(effective);
        if age <= LOGGED_AGE {
            let by_own_clock_ms = now.saturating_since(listed).as_millis();
            info!(store = entry.name, age_ms = age.as_millis(), by_own_clock_ms, "a store has started");
        }
        effective
    }

    /// The earliest start that can be assumed if the own clock is as fast as it can be.
    fn earliest(&self, listed: MonotonicTime) -> MonotonicTime {
        listed.saturating_add(self.max_clock_lead.unwrap_or(Duration::MAX))
    }

    fn forget_earliest(&mut self) {
        if self.by_server.len() > MAX_STARTS {
            let earliest =
                self.by_server.iter().min_by_key(|(_, start)| start.effective).map(|(&server, _)| server);
            earliest.map(|server| self.by_server.remove(&server));
        }
    }

    /// Lowers the bound on how fast the own clock can be, and returns the starts that turn out to be earlier. Does
    /// nothing unless the bound is at most half of the previous one, since each change walks through all starts.
    pub fn lower_max_clock_lead(&mut self, max_clock_lead: Option<Duration>) -> Vec<DatedStart> {
        let is_lower_enough = match (max_clock_lead, self.max_clock_lead) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(new), Some(old)) => new <= old / 2 && new < old,
        };
        if !is_lower_enough {
            return Vec::new();
        }
        self.max_clock_lead = max_clock_lead;
        let max_clock_lead = max_clock_lead.unwrap_or(Duration::MAX);
        let mut earlier = Vec::new();
        for (&server, start) in &mut self.by_server {
            let effective = start.listed.saturating_add(max_clock_lead);
            if effective < start.effective {
                start.effective = effective;
                earlier.push(DatedStart { server, started: effective });
            }
        }
        earlier
    }

    /// Takes over earlier starts from another process of this gateway, on the clock that both share: it may have
    /// received more reports. Returns the starts that have changed; those of other processes of a store are ignored.
    pub fn take_over(&mut self, others: impl Iterator<Item = DatedStart>) -> Vec<DatedStart> {
        let mut earlier = Vec::new();
        for other in others {
            let Some(start) = self.by_server.get_mut(&other.server) else { continue };
            let is_same = start.listed <= other.started.saturating_add(START_TOLERANCE);
            if is_same && other.started < start.effective {
                start.effective = other.started;
                earlier.push(other);
            }
        }
        earlier
    }
}

#[cfg(test)]
mod tests;
