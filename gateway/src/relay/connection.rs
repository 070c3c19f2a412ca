//! One connection of a subscriber or an operator: its buffers, and what it may do next.
use super::request::{self, Request, RequestError, LONGEST_BODY, LONGEST_HEAD};
use larchway::Micros;
use larchway_distribution::batch::Encoding;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// Bytes read at a time.
const READ_STEP: usize = 4096;
/// Bytes of input kept at most; more than one whole request never has to wait.
const LONGEST_INPUT: usize = LONGEST_HEAD + LONGEST_BODY + READ_STEP;
/// Bytes written to one connection in a turn at most, so that it holds up nobody.
const WRITE_STEP: usize = 256 << 10;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its first request is awaited.
    Request,
    /// It asked for events; the relay has not taken it yet.
    Admission,
    /// It is sent events.
    Streaming,
    /// It is sent a whole response, after which it ends.
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

/// What came of a turn to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Everything there is.
    All,
    /// As much as one turn allows.
    Some,
    /// As much as the socket takes.
    Full,
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
    /// The coding of the events that it asked for.
    pub encoding: Encoding,
    /// When it is closed unless it gets on before.
    pub due: Option<Micros>,
    /// At most [`LONGEST_INPUT`]; what is longer is refused.
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
            due: None,
            input: Vec::new(),
            piece: None,
        }
    }

    /// Reads once. Returns whether the connection is still open.
    pub fn read(&mut self) -> bool {
        let mut bytes = [0; READ_STEP];
        match self.stream.read(&mut bytes) {
            Ok(0) => false,
            Ok(count) => {
                if !matches!(self.stage, Stage::Responding | Stage::Lingering) {
                    self.input.extend_from_slice(&bytes[..count]);
                }
                true
            }
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Takes the next whole request out of what was read.
    pub fn next_request(&mut self) -> Result<Option<Request>, RequestError> {
        let Some(parsed) = request::parse(&self.input)? else {
            let too_long = self.input.len() > LONGEST_INPUT;
            return if too_long { Err(RequestError::TooLong) } else { Ok(None) };
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

    /// Writes what there is; `next` gives the next piece of the stream. Returns the bytes written beside how it ended.
    pub fn write(&mut self, mut next: impl FnMut() -> Option<Arc<[u8]>>) -> io::Result<(Written, usize)> {
        let mut total = 0;
        while total < WRITE_STEP {
            if self.piece.is_none() {
                self.piece = next().map(|bytes| Piece { bytes, offset: 0 });
            }
            let Some(piece) = &mut self.piece else { return Ok((Written::All, total)) };
            match self.stream.write(&piece.bytes[piece.offset..]) {
                Ok(0) if !piece.bytes.is_empty() => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    total += count;
                    piece.offset += count;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok((Written::Full, total)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if piece.offset == piece.bytes.len() {
                self.piece = None;
            }
        }
        Ok((Written::Some, total))
    }

    /// Tells the other side that nothing more comes.
    pub fn half_close(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }
}
