//! Clients of the platform's front: carries out the actions of their sessions.
use super::Gateway;
use crate::connection::{Connection, Role};
use crate::core::{ReplyHandle, Request, NO_CAPACITY_RETRY_AFTER};
use crate::slots::SlotKey;
use crate::thrift::{Action, Context, ProtocolError};
use larchway::MonotonicTime;

impl Gateway {
    /// Handles the first message of a client's input. Returns its length in bytes; 0 if it is incomplete. A reply
    /// that needs no decision is left in the output.
    pub(super) fn handle_platform_input(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        input: &[u8],
    ) -> Result<usize, ProtocolError> {
        let has_capacity = self.has_capacity(now, key);
        let context = Context {
            wire_settings: &self.wire_settings,
            has_endpoints: self.core.has_endpoints,
            has_capacity,
        };
        let Some(Connection { role: Role::PlatformClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return Ok(0);
        };
        let Some(handled) = session.handle(input, &context, output.tail())? else { return Ok(0) };
        match handled.action {
            Action::Submit { sequence, request } => {
                self.submit_platform_request(now, key, sequence, request);
                return Ok(handled.used);
            }
            Action::Reject { sequence, class } => {
                let retry_after = self.core.retry_after(Some(class), NO_CAPACITY_RETRY_AFTER);
                session.reject(sequence, retry_after, output.tail());
                self.core.count_rejected(class);
            }
            Action::Cancel(request) => self.core.client_left(now, request),
            Action::Flush => {}
        }
        Ok(handled.used)
    }

    fn submit_platform_request(&mut self, now: MonotonicTime, key: SlotKey, sequence: i32, request: Request) {
        let reply_to = ReplyHandle { connection: key, sequence: sequence as u64 };
        let call_id = request.call_id.clone();
        let admitted = self.core.admit(now, reply_to, request);
        let Some(Connection { role: Role::PlatformClient(session), output, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        match admitted {
            // Its final reply may be queued as a command already; sending that removes the entry again.
            Some(request) => session.admitted(sequence, request),
            None => {
                session.reject_duplicate(sequence, &call_id, output.tail());
            }
        }
    }
}
