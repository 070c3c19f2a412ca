//! One write to the tree: create, delete, set data, set ACL and check, as the published server does them.
use super::tree::{children, is_valid_path, parent, stat, Identity, Node, Tree, CREATE, DELETE, ROOT, WRITE};
use larchway::Micros;
use larchway_zookeeper::proto::{Acl, Code, EventKind, Mode, Request, Response, Stat};

/// The scheme of an identity that has all rights.
const SUPERUSER_SCHEME: &str = "super";
/// The scheme that stands for the identities of the client that creates a node.
const AUTHENTICATED_SCHEME: &str = "auth";
/// The version that matches any.
pub(super) const ANY_VERSION: i32 = -1;

/// A change of a node that watches fire on.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) kind: EventKind,
    pub(super) path: String,
}

/// The fields of a [`Request::Create`].
struct NewNode<'a> {
    path: &'a str,
    data: &'a [u8],
    acl: &'a [Acl],
    mode: Mode,
    wants_stat: bool,
}

/// Writes that are committed together.
pub(super) struct Transaction {
    /// The tree with the writes so far.
    pub(super) tree: Tree,
    /// What the writes so far have changed.
    pub(super) changes: Vec<Change>,
    /// The zxid under which the writes are committed.
    pub(super) zxid: i64,
    /// The time of the writes.
    pub(super) now: Micros,
    /// The session that owns ephemeral nodes which are created.
    pub(super) session: i64,
    /// Whose rights hold.
    pub(super) identities: Vec<Identity>,
}

/// The identity that has all rights.
pub(super) fn superuser() -> Identity {
    Identity { scheme: SUPERUSER_SCHEME.into(), id: String::new() }
}

impl Transaction {
    /// Carries out one write.
    ///
    /// # Errors
    /// The code that the published server answers with; the tree is as before.
    pub(super) fn apply(&mut self, request: &Request) -> Result<Response, Code> {
        match request {
            Request::Create { path, data, acl, mode, stat } => {
                self.create(&NewNode { path, data, acl, mode: *mode, wants_stat: *stat })
            }
            Request::Delete(path, version) => self.delete(path, *version),
            Request::SetData(path, data, version) => self.set_data(path, data, *version),
            Request::SetAcl(path, acl, version) => self.set_acl(path, acl, *version),
            Request::Check(path, version) => self.check(path, *version),
            _ => Err(Code::Unimplemented),
        }
    }

    /// Carries out all writes or none. The response of a failed one names the part that failed, and of the others that
    /// they did not run.
    pub(super) fn apply_all(&mut self, requests: &[Request]) -> Result<Response, Response> {
        let mut responses = Vec::new();
        for request in requests {
            match self.apply(request) {
                Ok(response) => responses.push(Ok(response)),
                Err(code) => {
                    let failed = responses.len();
                    let error = |part| if part == failed { code } else { Code::RuntimeInconsistency };
                    return Err(Response::Multi((0..requests.len()).map(|part| Err(error(part))).collect()));
                }
            }
        }
        Ok(Response::Multi(responses))
    }

    fn is_superuser(&self) -> bool {
        self.identities.iter().any(|identity| identity.scheme == SUPERUSER_SCHEME)
    }

    fn allows(&self, node: &Node, permission: i32) -> bool {
        self.is_superuser() || node.allows(&self.identities, permission)
    }

    /// The time of the writes in Unix ms, as stats have it.
    fn now_ms(&self) -> i64 {
        (self.now / 1000) as i64
    }

    fn create(&mut self, new: &NewNode<'_>) -> Result<Response, Code> {
        if !is_valid_path(new.path) || new.path == ROOT && !new.mode.sequential() {
            return Err(Code::BadArguments);
        }
        if new.acl.is_empty() {
            return Err(Code::InvalidAcl);
        }
        let parent_path = parent(new.path);
        let parent = self.parent_of_new(parent_path)?;
        let path = match new.mode.sequential() {
            true => format!("{}{:010}", new.path, parent.next_sequence),
            false => new.path.to_string(),
        };
        if self.tree.contains_key(&path) {
            return Err(Code::NodeExists);
        }
        let acl = self.resolve_acl(new.acl)?;
        let stat = self.stat_of_new(new.mode);
        let parent = Node { next_sequence: parent.next_sequence + 1, ..parent };
        self.insert_parent(parent_path, parent);
        self.tree.insert(path.clone(), Node { data: new.data.to_vec(), stat, acl, next_sequence: 0 });
        self.record(EventKind::Created, &path);
        self.record(EventKind::ChildrenChanged, parent_path);
        let sent_stat = Stat { length: new.data.len() as i32, ..stat };
        Ok(Response::Path(path, new.wants_stat.then_some(sent_stat)))
    }

