//! The gzip content coding (RFC 1952).
use super::error::{DecodeError, StreamError};
use flate2::{Decompress, FlushDecompress, Status};

/// Bytes that one piece of input may decode to at most: what is read at once, several times over.
const MAX_DECODED_BYTES: usize = 32 << 20;
/// Bytes that are decoded before their lines are taken out.
const STEP_BYTES: usize = 64 * 1024;
/// A gzip header without optional fields: magic, method deflate, no flags, time, extra flags, system.
const HEADER_BYTES: usize = 10;
const HEADER_START: [u8; 4] = [0x1f, 0x8b, 8, 0];

/// What one step of decoding did.
struct Step {
    /// How it ended; an error lies behind the text that was written.
    status: Result<Status, DecodeError>,
    /// Bytes of the input that were read.
    consumed: usize,
    /// Bytes of text that were written.
    produced: usize,
}

/// The gzip content coding: one header, then one deflate stream that never ends.
#[derive(Debug)]
pub(super) struct GzipDecoder {
    /// The header, as far as it has come.
    header: Vec<u8>,
    inflate: Decompress,
}

impl Default for GzipDecoder {
    fn default() -> Self {
        const ZLIB_HEADER: bool = false;
        GzipDecoder { header: Vec::new(), inflate: Decompress::new(ZLIB_HEADER) }
    }
}

impl GzipDecoder {
    /// Decodes in steps, and hands the text of each to `consume`, so that no more than one step is held.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not of this coding, decode to too much at once, or end; and as `consume` does.
    pub(super) fn decode(
        &mut self,
        mut bytes: &[u8],
        consume: &mut dyn FnMut(&[u8]) -> Result<(), StreamError>,
    ) -> Result<(), StreamError> {
        bytes = self.skip_header(bytes)?;
        if self.header.len() < HEADER_BYTES {
            return Ok(());
        }
        let mut text = vec![0; STEP_BYTES];
        let mut decoded = 0;
        loop {
            let Step { status, consumed, produced } = self.inflate(bytes, &mut text);
            bytes = &bytes[consumed..];
            decoded += produced;
            if decoded > MAX_DECODED_BYTES {
                return Err(DecodeError::TooLarge.into());
            }
            consume(&text[..produced])?;
            let is_stuck = consumed == 0 && produced == 0;
            match status? {
                Status::StreamEnd => return Err(StreamError::Ended),
                _ if is_stuck || (bytes.is_empty() && produced < text.len()) => return Ok(()),
                _ => {}
            }
        }
    }

    /// Takes what belongs to the header. Returns what follows it.
    fn skip_header<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], DecodeError> {
        let missing = bytes.len().min(HEADER_BYTES - self.header.len());
        let (header, rest) = bytes.split_at(missing);
        self.header.extend_from_slice(header);
        let is_complete = self.header.len() == HEADER_BYTES;
        match is_complete && !self.header.starts_with(&HEADER_START) {
            true => Err(DecodeError::Header),
            false => Ok(rest),
        }
    }

    fn inflate(&mut self, bytes: &[u8], text: &mut [u8]) -> Step {
        let (total_in, total_out) = (self.inflate.total_in(), self.inflate.total_out());
        let status = self.inflate.decompress(bytes, text, FlushDecompress::Sync);
        let status = status.map_err(|_| DecodeError::Deflate);
        let consumed = (self.inflate.total_in() - total_in) as usize;
        let produced = (self.inflate.total_out() - total_out) as usize;
        Step { status, consumed, produced }
    }
}
