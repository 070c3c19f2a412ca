//! Changes and faults that trials and tests make by hand.
use super::session::UNKNOWN_SESSION;
use super::state::Ensemble;
use super::transaction::ANY_VERSION;
use larchway::Micros;
use larchway_zookeeper::proto::{Acl, Mode, Request};
use std::collections::BTreeSet;

impl Ensemble {
    /// Breaks all connections to a server; sessions last.
    pub fn cut(&mut self, server: usize) {
        self.close_where(|_, client| client.server == server);
    }

    /// Ends all sessions that own a node below a path, at once.
    pub fn expire_below(&mut self, now: Micros, path: &str) {
        let prefix = format!("{path}/");
        let below = self.tree().range(prefix.clone()..).take_while(|(path, _)| path.starts_with(&prefix));
        let owners = below.map(|(_, node)| node.stat.owner).filter(|owner| *owner != UNKNOWN_SESSION);
        let owners: BTreeSet<i64> = owners.collect();
        owners.into_iter().for_each(|session| self.end(now, session));
    }

    /// Creates a node and its parents, or changes its data; it is owned by this session (0: none).
    pub fn put(&mut self, now: Micros, path: &str, data: &[u8], owner: i64) {
        let mut transaction = self.transaction(now, owner, Vec::new());
        let mode = if owner == UNKNOWN_SESSION { Mode::Persistent } else { Mode::Ephemeral };
        let parents = path.match_indices('/').skip(1).map(|(end, _)| &path[..end]);
        let mut requests: Vec<Request> =
            parents.map(|parent| create_request(parent, b"", Mode::Persistent)).collect();
        requests.push(create_request(path, data, mode));
        requests.push(Request::SetData(path.into(), data.to_vec(), ANY_VERSION));
        for request in &requests {
            // Nodes that exist already stay.
            let _ = transaction.apply(request);
        }
        self.commit(transaction);
    }

    /// Deletes a node.
    pub fn take(&mut self, now: Micros, path: &str) {
        let mut transaction = self.transaction(now, UNKNOWN_SESSION, Vec::new());
        if transaction.apply(&Request::Delete(path.into(), ANY_VERSION)).is_ok() {
            self.commit(transaction);
        }
    }
}

fn create_request(path: &str, data: &[u8], mode: Mode) -> Request {
    Request::Create { path: path.into(), data: data.to_vec(), acl: Acl::open(), mode, stat: false }
}
