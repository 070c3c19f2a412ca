//! The configuration, inputs and outputs of a session.
use crate::proto::{Code, Credential, Event, Request, Response};
use std::time::Duration;

/// Configuration of a [`Session`](super::Session).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionConfig {
    /// Number of servers in the ensemble; each is identified by its index.
    pub servers: usize,
    /// The session time-out to request; the server may grant another.
    pub timeout: Duration,
    /// Credentials sent on each connection.
    pub credentials: Vec<Credential>,
    /// Maximum number of requests in flight.
    pub window: usize,
}

/// An input from the driver.
#[derive(Debug)]
pub enum Input<'a> {
    /// The time returned by [`Session::next_due`](super::Session::next_due) has been reached.
    Tick,
    /// The requested connection is open.
    Connected,
    /// Bytes were received on the connection.
    Bytes(&'a [u8]),
    /// The connection was lost or could not be opened, for this reason.
    ConnectionLost(&'a str),
    /// Send a request; its outcome is reported with this token, which the caller chooses.
    Request(u64, Request),
    /// Close the session, which deletes its ephemeral nodes.
    Close,
}

/// An action for the driver, or an event of the session.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection to the server with this index; any earlier connection has been closed.
    Connect(usize),
    /// Write these bytes to the connection.
    Write(Vec<u8>),
    /// Close the connection, for this reason; do not pass [`Input::ConnectionLost`] for it.
    Disconnect(String),
    /// The session is established.
    Established {
        /// Id of the session.
        session: i64,
        /// Whether the session is new, so that ephemeral nodes of an earlier one do not belong to it.
        fresh: bool,
        /// The session time-out granted by the server.
        timeout: Duration,
    },
    /// The connection was lost, for this reason. The state of the nodes is unknown until the next connection.
    Suspended(String),
    /// The service ended the session and deleted its ephemeral nodes.
    Expired,
    /// The last zxid was discarded because no server accepted it; the next reads may return older state than before.
    StateRolledBack,
    /// The server rejected one of the credentials.
    CredentialsRejected,
    /// The reply to a request.
    Response {
        /// The token passed with the request.
        token: u64,
        /// The last zxid that the server had seen.
        zxid: i64,
        /// The result of the request, or the error of the server.
        body: Result<Response, Code>,
    },
    /// The connection was lost before the reply to the request with this token; the request may have been executed.
    Dropped(u64),
    /// The request with this token was not sent: the session is not established or the window is full.
    Busy(u64),
    /// The server sent a watch event.
    WatchEvent(Event),
    /// The session was closed on request.
    Closed,
}
