//! Requests of clients: reads from a server's tree, writes through the log.
use super::state::Ensemble;
use super::tree::{children, digest, is_valid_path, stat, Identity, Node, Tree, READ};
use super::watches::RestoredWatches;
use larchway::Micros;
use larchway_zookeeper::proto::{Code, Credential, Request, Response, Stat, Watch};

/// The scheme of credentials that are `user:password`.
const DIGEST_SCHEME: &str = "digest";

/// Which one-time watch a read sets.
#[derive(Debug, Clone, Copy)]
enum WatchTarget {
    Node,
    Children,
}

/// The result of a read, and the watch that it sets.
struct ReadOutcome {
    body: Result<Response, Code>,
    watch: Option<WatchTarget>,
}

impl Ensemble {
    pub(super) fn handle_request(&mut self, now: Micros, connection: u64, xid: i32, request: Request) {
        let Some(client) = self.connections.get(&connection) else { return };
        let (server, session) = (client.server, client.session);
        let supports_persistent = self.supports_persistent_watches;
        let body = match request {
            Request::Ping => Ok(Response::Done),
            Request::Sync(path) => {
                self.apply(server, 0);
                Ok(Response::Path(path, None))
            }
            Request::Close => {
                self.end(now, session);
                self.reply(connection, xid, Ok(Response::Done));
                return self.close(connection);
            }
            Request::Auth(Credential { scheme, secret }) => self.authenticate(connection, &scheme, &secret),
            Request::Exists(..)
            | Request::GetData(..)
            | Request::GetChildren(..)
            | Request::GetChildren2(..)
            | Request::GetAcl(_) => self.read(connection, &request),
            Request::AddWatch(..) | Request::SetWatches { persistent: Some(_), .. }
                if !supports_persistent =>
            {
                Err(Code::Unimplemented)
            }
            Request::AddWatch(path, mode) => {
                if let Some(client) = self.connections.get_mut(&connection) {
                    client.persistent_watches.insert(path, mode);
                }
                Ok(Response::Done)
            }
            Request::SetWatches { last_zxid_seen, one_time, persistent } => {
                let watches = RestoredWatches { last_seen: last_zxid_seen, one_time, persistent };
                self.restore_watches(connection, watches);
                Ok(Response::Done)
            }
            write => {
                let body = self.write_through(now, connection, &write);
                // The response to a write is sent once the client's server has applied it.
                self.apply(server, 0);
                body
            }
        };
        self.reply(connection, xid, body);
    }

    fn authenticate(&mut self, connection: u64, scheme: &str, secret: &[u8]) -> Result<Response, Code> {
        let client = self.connections.get_mut(&connection).ok_or(Code::ConnectionLoss)?;
        match (scheme, std::str::from_utf8(secret)) {
            (DIGEST_SCHEME, Ok(credential)) if credential.contains(':') => {
                client.identities.push(Identity { scheme: DIGEST_SCHEME.into(), id: digest(credential) });
                Ok(Response::Done)
            }
            _ => Err(Code::AuthFailed),
        }
    }

    fn read(&mut self, connection: u64, request: &Request) -> Result<Response, Code> {
        let client = self.connections.get(&connection).ok_or(Code::ConnectionLoss)?;
        let path = request.path().unwrap_or("").to_string();
        if !is_valid_path(&path) {
            return Err(Code::BadArguments);
        }
        let tree = self.tree_at(client.server);
        let ReadOutcome { body, watch } = match tree.get(&path) {
            None => read_missing(request),
            Some(node) => read_node(tree, &path, node, &client.identities, request),
        };
        if let (Some(target), Some(client)) = (watch, self.connections.get_mut(&connection)) {
            match target {
                WatchTarget::Node => client.data_watches.insert(path),
                WatchTarget::Children => client.child_watches.insert(path),
            };
        }
        body
    }

    fn write_through(&mut self, now: Micros, connection: u64, request: &Request) -> Result<Response, Code> {
        let client = self.connections.get(&connection).ok_or(Code::ConnectionLoss)?;
        let mut transaction = self.transaction(now, client.session, client.identities.clone());
        let response = match request {
            Request::Multi(requests) => match transaction.apply_all(requests) {
                Ok(response) => response,
                Err(failure) => return Ok(failure),
            },
            request => transaction.apply(request)?,
        };
        self.commit(transaction);
        Ok(response)
    }
}

/// A read of a node that is not there.
fn read_missing(request: &Request) -> ReadOutcome {
    let watch = match request {
        Request::Exists(_, Watch::OneTime) => Some(WatchTarget::Node),
        _ => None,
    };
    ReadOutcome { body: Err(Code::NoNode), watch }
}

fn read_node(
    tree: &Tree,
    path: &str,
    node: &Node,
    identities: &[Identity],
    request: &Request,
) -> ReadOutcome {
    // Whether a node exists is no secret; all else is read by right.
    if !matches!(request, Request::Exists(..)) && !node.allows(identities, READ) {
        return ReadOutcome { body: Err(Code::NoAuth), watch: None };
    }
    let (response, watch) = match request {
        Request::Exists(_, watch) => {
            (Response::Stat(stat(tree, path, node)), watch.is_set().then_some(WatchTarget::Node))
        }
        Request::GetData(_, watch) => {
            let response = Response::Data(node.data.clone(), stat(tree, path, node));
            (response, watch.is_set().then_some(WatchTarget::Node))
        }
        Request::GetChildren(_, watch) => {
            (Response::Children(children(tree, path), None), watch.is_set().then_some(WatchTarget::Children))
        }
        Request::GetChildren2(_, watch) => {
            let names = children(tree, path);
            let stat = Stat { children: names.len() as i32, ..node.stat };
            (Response::Children(names, Some(stat)), watch.is_set().then_some(WatchTarget::Children))
        }
        _ => (Response::Acl(node.acl.clone(), stat(tree, path, node)), None),
    };
    ReadOutcome { body: Ok(response), watch }
}
