//! Errors of the front for signed links, with their HTTP statuses.
use crate::json_fields::KeyError;
use thiserror::Error;

/// Why a request's signature or token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Denied {
    /// The request has neither a signature nor a token.
    #[error("a signature or token is needed")]
    Unsigned,
    /// The signature or token cannot be parsed.
    #[error("the signature or token is malformed")]
    Malformed,
    /// The signature is invalid, or its key or algorithm is unknown.
    #[error("the signature does not hold")]
    InvalidSignature,
    /// The link or token has expired.
    #[error("the link has expired")]
    Expired,
    /// The link or token is not valid yet.
    #[error("the link does not hold yet")]
    NotYetValid,
    /// A claim of the token is not satisfied or not supported.
    #[error("a claim of the token is not met")]
    UnsatisfiedClaim,
    /// The token is for another URI.
    #[error("the token is for something else")]
    OtherUri,
}

/// Why a path does not name an object that may be requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path does not have the required form, or its class does not exist.
    #[error("there is nothing here")]
    NotFound,
    /// Links are not allowed for the class.
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
    /// The path does not name an object.
    #[error(transparent)]
    Path(#[from] PathError),
    /// The signature or token is rejected.
    #[error(transparent)]
    Denied(#[from] Denied),
    /// The gateway has no capacity for the request.
    #[error("too much is under way")]
    NoCapacity,
    /// The request has passed this gateway before.
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

/// There is no key of the requested name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("there is no key {0:?}")]
pub struct UnknownKey(pub String);

/// Why no link or token is issued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IssueError {
    /// The request body is not UTF-8.
    #[error("it is not UTF-8")]
    NotUtf8,
    /// The request body is not a JSON object.
    #[error("it is not a JSON object")]
    NotJsonObject,
    /// A key of the JSON object has an invalid value.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The path is missing.
    #[error("path is missing")]
    PathMissing,
    /// The path does not name an object.
    #[error("path: {0}")]
    Path(#[from] PathError),
    /// The requested lifetime exceeds this maximum, in seconds.
    #[error("expires_in is {0} at most")]
    LifetimeTooLong(u64),
    /// The method is not one that links can be issued for.
    #[error("method must be GET or HEAD")]
    Method,
    /// There is no signing key of the requested name.
    #[error(transparent)]
    UnknownKey(#[from] UnknownKey),
    /// The requested kind is neither a link nor a token.
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
