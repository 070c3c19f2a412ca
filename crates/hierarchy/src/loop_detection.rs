//! Detection of fill loops among parents. Requests carry a trace in the form of RFC 8586 (`CDN-Loop`) if the protocol
//! allows it: one name with parameters for each hop. Where it does not, [`LoopInference`] infers loops from the results
//! of fills.
mod inference;
mod trace;

use crate::topology::{Topology, Upstream};

pub use inference::{FillObservation, FillOutcome, LoopInference, LoopInferenceSettings, SuspicionChange};
pub use trace::{append, parse, Hop, TraceError, MAX_TRACE_LENGTH};

/// Largest number of hops that a request may have passed; more are reported as [`LoopCheck::TooManyHops`].
pub const MAX_HOPS: usize = 16;

/// The result of [`check`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoopCheck {
    /// The request has not passed the checking node before, has passed no node twice, and has not passed too many hops.
    Clear,
    /// The request has passed a node twice, the checking node included.
    Loop {
        /// The name of the repeated node.
        name: String,
        /// The epoch of the node's topology at the first passage, if the trace has it.
        first: Option<u64>,
        /// The epoch of the node's topology at the second passage, if the trace has it.
        second: Option<u64>,
    },
    /// The request has passed this number of hops, more than [`MAX_HOPS`] or than the longest path of the topology.
    TooManyHops(usize),
}

/// Checks the hops of a request that arrives at the node named `own_name`. The node's topology has this epoch, and its
/// longest path to the origin has `depth` parents.
pub fn check(hops: &[Hop], own_name: &str, epoch: u64, depth: usize) -> LoopCheck {
    for (index, hop) in hops.iter().enumerate() {
        if let Some(repeated) = hops[index + 1..].iter().find(|later| later.name == hop.name) {
            return LoopCheck::Loop { name: hop.name.clone(), first: hop.epoch, second: repeated.epoch };
        }
    }
    if let Some(first) = hops.iter().find(|hop| hop.name == own_name) {
        return LoopCheck::Loop { name: own_name.to_string(), first: first.epoch, second: Some(epoch) };
    }
    // A gateway before the first parent adds one hop to the depth of the topology.
    if hops.len() > (depth + 1).min(MAX_HOPS) {
        return LoopCheck::TooManyHops(hops.len());
    }
    LoopCheck::Clear
}

/// The path of a fill from the parent `first_parent` to the origin, where each parent forwards it by the topology that
/// `topology_of` returns for the parent. `None` if the path reaches a parent twice or a parent that its topology lacks.
pub fn trace_fill<'a>(
    first_parent: &'a str,
    topology_of: impl Fn(&str) -> Option<&'a Topology>,
) -> Option<Vec<&'a str>> {
    let mut path = vec![first_parent];
    loop {
        let current = path[path.len() - 1];
        let parent = topology_of(current)?.parents().get(current)?;
        match &parent.upstream {
            Upstream::Origin => return Some(path),
            Upstream::Parent(next) if path.contains(&next.as_str()) => return None,
            Upstream::Parent(next) => path.push(next),
        }
    }
}
