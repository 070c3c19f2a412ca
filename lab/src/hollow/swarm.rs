//! Many followers in one loop, in a process of its own: its descriptors and its processor time count apart. It is
//! driven by [`Command`]s as JSON lines on the standard input, and answers each with one JSON line.
use super::error::HollowError;
use super::follower::{number_of, request_after, Follower};
use polling::{Event, PollMode, Poller};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

/// Bytes of the buffer that all followers read into.
const BUFFER: usize = 64 * 1024;
/// How long the loop waits for bytes before it looks for commands.
const POLL_TIMEOUT: Duration = Duration::from_millis(20);

/// A command to the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Connect so many more followers that request the events after this number.
    Connect {
        /// How many.
        followers: usize,
        /// The number.
        after: u64,
        /// Whether they accept gzip.
        gzip: bool,
    },
    /// Close all connections, and connect as many again.
    Return {
        /// The number after which events are asked for.
        after: u64,
    },
    /// The first so many followers read no more.
    Stall {
        /// How many.
        followers: usize,
    },
    /// Forget what was counted so far.
    Reset,
    /// Report what was counted: see [`Counted`].
    Report,
}

/// When an event was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Arrival {
    /// By how many followers.
    pub followers: u64,
    /// When the last of them read it, in µs of the Unix clock.
    pub last_us: u64,
}

/// What the followers of a process have read since the last [`Command::Reset`].
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counted {
    /// Bytes that came over all connections.
    pub bytes: u64,
    /// Events read by all followers.
    pub events: u64,
    /// Followers whose connection has ended, or could not be read; they are not connected again.
    pub ended: u64,
    /// By the event's number.
    pub arrivals: BTreeMap<u64, Arrival>,
}

/// Followers of one source.
pub struct Swarm {
    source: SocketAddr,
    poller: Poller,
    followers: Vec<Option<Follower>>,
    /// Whether they accept gzip.
    gzip: bool,
    /// The first so many are not read.
    stalled: usize,
    counted: Counted,
    buffer: Vec<u8>,
}

impl Swarm {
    /// None connected yet.
    pub fn new(source: SocketAddr) -> Result<Self, HollowError> {
        let poller = Poller::new().map_err(HollowError::Poller)?;
        let buffer = vec![0; BUFFER];
        Ok(Swarm {
            source,
            poller,
            followers: Vec::new(),
            gzip: false,
            stalled: 0,
            counted: Counted::default(),
            buffer,
        })
    }

    /// Carries out commands until there are none any more.
    pub fn run(&mut self, commands: &Receiver<Command>, mut answers: impl Write) -> Result<(), HollowError> {
        let mut events = Vec::new();
        loop {
            match commands.try_recv() {
                Ok(command) => {
                    let answer = self.execute(&command)?;
                    let line = serde_json::to_string(&answer)?;
                    writeln!(answers, "{line}").and_then(|()| answers.flush())?;
                }
                Err(TryRecvError::Disconnected) => return Ok(()),
                Err(TryRecvError::Empty) => self.poll(&mut events)?,
            }
        }
    }

    fn execute(&mut self, command: &Command) -> Result<Counted, HollowError> {
        match *command {
            Command::Connect { followers, after, gzip } => {
                self.gzip = gzip;
                self.connect(followers, after)?;
            }
            Command::Return { after } => {
                let followers = self.followers.len();
                self.followers.iter().flatten().for_each(|f| drop(self.poller.delete(f.stream())));
                self.followers.clear();
                self.connect(followers, after)?;
            }
            Command::Stall { followers } => self.stall(followers)?,
            Command::Reset => self.counted = Counted::default(),
            Command::Report => return Ok(self.counted.clone()),
        }
        Ok(Counted::default())
    }

    fn connect(&mut self, followers: usize, after: u64) -> Result<(), HollowError> {
        let request = request_after(self.source, after, self.gzip);
        for _ in 0..followers {
            let follower = Follower::connect(self.source, request.as_bytes())
                .map_err(|source| HollowError::Connect { follower: self.followers.len(), source })?;
            let interest = Event::readable(self.followers.len());
            let added = self.poller.add_with_mode(follower.stream(), interest, PollMode::Level);
            added.map_err(HollowError::Poll)?;
            self.followers.push(Some(follower));
        }
        Ok(())
    }

    fn stall(&mut self, followers: usize) -> Result<(), HollowError> {
        self.stalled = followers.min(self.followers.len());
        for follower in self.followers[..self.stalled].iter().flatten() {
            self.poller.delete(follower.stream())?;
        }
        Ok(())
    }

    fn poll(&mut self, events: &mut Vec<Event>) -> Result<(), HollowError> {
        events.clear();
        self.poller.wait(events, Some(POLL_TIMEOUT))?;
        for event in events.iter() {
            self.read(event.key);
        }
        Ok(())
    }

    fn read(&mut self, index: usize) {
        let Some(follower) = self.followers[index].as_mut() else { return };
        let taken = follower.read(&mut self.buffer);
        let now = crate::clock::now();
        let ended = taken.as_ref().map_or(true, |taken| taken.ended);
        for taken in taken.into_iter() {
            self.counted.bytes += taken.bytes as u64;
            self.counted.events += taken.events.len() as u64;
            for number in taken.events.iter().filter_map(|data| number_of(data)) {
                let arrival = self.counted.arrivals.entry(number).or_default();
                arrival.followers += 1;
                arrival.last_us = now;
            }
        }
        if ended {
            self.counted.ended += 1;
            if let Some(follower) = self.followers[index].take() {
                let _ = self.poller.delete(follower.stream());
            }
        }
    }
}

/// The process: reads commands from the standard input until it ends.
pub fn run(source: SocketAddr) -> Result<(), HollowError> {
    let (sender, commands) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str::<Command>(&line) else { return };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    Swarm::new(source)?.run(&commands, std::io::stdout().lock())
}
