//! Reads and writes on streams that never block, with the errors that mean "later" separated from those that end the
//! connection.
use crate::system_errors::{uninterrupted, Failure};
use std::io::{self, ErrorKind, Read, Write};

/// What came of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes, at least one.
    Received(usize),
    /// Nothing for now: the poller reports when to read again.
    NotReady,
    /// The other side sends nothing more.
    Ended,
}

/// Reads once. An error ends the connection.
pub fn read_once(mut stream: impl Read, buffer: &mut [u8]) -> io::Result<ReadOutcome> {
    match uninterrupted(|| stream.read(buffer)) {
        Ok(0) => Ok(ReadOutcome::Ended),
        Ok(count) => Ok(ReadOutcome::Received(count)),
        Err(error) if Failure::of(&error).is_retried_when_ready() => Ok(ReadOutcome::NotReady),
        Err(error) => Err(error),
    }
}

/// Writes as many of these bytes as the stream takes now, and returns how many that were. Where it is fewer than all, the
/// poller reports when to go on. An error ends the connection.
pub fn write_available(mut stream: impl Write, bytes: &[u8]) -> io::Result<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match uninterrupted(|| stream.write(&bytes[written..])) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => written += count,
            Err(error) if Failure::of(&error).is_retried_when_ready() => break,
            Err(error) => return Err(error),
        }
    }
    Ok(written)
}
