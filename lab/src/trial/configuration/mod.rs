//! `trial configuration`: the time from a change of configuration until it is in force at every gateway, and what it
//! costs, as a file to each gateway (the plain way) and as events through relays, healthy and with a leaf killed; and a
//! staged change that gateways reject. Purges flow beside all of it.
mod changes;
mod figures;
mod observer;
mod staged;
mod world;

use super::Outcome;
use crate::clock::now;
use crate::trial::TrialError;
use changes::Change;
use figures::Figures;
use larchway::Micros;
use larchway_distribution::EventNumber;
use observer::Observer;
use serde_json::json;
use std::fmt::Write as _;
use std::time::{Duration, Instant};
use world::World;

/// Real gateways, and hollow followers beside them.
const GATEWAYS: usize = 20;
const FOLLOWERS: usize = 400;
/// Purges a second.
const PURGES_PER_SECOND: u64 = 250;
/// Time between two changes: 0.475 a second.
const CHANGE_INTERVAL: Duration = Duration::from_micros(2_105_263);
/// For how long changes are made, and how long stragglers have after the last one.
const SPAN: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_secs(5);
/// When a leaf is killed.
const FAULT_AT: Duration = Duration::from_secs(8);
/// Name of the case that is staged.
const STAGED: &str = "staged";

/// How changes reach the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// There are none: what the purges alone cost.
    NoChanges,
    /// A file to each gateway, and SIGHUP.
    Files,
    /// Documents of the event stream.
    Documents,
}

/// A case of the trial.
struct Case {
    name: &'static str,
    way: Way,
    kills_leaf: bool,
}

const CASES: [Case; 4] = [
    Case { name: "purges", way: Way::NoChanges, kills_leaf: false },
    Case { name: "files", way: Way::Files, kills_leaf: false },
    Case { name: "documents", way: Way::Documents, kills_leaf: false },
    Case { name: "killed", way: Way::Documents, kills_leaf: true },
];

/// A change that was made.
struct Made {
    change: Change,
    at: Micros,
    /// The event that carries it; none where it goes as a file.
    number: Option<EventNumber>,
    /// Bytes that each gateway gets for it, before any compression.
    bytes: usize,
}

/// Plays all cases, or one.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let is_wanted = |name: &str| only.is_none_or(|wanted| wanted == name);
    let chosen: Vec<&Case> = CASES.iter().filter(|case| is_wanted(case.name)).collect();
    if chosen.is_empty() && !is_wanted(STAGED) {
        let names = CASES.iter().map(|case| case.name).chain([STAGED]);
        return Err(TrialError::NoSuchCase(names.collect::<Vec<_>>().join(", ")));
    }
    let (mut table, mut all, mut broken) = (figures::header(), Vec::new(), Vec::new());
    for case in chosen {
        let figures = run(case, seed)?;
        let _ = writeln!(table, "{}", figures.row());
        // The plain way is there for comparison.
        if case.way == Way::Documents {
            broken.extend(figures.broken());
        }
        all.push(figures);
    }
    let mut staged = None;
    if is_wanted(STAGED) {
        let figures = staged::run(seed)?;
        let _ = writeln!(table, "{}", figures.line());
        broken.extend(figures.broken());
        staged = Some(figures);
    }
    Ok(Outcome { table, figures: json!({ "seed": seed, "cases": all, "staged": staged }), broken })
}

fn run(case: &Case, seed: u64) -> Result<Figures, TrialError> {
    let mut world = World::start(case.name, case.way, seed)?;
    world.wait_for_all()?;
    let observer = Observer::start(world.gateways.clone());
    let before = world.spent();
    let made = make_changes(case, &mut world)?;
    std::thread::sleep(SETTLE);
    let spent = world.spent() - before;
    let samples = observer.finish();
    let seen = world.finish_followers()?;
    Ok(figures::measure(case, &made, &samples, &seen, &spent))
}

/// Publishes purges, and makes the changes between them.
fn make_changes(case: &Case, world: &mut World) -> Result<Vec<Made>, TrialError> {
    let began = Instant::now();
    let (mut made, mut killed) = (Vec::new(), false);
    for index in 0..SPAN.as_secs() * PURGES_PER_SECOND {
        let due = Duration::from_secs_f64(index as f64 / PURGES_PER_SECOND as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if case.kills_leaf && !killed && began.elapsed() >= FAULT_AT {
            killed = true;
            world.kill_leaf();
        }
        if case.way != Way::NoChanges && began.elapsed() >= CHANGE_INTERVAL * made.len() as u32 {
            made.push(make_change(case.way, world, made.len() as u64 + 1)?);
        }
        world.publish_purge();
    }
    Ok(made)
}

fn make_change(way: Way, world: &mut World, version: u64) -> Result<Made, TrialError> {
    let at = now();
    match way {
        Way::Documents => {
            let change = Change::new(version);
            let entry = change.entry();
            let number = world.publish_documents(&entry);
            Ok(Made { change, at, number: Some(number), bytes: entry.len() })
        }
        Way::Files | Way::NoChanges => {
            let bytes = world.rewrite_files(version)?;
            Ok(Made { change: Change::file(version), at, number: None, bytes })
        }
    }
}
