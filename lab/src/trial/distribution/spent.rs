//! What the roles of a case have spent.
use std::ops::Sub;
use std::time::Duration;

/// Processor time and bytes of all roles.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spent {
    pub source_bytes: u64,
    pub source_cpu: Duration,
    pub relay_bytes: u64,
    pub relay_cpu: Duration,
    pub follower_cpu: Duration,
    pub gateway_bytes: u64,
    pub gateway_cpu: Duration,
}

impl Sub for Spent {
    type Output = Spent;

    /// A relay that was killed takes its figures with it, so a difference may be none.
    fn sub(self, before: Spent) -> Spent {
        Spent {
            source_bytes: self.source_bytes.saturating_sub(before.source_bytes),
            source_cpu: self.source_cpu.saturating_sub(before.source_cpu),
            relay_bytes: self.relay_bytes.saturating_sub(before.relay_bytes),
            relay_cpu: self.relay_cpu.saturating_sub(before.relay_cpu),
            follower_cpu: self.follower_cpu.saturating_sub(before.follower_cpu),
            gateway_bytes: self.gateway_bytes.saturating_sub(before.gateway_bytes),
            gateway_cpu: self.gateway_cpu.saturating_sub(before.gateway_cpu),
        }
    }
}
