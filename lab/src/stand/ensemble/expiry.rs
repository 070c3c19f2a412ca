//! How sessions end, and with them the ephemeral nodes that they own.
use super::client::ClientConnection;
use super::session::UNKNOWN_SESSION;
use super::state::Ensemble;
use super::transaction::{superuser, ANY_VERSION};
use larchway::Micros;
use larchway_zookeeper::proto::Request;

impl Ensemble {
    /// Ends a session, and with it its nodes.
    pub fn end(&mut self, now: Micros, session: i64) {
        if self.sessions.remove(&session).is_none() && session == UNKNOWN_SESSION {
            return;
        }
        let owned = self.tree().iter().filter(|(_, node)| node.stat.owner == session);
        let owned: Vec<String> = owned.map(|(path, _)| path.clone()).collect();
        if owned.is_empty() {
            return;
        }
        // As the published server does: one commit ends all that a session owned.
        let mut transaction = self.transaction(now, UNKNOWN_SESSION, vec![superuser()]);
        for path in owned {
            // A node that cannot be deleted stays.
            let _ = transaction.apply(&Request::Delete(path, ANY_VERSION));
        }
        self.commit(transaction);
    }

    /// Servers that are stalled no more handle what has waited, and sessions whose clients were silent for their
    /// time-out expire. While no server answers, none expires.
    pub fn tick(&mut self, now: Micros) {
        self.resume_waiting(now);
        if self.servers.iter().all(|server| server.stalled || server.refusing) {
            self.sessions.values_mut().for_each(|session| session.last_active = now);
            return;
        }
        let expired = self.sessions.iter().filter(|(_, session)| session.is_expired(now));
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for session in expired {
            self.end(now, session);
            self.close_where(|_, client| client.session == session);
        }
    }

    /// Handles input and output that waited for servers which are stalled no more.
    fn resume_waiting(&mut self, now: Micros) {
        let answers = |client: &ClientConnection| !self.servers[client.server].stalled;
        let waits =
            |client: &ClientConnection| !(client.input.is_empty() && client.pending_output.is_empty());
        let waiting = self.connections.iter().filter(|(_, client)| answers(client) && waits(client));
        let waiting: Vec<u64> = waiting.map(|(id, _)| *id).collect();
        for connection in waiting {
            let client = self.connections.get_mut(&connection);
            let output = client.map(|client| std::mem::take(&mut client.pending_output)).unwrap_or_default();
            output.into_iter().for_each(|bytes| self.write(connection, bytes));
            self.receive(now, connection, &[]);
        }
    }
}
