//! The script of the trial, and what the store that starts got.
use super::budget::{worst_window, Window};
use super::scenario::{Kill, Killed, Scenario, SignalsBefore};
use super::world::{Knowledge, World};
use crate::load::LoadResult;
use crate::trial::gateway::Gateway;
use crate::trial::parallel::{play_all, sleep_until};
use crate::trial::TrialError;
use larchway::Micros;
use serde_json::{json, Value};
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time between two signals to read the configuration again.
const RELOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the signal to end to the kill: the longest deadline that counts, and 0.7 s.
const STOP_TIME: Duration = Duration::from_millis(3700);

/// ms from the start of all gateways to that of the store.
const LISTED_MS: u64 = 1000;

/// What the store that starts got.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Requests that came to it in all.
    pub requests: usize,
    /// The window in which most came for what it is allowed.
    pub worst: Window,
    /// Requests of clients.
    pub asked: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Those served in time.
    in_time: u64,
}

impl Figures {
    /// Share of the clients' requests that were served in time.
    pub fn service(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Whether no window held more than the budget and what is put down to chance.
    pub fn within_budget(&self) -> bool {
        self.worst.requests as f64 <= self.worst.bound()
    }

    /// The figures as the trial writes them.
    pub(super) fn json(&self, name: &str) -> Value {
        let worst = (self.worst.requests, self.worst.budget);
        json!({
            "case": name,
            "calls": self.requests,
            "worst": worst,
            "asked": self.asked,
            "refused": self.refused,
            "served": self.service(),
        })
    }
}

/// A gateway that runs, and its idle clients, which leave with it.
struct RunningGateway {
    gateway: Gateway,
    _crowd: Vec<TcpStream>,
}

/// The gateways that run, and the clients with requests.
struct Fleet<'a> {
    world: &'a World,
    start: Instant,
    end_ms: u64,
    running: Vec<RunningGateway>,
    clients: Vec<JoinHandle<Option<LoadResult>>>,
}

impl<'a> Fleet<'a> {
    /// Starts all gateways, and their clients for so many ms.
    fn start(world: &'a World, gateways: usize, end_ms: u64) -> Result<Self, TrialError> {
        let running = play_all(gateways, |number| world.start_gateway(number, Knowledge::BeforeStart))?;
        let mut fleet =
            Fleet { world, start: Instant::now(), end_ms, running: Vec::new(), clients: Vec::new() };
        running.into_iter().for_each(|gateway| fleet.add(gateway));
        Ok(fleet)
    }

    /// Adds a gateway that has started, and starts its clients.
    fn add(&mut self, gateway: Gateway) {
        let rest_ms = self.end_ms.saturating_sub(self.start.elapsed().as_millis() as u64);
        self.clients.push(self.world.start_clients(&gateway, rest_ms));
        let crowd = self.world.crowd(&gateway);
        self.running.push(RunningGateway { gateway, _crowd: crowd });
    }

    /// Kills gateways outright, and starts them again.
    fn restart(&mut self, kill: &Kill) -> Result<(), TrialError> {
        let is_killed = |running: &RunningGateway| match kill.killed {
            Killed::All => true,
            Killed::EveryOther => !running.gateway.number.is_multiple_of(2),
        };
        let killed_at = self.start.elapsed().as_millis() as u64;
        let (mut killed, stay): (Vec<RunningGateway>, Vec<RunningGateway>) =
            std::mem::take(&mut self.running).into_iter().partition(is_killed);
        self.running = stay;
        kill.before.iter().try_for_each(|signals| signal(&killed, *signals))?;
        killed.iter_mut().for_each(|running| running.gateway.kill());
        let numbers: Vec<usize> = killed.iter().map(|running| running.gateway.number).collect();
        drop(killed);
        sleep_until(self.start, killed_at + kill.down_ms);
        let world = self.world;
        let again =
            play_all(numbers.len(), |index| world.start_gateway(numbers[index], Knowledge::AfterStart))?;
        again.into_iter().for_each(|gateway| self.add(gateway));
        Ok(())
    }

    /// Waits until all clients have ended; returns the results of those whose gateway was not killed.
    fn finish(&mut self) -> Result<Vec<LoadResult>, TrialError> {
        let mut results = Vec::new();
        for client in self.clients.drain(..) {
            let result = client.join().map_err(|_| TrialError::ClientsPanicked("a load ended"))?;
            results.extend(result);
        }
        Ok(results)
    }
}

impl Drop for Fleet<'_> {
    /// Clients of a scenario that has failed end with their gateways.
    fn drop(&mut self) {
        self.running.clear();
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Plays a scenario; `name` distinguishes its files from those of others.
pub fn run(name: &str, scenario: &Scenario) -> Result<Figures, TrialError> {
    let world = World::start(name, scenario)?;
    let mut fleet = Fleet::start(&world, scenario.gateways, LISTED_MS + scenario.end_ms)?;
    let start = fleet.start;
    sleep_until(start, LISTED_MS);
    let started_at = world.list_store();
    for kill in &scenario.kills {
        sleep_until(start, LISTED_MS + kill.at_ms);
        fleet.restart(kill)?;
    }
    let results = fleet.finish()?;
    Ok(figures(&world, started_at, &results))
}

/// Sends gateways the signals that come before a kill.
fn signal(running: &[RunningGateway], signals: SignalsBefore) -> Result<(), TrialError> {
    let each = |send: &dyn Fn(&Gateway) -> Result<(), TrialError>| {
        running.iter().try_for_each(|running| send(&running.gateway))
    };
    match signals {
        SignalsBefore::Reloads(times) => {
            for _ in 0..times {
                each(&Gateway::reload)?;
                std::thread::sleep(RELOAD_INTERVAL);
            }
        }
        SignalsBefore::PauseMs(ms) => {
            each(&|gateway| gateway.signal("STOP"))?;
            std::thread::sleep(Duration::from_millis(ms));
            each(&|gateway| gateway.signal("CONT"))?;
        }
        SignalsBefore::Stop => {
            each(&|gateway| gateway.signal("TERM"))?;
            std::thread::sleep(STOP_TIME);
        }
    }
    Ok(())
}

fn figures(world: &World, started_at: Micros, results: &[LoadResult]) -> Figures {
    let mut times: Vec<Micros> = world.store.seen().iter().map(|request| request.at).collect();
    times.sort_unstable();
    Figures {
        requests: times.len(),
        worst: worst_window(&times, started_at),
        asked: results.iter().map(|result| result.asked).sum(),
        refused: results.iter().map(|result| result.refused).sum(),
        in_time: results.iter().map(|result| result.in_time).sum(),
    }
}
