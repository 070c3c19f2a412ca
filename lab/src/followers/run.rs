//! The loop of the followers: their connections, their deadlines and what they have applied.
use super::{Plan, Seen, COME_BACK, LEAVE};
use crate::clock::now;
use larchway::{mix, Micros, MonotonicTime};
use larchway_distribution::positions::PositionReport;
use larchway_distribution::subscriber::{
    shuffled, EventMetadata, Input, Output, SourceKind, Subscriber, SubscriberSettings, Subscription,
};
use larchway_distribution::{Event, EventNumber, Subject};
use larchway_gateway::event_stream::{StreamError, StreamItem, StreamRead, StreamReader};
use larchway_gateway::sockets::begin_connect;
use polling::{Event as Readiness, PollMode, Poller};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::time::Duration;

/// µs between two reports of a follower's position.
const REPORT_INTERVAL: Micros = 1_000_000;
/// The longest pause between two connections.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Bytes of a command on the standard input.
const MAX_COMMAND_LENGTH: usize = 64;
/// Bytes read at once.
const BUFFER_LENGTH: usize = 64 << 10;

struct Follower {
    name: String,
    subscriber: Subscriber,
    reader: StreamReader,
    stream: Option<TcpStream>,
    due: Option<Micros>,
    reported: EventNumber,
    next_report: Micros,
}

struct Followers {
    poller: Poller,
    kind: SourceKind,
    all: Vec<Follower>,
    deadlines: BTreeSet<(Micros, usize)>,
    /// All have left: nothing is due.
    away: bool,
    seen: Seen,
}

/// Follows until the standard input ends.
///
/// # Errors
/// Those of the poller and the standard input, and a line that is no command.
pub fn follow(plan: &Plan) -> io::Result<Seen> {
    let mut followers = Followers::new(plan)?;
    let input = io::stdin();
    // The one key beside those of the followers.
    let input_key = plan.count;
    followers.poller.add_with_mode(&input.as_fd(), Readiness::readable(input_key), PollMode::Level)?;
    let mut events = Vec::new();
    loop {
        followers.run_due(now());
        events.clear();
        followers.poller.wait(&mut events, followers.wait())?;
        for event in &events {
            if event.key != input_key {
                followers.ready(now(), event.key);
                continue;
            }
            // A command is one line in one write.
            let mut command = [0; MAX_COMMAND_LENGTH];
            let count = input.lock().read(&mut command)?;
            match std::str::from_utf8(&command[..count]).map(str::trim) {
                _ if count == 0 => return Ok(followers.seen),
                Ok(LEAVE) => followers.leave(),
                Ok(COME_BACK) => followers.come_back(now()),
                _ => return Err(io::Error::new(ErrorKind::InvalidInput, "no order of followers")),
            }
        }
    }
}

impl Followers {
    fn new(plan: &Plan) -> io::Result<Followers> {
        let now = now();
        let follower = |index: usize| {
            let seed = mix(plan.seed ^ index as u64);
            let settings = SubscriberSettings {
                sources: shuffled(plan.sources.clone(), seed),
                kind: plan.kind,
                verify: plan.kind == SourceKind::Relay,
                restart_history: false,
                gzip: plan.kind == SourceKind::Relay,
                scope: None,
                max_backoff: MAX_BACKOFF,
            };
            Follower {
                name: format!("follower-{}-{index}", plan.seed),
                subscriber: Subscriber::new(MonotonicTime::from_micros(now), settings, 0, seed),
                reader: StreamReader::default(),
                stream: None,
                due: Some(now),
                reported: 0,
                next_report: now + seed % REPORT_INTERVAL,
            }
        };
        Ok(Followers {
            poller: Poller::new()?,
            kind: plan.kind,
            all: (0..plan.count).map(follower).collect(),
            deadlines: (0..plan.count).map(|index| (now, index)).collect(),
            away: false,
            seen: Seen::default(),
        })
    }

    /// Until something is due.
    fn wait(&self) -> Option<Duration> {
        let (due, _) = self.deadlines.first().filter(|_| !self.away)?;
        Some(Duration::from_micros(due.saturating_sub(now())))
    }

    fn leave(&mut self) {
        self.away = true;
        (0..self.all.len()).for_each(|index| self.close(index));
    }

    fn come_back(&mut self, now: Micros) {
        self.away = false;
        for index in 0..self.all.len() {
            self.handle(now, index, Input::Disconnected);
            self.set_due(index);
        }
    }

