//! Reads a stream of server-sent events over HTTP/1.1: head, chunked coding, gzip coding, then events and comments.
//! Each byte is looked at a bounded number of times, however the stream is cut into pieces.
use flate2::{Decompress, FlushDecompress, Status};
use larchway::Micros;

/// Most bytes of one event, line or chunk: a whole list of thousands of stores fits.
const LONGEST: usize = 4 << 20;
/// Most bytes of the response's head.
const LONGEST_HEAD: usize = 65_536;
/// Most bytes that one piece of input may decode to: what is read at once, several times over.
const MOST_DECODED: usize = 32 << 20;
/// Bytes that are decoded before their lines are taken out.
const DECODE_STEP: usize = 64 * 1024;
/// A gzip header without optional fields (RFC 1952): magic, method deflate, no flags, time, extra flags, system.
const GZIP_HEADER: usize = 10;
const GZIP_START: [u8; 4] = [0x1f, 0x8b, 8, 0];
const OK: u16 = 200;
const MOST_HEADERS: usize = 32;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// A part of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The data of an event.
    Event(String),
    /// A comment line, without its colon.
    Comment(String),
}

/// Why a stream cannot be read on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// The response's head is malformed.
    Head(String),
    /// The response's head is too long.
    HeadTooLong,
    /// The status is not 200.
    Refused {
        /// The status.
        status: u16,
        /// `Retry-After`, µs.
        retry_after: Option<Micros>,
    },
    /// The content coding is neither gzip nor none.
    ContentCoding(String),
    /// The size of a chunk is malformed.
    ChunkSize(String),
    /// A chunk is too long.
    ChunkTooLong,
    /// An event or line is too long.
    EventTooLong,
    /// The body cannot be decoded, or decodes to too much.
    Decode(&'static str),
    /// The response has ended.
    Ended,
}

impl std::fmt::Display for StreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StreamError::Head(why) => write!(f, "its head is malformed: {why}"),
            StreamError::HeadTooLong => write!(f, "its head is too long"),
            StreamError::Refused { status, .. } => write!(f, "it answered {status}"),
            StreamError::ContentCoding(coding) => write!(f, "its content coding {coding:?} is unknown"),
            StreamError::ChunkSize(size) => write!(f, "{size:?} is no chunk size"),
            StreamError::ChunkTooLong => write!(f, "a chunk is too long"),
            StreamError::EventTooLong => write!(f, "an event is too long"),
            StreamError::Decode(why) => write!(f, "its body cannot be decoded: {why}"),
            StreamError::Ended => write!(f, "it ended"),
        }
    }
}

/// Reads the response to a subscription.
#[derive(Debug, Default)]
pub struct StreamReader {
    /// The head, until it is whole; bounded by [`LONGEST_HEAD`] and one piece of input.
    head: Vec<u8>,
    /// How the body is coded, once the head is read.
    body: Option<Body>,
    events: EventReader,
}

#[derive(Debug)]
struct Body {
    chunks: Option<Chunks>,
    gzip: Option<Gzip>,
}

impl StreamReader {
    /// Takes in what was read and returns the events and comments that are whole now, in their order.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Part>, StreamError> {
        let mut parts = Vec::new();
        if self.body.is_some() {
            self.take_body(bytes, &mut parts)?;
            return Ok(parts);
        }
        self.head.extend_from_slice(bytes);
        let Some((end, body)) = read_head(&self.head)? else { return Ok(parts) };
        self.body = Some(body);
        let head = std::mem::take(&mut self.head);
        self.take_body(&head[end..], &mut parts)?;
        Ok(parts)
    }

    fn take_body(&mut self, bytes: &[u8], parts: &mut Vec<Part>) -> Result<(), StreamError> {
        let Some(Body { chunks, gzip }) = &mut self.body else { return Ok(()) };
        let joined;
        let coded = match chunks {
            None => bytes,
            Some(chunks) => {
                joined = chunks.take(bytes)?;
                &joined[..]
            }
        };
        match gzip {
            None => self.events.take(coded, parts),
            Some(gzip) => gzip.take(coded, &mut |text| self.events.take(text, parts)),
        }
    }
}

/// Reads the head, if it is whole: where it ends, and how the body is coded.
fn read_head(bytes: &[u8]) -> Result<Option<(usize, Body)>, StreamError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).map_err(|e| StreamError::Head(e.to_string()))?;
    let httparse::Status::Complete(end) = parsed else {
        return if bytes.len() > LONGEST_HEAD { Err(StreamError::HeadTooLong) } else { Ok(None) };
    };
    let header = |name: &str| {
        let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    let status = response.code.unwrap_or(0);
    if status != OK {
        let seconds: Option<Micros> = header("retry-after").and_then(|text| text.parse().ok());
        let retry_after = seconds.map(|seconds| seconds.saturating_mul(MICROS_PER_SECOND));
        return Err(StreamError::Refused { status, retry_after });
    }
    let chunked = header("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked"));
    let gzip = match header("content-encoding").as_deref() {
        None | Some("" | "identity") => None,
        Some("gzip" | "x-gzip") => Some(Gzip::default()),
        Some(other) => return Err(StreamError::ContentCoding(other.to_string())),
    };
    Ok(Some((end, Body { chunks: chunked.then(Chunks::default), gzip })))
}

