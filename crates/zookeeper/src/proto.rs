//! The records of the protocol, in both directions (Apache ZooKeeper, `zookeeper.jute`, release 3.9).
mod codes;
mod records;
mod request;
mod response;

pub use codes::{Code, EventKind, Mode, Op, WatchMode, AUTH_XID, EVENT_XID, PING_XID, WATCHES_XID};
pub use records::{Acl, Connect, Connected, Stat};
pub use request::{Credential, ReceivedRequest, Request, Watch};
pub use response::{read_event, read_reply_head, Event, Reply, ReplyHead, Response};
