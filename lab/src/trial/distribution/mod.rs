//! `trial distribution`: the time from an event at its source to its application by every follower, hollow ones and
//! real gateways, when all follow the source itself and when relays stand between, healthy and with a relay killed or
//! paused, a region cut, a link slow, or all coming back at once.
pub(in crate::trial) mod events;
mod figures;
pub(in crate::trial) mod gateway_observer;
pub mod gateways;
mod observer;
pub mod processes;
mod spent;
mod world;

use super::Outcome;
use crate::trial::TrialError;
use figures::Figures;
use larchway_distribution::EventNumber;
use serde_json::json;
use std::fmt::Write as _;
use std::time::Duration;
use world::World;

/// Events by which all are known to have connected; they are not measured.
const FIRST_EVENTS: EventNumber = 2;
/// Real gateways in each case, beside the hollow followers.
const GATEWAYS: usize = 20;
/// For how long events are published, and how long stragglers have after the last one.
const SPAN: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(6);
/// When a fault begins, and how long a cut, pause or absence lasts; it stands for a longer one.
const FAULT_AT: Duration = Duration::from_secs(2);
const FAULT_FOR: Duration = Duration::from_secs(5);
/// Events a second at the target, and with 12,000 hollow followers on one machine: 8 cores carry it beside other work.
const TARGET_RATE: u64 = 250;
const LARGEST_RATE: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LeafKilled,
    LeafPaused,
    RegionCut,
    LinkSlow,
    /// All leave, and come back at once.
    AllReturn,
}

impl Fault {
    /// Whether what could not be received meanwhile is measured from the fault's end.
    fn ends(self) -> bool {
        matches!(self, Fault::LeafPaused | Fault::RegionCut | Fault::AllReturn)
    }
}

/// A case of the trial.
struct Case {
    name: &'static str,
    relays: bool,
    /// Hollow followers.
    followers: usize,
    /// Events a second, one of which changes the list.
    rate: u64,
    fault: Fault,
}

impl Case {
    const fn relays(name: &'static str, fault: Fault) -> Case {
        Case { name, relays: true, followers: 1200, rate: TARGET_RATE, fault }
    }

    const fn largest(name: &'static str, relays: bool) -> Case {
        Case { name, relays, followers: 12_000, rate: LARGEST_RATE, fault: Fault::None }
    }
}

const CASES: [Case; 9] = [
    Case { relays: false, ..Case::relays("direct", Fault::None) },
    Case::relays("relays", Fault::None),
    Case::relays("killed", Fault::LeafKilled),
    Case::relays("paused", Fault::LeafPaused),
    Case::relays("cut", Fault::RegionCut),
    Case::relays("slow", Fault::LinkSlow),
    Case::relays("returned", Fault::AllReturn),
    Case::largest("direct-12000", false),
    Case::largest("relays-12000", true),
];

/// Plays all cases, or one.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let chosen: Vec<&Case> = CASES.iter().filter(|case| only.is_none_or(|name| name == case.name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = CASES.iter().map(|case| case.name).collect();
        return Err(TrialError::NoSuchCase(names.join(", ")));
    }
    let mut table = figures::header();
    let (mut all, mut broken) = (Vec::new(), Vec::new());
    for case in chosen {
        let figures = run(case, seed)?;
        let _ = writeln!(table, "{}", figures.row());
        // The plain way is there for comparison; the bounds are those of relays.
        if case.relays {
            broken.extend(figures.broken());
        }
        all.push(figures);
    }
    Ok(Outcome { table, figures: json!({ "seed": seed, "cases": all }), broken })
}

fn run(case: &Case, seed: u64) -> Result<Figures, TrialError> {
    let mut world = World::start(case, seed)?;
    world.wait_for_followers(case)?;
    let observer = observer::Observer::start(world.gateways.clone());
    let before = world.spent();
    world.publish_events(case)?;
    std::thread::sleep(SETTLE);
    let after = world.spent();
    let samples = observer.finish();
    let seen = world.finish_followers()?;
    let sent = &world.source.sent;
    Ok(figures::measure(case, sent, &world.fault_end, &seen, &samples, &(after - before)))
}
