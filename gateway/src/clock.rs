//! The gateway's clock: the Unix clock, but never going back and never standing still.
use larchway::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of the Unix clock. Where that is put back, time goes on as the steady clock does.
pub fn now() -> Micros {
    static BEGAN: LazyLock<Instant> = LazyLock::new(Instant::now);
    static AHEAD: AtomicU64 = AtomicU64::new(0);
    let began = *BEGAN;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    read(wall, began.elapsed().as_micros() as u64, &AHEAD)
}

/// The time by both clocks; `ahead`: how far the Unix clock was ahead of the steady one, at most. Danger: with the Unix
/// clock alone, one put back by an hour leaves every deadline waiting for an hour, and lengthens every lease. The steady
/// one is read last: a thread that stands still between the two readings must not leave the clock ahead for ever.
fn read(wall: Micros, steady: Micros, ahead: &AtomicU64) -> Micros {
    let now = wall.saturating_sub(steady);
    steady + ahead.fetch_max(now, Ordering::Relaxed).max(now)
}

#[cfg(test)]
mod tests;
