//! Encoding of the event stream: server-sent events as text, optionally compressed with gzip.
use crate::event::EventNumber;
use flate2::{Compress, Compression, FlushCompress};
use larchway_unix_time::UnixMicros;
use std::fmt::Write;
use std::sync::Arc;

/// The gzip header that precedes the deflate pieces of a response (RFC 1952): no name, no time, unknown system.
pub const GZIP_HEADER: [u8; 10] = [0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255];

/// Compression level used unless the operator sets one. Chosen from the measurements in
/// `docs/design/event-distribution.md`.
pub const DEFAULT_GZIP_LEVEL: u32 = 6;

const MICROS_PER_MILLISECOND: u64 = 1000;
/// Minimum growth of the compressor's output buffer, in bytes.
const OUTPUT_STEP: usize = 512;

/// The content coding of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Encoding {
    /// Uncompressed text.
    Identity,
    /// One gzip header, then raw deflate pieces. Each piece ends with a full flush, so it does not depend on the
    /// others.
    Gzip,
}

/// Appends one server-sent event.
pub fn write_event(text: &mut String, number: EventNumber, data: &str) {
    let _ = write!(text, "id: {number}\ndata: {data}\n\n");
}

/// Prefix of a heartbeat comment, followed by the time in Unix ms.
const HEARTBEAT_PREFIX: &str = "heard ";

/// Appends a heartbeat: the time at which the root relay last received bytes from the source, as a comment line.
pub fn write_heartbeat(text: &mut String, source_alive_at: UnixMicros) {
    let _ = write!(text, ": {HEARTBEAT_PREFIX}{}\n\n", source_alive_at.as_millis());
}

/// Parses the time in a heartbeat comment. Returns `None` for other comments.
pub fn parse_heartbeat(comment: &str) -> Option<UnixMicros> {
    let milliseconds: u64 = comment.trim().strip_prefix(HEARTBEAT_PREFIX)?.trim().parse().ok()?;
    milliseconds.checked_mul(MICROS_PER_MILLISECOND).map(UnixMicros::from_micros)
}

/// The data sent in place of an event that a later one has replaced, so that the numbers have no gap. Its digest does
/// not identify the history: subscribers compare histories by the last event that came with its own text.
pub fn placeholder(number: EventNumber) -> String {
    format!("{{\"no\":{number}}}")
}

/// Encodes one piece of a response body at the default compression level, without the gzip header.
pub fn encode(text: &str, encoding: Encoding) -> Arc<[u8]> {
    encode_at_level(text, encoding, DEFAULT_GZIP_LEVEL)
}

/// Encodes one piece of a response body, without the gzip header. `level` is the gzip level, 0 to 9.
pub fn encode_at_level(text: &str, encoding: Encoding, level: u32) -> Arc<[u8]> {
    match encoding {
        Encoding::Identity => Arc::from(text.as_bytes()),
        Encoding::Gzip => Arc::from(deflate_piece(text.as_bytes(), level)),
    }
}

/// Compresses `input` independently of other pieces; a full flush makes the output end on a byte boundary.
fn deflate_piece(input: &[u8], level: u32) -> Vec<u8> {
    const RAW_DEFLATE: bool = false;
    let mut compressor = Compress::new(Compression::new(level), RAW_DEFLATE);
    let mut output = Vec::with_capacity(input.len() / 2 + OUTPUT_STEP);
    loop {
        let consumed = compressor.total_in() as usize;
        // Fails only for an invalid compressor state or parameter, neither of which can occur here.
        let _ = compressor.compress_vec(&input[consumed..], &mut output, FlushCompress::Full);
        let all_read = compressor.total_in() as usize == input.len();
        if all_read && output.len() < output.capacity() {
            return output;
        }
        output.reserve(OUTPUT_STEP);
    }
}
