//! Plays one case in one variant: a fleet, its load, the script, and what came of it.
use super::actions::act;
use super::departures::DepartureLog;
use super::figures::{last_work, Figures};
use super::fleet::Fleet;
use super::observer::{member_status, observe, Observed};
use super::script::{Case, Step};
use super::{Variant, CACHES, GATEWAYS, RATE, SPAN};
use crate::load::{self, Load, LoadResult};
use crate::trial::gateway::Gateway;
use crate::trial::parallel::sleep_until;
use crate::trial::TrialError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long gateways may take to register, and time between two looks.
const REGISTRATION: Duration = Duration::from_secs(10);
const REGISTRATION_POLL: Duration = Duration::from_millis(20);

/// Plays a case in a variant; `label` distinguishes its files from those of others.
pub(super) fn play_variant(
    case: &Case,
    variant: &Variant,
    label: &str,
    seed: u64,
) -> Result<Figures, TrialError> {
    let fleet = Fleet::start(label, CACHES, GATEWAYS, variant.settings, seed)?;
    wait_until_registered(&fleet, variant).map_err(TrialError::variant(case.name, variant.name))?;
    let departures = DepartureLog::default();
    let (results, observed) = play_script(&fleet, &case.script, &departures, seed);
    let mut load = LoadResult::none();
    for result in results {
        let result = result.map_err(TrialError::io("the load"));
        load.add(&result.map_err(TrialError::variant(case.name, variant.name))?);
    }
    let last_work = last_work(&fleet, &departures.into_departures());
    Ok(Figures::new(load, last_work, &observed, variant.merges()))
}

fn wait_until_registered(fleet: &Fleet, variant: &Variant) -> Result<(), TrialError> {
    let deadline = Instant::now() + REGISTRATION;
    while !fleet.gateways.iter().all(|gateway| is_ready(gateway, variant)) {
        if Instant::now() > deadline {
            return Err(TrialError::NotRegistered("gateways"));
        }
        std::thread::sleep(REGISTRATION_POLL);
    }
    Ok(())
}

fn is_ready(gateway: &Gateway, variant: &Variant) -> bool {
    member_status(gateway).is_some_and(|status| {
        status["session"]["registered"] == true && (!variant.merges() || status["nodes"]["ready"] == true)
    })
}

/// Plays the script while clients load all gateways and the observer polls them.
fn play_script(
    fleet: &Fleet,
    script: &[Step],
    departures: &DepartureLog,
    seed: u64,
) -> (Vec<std::io::Result<LoadResult>>, Observed) {
    let stop = AtomicBool::new(false);
    let start = Instant::now();
    std::thread::scope(|scope| {
        let mut clients = Vec::new();
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            let (front, load) = (gateway.front, client_load(number, seed));
            clients.push(scope.spawn(move || load::play(front, &load)));
        }
        let observer = scope.spawn(|| observe(fleet, departures, &stop));
        for step in script {
            sleep_until(start, step.due_ms);
            act(fleet, &step.action, departures);
        }
        let join =
            |client: std::thread::ScopedJoinHandle<'_, _>| client.join().expect("the load does not panic");
        let results = clients.into_iter().map(join).collect();
        stop.store(true, Ordering::Relaxed);
        (results, observer.join().expect("polling does not panic"))
    })
}

fn client_load(gateway: usize, seed: u64) -> Load {
    Load {
        gateway: gateway as u8,
        rate: RATE,
        ttl_ms: 1000,
        objective_ms: 100,
        class: "history-files".into(),
        objects: 400,
        zipf: 0.0,
        writes: 0.0,
        span: SPAN,
        seed: seed * 31 + gateway as u64,
        connections: load::Connections::FEW_GATEWAYS,
    }
}
