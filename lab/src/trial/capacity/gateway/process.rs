//! Processor time and memory of a process of the trial.
use crate::hollow::usage::{processor_us, resident_bytes};
use std::time::Duration;

/// Bytes in a MB.
const BYTES_PER_MB: f64 = 1e6;

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

    /// Processor time of all its threads so far.
    pub(crate) fn processor_time(&self) -> Result<Duration, String> {
        processor_us(self.process_id).map(Duration::from_micros)
    }

    /// Its resident memory in MB.
    pub(crate) fn resident_mb(&self) -> Result<f64, String> {
        resident_bytes(self.process_id).map(|bytes| bytes as f64 / BYTES_PER_MB)
    }
}
