//! The messages between the core, the fronts that accept requests and the connections that carry attempts.
use crate::slots::SlotKey;
use larchway::{Note, ServerId, Status};
use larchway_object_cache::CacheHit;
use std::time::Duration;

/// Where the reply to a request goes: a client's connection and the number of the request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHandle {
    /// The client's connection.
    pub connection: SlotKey,
    /// The request's number on that connection.
    pub sequence: u64,
}

/// A request as a front hands it over, with the fields that are forwarded unchanged.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The class, by its slot in the settings.
    pub class: usize,
    /// The id under which stores know the request.
    pub call_id: String,
    /// The object, as the client wrote it.
    pub object_name: String,
    /// The object, as the decision module and the endpoint list know it.
    pub object: u64,
    /// The part of the object.
    pub part: u64,
    /// The group of objects that a purge may name.
    pub group: u64,
    /// How long the client waits, counted from when it sent the request.
    pub timeout: Duration,
    /// The idempotency key, if the request carries one.
    pub idempotency_key: Option<String>,
    /// The entity tag of the copy that the client holds, without quotes.
    pub client_tag: Option<String>,
    /// The proxies that the request has passed (RFC 8586), as received; empty on wires without that field.
    pub via: String,
    /// The body.
    pub body: Vec<u8>,
    /// The size of the part in KB as the client stated it; 0 if it did not.
    pub size_kb: f64,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No reply came before the deadline.
    DeadlineExceeded,
    /// No store could serve it.
    Unserved,
}

/// The time after which a client may come back that is rejected for want of capacity, where it may be advised
/// so: what is in flight has replies to write, which takes moments.
pub const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The reply of a store, or of a cached copy, as a front passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedReply<'a> {
    /// Whether the client's own copy is current, so that no bytes are sent.
    pub not_modified: bool,
    /// The entity tag of the bytes, without quotes.
    pub entity_tag: Option<&'a str>,
    /// The bytes.
    pub body: &'a [u8],
}

/// The final reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalReply<'a> {
    /// Served.
    Served(ServedReply<'a>),
    /// Rejected; the client may retry after this span, or at will if it is 0.
    Rejected(Duration),
    /// Failed.
    Failed(FailureCause),
}

/// What the connections have to do next.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Assign the attempt to a connection and send it.
    SendAttempt(SlotKey),
    /// Abandon an attempt on the connection that carries it.
    AbandonAttempt {
        /// The connection.
        connection: SlotKey,
        /// The attempt, which the core no longer holds.
        attempt: SlotKey,
        /// The id under which it was sent.
        call_id: String,
    },
    /// Final reply: served from the gateway's own cache.
    ReplyFromCache(ReplyHandle, CacheHit),
    /// Final reply: rejected; the client may retry after this span.
    ReplyRejected(ReplyHandle, Duration),
    /// Final reply: failed.
    ReplyFailed(ReplyHandle, FailureCause),
}

/// How an attempt ended, with what its store reported.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// Whether and how the store answered.
    pub status: Status,
    /// Where the reply came from.
    pub note: Note,
    /// How long the store waited for the source of the reply, as it reported; zero if it did not.
    pub source_wait: Duration,
    /// The store's load, by the order of the names in the settings; empty if it reported none.
    pub load: Vec<f64>,
}

impl AttemptResult {
    /// The result of an attempt for which no reply was received.
    pub fn without_reply(status: Status, note: Note) -> Self {
        AttemptResult { status, note, source_wait: Duration::ZERO, load: Vec::new() }
    }
}

/// The load that a store has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The store.
    pub store: ServerId,
    /// The value of the load field, in the store's own unit.
    pub load: f64,
}
