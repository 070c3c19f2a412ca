//! What the cases of followers are played with: a source, perhaps a relay, and swarms of hollow followers.
use super::EVENTS_A_SECOND;
use crate::hollow::child::Child;
use crate::hollow::swarm::{self, Arrival};
use crate::hollow::usage;
use crate::stand::source;
use crate::trial::distribution::processes::RelayProcess;
use crate::trial::TrialError;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Followers that one process holds: it must read faster than the source publishes.
const FOLLOWERS_A_PROCESS: usize = 2_000;
/// How long the steady state is measured.
const STEADY: Duration = Duration::from_secs(4);
/// How long is waited for the last follower at most.
const PATIENCE: Duration = Duration::from_secs(30);
/// Events behind which followers come back.
const MISSED: u64 = 500;
/// Events behind the list with which the history begins before a relay is asked.
const FIRST_EVENTS: u64 = 2;

/// A source, perhaps a relay of it, and followers in as many processes as they need.
pub(super) struct Setting {
    pub(super) source: Child,
    relay: Option<RelayProcess>,
    pub(super) swarms: Vec<Child>,
    followers: usize,
}

/// What was seen in one phase.
#[derive(Debug, Default)]
pub(super) struct Phase {
    /// Bytes a second that the source, or its relay, sent to the followers.
    pub(super) bytes_per_s: f64,
    /// Microseconds of processor time that the source, or its relay, used a second.
    pub(super) processor_us_per_s: f64,
    /// ms from when each event was published until the last follower had read it, in ascending order.
    pub(super) everywhere_ms: Vec<f64>,
    /// Events that some follower had not read in the end.
    pub(super) missing: usize,
}

impl Phase {
    /// The time of this share of all events, in ms.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let last = self.everywhere_ms.len().saturating_sub(1);
        self.everywhere_ms.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
    }
}

impl Setting {
    /// All followers read from the source itself.
    pub(super) fn direct(followers: usize) -> Result<Self, TrialError> {
        let (source, address) = start_source()?;
        Setting { source, relay: None, swarms: Vec::new(), followers }.connect(address, false)
    }

    /// All followers read from one relay of the source, with gzip.
    pub(super) fn relayed(followers: usize) -> Result<Self, TrialError> {
        let (mut source, address) = start_source()?;
        let _: source::Counted =
            source.request(&source::Command::Stores { complete: true, hosts: Vec::new() })?;
        let _: source::Counted = source.request(&source::Command::Burst { events: FIRST_EVENTS })?;
        let relay = start_relay(address)?;
        let address = relay.address;
        Setting { source, relay: Some(relay), swarms: Vec::new(), followers }.connect(address, true)
    }

