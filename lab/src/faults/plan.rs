//! A plan of faults, as JSON: what happens on the directed links between gateways, and to their processes, and when.
use serde::{Deserialize, Serialize};

/// Most members that a plan may name: as many gateways as the lease keeps, above the 12,000 of two years.
pub const MOST_MEMBERS: usize = larchway_fleet::lease::MOST_NODES;

/// Some members, by number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Who {
    /// `"all"`.
    All(All),
    /// These.
    These(Vec<usize>),
    /// From the first on, up to the last one, which is left out.
    Range {
        /// The first.
        from: usize,
        /// One past the last.
        to: usize,
    },
}

/// The word `all`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum All {
    /// All members.
    All,
}

impl Who {
    /// Whether this member is one of them.
    pub fn holds(&self, who: usize) -> bool {
        match self {
            Who::All(_) => true,
            Who::These(these) => these.contains(&who),
            Who::Range { from, to } => (*from..*to).contains(&who),
        }
    }
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase", deny_unknown_fields)]
pub enum What {
    /// A share of what goes that way is lost.
    Loss {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
        /// From 0 to 1.
        share: f64,
    },
    /// What goes that way takes up to so long.
    Delay {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
        /// ms at most.
        ms: u64,
    },
    /// A share of what goes that way comes twice.
    Duplicate {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
        /// From 0 to 1.
        share: f64,
    },
    /// A share of what goes that way comes so much later than the rest.
    Reorder {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
        /// From 0 to 1.
        share: f64,
        /// ms.
        ms: u64,
    },
    /// Nothing goes that way; the other way is not touched.
    Cut {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
    },
    /// A cut that comes and goes.
    Flap {
        /// Senders.
        from: Who,
        /// Receivers.
        to: Who,
        /// ms for which it is there, and then not.
        period_ms: u64,
    },
    /// Nothing goes between those below this number and the rest.
    Halves {
        /// The first of the other half.
        split: usize,
    },
    /// Processes stand still.
    Pause {
        /// Whose.
        who: Who,
    },
    /// Processes are killed, and start again at the end; never where it lasts 0 ms.
    Kill {
        /// Whose.
        who: Who,
    },
    /// Processes are replaced by new ones while they run.
    Upgrade {
        /// Whose.
        who: Who,
    },
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// ms from the beginning.
    pub at_ms: u64,
    /// ms for which it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// What it is.
    #[serde(flatten)]
    pub what: What,
}

impl Fault {
    fn holds(&self, ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&ms)
    }
}

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
    /// Share that comes later, and by how many ms.
    pub later: (f64, u64),
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

impl Plan {
    /// Reads a plan and checks it; an error names the field.
    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = serde_json::from_str(text).map_err(|e| e.to_string())?;
        plan.check().map(|()| plan)
    }

    /// Whether it can be played; names the fault and the field.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=MOST_MEMBERS).contains(&self.members) {
            return Err(format!("members: {} is not from 1 to {MOST_MEMBERS}", self.members));
        }
        for (at, fault) in self.faults.iter().enumerate() {
            let wrong = |field: &str, why: String| Err(format!("faults[{at}].{field}: {why}"));
            if fault.at_ms + fault.for_ms > self.for_ms {
                return wrong("for_ms", format!("it lasts beyond the plan's {} ms", self.for_ms));
            }
            let named = |who: &Who| match who {
                Who::All(_) => true,
                Who::These(these) => these.iter().all(|who| *who < self.members),
                Who::Range { from, to } => from < to && *to <= self.members,
            };
            let (fields, share) = match &fault.what {
                What::Loss { from, to, share }
                | What::Duplicate { from, to, share }
                | What::Reorder { from, to, share, .. } => (vec![("from", from), ("to", to)], *share),
                What::Delay { from, to, .. } | What::Cut { from, to } | What::Flap { from, to, .. } => {
                    (vec![("from", from), ("to", to)], 0.0)
                }
                What::Halves { .. } => (vec![], 0.0),
                What::Pause { who } | What::Kill { who } | What::Upgrade { who } => (vec![("who", who)], 0.0),
            };
            if let Some((field, _)) = fields.into_iter().find(|(_, who)| !named(who)) {
                return wrong(field, format!("it names others than the {} members", self.members));
            }
            if !(0.0..=1.0).contains(&share) {
                return wrong("share", format!("{share} is not from 0 to 1"));
            }
            if matches!(fault.what, What::Flap { period_ms: 0, .. }) {
                return wrong("period_ms", "it is 0".into());
            }
        }
        Ok(())
    }

    /// How the link from one to another is at a time.
    pub fn link(&self, from: usize, to: usize, ms: u64) -> Link {
        let mut link = Link::default();
        for fault in self.faults.iter().filter(|f| f.holds(ms)) {
            let between = |f: &Who, t: &Who| f.holds(from) && t.holds(to);
            match &fault.what {
                What::Loss { from, to, share } if between(from, to) => {
                    link.lost = 1.0 - (1.0 - link.lost) * (1.0 - share);
                }
                What::Delay { from, to, ms } if between(from, to) => link.delay_ms = link.delay_ms.max(*ms),
                What::Duplicate { from, to, share } if between(from, to) => {
                    link.twice = link.twice.max(*share);
                }
                What::Reorder { from, to, share, ms } if between(from, to) => link.later = (*share, *ms),
                What::Cut { from, to } if between(from, to) => link.cut = true,
                What::Flap { from, to, period_ms } if between(from, to) => {
                    link.cut |= ((ms - fault.at_ms) / period_ms).is_multiple_of(2);
                }
                What::Halves { split } => link.cut |= (from < *split) != (to < *split),
                _ => {}
            }
        }
        link
    }

    /// What happens to processes, in the order of time: ms, whose, what.
    pub fn steps(&self) -> Vec<(u64, usize, Step)> {
        let mut steps = Vec::new();
        for fault in &self.faults {
            let (who, first, last) = match &fault.what {
                What::Pause { who } => (who, Step::Pause, Some(Step::Resume)),
                What::Kill { who } => (who, Step::Kill, (fault.for_ms > 0).then_some(Step::Start)),
                What::Upgrade { who } => (who, Step::Upgrade, None),
                _ => continue,
            };
            for member in (0..self.members).filter(|m| who.holds(*m)) {
                steps.push((fault.at_ms, member, first));
                steps.extend(last.map(|step| (fault.at_ms + fault.for_ms, member, step)));
            }
        }
        steps.sort_unstable();
        steps
    }
}

#[cfg(test)]
mod tests;
