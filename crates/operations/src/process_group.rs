//! The other processes of a gateway during an upgrade, as seen by one of them.
use crate::handover::ProcessStatus;
use std::collections::BTreeMap;

/// The other processes of a gateway. Determines among how many processes the gateway's limits are divided, and whether
/// one of them takes over from this one.
#[derive(Debug, Clone, Default)]
pub struct ProcessGroup {
    /// Status of each other process, by the index of its connection.
    others: BTreeMap<usize, ProcessStatus>,
}

impl ProcessGroup {
    /// Adds a process that has connected. Until it sends its status it counts as neither serving nor stopping.
    pub fn joined(&mut self, index: usize) {
        self.others.entry(index).or_default();
    }

    /// Stores the status that a process has sent. It is ignored if the process has left: its last frames may be handled
    /// after its connection has failed.
    pub fn update_status(&mut self, index: usize, status: ProcessStatus) {
        if let Some(current) = self.others.get_mut(&index) {
            *current = status;
        }
    }

    /// Removes a process whose connection has ended, for whatever reason.
    pub fn left(&mut self, index: usize) {
        self.others.remove(&index);
    }

    /// Number of processes that share the gateway's limits, including this one.
    pub fn process_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Whether another process accepts clients and is not stopping, so that this one can leave its clients to it.
    pub fn has_successor(&self) -> bool {
        self.others.values().any(|status| status.serving && !status.stopping)
    }
}
