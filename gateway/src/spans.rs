//! Spans as the numbers that wires, operators' reports and log lines hold.
use larchway::duration_micros;
use std::time::Duration;

const MICROS_PER_MILLISECOND: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A span in milliseconds, rounded down.
pub fn floor_millis(span: Duration) -> u64 {
    duration_micros(span) / MICROS_PER_MILLISECOND
}

/// A span in milliseconds, with their fractions.
pub fn millis_f64(span: Duration) -> f64 {
    duration_micros(span) as f64 / MICROS_PER_MILLISECOND as f64
}

/// A span in milliseconds, rounded up.
pub fn ceil_millis(span: Duration) -> u64 {
    duration_micros(span).div_ceil(MICROS_PER_MILLISECOND)
}

/// A span in seconds, rounded up.
pub fn ceil_secs(span: Duration) -> u64 {
    duration_micros(span).div_ceil(MICROS_PER_SECOND)
}
