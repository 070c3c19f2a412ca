//! A connection that follows numbered events, read by the product's own reader.
use super::error::HollowError;
use larchway_distribution::subscriber::Subscription;
use larchway_distribution::EventNumber;
use larchway_gateway::event_stream::{StreamError, StreamItem, StreamRead, StreamReader};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Most bytes that one call of [`Follower::read`] takes in, so that no follower holds up the others of its process.
const MAX_BYTES_PER_READ: usize = 256 * 1024;

/// What a follower has read in one call.
#[derive(Debug, Default)]
pub struct Taken {
    /// Bytes from the connection, as they came over it.
    pub bytes: usize,
    /// The data of the events that are complete now, in their order.
    pub events: Vec<String>,
    /// Whether the connection has ended.
    pub ended: bool,
}

/// One connection to a source of events or a relay.
#[derive(Debug)]
pub struct Follower {
    stream: TcpStream,
    reader: StreamReader,
}

impl Follower {
    /// Connects, and asks by this request, such as [`request_after`] makes it.
    pub fn connect(source: SocketAddr, request: &[u8]) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(source)?;
        stream.set_nodelay(true)?;
        stream.write_all(request)?;
        stream.set_nonblocking(true)?;
        Ok(Follower { stream, reader: StreamReader::default() })
    }

    /// The connection, for a poller.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads what has come; an error of the reader is returned as it names it.
    pub fn read(&mut self, buffer: &mut [u8]) -> Result<Taken, HollowError> {
        let mut taken = Taken::default();
        while taken.bytes < MAX_BYTES_PER_READ {
            match self.stream.read(buffer) {
                Ok(0) => {
                    taken.ended = true;
                    break;
                }
                Ok(read) => {
                    taken.bytes += read;
                    let StreamRead { items, error } = self.reader.read(&buffer[..read]);
                    taken.events.extend(items.into_iter().filter_map(event_data));
                    match error {
                        None => {}
                        Some(StreamError::Ended) => {
                            taken.ended = true;
                            break;
                        }
                        Some(error) => return Err(error.into()),
                    }
                    if read < buffer.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(taken)
    }
}

/// The request for the events after a number, as a gateway without a file of its events sends it.
pub fn request_after(source: SocketAddr, after: EventNumber, gzip: bool) -> String {
    Subscription { source, after, if_match: None, gzip, scope: None }.to_http(None)
}

fn event_data(part: StreamItem) -> Option<String> {
    match part {
        StreamItem::Event(data) => Some(data),
        StreamItem::Comment(_) => None,
    }
}

/// The number that an event's data begins with: `{"no":N,` or `{"no":N}`.
pub fn number_of(data: &str) -> Option<u64> {
    let rest = data.strip_prefix("{\"no\":")?;
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    rest[..end].parse().ok()
}
