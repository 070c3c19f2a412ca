//! The one way to write to the log: a macro over `eprintln`, rate-limited by place of call.
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that one place may write in a second.
const LINES: u64 = 5;

/// Counts the lines of one place of call.
#[derive(Debug, Default)]
pub struct Limit {
    second: AtomicU64,
    lines: AtomicU64,
}

impl Limit {
    /// A place that has written nothing yet.
    pub const fn new() -> Self {
        Limit { second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Whether this place may write now; if so, how many of its lines were left out before.
    pub fn admit(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            return Some(self.lines.swap(1, Ordering::Relaxed).saturating_sub(LINES));
        }
        (self.lines.fetch_add(1, Ordering::Relaxed) < LINES).then_some(0)
    }
}

/// Writes a line to the log, a few a second from each place at most.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {{
        static LIMIT: $crate::log::Limit = $crate::log::Limit::new();
        if let Some(left_out) = LIMIT.admit($crate::clock::now() / 1_000_000) {
            if left_out > 0 {
                eprintln!("larchway: {} ({left_out} like it left out)", format_args!($($arg)*));
            } else {
                eprintln!("larchway: {}", format_args!($($arg)*));
            }
        }
    }};
}

#[cfg(test)]
mod tests;
