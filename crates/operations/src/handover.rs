//! Frames that two processes of one gateway exchange during an upgrade, with a version and a checksum. A frame that is
//! truncated, corrupt, of another format or of another version is rejected as a whole.
use crate::manual_ejection::{EjectionRecord, PeerEndpoint};
use larchway::{Learned, ServerId};
use larchway_endpoints::checksummed::{ChecksummedFormat, HeaderError, HEADER_LENGTH};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the frame encoding, increased with each change of it. Frames of another version are rejected: a field
/// that only one side knows would be decoded as something else.
pub const VERSION: u16 = 1;
const FORMAT: ChecksummedFormat = ChecksummedFormat { magic: b"larchops", version: VERSION };
/// Maximum length of a frame's body, in bytes. 10,000 objects with their records take about 1 MB.
pub const MAX_FRAME_LENGTH: usize = 8 << 20;

/// The state that a process of a gateway hands over to its successor.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// Names of the classes, in the order of the learned sending times.
    pub classes: Vec<String>,
    /// The learned state of the decision module.
    pub learned: Learned,
    /// The stores in the endpoint list; a store that is missing here has been delisted.
    pub stores: Vec<PeerEndpoint>,
}

/// The status of a process during an upgrade. The order of the fields is the encoding in frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Whether the process accepts clients.
    pub serving: bool,
    /// Whether the process has received the signal to stop.
    pub stopping: bool,
}

/// The amount of work that was sent to a store. The order of the fields is the encoding in frames.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StoreWork {
    /// The store.
    pub store: ServerId,
    /// The time that the store needs for the work, in microseconds.
    pub work_micros: f64,
}

/// A message between two processes of one gateway. The order of the variants is their encoding.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    /// Sent by a starting process to request the state of the other one.
    Hello {
        /// The gateway's name.
        name: String,
    },
    /// The reply to [`Frame::Hello`].
    State(Box<HandoverState>),
    /// The newest eject or restore request of operators for each store.
    EjectionRecords(Vec<EjectionRecord>),
    /// The work sent to stores in slow start since the last such frame. Both processes share one slow-start budget.
    SlowStartWork(Vec<StoreWork>),
    /// The sender's status.
    Status(ProcessStatus),
}

/// Why bytes are rejected as a frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes do not start with the magic number of frames.
    #[error("it was not written by larchway")]
    Foreign,
    /// The frame has another version than [`VERSION`].
    #[error("it is of version {0}, and {VERSION} is read here")]
    UnsupportedVersion(u16),
    /// The bytes end within the frame or continue after it.
    #[error("it is truncated or has trailing bytes")]
    Truncated,
    /// The body is longer than [`MAX_FRAME_LENGTH`].
    #[error("its body has {0} bytes, and the maximum is {MAX_FRAME_LENGTH}")]
    TooLong(usize),
    /// The checksum does not match, or the body cannot be decoded.
    #[error("it is corrupt: its checksum does not match, or its body cannot be decoded")]
    Corrupt,
}

impl From<HeaderError> for FrameError {
    fn from(error: HeaderError) -> Self {
        match error {
            HeaderError::Foreign => FrameError::Foreign,
            HeaderError::Version(version) => FrameError::UnsupportedVersion(version),
        }
    }
}

/// A frame decoded from the start of a stream.
#[derive(Debug, Clone)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// The encoded length of the frame with its header, in bytes.
    pub length: usize,
}

impl Frame {
    /// Encodes the frame with its header.
    pub fn encode(&self) -> Vec<u8> {
        FORMAT.encode(self)
    }

    /// Decodes the frame at the start of the input. Returns none while the frame is incomplete.
    pub fn decode_first(input: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
        let Some(header) = FORMAT.read_header(input)? else { return Ok(None) };
        if header.length > MAX_FRAME_LENGTH {
            return Err(FrameError::TooLong(header.length));
        }
        let length = HEADER_LENGTH + header.length;
        let Some(body) = input.get(HEADER_LENGTH..length) else { return Ok(None) };
        let frame = header.decode_body(body).map_err(|_| FrameError::Corrupt)?;
        Ok(Some(DecodedFrame { frame, length }))
    }

    /// Decodes bytes that hold exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
        match Frame::decode_first(bytes)? {
            Some(decoded) if decoded.length == bytes.len() => Ok(decoded.frame),
            _ => Err(FrameError::Truncated),
        }
    }
}
