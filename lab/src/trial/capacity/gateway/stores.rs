//! `stores`: what a request, a change of the list, memory and a reload cost one gateway, by the stores listed.
use super::bench::{publish_at, Bench, Wanted};
use super::site;
use super::sizes::Sizes;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::time::Duration;

/// Stores listed.
const SIZES: [f64; 5] = [12.0, 120.0, 1_200.0, 4_900.0, 12_000.0];
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
    request_us: f64,
    change_us: f64,
    memory_mb: f64,
    reload_ms: f64,
    reload_cpu_ms: f64,
    served: f64,
}

/// Plays the case.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    let sizes = Sizes::new("stores", "stores", site::STORES as f64);
    let sizes = sizes.one_by_one(&SIZES, |stores| measure(stores as usize, seed))?;
    let series = vec![
        sizes.series("cpu_per_request", "us", |shown| shown.request_us),
        sizes.series("cpu_per_list_change", "us", |shown| shown.change_us),
        sizes.series("memory", "MB", |shown| shown.memory_mb),
        sizes.series("reload_time", "ms", |shown| shown.reload_ms),
        sizes.series("reload_cpu", "ms", |shown| shown.reload_cpu_ms),
    ];
    let unserved = sizes.measured.iter().filter(|(_, shown)| shown.served < SERVED);
    let broken = unserved
        .map(|(stores, shown)| {
            format!("{stores} stores: {:.3} of the requests served, {SERVED} needed", shown.served)
        })
        .collect();
    Ok(Played { series, broken })
}

fn measure(stores: usize, seed: u64) -> Result<Shown, TrialError> {
    let bench = Bench::start(&format!("stores-{stores}"), &Wanted { stores, seed, ..Wanted::default() })?;
    let idle = bench.idle(IDLE)?;
    bench.request(REQUEST_RATE, WARM_UP, seed)?;
    let (requests, load_result) = bench.during(|| bench.request(REQUEST_RATE, REQUESTS, seed + 1))?;
    let load_result = load_result?;
    let (changes, count) =
        bench.during(|| publish_at(CHANGE_RATE, CHANGES, 0, |change| bench.change_list(change)))?;
    let memory_mb = bench.resident_mb()?;
    let reload = bench.least_reload(RELOADS)?;
    Ok(Shown {
        request_us: requests.micros_each(load_result.asked, &idle),
        change_us: changes.micros_each(count, &idle),
        memory_mb,
        reload_ms: reload.elapsed.as_secs_f64() * 1e3,
        reload_cpu_ms: reload.processor.as_secs_f64() * 1e3,
        served: (load_result.in_time + load_result.late) as f64 / load_result.asked.max(1) as f64,
    })
}
