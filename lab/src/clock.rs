//! The clock of all measurements.
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds of the Unix clock.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}
