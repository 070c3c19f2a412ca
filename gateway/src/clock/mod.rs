//! The gateway's clocks, and the one place where Unix time is converted to monotonic time and back
//! (`docs/design/time.md`).
//!
//! All deadlines, windows, ages and leases are by [`now`], which nothing steps. Unix time ([`UnixMicros`]) exists only
//! on wires and in files.
//!
//! Monotonic times begin with the Unix time at the start of the process, and advance by the steady clock. Danger: a
//! time that another process has written, by a Unix clock that has stepped meanwhile, is none of these; it is converted
//! by an [`Anchor`].
pub mod start_dates;
pub mod wire;

use larchway::MonotonicTime;
use larchway_unix_time::{Anchor, UnixMicros};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// How far the clocks of two processes may differ without one taking the other's over: what a message between them and
/// the readings take.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// The least time of the monotonic clock: a year. Code subtracts spans from the current time.
const MIN_MONOTONIC: MonotonicTime = MonotonicTime::from_micros(365 * 24 * 3600 * MICROS_PER_SECOND);
/// Readings of both clocks at most until a pair is close.
const MAX_READINGS: usize = 5;
/// µs between the two readings of a close pair.
const CLOSE_PAIR_MICROS: u128 = 1000;

/// The start of the process, by both clocks.
struct ProcessStart {
    steady: Instant,
    unix: UnixMicros,
}

impl ProcessStart {
    /// Reads both clocks. Danger: a thread that is suspended between the two readings would leave the one behind the
    /// other for good, so the closest of some pairs counts.
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
/// µs by which the monotonic clock is adjusted to continue that of the process before this one.
static ADJUSTMENT: AtomicI64 = AtomicI64::new(0);

/// The monotonic time.
pub fn now() -> MonotonicTime {
    let start = &*PROCESS_START;
    let unadjusted = start.monotonic() + start.steady.elapsed();
    let adjustment = ADJUSTMENT.load(Ordering::Relaxed);
    MonotonicTime::from_micros(unadjusted.as_micros().saturating_add_signed(adjustment))
}

/// The Unix clock as it is now, right or wrong: for the expiry of links, the `Date` of replies and log lines.
pub fn unix_now() -> UnixMicros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMicros::from_micros(since.as_micros() as u64)
}

/// A Unix time as the standard library has it.
pub fn system_time(time: UnixMicros) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(time.as_micros())
}

/// The anchor of times on wires: the Unix clock as it was at the start of the process. A step of that clock changes
/// nothing here, so of two times on wires the later one stays the later one.
pub fn wire_anchor() -> Anchor {
    let start = &*PROCESS_START;
    Anchor { monotonic: start.monotonic(), unix: start.unix }
}

/// The anchor of times in files: the Unix clock as it is now. The reader may be another process, which started by
/// another clock.
pub fn file_anchor() -> Anchor {
    let monotonic = now();
    Anchor { monotonic, unix: steady_unix(monotonic, unix_now(), wire_anchor()) }
}

/// The reading of the Unix clock without the jitter between two readings: its steps since the start count in units of a
/// second, so that a time that is written and read again is the same to the microsecond.
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

/// Continues the clock of the gateway's earlier process, which has just sent its time: the two send each other times on
/// one clock. To be called before any time is taken from here.
pub fn continue_from(earlier_process: MonotonicTime) {
    // No clock of a gateway is before that.
    if earlier_process < MIN_MONOTONIC {
        return;
    }
    ADJUSTMENT.fetch_add(adjustment(now(), earlier_process), Ordering::Relaxed);
}

/// µs by which a clock is adjusted to continue that of an earlier process. Danger: a time that lies ahead of the own
/// clock breaks whatever subtracts it from now, so the clock is never behind that of the earlier process.
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
