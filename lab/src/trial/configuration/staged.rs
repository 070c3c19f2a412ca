//! The case that is staged: some gateways reject the change, so that it is halted and rolled back, by what the root
//! relay reports and the product's own `larchway rollout`.
use super::figures::CHANGE_BOUND_MS;
use super::observer::{Look, Observer, Samples};
use super::world::{World, WITHOUT_KEY};
use super::{Way, GATEWAYS, PURGES_PER_SECOND, SETTLE, STAGED};
use crate::clock::now;
use crate::trial::TrialError;
use larchway::Micros;
use larchway_gateway::rollout::{Outcome, RolloutDriver, RolloutError};
use serde::Serialize;
use serde_json::{json, Value};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The value that is changed, its version, and that of the rollback.
const NAME: &str = "settings.rules.fallMs";
const VERSION: u64 = 100;
/// Longest time until the rollout ends.
const LONGEST: Duration = Duration::from_secs(60);

/// The figures of the case. Times are in ms.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StagedFigures {
    gateways: usize,
    /// Gateways whose file the change cannot stand over.
    rejecting: usize,
    /// Stages published before it was halted.
    stages: usize,
    /// Gateways that ever had the version in force.
    reached: usize,
    /// Whether it ended as rolled back.
    rolled_back: bool,
    /// From the last stage to the rollback.
    halted_ms: f64,
    /// From the rollback until no gateway had the version in force, by looks 100 ms apart.
    undone_ms: Option<f64>,
    /// Gateways with the version in force, or with a rejection, at the end.
    left: usize,
}

/// A document that was printed and published.
struct Published {
    version: u64,
    at: Micros,
}

/// Gives each line that is written to a channel.
struct Lines {
    sender: Sender<String>,
    pending: String,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.pending.push_str(&String::from_utf8_lossy(bytes));
        while let Some((line, rest)) = self.pending.split_once('\n') {
            let (line, rest) = (line.to_string(), rest.to_string());
            self.pending = rest;
            self.sender.send(line).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Plays the case.
pub(super) fn run(seed: u64) -> Result<StagedFigures, TrialError> {
    let mut world = World::start(STAGED, Way::Documents, seed)?;
    world.wait_for_all()?;
    let observer = Observer::start(world.gateways.clone());
    let plan = write_plan(&world)?;
    let (sender, lines) = channel();
    let rollout = start_rollout(plan, world.root.address, sender);
    let published = publish(&mut world, &lines, &rollout);
    if !rollout.is_finished() {
        return Err(TrialError::NotInTime(format!("{STAGED}: the rollout does not end in {LONGEST:?}")));
    }
    std::thread::sleep(SETTLE);
    let samples = observer.finish();
    let outcome = rollout.join().map_err(|_| TrialError::Unexpected("the rollout panicked".into()))?;
    let outcome = outcome.map_err(|error| TrialError::Unexpected(error.to_string()))?;
    Ok(measure(&published, &samples, outcome))
}

fn write_plan(world: &World) -> Result<PathBuf, TrialError> {
    let path = world.dir.join("plan.json");
    let plan = json!({"kind": "limit", "name": NAME, "version": VERSION, "content": 1500, "previous": null,
        "shares": [0.1, 0.5], "zones": ["z0"], "soak_ms": 1000, "poll_ms": 200, "stage_timeout_ms": 30_000});
    std::fs::write(&path, plan.to_string()).map_err(TrialError::io("the plan"))?;
    Ok(path)
}

fn start_rollout(
    plan: PathBuf,
    relay: SocketAddr,
    sender: Sender<String>,
) -> JoinHandle<Result<Outcome, RolloutError>> {
    std::thread::spawn(move || {
        let mut lines = Lines { sender, pending: String::new() };
        RolloutDriver::new(&plan.display().to_string(), relay, &mut lines)?.run()
    })
}

/// Publishes purges, and what the rollout prints, until it ends.
fn publish(
    world: &mut World,
    lines: &Receiver<String>,
    rollout: &JoinHandle<Result<Outcome, RolloutError>>,
) -> Vec<Published> {
    let began = Instant::now();
    let (mut published, mut purges) = (Vec::new(), 0_u64);
    while !rollout.is_finished() && began.elapsed() < LONGEST {
        let due = Duration::from_secs_f64(purges as f64 / PURGES_PER_SECOND as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        for line in lines.try_iter() {
            let entry: Value = serde_json::from_str(&line).unwrap_or_default();
            world.publish_documents(&line);
            published.push(Published { version: entry["version"].as_u64().unwrap_or(0), at: now() });
        }
        world.publish_purge();
        purges += 1;
    }
    published
}

fn measure(published: &[Published], samples: &[Samples], outcome: Outcome) -> StagedFigures {
    let stages = published.iter().filter(|published| published.version == VERSION);
    let last_stage = stages.clone().next_back().map_or(0, |published| published.at);
    let rollback =
        published.iter().find(|published| published.version > VERSION).map(|published| published.at);
    let ever = |samples: &&Samples| samples.0.iter().any(has_version);
    let at_end = |samples: &&Samples| samples.0.last().is_none_or(|look| has_version(look) || rejects(look));
    StagedFigures {
        gateways: GATEWAYS,
        rejecting: WITHOUT_KEY,
        stages: stages.count(),
        reached: samples.iter().filter(ever).count(),
        rolled_back: outcome == Outcome::RolledBack,
        halted_ms: rollback.map_or(0.0, |at| ms(at.saturating_sub(last_stage))),
        undone_ms: rollback.and_then(|at| Some(ms(last_with_version(samples)?.saturating_sub(at)))),
        left: samples.iter().filter(at_end).count(),
    }
}

/// The first look at which no gateway has the version any more; none if one was never seen without it.
fn last_with_version(samples: &[Samples]) -> Option<Micros> {
    let undone = |samples: &Samples| {
        let last = samples.0.iter().rposition(has_version);
        samples.0.get(last.map_or(0, |last| last + 1)).map(|look| look.at)
    };
    samples.iter().map(undone).collect::<Option<Vec<_>>>()?.into_iter().max()
}

fn has_version(look: &Look) -> bool {
    let mut in_force = look.documents["in_force"].as_array().into_iter().flatten();
    in_force.any(|document| document["name"] == NAME && document["version"] == VERSION)
}

fn rejects(look: &Look) -> bool {
    look.documents["rejections"].as_array().is_none_or(|rejections| !rejections.is_empty())
}

fn ms(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

impl StagedFigures {
    /// The bounds that are broken.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        if !self.rolled_back {
            broken.push("staged: it was not rolled back".to_string());
        }
        if self.undone_ms.is_none_or(|undone| undone > CHANGE_BOUND_MS) {
            let undone = self.undone_ms;
            broken.push(format!(
                "staged: the rollback was in force after {undone:?} ms, over {CHANGE_BOUND_MS:.0}"
            ));
        }
        if self.left > 0 {
            broken.push(format!("staged: {} gateways are left with the version", self.left));
        }
        broken
    }

    /// The line below the table.
    pub fn line(&self) -> String {
        format!(
            "{STAGED}: {} of {} gateways cannot apply it; {} stages, {} gateways reached, halted after {:.0} ms, \
             rolled back: {}, undone everywhere after {:.0} ms, {} left",
            self.rejecting,
            self.gateways,
            self.stages,
            self.reached,
            self.halted_ms,
            self.rolled_back,
            self.undone_ms.unwrap_or(f64::NAN),
            self.left
        )
    }
}
