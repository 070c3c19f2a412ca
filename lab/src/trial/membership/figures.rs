//! The figures of one variant in one case.
use super::departures::Departure;
use super::fleet::Fleet;
use super::observer::Observed;
use super::GATEWAYS;
use crate::load::LoadResult;
use crate::stand::store::Seen;
use hdrhistogram::Histogram;
use larchway::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Largest time of a histogram, µs.
const LONGEST_US: u64 = 60_000_000;

/// What one variant showed in one case.
pub(super) struct Figures {
    pub load: LoadResult,
    /// µs from each departure to the last new work, a sample a gateway.
    pub last_work: Histogram<u64>,
    /// µs for which stores that were well got no work, over all stores and gateways; none for the list alone, which has
    /// no view of its own.
    pub wrongly_out: Option<Micros>,
    pub wrongly_out_stores: usize,
    /// Fewest caches that got work at any gateway.
    pub smallest_pool: Option<usize>,
}

impl Figures {
    /// Puts together what clients, stores and polls found; `merges` unless the variant goes by the list alone.
    pub fn new(load: LoadResult, last_work: Histogram<u64>, observed: &Observed, merges: bool) -> Self {
        Figures {
            load,
            last_work,
            wrongly_out: merges.then_some(observed.wrongly_out),
            wrongly_out_stores: observed.wrongly_out_stores.len(),
            smallest_pool: observed.smallest_pool,
        }
    }

    /// The figures as the trial writes them.
    pub fn json(&self) -> Value {
        let ms = |us: u64| us as f64 / 1000.0;
        json!({
            "asked": self.load.asked,
            "in_time": self.load.in_time,
            "late": self.load.late,
            "refused": self.load.refused,
            "failed": self.load.failed,
            "lost": self.load.lost,
            "service": self.load.service(),
            "latency_p99_ms": ms(self.load.latency.value_at_quantile(0.99)),
            "last_work_worst_ms": ms(self.last_work.max()),
            "last_work_p99_ms": ms(self.last_work.value_at_quantile(0.99)),
            "departures": self.last_work.len(),
            "wrongly_out_ms": self.wrongly_out.map(ms),
            "wrongly_out_boxes": self.wrongly_out_stores,
            "smallest_pool": self.smallest_pool,
            "sender_behind_ms": ms(self.load.behind),
        })
    }
}

/// The last new work for each departed store after it was gone, from each gateway: its own requests, and those of
/// others that name it as their source.
pub(super) fn last_work(fleet: &Fleet, departures: &BTreeMap<String, Vec<Departure>>) -> Histogram<u64> {
    let mut last_work = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("bounds that fit");
    let requests: Vec<(&str, Vec<Seen>)> =
        fleet.members.iter().map(|member| (member.name.as_str(), member.store.seen())).collect();
    for (store, departures) in departures {
        let concerns = |at: &str, request: &Seen| at == store || request.source.as_ref() == Some(store);
        let of_store: Vec<&Seen> = requests
            .iter()
            .flat_map(|(at, requests)| requests.iter().filter(|request| concerns(at, request)))
            .collect();
        for departure in departures {
            for gateway in 0..GATEWAYS as u8 {
                last_work.saturating_record(delay_of_last(&of_store, gateway, *departure).max(1));
            }
        }
    }
    last_work
}

/// µs from a departure to the last request of a gateway during it; 0 if there is none.
fn delay_of_last(requests: &[&Seen], gateway: u8, departure: Departure) -> Micros {
    let within = |request: &&&Seen| {
        request.gateway == gateway && request.at > departure.from && request.at < departure.until
    };
    requests.iter().filter(within).map(|request| request.at - departure.from).max().unwrap_or(0)
}
