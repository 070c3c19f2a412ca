//! Plays one variant: rounds in which a store is taken out by hand, another is drained, and the gateway is upgraded.
use super::bans::{broken_bans, count_doubled_writes, Ban, BanReason};
use super::figures::Figures;
use super::resources::ResourceMonitor;
use super::world::{Ending, GatewayProcess, Started, World, CACHES};
use super::{FIRST_MS, LONGEST_DEADLINE_MS, RATE, ROUND_MS, UPGRADES};
use crate::clock::now;
use crate::load::{self, Load};
use crate::trial::console::{self, call};
use crate::trial::parallel::sleep_until;
use crate::trial::TrialError;
use larchway::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// Makes the seed of the stores that are chosen another one than that of the load.
const CHOICE_SEED: u64 = 0x75_70_67;
/// How long after its start the calls of a round are taken back, ms.
const BACK_MS: u64 = 2300;
/// How long the load goes on after the last round, ms.
const LOAD_TAIL_MS: u64 = 1000;
/// A call that takes longer is late.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Variant {
    /// The calls alone, on one process.
    NoUpgrade,
    /// An upgrade in each round.
    Upgrades,
}

impl Variant {
    /// Distinguishes its files from those of the other.
    const fn label(self) -> &'static str {
        match self {
            Variant::NoUpgrade => "plain",
            Variant::Upgrades => "upgrades",
        }
    }
}

/// What is chosen for a round.
#[derive(Clone, Copy)]
struct Round {
    number: usize,
    /// The store that is taken out by hand.
    out: &'static str,
    /// The store that is drained in some rounds.
    drained: &'static str,
}

impl Round {
    fn choose(number: usize, random: &mut Pcg64Mcg) -> Self {
        let place = random.random_range(0..CACHES.len());
        Round { number, out: CACHES[place], drained: CACHES[(place + 1) % CACHES.len()] }
    }

    const fn start_ms(self) -> u64 {
        FIRST_MS + ROUND_MS * self.number as u64
    }

    /// By turns the old process is called before the new one starts, and the new one while both are there.
    const fn calls_old_process(self) -> bool {
        self.number.is_multiple_of(2)
    }

    const fn drains(self) -> bool {
        self.number.is_multiple_of(3)
    }
}

/// One variant while it is played.
struct Run {
    variant: Variant,
    world: World,
    process: GatewayProcess,
    monitor: ResourceMonitor,
    start: Instant,
    bans: Vec<Ban>,
    /// The longest time until a process was ready.
    slowest_ready: Duration,
    killed: u64,
    late_calls: u64,
}

/// Plays a variant.
pub(super) fn play_variant(variant: Variant, seed: u64) -> Result<Figures, TrialError> {
    let mut world = World::start(seed, variant.label())?;
    let Started { process, .. } = world.start_process()?;
    let monitor = ResourceMonitor::start(process.id());
    let (front, load) = (world.front, client_load(seed));
    let clients = std::thread::spawn(move || load::play(front, &load));
    let mut run = Run {
        variant,
        world,
        process,
        monitor,
        start: Instant::now(),
        bans: Vec::new(),
        slowest_ready: Duration::ZERO,
        killed: 0,
        late_calls: 0,
    };
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ CHOICE_SEED);
    for number in 0..UPGRADES {
        run.play_round(Round::choose(number, &mut random))?;
    }
    let load = clients.join().map_err(|_| TrialError::ClientsPanicked("the load ended early"))?;
    let load = load.map_err(TrialError::io("the load"))?;
    Ok(Figures {
        load,
        resources: run.monitor.finish(),
        bans: run.bans.len(),
        broken_bans: broken_bans(&run.world, &run.bans),
        doubled_writes: count_doubled_writes(&run.world),
        ready_ms: run.slowest_ready.as_millis() as u64,
        killed: run.killed,
        late_calls: run.late_calls,
    })
}

fn client_load(seed: u64) -> Load {
    Load {
        gateway: 1,
        rate: RATE,
        ttl_ms: LONGEST_DEADLINE_MS,
        objective_ms: 150,
        class: "history-files".into(),
        objects: 400,
        zipf: 0.9,
        writes: 0.1,
        span: (FIRST_MS + ROUND_MS * UPGRADES as u64 + LOAD_TAIL_MS) * 1000,
        seed: seed * 31,
        connections: load::Connections::FEW_GATEWAYS,
    }
}

impl Run {
    fn play_round(&mut self, round: Round) -> Result<(), TrialError> {
        sleep_until(self.start, round.start_ms());
        let before = round.calls_old_process().then(|| self.call_out(round));
        if round.drains() {
            self.world.list(round.drained, "draining");
        }
        let drained_at = now();
        let old_process = self.start_upgrade()?;
        let out_at = before.unwrap_or_else(|| self.call_out(round));
        if let Some(old_process) = old_process {
            self.killed += u64::from(old_process.terminate()? == Ending::Killed);
        }
        self.monitor.set_processes(vec![self.process.id()]);
        sleep_until(self.start, round.start_ms() + BACK_MS);
        self.take_back(round, out_at, drained_at);
        // One that exits by itself before it is asked to has crashed.
        if self.process.has_ended()? {
            return Err(TrialError::GatewayEnded { round: round.number, folder: self.world.dir.clone() });
        }
        Ok(())
    }

    /// Calls the process that there is; returns when that was done, µs of the Unix clock.
    fn call(&mut self, path: &str, store: &str) -> Micros {
        let start = Instant::now();
        let answer = call(self.process.console, "PUT", path, Some(store));
        let carried_out = answer.is_ok_and(|answer| answer.status == console::OK);
        if !carried_out || start.elapsed() > CALL_TIMEOUT {
            self.late_calls += 1;
        }
        now()
    }

    fn call_out(&mut self, round: Round) -> Micros {
        self.call("/ops/stores/down", round.out)
    }

    /// Starts the next process, if the variant has upgrades; returns the one before, which still runs.
    fn start_upgrade(&mut self) -> Result<Option<GatewayProcess>, TrialError> {
        if self.variant == Variant::NoUpgrade {
            return Ok(None);
        }
        let Started { process, elapsed } = self.world.start_process()?;
        self.slowest_ready = self.slowest_ready.max(elapsed);
        self.monitor.set_processes(vec![self.process.id(), process.id()]);
        Ok(Some(std::mem::replace(&mut self.process, process)))
    }

    /// Takes back the calls of a round, on whichever process there is now; the bans end before that.
    fn take_back(&mut self, round: Round, out_at: Micros, drained_at: Micros) {
        let ban = |store, from, reason| Ban { store, from, until: now(), reason };
        self.bans.push(ban(round.out, out_at, BanReason::OutByHand));
        self.call("/ops/stores/up", round.out);
        if round.drains() {
            self.bans.push(ban(round.drained, drained_at, BanReason::Draining));
            self.world.list(round.drained, "up");
        }
    }
}
