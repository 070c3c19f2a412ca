//! The hierarchy at scale: 200 hubs with two parents each, 5,000 branches, and 1,000 gateways that get 100 changes in
//! orders of their own; and how many objects migrate when one parent of four is replaced.
use super::placement::{self, parent_name, Placement};
use crate::trial::bounds::Bounds;
use larchway_hierarchy::change_log::{Change, ChangeLog};
use larchway_hierarchy::topology::{Edit, Parent, Topology, Upstream};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const PARENTS: usize = 400;
const BRANCHES: usize = 5000;
const PARENTS_OF_BRANCH: usize = 4;
const GATEWAYS: usize = 1000;
const CHANGES: u64 = 100;
/// The epoch that the last change is based on.
const LAST_BASE: u64 = 40;
const WEIGHT: f64 = 4.0;

/// The part of the trial that is played at scale.
pub(super) struct ScaleReport {
    /// A line for people.
    pub text: String,
    /// The figures.
    pub figures: Value,
}

/// How gateways converged.
struct Convergence {
    /// The epoch of the last gateway.
    epoch: u64,
    /// Gateways whose topology differs from that of the one before.
    differing: usize,
    elapsed: Duration,
}

fn first_topology() -> Topology {
    let add = |number: usize| {
        let hub = format!("h{}", number / 2);
        let parent = Parent { hub, weight: WEIGHT, upstream: Upstream::Origin };
        Edit::AddParent { name: parent_name(number), parent }
    };
    let branch = |number: usize| {
        let parents = (0..PARENTS_OF_BRANCH).map(|place| parent_name((number * 7 + place * 101) % PARENTS));
        Edit::SetBranch { branch: format!("b{number}"), parents: parents.collect() }
    };
    let edits: Vec<Edit> = (0..PARENTS).map(add).chain((0..BRANCHES).map(branch)).collect();
    Topology::default().apply(&edits).expect("a sound topology")
}

fn random_edit(number: u64, random: &mut Pcg64Mcg) -> Edit {
    match number % 3 {
        0 => Edit::SetWeight {
            name: parent_name(random.random_range(0..PARENTS)),
            weight: random.random_range(1.0..8.0),
        },
        1 => Edit::SetBranch {
            branch: format!("b{}", random.random_range(0..BRANCHES)),
            parents: (0..PARENTS_OF_BRANCH).map(|_| parent_name(random.random_range(0..PARENTS))).collect(),
        },
        _ => Edit::SetUpstream {
            name: parent_name(random.random_range(0..PARENTS)),
            upstream: Upstream::Parent(parent_name(random.random_range(0..PARENTS))),
        },
    }
}

fn random_changes(random: &mut Pcg64Mcg) -> Vec<Change> {
    let change = |number: u64| Change {
        id: format!("c{number:03}"),
        upon: number * LAST_BASE / CHANGES,
        edits: vec![random_edit(number, random)],
    };
    (0..CHANGES).map(change).collect()
}

/// Each gateway takes in all changes in an order of its own.
fn converge(topology: &Topology, changes: &[Change], random: &mut Pcg64Mcg) -> Convergence {
    let start = Instant::now();
    let mut last: Option<(u64, Topology)> = None;
    let mut differing = 0;
    for _ in 0..GATEWAYS {
        let mut change_log = ChangeLog::new(0, topology.clone());
        let mut order: Vec<&Change> = changes.iter().collect();
        order.shuffle(random);
        for change in order {
            // One that is refused is refused by all.
            let _ = change_log.submit(change.clone());
        }
        let found = (change_log.epoch(), change_log.topology().clone());
        differing += usize::from(last.as_ref().is_some_and(|last| *last != found));
        last = Some(found);
    }
    let epoch = last.map_or(0, |(epoch, _)| epoch);
    Convergence { epoch, differing, elapsed: start.elapsed() }
}

/// Plays it.
pub(super) fn play(seed: u64, bounds: &mut Bounds) -> ScaleReport {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let topology = first_topology();
    let changes = random_changes(&mut random);
    let convergence = converge(&topology, &changes, &mut random);
    let placement = placement::measure();
    bounds.check(convergence.differing == 0, || {
        format!("at scale: {} gateways stand at another shape", convergence.differing)
    });
    bounds.check(placement.needless == 0, || {
        format!("at scale: {} objects move between parents that stay", placement.needless)
    });
    ScaleReport { text: text(&convergence, &placement), figures: figures(&convergence, &placement) }
}

/// ms that each gateway took: seconds of all, over a thousand of them.
fn ms_of_gateway(convergence: &Convergence) -> f64 {
    convergence.elapsed.as_secs_f64() * 1e3 / GATEWAYS as f64
}

fn text(convergence: &Convergence, placement: &Placement) -> String {
    format!(
        "at scale: 1,000 gateways, 100 changes in random orders: epoch {}, {} differ, {:.1} ms a gateway; \
         one parent of four replaced: {:.2} % move (least possible {:.2} %, a ring {:.2} %), {:.0} ns a lookup \
         (a ring {:.0} ns)\n",
        convergence.epoch,
        convergence.differing,
        ms_of_gateway(convergence),
        100.0 * placement.migrated,
        100.0 * placement.least_migrated,
        100.0 * placement.ring_migrated,
        placement.lookup_ns,
        placement.ring_lookup_ns,
    )
}

fn figures(convergence: &Convergence, placement: &Placement) -> Value {
    json!({
        "epoch": convergence.epoch, "differ": convergence.differing, "ms_a_gateway": ms_of_gateway(convergence),
        "moved": placement.migrated, "least_moved": placement.least_migrated,
        "ring_moved": placement.ring_migrated, "lookup_ns": placement.lookup_ns,
        "ring_lookup_ns": placement.ring_lookup_ns,
    })
}
