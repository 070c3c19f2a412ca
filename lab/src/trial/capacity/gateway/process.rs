//! Processor time and memory of a process, from `/proc`.
use std::time::Duration;

/// Reads what a process uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessMeter {
    process_id: u32,
}

impl ProcessMeter {
    /// Of the process with this id.
    pub(crate) fn new(process_id: u32) -> Self {
        ProcessMeter { process_id }
    }

    /// Processor time of all its threads so far, to the nanosecond (`schedstat`).
    pub(crate) fn processor_time(&self) -> Result<Duration, String> {
        let tasks = format!("/proc/{}/task", self.process_id);
        let entries = std::fs::read_dir(&tasks).map_err(|e| format!("cannot read {tasks}: {e}"))?;
        let mut nanoseconds = 0;
        for entry in entries.flatten() {
            let path = entry.path().join("schedstat");
            // A thread that has just ended has no file any more.
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let running = text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
            nanoseconds += running.unwrap_or(0);
        }
        Ok(Duration::from_nanos(nanoseconds))
    }

    /// Its resident memory in MB (10^6 bytes), `VmRSS`.
    pub(crate) fn resident_mb(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/status", self.process_id);
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
        kib.map(|kib| kib * 1024.0 / 1e6).ok_or_else(|| format!("{path} has no VmRSS"))
    }
}
