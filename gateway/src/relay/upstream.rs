//! The connection to the relay's source: bytes to a [`Subscriber`], and its orders to the socket and the relay.
use super::file::RelayFile;
use crate::event_stream::{Part, StreamError, StreamReader};
use crate::log;
use crate::sockets::begin_connect;
use larchway::Micros;
use larchway_distribution::batch::placeholder;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::Input as RelayInput;
use larchway_distribution::subscriber::{
    position_request, GapReason, Input, LeaveReason, Output, Received, SourceKind, Subscriber, Subscription,
};
use larchway_distribution::{Event, EventNumber, Subject};
use polling::{Event as Readiness, PollMode, Poller};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Bytes read at a time, and reads in a turn at most.
const READ_STEP: usize = 16 << 10;
const READS_AT_ONCE: usize = 16;

struct Connection {
    stream: TcpStream,
    source: SocketAddr,
    reader: StreamReader,
    /// The request, then at most one position report; the next one waits in `Upstream::report`.
    output: Vec<u8>,
    connected: bool,
    /// Whether the response has begun.
    streaming: bool,
}

/// The relay's side towards its sources.
pub struct Upstream {
    poller: Rc<Poller>,
    key: usize,
    name: String,
    kind: SourceKind,
    subscriber: Subscriber,
    connection: Option<Connection>,
    /// Why a source was left last.
    left: String,
    /// Whether something is missing before the next event.
    gap: bool,
    /// The last report that is not sent yet.
    report: Option<PositionReport>,
    /// Whether another history is taken over without an operator.
    restart_history: bool,
    /// All sources told another history: none is dialled any more.
    stopped: bool,
}

impl Upstream {
    /// Dials at the first tick. `key`: that of its connection at the poller.
    pub fn new(now: Micros, poller: Rc<Poller>, key: usize, file: &RelayFile, seed: u64) -> Upstream {
        let terms = file.subscriber_terms();
        Upstream {
            poller,
            key,
            name: file.name.clone(),
            kind: terms.kind,
            subscriber: Subscriber::new(now, terms, 0, seed),
            connection: None,
            left: String::new(),
            gap: false,
            report: None,
            restart_history: file.restart_history,
            stopped: false,
        }
    }

