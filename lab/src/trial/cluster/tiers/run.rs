//! Plays the worlds, and checks their bounds.
use super::layout::{topology, GATEWAYS};
use super::observer::Observer;
use super::replay::replay_us;
use super::scenarios::{self, Scenario, SETTLED_MS};
use super::world::{World, LOOK_MS};
use crate::trial::bounds::Bounds;
use crate::trial::TrialError;
use serde::Serialize;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// ms until a death is known in its site, and in the numbers everywhere, at most (issue 41).
const IN_SITE_MS: u64 = 5_000;
const EVERYWHERE_MS: u64 = 9_000;
/// Bytes a second that one gateway sends, and µs of processor time a second, at most (`docs/CAPACITY.md`).
const BYTES: f64 = 9_000.0;
const PROCESSOR_US: f64 = 26_000.0;
/// Sizes whose cost is compared: n, 4n, 16n.
const COST_SIZES: [usize; 3] = [GATEWAYS / 16, GATEWAYS / 4, GATEWAYS];
const COST_MS: u64 = 16_000;
/// Growth from n to 16n of what an ordinary member spends, at most.
const CONSTANT: f64 = 1.25;
/// A member that represents its site, zone and region, since it is the first of each; and one that represents nothing.
const REPRESENTATIVE: u16 = 0;
const MEMBER: u16 = 7;
const REPEATS: u64 = 20;

/// What a world showed.
#[derive(Debug, Serialize)]
struct Played {
    seed: u64,
    scenario: &'static str,
    observer: Observer,
    traffic: Traffic,
}

/// Datagrams and bytes a second that gateways sent.
#[derive(Debug, Default, Clone, Serialize)]
struct Traffic {
    datagrams_mean: f64,
    bytes_mean: f64,
    /// The most that one gateway sent, and that one sent and received together.
    bytes_most_sent: f64,
    bytes_most_both: f64,
}

impl Traffic {
    fn of(world: &World, for_ms: u64) -> Traffic {
        let seconds = for_ms as f64 / 1000.0;
        let mut traffic = Traffic::default();
        for gateway in &world.gateways {
            let sent = gateway.membership.bytes_sent() as f64 / seconds;
            let both = sent + gateway.received_bytes as f64 / seconds;
            traffic.datagrams_mean += gateway.membership.datagrams_sent() as f64 / seconds;
            traffic.bytes_mean += sent;
            traffic.bytes_most_sent = traffic.bytes_most_sent.max(sent);
            traffic.bytes_most_both = traffic.bytes_most_both.max(both);
        }
        traffic.datagrams_mean /= world.gateways.len() as f64;
        traffic.bytes_mean /= world.gateways.len() as f64;
        traffic
    }
}

fn play_scenario(seed: u64, scenario: Scenario) -> Result<(Played, Scenario), TrialError> {
    let topology = topology(GATEWAYS).map_err(TrialError::Topology)?;
    let mut world = World::new(topology, scenario.faults.clone(), seed);
    let mut observer = Observer::new(SETTLED_MS);
    world.play(scenario.for_ms, &mut observer);
    observer.finish(scenario.for_ms, LOOK_MS);
    let traffic = Traffic::of(&world, scenario.for_ms);
    Ok((Played { seed, scenario: scenario.name, observer, traffic }, scenario))
}

