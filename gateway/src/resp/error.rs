//! Errors of the wire to stores.
use thiserror::Error;

/// Why the bytes of a store cannot be understood. Nothing that follows on the connection can be trusted either.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line begins with another character than the one that announces its length.
    #[error("{found:?} where {expected:?} is due")]
    UnexpectedPrefix {
        /// The character that is there.
        found: char,
        /// The character that must be there.
        expected: char,
    },
    /// The line with a length does not end.
    #[error("a length is too long")]
    LengthTooLong,
    /// The line with a length ends otherwise.
    #[error("a line does not end in CR LF")]
    LineWithoutEnd,
    /// A length has other characters than digits.
    #[error("a length is not a number")]
    LengthNotNumber,
    /// An array has this many strings, which no message has.
    #[error("an array of {0}")]
    ArrayLength(usize),
    /// A string has this many bytes, which is too many.
    #[error("a string of {0} bytes")]
    StringTooLong(usize),
    /// A string ends otherwise.
    #[error("a string does not end in CR LF")]
    StringWithoutEnd,
    /// The id, the status or the list of fields of a reply is too long.
    #[error("a word is too long")]
    TextTooLong,
    /// The id, the status or the list of fields of a reply is not text.
    #[error("a word is not UTF-8")]
    NotUtf8,
    /// A reply has this status, which is unknown.
    #[error("the word {0:?}")]
    UnknownStatus(String),
    /// A reply of a status has another number of strings than it must have.
    #[error("{status} in {length} words")]
    ReplyLength {
        /// The status.
        status: String,
        /// How many strings there are.
        length: usize,
    },
    /// The list of fields of a reply does not have its form, or a value that it cannot have.
    #[error("its fields cannot be read")]
    InvalidFields,
    /// A reply of a status has a body that it cannot have.
    #[error("{status} with {bytes} bytes")]
    InvalidBody {
        /// The status.
        status: String,
        /// Bytes of the body.
        bytes: usize,
    },
    /// A store says that the client's copy is current, and was offered none.
    #[error("{0} is told that its copy holds, and has none")]
    NoCopyOffered(String),
}
