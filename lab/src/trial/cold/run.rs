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
    /// Requests of clients, and those served in time.
    asked: u64,
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
        json!({ "case": name, "calls": self.requests, "worst": worst, "served": self.service() })
    }
}

/// The gateways that run, and their clients.
struct Fleet<'a> {
    world: &'a World,
    start: Instant,
    end_ms: u64,
    running: Vec<Gateway>,
    clients: Vec<JoinHandle<Option<LoadResult>>>,
    crowd: Vec<TcpStream>,
}

impl Fleet<'_> {
    fn start_clients(&mut self, gateway: &Gateway) {
        let rest_ms = self.end_ms.saturating_sub(self.start.elapsed().as_millis() as u64);
        self.clients.push(self.world.start_clients(gateway, rest_ms));
        self.crowd.extend(self.world.crowd(gateway));
    }

    /// Kills gateways outright, and starts them again.
    fn restart(&mut self, kill: &Kill) -> Result<(), TrialError> {
        let is_killed = |gateway: &Gateway| match kill.killed {
            Killed::All => true,
            Killed::EveryOther => !gateway.number.is_multiple_of(2),
        };
        let killed_at = self.start.elapsed().as_millis() as u64;
        let (mut killed, stay): (Vec<Gateway>, Vec<Gateway>) =
            std::mem::take(&mut self.running).into_iter().partition(is_killed);
        self.running = stay;
        signal(&killed, kill.before)?;
        killed.iter_mut().for_each(Gateway::kill);
        sleep_until(self.start, killed_at + kill.down_ms);
        let numbers: Vec<usize> = killed.iter().map(|gateway| gateway.number).collect();
        let world = self.world;
        let again =
            play_all(numbers.len(), |index| world.start_gateway(numbers[index], Knowledge::AfterStart))?;
        again.iter().for_each(|gateway| self.start_clients(gateway));
        self.running.extend(again);
        Ok(())
    }
}

/// Plays a scenario; `name` distinguishes its files from those of others.
pub fn run(name: &str, scenario: &Scenario) -> Result<Figures, TrialError> {
    let mut world = World::start(name, scenario)?;
    let running = play_all(scenario.gateways, |number| world.start_gateway(number, Knowledge::BeforeStart))?;
    let (start, end_ms) = (Instant::now(), LISTED_MS + scenario.end_ms);
    let clients = running.iter().map(|gateway| world.start_clients(gateway, end_ms)).collect();
    let crowd = running.iter().flat_map(|gateway| world.crowd(gateway)).collect();
    sleep_until(start, LISTED_MS);
    let started_at = world.list_store();
    let mut fleet = Fleet { world: &world, start, end_ms, running, clients, crowd };
    for kill in &scenario.kills {
        sleep_until(start, LISTED_MS + kill.at_ms);
        fleet.restart(kill)?;
    }
    let Fleet { clients, running, .. } = fleet;
    let figures = figures(&world, started_at, clients);
    drop(running);
    figures
}

/// Sends gateways the signals that come before a kill.
fn signal(gateways: &[Gateway], signals: SignalsBefore) -> Result<(), TrialError> {
    match signals {
        SignalsBefore::None => {}
        SignalsBefore::Reloads(times) => {
            for _ in 0..times {
                gateways.iter().try_for_each(Gateway::reload)?;
                std::thread::sleep(RELOAD_INTERVAL);
            }
        }
        SignalsBefore::PauseMs(ms) => {
            gateways.iter().try_for_each(|gateway| gateway.signal("STOP"))?;
            std::thread::sleep(Duration::from_millis(ms));
            gateways.iter().try_for_each(|gateway| gateway.signal("CONT"))?;
        }
        SignalsBefore::Stop => {
            gateways.iter().try_for_each(|gateway| gateway.signal("TERM"))?;
            std::thread::sleep(STOP_TIME);
        }
    }
    Ok(())
}

fn figures(
    world: &World,
    started_at: Micros,
    clients: Vec<JoinHandle<Option<LoadResult>>>,
) -> Result<Figures, TrialError> {
    let (mut asked, mut in_time) = (0, 0);
    for client in clients {
        let result = client.join().map_err(|_| TrialError::ClientsPanicked("a load ended"))?;
        if let Some(result) = result {
            asked += result.asked;
            in_time += result.in_time;
        }
    }
    let mut times: Vec<Micros> = world.store.seen().iter().map(|request| request.at).collect();
    times.sort_unstable();
    Ok(Figures { requests: times.len(), worst: worst_window(&times, started_at), asked, in_time })
}