    /// The node under which another one may be created.
    fn parent_of_new(&self, path: &str) -> Result<Node, Code> {
        let parent = self.tree.get(path).cloned().ok_or(Code::NoNode)?;
        if !self.allows(&parent, CREATE) {
            return Err(Code::NoAuth);
        }
        if parent.stat.owner != 0 {
            return Err(Code::NoChildrenForEphemerals);
        }
        Ok(parent)
    }

    fn stat_of_new(&self, mode: Mode) -> Stat {
        Stat {
            czxid: self.zxid,
            mzxid: self.zxid,
            pzxid: self.zxid,
            ctime: self.now_ms(),
            mtime: self.now_ms(),
            owner: if mode.ephemeral() { self.session } else { 0 },
            ..Stat::default()
        }
    }

    /// An ACL in which `auth` stands for the client's own identities.
    fn resolve_acl(&self, acl: &[Acl]) -> Result<Vec<Acl>, Code> {
        let mut resolved = Vec::new();
        for entry in acl {
            if entry.scheme != AUTHENTICATED_SCHEME {
                resolved.push(entry.clone());
                continue;
            }
            if self.identities.is_empty() {
                return Err(Code::InvalidAcl);
            }
            resolved.extend(self.identities.iter().map(|identity| Acl {
                perms: entry.perms,
                scheme: identity.scheme.clone(),
                id: identity.id.clone(),
            }));
        }
        Ok(resolved)
    }

    /// Puts a node back whose children have changed.
    fn insert_parent(&mut self, path: &str, mut parent: Node) {
        parent.stat.cversion += 1;
        parent.stat.pzxid = self.zxid;
        self.tree.insert(path.to_string(), parent);
    }

    fn delete(&mut self, path: &str, version: i32) -> Result<Response, Code> {
        let node = self.tree.get(path).ok_or(Code::NoNode)?;
        let parent_path = parent(path);
        let may_delete = |parent: &Node| self.allows(parent, DELETE);
        if !self.is_superuser() && !self.tree.get(parent_path).is_some_and(may_delete) {
            return Err(Code::NoAuth);
        }
        check_version(version, node.stat.version)?;
        if !children(&self.tree, path).is_empty() {
            return Err(Code::NotEmpty);
        }
        self.tree.remove(path);
        if let Some(parent) = self.tree.get(parent_path).cloned() {
            self.insert_parent(parent_path, parent);
        }
        self.record(EventKind::Deleted, path);
        self.record(EventKind::ChildrenChanged, parent_path);
        Ok(Response::Done)
    }

    fn set_data(&mut self, path: &str, data: &[u8], version: i32) -> Result<Response, Code> {
        let mut node = self.tree.get(path).cloned().ok_or(Code::NoNode)?;
        if !self.allows(&node, WRITE) {
            return Err(Code::NoAuth);
        }
        check_version(version, node.stat.version)?;
        node.data = data.to_vec();
        node.stat.version += 1;
        (node.stat.mzxid, node.stat.mtime) = (self.zxid, self.now_ms());
        let sent_stat = stat(&self.tree, path, &node);
        self.tree.insert(path.to_string(), node);
        self.record(EventKind::DataChanged, path);
        Ok(Response::Stat(sent_stat))
    }

    fn set_acl(&mut self, path: &str, acl: &[Acl], version: i32) -> Result<Response, Code> {
        let mut node = self.tree.get(path).cloned().ok_or(Code::NoNode)?;
        check_version(version, node.stat.aversion)?;
        node.acl = acl.to_vec();
        node.stat.aversion += 1;
        let sent_stat = stat(&self.tree, path, &node);
        self.tree.insert(path.to_string(), node);
        Ok(Response::Stat(sent_stat))
    }

    fn check(&self, path: &str, version: i32) -> Result<Response, Code> {
        let node = self.tree.get(path).ok_or(Code::NoNode)?;
        check_version(version, node.stat.version)?;
        Ok(Response::Done)
    }

    fn record(&mut self, kind: EventKind, path: &str) {
        self.changes.push(Change { kind, path: path.to_string() });
    }
}

fn check_version(wanted: i32, current: i32) -> Result<(), Code> {
    if wanted == ANY_VERSION || wanted == current {
        Ok(())
    } else {
        Err(Code::BadVersion)
    }
}
