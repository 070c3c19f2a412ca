//! Numbers of live and unknown gateways of a group, and the version of a report.
use serde::Serialize;
use std::ops::AddAssign;

/// The numbers of live and unknown gateways of a group; the rest of its configured gateways are dead or have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct Count {
    /// Number of live gateways.
    pub live: u16,
    /// Number of gateways whose state is unknown.
    pub unknown: u16,
}

impl Count {
    /// The count of a group whose state is unknown.
    pub fn unknown(size: u16) -> Self {
        Count { live: 0, unknown: size }
    }

    /// T5: limits the count to the configured size, whatever was received.
    pub fn clamped(self, size: u16) -> Self {
        let live = self.live.min(size);
        Count { live, unknown: self.unknown.min(size - live) }
    }

    /// Number of gateways that are dead or have left, in a group of this size.
    pub fn dead(self, size: u16) -> u16 {
        size.saturating_sub(self.live).saturating_sub(self.unknown)
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Count) {
        self.live = self.live.saturating_add(other.live);
        self.unknown = self.unknown.saturating_add(other.unknown);
    }
}

/// The version of a report or table of one group's representatives, ordered by term of the lease, then by sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
pub struct Version {
    /// The term of the lease.
    pub term: u32,
    /// The sequence number within the term.
    pub sequence: u32,
}