    fn connect(mut self, address: SocketAddr, gzip: bool) -> Result<Self, TrialError> {
        for first in (0..self.followers).step_by(FOLLOWERS_A_PROCESS) {
            let mut child = Child::start(&["swarm", &address.to_string()])?;
            let followers = FOLLOWERS_A_PROCESS.min(self.followers - first);
            let _: swarm::Counted = child.request(&swarm::Command::Connect { followers, after: 0, gzip })?;
            self.swarms.push(child);
        }
        let end = Instant::now() + PATIENCE;
        while self.connected()? < self.followers as u64 {
            if Instant::now() > end {
                return Err(TrialError::NotInTime(format!(
                    "{} followers are not connected within {PATIENCE:?}",
                    self.followers
                )));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(self)
    }

    /// Followers that the source, or its relay, serves.
    fn connected(&mut self) -> Result<u64, TrialError> {
        match &self.relay {
            Some(relay) => status_number(relay, "subscribers"),
            None => Ok(self.source_counts()?.followers as u64),
        }
    }

    /// Bytes sent to the followers so far.
    fn bytes_sent(&mut self) -> Result<u64, TrialError> {
        match &self.relay {
            Some(relay) => status_number(relay, "bytes_written"),
            None => Ok(self.source_counts()?.bytes),
        }
    }

    /// Processor time that serving the followers has taken so far.
    fn processor_us(&self) -> Result<u64, TrialError> {
        match &self.relay {
            Some(relay) => Ok(usage::processor_us(relay.process_id())?),
            None => Ok(self.source.processor_us()?),
        }
    }

    /// Memory of the process that serves the followers.
    pub(super) fn resident_bytes(&self) -> Result<u64, TrialError> {
        match &self.relay {
            Some(relay) => Ok(usage::resident_bytes(relay.process_id())?),
            None => Ok(self.source.resident_bytes()?),
        }
    }

    pub(super) fn source_counts(&mut self) -> Result<source::Counted, TrialError> {
        Ok(self.source.request(&source::Command::Report)?)
    }

    /// What all followers have read, put together.
    fn read(&mut self) -> Result<swarm::Counted, TrialError> {
        let mut all = swarm::Counted::default();
        for swarm in &mut self.swarms {
            let counted: swarm::Counted = swarm.request(&swarm::Command::Report)?;
            all.bytes += counted.bytes;
            all.events += counted.events;
            all.ended += counted.ended;
            merge(&mut all.arrivals, counted.arrivals);
        }
        Ok(all)
    }

    fn command_all(&mut self, command: &swarm::Command) -> Result<(), TrialError> {
        self.swarms.iter_mut().try_for_each(|swarm| swarm.send(command))?;
        for swarm in &mut self.swarms {
            let _: swarm::Counted = swarm.answer()?;
        }
        Ok(())
    }

    /// Waits until this many followers have read the events up to this number, or the patience is at an end.
    pub(super) fn settle(&mut self, last: u64, followers: usize) -> Result<swarm::Counted, TrialError> {
        let end = Instant::now() + PATIENCE;
        loop {
            let read = self.read()?;
            let all = read.arrivals.get(&last).is_some_and(|arrival| arrival.followers >= followers as u64);
            if all || last == 0 || Instant::now() > end {
                return Ok(read);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Publishes events at the steady rate, and sees how they come to these followers.
    pub(super) fn steady(&mut self, followers: usize) -> Result<Phase, TrialError> {
        self.command_all(&swarm::Command::Reset)?;
        let (before, sent, spent) = (self.source_counts()?, self.bytes_sent()?, self.processor_us()?);
        let began = Instant::now();
        let _: source::Counted = self.source.request(&source::Command::Rate { events: EVENTS_A_SECOND })?;
        std::thread::sleep(STEADY);
        let _: source::Counted = self.source.request(&source::Command::Rate { events: 0 })?;
        let (after, used) = (self.source_counts()?, self.processor_us()? - spent);
        let sent = self.bytes_sent()? - sent;
        let seconds = began.elapsed().as_secs_f64();
        let read = self.settle(after.last, followers)?;
        let mut phase = Phase {
            bytes_per_s: sent as f64 / seconds,
            processor_us_per_s: used as f64 / seconds,
            ..Phase::default()
        };
        for (number, published) in after.published_us.range(before.last + 1..=after.last) {
            match read.arrivals.get(number).filter(|arrival| arrival.followers >= followers as u64) {
                Some(arrival) => {
                    phase.everywhere_ms.push(arrival.last_us.saturating_sub(*published) as f64 / 1000.0);
                }
                None => phase.missing += 1,
            }
        }
        phase.everywhere_ms.sort_by(f64::total_cmp);
        Ok(phase)
    }

    /// All followers come back at once, this many events behind: bytes sent, and s until all have caught up.
    pub(super) fn come_back(&mut self) -> Result<(f64, f64), TrialError> {
        let (before, sent) = (self.source_counts()?, self.bytes_sent()?);
        self.command_all(&swarm::Command::Reset)?;
        let began = crate::clock::now();
        self.command_all(&swarm::Command::Return { after: before.last.saturating_sub(MISSED) })?;
        let read = self.settle(before.last, self.followers)?;
        let last = read.arrivals.get(&before.last).copied().unwrap_or_default();
        if last.followers < self.followers as u64 {
            return Err(TrialError::NotInTime(format!(
                "{} of {} caught up in {PATIENCE:?}",
                last.followers, self.followers
            )));
        }
        let bytes = (self.bytes_sent()? - sent) as f64;
        Ok((bytes, last.last_us.saturating_sub(began) as f64 / 1e6))
    }
}

/// Adds what another process counted.
fn merge(all: &mut BTreeMap<u64, Arrival>, others: BTreeMap<u64, Arrival>) {
    for (number, arrival) in others {
        let known = all.entry(number).or_default();
        known.followers += arrival.followers;
        known.last_us = known.last_us.max(arrival.last_us);
    }
}

fn start_source() -> Result<(Child, SocketAddr), TrialError> {
    let mut source = Child::start(&["source"])?;
    let counted: source::Counted = source.request(&source::Command::Report)?;
    Ok((source, SocketAddr::from((Ipv4Addr::LOCALHOST, counted.port))))
}

/// A relay that is ready to serve.
fn start_relay(source: SocketAddr) -> Result<RelayProcess, TrialError> {
    let dir = std::env::temp_dir();
    let name = format!("larchway-lab-{}-relay-{}", std::process::id(), source.port());
    let relay = RelayProcess::start(&dir, &name, &[source], r#","root":true"#)?;
    // The process has read its file.
    let _ = std::fs::remove_file(dir.join(format!("{name}.json")));
    let end = Instant::now() + PATIENCE;
    while relay.status()?["ready"] != true {
        if Instant::now() > end {
            return Err(TrialError::NotInTime(format!("the relay is not ready within {PATIENCE:?}")));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(relay)
}

fn status_number(relay: &RelayProcess, key: &str) -> Result<u64, TrialError> {
    relay.status()?[key]
        .as_u64()
        .ok_or_else(|| TrialError::Unexpected(format!("/positions: {key} is no number")))
}
