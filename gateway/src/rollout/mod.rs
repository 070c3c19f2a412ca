//! `larchway rollout`: drives a staged change of configuration by what the root relay reports, and prints each document
//! that is to be published. It publishes nothing itself.
mod client;
mod error;
mod plan_file;

pub use error::{PlanFileProblem, RolloutError};
pub use plan_file::{read, schema, PlanFile};

use crate::clock;
use crate::relay::documents_status::DocumentsStatus;
use larchway::MonotonicTime;
use larchway_distribution::configuration::{
    Document, DocumentsEvent, HaltReason, RejectedVersion, Rollout, RolloutInput, RolloutOutput, RolloutPlan,
};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The version is applied by all gateways.
    Completed,
    /// It was halted, and the gateways that have the version keep it.
    Halted,
    /// It was halted and the version before is applied by all gateways.
    RolledBack,
}

/// A rollout, the relay that it is observed by, and where its documents are printed.
pub struct RolloutDriver<'a> {
    rollout: Rollout,
    relay: SocketAddr,
    poll_interval: Duration,
    out: &'a mut dyn Write,
}

impl<'a> RolloutDriver<'a> {
    /// The rollout of the plan in a file, observed by a root relay.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be used; the error names the key.
    pub fn new(path: &str, relay: SocketAddr, out: &'a mut dyn Write) -> Result<Self, RolloutError> {
        let file = plan_file::read(path)?;
        let invalid = |error| RolloutError::invalid(path, PlanFileProblem::Plan(error));
        let rollout = Rollout::new(file.plan()).map_err(invalid)?;
        Ok(RolloutDriver { rollout, relay, poll_interval: file.poll_interval(), out })
    }

    /// Drives it to its end.
    ///
    /// # Errors
    ///
    /// Fails if the relays hold the version already, or if a document cannot be printed.
    pub fn run(&mut self) -> Result<Outcome, RolloutError> {
        self.wait_for_relay()?;
        let mut ended = self.handle(clock::now(), RolloutInput::Start)?;
        loop {
            if let Some(outcome) = ended {
                return Ok(outcome);
            }
            std::thread::sleep(self.poll_interval);
            ended = match client::documents(self.relay) {
                Ok(status) => self.observe(clock::now(), &status)?,
                Err(error) => {
                    warn!(relay = %self.relay, %error, "the relay does not answer; it is asked again");
                    self.handle(clock::now(), RolloutInput::Tick)?
                }
            };
        }
    }

    /// Waits until the relay answers. Danger: a plan that is started a second time would narrow its last stage again.
    fn wait_for_relay(&self) -> Result<(), RolloutError> {
        loop {
            match client::documents(self.relay) {
                Ok(status) => return self.check_version(&status),
                Err(error) => {
                    warn!(relay = %self.relay, %error, "the relay does not answer; it is asked again");
                }
            }
            std::thread::sleep(self.poll_interval);
        }
    }

    /// Checks that the version is newer than those that the relays hold.
    fn check_version(&self, status: &DocumentsStatus) -> Result<(), RolloutError> {
        let RolloutPlan { id, version, .. } = self.rollout.plan();
        let held = status.documents.iter().filter(|held| held.id == *id).map(|held| held.version).max();
        match held.filter(|held| held.version >= *version) {
            Some(held) => Err(RolloutError::VersionHeld { id: id.clone(), version: *version, held }),
            None => Ok(()),
        }
    }

    /// Hands in what the relay reports.
    fn observe(
        &mut self,
        now: MonotonicTime,
        status: &DocumentsStatus,
    ) -> Result<Option<Outcome>, RolloutError> {
        let id = self.rollout.plan().id.clone();
        for held in status.documents.iter().filter(|held| held.id == id) {
            let seen = RolloutInput::VersionStored { version: held.version, number: held.event };
            if let Some(outcome) = self.handle(now, seen)? {
                return Ok(Some(outcome));
            }
        }
        self.handle(now, RolloutInput::Observed(status.positions.observation()))
    }

    fn handle(&mut self, now: MonotonicTime, input: RolloutInput) -> Result<Option<Outcome>, RolloutError> {
        let mut outputs = Vec::new();
        self.rollout.handle(now, input, &mut outputs);
        let mut ended = None;
        // One that is halted and rolled back at once ends with its rollback.
        for output in outputs {
            ended = self.carry_out(output)?;
        }
        Ok(ended)
    }

    fn carry_out(&mut self, output: RolloutOutput) -> Result<Option<Outcome>, RolloutError> {
        match output {
            RolloutOutput::Publish(document) => {
                info!(version = %document.version, "a stage is to be published");
                self.print(&document)?;
                Ok(None)
            }
            RolloutOutput::RollBack(document) => {
                warn!(version = %document.version, "it is rolled back: the version before is to be published");
                self.print(&document)?;
                Ok(None)
            }
            RolloutOutput::Halted(reason) => {
                warn!("halted: {}", describe(&reason));
                Ok(Some(Outcome::Halted))
            }
            RolloutOutput::Completed => Ok(Some(Outcome::Completed)),
            RolloutOutput::RolledBack => Ok(Some(Outcome::RolledBack)),
        }
    }

    /// Prints the entry of a documents event as one line of JSON.
    fn print(&mut self, document: &Document) -> Result<(), RolloutError> {
        let event = DocumentsEvent::changes([document.clone()]).json();
        let event: serde_json::Value = serde_json::from_str(&event).map_err(io::Error::from)?;
        writeln!(self.out, "{}", event["entries"][0])?;
        self.out.flush()?;
        Ok(())
    }
}

/// A reason, as it is logged.
fn describe(reason: &HaltReason) -> String {
    match reason {
        HaltReason::Rejected(rejections) => {
            let rejections: Vec<String> = rejections.iter().map(describe_rejection).collect();
            rejections.join("; ")
        }
        HaltReason::RejectionsOmitted => "more versions are rejected than a report names".to_string(),
        HaltReason::StageOverdue { stage } => format!("stage {stage} is not applied in its longest time"),
        HaltReason::Operator => "by an operator".to_string(),
    }
}

fn describe_rejection(rejected: &RejectedVersion) -> String {
    let RejectedVersion { id, version, reason, gateways, names } = rejected;
    format!("{gateways} gateways ({}) reject {id} {version}: {reason}", names.join(", "))
}
