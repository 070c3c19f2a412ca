//! `stores`: what a request, a change of the list, memory and a reload cost one gateway, by the stores listed.
use super::bench::{publish_at, Bench, Wanted};
use super::site;
use crate::trial::capacity::{Played, Point, Series};
use std::time::Duration;

/// Stores listed.
const SIZES: [usize; 5] = [12, 120, 1_200, 4_900, 12_000];
/// Requests a second, before and while it is measured.
const REQUEST_RATE: f64 = 400.0;
const WARM_UP: Duration = Duration::from_secs(1);
const REQUESTS: Duration = Duration::from_secs(4);
/// List changes a second.
const CHANGE_RATE: f64 = 10.0;
const CHANGES: Duration = Duration::from_secs(4);
const IDLE: Duration = Duration::from_secs(2);
/// Reloads at each size.
const RELOADS: usize = 5;
/// Share of the requests that must be served for the figures to count.
const SERVED: f64 = 0.95;

/// What one size showed.
struct Shown {
    stores: usize,
    request_us: f64,
    change_us: f64,
    memory_mb: f64,
    reload_ms: f64,
    reload_cpu_ms: f64,
    served: f64,
}

/// Plays the case.
pub(super) fn play(seed: u64) -> Result<Played, String> {
    let shown = SIZES.iter().map(|&stores| measure(stores, seed)).collect::<Result<Vec<_>, _>>()?;
    let series = |quantity: &str, unit: &str, value: fn(&Shown) -> f64| {
        let points = shown.iter().map(|at| Point { size: at.stores as f64, value: value(at) }).collect();
        Series::new("stores", quantity, unit, "stores", site::STORES as f64, points)
    };
    let series = vec![
        series("cpu_per_request", "us", |at| at.request_us),
        series("cpu_per_list_change", "us", |at| at.change_us),
        series("memory", "MB", |at| at.memory_mb),
        series("reload_time", "ms", |at| at.reload_ms),
        series("reload_cpu", "ms", |at| at.reload_cpu_ms),
    ];
    let unserved = shown.iter().filter(|at| at.served < SERVED);
    let broken = unserved
        .map(|at| format!("{} stores: {:.3} of the requests served, {SERVED} needed", at.stores, at.served))
        .collect();
    Ok(Played { series, broken })
}

fn measure(stores: usize, seed: u64) -> Result<Shown, String> {
    let bench = Bench::start(&format!("stores-{stores}"), &Wanted { stores, seed, ..Wanted::default() })?;
    let idle = bench.idle(IDLE)?;
    bench.request(REQUEST_RATE, WARM_UP, seed)?;
    let (requests, tally) = bench.during(|| bench.request(REQUEST_RATE, REQUESTS, seed + 1))?;
    let tally = tally?;
    let (changes, count) =
        bench.during(|| publish_at(CHANGE_RATE, CHANGES, 0, |change| bench.change_list(change)))?;
    let memory_mb = bench.meter.resident_mb()?;
    let reload = bench.least_reload(RELOADS)?;
    Ok(Shown {
        stores,
        request_us: requests.micros_each(tally.asked, &idle),
        change_us: changes.micros_each(count, &idle),
        memory_mb,
        reload_ms: reload.elapsed.as_secs_f64() * 1e3,
        reload_cpu_ms: reload.processor.as_secs_f64() * 1e3,
        served: (tally.in_time + tally.late) as f64 / tally.asked.max(1) as f64,
    })
}
