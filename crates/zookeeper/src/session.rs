//! A client session as a state machine: chooses servers, reconnects with backoff, sends requests and handles replies.
//!
//! The driver opens and closes connections and passes bytes; every decision is made here. States: disconnected (until
//! the next attempt is due), connecting, handshaking (the session was requested), established, closing, closed.
//! Guarantees of a session:
//!
//! * K1 An invalid frame is discarded as a whole, and the connection is closed with a [`ProtocolError`].
//! * K2 A reply with a zxid below the last zxid seen is not accepted.
//! * K3 Each request in flight ends once: with a reply, or dropped with its connection and an unknown outcome.
//! * K4 The number of requests in flight never exceeds the window; further requests are rejected as busy.
//! * K5 The session disconnects from a server that sends nothing for two thirds of the session time-out, or that
//!   does not reply to the oldest request for the full time-out although it answers pings.
#[cfg(doc)]
use crate::error::ProtocolError;
use crate::proto::{self, Connect, Op, Request};
use larchway::{duration_micros, MonotonicTime};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;

mod interface;
mod replies;
mod state;

pub use interface::{Input, Output, SessionConfig};
use state::{InFlightRequest, SessionState};

/// Initial backoff between connection attempts. It doubles per attempt; the pause is a random 50 to 100 % of it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum time-out of a connection attempt, and of the handshake that follows it.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time-out of a connection attempt, of the handshake, and of the reply to a close request.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an established session, while servers accept connections but fail the handshake, after which the last
/// zxid is discarded: a service restored to an older state would otherwise never be accepted again.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(60);

/// A client session with one ensemble, across connections and servers.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    random: Pcg64Mcg,
    state: SessionState,
    /// Server indexes in the order of the attempts; shuffled again after the last one.
    server_order: Vec<usize>,
    /// Position in `server_order` of the next attempt.
    next_server: usize,
    backoff: Duration,
    id: i64,
    password: Vec<u8>,
    last_zxid: i64,
    timeout: Duration,
    /// Received bytes that do not form a complete frame yet, bounded by the maximum frame size and one read.
    input: Vec<u8>,
    xid: i32,
    /// Requests in flight, at most [`SessionConfig::window`], in the order in which the server replies.
    in_flight: VecDeque<InFlightRequest>,
    unanswered_pings: u32,
    last_received_at: MonotonicTime,
    last_sent_at: MonotonicTime,
    /// Start of the period without an established session; none while it is established.
    disconnected_since: Option<MonotonicTime>,
    /// Number of connections since `disconnected_since` that ended during the handshake.
    failed_handshakes: usize,
}

impl Session {
    /// Creates a disconnected session. `seed` determines the order of the servers and the backoff.
    pub fn new(config: SessionConfig, seed: u64) -> Self {
        let mut session = Session {
            server_order: (0..config.servers).collect(),
            timeout: config.timeout,
            config,
            random: Pcg64Mcg::seed_from_u64(seed),
            state: SessionState::Disconnected { due: MonotonicTime::MIN },
            next_server: 0,
            backoff: INITIAL_BACKOFF,
            id: 0,
            password: vec![0; 16],
            last_zxid: 0,
            input: Vec::new(),
            xid: 0,
            in_flight: VecDeque::new(),
            unanswered_pings: 0,
            last_received_at: MonotonicTime::MIN,
            last_sent_at: MonotonicTime::MIN,
            disconnected_since: None,
            failed_handshakes: 0,
        };
        session.server_order.shuffle(&mut session.random);
        session
    }

    /// Id of the session; 0 if there is none.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The highest zxid in a reply of any server; 0 before the first reply or after a rollback.
    pub fn last_zxid(&self) -> i64 {
        self.last_zxid
    }

    /// Whether the session is established on the current connection.
    pub fn is_established(&self) -> bool {
        self.state == SessionState::Established
    }

    /// Number of requests that fit into the window now; 0 while the session is not established.
    pub fn available_requests(&self) -> usize {
        if self.is_established() {
            self.config.window.saturating_sub(self.in_flight.len())
        } else {
            0
        }
    }

