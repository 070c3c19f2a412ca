//! The figures of one variant in one case.
use super::world::{World, NEW_PARENT, ORIGIN, PARENTS};
use super::{MIGRATION, MIGRATION_MS, SPAN};
use crate::load::LoadResult;
use crate::stand::tier::{SeenRequest, COLD_SPAN};
use larchway::Micros;
use serde_json::{json, Value};

const SECOND: Micros = 1_000_000;
/// Windows of a second slide by this.
const WINDOW_STEP: Micros = 100_000;
/// What a parent that starts can do, as a share of what it can do warm.
const COLD_START_SHARE: f64 = 0.1;
/// Seconds of the window in which service is worst.
const WORST_SECONDS: usize = 5;

/// Loops among parents.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Loops {
    pub begun: u64,
    /// Broken by the trail.
    pub broken: u64,
    /// Ended by nothing but time.
    pub unbroken: u64,
}

impl Loops {
    fn of(world: &World) -> Self {
        PARENTS.iter().map(|name| world.store(name).loops()).fold(Loops::default(), |sum, loops| Loops {
            begun: sum.begun + loops.begun,
            broken: sum.broken + loops.broken,
            unbroken: sum.unbroken + loops.unbroken,
        })
    }
}

/// What one variant showed in one case. Loads are over what the store can do.
pub(super) struct Figures {
    pub load: LoadResult,
    /// Service in the worst seconds.
    pub worst: f64,
    /// The origin's load in its busiest second after the migration began, and in the mean.
    pub origin_peak: f64,
    pub origin_mean: f64,
    /// Whether the origin was overloaded and stopped.
    pub origin_stopped: bool,
    /// The new parent's load in its busiest second.
    pub cold_peak: f64,
    /// Share of the requests to parents for which they held the object.
    pub parents_hits: f64,
    pub loops: Loops,
}

impl Figures {
    /// Works them out after a run whose load began at a time.
    pub fn of(world: &World, load: LoadResult, start: Micros) -> Self {
        let from = start + MIGRATION;
        let origin = world.store(ORIGIN);
        let origin_times: Vec<Micros> = times(&origin.seen()).filter(|time| *time >= from).collect();
        let origin_calls = origin_times.len() as f64;
        let parents = world.parents_requests(from);
        let hits = parents.iter().filter(|request| request.hit).count() as f64;
        Figures {
            worst: load.worst(WORST_SECONDS, MIGRATION_MS / 1000),
            load,
            origin_peak: peak(&origin_times, from, |_| origin.capacity()),
            origin_mean: origin_calls / ((SPAN - MIGRATION) as f64 / 1e6) / origin.capacity(),
            origin_stopped: origin.stopped(),
            cold_peak: cold_peak(world, from),
            parents_hits: hits / parents.len().max(1) as f64,
            loops: Loops::of(world),
        }
    }

    /// The figures as the trial writes them.
    pub fn json(&self) -> Value {
        let load = &self.load;
        json!({
            "service": load.service(), "worst_5s": self.worst, "lost": load.lost,
            "asked": load.asked, "late": load.late, "refused": load.refused,
            "failed": load.failed, "origin_peak": self.origin_peak, "origin_mean": self.origin_mean,
            "origin_stopped": self.origin_stopped, "cold_peak": self.cold_peak, "parents_hits": self.parents_hits,
            "loops_begun": self.loops.begun, "loops_broken": self.loops.broken,
            "loops_unbroken": self.loops.unbroken,
        })
    }
}

fn times(requests: &[SeenRequest]) -> impl Iterator<Item = Micros> + '_ {
    requests.iter().map(|request| request.time)
}

/// The new parent's busiest second, over what it can do while it warms up.
fn cold_peak(world: &World, from: Micros) -> f64 {
    let parent = world.store(NEW_PARENT);
    let times: Vec<Micros> = times(&parent.seen()).collect();
    let first = times.first().map_or(from, |time| *time).min(from);
    let capacity = parent.capacity();
    let warming = |time: Micros| {
        let warmed = time.saturating_sub(first) as f64 / COLD_SPAN as f64;
        capacity * (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * warmed).min(1.0)
    };
    peak(&times, from, warming)
}

/// Most requests in any second from a time on, each second over the capacity at its middle.
fn peak(times: &[Micros], from: Micros, capacity: impl Fn(Micros) -> f64) -> f64 {
    let mut most: f64 = 0.0;
    let mut start = from;
    while start < from + SPAN {
        let count = times.iter().filter(|time| (start..start + SECOND).contains(*time)).count();
        most = most.max(count as f64 / capacity(start + SECOND / 2));
        start += WINDOW_STEP;
    }
    most
}
