//! Errors in the data that the peer of a connection sent.
use thiserror::Error;

/// A violation of the protocol by a frame. The frame is discarded as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The frame ends within the named field.
    #[error("a frame ends within {0}")]
    Truncated(&'static str),
    /// This number of bytes follows the last field of the record.
    #[error("{0} bytes are left behind a record")]
    TrailingBytes(usize),
    /// The length prefix of a frame, read as unsigned, exceeds the maximum frame size.
    #[error("a frame of {0} bytes")]
    FrameLength(i64),
    /// The length or count of the named field is negative and not -1, or exceeds the rest of the frame.
    #[error("{0} has a length of {1}")]
    FieldLength(&'static str, i32),
    /// The named string field is not UTF-8.
    #[error("{0} is not UTF-8")]
    InvalidUtf8(&'static str),
    /// The number is not a value of the named field, such as an operation, an error, an event type or a mode.
    #[error("{0} {1} is unknown")]
    UnknownValue(&'static str, i32),
    /// A reply does not belong to the oldest request in flight.
    #[error("an answer to {received} where {} is due", expected_text(*expected))]
    UnexpectedXid {
        /// The xid of the reply.
        received: i32,
        /// The xid of the oldest request in flight; 0 if none is in flight.
        expected: i32,
    },
    /// The zxid of a reply is below the last zxid that this session has seen.
    #[error("the server is at {zxid:#x}, behind {last_zxid:#x}")]
    StaleServer {
        /// The zxid in the reply.
        zxid: i64,
        /// The last zxid that the session has seen.
        last_zxid: i64,
    },
}

fn expected_text(xid: i32) -> String {
    match xid {
        0 => "none".into(),
        xid => xid.to_string(),
    }
}
