//! The chunked transfer coding (RFC 9112, section 7.1).
use super::error::StreamError;
use super::MAX_EVENT_BYTES;

/// Bytes of the line with a chunk's size at most.
const MAX_SIZE_LINE_BYTES: usize = 65_536;

/// Decodes the chunked transfer coding.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    /// Bytes of the present chunk that have not come yet.
    remaining: usize,
    /// The line with the size of the next chunk, as far as it has come.
    size_line: Vec<u8>,
}

impl ChunkDecoder {
    /// Appends the content of the chunks in these bytes, also of those before an error.
    ///
    /// # Errors
    ///
    /// Fails if a chunk's size is malformed or too large, and at the last chunk.
    pub(super) fn decode(&mut self, mut bytes: &[u8], content: &mut Vec<u8>) -> Result<(), StreamError> {
        content.reserve(bytes.len());
        while !bytes.is_empty() {
            if self.remaining > 0 {
                let (chunk, rest) = bytes.split_at(self.remaining.min(bytes.len()));
                content.extend_from_slice(chunk);
                self.remaining -= chunk.len();
                bytes = rest;
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let line = end.map_or(bytes, |end| &bytes[..end]);
            self.size_line.extend_from_slice(line);
            bytes = end.map_or(&[][..], |end| &bytes[end + 1..]);
            if self.size_line.len() > MAX_SIZE_LINE_BYTES {
                return Err(StreamError::ChunkTooLong);
            }
            if end.is_some() {
                self.begin_chunk()?;
            }
        }
        Ok(())
    }

    /// The line is complete; one that is blank ends the chunk before.
    fn begin_chunk(&mut self) -> Result<(), StreamError> {
        let line = std::mem::take(&mut self.size_line);
        let line = String::from_utf8_lossy(&line);
        if line.trim_matches('\r').is_empty() {
            return Ok(());
        }
        let size = line.split(';').next().unwrap_or("").trim();
        self.remaining =
            usize::from_str_radix(size, 16).map_err(|_| StreamError::ChunkSize(size.to_string()))?;
        match self.remaining {
            0 => Err(StreamError::Ended),
            size if size > MAX_EVENT_BYTES => Err(StreamError::ChunkTooLong),
            _ => Ok(()),
        }
    }
}
