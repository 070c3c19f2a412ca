//! Reads a stream of server-sent events over HTTP/1.1: head, chunked coding, gzip coding, then events and comments.
//! Each byte is looked at a bounded number of times, however the stream is cut into pieces.
mod chunked;
mod error;
mod gzip;
mod head;
mod server_sent_events;

pub use error::{DecodeError, StreamError};

use chunked::ChunkDecoder;
use gzip::GzipDecoder;
use head::{read_head, ContentCoding, Head, TransferCoding};
use server_sent_events::EventParser;

/// Bytes of one event, line or chunk at most: a full list of thousands of stores fits.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// An item of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// The data of an event.
    Event(String),
    /// A comment line, without its colon.
    Comment(String),
}

/// The result of reading a piece of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "events that are complete are to be handled, also before an error"]
pub struct StreamRead {
    /// The events and comments that are complete now, in their order.
    pub items: Vec<StreamItem>,
    /// Why nothing can be read behind them, such as the end of the stream.
    pub error: Option<StreamError>,
}

/// Reads the response to a subscription.
#[derive(Debug, Default)]
pub struct StreamReader {
    /// The head, until it is complete; bounded by [`head::MAX_HEAD_BYTES`] and one piece of input.
    head: Vec<u8>,
    /// How the body is decoded, once the head is read.
    body: Option<BodyDecoder>,
    events: EventParser,
}

/// Decodes a body; none of a coding that it does not have.
#[derive(Debug)]
struct BodyDecoder {
    chunks: Option<ChunkDecoder>,
    gzip: Option<GzipDecoder>,
}

impl BodyDecoder {
    fn new(head: &Head) -> BodyDecoder {
        let chunks = (head.transfer_coding == TransferCoding::Chunked).then(ChunkDecoder::default);
        let gzip = (head.content_coding == ContentCoding::Gzip).then(GzipDecoder::default);
        BodyDecoder { chunks, gzip }
    }
}

impl StreamReader {
    /// Takes in received bytes. Events that are complete before an error, or before the end of the stream, are returned
    /// with it, since both may be in the same piece.
    pub fn read(&mut self, bytes: &[u8]) -> StreamRead {
        let mut items = Vec::new();
        let error = self.read_items(bytes, &mut items).err();
        StreamRead { items, error }
    }

    fn read_items(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        if self.body.is_some() {
            return self.read_body(bytes, items);
        }
        self.head.extend_from_slice(bytes);
        let Some(head) = read_head(&self.head)? else { return Ok(()) };
        self.body = Some(BodyDecoder::new(&head));
        let bytes = std::mem::take(&mut self.head);
        self.read_body(&bytes[head.length..], items)
    }

    fn read_body(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        let Some(BodyDecoder { chunks, gzip }) = &mut self.body else { return Ok(()) };
        let mut content = Vec::new();
        let (coded, chunk_error) = match chunks {
            None => (bytes, None),
            Some(chunks) => {
                let error = chunks.decode(bytes, &mut content).err();
                (&content[..], error)
            }
        };
        match gzip {
            None => self.events.parse(coded, items)?,
            Some(gzip) => gzip.decode(coded, &mut |text| self.events.parse(text, items))?,
        }
        chunk_error.map_or(Ok(()), Err)
    }
}

#[cfg(test)]
mod tests;
