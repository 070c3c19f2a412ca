//! Why a stream of events cannot be read on. The texts are what is logged behind the source.
use std::time::Duration;
use thiserror::Error;

/// Why a stream cannot be read on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The response's head is malformed.
    #[error("its head is malformed: {0}")]
    Head(#[source] httparse::Error),
    /// The response's head is too long.
    #[error("its head is too long")]
    HeadTooLong,
    /// The status is not 200.
    #[error("it answered {status}")]
    Refused {
        /// The status.
        status: u16,
        /// `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// The content coding is neither gzip nor none.
    #[error("its content coding {0:?} is unknown")]
    ContentCoding(String),
    /// The size of a chunk is malformed.
    #[error("{0:?} is no chunk size")]
    ChunkSize(String),
    /// A chunk is too long.
    #[error("a chunk is too long")]
    ChunkTooLong,
    /// An event or line is too long.
    #[error("an event is too long")]
    EventTooLong,
    /// The body cannot be decoded, or decodes to too much.
    #[error("its body cannot be decoded: {0}")]
    Decode(#[from] DecodeError),
    /// The response has ended.
    #[error("it ended")]
    Ended,
}

/// Why the gzip content coding cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It does not begin with a gzip header without optional fields.
    #[error("its gzip header is none, or has optional fields")]
    Header,
    /// What follows the header is not in the deflate format.
    #[error("it is no deflate data")]
    Deflate,
    /// One piece of input decodes to too many bytes.
    #[error("it decodes to too much at once")]
    TooLarge,
}
