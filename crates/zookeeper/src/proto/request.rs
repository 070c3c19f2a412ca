//! Requests of a client: their operations and their bytes.
use super::codes::{Mode, Op, WatchMode};
use super::records::Acl;
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// What a client shows to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential {
    /// How the secret is to be understood: `digest`, for one.
    pub scheme: String,
    /// The secret.
    pub secret: Vec<u8>,
}

/// Whether a read sets a one-time watch on what it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// It does: the server reports the next change.
    OneTime,
    /// It does not.
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

    /// Whether it is set.
    pub fn is_set(self) -> bool {
        self == Watch::OneTime
    }
}

/// A request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Create a node; with `stat`, the response has its stat too.
    Create {
        /// Its path; for a sequential node, what the number is put behind.
        path: String,
        /// Its data.
        data: Vec<u8>,
        /// Its ACL.
        acl: Vec<Acl>,
        /// Its create mode.
        mode: Mode,
        /// Whether the response has its stat.
        stat: bool,
    },
    /// Delete a node if it has this version (-1: any).
    Delete(String, i32),
    /// Whether a node is there.
    Exists(String, Watch),
    /// A node's data.
    GetData(String, Watch),
    /// Change a node's data if it has this version (-1: any).
    SetData(String, Vec<u8>, i32),
    /// Read a node's ACL.
    GetAcl(String),
    /// Set a node's ACL if that has this version (-1: any).
    SetAcl(String, Vec<Acl>, i32),
    /// Names of children.
    GetChildren(String, Watch),
    /// Names of children and the node's stat.
    GetChildren2(String, Watch),
    /// Wait until the server has caught up.
    Sync(String),
    /// Check a node's version.
    Check(String, i32),
    /// Several of create, delete, set and check at once, all or none.
    Multi(Vec<Request>),
    /// Set watches again.
    SetWatches {
        /// The last zxid seen: later changes are reported at once.
        last_zxid_seen: i64,
        /// On data, existence, children.
        one_time: [Vec<String>; 3],
        /// Persistent ones, plain and recursive; without them, the older form is written.
        persistent: Option<[Vec<String>; 2]>,
    },
    /// Set a persistent watch.
    AddWatch(String, WatchMode),
    /// Show a credential.
    Auth(Credential),
    /// Heartbeat.
    Ping,
    /// End the session.
    Close,
}

/// A request as a server receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The xid that the reply is to carry.
    pub xid: i32,
    /// The request.
    pub request: Request,
}

impl Request {
    /// Its operation.
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

    /// The path it concerns, if it is one.
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

    /// As a frame under an xid.
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

    /// Reads the content of a frame.
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
