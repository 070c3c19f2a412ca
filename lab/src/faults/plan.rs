//! A plan of faults, as JSON: what happens on the directed links between gateways, and to their processes, and when.
mod error;
mod fault;

pub use error::{FaultError, PlanError};
pub use fault::{All, Fault, What, Who};

use serde::{Deserialize, Serialize};

/// Most members that a plan may name: as many gateways as the lease has room for, above the 12,000 of two years.
pub const MOST_MEMBERS: usize = larchway_cluster::lease::MAX_NODES;

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Decides on all that is left to chance.
    pub seed: u64,
    /// Gateways.
    pub members: usize,
    /// ms that it lasts.
    pub for_ms: u64,
    /// What happens.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The datagrams of a link that come later than others.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Reordering {
    /// Their share, from 0 to 1.
    pub share: f64,
    /// By how many ms.
    pub delay_ms: u64,
}

/// How a directed link is at a time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// Share lost.
    pub lost: f64,
    /// Most ms on the way.
    pub delay_ms: u64,
    /// Share that comes twice.
    pub twice: f64,
    /// What comes later.
    pub reordering: Reordering,
}

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// It starts.
    Start,
    /// It goes on.
    Resume,
    /// It is replaced.
    Upgrade,
    /// It stands still.
    Pause,
    /// It is killed.
    Kill,
}

/// A step of a process in a plan; steps are ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedStep {
    /// ms from the beginning.
    pub at_ms: u64,
    /// Whose process.
    pub member: usize,
    /// What happens to it.
    pub step: Step,
}

impl Fault {
    /// What it does to the link from one member to another at a time while it holds.
    fn apply_to_link(&self, link: &mut Link, from: usize, to: usize, ms: u64) {
        let between = |f: &Who, t: &Who| f.holds(from) && t.holds(to);
        match &self.what {
            What::Loss { from, to, share } if between(from, to) => {
                link.lost = 1.0 - (1.0 - link.lost) * (1.0 - share);
            }
            What::Delay { from, to, ms } if between(from, to) => link.delay_ms = link.delay_ms.max(*ms),
            What::Duplicate { from, to, share } if between(from, to) => {
                link.twice = link.twice.max(*share);
            }
            What::Reorder { from, to, share, ms } if between(from, to) => {
                link.reordering = Reordering { share: *share, delay_ms: *ms }
            }
            What::Cut { from, to } if between(from, to) => link.cut = true,
            What::Flap { from, to, period_ms } if between(from, to) => {
                link.cut |= ((ms - self.at_ms) / period_ms).is_multiple_of(2);
            }
            What::Halves { split } => link.cut |= (from < *split) != (to < *split),
            _ => {}
        }
    }
}

impl Plan {
    /// Reads a plan and checks it.
    ///
    /// # Errors
    /// [`PlanError`], whose text names the field.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_str(text)?;
        plan.check().map(|()| plan)
    }

    /// Whether it can be played.
    ///
    /// # Errors
    /// [`PlanError`], whose text names the fault and the field.
    pub fn check(&self) -> Result<(), PlanError> {
        if !(1..=MOST_MEMBERS).contains(&self.members) {
            return Err(PlanError::Members(self.members));
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).map_err(|problem| PlanError::Fault { index, problem })?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), FaultError> {
        if fault.at_ms + fault.for_ms > self.for_ms {
            return Err(FaultError::TooLong { plan_ms: self.for_ms });
        }
        for (field, members) in fault.what.member_fields() {
            if !members.is_within(self.members) {
                return Err(FaultError::UnknownMember { field, members: self.members });
            }
        }
        let share = fault.what.share();
        if !(0.0..=1.0).contains(&share) {
            return Err(FaultError::Share(share));
        }
        if matches!(fault.what, What::Flap { period_ms: 0, .. }) {
            return Err(FaultError::NoPeriod);
        }
        Ok(())
    }

    /// How the link from one to another is at a time.
    pub fn link(&self, from: usize, to: usize, ms: u64) -> Link {
        let mut link = Link::default();
        for fault in self.faults.iter().filter(|f| f.holds(ms)) {
            fault.apply_to_link(&mut link, from, to, ms);
        }
        link
    }

    /// What happens to processes, in the order of time.
    pub fn steps(&self) -> Vec<PlannedStep> {
        let mut steps = Vec::new();
        for fault in &self.faults {
            let (who, first, last) = match &fault.what {
                What::Pause { who } => (who, Step::Pause, Some(Step::Resume)),
                What::Kill { who } => (who, Step::Kill, (fault.for_ms > 0).then_some(Step::Start)),
                What::Upgrade { who } => (who, Step::Upgrade, None),
                _ => continue,
            };
            for member in (0..self.members).filter(|m| who.holds(*m)) {
                steps.push(PlannedStep { at_ms: fault.at_ms, member, step: first });
                let end_ms = fault.at_ms + fault.for_ms;
                steps.extend(last.map(|step| PlannedStep { at_ms: end_ms, member, step }));
            }
        }
        steps.sort_unstable();
        steps
    }
}

#[cfg(test)]
mod tests;
