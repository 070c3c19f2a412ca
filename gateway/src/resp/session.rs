//! The session on a connection to a store: a state machine that tracks the attempts on the connection and interprets
//! the received bytes. It does no I/O and does not decide on attempts.
use super::error::ProtocolError;
use super::reply::{decode_load, decode_reply, Reply};
use super::request::encode_cancel;
use crate::slots::SlotKey;
use larchway::{ServerId, Status};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of finished call ids remembered per connection, to which late replies may arrive.
const MAX_REMEMBERED_IDS: usize = 64;
/// Time without received bytes after which a connection on which an attempt is abandoned is doubtful.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without received bytes after which an incomplete reply is stalled and its connection is closed.
pub const STALLED_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// What a session needs to know of the gateway to handle a reply.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Names of the values in a store's load report.
    pub load_fields: &'a [String],
    /// Whether the request of an attempt offered a copy that the client holds.
    pub is_copy_offered: &'a dyn Fn(SlotKey) -> bool,
}

/// The reply that ended an attempt.
#[derive(Debug)]
pub struct AttemptReply<'a> {
    /// The attempt, which is removed from the session.
    pub attempt: SlotKey,
    /// The outcome of the attempt.
    pub status: Status,
    /// The store's load, in the order of [`Context::load_fields`]; empty if the reply has no load report.
    pub load: Vec<f64>,
    /// The reply.
    pub reply: Reply<'a>,
}

/// The interpretation of a store's message.
#[derive(Debug)]
pub enum StoreInput<'a> {
    /// The reply to a probe, with the store's load in the order of [`Context::load_fields`].
    LoadReport(Vec<f64>),
    /// The reply that ends an attempt.
    Reply(AttemptReply<'a>),
    /// A message without effect: a duplicate reply, a reply to an unknown id, or a probe reply without a load report.
    Ignored,
}

/// A message that was handled.
#[derive(Debug)]
pub struct Handled<'a> {
    /// Length of the message in bytes.
    pub used: usize,
    /// The interpretation of the message.
    pub input: StoreInput<'a>,
}

/// What the owner has to do with a connection after an attempt on it was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAbandon {
    /// Keep the connection open.
    Continue,
    /// Close the connection once the output is sent: it is doubtful and carries no more attempts.
    Close,
}

/// The state of a connection to a store.
pub struct Session {
    /// The store.
    pub store: ServerId,
    /// Attempts of which no byte was written yet.
    pub waiting: VecDeque<SlotKey>,
    /// Attempts that were written, fully or in part, with their call ids.
    pub open: Vec<(String, SlotKey)>,
    /// Call ids of answered or abandoned attempts, to which late replies may arrive.
    finished_ids: VecDeque<String>,
    /// Whether an attempt was abandoned after the silence time-out and nothing was received since: further attempts may
    /// get no reply either.
    pub is_doubtful: bool,
    /// Whether the last attempt is only partly written.
    pub is_partly_written: bool,
}

impl Session {
    /// The session of a new connection, without attempts.
    pub fn new(store: ServerId) -> Self {
        Session {
            store,
            waiting: VecDeque::new(),
            open: Vec::new(),
            finished_ids: VecDeque::new(),
            is_doubtful: false,
            is_partly_written: false,
        }
    }

    /// Whether the connection carries no attempts.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.waiting.is_empty()
    }

    /// Number of attempts on the connection.
    pub fn attempt_count(&self) -> usize {
        self.open.len() + self.waiting.len()
    }

    /// Whether a call id is or was used on this connection. It must not be used again: a late or duplicate reply to the
    /// first attempt would be mistaken for the reply to the next.
    pub fn has_used(&self, call_id: &str) -> bool {
        self.finished_ids.iter().any(|finished| finished == call_id)
            || self.open.iter().any(|(open, _)| open == call_id)
    }

    /// Removes a written attempt and remembers its call id.
    fn remove_open(&mut self, place: usize) -> SlotKey {
        let (call_id, attempt) = self.open.swap_remove(place);
        self.finished_ids.push_back(call_id);
        if self.finished_ids.len() > MAX_REMEMBERED_IDS {
            self.finished_ids.pop_front();
        }
        attempt
    }

    /// Handles the first reply of the input; none if it is incomplete.
    pub fn handle<'a>(
        &mut self,
        input: &'a [u8],
        context: &Context<'_>,
    ) -> Result<Option<Handled<'a>>, ProtocolError> {
        let Some((reply, used)) = decode_reply(input)? else { return Ok(None) };
        self.is_doubtful = false;
        let input = self.handle_reply(reply, context)?;
        Ok(Some(Handled { used, input }))
    }

    fn handle_reply<'a>(
        &mut self,
        reply: Reply<'a>,
        context: &Context<'_>,
    ) -> Result<StoreInput<'a>, ProtocolError> {
        let load = reply.load_report.map(|report| decode_load(report, context.load_fields));
        let Some(status) = reply.status else {
            return Ok(load.map_or(StoreInput::Ignored, StoreInput::LoadReport));
        };
        // A duplicate reply or one to an unknown id is ignored and does not affect the open attempts.
        let Some(place) = self.open.iter().position(|(call_id, _)| call_id == reply.id) else {
            return Ok(StoreInput::Ignored);
        };
        let (call_id, attempt) = &self.open[place];
        if reply.not_modified && !(context.is_copy_offered)(*attempt) {
            return Err(ProtocolError::NoCopyOffered(call_id.clone()));
        }
        let attempt = self.remove_open(place);
        Ok(StoreInput::Reply(AttemptReply { attempt, status, load: load.unwrap_or_default(), reply }))
    }

    /// Abandons an attempt: removes it if it is unsent, otherwise appends its cancellation to the output. `silence`:
    /// the time since bytes were last received. Returns none if there is nothing to send.
    pub fn abandon(
        &mut self,
        attempt: SlotKey,
        call_id: &str,
        silence: Duration,
        output: &mut Vec<u8>,
    ) -> Option<AfterAbandon> {
        self.waiting.retain(|waiting| *waiting != attempt);
        let place = self.open.iter().position(|(_, open)| *open == attempt)?;
        self.remove_open(place);
        // Marked as doubtful: a connection that never replies has the fewest attempts and would be chosen again and
        // again.
        self.is_doubtful |= silence >= SILENCE_TIMEOUT;
        encode_cancel(output, call_id);
        Some(if self.is_doubtful && self.is_idle() { AfterAbandon::Close } else { AfterAbandon::Continue })
    }
}

#[cfg(test)]
mod tests;
