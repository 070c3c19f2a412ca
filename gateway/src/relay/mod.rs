//! The daemon's role `larchway relay`: the loop that joins sockets, signals and the operator file with the relay's
//! state. All decisions are those of `larchway_distribution`.
mod connection;
pub mod file;
mod request;
mod response;
mod server;
mod status;
mod upstream;

use crate::clock::now;
use crate::log;
use crate::slots::Key;
use crate::sockets::{drain, signal_pipe};
use file::RelayFile;
use larchway::{mix, Micros};
use larchway_distribution::relay::{Input, Output, Relay};
use larchway_distribution::EventNumber;
use polling::{Event, Poller};
use request::Request;
use server::{Received, Server};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use status::{Counters, Done, Status, Surroundings};
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;
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
    server: Server,
    upstream: Upstream,
    relay: Relay,
    counters: Counters,
    /// Why it stopped serving last.
    stopped: Option<String>,
}

impl RelayDaemon {
    /// Reads the operator file at this path and listens.
    pub fn new(path: &str) -> Result<RelayDaemon, String> {
        let file = file::read(path)?;
        let poller = Rc::new(Poller::new().map_err(|e| format!("cannot poll: {e}"))?);
        let stop_signal = signal_pipe(&poller, &[SIGTERM, SIGINT], STOP)?;
        let reload_signal = signal_pipe(&poller, &[SIGHUP], RELOAD)?;
        let server = Server::new(poller.clone(), file.listen, LISTENER, file.subscribers, &stop_signal)?;
        let at = now();
        // Only spreads out retries; relays started together must differ.
        let seed = mix(at ^ u64::from(std::process::id()) << 32);
        Ok(RelayDaemon {
            path: path.to_string(),
            upstream: Upstream::new(at, poller.clone(), UPSTREAM, &file, seed),
            relay: Relay::new(file.relay_terms(seed)),
            poller,
            stop_signal,
            reload_signal,
            server,
            counters: Counters::default(),
            stopped: None,
            file,
        })
    }

    /// Serves until SIGTERM; all connections are closed then, and subscribers go to another relay.
    pub fn run(&mut self) -> Result<(), String> {
        let address = self.server.address().map_err(|e| format!("cannot listen: {e}"))?;
        log!("listening on {address}");
        let mut events = Vec::new();
        loop {
            self.run_due(now());
            events.clear();
            match self.poller.wait(&mut events, self.longest_wait()) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(format!("cannot poll: {e}")),
                _ => {}
            }
            // What comes from upstream goes before the subscribers, however many they are.
            events.sort_by_key(|event| std::cmp::Reverse(event.key));
            for event in &events {
                if event.key == STOP {
                    drain(&self.stop_signal);
                    log!("told to stop: {} connections are closed", self.server.connections());
                    return Ok(());
                }
                self.handle_event(now(), event);
            }
            self.write_queued(now());
        }
    }

    fn longest_wait(&self) -> Option<Duration> {
        if self.server.has_queued() {
            return Some(Duration::ZERO);
        }
        let due = [self.relay.next_due(), self.upstream.next_due(), self.server.next_due()];
        let next = due.into_iter().flatten().min()?;
        Some(Duration::from_micros(next.saturating_sub(now())))
    }

    fn handle_event(&mut self, at: Micros, event: &Event) {
        match event.key {
            LISTENER => self.server.accept(at),
            RELOAD => self.reload(at),
            UPSTREAM => {
                let inputs = self.upstream.ready(at, event);
                self.take_upstream(at, inputs);
            }
            key => self.handle_connection(at, Key(key as u64), event),
        }
    }

    fn handle_connection(&mut self, at: Micros, key: Key, event: &Event) {
        if event.writable {
            self.server.writable(key);
        }
        if !event.readable {
            return;
        }
        for received in self.server.read(at, key) {
            match received {
                Received::Gone => self.feed(at, Input::Gone(key.0)),
                Received::Request(request) => self.handle_request(at, key, request),
            }
        }
    }

    fn handle_request(&mut self, at: Micros, key: Key, request: Request) {
        match request {
            Request::Subscribe(hello) => self.feed(at, Input::Subscribe { id: key.0, hello }),
            Request::Position(report) => self.feed(at, Input::Position { id: key.0, report }),
            Request::Status => {
                let body = self.status(at);
                self.server.respond(at, key, response::json(&body));
            }
            Request::Done(number) => {
                let body = self.done(number);
                self.server.respond(at, key, response::json(&body));
            }
        }
    }

    fn run_due(&mut self, at: Micros) {
        if self.upstream.next_due().is_some_and(|due| due <= at) {
            let inputs = self.upstream.tick(at);
            self.take_upstream(at, inputs);
        }
        if self.relay.next_due().is_some_and(|due| due <= at) {
            self.feed(at, Input::Tick);
        }
        for key in self.server.expire(at) {
            self.feed(at, Input::Gone(key.0));
        }
    }

    fn write_queued(&mut self, at: Micros) {
        let relay = &mut self.relay;
        let gone = self.server.write_queued(at, |id| relay.next_chunk(at, id));
        for key in gone {
            self.feed(at, Input::Gone(key.0));
        }
    }

    fn take_upstream(&mut self, at: Micros, inputs: Vec<Input>) {
        for input in inputs {
            self.feed(at, input);
        }
    }

    /// Tells the relay what has happened and does what it asks for.
    fn feed(&mut self, at: Micros, input: Input) {
        let mut outputs = Vec::new();
        self.relay.handle(at, input, &mut outputs);
        for output in outputs {
            self.carry_out(at, output);
        }
    }

    fn carry_out(&mut self, at: Micros, output: Output) {
        match output {
            Output::Accept(id) => self.server.start_stream(id),
            Output::Reject { id, reason, retry_after } => {
                self.counters.count_reject(reason);
                let status = reason.status();
                let retry_after = (status == response::SERVICE_UNAVAILABLE).then_some(retry_after);
                self.server.respond(at, Key(id), response::refusal(status, retry_after));
            }
            Output::Cut { id, reason } => {
                log!("a subscriber is cut off: {reason:?}");
                self.counters.count_cut(reason);
                self.server.close(Key(id));
            }
            Output::Ready => self.server.wake_streams(),
            Output::Report(report) => self.upstream.report(report),
            Output::StopServing(reason) => {
                log!("stopped serving: {reason}");
                self.stopped = Some(reason);
            }
        }
    }

    /// Reads the operator file again, whole, and puts it in force; one that cannot be used changes nothing.
    fn reload(&mut self, at: Micros) {
        drain(&self.reload_signal);
        let next = match file::read(&self.path) {
            Ok(next) => next,
            Err(why) => return log!("the file stays as it was: {why}"),
        };
        if let Some(key) = self.file.needs_restart(&next) {
            return log!("the file stays as it was: {}: {key}: only a restart can change it", self.path);
        }
        self.file = next;
        let inputs = self.upstream.configure(at, &self.file);
        self.take_upstream(at, inputs);
        log!("the file is in force");
    }

    fn status(&self, at: Micros) -> String {
        let surroundings = Surroundings {
            name: &self.file.name,
            root: self.file.root,
            stopped: self.stopped.as_deref().filter(|_| !self.relay.is_ready()),
            source: self.upstream.source(),
            lag: self.upstream.lag(at),
            gaps: self.upstream.gaps(),
            connections: self.server.connections(),
            bytes_written: self.server.bytes_written(),
            counters: &self.counters,
        };
        status::to_json(&Status::new(&self.relay, &surroundings))
    }

    fn done(&self, number: EventNumber) -> String {
        status::to_json(&Done::new(&self.relay, number))
    }
}
