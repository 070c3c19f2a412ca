//! Real gateways that take their events from relays or from the source itself, and what they report on their consoles.
use super::processes::json_list;
use crate::hollow::usage;
use crate::http;
use crate::trial::gateway::Gateway;
use crate::trial::settings::settings;
use crate::trial::TrialError;
use larchway_distribution::EventNumber;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a gateway may take until its console listens.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONSOLE_POLL: Duration = Duration::from_millis(10);
/// What a gateway logs before the address of its console.
const CONSOLE_LOGGED: &str = "operators may call at ";

/// From where a gateway takes its events.
#[derive(Debug, Clone)]
pub enum Upstream {
    /// From the source itself.
    Source(SocketAddr),
    /// From these relays, with gzip and position reports.
    Relays(Vec<SocketAddr>),
    /// The same, and documents of configuration are applied.
    Configured(Vec<SocketAddr>),
}

impl Upstream {
    /// What its own file names as the source of events; an operator file that names relays takes its place.
    pub fn bulletin(&self) -> SocketAddr {
        match self {
            Upstream::Source(source) => *source,
            Upstream::Relays(relays) | Upstream::Configured(relays) => relays[0],
        }
    }

    /// The operator files of a gateway, by their flags.
    fn files(&self) -> Vec<(&'static str, String)> {
        let (relays, more) = match self {
            Upstream::Source(_) => return Vec::new(),
            Upstream::Relays(relays) => (relays, ""),
            Upstream::Configured(relays) => (relays, r#","configuration":true"#),
        };
        let text = format!(r#"{{"relays":{},"gzip":true,"report":true{more}}}"#, json_list(relays));
        vec![("events", text), ("copies", "{}".to_string())]
    }
}

/// What a gateway reports at `/ops/events`.
#[derive(Debug, Clone, Deserialize)]
pub struct EventsStatus {
    /// The last event applied.
    pub cursor: EventNumber,
    /// Whether all that the source had at its last heartbeat is applied.
    pub caught_up: bool,
    /// Time since the source was last received from, ms.
    pub lag_ms: Option<u64>,
    /// Whether the lag is past its limit.
    pub lagging: bool,
    /// Gaps so far, after each of which all copies were dropped.
    pub gaps: u64,
}

/// A real gateway with its console.
pub struct RealGateway {
    /// Whether it reaches its sources through links that are cut or slow.
    pub behind_links: bool,
    process: Gateway,
    console: SocketAddr,
}

impl RealGateway {
    /// Starts one; its files in `dir` are distinguished from those of others by its number.
    pub fn start(
        dir: &Path,
        number: usize,
        upstream: &Upstream,
        seed: u64,
    ) -> Result<RealGateway, TrialError> {
        Self::start_with(dir, number, upstream, &configuration(upstream.bulletin(), number, seed))
    }

    /// Starts one with this text of its own file, which names no other source than the upstream.
    pub fn start_with(
        dir: &Path,
        number: usize,
        upstream: &Upstream,
        configuration: &str,
    ) -> Result<RealGateway, TrialError> {
        let process = Gateway::start(dir, number, configuration, &upstream.files())?;
        let console = console_address(&process)?;
        Ok(RealGateway { behind_links: false, process, console })
    }

    /// What it reports of the documents of configuration; null where it applies none.
    pub fn documents(&self) -> Result<serde_json::Value, TrialError> {
        Ok(http::get_json(self.console, "/ops/events")?["configuration"].clone())
    }

    /// A figure of its console, by its name.
    pub fn figure(&self, name: &str) -> Result<u64, TrialError> {
        let stats = http::get(self.console, "/ops/stats").map_err(TrialError::io("/ops/stats"))?;
        let line = stats.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}:")));
        let value = line.and_then(|line| line.split('|').next()?.parse().ok());
        value.ok_or_else(|| TrialError::Unexpected(format!("no figure {name} in {stats}")))
    }

    /// Puts another text in the place of its own file and has it read again.
    pub fn rewrite(&self, dir: &Path, configuration: &str) -> Result<(), TrialError> {
        let path = dir.join(format!("g{}.config.json", self.process.number));
        std::fs::write(&path, configuration).map_err(TrialError::io("a gateway's file"))?;
        self.process.reload()
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// How far it has got with the events.
    pub fn events(&self) -> Result<EventsStatus, TrialError> {
        let status = http::get_json(self.console, "/ops/events")?;
        serde_json::from_value(status).map_err(TrialError::json("/ops/events"))
    }

    /// Processor time so far; nothing once it has ended.
    pub fn cpu(&self) -> Duration {
        Duration::from_micros(usage::processor_us(self.process.process_id()).unwrap_or(0))
    }
}

/// The text of a gateway's own file, with the settings of trials that need no others.
pub fn configuration(bulletin: SocketAddr, number: usize, seed: u64) -> String {
    let seed = seed + number as u64;
    format!(
        r#"{{"seed":"{seed:x}","console":"127.0.0.1:0","limits":{{"cores":1.0,"memory_mb":32,"sockets":64}},
 "bulletin":"{bulletin}","settings":{}}}"#,
        settings()
    )
}

/// The address that the gateway's log names.
fn console_address(process: &Gateway) -> Result<SocketAddr, TrialError> {
    let end = Instant::now() + CONSOLE_TIMEOUT;
    while Instant::now() < end {
        let log = std::fs::read_to_string(&process.log).map_err(TrialError::io("a gateway's log"))?;
        let named = log.lines().find_map(|line| Some(line.split_once(CONSOLE_LOGGED)?.1));
        // A line that is not complete yet is no address.
        if let Some(address) = named.and_then(|named| named.trim().parse().ok()) {
            return Ok(address);
        }
        std::thread::sleep(CONSOLE_POLL);
    }
    Err(TrialError::Unexpected(format!("gateway {} names no console", process.number)))
}