    /// When the driver must next pass [`Input::Tick`]; none once the session is closed.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        match self.state {
            SessionState::Disconnected { due }
            | SessionState::Connecting { due }
            | SessionState::Handshaking { due }
            | SessionState::Closing { due } => Some(due),
            // The service expires sessions by what the client sends, so pings are due even while data is received.
            SessionState::Established => {
                Some((self.last_sent_at + self.timeout / 3).min(self.silence_deadline()))
            }
            SessionState::Closed => None,
        }
    }

    /// The time at which the server is considered unresponsive (K5).
    fn silence_deadline(&self) -> MonotonicTime {
        let oldest =
            self.in_flight.front().map_or(MonotonicTime::MAX, |request| request.sent_at + self.timeout);
        (self.last_received_at + self.timeout * 2 / 3).min(oldest)
    }

    /// Handles an input and appends the outputs it causes.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Connected => self.start_handshake(now, out),
            Input::Bytes(bytes) => {
                self.last_received_at = now;
                self.input.extend_from_slice(bytes);
                if let Err(error) = self.read_frames(now, out) {
                    self.disconnect(now, error.to_string(), out);
                }
            }
            Input::ConnectionLost(reason) => match self.state {
                SessionState::Closing { .. } => {
                    self.state = SessionState::Closed;
                    out.push(Output::Closed);
                }
                _ => self.connection_lost(now, reason.to_string(), out),
            },
            Input::Request(token, request) => self.send_request(now, token, &request, out),
            Input::Close => self.close(now, out),
        }
    }

    fn start_handshake(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if matches!(self.state, SessionState::Connecting { .. }) {
            self.state = SessionState::Handshaking { due: now + self.connect_timeout() };
            (self.last_received_at, self.last_sent_at) = (now, now);
            out.push(Output::Write(self.handshake_request()));
        }
    }

    fn send_request(&mut self, now: MonotonicTime, token: u64, request: &Request, out: &mut Vec<Output>) {
        if self.available_requests() == 0 {
            return out.push(Output::Busy(token));
        }
        let xid = self.send_frame(now, request, out);
        self.in_flight.push_back(InFlightRequest { xid, op: request.op(), token, sent_at: now });
    }

    fn close(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        match self.state {
            SessionState::Established => {
                let xid = self.send_frame(now, &Request::Close, out);
                self.in_flight.push_back(InFlightRequest { xid, op: Op::Close, token: 0, sent_at: now });
                self.state = SessionState::Closing { due: now + MAX_CONNECT_TIMEOUT };
            }
            SessionState::Closing { .. } | SessionState::Closed => {}
            state => {
                if !matches!(state, SessionState::Disconnected { .. }) {
                    out.push(Output::Disconnect("session closed".into()));
                }
                self.state = SessionState::Closed;
                out.push(Output::Closed);
            }
        }
    }

    fn send_frame(&mut self, now: MonotonicTime, request: &Request, out: &mut Vec<Output>) -> i32 {
        self.xid = self.xid.checked_add(1).unwrap_or(1);
        self.last_sent_at = now;
        out.push(Output::Write(request.framed(self.xid)));
        self.xid
    }

    /// Time-out of a connection attempt: short enough to try all other servers within the session time-out.
    fn connect_timeout(&self) -> Duration {
        (self.timeout / (self.config.servers.max(1) as u32 + 1))
            .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    fn handshake_request(&self) -> Vec<u8> {
        let timeout = i32::try_from(self.config.timeout.as_millis()).unwrap_or(i32::MAX);
        let connect = Connect {
            last_zxid_seen: self.last_zxid,
            timeout,
            session: self.id,
            password: self.password.clone(),
        };
        connect.framed()
    }

    fn tick(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        match self.state {
            SessionState::Disconnected { due } if now >= due => {
                self.accept_rollback(now, out);
                if self.next_server >= self.server_order.len() {
                    self.server_order.shuffle(&mut self.random);
                    self.next_server = 0;
                }
                let Some(&server) = self.server_order.get(self.next_server) else { return };
                self.next_server += 1;
                self.state = SessionState::Connecting { due: now + self.connect_timeout() };
                out.push(Output::Connect(server));
            }
            SessionState::Connecting { due } if now >= due => {
                self.disconnect(now, "connection attempt timed out".into(), out);
            }
            SessionState::Handshaking { due } if now >= due => {
                self.disconnect(now, "session handshake timed out".into(), out);
            }
            SessionState::Established if now >= self.silence_deadline() => {
                self.disconnect(now, "server stopped responding".into(), out);
            }
            SessionState::Established if now >= self.last_sent_at + self.timeout / 3 => {
                self.last_sent_at = now;
                self.unanswered_pings += 1;
                out.push(Output::Write(Request::Ping.framed(proto::PING_XID)));
            }
            SessionState::Closing { due } if now >= due => {
                self.state = SessionState::Closed;
                out.extend([Output::Disconnect("no reply to the close request".into()), Output::Closed]);
            }
            _ => {}
        }
    }

    /// Discards the last zxid and the session once handshakes have failed for [`ROLLBACK_TIMEOUT`], on average at least
    /// twice per server.
    fn accept_rollback(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        let timed_out = self.disconnected_since.is_some_and(|since| now >= since + ROLLBACK_TIMEOUT);
        if timed_out && self.last_zxid > 0 && self.failed_handshakes >= 2 * self.config.servers {
            (self.last_zxid, self.failed_handshakes) = (0, 0);
            self.discard_session();
            out.push(Output::StateRolledBack);
        }
    }

    fn discard_session(&mut self) {
        self.id = 0;
        self.password = vec![0; 16];
    }

    /// Asks the driver to close the connection and handles its loss.
    fn disconnect(&mut self, now: MonotonicTime, reason: String, out: &mut Vec<Output>) {
        out.push(Output::Disconnect(reason.clone()));
        self.connection_lost(now, reason, out);
    }

    fn connection_lost(&mut self, now: MonotonicTime, reason: String, out: &mut Vec<Output>) {
        match self.state {
            SessionState::Disconnected { .. } | SessionState::Closed => return,
            SessionState::Established | SessionState::Closing { .. } => {
                self.disconnected_since = Some(now);
                out.push(Output::Suspended(reason));
            }
            SessionState::Handshaking { .. } => self.failed_handshakes += 1,
            SessionState::Connecting { .. } => {}
        }
        self.disconnected_since.get_or_insert(now);
        self.input = Vec::new();
        self.unanswered_pings = 0;
        out.extend(self.in_flight.drain(..).map(|request| Output::Dropped(request.token)));
        // Random, so that gateways that lost the same server do not all connect to the next one at the same time.
        let max_pause_micros = duration_micros(self.backoff);
        let pause = Duration::from_micros(self.random.random_range(max_pause_micros / 2..=max_pause_micros));
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
        self.state = SessionState::Disconnected { due: now + pause };
    }
}
