//! One connection of a subscriber or an operator: its buffers, and what it may do next.
use super::request::{self, Request, RequestError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use larchway::MonotonicTime;
use larchway_distribution::batch::Encoding;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// Bytes read at a time.
const MAX_READ_BYTES: usize = 4096;
/// Bytes of input held at most; more than one complete request never has to wait.
const MAX_INPUT_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_READ_BYTES;
/// Bytes written to one connection in a turn at most, so that it holds up nobody.
const MAX_WRITE_BYTES_PER_TURN: usize = 256 << 10;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its first request is awaited.
    Request,
    /// It requested events; the relay has not accepted it yet.
    Admission,
    /// It is sent events.
    Streaming,
    /// It is sent a complete response, after which it ends.
    Responding,
    /// The response is written and the other side is to close.
    Lingering,
}

/// Whether a connection has something to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteState {
    /// Nothing to write.
    Idle,
    /// Its turn to write comes.
    Queued,
    /// The socket is full.
    Blocked,
}

/// How a turn to write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Everything there is.
    Complete,
    /// As much as one turn allows.
    Partial,
    /// As much as the socket takes.
    Blocked,
}

/// What a turn to write did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// How it ended.
    pub outcome: WriteOutcome,
    /// Bytes written.
    pub bytes: usize,
}

/// Whether the other side may still send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputState {
    /// It may.
    Open,
    /// It has closed the connection, or the connection has failed.
    Closed,
}

/// A piece of output, shared with other connections, and how much of it is written.
#[derive(Debug)]
struct Piece {
    bytes: Arc<[u8]>,
    offset: usize,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    /// The socket, which never blocks.
    pub stream: TcpStream,
    /// How far it has come.
    pub stage: Stage,
    /// Whether it has something to write.
    pub write_state: WriteState,
    /// The coding of the events that it requested.
    pub encoding: Encoding,
    /// When it is closed unless it gets on before.
    pub deadline: Option<MonotonicTime>,
    /// At most [`MAX_INPUT_BYTES`]; what is longer is refused.
    input: Vec<u8>,
    piece: Option<Piece>,
}

impl Connection {
    /// A connection that has sent nothing yet.
    pub fn new(stream: TcpStream) -> Connection {
        Connection {
            stream,
            stage: Stage::Request,
            write_state: WriteState::Idle,
            encoding: Encoding::Identity,
            deadline: None,
            input: Vec::new(),
            piece: None,
        }
    }

    /// Reads once.
    pub fn read(&mut self) -> InputState {
        let mut bytes = [0; MAX_READ_BYTES];
        match read_once(&self.stream, &mut bytes) {
            Ok(ReadOutcome::Received(count)) => {
                if !matches!(self.stage, Stage::Responding | Stage::Lingering) {
                    self.input.extend_from_slice(&bytes[..count]);
                }
                InputState::Open
            }
            Ok(ReadOutcome::NotReady) => InputState::Open,
            Ok(ReadOutcome::Ended) | Err(_) => InputState::Closed,
        }
    }

    /// Takes the next complete request out of what was read; none if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if what was read is no request that this relay serves, or is too long.
    pub fn next_request(&mut self) -> Result<Option<Request>, RequestError> {
        let Some(parsed) = request::parse(&self.input)? else {
            let is_too_long = self.input.len() > MAX_INPUT_BYTES;
            return if is_too_long { Err(RequestError::TooLong) } else { Ok(None) };
        };
        self.input.drain(..parsed.length);
        Ok(Some(parsed.request))
    }

    /// Whether a part of a request waits for the rest.
    pub fn has_partial_request(&self) -> bool {
        !self.input.is_empty()
    }

    /// Makes this the next to be written.
    pub fn send(&mut self, bytes: Vec<u8>) {
        self.piece = Some(Piece { bytes: bytes.into(), offset: 0 });
    }

    /// Writes what there is; `next` gives the next piece of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn write(&mut self, mut next: impl FnMut() -> Option<Arc<[u8]>>) -> io::Result<Written> {
        let mut bytes = 0;
        while bytes < MAX_WRITE_BYTES_PER_TURN {
            if self.piece.is_none() {
                self.piece = next().map(|piece| Piece { bytes: piece, offset: 0 });
            }
            let Some(piece) = &mut self.piece else {
                return Ok(Written { outcome: WriteOutcome::Complete, bytes });
            };
            let count = write_available(&self.stream, &piece.bytes[piece.offset..])?;
            bytes += count;
            piece.offset += count;
            if piece.offset < piece.bytes.len() {
                return Ok(Written { outcome: WriteOutcome::Blocked, bytes });
            }
            self.piece = None;
        }
        Ok(Written { outcome: WriteOutcome::Partial, bytes })
    }

    /// Ends the output; the input stays open.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn half_close(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }
}