    fn run_due(&mut self, now: Micros) {
        if self.away {
            return;
        }
        while let Some(&(due, index)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, index));
            self.all[index].due = None;
            self.handle(now, index, Input::Tick);
            self.set_due(index);
        }
    }

    fn set_due(&mut self, index: usize) {
        let follower = &mut self.all[index];
        let next = follower.subscriber.next_due().map(MonotonicTime::as_micros);
        if follower.due == next {
            return;
        }
        if let Some(old) = std::mem::replace(&mut follower.due, next) {
            self.deadlines.remove(&(old, index));
        }
        self.deadlines.extend(next.map(|due| (due, index)));
    }

    fn ready(&mut self, now: Micros, index: usize) {
        let mut bytes = [0; BUFFER_LENGTH];
        let Some(stream) = &mut self.all[index].stream else { return };
        match stream.read(&mut bytes) {
            Ok(0) => self.lose(now, index),
            Ok(count) => self.decode(now, index, &bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.lose(now, index),
        }
        self.report(now, index);
        self.set_due(index);
    }

    fn decode(&mut self, now: Micros, index: usize, bytes: &[u8]) {
        self.seen.bytes += bytes.len() as u64;
        let StreamRead { items, error } = self.all[index].reader.read(bytes);
        if error.is_none() || !items.is_empty() {
            self.handle(now, index, Input::BytesReceived);
        }
        for part in items {
            if self.all[index].stream.is_none() {
                return;
            }
            match part {
                StreamItem::Event(data) => self.handle(now, index, Input::Event(received(&data))),
                StreamItem::Comment(text) => self.handle(now, index, Input::Comment(&text)),
            }
        }
        if self.all[index].stream.is_none() {
            return;
        }
        match error {
            None => {}
            Some(StreamError::Refused { status, retry_after }) => {
                self.handle(now, index, Input::Refused { status, retry_after });
            }
            Some(StreamError::Ended) => self.lose(now, index),
            Some(_) => self.handle(now, index, Input::Malformed),
        }
    }

    fn handle(&mut self, now: Micros, index: usize, input: Input<'_>) {
        let mut outputs = Vec::new();
        self.all[index].subscriber.handle(MonotonicTime::from_micros(now), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Dial(subscription) => self.dial(now, index, &subscription),
                Output::Close(_) => self.close(index),
                // Before the first event there is nothing to miss.
                Output::Gap { after: 0, .. } => {}
                Output::Gap { .. } | Output::Skip => self.seen.gaps += 1,
                Output::Apply(number) => {
                    let applied = self.seen.applied.entry(number).or_default();
                    applied.followers += 1;
                    applied.last = now;
                }
                Output::SourceAlive(_) | Output::Disconnected => {}
            }
        }
    }

    fn dial(&mut self, now: Micros, index: usize, subscription: &Subscription) {
        self.seen.dials += 1;
        let follower = &mut self.all[index];
        match connect(&self.poller, index, subscription, &follower.name) {
            Ok(stream) => (follower.stream, follower.reader) = (Some(stream), StreamReader::default()),
            Err(_) => {
                let now = MonotonicTime::from_micros(now);
                follower.subscriber.handle(now, Input::ConnectFailed, &mut Vec::new());
            }
        }
    }

    fn lose(&mut self, now: Micros, index: usize) {
        self.close(index);
        self.handle(now, index, Input::Disconnected);
    }

    fn close(&mut self, index: usize) {
        let Some(stream) = self.all[index].stream.take() else { return };
        // It is polled no more once it is closed, whatever came of this.
        let _ = self.poller.delete(&stream);
    }

    /// Says how far a follower is, at most once a second.
    fn report(&mut self, now: Micros, index: usize) {
        let follower = &mut self.all[index];
        let applied = follower.subscriber.cursor();
        let wanted = self.kind == SourceKind::Relay && follower.subscriber.caught_up();
        if !wanted || applied == follower.reported || now < follower.next_report {
            return;
        }
        let Some(stream) = &mut follower.stream else { return };
        let report = PositionReport::of_gateway(&follower.name, applied);
        let body = serde_json::to_string(&report).unwrap_or_default();
        let length = body.len();
        let text = format!(
            "PUT /bulletins/position HTTP/1.1\r\nHost: relay\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        // So little always has room; a connection that is broken shows at the next read.
        let _ = stream.write_all(text.as_bytes());
        (follower.reported, follower.next_report) = (applied, now + REPORT_INTERVAL);
    }
}

fn received(data: &str) -> EventMetadata {
    match Event::read(data) {
        Ok(event) => EventMetadata {
            number: Some(event.number),
            digest: (!event.subjects.is_empty()).then_some(event.digest),
            is_full_list: event.subjects.contains(&Subject::StoreList),
        },
        Err(_) => EventMetadata { number: None, digest: None, is_full_list: false },
    }
}

/// Connects and sends the request. On loopback a connection is made at once or refused.
fn connect(poller: &Poller, key: usize, subscription: &Subscription, name: &str) -> io::Result<TcpStream> {
    let mut stream = begin_connect(subscription.source)?;
    let request = subscription.to_http(Some(name));
    stream.write_all(request.as_bytes())?;
    poller.add_with_mode(&stream, Readiness::readable(key), PollMode::Level)?;
    Ok(stream)
}
