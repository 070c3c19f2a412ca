//! Connections of the daemon: their buffers, what each is for, and how far it has come.
use crate::bulletin::Store;
use crate::resp::{self, Link, Reply};
use crate::signed::{self, Session};
use crate::slots::Key;
use crate::thrift::Calls;
use larchway::Micros;
use std::io::ErrorKind;
use std::net::TcpStream;

/// µs after which a client that reads nothing of its answers is cut off.
pub(crate) const STALLED: Micros = 10_000_000;
/// µs after which a client that asks for nothing is cut off.
const IDLE: Micros = 60_000_000;
/// µs in which a client's message must be whole, the first one from when it connected.
pub(crate) const WHOLE: Micros = 2_000_000;
/// µs for which a connection lingers after its last answer.
pub(crate) const LINGER: Micros = 1_000_000;
/// Bytes waiting for a client of the second front above which nothing more is read from it.
const CROWDED: usize = 1 << 20;
/// Bytes read from one connection before others get their turn.
pub(crate) const TURN: usize = 512 * 1024;

/// Bytes on their way in or out.
#[derive(Default)]
pub struct Buffer {
    /// The bytes, those already dealt with in front.
    pub bytes: Vec<u8>,
    /// How many are dealt with.
    pub done: usize,
}

impl Buffer {
    /// What is not dealt with.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.done..]
    }
    /// Deals with so many bytes; a buffer that is empty gives its room back, so that a quiet connection costs
    /// next to nothing.
    pub fn consume(&mut self, n: usize) {
        self.done += n;
        if self.done >= self.bytes.len() {
            *self = Buffer::default();
        }
    }
    pub(crate) fn compact(&mut self) {
        if self.done > 64 * 1024 {
            self.bytes.drain(..self.done);
            self.done = 0;
        }
    }
}

/// What a connection is for.
pub enum Role {
    /// A client of the platform's front.
    Client(Calls),
    /// A client of the second front.
    Web(Session),
    /// A connection to a store.
    Store(Link),
    /// The source of events.
    Events,
    /// A server of the ensemble.
    Keeper,
}

impl Role {
    /// Whether a client is at the other end.
    pub(crate) fn client(&self) -> bool {
        matches!(self, Role::Client(_) | Role::Web(_))
    }
    /// Whether a client is at the other end that waits for no answer.
    pub(crate) fn resting(&self) -> bool {
        match self {
            Role::Client(calls) => calls.open.is_empty(),
            Role::Web(session) => session.open.is_none(),
            _ => false,
        }
    }
}

/// A final answer.
pub enum Final<'a> {
    /// Served by this answer of a store.
    Served(&'a Reply<'a>),
    /// Refused; come back after so long, or at will if 0.
    Refused(Micros),
    /// Failed.
    Failed {
        /// Since its time was up.
        late: bool,
    },
}

/// Why a connection could not even be dialled.
pub(crate) enum Undialled {
    /// There is no room for it on this machine, which says nothing of the other side.
    Here,
    /// The other side cannot be reached.
    There,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It is being dialled.
    Dialling,
    /// Bytes go both ways.
    Open,
    /// It is half-closed once all that is written has gone out; what comes in is passed over.
    Finishing,
    /// Its write side is shut: no answer could be delivered. What comes in is read and passed over, since a close over
    /// unread bytes would reset what is still on its way, until the other side has closed or this time has come.
    HalfClosed {
        /// When it is closed all the same.
        until: Micros,
    },
}

impl Life {
    /// Whether it is up, in any way.
    pub(crate) fn up(self) -> bool {
        self != Life::Dialling
    }
    /// Whether what comes in is passed over.
    pub(crate) fn over(self) -> bool {
        matches!(self, Life::Finishing | Life::HalfClosed { .. })
    }
}

/// A connection.
pub struct Conn {
    pub(crate) stream: TcpStream,
    pub(crate) input: Buffer,
    /// What is to be written.
    pub output: Buffer,
    /// What it is for.
    pub role: Role,
    /// How far it has come.
    pub life: Life,
    pub(crate) since: Micros,
    /// When bytes last moved on it.
    pub moved: Micros,
    /// When bytes last came in, or began to be awaited.
    pub heard: Micros,
    /// Whether a whole message has come in on it, and when the first byte came of one that is not whole.
    pub(crate) asked: bool,
    pub(crate) partial: Option<Micros>,
    pub(crate) armed: (bool, bool),
    pub(crate) due: Micros,
    /// Bytes that count among those of all clients.
    pub(crate) holds: usize,
}

impl Conn {
    /// Whether a client is at the other end that is owed nothing and has asked for nothing that was read.
    pub(crate) fn rests(&self) -> bool {
        self.role.resting()
            && self.life == Life::Open
            && self.output.rest().is_empty()
            && self.partial.is_none()
    }
    /// When it is to be ended unless something moves on it; `timeout` and `idle`: of connections to stores, in µs.
    pub(crate) fn limit(&self, at: Micros, timeout: Micros, idle: Micros) -> Micros {
        let pending = !self.output.rest().is_empty();
        match &self.role {
            _ if matches!(self.life, Life::HalfClosed { .. }) => self.due,
            _ if !self.life.up() => self.since + timeout,
            role if role.client() && pending => self.moved + STALLED,
            Role::Client(_) if self.partial.is_some() => self.partial.unwrap_or(at) + WHOLE,
            Role::Client(_) if !self.asked => self.since + WHOLE,
            Role::Web(_) if !self.asked => self.since + signed::SLOW,
            // What stops within an answer keeps all that is behind it from coming.
            Role::Store(_) if self.partial.is_some() => self.heard + resp::CUT_SHORT,
            // A request that comes byte by byte is cut off however lively it looks.
            Role::Web(Session { begun: Some(begun), .. }) => begun + signed::SLOW,
            role if role.resting() => self.moved + IDLE,
            role if role.client() => at + IDLE,
            // Closed well before the store does: a request that crosses a close is lost time.
            Role::Store(link) if link.open.is_empty() && link.waiting.is_empty() => self.moved + idle / 2,
            _ => at + idle / 2,
        }
    }

    /// Whether it is to be polled for reading, and for writing.
    pub(crate) fn interest(&self) -> (bool, bool) {
        let pending = self.output.rest().len();
        // A client of the second front that reads no answers, or sends on and on before one, is not read from.
        // One of the platform's is always: its requests are taken once they are written, and would be lost
        // unread. They are few, and so are their answers.
        let crowded = matches!(self.role, Role::Web(_)) && pending.max(self.input.rest().len()) > CROWDED;
        // An attempt whose first byte found no room waits for the connection to be writable too.
        let waits = matches!(&self.role, Role::Store(link) if !link.waiting.is_empty());
        (!crowded, !self.life.up() || pending > 0 || waits)
    }

    /// Whether nothing waits to be read, not even the end.
    pub(crate) fn quiet(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A store: its name, its address and the connections to it.
pub(crate) struct Pool {
    pub(crate) store: Store,
    pub(crate) links: Vec<Key>,
}
