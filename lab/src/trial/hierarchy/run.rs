//! Plays one case in one variant.
use super::figures::Figures;
use super::script::{Case, Step};
use super::variant::Variant;
use super::world::World;
use super::{OBJECTS, RATE, SPAN};
use crate::clock::now;
use crate::load::{self, Load, LoadResult};
use crate::trial::parallel::sleep_until;
use crate::trial::TrialError;
use std::time::Instant;

/// Plays a case in a variant; `label` distinguishes its files from those of others.
pub(super) fn play_variant(
    case: &Case,
    variant: Variant,
    label: &str,
    seed: u64,
) -> Result<Figures, TrialError> {
    let world = World::start(case, variant, label, seed)?;
    let start = now();
    let mut load = LoadResult::none();
    for result in play_script(&world, &case.script, seed)? {
        load.add(&result);
    }
    Ok(Figures::of(&world, load, start))
}

/// Plays the script while clients load all gateways.
fn play_script(world: &World, script: &[Step], seed: u64) -> Result<Vec<LoadResult>, TrialError> {
    let start = Instant::now();
    std::thread::scope(|scope| {
        let mut clients = Vec::new();
        for gateway in &world.gateways {
            let (front, load) = (gateway.front, client_load(gateway.number, seed));
            clients.push(scope.spawn(move || load::play(front, &load)));
        }
        for step in script {
            sleep_until(start, step.due_ms);
            world.act(step.action)?;
        }
        let results = clients.into_iter().map(|client| client.join().expect("the load does not panic"));
        results.map(|result| Ok(result?)).collect()
    })
}

fn client_load(gateway: usize, seed: u64) -> Load {
    Load {
        gateway: gateway as u8,
        rate: RATE,
        ttl_ms: 1000,
        objective_ms: 250,
        class: "history-files".into(),
        objects: OBJECTS,
        zipf: 0.9,
        writes: 0.0,
        span: SPAN,
        seed: seed * 31 + gateway as u64,
        connections: load::Connections::FEW_GATEWAYS,
    }
}
