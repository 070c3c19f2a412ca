//! The staged rollout of a document version to more and more gateways, which is halted or rolled back on failure.
use super::{Document, DocumentVersion, Observation, PlanError, RejectedVersion, RolloutPlan};
use crate::event_number::EventNumber;
use larchway::MonotonicTime;

/// An input to a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutInput {
    /// Start the rollout.
    Start,
    /// The relays have stored a version of the rollout's document.
    VersionStored {
        /// The stored version.
        version: DocumentVersion,
        /// Number of the version's event.
        number: EventNumber,
    },
    /// The current report of the relays.
    Observed(Observation),
    /// An operator halts the rollout.
    Halt,
    /// An operator rolls the version back.
    RollBack,
    /// The time of [`Rollout::next_due`] has come.
    Tick,
}

/// Reasons for halting a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HaltReason {
    /// More gateways reject the version than tolerated. Holds the rejections.
    Rejected(Vec<RejectedVersion>),
    /// The relays omitted rejections, which may concern the version.
    RejectionsOmitted,
    /// Not all targeted gateways applied the stage within the maximum stage time.
    StageOverdue {
        /// Index of the stage.
        stage: usize,
    },
    /// An operator halted the rollout.
    Operator,
}

/// An action or notification for the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutOutput {
    /// Publish this document of the next stage.
    Publish(Document),
    /// Publish this newer version with the previous content.
    RollBack(Document),
    /// The rollout was halted. Gateways that have applied the version keep it unless a rollback follows.
    Halted(HaltReason),
    /// All gateways have applied the version.
    Completed,
    /// All gateways have applied the rollback.
    RolledBack,
}

/// The state of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// The rollout has not started.
    Planned,
    /// A stage is published, but not all targeted gateways are known to have applied it.
    Applying {
        /// Index of the stage.
        stage: usize,
        /// Time at which the stage began.
        since: MonotonicTime,
        /// Number of the stage's event; absent until the relays have stored it.
        number: Option<EventNumber>,
    },
    /// All targeted gateways have applied the stage, and the soak time is running.
    Soaking {
        /// Index of the stage.
        stage: usize,
        /// Time at which the stage began.
        since: MonotonicTime,
        /// Number of the stage's event.
        number: EventNumber,
        /// Time since which the stage is applied.
        applied_at: MonotonicTime,
    },
    /// The rollout was halted.
    Halted,
    /// The rollback is published.
    RollingBack {
        /// Number of the rollback's event; absent until the relays have stored it.
        number: Option<EventNumber>,
    },
    /// All gateways have applied the version.
    Completed,
    /// All gateways have applied the rollback.
    RolledBack,
}

/// A rollout of one version of one document.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Rollout {
    plan: RolloutPlan,
    state: RolloutState,
}

impl Rollout {
    /// Creates a rollout that has not started.
    ///
    /// # Errors
    ///
    /// Fails, naming the key, if the plan is invalid.
    pub fn new(plan: RolloutPlan) -> Result<Rollout, PlanError> {
        plan.check()?;
        Ok(Rollout { plan, state: RolloutState::Planned })
    }

    /// Resumes a rollout after a restart of its publisher. `stored` is the document version stored by the relays.
    ///
    /// # Errors
    ///
    /// Fails, naming the key, if the plan is invalid.
    pub fn resume(
        now: MonotonicTime,
        plan: RolloutPlan,
        stored: DocumentVersion,
    ) -> Result<Rollout, PlanError> {
        let mut rollout = Rollout::new(plan)?;
        if stored.version == rollout.plan.version {
            let stage = (stored.stage as usize).min(rollout.plan.stages.len());
            rollout.state = RolloutState::Applying { stage, since: now, number: None };
        } else if stored == rollout.plan.rollback().version {
            rollout.state = RolloutState::RollingBack { number: None };
        }
        Ok(rollout)
    }

    /// The plan of the rollout.
    pub fn plan(&self) -> &RolloutPlan {
        &self.plan
    }

    /// The current state.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Processes an input and appends the actions for the caller to `out`.
    pub fn handle(&mut self, now: MonotonicTime, input: RolloutInput, out: &mut Vec<RolloutOutput>) {
        match input {
            RolloutInput::Start => self.start(now, out),
            RolloutInput::VersionStored { version, number } => self.record_event_number(version, number),
            RolloutInput::Observed(observation) => self.handle_observation(now, &observation, out),
            RolloutInput::Halt if self.is_under_way() => self.halt(HaltReason::Operator, out),
            RolloutInput::RollBack => self.roll_back(out),
            RolloutInput::Halt | RolloutInput::Tick => {}
        }
        self.halt_if_overdue(now, out);
    }

