//! A client's connection to a gateway.
use super::wire::{decode_answer, encode_call, take_frame, Answer, Field};
use larchway::Micros;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A request in flight.
pub(super) struct SentRequest {
    /// When it was due.
    pub(super) due: Micros,
    /// When it was sent.
    pub(super) sent_at: Micros,
    pub(super) fields: Vec<Field>,
    /// Whether it was sent once before, over a connection that has ended.
    pub(super) is_retry: bool,
}

pub(super) struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    pub(super) in_flight: BTreeMap<i32, SentRequest>,
    last_sequence: i32,
    pub(super) last_used: Micros,
    /// A gateway may close a connection without requests in flight; the next request opens another.
    closed: bool,
}

impl Connection {
    pub(super) fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        Ok(Connection {
            stream,
            input: Vec::new(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            last_used: 0,
            closed: false,
        })
    }

    /// Sends a request; if the connection was closed meanwhile, over a new one.
    pub(super) fn send(&mut self, address: SocketAddr, request: SentRequest) -> std::io::Result<()> {
        if self.closed {
            *self = Connection::open(address)?;
        }
        self.last_used = request.sent_at;
        self.last_sequence += 1;
        let bytes = encode_call(self.last_sequence, &request.fields);
        self.in_flight.insert(self.last_sequence, request);
        // A failed write shows when the connection is read.
        let _ = self.stream.write_all(&bytes);
        Ok(())
    }

    /// Reads what has come; returns the requests that were in flight if the connection has ended.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Vec<SentRequest> {
        match self.stream.read(buffer) {
            Ok(length) if length > 0 => self.input.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => {
                self.closed = true;
                return std::mem::take(&mut self.in_flight).into_values().collect();
            }
        }
        Vec::new()
    }

    /// The next well-formed answer that has come in full.
    pub(super) fn next_answer(&mut self) -> Option<Answer> {
        loop {
            let frame = take_frame(&mut self.input)?;
            if let Some(answer) = decode_answer(&frame) {
                return Some(answer);
            }
        }
    }
}
