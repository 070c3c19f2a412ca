//! Clients of the front for signed links: carries out the actions of their sessions.
use super::Gateway;
use crate::connection::{Connection, ConnectionState, Role};
use crate::core::{FinalReply, ReplyHandle, Request};
use crate::signed::{Action, AfterReply, Context, RequestError};
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use std::time::Duration;

/// The shortest Retry-After, passed to the core to query whether clients may be advised to retry at all.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_micros(1);

impl Gateway {
    /// Handles the first request of a client's input. Returns its length in bytes; 0 if it is incomplete or has to wait
    /// for the reply to an earlier one.
    pub(super) fn handle_signed_input(&mut self, now: MonotonicTime, key: SlotKey, input: &[u8]) -> usize {
        let is_stopping = self.is_stopping();
        let Some(Connection { role: Role::SignedClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return 0;
        };
        let context = Context {
            front: self.front.as_ref(),
            wire_settings: &self.wire_settings,
            has_endpoints: self.core.has_endpoints,
            is_stopping,
            may_advise_retry: self.core.retry_after(None, SHORTEST_RETRY_AFTER) > Duration::ZERO,
            unsent_bytes: output.len(),
        };
        let handled = session.handle(now, input, &context, output.tail());
        match handled.action {
            Action::None => {}
            Action::Flush => drop(self.flush(now, key)),
            Action::Reply(after) => self.send_signed_reply(now, key, after),
            Action::Submit { sequence, request } => {
                let reply_to = ReplyHandle { connection: key, sequence };
                match self.admit_signed_request(now, reply_to, *request) {
                    Ok(request) => self.record_admitted(key, request),
                    Err(error) => self.reject_signed_request(now, key, error),
                }
            }
        }
        handled.used
    }

    /// Submits a request to the core. Returns its key if it is admitted.
    fn admit_signed_request(
        &mut self,
        now: MonotonicTime,
        reply_to: ReplyHandle,
        mut request: Request,
    ) -> Result<SlotKey, RequestError> {
        if !self.has_capacity(now, reply_to.connection) {
            self.core.count_rejected(request.class);
            return Err(RequestError::NoCapacity);
        }
        if !self.admits_via(&request.via) {
            self.core.count_rejected(request.class);
            return Err(RequestError::Loop);
        }
        request.call_id = format!("{:016x}", self.random());
        self.core.admit(now, reply_to, request).ok_or(RequestError::NoCapacity)
    }

    fn record_admitted(&mut self, key: SlotKey, request: SlotKey) {
        if let Some(Connection { role: Role::SignedClient(session), .. }) = self.connections.get_mut(key) {
            session.admitted(request);
        }
    }

    fn reject_signed_request(&mut self, now: MonotonicTime, key: SlotKey, error: RequestError) {
        let is_stopping = self.is_stopping();
        let Some(Connection { role: Role::SignedClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        let may_advise_retry = self.core.retry_after(None, SHORTEST_RETRY_AFTER) > Duration::ZERO;
        let after = session.reject(error, may_advise_retry, is_stopping, output.tail());
        self.send_signed_reply(now, key, after);
    }

    /// Sends the final reply to a request and schedules the next request on the connection.
    pub(super) fn finish_signed_request(
        &mut self,
        now: MonotonicTime,
        reply_to: ReplyHandle,
        reply: &FinalReply<'_>,
    ) {
        let key = reply_to.connection;
        let is_stopping = self.is_stopping();
        let Some(Connection { role: Role::SignedClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        output.use_scratch(&mut self.memory.reply_scratch);
        let Some(after) = session.finish(reply_to.sequence, reply, is_stopping, output.tail()) else {
            return;
        };
        self.send_signed_reply(now, key, after);
        self.resume(key);
    }

    /// Sends the reply in the output; after the last reply, the connection is closed gracefully.
    fn send_signed_reply(&mut self, now: MonotonicTime, key: SlotKey, after: AfterReply) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if after == AfterReply::Finish && conn.state == ConnectionState::Open {
            conn.state = ConnectionState::Finishing;
        }
        self.flush(now, key);
    }
}
