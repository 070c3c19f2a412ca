//! Errors of the front for signed links, with the statuses that clients receive for them.
use crate::json_fields::KeyError;
use thiserror::Error;

/// Why a request may not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Denied {
    /// Neither signature nor token.
    #[error("a signature or token is needed")]
    Unsigned,
    /// A signature or token that cannot be read.
    #[error("the signature or token is malformed")]
    Malformed,
    /// The signature does not hold.
    #[error("the signature does not hold")]
    InvalidSignature,
    /// Its time is over.
    #[error("the link has expired")]
    Expired,
    /// Its time has not come.
    #[error("the link does not hold yet")]
    NotYetValid,
    /// A claim that is not met, or not supported here.
    #[error("a claim of the token is not met")]
    UnsatisfiedClaim,
    /// It is for another URI.
    #[error("the token is for something else")]
    OtherUri,
}

/// Why a path names no object that may be requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PathError {
    /// It does not have the form of a path, or names no class.
    #[error("there is nothing here")]
    NotFound,
    /// Its class is not one that links may name.
    #[error("this class is not passed on by links")]
    ClassNotLinked,
}

impl PathError {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            PathError::NotFound => 404,
            PathError::ClassNotLinked => 403,
        }
    }
}

/// Why a request for an object is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The path names no object.
    #[error(transparent)]
    Path(#[from] PathError),
    /// Its signature or token does not let it pass.
    #[error(transparent)]
    Denied(#[from] Denied),
    /// The gateway has no capacity for it.
    #[error("too much is under way")]
    NoCapacity,
    /// It has passed this gateway before.
    #[error("the request has been here before")]
    Loop,
}

impl RequestError {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Path(error) => error.status(),
            RequestError::Denied(_) => 403,
            RequestError::NoCapacity => 503,
            RequestError::Loop => 508,
        }
    }
}

/// No key has the name that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("there is no key {0:?}")]
pub struct UnknownKey(pub String);

/// Why no link or token is issued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IssueError {
    /// The order is not text.
    #[error("it is not UTF-8")]
    NotUtf8,
    /// The order is text of another form.
    #[error("it is not a JSON object")]
    NotJsonObject,
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The order names no path.
    #[error("path is missing")]
    PathMissing,
    /// The path names no object.
    #[error("path: {0}")]
    Path(#[from] PathError),
    /// The link would be valid for longer than this many seconds, which is the most.
    #[error("expires_in is {0} at most")]
    LifetimeTooLong(u64),
    /// Links are for other methods.
    #[error("method must be GET or HEAD")]
    Method,
    /// No key has the name that the order gives.
    #[error(transparent)]
    UnknownKey(#[from] UnknownKey),
    /// The order is for something else.
    #[error("kind: {0:?} is neither url nor token")]
    Kind(String),
}

impl IssueError {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            IssueError::Path(error) => error.status(),
            _ => 400,
        }
    }
}
