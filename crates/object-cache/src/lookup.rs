//! The conditions of a cache lookup and its result.
use crate::object::CachedObject;
use std::rc::Rc;
use std::time::Duration;

/// The conditions under which a cached object may answer a request.
#[derive(Debug, Clone, Copy)]
pub struct Lookup<'a> {
    /// Maximum age of the object since it was issued; zero means that it may answer until it is purged.
    pub time_to_live: Duration,
    /// The latency objective of the request's class, without the allowance for the transfer.
    pub latency_objective: Duration,
    /// Time until the client's deadline for the reply.
    pub time_left: Duration,
    /// The entity tag of the copy that the client holds, if it sent one.
    pub client_tag: Option<&'a str>,
}

/// A reply from the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheHit {
    /// The cached object.
    pub object: Rc<CachedObject>,
    /// Whether the client already holds the same object, so that its content is not sent.
    pub not_modified: bool,
}

/// Why a request is not answered from the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Miss {
    /// The object is not cached.
    Absent,
    /// The cached object is older than its time to live.
    Stale,
    /// The purge feed is silent or disconnected: the object may have been purged.
    PurgeFeedSilent,
    /// The client link is too busy to send the reply in time.
    LinkBusy,
}
