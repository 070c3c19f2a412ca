//! Reads and writes on nonblocking streams, which separate the errors that call for a retry from those that end the
//! connection.
use crate::system_errors::{uninterrupted, Failure};
use std::io::{self, ErrorKind, Read, Write};

/// The outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This number of bytes was read; at least one.
    Received(usize),
    /// No bytes are available: the poller reports when to read again.
    NotReady,
    /// The end of the stream: the peer sends no more bytes.
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

/// Writes as many bytes as the stream accepts now and returns their number. If not all were written, the poller reports
/// when to continue. An error ends the connection.
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
