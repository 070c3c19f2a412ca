//! What is done to the gateways while the store warms up, and how those that come back learn of it.
use super::SERVICE_MS;
use crate::stand::service_time::ServiceTime;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Standard deviation of the logarithm of service times that are spread widely.
const SPREAD: f64 = 1.1;
/// Seconds by which the wall clock of restarted processes is ahead, in drawn scenarios.
const CLOCKS_AHEAD: [i64; 6] = [0, 0, 3600, -3600, 20, 86_400];
/// Idle clients of each gateway that make a crowd: more than the descriptors left for clients.
const CROWD: usize = 40;
/// Connections of the load on a gateway.
pub(super) const CLIENT_CONNECTIONS: usize = 2;
/// Descriptors that a gateway may have open, as its configuration says: the other ends are in this process.
pub(super) const GATEWAY_DESCRIPTORS: usize = 96;
/// Descriptors of this process for a gateway's log and the pipe that it comes by.
const LOG_DESCRIPTORS: usize = 2;
/// Listeners of stores and sources, and files that are written.
const OTHER_DESCRIPTORS: usize = 32;
/// ms from the store's start to the end.
const LONG_ENOUGH_MS: u64 = 6000;
/// ms after the store's start in which drawn kills come, and for which a gateway then stays away.
const KILLS_WITHIN_MS: std::ops::Range<u64> = 50..2500;
const DOWN_MS: std::ops::Range<u64> = 10..600;

/// Which gateways a kill is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Killed {
    /// All of them.
    All,
    /// Every other one.
    EveryOther,
}

/// Signals that come before a kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalsBefore {
    /// The configuration is read again so many times, in a row.
    Reloads(usize),
    /// The process stands still for so many ms, and goes on.
    PauseMs(u64),
    /// It is told to end, and killed as early as the platform does: after the longest deadline, 3 s at most, and 0.7 s.
    Stop,
}

/// A kill of gateways, which are then started again.
#[derive(Debug, Clone)]
pub struct Kill {
    /// ms after the store's start.
    pub at_ms: u64,
    /// ms until they are started again.
    pub down_ms: u64,
    /// Which.
    pub killed: Killed,
    /// What they are sent before, in this order.
    pub before: Vec<SignalsBefore>,
}

/// How a gateway that is started again learns of the store's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartKnownFrom {
    /// A change that the source sends after the list that the configuration names.
    Change,
    /// The complete list in the configuration.
    KnownList,
    /// A change in the configuration, behind a complete list without it.
    KnownChange,
    /// The complete list that the source sends first: the configuration names none.
    FirstList,
}

/// A script of the trial.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How many gateways there are.
    pub gateways: usize,
    /// Decides on objects and the gateways' draws.
    pub seed: u64,
    /// Stores of the location that are warm, beside the one that starts.
    pub warm_stores: usize,
    /// How long a request takes.
    pub service: ServiceTime,
    /// Times the capacity of all stores, when warm, that is asked for.
    pub load: f64,
    /// The kills, in order.
    pub kills: Vec<Kill>,
    /// Seconds by which the wall clock of gateways that are started again is ahead.
    pub clock_ahead: i64,
    /// How they learn of the start.
    pub start_known_from: StartKnownFrom,
    /// Idle clients of each gateway.
    pub crowd: usize,
    /// Whether all gateways have the same seed.
    pub equal_seeds: bool,
    /// ms from the store's start to the end.
    pub end_ms: u64,
}

impl Scenario {
    /// The store is the only one of its location; half of the gateways are killed and come back 2 s after its start.
    pub fn half_restarted(gateways: usize, seed: u64) -> Self {
        Scenario {
            gateways,
            seed,
            warm_stores: 0,
            service: ServiceTime::Equal(Duration::from_millis(SERVICE_MS)),
            load: 2.0,
            kills: vec![Kill { at_ms: 2000, down_ms: 0, killed: Killed::EveryOther, before: Vec::new() }],
            clock_ahead: 0,
            start_known_from: StartKnownFrom::Change,
            crowd: 0,
            equal_seeds: false,
            end_ms: 8000,
        }
    }

