//! A connection to the console: it is read until its call is complete, answered, and lingers until the caller closes
//! it.
use super::{CallNumber, Reply};
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use larchway::MonotonicTime;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The time after which a caller that has completed no call is answered so.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The time for which a connection lingers after its reply, until the caller closes it.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes that are read at once.
const READ_BYTES: usize = 4096;

/// A reply on its way to the caller.
struct Output {
    bytes: Vec<u8>,
    /// How many of the bytes are written.
    written: usize,
}

/// Order in which connections make way for a new one: the answered ones first, then the oldest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    is_unanswered: bool,
    connected_at: MonotonicTime,
}

/// How far a reply is written.
pub(super) enum WriteProgress {
    /// Completely.
    Complete,
    /// In part, or not yet.
    Partial,
}

/// What is due at a connection.
pub(super) enum Due {
    /// Its call was not complete in time, which is to be answered.
    CallTimeout,
    /// It has lingered, or does not read its reply, and is to be closed.
    Close,
}

/// A connection of a caller.
pub(super) struct Caller {
    pub(super) stream: TcpStream,
    connected_at: MonotonicTime,
    pub(super) input: Vec<u8>,
    /// The call whose reply is deferred.
    pub(super) deferred: Option<CallNumber>,
    /// The reply, once there is one.
    output: Option<Output>,
    /// When the reply was written completely.
    answered_at: Option<MonotonicTime>,
}

impl Caller {
    /// A new connection; none if it cannot be set up.
    pub(super) fn new(now: MonotonicTime, stream: TcpStream) -> Option<Self> {
        stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).ok()?;
        Some(Caller {
            stream,
            connected_at: now,
            input: Vec::new(),
            deferred: None,
            output: None,
            answered_at: None,
        })
    }

    pub(super) fn eviction_rank(&self) -> EvictionRank {
        EvictionRank { is_unanswered: self.answered_at.is_none(), connected_at: self.connected_at }
    }

    /// Whether there is a reply.
    pub(super) fn has_reply(&self) -> bool {
        self.output.is_some()
    }

    /// Whether the reply is written completely.
    pub(super) fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Reads once into the input.
    pub(super) fn read(&mut self) -> io::Result<ReadOutcome> {
        let mut buffer = [0; READ_BYTES];
        let outcome = read_once(&self.stream, &mut buffer)?;
        if let ReadOutcome::Received(count) = outcome {
            self.input.extend_from_slice(&buffer[..count]);
        }
        Ok(outcome)
    }

    /// Reads once and discards what was read.
    pub(super) fn discard_input(&self) -> io::Result<ReadOutcome> {
        read_once(&self.stream, &mut [0; READ_BYTES])
    }

    /// Sets the reply.
    pub(super) fn set_reply(&mut self, reply: &Reply) {
        self.output = Some(Output { bytes: reply.encode(), written: 0 });
        self.input = Vec::new();
    }

    /// Writes what the connection accepts of the reply, and then ends this side.
    pub(super) fn write(&mut self, now: MonotonicTime) -> io::Result<WriteProgress> {
        let Some(output) = &mut self.output else { return Ok(WriteProgress::Complete) };
        output.written += write_available(&self.stream, &output.bytes[output.written..])?;
        if output.written < output.bytes.len() {
            return Ok(WriteProgress::Partial);
        }
        if self.answered_at.is_none() {
            self.answered_at = Some(now);
            self.stream.shutdown(Shutdown::Write)?;
        }
        Ok(WriteProgress::Complete)
    }

    /// When something is due at it; never while its reply is deferred.
    pub(super) fn next_due(&self) -> Option<MonotonicTime> {
        if self.deferred.is_some() {
            return None;
        }
        Some(self.answered_at.map_or(self.connected_at + CALL_TIMEOUT, |answered_at| answered_at + LINGER))
    }

    /// What is due at it now.
    pub(super) fn due(&self, now: MonotonicTime) -> Option<Due> {
        let call_end = self.connected_at + CALL_TIMEOUT;
        match (self.answered_at, &self.output) {
            (Some(answered_at), _) => (now >= answered_at + LINGER).then_some(Due::Close),
            (None, None) => (self.deferred.is_none() && now >= call_end).then_some(Due::CallTimeout),
            (None, Some(_)) => (now >= call_end + LINGER).then_some(Due::Close),
        }
    }
}
