//! The jute encoding of records: big-endian numbers, buffers and strings with a length prefix of four bytes, vectors
//! with a count prefix of four bytes (Apache ZooKeeper, `zookeeper-jute`).
use crate::error::ProtocolError;

/// Maximum length of a frame in bytes: the default limit of a node (`jute.maxbuffer`, 1 MiB) plus room for its record.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + 4096;

/// Decodes fields from the content of a frame. The `field` parameters name the field in errors.
#[derive(Debug, Clone, Copy)]
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader(bytes)
    }

    /// Number of bytes not read yet.
    pub fn remaining(&self) -> usize {
        self.0.len()
    }

    fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], ProtocolError> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(ProtocolError::Truncated(field))?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], ProtocolError> {
        self.take(N, field)?.try_into().map_err(|_| ProtocolError::Truncated(field))
    }

    /// Reads a signed number of four bytes.
    pub fn int(&mut self, field: &'static str) -> Result<i32, ProtocolError> {
        self.array(field).map(i32::from_be_bytes)
    }

    /// Reads a signed number of eight bytes.
    pub fn long(&mut self, field: &'static str) -> Result<i64, ProtocolError> {
        self.array(field).map(i64::from_be_bytes)
    }

    /// Reads a boolean: a byte of 0 or 1.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, ProtocolError> {
        match self.array::<1>(field)? {
            [0] => Ok(false),
            [1] => Ok(true),
            [n] => Err(ProtocolError::UnknownValue(field, i32::from(n))),
        }
    }

    /// Reads bytes with a length prefix; a length of -1 denotes an absent buffer.
    pub fn buffer(&mut self, field: &'static str) -> Result<Option<&'a [u8]>, ProtocolError> {
        match self.int(field)? {
            -1 => Ok(None),
            n => match usize::try_from(n) {
                Ok(length) if length <= self.0.len() => self.take(length, field).map(Some),
                _ => Err(ProtocolError::FieldLength(field, n)),
            },
        }
    }

    /// Reads a UTF-8 string; an absent one is read as empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, ProtocolError> {
        std::str::from_utf8(self.buffer(field)?.unwrap_or_default())
            .map_err(|_| ProtocolError::InvalidUtf8(field))
    }

    /// Reads a vector; a count of -1 denotes an empty one. `min_entry_bytes` is the size of the smallest entry: a count
    /// that cannot fit into the frame is rejected before memory is allocated for it.
    pub fn vector<T>(
        &mut self,
        field: &'static str,
        min_entry_bytes: usize,
        mut read_entry: impl FnMut(&mut Self) -> Result<T, ProtocolError>,
    ) -> Result<Vec<T>, ProtocolError> {
        let count = match self.int(field)? {
            -1 => 0,
            n => match usize::try_from(n) {
                Ok(count) if count.saturating_mul(min_entry_bytes.max(1)) <= self.0.len() => count,
                _ => return Err(ProtocolError::FieldLength(field, n)),
            },
        };
        let mut entries = Vec::with_capacity(count);
        for _ in 0..count {
            entries.push(read_entry(self)?);
        }
        Ok(entries)
    }

    /// Returns an error if bytes are left after the last field.
    pub fn expect_end(&self) -> Result<(), ProtocolError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(ProtocolError::TrailingBytes(self.0.len()))
        }
    }
}

/// Encodes fields; holds the bytes written so far, without the length prefix of the frame.
#[derive(Debug, Default, Clone)]
pub struct Writer(pub Vec<u8>);

impl Writer {
    /// Writes a signed number of four bytes.
    pub fn int(&mut self, n: i32) -> &mut Self {
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }
    /// Writes a signed number of eight bytes.
    pub fn long(&mut self, n: i64) -> &mut Self {
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }
    /// Writes a boolean as a byte of 0 or 1.
    pub fn flag(&mut self, on: bool) -> &mut Self {
        self.0.push(u8::from(on));
        self
    }
    /// Writes bytes with a length prefix.
    pub fn buffer(&mut self, bytes: &[u8]) -> &mut Self {
        self.int(bytes.len() as i32);
        self.0.extend_from_slice(bytes);
        self
    }
    /// Writes a UTF-8 string with a length prefix.
    pub fn text(&mut self, text: &str) -> &mut Self {
        self.buffer(text.as_bytes())
    }
    /// Writes a vector: its count, then each entry with `write_entry`.
    pub fn vector<T>(&mut self, entries: &[T], mut write_entry: impl FnMut(&mut Self, &T)) -> &mut Self {
        self.int(entries.len() as i32);
        entries.iter().for_each(|entry| write_entry(self, entry));
        self
    }
    /// Returns the bytes written as a frame with its length prefix.
    pub fn framed(&self) -> Vec<u8> {
        let mut out = (self.0.len() as u32).to_be_bytes().to_vec();
        out.extend_from_slice(&self.0);
        out
    }
}

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// A complete frame at the start of an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The bytes after the length prefix.
    pub content: &'a [u8],
    /// Length of the frame in bytes, including the length prefix.
    pub length: usize,
}

/// Returns the frame at the start of an input, or none while it is incomplete.
pub fn frame(input: &[u8]) -> Result<Option<Frame<'_>>, ProtocolError> {
    let Some(length_bytes) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = i32::from_be_bytes(*length_bytes);
    match usize::try_from(length) {
        Ok(length) if length <= MAX_FRAME_BYTES => {
            let length = LENGTH_BYTES + length;
            Ok(input.get(LENGTH_BYTES..length).map(|content| Frame { content, length }))
        }
        // Reported as unsigned, so that a length of 3 GB appears as 3000000000 and not as a negative number.
        _ => Err(ProtocolError::FrameLength(i64::from(length as u32))),
    }
}
