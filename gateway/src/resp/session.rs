//! The session on a connection to a store: a state machine that knows which attempts the connection carries, is given
//! the bytes that come in, and answers with what they mean. It knows no socket and does not decide on attempts.
use super::error::ProtocolError;
use super::reply::{decode_load, decode_reply, Reply};
use super::request::encode_cancel;
use crate::slots::SlotKey;
use larchway::{ServerId, Status};
use std::collections::VecDeque;
use std::time::Duration;

/// Ids remembered of a connection, of which a further reply may come.
const MAX_REMEMBERED_IDS: usize = 64;
/// The time without a byte, while an attempt is in flight, from which a connection is in doubt.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time without a byte after which a reply that has begun does not go on.
pub const STALLED_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// What a session needs to know of the gateway to handle a reply.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Names of the values in a store's load report.
    pub load_fields: &'a [String],
    /// Whether the store of an attempt was informed of a copy that the client holds.
    pub is_copy_offered: &'a dyn Fn(SlotKey) -> bool,
}

/// The reply that ended an attempt.
#[derive(Debug)]
pub struct AttemptReply<'a> {
    /// The attempt, which the connection no longer carries.
    pub attempt: SlotKey,
    /// How it ended.
    pub status: Status,
    /// The store's load, by the order of the names; empty if it reported none.
    pub load: Vec<f64>,
    /// The reply.
    pub reply: Reply<'a>,
}

/// What a message of a store means.
#[derive(Debug)]
pub enum StoreInput<'a> {
    /// A probe was answered, with the store's load by the order of the names.
    LoadReport(Vec<f64>),
    /// An attempt has ended.
    Reply(AttemptReply<'a>),
    /// Nothing: a second reply, one to what was never sent here, or one to a probe that reports no load.
    Ignored,
}

/// A message that was handled.
#[derive(Debug)]
pub struct Handled<'a> {
    /// Bytes of the input that the message took.
    pub used: usize,
    /// What it means.
    pub input: StoreInput<'a>,
}

/// What is to become of a connection on which an attempt was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAbandon {
    /// It goes on.
    Continue,
    /// It carries nothing more and is in doubt: it is closed once what is in the output is sent.
    Close,
}

/// A connection to a store and what it carries.
pub struct Session {
    /// The store.
    pub store: ServerId,
    /// Attempts of which no byte is written.
    pub waiting: VecDeque<SlotKey>,
    /// Attempts written, by the id that they were sent under.
    pub open: Vec<(String, SlotKey)>,
    /// Ids answered or abandoned, of which a further reply may be on its way.
    finished_ids: VecDeque<String>,
    /// Whether an attempt was abandoned here of which nothing came: the next may be met by the same silence.
    pub is_doubtful: bool,
    /// Whether a part of the last attempt is still to be written.
    pub is_partly_written: bool,
}

impl Session {
    /// A connection that carries nothing.
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

    /// Whether it carries no attempt.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.waiting.is_empty()
    }

    /// How many attempts it carries.
    pub fn attempt_count(&self) -> usize {
        self.open.len() + self.waiting.len()
    }

    /// Whether an id is or was used here: a late or second reply to its first attempt must not pass for that to the
    /// next.
    pub fn has_used(&self, call_id: &str) -> bool {
        self.finished_ids.iter().any(|finished| finished == call_id)
            || self.open.iter().any(|(open, _)| open == call_id)
    }

    /// Takes an attempt off the connection and remembers its id.
    fn remove_open(&mut self, place: usize) -> SlotKey {
        let (call_id, attempt) = self.open.swap_remove(place);
        self.finished_ids.push_back(call_id);
        if self.finished_ids.len() > MAX_REMEMBERED_IDS {
            self.finished_ids.pop_front();
        }
        attempt
    }

    /// Handles the first reply of the input, if it is complete.
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
        // A second reply, or one to what was never sent here, says nothing of the others.
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

    /// Abandons an attempt: withdraws it if it waits, or appends its cancellation to the output. `silence`: the time
    /// since bytes last came in. Returns nothing if there is nothing to send.
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
        // Danger: a connection whose replies never come looks the idlest of all and is chosen again and again.
        self.is_doubtful |= silence >= SILENCE_TIMEOUT;
        encode_cancel(output, call_id);
        Some(if self.is_doubtful && self.is_idle() { AfterAbandon::Close } else { AfterAbandon::Continue })
    }
}

#[cfg(test)]
mod tests;
