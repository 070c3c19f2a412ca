//! Why a plan of faults is invalid.
use super::MOST_MEMBERS;
use thiserror::Error;

/// Why a plan of faults is invalid.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is no JSON, or no plan.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// There are no members, or too many.
    #[error("members: {0} is not from 1 to {MOST_MEMBERS}")]
    Members(usize),
    /// A fault is invalid.
    #[error("faults[{index}].{problem}")]
    Fault {
        /// The fault's place in the plan, from 0.
        index: usize,
        /// What is wrong with it.
        problem: FaultError,
    },
}

/// What is wrong with a fault; the text begins with the field.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum FaultError {
    /// It lasts longer than the plan.
    #[error("for_ms: it lasts beyond the plan's {plan_ms} ms")]
    TooLong {
        /// The length of the plan, ms.
        plan_ms: u64,
    },
    /// It names members that there are not.
    #[error("{field}: it names others than the {members} members")]
    UnknownMember {
        /// The field.
        field: &'static str,
        /// How many members there are.
        members: usize,
    },
    /// A share is out of its range.
    #[error("share: {0} is not from 0 to 1")]
    Share(f64),
    /// A link comes and goes without a period.
    #[error("period_ms: it is 0")]
    NoPeriod,
}
