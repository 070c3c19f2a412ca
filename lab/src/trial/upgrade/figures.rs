//! The figures of one variant.
use super::resources::Resources;
use crate::load::LoadResult;
use serde_json::{json, Value};

/// What one variant showed.
pub(super) struct Figures {
    pub load: LoadResult,
    /// The most that its processes held together.
    pub resources: Resources,
    /// Times in which a store was to get nothing new, and a line for each request that came all the same.
    pub bans: usize,
    pub broken_bans: Vec<String>,
    /// Writes that ran more than once.
    pub doubled_writes: usize,
    /// The longest time until a process was ready.
    pub ready_ms: u64,
    /// Old processes that did not end in time.
    pub killed: u64,
    /// Calls that took too long or were refused.
    pub late_calls: u64,
}

impl Figures {
    /// The figures as the trial writes them.
    pub fn json(&self) -> Value {
        let load = &self.load;
        json!({
            "asked": load.asked, "service": load.service(), "worst_second": load.worst(1, 1),
            "refused": load.refused, "failed": load.failed, "lost": load.lost, "doubled": load.doubled,
            "doubled_writes": self.doubled_writes, "unheard": load.unheard, "outs": self.bans,
            "bans_broken": self.broken_bans.len(), "ready_ms": self.ready_ms, "killed": self.killed,
            "late_calls": self.late_calls, "memory_kb": self.resources.memory_kb,
            "descriptors": self.resources.descriptors,
            "p99_ms": load.latency.value_at_quantile(0.99) as f64 / 1000.0, "sender_behind_us": load.behind,
        })
    }
}
