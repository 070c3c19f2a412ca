//! The faults of a plan, and the members that they concern.
use serde::{Deserialize, Serialize};

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

/// The value `all`.
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

    /// Whether all of them are numbers below this one.
    pub(super) fn is_within(&self, members: usize) -> bool {
        match self {
            Who::All(_) => true,
            Who::These(these) => these.iter().all(|member| *member < members),
            Who::Range { from, to } => from < to && *to <= members,
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

impl What {
    /// The fields that name members.
    pub(super) fn member_fields(&self) -> Vec<(&'static str, &Who)> {
        match self {
            What::Loss { from, to, .. }
            | What::Duplicate { from, to, .. }
            | What::Reorder { from, to, .. }
            | What::Delay { from, to, .. }
            | What::Cut { from, to }
            | What::Flap { from, to, .. } => vec![("from", from), ("to", to)],
            What::Halves { .. } => vec![],
            What::Pause { who } | What::Kill { who } | What::Upgrade { who } => vec![("who", who)],
        }
    }

    /// The share of the datagrams that it concerns; 0 if it has none.
    pub(super) fn share(&self) -> f64 {
        match self {
            What::Loss { share, .. } | What::Duplicate { share, .. } | What::Reorder { share, .. } => *share,
            _ => 0.0,
        }
    }
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
    pub(super) fn holds(&self, ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&ms)
    }
}
