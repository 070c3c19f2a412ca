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
    fn write(&self, w: &mut Writer) {
        match self {
            Response::Done => {}
            Response::Path(path, stat) => {
                w.text(path);
                stat.iter().for_each(|s| s.write(w));
            }
            Response::Stat(stat) => stat.write(w),
            Response::Data(data, stat) => {
                w.buffer(data);
                stat.write(w);
            }
            Response::Acl(acl, stat) => {
                w.vector(acl, Acl::write);
                stat.write(w);
            }
            Response::Children(names, stat) => {
                w.vector(names, |w, n| {
                    w.text(n);
                });
                stat.iter().for_each(|s| s.write(w));
            }
            Response::Multi(all) => {
                for one in all {
                    match one {
                        Ok(response) => {
                            let op = match response {
                                Response::Path(_, None) => Op::Create as i32,
                                Response::Path(..) => Op::Create2 as i32,
                                Response::Stat(_) => Op::SetData as i32,
                                _ => Op::Check as i32,
                            };
                            w.int(op).flag(false).int(0);
                            response.write(w);
                        }
                        Err(code) => {
                            w.int(-1).flag(false).int(*code as i32).int(*code as i32);
                        }
                    }
                }
                w.int(-1).flag(true).int(-1);
            }
        }
    }

    fn read_multi(r: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let mut results = Vec::new();
        loop {
            let (op, done, _) = (r.int("type")?, r.flag("done")?, r.int("err")?);
            match op {
                _ if done => return Ok(Response::Multi(results)),
                -1 => match r.int("err")? {
                    // In a failed multi, the operations before the failed one have the code 0.
                    0 => results.push(Ok(Response::Done)),
                    code => results.push(Err(Code::read(code)?)),
                },
                op => results.push(Ok(Response::body(Op::read(op)?, r)?)),
            }
        }
    }

    /// The response to this operation.
    pub fn read(op: Op, r: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let response = Response::body(op, r)?;
        r.expect_end()?;
        Ok(response)
    }

    fn body(op: Op, r: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let names = |r: &mut Reader<'_>| r.vector("children", 4, |r| r.text("child").map(String::from));
        Ok(match op {
            Op::Create | Op::Sync => Response::Path(r.text("path")?.into(), None),
            Op::Create2 => Response::Path(r.text("path")?.into(), Some(Stat::read(r)?)),
            Op::Exists | Op::SetData | Op::SetAcl => Response::Stat(Stat::read(r)?),
            Op::GetData => {
                let data = r.buffer("data")?.unwrap_or_default().to_vec();
                Response::Data(data, Stat::read(r)?)
            }
            Op::GetAcl => Response::Acl(r.vector("acl", 12, Acl::read)?, Stat::read(r)?),
            Op::GetChildren => Response::Children(names(r)?, None),
            Op::GetChildren2 => Response::Children(names(r)?, Some(Stat::read(r)?)),
            Op::Multi => Response::read_multi(r)?,
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
pub fn read_reply_head(r: &mut Reader<'_>) -> Result<ReplyHead, ProtocolError> {
    let (xid, zxid, error) = (r.int("xid")?, r.long("zxid")?, r.int("err")?);
    let error = if error == 0 { None } else { Some(Code::read(error)?) };
    Ok(ReplyHead { xid, zxid, error })
}

/// Reads an event behind its head.
pub fn read_event(r: &mut Reader<'_>) -> Result<Event, ProtocolError> {
    let kind = EventKind::read(r.int("type")?)?;
    let event = Event { kind, state: r.int("state")?, path: r.text("path")?.into() };
    r.expect_end()?;
    Ok(event)
}

impl Event {
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(EVENT_XID).long(-1).int(0).int(self.kind as i32).int(self.state).text(&self.path);
        w.framed()
    }
}

impl Reply {
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut w = Writer::default();
        w.int(self.xid).long(self.zxid);
        match &self.body {
            Ok(response) => {
                w.int(0);
                response.write(&mut w);
            }
            Err(code) => {
                w.int(*code as i32);
            }
        }
        w.framed()
    }
}
