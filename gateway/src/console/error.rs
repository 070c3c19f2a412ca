//! Why a call of the console cannot be carried out. Callers read the texts.
use super::call::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use super::Status;
use thiserror::Error;

/// Why an input is no call.
#[derive(Debug, Error)]
pub enum CallError {
    /// The caller has ended its side before the end of the head.
    #[error("the head is cut short")]
    HeadIncomplete,
    /// The caller has ended its side before the end of the body.
    #[error("the body is cut short")]
    BodyIncomplete,
    /// The head is too long.
    #[error("the head is over {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The head has too many fields.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The head is not HTTP/1.1.
    #[error("the head cannot be read: {0}")]
    InvalidHead(httparse::Error),
    /// The console has no such path.
    #[error("there is no {}", .0.escape_default())]
    UnknownPath(String),
    /// The path accepts another method.
    #[error("{path} takes {accepted}, not {}", method.escape_default())]
    WrongMethod {
        /// The path.
        path: String,
        /// The method of the call.
        method: String,
        /// The method that the path accepts.
        accepted: &'static str,
    },
    /// The body has a transfer coding.
    #[error("Transfer-Encoding is not read here: give Content-Length")]
    TransferEncoding,
    /// A call with a body has no length.
    #[error("Content-Length is missing")]
    LengthMissing,
    /// There are two lengths, which are two ways to read one message.
    #[error("Content-Length stands twice")]
    DuplicateLength,
    /// The length is not a number.
    #[error("Content-Length is no length")]
    InvalidLength,
    /// The body is too long.
    #[error("the body is over {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// Something follows a call without a body.
    #[error("there is more than one call on the connection")]
    SecondCall,
    /// The body is longer than its length.
    #[error("the body goes on behind its {length} bytes")]
    TrailingBytes {
        /// The length.
        length: usize,
    },
    /// The body is not JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON, and no object.
    #[error("the body is not an object")]
    NotObject,
    /// The body names no store.
    #[error("who is missing")]
    StoreMissing,
    /// The store is not named by a string.
    #[error("who must be a string")]
    StoreNotString,
    /// No call was complete in time.
    #[error("no call was finished in time")]
    Timeout,
}

impl CallError {
    /// The status of the reply.
    pub fn status(&self) -> Status {
        match self {
            CallError::HeadIncomplete
            | CallError::BodyIncomplete
            | CallError::InvalidHead(_)
            | CallError::DuplicateLength
            | CallError::InvalidLength
            | CallError::SecondCall
            | CallError::TrailingBytes { .. }
            | CallError::NotJson(_)
            | CallError::NotObject
            | CallError::StoreMissing
            | CallError::StoreNotString => Status::BadRequest,
            CallError::UnknownPath(_) => Status::NotFound,
            CallError::WrongMethod { .. } => Status::MethodNotAllowed,
            CallError::Timeout => Status::RequestTimeout,
            CallError::TransferEncoding | CallError::LengthMissing => Status::LengthRequired,
            CallError::BodyTooLong => Status::ContentTooLarge,
            CallError::HeadTooLong | CallError::TooManyHeaders => Status::HeaderFieldsTooLarge,
        }
    }
}
