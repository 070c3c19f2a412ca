//! Detection of mass departures. A coordination service that ends very many sessions at once is more likely at fault
//! itself than all those endpoints are down (compare the self-preservation mode of Netflix Eureka, which counts missed
//! renewals; departures are counted here).
use larchway::{MonotonicTime, ServerId};
use std::collections::VecDeque;
use std::time::Duration;

/// Limit on the departures remembered. The oldest is dropped.
const MAX_DEPARTURES: usize = 65_536;

/// What makes a mass departure, from the operator's file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MassDepartureSettings {
    /// Departures within this time are counted together.
    pub window: Duration,
    /// A mass departure is more than this share of the departed and the remaining nodes.
    pub share: f64,
    /// Least number of departures in a mass departure.
    pub least: usize,
}

#[derive(Debug, Clone)]
struct RecentDeparture {
    at: MonotonicTime,
    id: ServerId,
    /// Whether it was returned as part of a mass departure.
    reported: bool,
}

/// Counts the recent departures.
#[derive(Debug, Clone, Default)]
pub struct MassDepartureDetector {
    recent: VecDeque<RecentDeparture>,
    last_detected_at: Option<MonotonicTime>,
}

impl MassDepartureDetector {
    /// Records the departure of an endpoint while `remaining` nodes are left. Returns the departures that it shows to
    /// be part of a mass departure, each of them once.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        id: ServerId,
        remaining: usize,
        settings: &MassDepartureSettings,
    ) -> Vec<ServerId> {
        self.drop_old(now, settings);
        self.insert(now, id);
        if self.is_mass(remaining, settings) {
            self.last_detected_at = Some(now);
        } else if !self.is_ongoing(now, settings) {
            return Vec::new();
        }
        // Departures that trickle in later are part of it, too.
        let mut unreported = Vec::new();
        for departure in self.recent.iter_mut().filter(|departure| !departure.reported) {
            departure.reported = true;
            unreported.push(departure.id);
        }
        unreported
    }

    /// Whether a mass departure was detected within the window.
    pub fn is_ongoing(&self, now: MonotonicTime, settings: &MassDepartureSettings) -> bool {
        self.last_detected_at.is_some_and(|at| now <= at + settings.window)
    }

    fn drop_old(&mut self, now: MonotonicTime, settings: &MassDepartureSettings) {
        let is_old = |departure: &RecentDeparture| departure.at + settings.window < now;
        while self.recent.front().is_some_and(is_old) || self.recent.len() > MAX_DEPARTURES {
            self.recent.pop_front();
        }
    }

    /// An endpoint that departs repeatedly counts once.
    fn insert(&mut self, now: MonotonicTime, id: ServerId) {
        match self.recent.iter_mut().find(|departure| departure.id == id) {
            Some(known) => known.reported = false,
            None => self.recent.push_back(RecentDeparture { at: now, id, reported: false }),
        }
    }

    fn is_mass(&self, remaining: usize, settings: &MassDepartureSettings) -> bool {
        let departed = self.recent.len();
        let limit = (departed + remaining) as f64 * settings.share;
        departed >= settings.least && departed as f64 > limit
    }
}
