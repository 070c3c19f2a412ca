//! The messages between the core, the fronts that accept requests and the connections that carry attempts.
use crate::slots::SlotKey;
use larchway::{Note, ServerId, Status};
use larchway_object_cache::CacheHit;
use std::time::Duration;

/// The address of the reply to a request: a client's connection and the number of the request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHandle {
    /// The client's connection.
    pub connection: SlotKey,
    /// The request's number on that connection.
    pub sequence: u64,
}

/// A client's request as a front passes it to the core, with the fields that are forwarded unchanged.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The class, by its slot in the settings.
    pub class: usize,
    /// The id under which the request is sent to stores.
    pub call_id: String,
    /// The object, as the client wrote it.
    pub object_name: String,
    /// The id of the object in the decision module and in purges.
    pub object: u64,
    /// The number of the part of the object.
    pub part: u64,
    /// The group of objects that a purge may name.
    pub group: u64,
    /// The timeout of the client, counted from when it sent the request.
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

/// `Retry-After` for a client that is rejected because this gateway has no capacity: the replies in flight are
/// written, and capacity is free again, within moments.
pub const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The reply of a store, or from a cached copy, as a front forwards it.
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
    /// Rejected; the client may retry after this time, or at any time if it is 0.
    Rejected(Duration),
    /// Failed.
    Failed(FailureCause),
}

/// An instruction of the core to the connections.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Assign this attempt to a connection and send it.
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
    /// Final reply: rejected; the client may retry after this time.
    ReplyRejected(ReplyHandle, Duration),
    /// Final reply: failed.
    ReplyFailed(ReplyHandle, FailureCause),
}

/// The result of an attempt, and what its store reported with the reply.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// Whether the store replied, and with success or which failure.
    pub status: Status,
    /// How the store produced the reply, such as from its cache or by a fill, or why it could not.
    pub note: Note,
    /// The time that the store waited for the source of the reply, as the store reported it; zero if it reported
    /// none.
    pub source_wait: Duration,
    /// The values of the store's load report, in the order of the names in the settings; empty if it reported none.
    pub load: Vec<f64>,
}

impl AttemptResult {
    /// The result of an attempt for which no reply was received.
    pub fn without_reply(status: Status, note: Note) -> Self {
        AttemptResult { status, note, source_wait: Duration::ZERO, load: Vec::new() }
    }
}

/// One load report of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The store.
    pub store: ServerId,
    /// The value of the load field, in the store's own unit.
    pub load: f64,
}
