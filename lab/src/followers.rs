//! Hollow followers of events, thousands in one process: the product's own subscriber and event reader on real sockets,
//! without what a gateway does with an event.
use crate::clock::now;
use larchway::{mix, Micros};
use larchway_distribution::positions::PositionReport;
use larchway_distribution::subscriber::{
    shuffled, Input, Output, Received, SourceKind, Subscriber, SubscriberTerms, Subscription,
};
use larchway_distribution::{Event, EventNumber, Subject};
use larchway_gateway::event_stream::{Part, StreamError, StreamReader};
use larchway_gateway::sockets::begin_connect;
use polling::{Event as Readiness, PollMode, Poller};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

const REPORT_EVERY: Micros = 1_000_000;
const LONGEST_BACKOFF: Micros = 1_000_000;
const LONGEST_ORDER: usize = 64;
const READ_STEP: usize = 64 << 10;

/// The line on the standard input at which all followers close their connections.
pub const LEAVE: &str = "leave";
/// The line at which all come back at once.
pub const COME_BACK: &str = "come back";

/// Who follows what.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The sources; each follower has them in an order of its own.
    pub sources: Vec<SocketAddr>,
    /// What the sources are.
    pub kind: SourceKind,
    /// How many followers.
    pub count: usize,
    /// Decides on orders and jitter.
    pub seed: u64,
}

/// Who has applied an event.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Applied {
    /// Followers that have.
    pub followers: usize,
    /// When the last of them did, Unix µs.
    pub last: Micros,
}

/// What the followers have seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Seen {
    /// By event number.
    pub applied: BTreeMap<EventNumber, Applied>,
    /// Gaps, each of which makes one gateway drop its copies.
    pub gaps: u64,
    /// Connections begun.
    pub dials: u64,
    /// Bytes read.
    pub bytes: u64,
}

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
            // An order is one line in one write.
            let mut order = [0; LONGEST_ORDER];
            let count = input.lock().read(&mut order)?;
            match std::str::from_utf8(&order[..count]).map(str::trim) {
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
        let at = now();
        let follower = |index: usize| {
            let seed = mix(plan.seed ^ index as u64);
            let terms = SubscriberTerms {
                sources: shuffled(plan.sources.clone(), seed),
                kind: plan.kind,
                verify: plan.kind == SourceKind::Relay,
                restart_history: false,
                gzip: plan.kind == SourceKind::Relay,
                scope: None,
                longest_backoff: LONGEST_BACKOFF,
            };
            Follower {
                name: format!("follower-{}-{index}", plan.seed),
                subscriber: Subscriber::new(at, terms, 0, seed),
                reader: StreamReader::default(),
                stream: None,
                due: Some(at),
                reported: 0,
                next_report: at + seed % REPORT_EVERY,
            }
        };
        Ok(Followers {
            poller: Poller::new()?,
            kind: plan.kind,
            all: (0..plan.count).map(follower).collect(),
            deadlines: (0..plan.count).map(|index| (at, index)).collect(),
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

    fn come_back(&mut self, at: Micros) {
        self.away = false;
        for index in 0..self.all.len() {
            self.handle(at, index, Input::Lost);
            self.set_due(index);
        }
    }

    fn run_due(&mut self, at: Micros) {
        if self.away {
            return;
        }
        while let Some(&(due, index)) = self.deadlines.first().filter(|(due, _)| *due <= at) {
            self.deadlines.remove(&(due, index));
            self.all[index].due = None;
            self.handle(at, index, Input::Tick);
            self.set_due(index);
        }
    }

    fn set_due(&mut self, index: usize) {
        let follower = &mut self.all[index];
        let next = follower.subscriber.next_due();
        if follower.due == next {
            return;
        }
        if let Some(old) = std::mem::replace(&mut follower.due, next) {
            self.deadlines.remove(&(old, index));
        }
        self.deadlines.extend(next.map(|due| (due, index)));
    }

    fn ready(&mut self, at: Micros, index: usize) {
        let mut bytes = [0; READ_STEP];
        let Some(stream) = &mut self.all[index].stream else { return };
        match stream.read(&mut bytes) {
            Ok(0) => self.lose(at, index),
            Ok(count) => self.decode(at, index, &bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.lose(at, index),
        }
        self.report(at, index);
        self.set_due(index);
    }

    fn decode(&mut self, at: Micros, index: usize, bytes: &[u8]) {
        self.seen.bytes += bytes.len() as u64;
        let parts = match self.all[index].reader.take(bytes) {
            Ok(parts) => parts,
            Err(StreamError::Refused { status, retry_after }) => {
                return self.handle(at, index, Input::Refused { status, retry_after });
            }
            Err(StreamError::Ended) => return self.lose(at, index),
            Err(_) => return self.handle(at, index, Input::Garbled),
        };
        self.handle(at, index, Input::Heard);
        for part in parts {
            if self.all[index].stream.is_none() {
                return;
            }
            match part {
                Part::Event(data) => self.handle(at, index, Input::Event(received(&data))),
                Part::Comment(text) => self.handle(at, index, Input::Comment(&text)),
            }
        }
    }

    fn handle(&mut self, at: Micros, index: usize, input: Input<'_>) {
        let mut outputs = Vec::new();
        self.all[index].subscriber.handle(at, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Dial(subscription) => self.dial(at, index, &subscription),
                Output::Close(_) => self.close(index),
                // Before the first event there is nothing to miss.
                Output::Gap { after: 0, .. } => {}
                Output::Gap { .. } | Output::PassOver => self.seen.gaps += 1,
                Output::Apply(number) => {
                    let applied = self.seen.applied.entry(number).or_default();
                    applied.followers += 1;
                    applied.last = at;
                }
                Output::Heard(_) | Output::Lost => {}
            }
        }
    }

    fn dial(&mut self, at: Micros, index: usize, subscription: &Subscription) {
        self.seen.dials += 1;
        let follower = &mut self.all[index];
        match connect(&self.poller, index, subscription, &follower.name) {
            Ok(stream) => (follower.stream, follower.reader) = (Some(stream), StreamReader::default()),
            Err(_) => follower.subscriber.handle(at, Input::NotDialled, &mut Vec::new()),
        }
    }

    fn lose(&mut self, at: Micros, index: usize) {
        self.close(index);
        self.handle(at, index, Input::Lost);
    }

    fn close(&mut self, index: usize) {
        let Some(stream) = self.all[index].stream.take() else { return };
        // It is polled no more once it is closed, whatever came of this.
        let _ = self.poller.delete(&stream);
    }

    /// Says how far a follower is, at most once a second.
    fn report(&mut self, at: Micros, index: usize) {
        let follower = &mut self.all[index];
        let applied = follower.subscriber.cursor();
        let wanted = self.kind == SourceKind::Relay && follower.subscriber.caught_up();
        if !wanted || applied == follower.reported || at < follower.next_report {
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
        (follower.reported, follower.next_report) = (applied, at + REPORT_EVERY);
    }
}

fn received(data: &str) -> Received {
    match Event::read(data) {
        Ok(event) => Received {
            number: Some(event.number),
            digest: (!event.subjects.is_empty()).then_some(event.digest),
            whole_list: event.subjects.contains(&Subject::Roster),
        },
        Err(_) => Received { number: None, digest: None, whole_list: false },
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