    /// All gateways are killed half a second after the store's start and come back 0.2 s later, with a list that names
    /// it, beside three stores that are warm.
    pub fn all_restarted(gateways: usize, seed: u64, clock_ahead: i64) -> Self {
        Scenario {
            warm_stores: 3,
            load: 0.9,
            kills: vec![Kill { at_ms: 500, down_ms: 200, killed: Killed::All, before: Vec::new() }],
            clock_ahead,
            start_known_from: StartKnownFrom::KnownList,
            end_ms: LONG_ENOUGH_MS,
            ..Scenario::half_restarted(gateways, seed)
        }
    }

    /// The store is the only one and starts before gateways that have just started and know nothing of its work.
    pub fn first_ten_seconds(gateways: usize, seed: u64) -> Self {
        Scenario { load: 1.0, kills: Vec::new(), end_ms: 10_000, ..Scenario::half_restarted(gateways, seed) }
    }

    /// The store is the only one, and all gateways, of which half are restarted, have the same seed.
    pub fn with_equal_seeds(gateways: usize, seed: u64) -> Self {
        Scenario { equal_seeds: true, ..Scenario::half_restarted(gateways, seed) }
    }

    /// The same with service times that are spread widely.
    pub fn with_spread_sizes(self) -> Self {
        let mean = Duration::from_millis(SERVICE_MS);
        Scenario { service: ServiceTime::Spread { mean, sigma: SPREAD }, ..self }
    }

    /// Descriptors of this process that it needs at the most. Clients of gateways that were killed may still be there.
    pub fn descriptors(&self) -> usize {
        let clients = CLIENT_CONNECTIONS * (1 + self.kills.len()) + self.crowd;
        self.gateways * (GATEWAY_DESCRIPTORS + LOG_DESCRIPTORS + clients) + OTHER_DESCRIPTORS
    }

    /// A scenario drawn by its seed: numbers, kills, clocks and lists.
    pub fn drawn(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let known_from = [
            StartKnownFrom::Change,
            StartKnownFrom::KnownList,
            StartKnownFrom::KnownChange,
            StartKnownFrom::FirstList,
        ];
        let mut times: Vec<u64> =
            (0..random.random_range(1..=3)).map(|_| random.random_range(KILLS_WITHIN_MS)).collect();
        times.sort_unstable();
        let mut kill = |at_ms| Kill {
            at_ms,
            down_ms: random.random_range(DOWN_MS),
            killed: if random.random_bool(0.7) { Killed::All } else { Killed::EveryOther },
            before: match random.random_range(0..6) {
                0 => vec![SignalsBefore::Reloads(random.random_range(1..=4))],
                1 => vec![SignalsBefore::PauseMs(random.random_range(50..400))],
                2 => vec![SignalsBefore::Stop],
                _ => Vec::new(),
            },
        };
        let kills = times.into_iter().map(&mut kill).collect();
        let scenario = Scenario {
            gateways: random.random_range(6..=36),
            warm_stores: random.random_range(0..=3),
            load: random.random_range(0.7..1.6),
            kills,
            clock_ahead: CLOCKS_AHEAD.choose(&mut random).copied().unwrap_or(0),
            start_known_from: known_from.choose(&mut random).copied().unwrap_or(StartKnownFrom::Change),
            crowd: if random.random_bool(0.25) { CROWD } else { 0 },
            equal_seeds: random.random_bool(0.25),
            end_ms: LONG_ENOUGH_MS,
            ..Scenario::half_restarted(0, seed)
        };
        let mut scenario = if random.random_bool(0.5) { scenario.with_spread_sizes() } else { scenario };
        for kill in &mut scenario.kills {
            let earlier = draw_signals(&mut random);
            kill.before.splice(0..0, earlier);
        }
        scenario
    }
}

/// A series of signals that a gateway outlives.
fn draw_signals(random: &mut Pcg64Mcg) -> Vec<SignalsBefore> {
    let count = random.random_range(0..=2);
    let draw = |_| match random.random_bool(0.5) {
        true => SignalsBefore::Reloads(random.random_range(1..=4)),
        false => SignalsBefore::PauseMs(random.random_range(50..400)),
    };
    (0..count).map(draw).collect()
}