    /// When [`Upstream::tick`] is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        if self.stopped {
            return None;
        }
        self.subscriber.next_due()
    }

    /// The source that is connected or dialled next.
    pub fn source(&self) -> Option<SocketAddr> {
        self.subscriber.source()
    }

    /// Time since the source of events was heard, as the last heartbeat told.
    pub fn lag(&self, now: Micros) -> Option<Micros> {
        self.subscriber.lag(now)
    }

    /// Gaps so far.
    pub fn gaps(&self) -> u64 {
        self.subscriber.gaps()
    }

    /// Puts a file in force.
    pub fn configure(&mut self, now: Micros, file: &RelayFile) -> Vec<RelayInput> {
        let mut outputs = Vec::new();
        let mut inputs = Vec::new();
        self.restart_history = file.restart_history;
        self.subscriber.configure(now, file.subscriber_terms(), &mut outputs);
        self.carry_out(now, outputs, None, &mut inputs);
        inputs
    }

    /// Time has passed. Returns what the relay is to be told.
    pub fn tick(&mut self, now: Micros) -> Vec<RelayInput> {
        let mut inputs = Vec::new();
        if !self.stopped {
            self.handle(now, Input::Tick, None, &mut inputs);
        }
        inputs
    }

    /// The connection may be read or written. Returns what the relay is to be told.
    pub fn ready(&mut self, now: Micros, readiness: &Readiness) -> Vec<RelayInput> {
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

    fn read(&mut self, now: Micros, inputs: &mut Vec<RelayInput>) {
        let mut bytes = vec![0; READ_STEP];
        for _ in 0..READS_AT_ONCE {
            let Some(connection) = &mut self.connection else { return };
            match connection.stream.read(&mut bytes) {
                Ok(0) => return self.lose(now, inputs),
                Ok(count) => self.decode(now, &bytes[..count], inputs),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.lose(now, inputs),
            }
        }
    }

    fn decode(&mut self, now: Micros, bytes: &[u8], inputs: &mut Vec<RelayInput>) {
        let Some(connection) = &mut self.connection else { return };
        let parts = match connection.reader.take(bytes) {
            Ok(parts) => parts,
            Err(error) => return self.fail(now, &error, inputs),
        };
        if !std::mem::replace(&mut connection.streaming, true) {
            inputs.push(RelayInput::UpstreamUp);
        }
        self.handle(now, Input::Heard, None, inputs);
        for part in parts {
            match part {
                Part::Event(data) => self.take_event(now, &data, inputs),
                Part::Comment(text) => self.take_comment(now, &text, inputs),
            }
        }
    }

    fn fail(&mut self, now: Micros, error: &StreamError, inputs: &mut Vec<RelayInput>) {
        let input = match *error {
            StreamError::Refused { status, retry_after } => Input::Refused { status, retry_after },
            StreamError::Ended => return self.lose(now, inputs),
            _ => Input::Garbled,
        };
        log!("the source {:?} cannot be read: {error}", self.subscriber.source());
        self.handle(now, input, None, inputs);
    }

    fn take_event(&mut self, now: Micros, data: &str, inputs: &mut Vec<RelayInput>) {
        let event = Event::read(data);
        let received = match &event {
            Ok(event) => received(event),
            Err(why) => {
                log!("{why}");
                Received { number: None, digest: None, whole_list: false }
            }
        };
        self.handle(now, Input::Event(received), event.ok(), inputs);
    }

    fn take_comment(&mut self, now: Micros, text: &str, inputs: &mut Vec<RelayInput>) {
        self.handle(now, Input::Comment(text), None, inputs);
        // A source that is no relay says by a comment that it has sent all that it has.
        if self.kind == SourceKind::Plain && self.subscriber.caught_up() {
            inputs.push(RelayInput::Heartbeat { heard: now });
        }
    }

    /// Hands an input to the subscriber, unless the connection that it came from is closed.
    fn handle(&mut self, now: Micros, input: Input<'_>, event: Option<Event>, inputs: &mut Vec<RelayInput>) {
        if self.connection.is_none() && !matches!(input, Input::Tick) {
            return;
        }
        let mut outputs = Vec::new();
        self.subscriber.handle(now, input, &mut outputs);
        self.carry_out(now, outputs, event, inputs);
    }

    fn carry_out(
        &mut self,
        now: Micros,
        outputs: Vec<Output>,
        mut event: Option<Event>,
        inputs: &mut Vec<RelayInput>,
    ) {
        for output in outputs {
            match output {
                Output::Dial(subscription) => self.dial(now, &subscription),
                Output::Close(reason) => self.leave(reason),
                Output::Heard(heard) if self.kind == SourceKind::Relay => {
                    inputs.push(RelayInput::Heartbeat { heard });
                }
                // A heartbeat goes out after the events that came with these bytes; see `take_comment`.
                Output::Heard(_) => {}
                Output::Lost => inputs.push(RelayInput::UpstreamLost),
                Output::Gap { after, reason } => {
                    log!("events after {after} may be missing: {reason}");
                    self.gap = true;
                    if reason == GapReason::OtherHistory {
                        inputs.push(self.leave_history(after));
                    }
                }
                Output::Apply(_) => inputs.extend(event.take().map(|event| self.apply(event))),
                Output::PassOver => {
                    log!("an event after {} is passed over", self.subscriber.cursor());
                    self.gap = true;
                }
            }
        }
    }

    fn leave_history(&mut self, after: EventNumber) -> RelayInput {
        self.stopped = !self.restart_history;
        RelayInput::OtherHistory(format!("after event {after}, {}", self.left))
    }

    fn apply(&mut self, event: Event) -> RelayInput {
        match std::mem::take(&mut self.gap) {
            true => RelayInput::UpstreamGap(event),
            false => RelayInput::Event(event),
        }
    }

    fn dial(&mut self, now: Micros, subscription: &Subscription) {
        match self.connect(subscription) {
            Ok(connection) => self.connection = Some(connection),
            Err(e) => {
                log!("cannot connect to {}: {e}", subscription.source);
                self.subscriber.handle(now, Input::NotDialled, &mut Vec::new());
            }
        }
    }

    fn connect(&self, subscription: &Subscription) -> io::Result<Connection> {
        let address = subscription.source;
        let stream = begin_connect(address)?;
        self.poller.add_with_mode(&stream, Readiness::all(self.key), PollMode::Level)?;
        Ok(Connection {
            stream,
            source: address,
            reader: StreamReader::default(),
            output: subscription.to_http(Some(&self.name)).into_bytes(),
            connected: false,
            streaming: false,
        })
    }

    /// Writes what there is, and asks for writability only while there is more.
    fn flush(&mut self) -> io::Result<()> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if !connection.connected {
            if let Some(e) = connection.stream.take_error()? {
                return Err(e);
            }
            connection.connected = true;
        }
        if connection.output.is_empty() && connection.streaming {
            let source = connection.source;
            let request = self.report.take().map(|report| position_request(source, &report));
            connection.output = request.unwrap_or_default().into_bytes();
        }
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(count) => drop(connection.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let writable = !connection.output.is_empty();
        let interest = Readiness { key: self.key, readable: true, writable };
        self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level)
    }

    fn lose(&mut self, now: Micros, inputs: &mut Vec<RelayInput>) {
        if self.connection.is_none() {
            return;
        }
        log!("the connection to {:?} is lost", self.subscriber.source());
        self.handle(now, Input::Lost, None, inputs);
        self.close();
    }

    fn leave(&mut self, reason: LeaveReason) {
        self.close();
        self.left = reason.to_string();
        log!("a source is left: {reason}");
    }

    fn close(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if let Err(e) = self.poller.delete(&connection.stream) {
            log!("cannot stop polling a connection: {e}");
        }
    }
}

/// What the subscriber needs to know of an event.
fn received(event: &Event) -> Received {
    let whole_list = event.subjects.contains(&Subject::Roster);
    let replaced = *event.data == *placeholder(event.number);
    let digest = (!replaced).then_some(event.digest);
    Received { number: Some(event.number), digest, whole_list }
}
