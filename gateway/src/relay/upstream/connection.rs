//! One connection to a source: its socket, its output and the reader of its stream.
use crate::event_stream::{StreamError, StreamItem, StreamRead, StreamReader};
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use crate::sockets::begin_connect;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::subscriber::{position_request, Subscription};
use polling::{Event as Readiness, PollMode, Poller};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tracing::error;

/// How far the response of the source has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamProgress {
    /// It begins with these bytes.
    Begun,
    /// It had begun before.
    Continued,
}

/// What bytes from the source hold.
#[derive(Debug)]
pub(super) struct Decoded {
    /// The events and comments that are complete.
    pub items: Vec<StreamItem>,
    /// How far the response has come.
    pub progress: StreamProgress,
    /// Why nothing can be read behind the items.
    pub error: Option<StreamError>,
}

/// A connection to a source, from its dial on.
pub(super) struct Connection {
    poller: Rc<Poller>,
    /// Its key at the poller.
    key: usize,
    stream: TcpStream,
    source: SocketAddr,
    reader: StreamReader,
    /// The request, then at most one position report.
    output: Vec<u8>,
    is_connected: bool,
    /// Whether the response has begun.
    is_streaming: bool,
}

impl Connection {
    /// Begins to connect; the request is written once the connection is there. `name`: that of the relay.
    ///
    /// # Errors
    ///
    /// Fails if there is no socket or port, or the source refuses at once.
    pub(super) fn open(
        poller: Rc<Poller>,
        key: usize,
        subscription: &Subscription,
        name: &str,
    ) -> io::Result<Connection> {
        let source = subscription.source;
        let stream = begin_connect(source)?;
        poller.add_with_mode(&stream, Readiness::all(key), PollMode::Level)?;
        Ok(Connection {
            poller,
            key,
            stream,
            source,
            reader: StreamReader::default(),
            output: subscription.to_http(Some(name)).into_bytes(),
            is_connected: false,
            is_streaming: false,
        })
    }

    /// Reads once.
    pub(super) fn read(&self, bytes: &mut [u8]) -> io::Result<ReadOutcome> {
        read_once(&self.stream, bytes)
    }

    /// Decodes bytes that were read. A response that is an error from its first byte on has not begun.
    pub(super) fn decode(&mut self, bytes: &[u8]) -> Decoded {
        let StreamRead { items, error } = self.reader.read(bytes);
        let was_streaming = self.is_streaming;
        self.is_streaming |= error.is_none() || !items.is_empty();
        let progress = match !was_streaming && self.is_streaming {
            true => StreamProgress::Begun,
            false => StreamProgress::Continued,
        };
        Decoded { items, progress, error }
    }

    /// Writes what there is, and polls for writability only while there is more. Takes the report once all before it is
    /// written and the response has begun.
    ///
    /// # Errors
    ///
    /// Fails if the connection could not be made, or fails.
    pub(super) fn flush(&mut self, report: &mut Option<PositionReport>) -> io::Result<()> {
        if !self.is_connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.is_connected = true;
        }
        if self.output.is_empty() && self.is_streaming {
            let request = report.take().map(|report| position_request(self.source, &report));
            self.output = request.unwrap_or_default().into_bytes();
        }
        let written = write_available(&self.stream, &self.output)?;
        self.output.drain(..written);
        let writable = !self.output.is_empty();
        let interest = Readiness { key: self.key, readable: true, writable };
        self.poller.modify_with_mode(&self.stream, interest, PollMode::Level)
    }

    /// Closes the connection.
    pub(super) fn close(self) {
        if let Err(error) = self.poller.delete(&self.stream) {
            error!(%error, "cannot stop polling a connection");
        }
    }
}
