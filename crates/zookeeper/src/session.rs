//! A client's session as a state machine: which server to connect to and when, what to send, and how to handle a frame.
//!
//! The driver opens and closes connections and passes bytes; every decision is made here. States: disconnected (until
//! the next attempt is due), connecting, handshaking (the session was requested), established, closing, closed.
//! What a session guarantees:
//!
//! * K1 Nothing of a frame that can't be read is believed: the connection is given up with a [`ProtocolError`].
//! * K2 No reply of a server that lags behind the last zxid seen is accepted.
//! * K3 Each request ends once: answered, or dropped with its connection (what became of it is unknown then).
//! * K4 Requests on their way never exceed the window; one more is rejected as busy.
//! * K5 A server that says nothing for two thirds of the time-out is given up for another, and so is one that answers
//!   pings but not the oldest request for a full time-out.
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

/// First pause between two attempts to connect; it doubles, and a random half of it is left out.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Shortest time within which a connection must come up, and the session be established on it.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for the same.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long no server establishes the session, though all accept connections, until the last zxid is discarded: the
/// service was put back to an older state, and would be refused for ever.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(60);

/// A session.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    random: Pcg64Mcg,
    state: SessionState,
    /// The servers in the order in which they are tried; after the last one they are shuffled again.
    server_order: Vec<usize>,
    next_server: usize,
    backoff: Duration,
    id: i64,
    password: Vec<u8>,
    last_zxid: i64,
    timeout: Duration,
    /// A frame that is not complete yet; at most one of the longest size and what was read with it.
    input: Vec<u8>,
    xid: i32,
    /// Requests on their way, at most [`SessionConfig::window`], in the order of their answers.
    in_flight: VecDeque<InFlightRequest>,
    unanswered_pings: u32,
    last_received_at: MonotonicTime,
    last_sent_at: MonotonicTime,
    /// Since when no session is established on a connection.
    disconnected_since: Option<MonotonicTime>,
    /// Connections since then that ended during the handshake.
    failed_handshakes: usize,
}

impl Session {
    /// A session that has not begun; the seed decides on the order of servers and on pauses.
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

    /// Its id; 0: none.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The last zxid seen.
    pub fn last_zxid(&self) -> i64 {
        self.last_zxid
    }

    /// Whether it is established on a connection.
    pub fn is_established(&self) -> bool {
        self.state == SessionState::Established
    }

    /// How many requests may be sent now.
    pub fn available_requests(&self) -> usize {
        if self.is_established() {
            self.config.window.saturating_sub(self.in_flight.len())
        } else {
            0
        }
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        match self.state {
            SessionState::Disconnected { due }
            | SessionState::Connecting { due }
            | SessionState::Handshaking { due }
            | SessionState::Closing { due } => Some(due),
            // The service measures what the client sends: a client that receives much must send heartbeats all the same.
            SessionState::Established => {
                Some((self.last_sent_at + self.timeout / 3).min(self.silence_deadline()))
            }
            SessionState::Closed => None,
        }
    }

    /// When the server counts as silent.
    fn silence_deadline(&self) -> MonotonicTime {
        let oldest =
            self.in_flight.front().map_or(MonotonicTime::MAX, |request| request.sent_at + self.timeout);
        (self.last_received_at + self.timeout * 2 / 3).min(oldest)
    }

    /// Takes in what happened.
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
                    out.push(Output::Disconnect("it is closed".into()));
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

    /// Short enough that all other servers can be tried within the session time-out.
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
                self.disconnect(now, "no connection in time".into(), out);
            }
            SessionState::Handshaking { due } if now >= due => {
                self.disconnect(now, "no session in time".into(), out);
            }
            SessionState::Established if now >= self.silence_deadline() => {
                self.disconnect(now, "it has gone silent".into(), out);
            }
            SessionState::Established if now >= self.last_sent_at + self.timeout / 3 => {
                self.last_sent_at = now;
                self.unanswered_pings += 1;
                out.push(Output::Write(Request::Ping.framed(proto::PING_XID)));
            }
            SessionState::Closing { due } if now >= due => {
                self.state = SessionState::Closed;
                out.extend([Output::Disconnect("no answer to its close".into()), Output::Closed]);
            }
            _ => {}
        }
    }

    /// Gives the zxid seen up where all servers have refused it for long.
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

    /// Closes the connection from this side.
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
        // Danger: gateways that lost the same server at once must not connect to the next one at the same time.
        let max_pause_micros = duration_micros(self.backoff);
        let pause = Duration::from_micros(self.random.random_range(max_pause_micros / 2..=max_pause_micros));
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
        self.state = SessionState::Disconnected { due: now + pause };
    }
}