/// Plays all scenarios of all seeds, so many at once.
pub(super) fn play_seeds(
    seeds: &[u64],
    workers: usize,
    table: &mut String,
    bounds: &mut Bounds,
) -> Result<Value, TrialError> {
    let topology = topology(GATEWAYS).map_err(TrialError::Topology)?;
    let jobs: Vec<(u64, usize)> = seeds
        .iter()
        .flat_map(|seed| (0..scenarios::all(&topology, *seed).len()).map(|index| (*seed, index)))
        .collect();
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some(&(seed, index)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let scenario = scenarios::all(&topology, seed).swap_remove(index);
                    let played = play_scenario(seed, scenario);
                    results.lock().expect("no worker panics").push(((index, seed), played));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no worker panics");
    results.sort_by_key(|(order, _)| *order);
    let mut figures = Vec::new();
    for (_, played) in results {
        let (played, scenario) = played?;
        table.push_str(&rows(&played));
        check(&played, &scenario, bounds);
        figures.push(json!(played));
    }
    Ok(Value::Array(figures))
}

fn rows(played: &Played) -> String {
    let Played { seed, scenario, observer, traffic } = played;
    let mut text = format!(
        "tiers {GATEWAYS} gateways  seed {seed:<3} {scenario:<15} false removals {}, in numbers {}  \
         unknown {:.4} %  last not right {} ms  {:.1} datagrams/s, {:.0} bytes/s, most sent {:.0}, both {:.0}\n",
        observer.removed_in_site,
        observer.removed_in_numbers,
        100.0 * observer.unknown_looks as f64 / observer.looks.max(1) as f64,
        observer.last_not_right_ms,
        traffic.datagrams_mean,
        traffic.bytes_mean,
        traffic.bytes_most_sent,
        traffic.bytes_most_both,
    );
    let ms = |ms: Option<u64>| ms.map_or("not known".into(), |ms| format!("{ms} ms"));
    for kill in &observer.kills {
        text.push_str(&format!(
            "      killed {:<28} in its site {:<10} everywhere {}\n",
            kill.what,
            if kill.has_survivors { ms(kill.in_site_ms) } else { "-".into() },
            ms(kill.everywhere_ms)
        ));
    }
    text
}

fn check(played: &Played, scenario: &Scenario, bounds: &mut Bounds) {
    let Played { seed, scenario: name, observer, traffic } = played;
    let removed = observer.removed_in_site + observer.removed_in_numbers;
    bounds.check(removed == 0, || {
        format!("tiers, seed {seed}, {name}: {removed} false removals, {:?}", observer.wrong)
    });
    bounds.check(traffic.bytes_most_sent <= BYTES, || {
        format!("tiers, seed {seed}, {name}: one sent {:.0} bytes a second", traffic.bytes_most_sent)
    });
    if let Some(by_ms) = scenario.right_by_ms {
        bounds.check(observer.last_not_right_ms <= by_ms, || {
            format!("tiers, seed {seed}, {name}: wrong numbers at {} ms", observer.last_not_right_ms)
        });
    }
    if !scenario.is_timed {
        return;
    }
    for kill in &observer.kills {
        let is_known_in_site = kill.in_site_ms.is_some_and(|ms| ms <= IN_SITE_MS) || !kill.has_survivors;
        bounds.check(is_known_in_site, || {
            format!("tiers, seed {seed}, {}: in its site {:?} ms", kill.what, kill.in_site_ms)
        });
        bounds.check(kill.everywhere_ms.is_some_and(|ms| ms <= EVERYWHERE_MS), || {
            format!("tiers, seed {seed}, {}: everywhere {:?} ms", kill.what, kill.everywhere_ms)
        });
    }
}

/// What a gateway spends in a calm fleet of n, 4n and 16n.
pub(super) fn play_costs(seed: u64, table: &mut String, bounds: &mut Bounds) -> Result<Value, TrialError> {
    let mut figures = Vec::new();
    let mut smallest: Option<Traffic> = None;
    for size in COST_SIZES {
        let mut world = World::new(topology(size).map_err(TrialError::Topology)?, Default::default(), seed);
        world.recorded = [REPRESENTATIVE, MEMBER].map(|member| (member, Vec::new())).into();
        world.play(COST_MS, &mut Observer::new(SETTLED_MS));
        let traffic = Traffic::of(&world, COST_MS);
        let processor = |member: u16| {
            let spent = replay_us(&world.topology, member, seed, &world.recorded[&member], REPEATS)?;
            Ok::<f64, TrialError>(spent as f64 * 1000.0 / COST_MS as f64)
        };
        let (representative_us, member_us) = (processor(REPRESENTATIVE)?, processor(MEMBER)?);
        table.push_str(&format!(
            "cost  {size:>6} gateways  {:.2} datagrams/s, {:.0} bytes/s in the mean, {:.0} of the most sent, \
             {:.0} with what it receives; processor {member_us:.0} us/s, {representative_us:.0} of one that \
             represents site, zone and region\n",
            traffic.datagrams_mean, traffic.bytes_mean, traffic.bytes_most_sent, traffic.bytes_most_both,
        ));
        let least = smallest.get_or_insert_with(|| traffic.clone());
        bounds.check(traffic.bytes_mean <= least.bytes_mean * CONSTANT, || {
            format!(
                "tiers, {size} gateways: {:.0} bytes a second, {:.0} before",
                traffic.bytes_mean, least.bytes_mean
            )
        });
        bounds.check(representative_us <= PROCESSOR_US, || {
            format!("tiers, {size} gateways: {representative_us:.0} us a second")
        });
        figures.push(json!({
            "gateways": size, "traffic": traffic,
            "member_us": member_us, "representative_us": representative_us,
        }));
    }
    Ok(Value::Array(figures))
}
