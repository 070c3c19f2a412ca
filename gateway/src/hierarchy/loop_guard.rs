//! Protection against loops among caches: detection of requests that have passed this gateway before (RFC 8586), and
//! exclusion of parents whose fills fail as they do in a loop.
use larchway::{MonotonicTime, ServerId, ServerWeight};
use larchway_hierarchy::loop_detection::{self, LoopCheck};
use larchway_hierarchy::topology::Topology;
use std::collections::BTreeMap;
use tracing::{error, warn};

/// The hop that this gateway adds to the trails of requests (RFC 8586).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnHop {
    /// The name of this gateway in trails.
    pub name: String,
    /// The epoch of its hierarchy.
    pub epoch: u64,
}

/// Detects requests in a loop, and holds the excluded parents.
#[derive(Default)]
pub(super) struct LoopGuard {
    /// The name of this gateway in trails.
    pub(super) own_name: String,
    /// Excluded parents, and the end of each exclusion.
    excluded: BTreeMap<ServerId, MonotonicTime>,
    /// Number of requests found in a loop since the start.
    pub(super) loops_found: u64,
    /// Number of exclusions of suspected parents since the start.
    pub(super) loops_inferred: u64,
}

impl LoopGuard {
    /// Sets the name of this gateway; characters that trails do not allow are replaced.
    pub(super) fn set_own_name(&mut self, name: &str) {
        let is_accepted = |character: char| character.is_ascii_alphanumeric() || character == '.';
        let replace = |character: char| if is_accepted(character) { character } else { '-' };
        self.own_name = name.chars().map(replace).collect();
    }

    /// Whether a request with this trail is free of loops. A request that has passed this gateway, or any hop twice,
    /// is in a loop; a trail that cannot be parsed counts as a loop.
    pub(super) fn admits(&mut self, trail: &str, topology: &Topology, epoch: u64) -> bool {
        if trail.trim().is_empty() {
            return true;
        }
        let is_clear = match loop_detection::parse(trail) {
            Ok(hops) => {
                let check = loop_detection::check(&hops, &self.own_name, epoch, topology.depth());
                log_loop(&check);
                check == LoopCheck::Clear
            }
            Err(error) => {
                warn!(%error, "cannot parse the trail of a request");
                false
            }
        };
        if !is_clear {
            self.loops_found += 1;
        }
        is_clear
    }

    /// Excludes a parent until the given time.
    pub(super) fn exclude(&mut self, parent: ServerId, until: MonotonicTime) {
        warn!(
            parent = %format_args!("{parent:08x}"),
            "fills through a parent time out or are rejected, as in a loop: parent excluded for a while"
        );
        self.loops_inferred += 1;
        self.excluded.insert(parent, until);
    }

    /// Removes the exclusions that have ended.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.excluded.retain(|_, until| now < *until);
    }

    /// When the next exclusion ends.
    pub(super) fn next_expiry(&self) -> Option<MonotonicTime> {
        self.excluded.values().min().copied()
    }

    /// The excluded parents.
    pub(super) fn excluded(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.excluded.keys().copied()
    }

    /// Removes the excluded parents from weights, unless no parent with a weight would be left.
    pub(super) fn remove_excluded(&self, weights: &mut Vec<ServerWeight>) {
        let is_usable = |parent: &ServerWeight| parent.weight > 0.0 && !self.is_excluded(parent.server);
        if weights.iter().any(is_usable) {
            weights.retain(|parent| !self.is_excluded(parent.server));
        }
    }

    fn is_excluded(&self, parent: ServerId) -> bool {
        self.excluded.contains_key(&parent)
    }
}

/// Logs a loop, or a trail that is too long.
fn log_loop(check: &LoopCheck) {
    let describe =
        |epoch: &Option<u64>| epoch.map_or("an unknown epoch".to_string(), |epoch| format!("epoch {epoch}"));
    match check {
        LoopCheck::Clear => {}
        LoopCheck::Loop { name, first, second } => {
            error!("a loop by way of {name}: first at {}, then at {}", describe(first), describe(second));
        }
        LoopCheck::TooManyHops(hops) => warn!(hops, "a request has passed more hops than the topology has"),
    }
}
