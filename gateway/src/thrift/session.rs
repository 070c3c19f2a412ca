//! The session of a client on the platform's front: a state machine that turns received bytes into actions. It does no
//! I/O and does not decide on requests.
use super::decode::{decode_frame, decode_message, Call, Message};
use super::encode::{write_answer, write_busy, write_exception, write_failed, Answer};
use super::error::{excerpt, ProtocolError};
use super::protocol::{method, PROTOCOL_ERROR, UNKNOWN_METHOD};
use super::request::read_request;
use crate::core::{FinalReply, Request};
use crate::slots::SlotKey;
use crate::spans::ceil_millis;
use crate::wire_settings::WireSettings;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::warn;

/// Maximum number of open requests on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// The field of a reply which states that the client's own copy is current.
const NOT_MODIFIED: (&str, &str) = ("keep", "1");

/// What a session needs to know of the gateway to handle a message.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Names and limits used by the wire protocols.
    pub wire_settings: &'a WireSettings,
    /// Whether a complete endpoint list was received.
    pub has_endpoints: bool,
    /// Whether the gateway has capacity for one more request of this client.
    pub has_capacity: bool,
}

/// What the owner of a session has to do.
#[derive(Debug)]
pub enum Action {
    /// Admit the request, then call [`Session::admitted`], or [`Session::reject_duplicate`] if its call is open
    /// already.
    Submit {
        /// The request's sequence number on the connection.
        sequence: i32,
        /// The request.
        request: Request,
    },
    /// Count the request as rejected, call [`Session::reject`], and send what is in the output.
    Reject {
        /// The request's sequence number on the connection.
        sequence: i32,
        /// The request's class.
        class: usize,
    },
    /// Cancel the open request, and send what is in the output.
    Cancel(SlotKey),
    /// Send what is in the output.
    Flush,
}

/// A message that was handled.
#[derive(Debug)]
pub struct Handled {
    /// Length of the message in bytes.
    pub used: usize,
    /// What the owner has to do.
    pub action: Action,
}

/// The state of a client connection: its open requests and the sequence numbers used.
#[derive(Debug, Default)]
pub struct Session {
    /// The open requests by sequence number.
    open: BTreeMap<i32, SlotKey>,
    /// The highest sequence number received.
    last_sequence: i32,
}

impl Session {
    /// Handles the first message of the input; none if it is incomplete. Replies that need no decision are appended to
    /// the output.
    pub fn handle(
        &mut self,
        input: &[u8],
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> Result<Option<Handled>, ProtocolError> {
        let Some((content, used)) = decode_frame(input)? else { return Ok(None) };
        let message = decode_message(content)?;
        self.check_sequence(&message)?;
        let action = self.handle_message(message, context, output);
        Ok(Some(Handled { used, action }))
    }

    /// Checks that the sequence number is new: a second reply under a number would be mistaken for that to the first
    /// request.
    fn check_sequence(&mut self, message: &Message<'_>) -> Result<(), ProtocolError> {
        if matches!(message.call, Call::Cancel(_)) {
            return Ok(());
        }
        let (sequence, last) = (message.sequence, self.last_sequence);
        if sequence <= last {
            return Err(ProtocolError::SequenceNotAscending { sequence, last });
        }
        self.last_sequence = sequence;
        Ok(())
    }

    fn handle_message(
        &mut self,
        message: Message<'_>,
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> Action {
        let sequence = message.sequence;
        match message.call {
            Call::Serve { fields, body } => {
                return self.handle_request(sequence, &fields, body, context, output);
            }
            Call::Cancel(cancelled) => {
                if let Some(request) = self.open.remove(&cancelled) {
                    return Action::Cancel(request);
                }
            }
            Call::HealthCheck => {
                let answer = Answer { fields: &[], body: &[], is_success: context.has_endpoints };
                write_answer(output, method::HEALTH_CHECK, sequence, answer);
            }
            Call::Unknown(name) => {
                write_exception(output, &excerpt(name), sequence, UNKNOWN_METHOD, "the method is unknown");
            }
        }
        Action::Flush
    }

    fn handle_request(
        &self,
        sequence: i32,
        fields: &[(&str, &str)],
        body: &[u8],
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> Action {
        match read_request(context.wire_settings, fields, body) {
            Ok(request) if context.has_capacity && self.open.len() < MAX_OPEN_REQUESTS => {
                Action::Submit { sequence, request }
            }
            Ok(request) => Action::Reject { sequence, class: request.class },
            Err(error) => {
                warn!(%error, "a request is malformed");
                let text = error.to_string();
                write_exception(output, method::SERVE, sequence, PROTOCOL_ERROR, &text);
                Action::Flush
            }
        }
    }

    /// Records that the request of a sequence number was admitted under this key.
    pub fn admitted(&mut self, sequence: i32, request: SlotKey) {
        self.open.insert(sequence, request);
    }

    /// Replies to a request whose call id is already in use by an open request.
    pub fn reject_duplicate(&self, sequence: i32, call_id: &str, output: &mut Vec<u8>) {
        warn!(call_id, "a request is malformed: its call id belongs to an open request");
        write_exception(output, method::SERVE, sequence, PROTOCOL_ERROR, "call is open already");
    }

    /// Replies to a request that is rejected before it is admitted. `retry_after`: when the client may retry; zero for
    /// no advice.
    pub fn reject(&self, sequence: i32, retry_after: Duration, output: &mut Vec<u8>) {
        write_busy(output, sequence, ceil_millis(retry_after));
    }

    /// Writes the final reply to a request and removes it from the open ones.
    pub fn finish(&mut self, sequence: i32, reply: &FinalReply<'_>, output: &mut Vec<u8>) {
        self.open.remove(&sequence);
        match reply {
            FinalReply::Served(served) if served.not_modified => {
                let answer = Answer { fields: &[NOT_MODIFIED], body: &[], is_success: true };
                write_answer(output, method::SERVE, sequence, answer);
            }
            FinalReply::Served(served) => {
                let answer = Answer { fields: &[], body: served.body, is_success: true };
                write_answer(output, method::SERVE, sequence, answer);
            }
            FinalReply::Rejected(retry_after) => self.reject(sequence, *retry_after, output),
            FinalReply::Failed(_) => write_failed(output, sequence),
        }
    }

    /// The requests that wait for their final reply, in order of sequence numbers.
    pub fn open_requests(&self) -> impl Iterator<Item = SlotKey> + '_ {
        self.open.values().copied()
    }

    /// The number of requests that wait for their final reply.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// Whether a request waits for its final reply.
    pub fn has_open_requests(&self) -> bool {
        !self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
