//! Handles the frames of the server: the handshake response, replies and watch events.
use super::{Output, Session, SessionState, INITIAL_BACKOFF};
use crate::error::ProtocolError;
use crate::jute::{self, Frame, Reader};
use crate::proto::{self, Code, Connected, Op, ReplyHead, Request, Response};
use larchway::MonotonicTime;
use std::time::Duration;

impl Session {
    /// Handles all complete frames of the input buffer and keeps the incomplete rest.
    pub(super) fn read_frames(
        &mut self,
        now: MonotonicTime,
        out: &mut Vec<Output>,
    ) -> Result<(), ProtocolError> {
        let input = std::mem::take(&mut self.input);
        let mut offset = 0;
        while let Some(Frame { content, length }) = jute::frame(&input[offset..])? {
            offset += length;
            match self.state {
                SessionState::Handshaking { .. } => self.handle_handshake_response(now, content, out)?,
                SessionState::Established | SessionState::Closing { .. } => self.read_reply(content, out)?,
                // Frames after the one that ended the connection are ignored.
                _ => return Ok(()),
            }
        }
        if matches!(
            self.state,
            SessionState::Handshaking { .. } | SessionState::Established | SessionState::Closing { .. }
        ) {
            self.input = input[offset..].to_vec();
        }
        Ok(())
    }

    fn handle_handshake_response(
        &mut self,
        now: MonotonicTime,
        content: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), ProtocolError> {
        let connected = Connected::read(content)?;
        if connected.timeout <= 0 || connected.session == 0 {
            self.discard_session();
            out.push(Output::Expired);
            // Disconnects with backoff: a service that ends every session would otherwise be reconnected to at once.
            self.disconnect(now, "session expired".into(), out);
            return Ok(());
        }
        let fresh = connected.session != self.id;
        self.timeout = Duration::from_millis(u64::from(connected.timeout.unsigned_abs()));
        (self.id, self.password) = (connected.session, connected.password);
        (self.state, self.backoff, self.next_server) = (SessionState::Established, INITIAL_BACKOFF, 0);
        (self.disconnected_since, self.failed_handshakes) = (None, 0);
        for credential in &self.config.credentials {
            let auth = Request::Auth(credential.clone());
            out.push(Output::Write(auth.framed(proto::AUTH_XID)));
        }
        out.push(Output::Established { session: self.id, fresh, timeout: self.timeout });
        Ok(())
    }

    fn read_reply(&mut self, content: &[u8], out: &mut Vec<Output>) -> Result<(), ProtocolError> {
        let mut reader = Reader::new(content);
        let ReplyHead { xid, zxid, error } = proto::read_reply_head(&mut reader)?;
        if zxid > 0 && xid != proto::EVENT_XID {
            if zxid < self.last_zxid {
                return Err(ProtocolError::StaleServer { zxid, last_zxid: self.last_zxid });
            }
            self.last_zxid = zxid;
        }
        match xid {
            proto::EVENT_XID => {
                let event = proto::read_event(&mut reader)?;
                out.push(Output::WatchEvent(event));
            }
            proto::PING_XID => {
                self.unanswered_pings = self
                    .unanswered_pings
                    .checked_sub(1)
                    .ok_or(ProtocolError::UnexpectedXid { received: xid, expected: 0 })?;
            }
            proto::AUTH_XID => {
                if error.is_some() {
                    out.push(Output::CredentialsRejected);
                }
            }
            _ => self.handle_response(xid, zxid, error, &mut reader, out)?,
        }
        Ok(())
    }

    /// Reads the reply to the oldest request in flight: a server replies in the order of the requests.
    fn handle_response(
        &mut self,
        xid: i32,
        zxid: i64,
        error: Option<Code>,
        reader: &mut Reader<'_>,
        out: &mut Vec<Output>,
    ) -> Result<(), ProtocolError> {
        let unexpected = |expected| ProtocolError::UnexpectedXid { received: xid, expected };
        let request = *self.in_flight.front().ok_or(unexpected(0))?;
        if request.xid != xid {
            return Err(unexpected(request.xid));
        }
        let body = match error {
            None => Ok(Response::read(request.op, reader)?),
            Some(code) => Err(code),
        };
        self.in_flight.pop_front();
        if request.op == Op::Close {
            self.state = SessionState::Closed;
            self.discard_session();
            out.extend([Output::Disconnect("session closed".into()), Output::Closed]);
            return Ok(());
        }
        let expired = body == Err(Code::SessionExpired);
        out.push(Output::Response { token: request.token, zxid, body });
        if expired {
            self.discard_session();
            out.push(Output::Expired);
            self.disconnect(self.last_received_at, "session expired".into(), out);
        }
        Ok(())
    }
}
