//! A binary envelope for stored and transmitted data: magic bytes, a version, the length and a CRC-32 of the body, and
//! the body in postcard. Data that is truncated, foreign or of another version is detected before its body is decoded.
//!
//! | offset | size | content |
//! | --- | --- | --- |
//! | 0 | 8 | magic bytes |
//! | 8 | 2 | version, big-endian |
//! | 10 | 4 | length of the body, big-endian |
//! | 14 | 4 | CRC-32 of the body, big-endian |
//! | 18 | | body |
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

const MAGIC_LENGTH: usize = 8;
const VERSION_OFFSET: usize = MAGIC_LENGTH;
const BODY_LENGTH_OFFSET: usize = VERSION_OFFSET + 2;
const CHECKSUM_OFFSET: usize = BODY_LENGTH_OFFSET + 4;
/// Length of the header in bytes.
pub const HEADER_LENGTH: usize = CHECKSUM_OFFSET + 4;

/// A kind of data, with the version that this program reads and writes.
#[derive(Debug, Clone, Copy)]
pub struct ChecksummedFormat {
    /// The first bytes of the header.
    pub magic: &'static [u8; MAGIC_LENGTH],
    /// The version; it has to be raised with each change of the body's type.
    pub version: u16,
}

/// A header that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Length of the body in bytes.
    pub length: usize,
    checksum: u32,
}

/// Why a header is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// The magic bytes are others.
    #[error("the magic bytes are others")]
    Foreign,
    /// The data is of this other version.
    #[error("it is of version {0}")]
    Version(u16),
}

/// Why a body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The checksum does not match.
    #[error("its checksum does not fit")]
    Checksum,
    /// The checksum matches, but the bytes are not exactly one value of the type.
    #[error("it is no value of the type")]
    Malformed,
}

impl ChecksummedFormat {
    /// Encodes a value behind its header.
    pub fn encode<T: Serialize>(&self, value: &T) -> Vec<u8> {
        // Postcard fails only for sequences of unknown length, which the types encoded here do not have.
        let body = postcard::to_stdvec(value).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
        bytes.extend_from_slice(self.magic);
        bytes.extend_from_slice(&self.version.to_be_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads the header at the start of the input. Returns none while the input is shorter than a header.
    pub fn read_header(&self, input: &[u8]) -> Result<Option<Header>, HeaderError> {
        let available = input.len().min(MAGIC_LENGTH);
        if input[..available] != self.magic[..available] {
            return Err(HeaderError::Foreign);
        }
        let Some(header) = input.first_chunk::<HEADER_LENGTH>() else { return Ok(None) };
        let version = u16::from_be_bytes([header[VERSION_OFFSET], header[VERSION_OFFSET + 1]]);
        if version != self.version {
            return Err(HeaderError::Version(version));
        }
        let length = read_u32(header, BODY_LENGTH_OFFSET) as usize;
        Ok(Some(Header { length, checksum: read_u32(header, CHECKSUM_OFFSET) }))
    }
}

impl Header {
    /// Decodes the body, which must be exactly one value.
    pub fn decode_body<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, BodyError> {
        if self.checksum != crc32fast::hash(body) {
            return Err(BodyError::Checksum);
        }
        match postcard::take_from_bytes(body) {
            Ok((value, [])) => Ok(value),
            _ => Err(BodyError::Malformed),
        }
    }
}

fn read_u32(header: &[u8; HEADER_LENGTH], offset: usize) -> u32 {
    let [a, b, c, d] = [0, 1, 2, 3].map(|index| header[offset + index]);
    u32::from_be_bytes([a, b, c, d])
}
