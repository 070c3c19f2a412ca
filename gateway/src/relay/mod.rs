//! The daemon's role `larchway relay`: the loop that joins sockets, signals and the operator file with the relay's
//! state. All decisions are those of `larchway_distribution`.
mod connection;
pub mod documents_status;
mod error;
pub mod file;
mod file_error;
pub mod request;
mod response;
mod server;
mod status;
mod upstream;

pub use error::RelayError;

use crate::clock;
use crate::event_loop_error::EventLoopError;
use crate::polled_signals::{PolledSignals, SignalKeys};
use crate::postponed::{should_retry_reload, take_due, Postponed};
use crate::slots::SlotKey;
use crate::sockets::{drain, START_TIMEOUT};
use crate::system_errors::{retry_on_local_shortage, Failure};
use documents_status::DocumentsStatus;
use file::RelayFile;
use larchway::{mix, MonotonicTime};
use larchway_distribution::relay::{HistoryMismatch, Input, Output, Relay};
use larchway_distribution::EventNumber;
use polling::{Event, Poller};
use request::Request;
use server::{ConnectionEvent, Server};
use status::{Counters, DaemonFigures, EventProgress, Status};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};
use upstream::Upstream;

/// Keys at the poller beside those of the connections, which are far below. The greatest one is the poller's own.
const LISTENER: usize = usize::MAX - 1;
const STOP: usize = usize::MAX - 2;
const RELOAD: usize = usize::MAX - 3;
const UPSTREAM: usize = usize::MAX - 4;

/// A relay on real sockets.
pub struct RelayDaemon {
    path: String,
    file: RelayFile,
    poller: Rc<Poller>,
    stop_signal: UnixStream,
    reload_signal: UnixStream,
    /// A reload that waits for what this machine was short of.
    postponed_reload: Option<Postponed<()>>,
    server: Server,
    upstream: Upstream,
    relay: Relay,
    counters: Counters,
    /// Why it stopped serving last.
    stop_reason: Option<HistoryMismatch>,
}

impl RelayDaemon {
    /// Reads the operator file at this path and listens.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be used, or its address not be listened on.
    pub fn new(path: &str) -> Result<RelayDaemon, RelayError> {
        let start_until = Instant::now() + START_TIMEOUT;
        let file = retry_on_local_shortage(start_until, || file::read(path))?;
        let keys = SignalKeys { stop: STOP, reload: RELOAD };
        let PolledSignals { poller, stop, reload } = PolledSignals::open(keys, start_until)?;
        let poller = Rc::new(poller);
        let server = Server::new(poller.clone(), file.listen, LISTENER, file.subscribers, &stop)
            .map_err(EventLoopError::from)?;
        let now = clock::now();
        // Only spreads out retries; relays started together must differ.
        let seed = mix(now.as_micros() ^ u64::from(std::process::id()) << 32);
        Ok(RelayDaemon {
            path: path.to_string(),
            upstream: Upstream::new(now, poller.clone(), UPSTREAM, &file, seed),
            relay: Relay::new(file.relay_settings(seed)),
            poller,
            stop_signal: stop,
            reload_signal: reload,
            postponed_reload: None,
            server,
            counters: Counters::default(),
            stop_reason: None,
            file,
        })
    }

    /// Serves until SIGTERM; all connections are closed then, and subscribers go to another relay.
    ///
    /// # Errors
    ///
    /// Fails if the poller does.
    pub fn run(&mut self) -> Result<(), RelayError> {
        let address = self.server.address().map_err(RelayError::Address)?;
        info!("listening on {address}");
        let mut events = Vec::new();
        loop {
            self.run_due(clock::now());
            events.clear();
            match self.poller.wait(&mut events, self.longest_wait()) {
                Err(e) if Failure::of(&e) != Failure::Interrupted => {
                    return Err(EventLoopError::Poll(e).into())
                }
                _ => {}
            }
            // What comes from upstream goes before the subscribers, however many they are.
            events.sort_by_key(|event| std::cmp::Reverse(event.key));
            for event in &events {
                if event.key == STOP {
                    drain(&self.stop_signal);
                    info!(connections = self.server.connections(), "told to stop: connections are closed");
                    return Ok(());
                }
                self.handle_event(clock::now(), event);
            }
            self.write_queued(clock::now());
        }
    }

    fn longest_wait(&self) -> Option<Duration> {
        if self.server.has_queued() {
            return Some(Duration::ZERO);
        }
        let reload_due = self.postponed_reload.as_ref().map(Postponed::retry_at);
        let relay_due = self.relay.next_due();
        let deadlines = [relay_due, self.upstream.next_due(), self.server.next_due(), reload_due];
        let next = deadlines.into_iter().flatten().min()?;
        Some(next.saturating_since(clock::now()))
    }

    fn handle_event(&mut self, now: MonotonicTime, event: &Event) {
        match event.key {
            LISTENER => self.server.accept(now),
            RELOAD if drain(&self.reload_signal) > 0 => self.reload(now, now),
            RELOAD => {}
            UPSTREAM => {
                let inputs = self.upstream.ready(now, event);
                self.handle_upstream(now, inputs);
            }
            key => self.handle_connection(now, SlotKey(key as u64), event),
        }
    }

