//! The state of a session and the record of a request in flight.
use crate::proto::Op;
use larchway::MonotonicTime;

/// The state of the connection and the session. `due` is the time of the next attempt when disconnected, and the
/// deadline of the operation in the other states.
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
    /// The token that the caller passed with the request.
    pub(super) token: u64,
    pub(super) sent_at: MonotonicTime,
}