    /// Time at which the caller has to pass [`RolloutInput::Tick`], if any.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        match self.state {
            RolloutState::Applying { since, .. } => Some(since + self.plan.max_stage_time),
            _ => None,
        }
    }

    /// Whether a stage is published and the rollout is neither halted nor finished.
    pub fn is_under_way(&self) -> bool {
        matches!(self.state, RolloutState::Applying { .. } | RolloutState::Soaking { .. })
    }

    fn start(&mut self, now: MonotonicTime, out: &mut Vec<RolloutOutput>) {
        if self.state == RolloutState::Planned {
            self.publish(now, 0, out);
        }
    }

    fn publish(&mut self, now: MonotonicTime, stage: usize, out: &mut Vec<RolloutOutput>) {
        self.state = RolloutState::Applying { stage, since: now, number: None };
        out.push(RolloutOutput::Publish(self.plan.document(stage)));
    }

    /// Records the event number of the current stage or rollback once the relays have stored it.
    fn record_event_number(&mut self, stored: DocumentVersion, stored_number: EventNumber) {
        let rollback = self.plan.rollback().version;
        let version = self.plan.version;
        match &mut self.state {
            RolloutState::Applying { stage, number, .. }
                if stored == (DocumentVersion { version, stage: *stage as u32 }) =>
            {
                number.get_or_insert(stored_number);
            }
            RolloutState::RollingBack { number } if stored == rollback => {
                number.get_or_insert(stored_number);
            }
            _ => {}
        }
    }

    fn handle_observation(
        &mut self,
        now: MonotonicTime,
        observation: &Observation,
        out: &mut Vec<RolloutOutput>,
    ) {
        match self.state {
            RolloutState::Applying { .. } | RolloutState::Soaking { .. } => {
                match self.halt_reason(observation) {
                    Some(reason) => self.halt(reason, out),
                    None => self.update_stage(now, observation, out),
                }
            }
            RolloutState::RollingBack { number: Some(number) } if observation.is_applied(number) => {
                let version = self.plan.rollback().version;
                if !observation.rejections_omitted
                    && observation.rejecting_gateways(&self.plan.id, version) == 0
                {
                    self.state = RolloutState::RolledBack;
                    out.push(RolloutOutput::RolledBack);
                }
            }
            _ => {}
        }
    }

    /// The reason to halt the rollout, if any.
    fn halt_reason(&self, observation: &Observation) -> Option<HaltReason> {
        let is_of_plan = |rejected: &&RejectedVersion| {
            rejected.id == self.plan.id && rejected.version.version == self.plan.version
        };
        let rejections: Vec<_> = observation.rejections.iter().filter(is_of_plan).cloned().collect();
        let gateways: u64 = rejections.iter().map(|rejected| rejected.gateways).sum();
        if gateways > self.plan.tolerated_rejections {
            return Some(HaltReason::Rejected(rejections));
        }
        observation.rejections_omitted.then_some(HaltReason::RejectionsOmitted)
    }

    /// Updates the stage by an observation, and starts the next one if this one is applied and the soak time has
    /// passed.
    fn update_stage(&mut self, now: MonotonicTime, observation: &Observation, out: &mut Vec<RolloutOutput>) {
        match self.state {
            RolloutState::Applying { stage, since, number: Some(number) }
                if observation.is_applied(number) =>
            {
                self.state = RolloutState::Soaking { stage, since, number, applied_at: now };
                self.advance(now, out);
            }
            RolloutState::Soaking { stage, since, number, .. } if !observation.is_applied(number) => {
                self.state = RolloutState::Applying { stage, since, number: Some(number) };
            }
            RolloutState::Soaking { .. } => self.advance(now, out),
            _ => {}
        }
    }

    /// Publishes the next stage after the soak time, or completes the rollout after the stage for all gateways.
    fn advance(&mut self, now: MonotonicTime, out: &mut Vec<RolloutOutput>) {
        let RolloutState::Soaking { stage, applied_at, .. } = self.state else { return };
        if stage >= self.plan.stages.len() {
            self.state = RolloutState::Completed;
            out.push(RolloutOutput::Completed);
        } else if applied_at + self.plan.minimum_soak <= now {
            self.publish(now, stage + 1, out);
        }
    }

    fn halt(&mut self, reason: HaltReason, out: &mut Vec<RolloutOutput>) {
        self.state = RolloutState::Halted;
        out.push(RolloutOutput::Halted(reason));
        if self.plan.roll_back_when_halted {
            self.roll_back(out);
        }
    }

    /// Rolls back from any state in which the version may be in force at a gateway.
    fn roll_back(&mut self, out: &mut Vec<RolloutOutput>) {
        match self.state {
            RolloutState::Planned | RolloutState::RollingBack { .. } | RolloutState::RolledBack => {}
            _ => {
                self.state = RolloutState::RollingBack { number: None };
                out.push(RolloutOutput::RollBack(self.plan.rollback()));
            }
        }
    }

    fn halt_if_overdue(&mut self, now: MonotonicTime, out: &mut Vec<RolloutOutput>) {
        let RolloutState::Applying { stage, since, .. } = self.state else { return };
        if since + self.plan.max_stage_time <= now {
            self.halt(HaltReason::StageOverdue { stage }, out);
        }
    }
}
