//! Clients of the front for signed links: carries out the actions of their sessions.
use super::Gateway;
use crate::connection::{Connection, ConnectionState, Role};
use crate::core::{FinalReply, ReplyHandle, Request};
use crate::signed::{Action, AfterReply, Context, RequestError};
use crate::slots::Key;
use larchway::MonotonicTime;
use std::time::Duration;

/// The shortest time after which a client of this front can be advised to retry, as the core is queried for it.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_micros(1);

impl Gateway {
    /// Takes one request off the input of a client's connection. Returns how many bytes it took; 0 if it is
    /// incomplete or waits for the reply to the one before.
    pub(super) fn handle_signed_input(&mut self, now: MonotonicTime, key: Key, input: &[u8]) -> usize {
        let is_stopping = self.stopping();
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
            unsent_bytes: output.rest().len(),
        };
        let handled = session.handle(now, input, &context, &mut output.bytes);
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

    /// Has the core admit a request. Returns its key.
    fn admit_signed_request(
        &mut self,
        now: MonotonicTime,
        reply_to: ReplyHandle,
        mut request: Request,
    ) -> Result<Key, RequestError> {
        if !self.has_capacity(reply_to.connection) {
            self.core.count_rejected(request.class);
            return Err(RequestError::NoCapacity);
        }
        if !self.may_pass(&request.via) {
            self.core.count_rejected(request.class);
            return Err(RequestError::Loop);
        }
        request.call_id = format!("{:016x}", self.random());
        self.core.admit(now, reply_to, request).ok_or(RequestError::NoCapacity)
    }

    fn record_admitted(&mut self, key: Key, request: Key) {
        if let Some(Connection { role: Role::SignedClient(session), .. }) = self.connections.get_mut(key) {
            session.admitted(request);
        }
    }

    fn reject_signed_request(&mut self, now: MonotonicTime, key: Key, error: RequestError) {
        let is_stopping = self.stopping();
        let Some(Connection { role: Role::SignedClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        let may_advise_retry = self.core.retry_after(None, SHORTEST_RETRY_AFTER) > Duration::ZERO;
        let after = session.reject(error, may_advise_retry, is_stopping, &mut output.bytes);
        self.send_signed_reply(now, key, after);
    }

    /// Gives the final reply to a request and lets the next one on the connection be handled.
    pub(super) fn finish_signed_request(
        &mut self,
        now: MonotonicTime,
        reply_to: ReplyHandle,
        reply: &FinalReply<'_>,
    ) {
        let key = reply_to.connection;
        let is_stopping = self.stopping();
        let Some(Connection { role: Role::SignedClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        let Some(after) = session.finish(reply_to.sequence, reply, is_stopping, &mut output.bytes) else {
            return;
        };
        self.send_signed_reply(now, key, after);
        self.resume(key);
    }

    /// Sends a reply that is in the output; the connection is closed in order after the last one.
    fn send_signed_reply(&mut self, now: MonotonicTime, key: Key, after: AfterReply) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if after == AfterReply::Finish && conn.state == ConnectionState::Open {
            conn.state = ConnectionState::Finishing;
        }
        self.flush(now, key);
    }
}
