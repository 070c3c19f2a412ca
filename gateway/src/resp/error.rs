//! Errors of the protocol with stores.
use thiserror::Error;

/// A violation of the protocol by a store. The connection has to be closed, since what follows cannot be trusted
/// either.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line does not start with the expected type prefix.
    #[error("found {found:?}, expected {expected:?}")]
    UnexpectedPrefix {
        /// The character found.
        found: char,
        /// The expected prefix.
        expected: char,
    },
    /// A line that states a length is too long.
    #[error("a length has too many digits")]
    LengthTooLong,
    /// A line that states a length does not end in CR LF.
    #[error("a line does not end in CR LF")]
    LineWithoutEnd,
    /// A length is not a decimal number.
    #[error("a length is not a number")]
    LengthNotNumber,
    /// An array has this number of strings, which no message has.
    #[error("an array of {0} strings")]
    ArrayLength(usize),
    /// A string has this number of bytes, which is above the limit.
    #[error("a string of {0} bytes is too long")]
    StringTooLong(usize),
    /// A string does not end in CR LF.
    #[error("a string does not end in CR LF")]
    StringWithoutEnd,
    /// The id, the status or the list of fields of a reply is too long.
    #[error("an id, a status or a list of fields is too long")]
    TextTooLong,
    /// The id, the status or the list of fields of a reply is not UTF-8.
    #[error("an id, a status or a list of fields is not UTF-8")]
    NotUtf8,
    /// A reply has this unknown status.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// A reply has a number of strings that does not fit its status.
    #[error("a reply {status:?} of {length} strings")]
    ReplyLength {
        /// The status.
        status: String,
        /// The number of strings.
        length: usize,
    },
    /// The list of fields of a reply is malformed or has an invalid value.
    #[error("the list of fields of a reply is invalid")]
    InvalidFields,
    /// A reply has a body that does not fit its status or is too long.
    #[error("a reply {status:?} with a body of {bytes} bytes")]
    InvalidBody {
        /// The status.
        status: String,
        /// Length of the body in bytes.
        bytes: usize,
    },
    /// A store replies that the client's copy is current although the request, with this call id, offered none.
    #[error("the reply to {0} is not modified, but no copy was offered")]
    NoCopyOffered(String),
}
