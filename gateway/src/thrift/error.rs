//! Errors of the protocol with the platform's clients.
use thiserror::Error;

/// Maximum number of characters of a client's text that replies and the log repeat: replies to a client that does not
/// read are buffered.
const MAX_EXCERPT_CHARS: usize = 64;

/// The beginning of a client's text, as replies and the log repeat it.
pub(super) fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}

/// A violation of the protocol by a client. The connection has to be closed, since what follows cannot be trusted
/// either.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A length exceeds the rest of the frame.
    #[error("a length exceeds the rest of the frame")]
    LengthBeyondFrame,
    /// A length is negative.
    #[error("a length is negative")]
    NegativeLength,
    /// A string is not valid UTF-8.
    #[error("a string is not UTF-8")]
    NotUtf8,
    /// The fields of a request are not a map from strings to strings.
    #[error("a map is not from strings to strings")]
    MapNotOfStrings,
    /// A map has more entries than its frame can hold.
    #[error("a map is longer than its frame")]
    MapBeyondFrame,
    /// The value of an unknown field is nested too deeply.
    #[error("values are nested too deeply")]
    NestedTooDeep,
    /// A value has this unknown type.
    #[error("unknown value type {0}")]
    UnknownType(u8),
    /// A frame's header states this length in bytes, which is above the limit.
    #[error("a frame of {0} bytes is too long")]
    FrameTooLong(u32),
    /// The first four bytes of a message are not those of the strict binary protocol.
    #[error("message header {0:#x} is not of the strict binary protocol")]
    NotStrictBinary(u32),
    /// A message is neither a call nor a one-way call.
    #[error("unexpected message type {0}")]
    UnexpectedMessageType(u8),
    /// Bytes follow the message in its frame.
    #[error("a frame is longer than its message")]
    TrailingBytes,
    /// A sequence number is not higher than the last one on the connection.
    #[error("sequence number {sequence} is not above {last}")]
    SequenceNotAscending {
        /// The sequence number of the message.
        sequence: i32,
        /// The highest sequence number before it.
        last: i32,
    },
}

/// Why a request is invalid. It is answered with an exception, and the connection stays open.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// A field has an invalid value.
    #[error("{field} cannot be {value:?}")]
    InvalidValue {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
    /// This required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// This field is given more than once.
    #[error("{0} stands twice")]
    Duplicate(String),
    /// This operation is not the name of a class.
    #[error("op {0:?} is unknown")]
    UnknownOperation(String),
    /// The time-out is 0, or the body is too long.
    #[error("ttl {timeout_ms} with a body of {body_bytes} bytes")]
    TimeoutOrBody {
        /// The client's time-out in ms.
        timeout_ms: u64,
        /// Length of the body in bytes.
        body_bytes: usize,
    },
}
