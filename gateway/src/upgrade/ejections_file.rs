//! The file that saves the manual ejections for later processes. Times in it are on the Unix clock.
use crate::clock;
use larchway::MonotonicTime;
use larchway_operations::handover::{Frame, FrameError};
use larchway_operations::manual_ejection::EjectionRecord;
use larchway_unix_time::UnixMicros;
use thiserror::Error;

/// Why the content of a file cannot be decoded.
#[derive(Debug, Error)]
pub(super) enum EjectionsFileError {
    #[error("{0}")]
    Malformed(FrameError),
    #[error("it holds a frame of another kind")]
    OtherFrame,
}

/// Encodes records as the content of the file.
pub(super) fn encode(records: &[EjectionRecord]) -> Vec<u8> {
    Frame::EjectionRecords(records.iter().cloned().map(to_file_clock).collect()).encode()
}

/// Decodes the content of the file.
pub(super) fn decode(bytes: &[u8]) -> Result<Vec<EjectionRecord>, EjectionsFileError> {
    match Frame::decode(bytes).map_err(EjectionsFileError::Malformed)? {
        Frame::EjectionRecords(records) => Ok(records.into_iter().map(from_file_clock).collect()),
        _ => Err(EjectionsFileError::OtherFrame),
    }
}

/// A record with its time on the Unix clock.
pub(super) fn to_file_clock(record: EjectionRecord) -> EjectionRecord {
    let unix = clock::file_anchor().to_unix(record.recorded_at);
    EjectionRecord { recorded_at: MonotonicTime::from_micros(unix.as_micros()), ..record }
}

/// A record with its time on the monotonic clock. A time in the future counts as now: otherwise a restored store
/// would be in slow start until then.
pub(super) fn from_file_clock(record: EjectionRecord) -> EjectionRecord {
    let anchor = clock::file_anchor();
    let recorded_at = anchor.to_monotonic(UnixMicros::from_micros(record.recorded_at.as_micros()));
    let recorded_at = recorded_at.min(anchor.monotonic);
    EjectionRecord { recorded_at, ..record }
}
