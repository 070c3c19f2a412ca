//! Unix time as wires and files have it (`docs/design/time.md`). All deadlines, windows, waits and ages are monotonic
//! ([`MonotonicTime`]); the two kinds of time meet in an [`Anchor`] alone. No I/O and no clock: an anchor is an
//! argument.
use larchway::{Host, MonotonicTime};
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLISECOND: u64 = 1000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A moment on a Unix clock, µs since 1970. It may have been another machine's clock, and any such clock may be wrong
/// and may step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMicros(u64);

impl UnixMicros {
    /// So many microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        UnixMicros(micros)
    }

    /// So many milliseconds after the epoch, with fractions; what is before the epoch or no number is the epoch.
    pub fn from_millis(millis: f64) -> Self {
        UnixMicros(larchway::settings::micros(millis))
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLISECOND
    }

    /// Whole seconds since the epoch.
    pub const fn as_secs(self) -> u64 {
        self.0 / MICROS_PER_SECOND
    }

    /// Whether it stands for "unknown": wires write 0 then.
    pub const fn is_unset(self) -> bool {
        self.0 == 0
    }
}

/// One moment on both clocks, by which times of the one are expressed in the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Anchor {
    /// The moment on the monotonic clock.
    pub monotonic: MonotonicTime,
    /// The same moment on the Unix clock.
    pub unix: UnixMicros,
}

impl Anchor {
    /// The earliest moment that a Unix time is converted to: [`MonotonicTime::MIN`] stands for an unknown start.
    pub const EARLIEST: MonotonicTime = MonotonicTime::from_micros(1);

    /// A Unix time on the monotonic clock. What lies before its beginning is [`Anchor::EARLIEST`].
    pub fn to_monotonic(&self, time: UnixMicros) -> MonotonicTime {
        let offset_micros = i128::from(time.0) - i128::from(self.unix.0);
        let converted_micros = i128::from(self.monotonic.as_micros()) + offset_micros;
        match u64::try_from(converted_micros.max(0)) {
            Ok(micros) => MonotonicTime::from_micros(micros).max(Self::EARLIEST),
            Err(_) => MonotonicTime::MAX,
        }
    }

    /// When something started, which was before the anchor; [`Host::STARTED_LONG_AGO`] if that is unknown.
    pub fn start_to_monotonic(&self, start: UnixMicros) -> MonotonicTime {
        if start.is_unset() {
            return Host::STARTED_LONG_AGO;
        }
        self.to_monotonic(start).min(self.monotonic)
    }

    /// As [`Anchor::to_unix`]; an unknown start ([`Host::STARTED_LONG_AGO`]) is unset.
    pub fn start_to_unix(&self, start: MonotonicTime) -> UnixMicros {
        if start == Host::STARTED_LONG_AGO {
            return UnixMicros::default();
        }
        self.to_unix(start)
    }

    /// A monotonic time on the Unix clock. What lies before the epoch is the epoch.
    pub fn to_unix(&self, time: MonotonicTime) -> UnixMicros {
        let offset_micros = i128::from(time.as_micros()) - i128::from(self.monotonic.as_micros());
        let converted_micros = i128::from(self.unix.0) + offset_micros;
        UnixMicros(u64::try_from(converted_micros.max(0)).unwrap_or(u64::MAX))
    }
}
