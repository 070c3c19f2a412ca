//! The requests of a client, and their encoding and decoding.
use super::codes::{Mode, Op, WatchMode};
use super::records::Acl;
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// A credential with which a client authenticates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential {
    /// Authentication scheme that defines the secret, such as `digest`.
    pub scheme: String,
    /// The secret in the form of the scheme, such as `user:password`.
    pub secret: Vec<u8>,
}

/// Whether a read request sets a one-time watch on what it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// Sets a one-time watch: the server reports the next change.
    OneTime,
    /// Sets no watch.
    None,
}

impl Watch {
    fn from_flag(is_set: bool) -> Self {
        if is_set {
            Watch::OneTime
        } else {
            Watch::None
        }
    }

    /// Whether the request sets a watch.
    pub fn is_set(self) -> bool {
        self == Watch::OneTime
    }
}

/// A request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Create a node.
    Create {
        /// Path of the node; for a sequential node, the prefix to which the server appends a number.
        path: String,
        /// Data of the node.
        data: Vec<u8>,
        /// ACL of the node.
        acl: Vec<Acl>,
        /// Create mode of the node.
        mode: Mode,
        /// Whether the response includes the stat of the node.
        stat: bool,
    },
    /// Delete a node if it has this version (-1: any).
    Delete(String, i32),
    /// Read a node's stat, if the node exists.
    Exists(String, Watch),
    /// Read a node's data and stat.
    GetData(String, Watch),
    /// Change a node's data if it has this version (-1: any).
    SetData(String, Vec<u8>, i32),
    /// Read a node's ACL.
    GetAcl(String),
    /// Set a node's ACL if the ACL has this version (-1: any).
    SetAcl(String, Vec<Acl>, i32),
    /// Read the names of a node's children.
    GetChildren(String, Watch),
    /// Read the names of a node's children and the node's stat.
    GetChildren2(String, Watch),
    /// Make the server catch up with the leader before it replies.
    Sync(String),
    /// Check that a node has this version, as part of a multi.
    Check(String, i32),
    /// Execute several create, delete, set-data and check operations atomically.
    Multi(Vec<Request>),
    /// Restore watches on a new connection.
    SetWatches {
        /// The last zxid that the client has seen; later changes are reported immediately.
        last_zxid_seen: i64,
        /// Paths of one-time watches on data, existence and children, in this order.
        one_time: [Vec<String>; 3],
        /// Paths of persistent and of recursive watches, in this order; none selects the older `SetWatches` request.
        persistent: Option<[Vec<String>; 2]>,
    },
    /// Set a persistent watch.
    AddWatch(String, WatchMode),
    /// Authenticate with a credential.
    Auth(Credential),
    /// Heartbeat.
    Ping,
    /// End the session.
    Close,
}

/// A request as a server receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The xid that the reply must carry.
    pub xid: i32,
    /// The request.
    pub request: Request,
}

impl Request {
    /// The operation type of the request.
    pub fn op(&self) -> Op {
        match self {
            Request::Create { stat: false, .. } => Op::Create,
            Request::Create { .. } => Op::Create2,
            Request::Delete(..) => Op::Delete,
            Request::Exists(..) => Op::Exists,
            Request::GetData(..) => Op::GetData,
            Request::SetData(..) => Op::SetData,
            Request::GetAcl(_) => Op::GetAcl,
            Request::SetAcl(..) => Op::SetAcl,
            Request::GetChildren(..) => Op::GetChildren,
            Request::GetChildren2(..) => Op::GetChildren2,
            Request::Sync(_) => Op::Sync,
            Request::Check(..) => Op::Check,
            Request::Multi(_) => Op::Multi,
            Request::SetWatches { persistent: None, .. } => Op::SetWatches,
            Request::SetWatches { .. } => Op::SetWatches2,
            Request::AddWatch(..) => Op::AddWatch,
            Request::Auth(..) => Op::Auth,
            Request::Ping => Op::Ping,
            Request::Close => Op::Close,
        }
    }

    /// The path of the request, or none if it has no path or several.
    pub fn path(&self) -> Option<&str> {
        match self {
            Request::Create { path, .. } => Some(path),
            Request::Delete(path, _)
            | Request::Exists(path, _)
            | Request::GetData(path, _)
            | Request::SetData(path, ..)
            | Request::GetAcl(path)
            | Request::SetAcl(path, ..)
            | Request::GetChildren(path, _)
            | Request::GetChildren2(path, _)
            | Request::Sync(path)
            | Request::Check(path, _)
            | Request::AddWatch(path, _) => Some(path),
            _ => None,
        }
    }

