//! The gateway's clocks, and the one place where Unix time is converted to monotonic time and back
//! (`docs/design/time.md`).
//!
//! All deadlines, windows, ages and leases use [`now`], which is never stepped. Unix time ([`UnixMicros`]) exists
//! only on wires and in files.
//!
//! Monotonic times begin with the Unix time at the start of the process, and advance by the steady clock. A time that
//! another process has written must be converted by an [`Anchor`]: the Unix clock may have been stepped between the
//! starts of the two processes, so that their monotonic times differ.
pub mod start_dates;
pub mod wire;

use larchway::MonotonicTime;
use larchway_unix_time::{Anchor, UnixMicros};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Most that the clock of a process may be ahead of that of the earlier process without being adjusted to it: the
/// time that a message between the two and the readings take.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// The lowest time of the monotonic clock: one year, so that code can subtract durations from the current time.
const MIN_MONOTONIC: MonotonicTime = MonotonicTime::from_micros(365 * 24 * 3600 * MICROS_PER_SECOND);
/// Most attempts to read both clocks close to each other.
const MAX_READINGS: usize = 5;
/// Longest time in µs between the two readings of a pair that is close enough.
const CLOSE_PAIR_MICROS: u128 = 1000;

/// The start of the process on the steady clock and on the Unix clock.
struct ProcessStart {
    steady: Instant,
    unix: UnixMicros,
}

impl ProcessStart {
    /// Reads both clocks, and uses the closest of several pairs of readings: if the thread is suspended between two
    /// readings, the one clock would lag behind the other for the life of the process.
    fn read() -> Self {
        let mut closest: Option<(u128, ProcessStart)> = None;
        for _ in 0..MAX_READINGS {
            let before = Instant::now();
            let unix = unix_now();
            let distance = before.elapsed().as_micros();
            if closest.as_ref().is_none_or(|(least, _)| distance < *least) {
                closest = Some((distance, ProcessStart { steady: before, unix }));
            }
            if distance <= CLOSE_PAIR_MICROS {
                break;
            }
        }
        let found = closest.map(|(_, start)| start);
        found.unwrap_or_else(|| ProcessStart { steady: Instant::now(), unix: unix_now() })
    }

    fn monotonic(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.unix.as_micros()).max(MIN_MONOTONIC)
    }
}

static PROCESS_START: LazyLock<ProcessStart> = LazyLock::new(ProcessStart::read);
/// Adjustment of the monotonic clock in µs, with which it continues that of the gateway's earlier process.
static ADJUSTMENT: AtomicI64 = AtomicI64::new(0);

/// The current monotonic time.
pub fn now() -> MonotonicTime {
    let start = &*PROCESS_START;
    let unadjusted = start.monotonic() + start.steady.elapsed();
    let adjustment = ADJUSTMENT.load(Ordering::Relaxed);
    MonotonicTime::from_micros(unadjusted.as_micros().saturating_add_signed(adjustment))
}

/// The Unix clock as it is now, without any correction: for the expiry of links, the `Date` of replies and log lines.
pub fn unix_now() -> UnixMicros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMicros::from_micros(since.as_micros() as u64)
}

/// Converts a Unix time to the type of the standard library.
pub fn system_time(time: UnixMicros) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(time.as_micros())
}

/// The anchor for times in messages: the Unix clock as it was at the start of the process. Later steps of that clock
/// have no effect, so the order of times in messages is preserved.
pub fn wire_anchor() -> Anchor {
    let start = &*PROCESS_START;
    Anchor { monotonic: start.monotonic(), unix: start.unix }
}

/// The anchor for times in files: the Unix clock as it is now, since the reader may be another process that started
/// after a step of that clock.
pub fn file_anchor() -> Anchor {
    let monotonic = now();
    Anchor { monotonic, unix: steady_unix(monotonic, unix_now(), wire_anchor()) }
}

/// A reading of the Unix clock without the jitter between two readings: its steps since the start are rounded to
/// whole seconds, so that a time that is saved and loaded again is the same to the microsecond.
fn steady_unix(now: MonotonicTime, unix: UnixMicros, start: Anchor) -> UnixMicros {
    let expected = start.to_unix(now).as_micros();
    let half_second = MICROS_PER_SECOND / 2;
    let stepped = unix.as_micros().abs_diff(expected).saturating_add(half_second) / MICROS_PER_SECOND
        * MICROS_PER_SECOND;
    let steady = match unix.as_micros() > expected {
        true => expected.saturating_add(stepped),
        false => expected.saturating_sub(stepped),
    };
    UnixMicros::from_micros(steady)
}

/// Continues the clock of the gateway's earlier process, which has just sent its time, so that the times in messages
/// between the two are on one clock. Must be called before any other use of [`now`].
pub fn continue_from(earlier_process: MonotonicTime) {
    // No gateway has a clock below that: the time is invalid.
    if earlier_process < MIN_MONOTONIC {
        return;
    }
    ADJUSTMENT.fetch_add(adjustment(now(), earlier_process), Ordering::Relaxed);
}

/// The adjustment in µs by which a clock continues that of an earlier process. The result is never behind that clock,
/// since code subtracts received times from the current time and fails with a time in the future.
fn adjustment(own: MonotonicTime, earlier_process: MonotonicTime) -> i64 {
    if earlier_process <= own && own - earlier_process <= CLOCK_TOLERANCE {
        return 0;
    }
    let difference = i64::try_from(own.as_micros().abs_diff(earlier_process.as_micros())).unwrap_or(0);
    if earlier_process > own {
        difference
    } else {
        -difference
    }
}

#[cfg(test)]
mod tests;
