//! Connections of clients: frames, and the handshake that opens a session or takes one over.
use super::client::ClientConnection;
use super::session::{Session, UNKNOWN_SESSION};
use super::state::{Ensemble, SocketAction};
use larchway::Micros;
use larchway_zookeeper::error::ProtocolError;
use larchway_zookeeper::jute;
use larchway_zookeeper::proto::{Code, Connect, Connected, ReceivedRequest, Reply, Request, Response};

/// Bytes of a session's password.
const PASSWORD_LENGTH: usize = 16;

impl Ensemble {
    /// A client has connected to a server.
    pub fn accept(&mut self, connection: u64, server: usize) {
        if self.servers[server].refusing {
            return self.actions.push(SocketAction::Close(connection));
        }
        let accepted = ClientConnection { server, ..ClientConnection::default() };
        self.connections.insert(connection, accepted);
    }

    /// A client's connection has ended; its session lasts until it expires.
    pub fn disconnected(&mut self, connection: u64) {
        self.connections.remove(&connection);
    }

    /// A client has sent bytes. A stalled server handles them later.
    pub fn receive(&mut self, now: Micros, connection: u64, bytes: &[u8]) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.input.extend_from_slice(bytes);
        if self.servers[client.server].stalled {
            return;
        }
        let input = std::mem::take(&mut client.input);
        let mut handled = 0;
        loop {
            match jute::frame(&input[handled..]) {
                Ok(Some(jute::Frame { content, length })) => {
                    handled += length;
                    self.handle_frame(now, connection, content);
                }
                Ok(None) => break,
                Err(_) => return self.close(connection),
            }
        }
        if let Some(client) = self.connections.get_mut(&connection) {
            client.input = input[handled..].to_vec();
        }
    }

    pub(super) fn close(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_some() {
            self.actions.push(SocketAction::Close(connection));
        }
    }

    /// Closes all connections of which this holds.
    pub(super) fn close_where(&mut self, is_closed: impl Fn(u64, &ClientConnection) -> bool) {
        let matching = self.connections.iter().filter(|(id, client)| is_closed(**id, client));
        let matching: Vec<u64> = matching.map(|(id, _)| *id).collect();
        matching.into_iter().for_each(|id| self.close(id));
    }

    pub(super) fn write(&mut self, connection: u64, mut bytes: Vec<u8>) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let server = &mut self.servers[client.server];
        if server.stalled {
            return client.pending_output.push(bytes);
        }
        if std::mem::take(&mut server.truncates_next_frame) {
            bytes.truncate(bytes.len() / 2);
            self.actions.push(SocketAction::Write(connection, bytes));
            return self.close(connection);
        }
        self.actions.push(SocketAction::Write(connection, bytes));
    }

    pub(super) fn reply(&mut self, connection: u64, xid: i32, body: Result<Response, Code>) {
        let Some(client) = self.connections.get(&connection) else { return };
        let zxid = self.servers[client.server].applied;
        self.write(connection, Reply { xid, zxid, body }.framed());
    }

    fn handle_frame(&mut self, now: Micros, connection: u64, content: &[u8]) {
        let Some(client) = self.connections.get(&connection) else { return };
        if !client.handshake_done {
            return match Connect::read(content) {
                Ok(connect) => self.handshake(now, connection, &connect),
                Err(_) => self.close(connection),
            };
        }
        match self.sessions.get_mut(&client.session) {
            Some(session) => session.last_active = now,
            None => return self.close(connection),
        }
        match Request::read(content) {
            Ok(ReceivedRequest { xid, request }) => self.handle_request(now, connection, xid, request),
            Err(ProtocolError::UnknownValue("operation", _)) => {
                let xid = content.first_chunk::<4>().map_or(0, |bytes| i32::from_be_bytes(*bytes));
                self.reply(connection, xid, Err(Code::Unimplemented));
            }
            Err(_) => self.close(connection),
        }
    }

    fn handshake(&mut self, now: Micros, connection: u64, connect: &Connect) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.handshake_done = true;
        // As the published server does: a client that has seen more than this server knows must go elsewhere.
        if connect.last_zxid_seen > self.servers[client.server].applied {
            return self.close(connection);
        }
        let granted = self.grant_session(now, connect);
        if let Some(client) = self.connections.get_mut(&connection) {
            client.session = granted.session;
        }
        let is_granted = granted.session != UNKNOWN_SESSION;
        // A session has one connection only.
        self.close_where(|id, other| is_granted && id != connection && other.session == granted.session);
        self.write(connection, granted.framed());
        if !is_granted {
            self.close(connection);
        }
    }

    /// Opens a session, or resumes the one that the client names if its password is right.
    fn grant_session(&mut self, now: Micros, connect: &Connect) -> Connected {
        if connect.session == UNKNOWN_SESSION {
            self.last_session += 1;
            let session = Session::new(self.last_session, connect.timeout, now);
            let granted = session.granted(self.last_session);
            self.sessions.insert(self.last_session, session);
            return granted;
        }
        match self.sessions.get_mut(&connect.session) {
            Some(session) if session.password == connect.password => {
                session.last_active = now;
                session.granted(connect.session)
            }
            _ => Connected { timeout: 0, session: UNKNOWN_SESSION, password: vec![0; PASSWORD_LENGTH] },
        }
    }
}