/// The chunked transfer coding (RFC 9112, section 7.1).
#[derive(Debug, Default)]
struct Chunks {
    /// Bytes of the present chunk that have not come yet.
    left: usize,
    /// The line with the size of the next chunk, as far as it has come.
    size_line: Vec<u8>,
}

impl Chunks {
    fn take(&mut self, mut bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        let mut content = Vec::with_capacity(bytes.len());
        while !bytes.is_empty() {
            if self.left > 0 {
                let (chunk, rest) = bytes.split_at(self.left.min(bytes.len()));
                content.extend_from_slice(chunk);
                self.left -= chunk.len();
                bytes = rest;
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let line = end.map_or(bytes, |end| &bytes[..end]);
            self.size_line.extend_from_slice(line);
            bytes = end.map_or(&[][..], |end| &bytes[end + 1..]);
            if self.size_line.len() > LONGEST_HEAD {
                return Err(StreamError::ChunkTooLong);
            }
            if end.is_some() {
                self.begin_chunk()?;
            }
        }
        Ok(content)
    }

    /// The line is whole; one that is blank ends the chunk before.
    fn begin_chunk(&mut self) -> Result<(), StreamError> {
        let line = std::mem::take(&mut self.size_line);
        let line = String::from_utf8_lossy(&line);
        if line.trim_matches('\r').is_empty() {
            return Ok(());
        }
        let size = line.split(';').next().unwrap_or("").trim();
        self.left = usize::from_str_radix(size, 16).map_err(|_| StreamError::ChunkSize(size.to_string()))?;
        match self.left {
            0 => Err(StreamError::Ended),
            size if size > LONGEST => Err(StreamError::ChunkTooLong),
            _ => Ok(()),
        }
    }
}

/// The gzip content coding: one header, then one deflate stream that never ends.
#[derive(Debug)]
struct Gzip {
    /// The header, as far as it has come.
    header: Vec<u8>,
    inflate: Decompress,
}

impl Default for Gzip {
    fn default() -> Self {
        const ZLIB_HEADER: bool = false;
        Gzip { header: Vec::new(), inflate: Decompress::new(ZLIB_HEADER) }
    }
}

impl Gzip {
    /// Decodes in steps, so that no more than one step is held besides what its user keeps.
    fn take(
        &mut self,
        mut bytes: &[u8],
        user: &mut dyn FnMut(&[u8]) -> Result<(), StreamError>,
    ) -> Result<(), StreamError> {
        let header = bytes.len().min(GZIP_HEADER - self.header.len());
        self.header.extend_from_slice(&bytes[..header]);
        bytes = &bytes[header..];
        if self.header.len() < GZIP_HEADER {
            return Ok(());
        }
        if !self.header.starts_with(&GZIP_START) {
            return Err(StreamError::Decode("its gzip header is none, or has optional fields"));
        }
        let mut text = vec![0; DECODE_STEP];
        let mut decoded = 0;
        loop {
            let (consumed, produced) = (self.inflate.total_in(), self.inflate.total_out());
            let status = self.inflate.decompress(bytes, &mut text, FlushDecompress::Sync);
            let status = status.map_err(|_| StreamError::Decode("it is no deflate data"))?;
            let consumed = (self.inflate.total_in() - consumed) as usize;
            let produced = (self.inflate.total_out() - produced) as usize;
            bytes = &bytes[consumed..];
            decoded += produced;
            if decoded > MOST_DECODED {
                return Err(StreamError::Decode("it decodes to too much at once"));
            }
            user(&text[..produced])?;
            let stuck = consumed == 0 && produced == 0;
            match status {
                Status::StreamEnd => return Err(StreamError::Ended),
                _ if stuck || (bytes.is_empty() && produced < text.len()) => return Ok(()),
                _ => {}
            }
        }
    }
}

/// The lines of server-sent events.
#[derive(Debug, Default)]
struct EventReader {
    /// The line that is not whole yet.
    line: Vec<u8>,
    /// The data of the event that is not whole yet.
    data: String,
}

impl EventReader {
    fn take(&mut self, mut text: &[u8], parts: &mut Vec<Part>) -> Result<(), StreamError> {
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            if self.line.is_empty() {
                self.take_line(&text[..end], parts);
            } else {
                self.line.extend_from_slice(&text[..end]);
                let line = std::mem::take(&mut self.line);
                self.take_line(&line, parts);
            }
            text = &text[end + 1..];
            self.check_length()?;
        }
        self.line.extend_from_slice(text);
        self.check_length()
    }

    fn check_length(&self) -> Result<(), StreamError> {
        match self.line.len().max(self.data.len()) > LONGEST {
            true => Err(StreamError::EventTooLong),
            false => Ok(()),
        }
    }

    fn take_line(&mut self, line: &[u8], parts: &mut Vec<Part>) {
        let line = String::from_utf8_lossy(line);
        let line = line.trim_end_matches('\r');
        if line.is_empty() {
            if !self.data.is_empty() {
                parts.push(Part::Event(std::mem::take(&mut self.data)));
            }
        } else if let Some(comment) = line.strip_prefix(':') {
            parts.push(Part::Comment(comment.to_string()));
        } else if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
}

#[cfg(test)]
mod tests;
