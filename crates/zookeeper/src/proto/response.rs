//! The responses and watch events of a server, and their encoding and decoding.
use super::codes::{Code, EventKind, Op, EVENT_XID};
use super::records::{Acl, Stat};
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// The result of a successful request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// Success without any data.
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

    /// Decodes the response to a request of this operation type.
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

/// A watch event: a change of a watched node or of the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Type of the event.
    pub kind: EventKind,
    /// State of the session: 3 connected, -112 expired, 4 credentials rejected.
    pub state: i32,
    /// Path of the node.
    pub path: String,
}

/// A reply, which every frame after the handshake response is unless it is a watch event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The xid of the request.
    pub xid: i32,
    /// The last zxid that the server has seen; 0 or less if the server gives none.
    pub zxid: i64,
    /// The response, or the error of the server.
    pub body: Result<Response, Code>,
}

/// The header of every frame that a server sends after the handshake response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHead {
    /// The xid of the request, or a reserved one such as [`EVENT_XID`].
    pub xid: i32,
    /// The last zxid that the server has seen; 0 or less if the server gives none.
    pub zxid: i64,
    /// The error code if the request failed.
    pub error: Option<Code>,
}

/// Reads the header of a frame from a server. [`Response::read`] or [`read_event`] reads the rest.
pub fn read_reply_head(reader: &mut Reader<'_>) -> Result<ReplyHead, ProtocolError> {
    let (xid, zxid, error) = (reader.int("xid")?, reader.long("zxid")?, reader.int("err")?);
    let error = if error == 0 { None } else { Some(Code::read(error)?) };
    Ok(ReplyHead { xid, zxid, error })
}

/// Reads a watch event after its header.
pub fn read_event(reader: &mut Reader<'_>) -> Result<Event, ProtocolError> {
    let kind = EventKind::read(reader.int("type")?)?;
    let event = Event { kind, state: reader.int("state")?, path: reader.text("path")?.into() };
    reader.expect_end()?;
    Ok(event)
}

impl Event {
    /// Encodes the frame with its header and length prefix.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(EVENT_XID).long(-1).int(0).int(self.kind as i32).int(self.state).text(&self.path);
        writer.framed()
    }
}

impl Reply {
    /// Encodes the frame with its header and length prefix.
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
