//! The protocol with stores, parents and the origin: RESP arrays of bulk strings.
//!
//! [`Session`] is the state of one connection: it tracks the attempts in flight and interprets the replies.
mod array;
mod error;
mod reply;
mod request;
mod session;

pub use array::{decode_array, encode_array, field, Array, MAX_STRING_BYTES};
pub use error::ProtocolError;
pub use reply::{decode_load, decode_reply, Reply};
pub use request::{encode_cancel, encode_load_probe, encode_request};
pub use session::{AfterAbandon, AttemptReply, Context, Handled, Session, StoreInput, STALLED_REPLY_TIMEOUT};

#[cfg(test)]
mod tests;
