//! Polls what gateways say of their stores while a case runs.
use super::departures::DepartureLog;
use super::fleet::Fleet;
use crate::clock::now;
use crate::trial::gateway::Gateway;
use larchway::Micros;
use larchway_gateway::admin;
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How a gateway numbers the kind of caches in what it says.
const CACHE_KIND: u64 = 0;

/// What the polls of a case found.
#[derive(Debug, Default)]
pub(super) struct Observed {
    /// µs for which stores that were well got no work, summed over all stores and gateways.
    pub wrongly_out: Micros,
    /// Those stores.
    pub wrongly_out_stores: BTreeSet<String>,
    /// Fewest caches that got work at any gateway.
    pub smallest_pool: Option<usize>,
}

impl Observed {
    /// Takes in what one gateway says; `interval` is the time since the poll before.
    fn add_rows(&mut self, rows: &[Value], time: Micros, interval: Micros, departures: &DepartureLog) {
        let up = rows.iter().filter(|row| row["kind"] == CACHE_KIND && row["state"] == "up").count();
        self.smallest_pool = Some(self.smallest_pool.map_or(up, |smallest| smallest.min(up)));
        for row in rows.iter().filter(|row| row["state"] != "up") {
            let store = row["name"].as_str().unwrap_or("");
            if !departures.is_gone(store, time) {
                self.wrongly_out += interval;
                self.wrongly_out_stores.insert(store.to_string());
            }
        }
    }
}

/// What a gateway says of its members, if it answers.
pub(super) fn member_status(gateway: &Gateway) -> Option<Value> {
    let text = admin::query(&gateway.admin, "members").ok()?;
    serde_json::from_str(&text).ok()
}

/// Polls all gateways until it is stopped.
pub(super) fn observe(fleet: &Fleet, departures: &DepartureLog, stop: &AtomicBool) -> Observed {
    let mut observed = Observed::default();
    let mut last = now();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
        let time = now();
        let interval = time - last;
        last = time;
        for status in fleet.gateways.iter().filter_map(member_status) {
            if let Some(rows) = status["boxes"].as_array().filter(|rows| !rows.is_empty()) {
                observed.add_rows(rows, time, interval, departures);
            }
        }
    }
    observed
}
