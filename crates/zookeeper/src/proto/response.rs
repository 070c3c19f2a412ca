//! Responses and watch events of a server: their bytes.
use super::codes::{Code, EventKind, Op, EVENT_XID};
use super::records::{Acl, Stat};
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// The result of a successful request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// Success without a result.
    Done,
    /// The path of the created or synced node; with its stat if that was requested.
    Path(String, Option<Stat>),
    /// A node's stat.
    Stat(Stat),
    /// A node's data and stat.
    Data(Vec<u8>, Stat),
    /// A node's ACL and stat.
    Acl(Vec<Acl>, Stat),
    /// Names of children, and the node's stat if that was requested.
    Children(Vec<String>, Option<Stat>),
    /// The result of each operation of a multi.
    Multi(Vec<Result<Response, Code>>),
}

impl Response {
    fn write(&self, writer: &mut Writer) {
        match self {
            Response::Done => {}
            Response::Path(path, stat) => {
                writer.text(path);
                stat.iter().for_each(|stat| stat.write(writer));
            }
            Response::Stat(stat) => stat.write(writer),
            Response::Data(data, stat) => {
                writer.buffer(data);
                stat.write(writer);
            }
            Response::Acl(acl, stat) => {
                writer.vector(acl, Acl::write);
                stat.write(writer);
            }
            Response::Children(names, stat) => {
                writer.vector(names, |writer, name| {
                    writer.text(name);
                });
                stat.iter().for_each(|stat| stat.write(writer));
            }
            Response::Multi(results) => {
                for result in results {
                    match result {
                        Ok(response) => {
                            let op = match response {
                                Response::Path(_, None) => Op::Create as i32,
                                Response::Path(..) => Op::Create2 as i32,
                                Response::Stat(_) => Op::SetData as i32,
                                _ => Op::Check as i32,
                            };
                            writer.int(op).flag(false).int(0);
                            response.write(writer);
                        }
                        Err(code) => {
                            writer.int(-1).flag(false).int(*code as i32).int(*code as i32);
                        }
                    }
                }
                writer.int(-1).flag(true).int(-1);
            }
        }
    }

    fn read_multi(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let mut results = Vec::new();
        loop {
            let (op, done, _) = (reader.int("type")?, reader.flag("done")?, reader.int("err")?);
            match op {
                _ if done => return Ok(Response::Multi(results)),
                -1 => match reader.int("err")? {
                    // In a failed multi, the operations before the failed one have the code 0.
                    0 => results.push(Ok(Response::Done)),
                    code => results.push(Err(Code::read(code)?)),
                },
                op => results.push(Ok(Response::read_body(Op::read(op)?, reader)?)),
            }
        }
    }

    /// The response to this operation.
    pub fn read(op: Op, reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let response = Response::read_body(op, reader)?;
        reader.expect_end()?;
        Ok(response)
    }

    fn read_body(op: Op, reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let read_names = |reader: &mut Reader<'_>| {
            reader.vector("children", 4, |reader| reader.text("child").map(String::from))
        };
        Ok(match op {
            Op::Create | Op::Sync => Response::Path(reader.text("path")?.into(), None),
            Op::Create2 => Response::Path(reader.text("path")?.into(), Some(Stat::read(reader)?)),
            Op::Exists | Op::SetData | Op::SetAcl => Response::Stat(Stat::read(reader)?),
            Op::GetData => {
                let data = reader.buffer("data")?.unwrap_or_default().to_vec();
                Response::Data(data, Stat::read(reader)?)
            }
            Op::GetAcl => Response::Acl(reader.vector("acl", 12, Acl::read)?, Stat::read(reader)?),
            Op::GetChildren => Response::Children(read_names(reader)?, None),
            Op::GetChildren2 => Response::Children(read_names(reader)?, Some(Stat::read(reader)?)),
            Op::Multi => Response::read_multi(reader)?,
            Op::Delete
            | Op::Check
            | Op::Ping
            | Op::Auth
            | Op::SetWatches
            | Op::SetWatches2
            | Op::AddWatch
            | Op::Close => Response::Done,
        })
    }
}

/// What happened to a node that is watched, or to the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// The session's state: 3 connected, -112 expired, 4 credentials refused.
    pub state: i32,
    /// The node.
    pub path: String,
}

/// A frame that a server sends after the first one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The xid of what it answers.
    pub xid: i32,
    /// The last zxid that the server has seen; 0 or less: none is given.
    pub zxid: i64,
    /// What it holds.
    pub body: Result<Response, Code>,
}

/// The head of a frame that a server sends after the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHead {
    /// The xid of the request, or one of the reserved ones.
    pub xid: i32,
    /// The last zxid that the server has seen; 0 or less: none is given.
    pub zxid: i64,
    /// Why the request failed, if it did.
    pub error: Option<Code>,
}

/// Reads the head of a frame that a server sent. The rest is read by [`Response::read`] or [`read_event`].
pub fn read_reply_head(reader: &mut Reader<'_>) -> Result<ReplyHead, ProtocolError> {
    let (xid, zxid, error) = (reader.int("xid")?, reader.long("zxid")?, reader.int("err")?);
    let error = if error == 0 { None } else { Some(Code::read(error)?) };
    Ok(ReplyHead { xid, zxid, error })
}

/// Reads an event behind its head.
pub fn read_event(reader: &mut Reader<'_>) -> Result<Event, ProtocolError> {
    let kind = EventKind::read(reader.int("type")?)?;
    let event = Event { kind, state: reader.int("state")?, path: reader.text("path")?.into() };
    reader.expect_end()?;
    Ok(event)
}

impl Event {
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(EVENT_XID).long(-1).int(0).int(self.kind as i32).int(self.state).text(&self.path);
        writer.framed()
    }
}

impl Reply {
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(self.xid).long(self.zxid);
        match &self.body {
            Ok(response) => {
                writer.int(0);
                response.write(&mut writer);
            }
            Err(code) => {
                writer.int(*code as i32);
            }
        }
        writer.framed()
    }
}
