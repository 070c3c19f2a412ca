//! Unix time, as used in messages and files (`docs/design/time.md`). All deadlines, windows, waits and ages are
//! monotonic ([`MonotonicTime`]); only an [`Anchor`] converts between the two. This crate does no I/O and reads no
//! clock: the caller provides the anchor.
use larchway::{Host, MonotonicTime};
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLISECOND: u64 = 1000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A time on a Unix clock, in microseconds since 1970. The clock may be another machine's, may be wrong and may step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMicros(u64);

impl UnixMicros {
    /// Creates a time from microseconds since the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        UnixMicros(micros)
    }

    /// Creates a time from milliseconds since the epoch, which may have a fraction. Negative values and NaN give the
    /// epoch.
    pub fn from_millis(millis: f64) -> Self {
        UnixMicros(larchway::settings::micros(millis))
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLISECOND
    }

    /// Returns the seconds since the epoch, rounded down.
    pub const fn as_secs(self) -> u64 {
        self.0 / MICROS_PER_SECOND
    }

    /// Whether the time is 0, which stands for an unknown time in messages.
    pub const fn is_unset(self) -> bool {
        self.0 == 0
    }
}

/// The same moment on the monotonic and the Unix clock, used to convert times between them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Anchor {
    /// The moment on the monotonic clock.
    pub monotonic: MonotonicTime,
    /// The same moment on the Unix clock.
    pub unix: UnixMicros,
}

impl Anchor {
    /// The earliest result of converting a Unix time. [`MonotonicTime::MIN`] is excluded: it stands for an unknown
    /// start.
    pub const EARLIEST: MonotonicTime = MonotonicTime::from_micros(1);

    /// Converts a Unix time to the monotonic clock. Results out of its range are clamped to [`Anchor::EARLIEST`] or
    /// [`MonotonicTime::MAX`].
    pub fn to_monotonic(&self, time: UnixMicros) -> MonotonicTime {
        let offset_micros = i128::from(time.0) - i128::from(self.unix.0);
        let converted_micros = i128::from(self.monotonic.as_micros()) + offset_micros;
        match u64::try_from(converted_micros.max(0)) {
            Ok(micros) => MonotonicTime::from_micros(micros).max(Self::EARLIEST),
            Err(_) => MonotonicTime::MAX,
        }
    }

    /// Converts a start time to the monotonic clock. Starts after the anchor are clamped to it; an unset start gives
    /// [`Host::STARTED_LONG_AGO`].
    pub fn start_to_monotonic(&self, start: UnixMicros) -> MonotonicTime {
        if start.is_unset() {
            return Host::STARTED_LONG_AGO;
        }
        self.to_monotonic(start).min(self.monotonic)
    }

    /// Converts a start time to the Unix clock; an unknown start ([`Host::STARTED_LONG_AGO`]) gives an unset time.
    pub fn start_to_unix(&self, start: MonotonicTime) -> UnixMicros {
        if start == Host::STARTED_LONG_AGO {
            return UnixMicros::default();
        }
        self.to_unix(start)
    }

    /// Converts a monotonic time to the Unix clock. Times before the epoch give the epoch.
    pub fn to_unix(&self, time: MonotonicTime) -> UnixMicros {
        let offset_micros = i128::from(time.as_micros()) - i128::from(self.monotonic.as_micros());
        let converted_micros = i128::from(self.unix.0) + offset_micros;
        UnixMicros(u64::try_from(converted_micros.max(0)).unwrap_or(u64::MAX))
    }
}
