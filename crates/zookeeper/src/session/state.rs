//! The state of a session and its requests in flight.
use crate::proto::Op;
use larchway::MonotonicTime;

/// The state of the connection and the session; `due` is when it times out, or ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum SessionState {
    Disconnected { due: MonotonicTime },
    Connecting { due: MonotonicTime },
    Handshaking { due: MonotonicTime },
    Established,
    Closing { due: MonotonicTime },
    Closed,
}

/// A request that was sent and has no reply yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightRequest {
    pub(super) xid: i32,
    pub(super) op: Op,
    /// The caller's token.
    pub(super) token: u64,
    pub(super) sent_at: MonotonicTime,
}
