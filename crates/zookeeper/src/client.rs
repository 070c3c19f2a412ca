//! A client that maintains an ephemeral node of its own and caches the children of the watched paths.
//!
//! On each connection the client sets a persistent recursive watch on every watched path and then reads the path with
//! pipelined requests. Persistent watches do not report changes made while disconnected (`setWatches2` restores them
//! without replaying events), so every path is read again. If a server answers 'unimplemented' (before release 3.6),
//! the client uses one-time watches and the older requests.
//!
//! * A1 A child is reported as removed only on a deletion event, a list of children without it, or a `NoNode` reply.
//! * A2 Losing the connection removes no children from the cache.
//! * A3 At most one request per child is queued, and at most the session's window is in flight.
//! * A5 A `sync` makes the server catch up once per `sync_interval`; at most one is in flight.
//! * A6 A watch is reported as synced, with the time at which the `sync` was requested, when the reply arrives and
//!   no read of the watch is queued or in flight.
//! * A4 Once a read is complete, the cache equals the service's state at the time of the read or later.
use crate::proto::{Acl, Code, Request};
use crate::session::{self, Session};
use larchway::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

mod children_watch;
mod config;
mod interface;
mod requests;
mod responses;
mod watch_events;

use children_watch::ChildrenWatch;
pub use children_watch::MAX_CHILDREN;
pub use config::{ClientConfig, Registration};
pub use interface::{ClientEvent, Input, Output};
use requests::PendingRequest;
use responses::ReceivedResponse;

/// Maximum number of requests in flight, which also bounds the replies that a server buffers for this session.
const WINDOW: usize = 256;
/// A client of a ZooKeeper ensemble that performs no I/O; the driver passes inputs and carries out the outputs.
#[derive(Debug)]
pub struct Client {
    session: Session,
    registration: Option<Registration>,
    registered: bool,
    watches: Vec<ChildrenWatch>,
    /// Requests in flight, by token; at most the session's window.
    in_flight: BTreeMap<u64, PendingRequest>,
    last_token: u64,
    sync_interval: Duration,
    /// When the next `sync` is due; none while one is queued or in flight, or if the server rejected one.
    sync_due: Option<MonotonicTime>,
    /// When the last `sync` was passed to the session.
    sync_requested_at: MonotonicTime,
    /// Requests waiting for room in the window: at most one per component of the own path and a few per watch.
    request_queue: VecDeque<(PendingRequest, Request)>,
    acl: Vec<Acl>,
}

impl Client {
    /// Creates a disconnected client. `seed` determines the order of the servers and the backoff.
    pub fn new(config: ClientConfig, seed: u64) -> Self {
        let acl = if config.credentials.is_empty() { Acl::open() } else { Acl::own() };
        let session_config = session::SessionConfig {
            servers: config.servers,
            timeout: config.timeout,
            credentials: config.credentials,
            window: WINDOW,
        };
        Client {
            session: Session::new(session_config, seed),
            registration: config.registration,
            registered: false,
            watches: config
                .watched_paths
                .into_iter()
                .map(|path| ChildrenWatch { path, ..ChildrenWatch::default() })
                .collect(),
            in_flight: BTreeMap::new(),
            last_token: 0,
            sync_interval: config.sync_interval,
            sync_due: None,
            sync_requested_at: MonotonicTime::MIN,
            request_queue: VecDeque::new(),
            acl,
        }
    }

    /// The underlying session, for its id and state.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Whether the own node is known to exist and to belong to this session.
    pub fn registered(&self) -> bool {
        self.registered
    }

    /// When the driver must next pass [`Input::Tick`]; none if no timer is running.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let sync = self.sync_due.filter(|_| self.session.is_established());
        self.session.next_due().into_iter().chain(sync).min()
    }

    /// Handles an input and appends the outputs it causes.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        let input = match input {
            Input::Tick => session::Input::Tick,
            Input::Connected => session::Input::Connected,
            Input::Bytes(bytes) => session::Input::Bytes(bytes),
            Input::ConnectionLost(reason) => session::Input::ConnectionLost(reason),
            Input::Close => session::Input::Close,
            Input::Data(data) => {
                self.set_own_data(data);
                return self.send_queued(now, out);
            }
        };
        self.session.handle(now, input, &mut outputs);
        for output in outputs {
            self.handle_session_output(now, output, out);
        }
        if self.session.is_established() && self.sync_due.is_some_and(|due| due <= now) {
            self.request_sync();
        }
        self.send_queued(now, out);
    }

    fn handle_session_output(&mut self, now: MonotonicTime, output: session::Output, out: &mut Vec<Output>) {
        use session::Output as SessionOutput;
        let event = |event| Output::Event(event);
        match output {
            SessionOutput::Connect(server) => out.push(Output::Connect(server)),
            SessionOutput::Write(bytes) => out.push(Output::Write(bytes)),
            SessionOutput::Disconnect(reason) => out.push(Output::Disconnect(reason)),
            SessionOutput::Established { session, fresh, timeout } => {
                out.push(event(ClientEvent::SessionEstablished { session, fresh, timeout }));
                self.start_requests(fresh);
            }
            SessionOutput::Suspended(reason) => {
                self.discard_requests();
                out.push(event(ClientEvent::Suspended(reason)));
            }
            SessionOutput::Expired => {
                self.registered = false;
                out.push(event(ClientEvent::Expired));
            }
            SessionOutput::StateRolledBack => out.push(event(ClientEvent::StateRolledBack)),
            SessionOutput::CredentialsRejected => {
                out.push(event(ClientEvent::Rejected("credentials".into(), Code::AuthFailed)));
            }
            SessionOutput::Closed => out.push(event(ClientEvent::Closed)),
            SessionOutput::WatchEvent(watch_event) => self.handle_watch_event(&watch_event, out),
            SessionOutput::Response { token, zxid, body } => {
                if let Some(pending) = self.in_flight.remove(&token) {
                    let response = ReceivedResponse { token, zxid, body };
                    self.handle_response(now, pending, response, out);
                }
            }
            // All requests still needed are queued again when the next connection is established.
            SessionOutput::Dropped(token) | SessionOutput::Busy(token) => drop(self.in_flight.remove(&token)),
        }
    }
}
