//! Points in time on the monotonic clock of a process; time spans are [`Duration`].
//!
//! Unix time has a type of its own, which is used at wires and files only (`crates/unix-time`).
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of one process, in whole microseconds. The zero point has no
/// meaning: only the order of points in time and the spans between them do.
///
/// Arithmetic panics on overflow; the `saturating_` methods stop at the ends of the range instead.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The earliest point in time.
    pub const MIN: MonotonicTime = MonotonicTime(0);
    /// The latest point in time; stands for "never".
    pub const MAX: MonotonicTime = MonotonicTime(u64::MAX);

    /// The point in time that many microseconds after [`MonotonicTime::MIN`].
    pub const fn from_micros(micros: u64) -> Self {
        MonotonicTime(micros)
    }

    /// Microseconds since [`MonotonicTime::MIN`].
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later than this time.
    pub const fn saturating_since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Adds a span; the result is at most [`MonotonicTime::MAX`].
    pub fn saturating_add(self, span: Duration) -> Self {
        MonotonicTime(self.0.saturating_add(duration_micros(span)))
    }

    /// Subtracts a span; the result is at least [`MonotonicTime::MIN`].
    pub fn saturating_sub(self, span: Duration) -> Self {
        MonotonicTime(self.0.saturating_sub(duration_micros(span)))
    }
}

impl fmt::Debug for MonotonicTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} us", self.0)
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, span: Duration) -> MonotonicTime {
        MonotonicTime(self.0 + duration_micros(span))
    }
}

impl AddAssign<Duration> for MonotonicTime {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn sub(self, span: Duration) -> MonotonicTime {
        MonotonicTime(self.0 - duration_micros(span))
    }
}

impl Sub for MonotonicTime {
    type Output = Duration;

    fn sub(self, earlier: MonotonicTime) -> Duration {
        Duration::from_micros(self.0 - earlier.0)
    }
}

/// The resolution of [`MonotonicTime`].
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);

/// A span as a floating-point number of whole microseconds, for formulas.
pub(crate) fn micros_f64(span: Duration) -> f64 {
    duration_micros(span) as f64
}

/// Serializes a duration as an integer number of microseconds, the form handed over to the next process.
#[cfg(feature = "serde")]
pub(crate) mod serde_micros {
    use super::duration_micros;
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Serializes whole microseconds.
    pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(duration_micros(*span))
    }

    /// Deserializes what [`serialize`] has written.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_micros)
    }
}

/// A span in whole microseconds, rounded down and saturating at `u64::MAX`.
pub const fn duration_micros(span: Duration) -> u64 {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    let seconds = span.as_secs().saturating_mul(MICROS_PER_SECOND);
    seconds.saturating_add(span.subsec_micros() as u64)
}
