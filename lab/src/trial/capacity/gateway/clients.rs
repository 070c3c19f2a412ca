//! `clients`: what idle connections of clients cost one gateway, by their number.
use super::bench::{Bench, Wanted};
use super::sizes::Sizes;
use crate::trial::capacity::Played;
use crate::trial::TrialError;
use std::net::TcpStream;
use std::time::Duration;

/// Connections held.
const SIZES: [f64; 4] = [10.0, 100.0, 400.0, 1_600.0];
/// Connections of a gateway at the target, as assumed: ten requests a second and connection at the mean gateway's peak.
const TARGET: f64 = 81.0;
/// Stores listed.
const STORES: usize = 120;
/// Time until all connections are taken in, and for which they are measured; the gateway closes none that is idle so
/// short.
const SETTLE: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(5);

/// What one size showed.
struct Shown {
    memory_mb: f64,
    core_percent: f64,
}

/// Plays the case.
pub(super) fn play(seed: u64) -> Result<Played, TrialError> {
    let sizes = Sizes::new("clients", "idle connections", TARGET);
    let sizes = sizes.one_by_one(&SIZES, |connections| measure(connections as usize, seed))?;
    let series = vec![
        sizes.series("memory", "MB", |shown| shown.memory_mb),
        sizes.series("cpu_idle", "% of a core", |shown| shown.core_percent),
    ];
    Ok(Played { series, broken: Vec::new() })
}

fn measure(connections: usize, seed: u64) -> Result<Shown, TrialError> {
    let wanted = Wanted { stores: STORES, seed, ..Wanted::default() };
    let bench = Bench::start(&format!("clients-{connections}"), &wanted)?;
    let opened = (0..connections).map(|_| TcpStream::connect(bench.gateway.front));
    let held: Vec<TcpStream> = opened.collect::<Result<_, _>>().map_err(TrialError::io("a client"))?;
    std::thread::sleep(SETTLE);
    let idle = bench.idle(IDLE)?;
    let memory_mb = bench.resident_mb()?;
    drop(held);
    Ok(Shown { memory_mb, core_percent: idle.core_percent() })
}