    fn handle_connection(&mut self, now: MonotonicTime, key: SlotKey, event: &Event) {
        if event.writable {
            self.server.writable(key);
        }
        if !event.readable {
            return;
        }
        for event in self.server.read(now, key) {
            match event {
                ConnectionEvent::SubscriberDisconnected => {
                    self.handle_input(now, Input::SubscriberDisconnected(key.0));
                }
                ConnectionEvent::Request(request) => self.handle_request(now, key, request),
            }
        }
    }

    fn handle_request(&mut self, now: MonotonicTime, key: SlotKey, request: Request) {
        match request {
            Request::Subscribe(request) => self.handle_input(now, Input::Subscribe { id: key.0, request }),
            Request::Position(report) => self.handle_input(now, Input::Position { id: key.0, report }),
            Request::Status => {
                let body = self.status(now);
                self.server.respond(now, key, response::json(&body));
            }
            Request::Documents => {
                let body = status::to_json(&DocumentsStatus::new(&self.relay));
                self.server.respond(now, key, response::json(&body));
            }
            Request::EventProgress(number) => {
                let body = self.event_progress(number);
                self.server.respond(now, key, response::json(&body));
            }
        }
    }

    fn run_due(&mut self, now: MonotonicTime) {
        if self.upstream.next_due().is_some_and(|due| due <= now) {
            let inputs = self.upstream.tick(now);
            self.handle_upstream(now, inputs);
        }
        if self.relay.next_due().is_some_and(|due| due <= now) {
            self.handle_input(now, Input::Tick);
        }
        if let Some(postponed) = take_due(&mut self.postponed_reload, now) {
            self.reload(now, postponed.since);
        }
        for key in self.server.expire(now) {
            self.handle_input(now, Input::SubscriberDisconnected(key.0));
        }
    }

    fn write_queued(&mut self, now: MonotonicTime) {
        let relay = &mut self.relay;
        let disconnected = self.server.write_queued(now, |id| relay.next_chunk(now, id));
        for key in disconnected {
            self.handle_input(now, Input::SubscriberDisconnected(key.0));
        }
    }

    fn handle_upstream(&mut self, now: MonotonicTime, inputs: Vec<Input>) {
        for input in inputs {
            self.handle_input(now, input);
        }
    }

    /// Hands an input to the relay and carries out its outputs.
    fn handle_input(&mut self, now: MonotonicTime, input: Input) {
        let mut outputs = Vec::new();
        self.relay.handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(now, output);
        }
    }

    fn carry_out(&mut self, now: MonotonicTime, output: Output) {
        match output {
            Output::Accept(id) => self.server.start_stream(id),
            Output::Reject { id, reason, retry_after } => {
                self.counters.count_reject(reason);
                let status = reason.status();
                let retry_after = (status == response::SERVICE_UNAVAILABLE).then_some(retry_after);
                self.server.respond(now, SlotKey(id), response::refusal(status, retry_after));
            }
            Output::Disconnect { id, reason } => {
                warn!(?reason, "a subscriber is cut off");
                self.counters.count_disconnect(reason);
                self.server.close(SlotKey(id));
            }
            Output::BatchSealed => self.server.wake_streams(),
            Output::Report(report) => self.upstream.report(report),
            Output::StopServing(reason) => {
                error!(%reason, "stopped serving");
                self.stop_reason = Some(reason);
            }
        }
    }

    /// Reads the complete operator file again and puts it in force; one that cannot be used changes nothing.
    /// It is tried again while this machine is short of something. `since`: when it was tried first.
    fn reload(&mut self, now: MonotonicTime, since: MonotonicTime) {
        self.postponed_reload = None;
        let next = match file::read(&self.path) {
            Ok(next) => next,
            Err(error) if should_retry_reload(&error, now, since) => {
                warn!("{error}; it is tried again");
                self.postponed_reload = Some(Postponed::new(now, since, ()));
                return;
            }
            Err(error) => return error!(%error, "the file stays as it was"),
        };
        if let Some(key) = self.file.needs_restart(&next) {
            return error!("the file stays as it was: {}: {key}: only a restart can change it", self.path);
        }
        self.file = next;
        let inputs = self.upstream.configure(now, &self.file);
        self.handle_upstream(now, inputs);
        info!("the file is in force");
    }

    fn status(&self, now: MonotonicTime) -> String {
        let figures = DaemonFigures {
            name: &self.file.name,
            root: self.file.root,
            stopped: self.stop_reason.filter(|_| !self.relay.is_ready()),
            source: self.upstream.source(),
            lag: self.upstream.lag(now),
            gaps: self.upstream.gaps(),
            connections: self.server.connections(),
            bytes_written: self.server.bytes_written(),
            counters: &self.counters,
        };
        status::to_json(&Status::new(&self.relay, &figures))
    }

    fn event_progress(&self, number: EventNumber) -> String {
        status::to_json(&EventProgress::new(&self.relay, number))
    }
}
