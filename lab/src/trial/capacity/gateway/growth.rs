//! `growth`: what one gateway needs over the same day with up to sixteen times the stores. The traffic of the gateway
//! and the capacity of all stores together stay the same; half of the stores are drained and come back while it
//! serves.
use super::bench::{publish_at, Bench, Region, Wanted};
use super::site::STORE_UNITS;
use super::sizes::Sizes;
use crate::hollow::usage;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::time::Duration;

/// Stores listed; growth is bounded against the first.
const SIZES: [f64; 4] = [200.0, 800.0, 1_600.0, 3_200.0];
/// Sites that they are spread over.
const SITES: usize = 5;
/// Requests a second, and the exponent of their objects' popularity.
const REQUEST_RATE: f64 = 60.0;
const ZIPF: f64 = 0.8;
/// The day.
const DAY: Duration = Duration::from_secs(20);
/// Lists of changes a second.
const LIST_RATE: f64 = 4.0;
/// Share of the stores that are drained and come back over the day.
const DRAINED: f64 = 0.5;

/// How far a need may grow over that with the fewest stores.
struct Growth {
    quantity: &'static str,
    unit: &'static str,
    value: fn(&Needs) -> f64,
    /// The multiple that is allowed, and what is allowed beside it, also for each thousand stores.
    multiple: f64,
    plus: f64,
    plus_per_thousand: f64,
}

/// The bounds of the operators.
const BOUNDS: [Growth; 5] = [
    Growth {
        quantity: "cpu",
        unit: "s",
        value: |needs| needs.processor_s,
        multiple: 1.4,
        plus: 0.02,
        plus_per_thousand: 0.03,
    },
    Growth {
        quantity: "peak_memory",
        unit: "MB",
        value: |needs| needs.peak_mb,
        multiple: 1.5,
        plus: 8.0,
        plus_per_thousand: 4.0,
    },
    Growth {
        quantity: "descriptors",
        unit: "descriptors",
        value: |needs| needs.descriptors,
        multiple: 2.0,
        plus: 40.0,
        plus_per_thousand: 0.0,
    },
    Growth {
        quantity: "store_connections",
        unit: "connections",
        value: |needs| needs.connections,
        multiple: 2.5,
        plus: 40.0,
        plus_per_thousand: 0.0,
    },
    Growth {
        quantity: "list_bytes",
        unit: "KB",
        value: |needs| needs.list_kb,
        multiple: 2.0,
        plus: 64.0,
        plus_per_thousand: 500.0,
    },
];
/// Of the share served with the fewest stores, what has to be served with more.
const LEAST_SERVED: f64 = 0.85;

/// What a gateway needed over the day.
struct Needs {
    processor_s: f64,
    peak_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    served: f64,
}

/// Plays the case.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    let sizes = Sizes::new("growth", "stores", SIZES[SIZES.len() - 1]);
    let sizes = sizes.one_by_one(&SIZES, |stores| day(stores as usize, seed))?;
    let mut series: Vec<_> =
        BOUNDS.iter().map(|bound| sizes.series(bound.quantity, bound.unit, bound.value)).collect();
    series.push(sizes.series("served", "share", |needs| needs.served));
    Ok(Played { series, broken: broken(&sizes.measured) })
}

/// The bounds that are passed, against the first size.
fn broken(measured: &[(f64, Needs)]) -> Vec<String> {
    let Some(((_, least), more)) = measured.split_first() else { return Vec::new() };
    let mut broken = Vec::new();
    for (stores, needs) in more {
        for bound in &BOUNDS {
            let (needed, usual) = ((bound.value)(needs), (bound.value)(least));
            let allowed = bound.multiple * usual + bound.plus + bound.plus_per_thousand * stores / 1000.0;
            if needed > allowed {
                let (quantity, unit) = (bound.quantity, bound.unit);
                broken.push(format!(
                    "{stores} stores: {quantity} {needed:.3} {unit}, {usual:.3} with the fewest, {allowed:.3} allowed"
                ));
            }
        }
        if needs.served < LEAST_SERVED * least.served {
            broken.push(format!(
                "{stores} stores: {:.3} served, {:.3} with the fewest",
                needs.served, least.served
            ));
        }
    }
    broken
}

/// One day with so many stores.
fn day(stores: usize, seed: u64) -> Result<Needs, TrialError> {
    let units = STORE_UNITS * SIZES[SIZES.len() - 1] / stores as f64;
    let region = Some(Region { sites: SITES, units });
    let wanted = Wanted { stores, region, seed, ..Wanted::default() };
    let bench = Bench::start(&format!("growth-{stores}"), &wanted)?;
    let lists_before = bench.bulletin.bytes_written();
    let drains = (DRAINED * stores as f64 / DAY.as_secs_f64() / LIST_RATE).ceil() as u64;
    let load_result = std::thread::scope(|scope| {
        let requests = scope.spawn(|| bench.request_by(REQUEST_RATE, DAY, seed, ZIPF));
        publish_at(LIST_RATE, DAY, 0, |list| bench.drain_some(list, drains));
        requests.join().map_err(|_| TrialError::ClientsPanicked("the clients failed"))?
    })?;
    let process = bench.gateway.process_id();
    Ok(Needs {
        processor_s: bench.processor_time()?.as_secs_f64(),
        peak_mb: usage::peak_bytes(process)? as f64 / 1e6,
        // Connections to stores rest for longer than the day: it has the most at the end.
        descriptors: usage::descriptors(process)? as f64,
        connections: bench.store.accepted() as f64,
        list_kb: (bench.bulletin.bytes_written() - lists_before) as f64 / 1e3,
        served: (load_result.in_time + load_result.late) as f64 / load_result.asked.max(1) as f64,
    })
}

#[cfg(test)]
mod tests;
