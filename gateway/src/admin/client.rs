//! A connection to the admin socket: one line is read, and its answer written.
use super::MAX_REQUEST_BYTES;
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use larchway::MonotonicTime;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The time after which a client that does not go on may be evicted.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a connection is.
pub(super) enum Progress {
    /// The request is incomplete.
    Reading,
    /// This is the request.
    Requested(String),
    /// The answer is not written completely.
    Writing,
    /// It is done, or has failed.
    Done,
}

/// A connection.
pub(super) struct Client {
    pub(super) stream: UnixStream,
    connected_at: MonotonicTime,
    input: Vec<u8>,
    output: Vec<u8>,
    /// How many bytes of the output are written.
    written: usize,
}

impl Client {
    /// A new connection.
    pub(super) fn new(now: MonotonicTime, stream: UnixStream) -> Self {
        Client { stream, connected_at: now, input: Vec::new(), output: Vec::new(), written: 0 }
    }

    /// Whether it may be evicted for a new one.
    pub(super) fn is_stale(&self, now: MonotonicTime) -> bool {
        self.connected_at + CLIENT_TIMEOUT < now
    }

    /// Sets the answer, which ends with a line feed.
    pub(super) fn set_answer(&mut self, mut answer: String) {
        answer.push('\n');
        self.output = answer.into_bytes();
    }

    /// Reads or writes, whichever is next.
    pub(super) fn proceed(&mut self) -> Progress {
        if self.output.is_empty() {
            self.read()
        } else {
            self.write()
        }
    }

    fn read(&mut self) -> Progress {
        let mut buffer = [0; MAX_REQUEST_BYTES];
        let count = match read_once(&self.stream, &mut buffer) {
            Ok(ReadOutcome::Received(count)) if self.input.len() + count <= MAX_REQUEST_BYTES => count,
            Ok(ReadOutcome::NotReady) => return Progress::Reading,
            _ => return Progress::Done,
        };
        self.input.extend_from_slice(&buffer[..count]);
        match self.input.iter().position(|&byte| byte == b'\n') {
            Some(end) => {
                let line = String::from_utf8_lossy(&self.input[..end]).trim().to_string();
                Progress::Requested(line)
            }
            None => Progress::Reading,
        }
    }

    fn write(&mut self) -> Progress {
        match write_available(&self.stream, &self.output[self.written..]) {
            Ok(count) => self.written += count,
            Err(_) => return Progress::Done,
        }
        if self.written < self.output.len() {
            Progress::Writing
        } else {
            Progress::Done
        }
    }
}