    /// Encodes the request as a frame with this xid.
    pub fn framed(&self, xid: i32) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(xid).int(self.op() as i32);
        self.write(&mut writer);
        writer.framed()
    }

    fn write(&self, writer: &mut Writer) {
        match self {
            Request::Create { path, data, acl, mode, .. } => {
                writer.text(path).buffer(data).vector(acl, Acl::write).int(*mode as i32);
            }
            Request::Delete(path, version) | Request::Check(path, version) => {
                writer.text(path).int(*version);
            }
            Request::Exists(path, watch)
            | Request::GetData(path, watch)
            | Request::GetChildren(path, watch)
            | Request::GetChildren2(path, watch) => {
                writer.text(path).flag(watch.is_set());
            }
            Request::SetData(path, data, version) => {
                writer.text(path).buffer(data).int(*version);
            }
            Request::GetAcl(path) | Request::Sync(path) => {
                writer.text(path);
            }
            Request::SetAcl(path, acl, version) => {
                writer.text(path).vector(acl, Acl::write).int(*version);
            }
            Request::Multi(operations) => {
                for operation in operations {
                    writer.int(operation.op() as i32).flag(false).int(-1);
                    operation.write(writer);
                }
                writer.int(-1).flag(true).int(-1);
            }
            Request::SetWatches { last_zxid_seen, one_time, persistent } => {
                writer.long(*last_zxid_seen);
                for paths in one_time.iter().chain(persistent.iter().flatten()) {
                    writer.vector(paths, |writer, path| {
                        writer.text(path);
                    });
                }
            }
            Request::AddWatch(path, mode) => {
                writer.text(path).int(*mode as i32);
            }
            Request::Auth(Credential { scheme, secret }) => {
                writer.int(0).text(scheme).buffer(secret);
            }
            Request::Ping | Request::Close => {}
        }
    }

    /// Decodes a request from the content of a frame.
    pub fn read(frame: &[u8]) -> Result<ReceivedRequest, ProtocolError> {
        let mut reader = Reader::new(frame);
        let (xid, op) = (reader.int("xid")?, Op::read(reader.int("type")?)?);
        let request = Request::read_body(op, &mut reader)?;
        reader.expect_end()?;
        Ok(ReceivedRequest { xid, request })
    }

    fn read_body(op: Op, reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let read_paths = |reader: &mut Reader<'_>| {
            reader.vector("watches", 4, |reader| reader.text("path").map(String::from))
        };
        let read_path_and_watch = |reader: &mut Reader<'_>| {
            Ok((reader.text("path")?.to_string(), Watch::from_flag(reader.flag("watch")?)))
        };
        let read_acl = |reader: &mut Reader<'_>| reader.vector("acl", 12, Acl::read);
        let read_path = |reader: &mut Reader<'_>| reader.text("path").map(String::from);
        Ok(match op {
            Op::Create | Op::Create2 => Request::Create {
                path: read_path(reader)?,
                data: reader.buffer("data")?.unwrap_or_default().to_vec(),
                acl: read_acl(reader)?,
                mode: Mode::read(reader.int("flags")?)?,
                stat: op == Op::Create2,
            },
            Op::Delete => Request::Delete(read_path(reader)?, reader.int("version")?),
            Op::Check => Request::Check(read_path(reader)?, reader.int("version")?),
            Op::Exists => read_path_and_watch(reader).map(|(path, watch)| Request::Exists(path, watch))?,
            Op::GetData => read_path_and_watch(reader).map(|(path, watch)| Request::GetData(path, watch))?,
            Op::GetChildren => {
                read_path_and_watch(reader).map(|(path, watch)| Request::GetChildren(path, watch))?
            }
            Op::GetChildren2 => {
                read_path_and_watch(reader).map(|(path, watch)| Request::GetChildren2(path, watch))?
            }
            Op::SetData => {
                let (path, data) = (read_path(reader)?, reader.buffer("data")?.unwrap_or_default().to_vec());
                Request::SetData(path, data, reader.int("version")?)
            }
            Op::GetAcl => Request::GetAcl(read_path(reader)?),
            Op::Sync => Request::Sync(read_path(reader)?),
            Op::SetAcl => Request::SetAcl(read_path(reader)?, read_acl(reader)?, reader.int("version")?),
            Op::Multi => Request::read_multi(reader)?,
            Op::SetWatches | Op::SetWatches2 => {
                let last_zxid_seen = reader.long("relativeZxid")?;
                let one_time = [read_paths(reader)?, read_paths(reader)?, read_paths(reader)?];
                let persistent = if op == Op::SetWatches2 {
                    Some([read_paths(reader)?, read_paths(reader)?])
                } else {
                    None
                };
                Request::SetWatches { last_zxid_seen, one_time, persistent }
            }
            Op::AddWatch => Request::AddWatch(read_path(reader)?, WatchMode::read(reader.int("mode")?)?),
            Op::Auth => {
                let _kind = reader.int("type")?;
                let scheme = reader.text("scheme")?.into();
                let secret = reader.buffer("auth")?.unwrap_or_default().to_vec();
                Request::Auth(Credential { scheme, secret })
            }
            Op::Ping => Request::Ping,
            Op::Close => Request::Close,
        })
    }

    fn read_multi(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let mut operations = Vec::new();
        loop {
            let (op, done, _) = (reader.int("type")?, reader.flag("done")?, reader.int("err")?);
            if done {
                return Ok(Request::Multi(operations));
            }
            match Op::read(op)? {
                op @ (Op::Create | Op::Create2 | Op::Delete | Op::SetData | Op::Check) => {
                    operations.push(Request::read_body(op, reader)?);
                }
                op => return Err(ProtocolError::UnknownValue("operation within multi", op as i32)),
            }
        }
    }
}
