//! A rollout: a version goes to ever more gateways, and is halted or rolled back where that fails.
use super::{Document, DocumentVersion, Observation, PlanError, RejectedVersion, RolloutPlan};
use crate::event_number::EventNumber;
use larchway::MonotonicTime;

/// What happens to a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutInput {
    /// It is to begin.
    Start,
    /// A version of its document is held by the relays, under this number.
    VersionStored {
        /// Which version.
        version: DocumentVersion,
        /// The event that brought it.
        number: EventNumber,
    },
    /// What the relays report now.
    Observed(Observation),
    /// An operator halts it.
    Halt,
    /// An operator rolls it back.
    RollBack,
    /// The time of [`Rollout::next_due`] has come.
    Tick,
}

/// Why a rollout was halted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HaltReason {
    /// More gateways reject the version than are tolerated; these are the rejections.
    Rejected(Vec<RejectedVersion>),
    /// The relays left rejections out, so that the version's may be among them.
    RejectionsOmitted,
    /// The stage was not applied by all that it targets in its longest time.
    StageOverdue {
        /// Its index.
        stage: usize,
    },
    /// An operator halted it.
    Operator,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutOutput {
    /// Publish the next stage.
    Publish(Document),
    /// Publish this newer version with the content of before.
    RollBack(Document),
    /// It goes no further; the gateways that have the version keep it, unless a rollback follows.
    Halted(HaltReason),
    /// The version is applied by all.
    Completed,
    /// The rollback is applied by all.
    RolledBack,
}

/// How far a rollout is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// It has not begun.
    Planned,
    /// A stage is published, and not known to be applied by all that it targets.
    Applying {
        /// Its index.
        stage: usize,
        /// When it began.
        since: MonotonicTime,
        /// The event that brought it, once the relays hold it.
        number: Option<EventNumber>,
    },
    /// A stage is applied by all that it targets.
    Soaking {
        /// Its index.
        stage: usize,
        /// When it began.
        since: MonotonicTime,
        /// The event that brought it.
        number: EventNumber,
        /// Since when it is applied.
        applied_at: MonotonicTime,
    },
    /// It goes no further.
    Halted,
    /// The rollback is published.
    RollingBack {
        /// The event that brought it, once the relays hold it.
        number: Option<EventNumber>,
    },
    /// The version is applied by all.
    Completed,
    /// The rollback is applied by all.
    RolledBack,
}

/// A rollout of one version of one document.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Rollout {
    plan: RolloutPlan,
    state: RolloutState,
}

impl Rollout {
    /// A rollout that has not begun.
    ///
    /// # Errors
    ///
    /// Fails if the plan is not allowed, naming the key.
    pub fn new(plan: RolloutPlan) -> Result<Rollout, PlanError> {
        plan.check()?;
        Ok(Rollout { plan, state: RolloutState::Planned })
    }

    /// A rollout that goes on after its publisher's restart: this version of it is held by the relays.
    ///
    /// # Errors
    ///
    /// Fails if the plan is not allowed, naming the key.
    pub fn resume(
        now: MonotonicTime,
        plan: RolloutPlan,
        held: DocumentVersion,
    ) -> Result<Rollout, PlanError> {
        let mut rollout = Rollout::new(plan)?;
        if held.version == rollout.plan.version {
            let stage = (held.stage as usize).min(rollout.plan.stages.len());
            rollout.state = RolloutState::Applying { stage, since: now, number: None };
        } else if held == rollout.plan.rollback().version {
            rollout.state = RolloutState::RollingBack { number: None };
        }
        Ok(rollout)
    }

    /// The plan.
    pub fn plan(&self) -> &RolloutPlan {
        &self.plan
    }

    /// How far it is.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Takes in what has happened and appends what the caller has to do.
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

    /// When [`RolloutInput::Tick`] is wanted, if ever.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        match self.state {
            RolloutState::Applying { since, .. } => Some(since + self.plan.max_stage_time),
            _ => None,
        }
    }

    /// Whether a stage is published and may be followed by another.
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

    /// The relays hold a version of the document.
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

    /// Why the rollout must go no further, if it must not.
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

    /// Goes on to the next stage if this one is applied by all that it targets, and has been for long enough.
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

    /// The stage is applied now: the next one follows after the soak, and nothing after that for all gateways.
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

    /// From any state in which the version may be in force somewhere.
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
