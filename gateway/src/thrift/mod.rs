//! The platform's front: Thrift, framed transport, strict binary protocol.
//!
//! [`Session`] is the state of one client connection. It decodes calls, replies to those that need no decision, and
//! passes requests to its owner as actions.
mod cursor;
mod decode;
mod encode;
mod error;
mod protocol;
mod request;
mod session;

pub use error::{ProtocolError, RequestError};
pub use session::{Action, Context, Handled, Session, MAX_OPEN_REQUESTS};

#[cfg(test)]
mod tests;
