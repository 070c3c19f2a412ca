//! Loops among caches: requests that have been here before (RFC 8586), and parents that are excluded because their
//! fills fail as those in a loop do.
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

/// Detects requests in a loop, and knows the excluded parents.
#[derive(Default)]
pub(super) struct LoopGuard {
    /// The name of this gateway in trails.
    pub(super) own_name: String,
    /// Excluded parents, and the end of each exclusion.
    excluded: BTreeMap<ServerId, MonotonicTime>,
    /// Requests found in a loop since the start.
    pub(super) loops_found: u64,
    /// Parents found suspect since the start.
    pub(super) loops_inferred: u64,
}

impl LoopGuard {
    /// Sets the name of this gateway, without the characters that cannot stand in trails.
    pub(super) fn set_own_name(&mut self, name: &str) {
        let is_accepted = |character: char| character.is_ascii_alphanumeric() || character == '.';
        let replace = |character: char| if is_accepted(character) { character } else { '-' };
        self.own_name = name.chars().map(replace).collect();
    }

    /// Whether a request with this trail is in no loop. One that has been here, or anywhere twice, is in a loop; a
    /// trail that cannot be read counts as a loop.
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
                warn!(%error, "a trail cannot be read");
                false
            }
        };
        if !is_clear {
            self.loops_found += 1;
        }
        is_clear
    }

    /// Excludes a parent until a time.
    pub(super) fn exclude(&mut self, parent: ServerId, until: MonotonicTime) {
        warn!(
            parent = %format_args!("{parent:08x}"),
            "fills by way of a parent run out of time or find no place, as in a loop: it is left out for a while"
        );
        self.loops_inferred += 1;
        self.excluded.insert(parent, until);
    }

    /// Ends the exclusions whose time has come.
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

/// Logs what is wrong with a trail, if anything is.
fn log_loop(check: &LoopCheck) {
    let describe =
        |epoch: &Option<u64>| epoch.map_or("an epoch untold".to_string(), |epoch| format!("epoch {epoch}"));
    match check {
        LoopCheck::Clear => {}
        LoopCheck::Loop { name, first, second } => {
            error!("a loop by way of {name}: first at {}, then at {}", describe(first), describe(second));
        }
        LoopCheck::TooManyHops(hops) => warn!(hops, "a request has come more hops than the shape has"),
    }
}
