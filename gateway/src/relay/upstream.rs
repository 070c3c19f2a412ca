//! The relay's side towards its sources: bytes go to a [`Subscriber`], and its outputs to the socket and the relay.
mod connection;
mod stream;

use super::file::RelayFile;
use crate::clock;
use crate::nonblocking::ReadOutcome;
use crate::postponed::{take_due, Postponed};
use crate::system_errors::Failure;
use connection::Connection;
use larchway::MonotonicTime;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::Input as RelayInput;
use larchway_distribution::subscriber::{Input, LeaveReason, SourceKind, Subscriber, Subscription};
use polling::{Event as Readiness, Poller};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Bytes read at a time, and reads in a turn at most.
const MAX_READ_BYTES: usize = 16 << 10;
const MAX_READS_PER_TURN: usize = 16;
/// The time for which a connect is made again while this machine is short of something for it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The relay's side towards its sources.
pub struct Upstream {
    poller: Rc<Poller>,
    key: usize,
    name: String,
    kind: SourceKind,
    subscriber: Subscriber,
    connection: Option<Connection>,
    /// A subscription that this machine had no room to connect for.
    postponed: Option<Postponed<Subscription>>,
    /// Why a source was left last.
    last_leave_reason: Option<LeaveReason>,
    /// Whether something is missing before the next event.
    has_gap: bool,
    /// The last report that is not sent yet.
    report: Option<PositionReport>,
    /// Whether another history is taken over without an operator.
    restart_history: bool,
    /// All sources had another history: none is dialled any more.
    is_stopped: bool,
}

impl Upstream {
    /// Dials at the first tick. `key`: that of its connection at the poller.
    pub fn new(now: MonotonicTime, poller: Rc<Poller>, key: usize, file: &RelayFile, seed: u64) -> Upstream {
        let settings = file.subscriber_settings();
        let kind = settings.kind;
        let mut subscriber = Subscriber::new(now, settings, 0, seed);
        subscriber.set_anchor(clock::wire_anchor());
        Upstream {
            poller,
            key,
            name: file.name.clone(),
            kind,
            subscriber,
            connection: None,
            postponed: None,
            last_leave_reason: None,
            has_gap: false,
            report: None,
            restart_history: file.restart_history,
            is_stopped: false,
        }
    }

    /// When [`Upstream::tick`] is wanted.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        if self.is_stopped {
            return None;
        }
        let retry = self.postponed.as_ref().map(Postponed::retry_at);
        [self.subscriber.next_due(), retry].into_iter().flatten().min()
    }

    /// The source that is connected or dialled next.
    pub fn source(&self) -> Option<SocketAddr> {
        self.subscriber.source()
    }

    /// Time since the source of events was last known to be alive.
    pub fn lag(&self, now: MonotonicTime) -> Option<Duration> {
        self.subscriber.lag(now)
    }

    /// Gaps so far.
    pub fn gaps(&self) -> u64 {
        self.subscriber.gaps()
    }

    /// Puts a file in force. Returns the inputs of the relay.
    pub fn configure(&mut self, now: MonotonicTime, file: &RelayFile) -> Vec<RelayInput> {
        let mut outputs = Vec::new();
        let mut inputs = Vec::new();
        self.restart_history = file.restart_history;
        self.subscriber.configure(now, file.subscriber_settings(), &mut outputs);
        self.carry_out(now, outputs, None, &mut inputs);
        inputs
    }

    /// Time has passed. Returns the inputs of the relay.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<RelayInput> {
        let mut inputs = Vec::new();
        if self.is_stopped {
            return inputs;
        }
        if let Some(postponed) = take_due(&mut self.postponed, now) {
            self.dial(now, postponed.since, postponed.work);
        }
        self.handle(now, Input::Tick, None, &mut inputs);
        inputs
    }

    /// The connection may be read or written. Returns the inputs of the relay.
    pub fn ready(&mut self, now: MonotonicTime, readiness: &Readiness) -> Vec<RelayInput> {
        let mut inputs = Vec::new();
        if readiness.writable && self.flush().is_err() {
            self.lose(now, &mut inputs);
        }
        if readiness.readable {
            self.read(now, &mut inputs);
        }
        inputs
    }

    /// Reports how far all gateways below are, if there is a relay to report to; a later report replaces one that
    /// is not sent yet.
    pub fn report(&mut self, report: PositionReport) {
        if self.kind != SourceKind::Relay {
            return;
        }
        self.report = Some(report);
        // An error shows at the next read as well.
        let _ = self.flush();
    }

    fn read(&mut self, now: MonotonicTime, inputs: &mut Vec<RelayInput>) {
        let mut bytes = vec![0; MAX_READ_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = &mut self.connection else { return };
            match connection.read(&mut bytes) {
                Ok(ReadOutcome::Received(count)) => self.decode(now, &bytes[..count], inputs),
                Ok(ReadOutcome::NotReady) => return,
                Ok(ReadOutcome::Ended) | Err(_) => return self.lose(now, inputs),
            }
        }
    }

    /// Connects to a source, which was tried first at `since`. Danger: a shortage of this machine, attributed to the
    /// source, leaves one that is well.
    fn dial(&mut self, now: MonotonicTime, since: MonotonicTime, subscription: Subscription) {
        self.postponed = None;
        let error = match self.connect(&subscription) {
            Ok(connection) => return self.connection = Some(connection),
            Err(error) => error,
        };
        warn!(%error, "cannot connect to {}", subscription.source);
        if Failure::of_connect(&error) == Failure::LocalShortage && now < since + CONNECT_TIMEOUT {
            self.postponed = Some(Postponed::new(now, since, subscription));
        } else {
            self.subscriber.handle(now, Input::ConnectFailed, &mut Vec::new());
        }
    }

    fn connect(&self, subscription: &Subscription) -> io::Result<Connection> {
        let poller = self.poller.clone();
        Connection::open(poller, self.key, subscription, &self.name)
    }

    /// Writes what there is: the request, then the report that is not sent yet.
    fn flush(&mut self) -> io::Result<()> {
        match &mut self.connection {
            Some(connection) => connection.flush(&mut self.report),
            None => Ok(()),
        }
    }

    fn lose(&mut self, now: MonotonicTime, inputs: &mut Vec<RelayInput>) {
        if self.connection.is_none() {
            return;
        }
        warn!(source = ?self.subscriber.source(), "the connection to a source is lost");
        self.handle(now, Input::Disconnected, None, inputs);
        self.close();
    }

    fn leave(&mut self, reason: LeaveReason) {
        self.close();
        self.last_leave_reason = Some(reason);
        warn!(%reason, "a source is left");
    }

    fn close(&mut self) {
        self.postponed = None;
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}
