//! The nodes of the tree: paths, stats and access rights.
use base64::prelude::{Engine, BASE64_STANDARD};
use imbl::OrdMap;
use larchway_zookeeper::proto::{Acl, Stat};
use sha1::{Digest, Sha1};

/// Bits of an access right, as `ZooDefs.Perms` has them.
pub(super) const READ: i32 = 1;
pub(super) const WRITE: i32 = 2;
pub(super) const CREATE: i32 = 4;
pub(super) const DELETE: i32 = 8;

/// The scheme whose entries hold for every client.
const WORLD_SCHEME: &str = "world";
/// The path of the root node.
pub(super) const ROOT: &str = "/";

/// A node.
#[derive(Debug, Clone, Default)]
pub struct Node {
    /// Its data.
    pub data: Vec<u8>,
    /// Its stat; the length and the number of children are computed when it is sent.
    pub stat: Stat,
    pub(super) acl: Vec<Acl>,
    /// The number of the next sequential child.
    pub(super) next_sequence: i32,
}

/// The tree: nodes by path.
pub type Tree = OrdMap<String, Node>;

/// What a client has authenticated as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Identity {
    pub(super) scheme: String,
    pub(super) id: String,
}

impl Node {
    /// Whether a client with these identities has a right.
    pub(super) fn allows(&self, identities: &[Identity], permission: i32) -> bool {
        let is_held = |acl: &Acl| {
            let matches = |identity: &Identity| identity.scheme == acl.scheme && identity.id == acl.id;
            acl.scheme == WORLD_SCHEME || identities.iter().any(matches)
        };
        self.acl.iter().any(|acl| acl.perms & permission != 0 && is_held(acl))
    }
}

/// The path of a node's parent.
pub(super) fn parent(path: &str) -> &str {
    match path.rfind('/') {
        Some(0) | None => ROOT,
        Some(end) => &path[..end],
    }
}

/// The names of a node's children.
pub(super) fn children(tree: &Tree, path: &str) -> Vec<String> {
    let prefix = if path == ROOT { ROOT.to_string() } else { format!("{path}/") };
    tree.range(prefix.clone()..)
        .map(|(path, _)| path)
        .take_while(|path| path.starts_with(&prefix))
        .filter_map(|path| path.strip_prefix(&prefix))
        .filter(|name| !name.is_empty() && !name.contains('/'))
        .map(String::from)
        .collect()
}

/// Whether a path is absolute, without empty parts and without a zero character.
pub(super) fn is_valid_path(path: &str) -> bool {
    path == ROOT
        || path.starts_with('/') && !path.ends_with('/') && !path.contains("//") && !path.contains('\0')
}

/// A node's stat as it is sent, with its length and the number of its children.
pub(super) fn stat(tree: &Tree, path: &str, node: &Node) -> Stat {
    Stat { length: node.data.len() as i32, children: children(tree, path).len() as i32, ..node.stat }
}

/// The id that a digest credential `user:password` has in an ACL.
pub fn digest(credential: &str) -> String {
    let user = credential.split(':').next().unwrap_or("");
    format!("{user}:{}", BASE64_STANDARD.encode(Sha1::digest(credential)))
}
