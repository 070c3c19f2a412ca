//! The relay's operator file.
pub use super::file_error::{RelayFileError, RelayFileProblem};
use crate::operator_file;
use larchway_distribution::log::LogLimits;
use larchway_distribution::positions::PositionLimits;
use larchway_distribution::relay::RelaySettings;
use larchway_distribution::scope::Scope;
use larchway_distribution::subscriber::{SourceKind, SubscriberSettings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// Bytes of a relay's name or of a scope's at most.
pub const MAX_NAME_BYTES: usize = 128;

/// The relay's file under `deploy/`. Its schema is printed by `larchway schema relay`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RelayFile {
    /// Address at which subscribers connect.
    pub listen: SocketAddr,
    /// Where events come from, in order of preference: the source itself for the root, other relays for all others.
    pub sources: Vec<SocketAddr>,
    /// Name under which this relay reports upstream: letters, digits, `.`, `_` and `-`, 128 at most.
    pub name: String,
    /// Whether the sources are the source of events itself. The root answers when an event was applied everywhere.
    #[serde(default)]
    pub root: bool,
    /// ms for which events gather before they are sent as one batch, from 1 to 1000.
    #[serde(default = "batch_ms")]
    pub batch_ms: u64,
    /// Events in the log at most, from 1000 to 10000000; past it the oldest are dropped.
    #[serde(default = "log_events")]
    pub log_events: usize,
    /// Megabytes of the log at most, from 1 to 4096; past it the oldest events are dropped.
    #[serde(default = "log_mb")]
    pub log_mb: usize,
    /// Subscribers at most, from 1 to 100000; others are rejected with 503. The process needs as many descriptors.
    #[serde(default = "subscribers")]
    pub subscribers: usize,
    /// Subscribers that catch up at the same time, from 1 to 10000; others wait.
    #[serde(default = "catch_up_at_once")]
    pub catch_up_at_once: usize,
    /// ms for which a subscriber waits for its turn to catch up before it is rejected, from 0 to 5500.
    #[serde(default = "admit_wait_ms")]
    pub admit_wait_ms: u64,
    /// ms for which a subscriber may leave a batch unread before it is cut off, from 500 to 60000.
    #[serde(default = "stall_ms")]
    pub stall_ms: u64,
    /// ms for which a gateway that is gone counts as lost with its last position, from 1000 to 600000.
    #[serde(default = "lost_ms")]
    pub lost_ms: u64,
    /// Level of the gzip coding of what subscribers are sent, from 1 to 9.
    #[serde(default = "gzip_level")]
    pub gzip_level: u32,
    /// Whether gzip is accepted from the sources.
    #[serde(default = "gzip_upstream")]
    pub gzip_upstream: bool,
    /// ms between two attempts to reach the sources at most, from 100 to 10000.
    #[serde(default = "longest_backoff_ms")]
    pub longest_backoff_ms: u64,
    /// Whether a history that all sources refuse is given up for theirs without an operator: gateways then drop all
    /// copies. Without it, the relay stops serving until it is started anew.
    #[serde(default)]
    pub restart_history: bool,
    /// Parts of the list of stores that subscribers may request by `?scope=NAME`.
    #[serde(default)]
    pub scopes: BTreeMap<String, Scope>,
}

fn batch_ms() -> u64 {
    250
}

fn log_events() -> usize {
    200_000
}

fn log_mb() -> usize {
    64
}

fn subscribers() -> usize {
    16_384
}

fn catch_up_at_once() -> usize {
    64
}

fn admit_wait_ms() -> u64 {
    5000
}

fn stall_ms() -> u64 {
    10_000
}

fn lost_ms() -> u64 {
    10_000
}

fn gzip_level() -> u32 {
    6
}

fn gzip_upstream() -> bool {
    true
}

fn longest_backoff_ms() -> u64 {
    1000
}

/// Reads the relay's file.
///
/// # Errors
///
/// Names the file and the first key that cannot be used.
pub fn read(path: &str) -> Result<RelayFile, RelayFileError> {
    let text = operator_file::read_text(path)?;
    parse(&text).map_err(|problem| RelayFileError::invalid(path, problem))
}

/// Reads and checks the text of a relay's file.
fn parse(text: &str) -> Result<RelayFile, RelayFileProblem> {
    let file: RelayFile = operator_file::parse(text)?;
    file.check()?;
    Ok(file)
}

/// The schema of the relay's file.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(RelayFile)).unwrap_or_default()
}

impl RelayFile {
    /// Checks that each value can be used.
    ///
    /// # Errors
    ///
    /// Names the first key whose value cannot be used.
    pub fn check(&self) -> Result<(), RelayFileProblem> {
        if self.sources.is_empty() {
            return Err(RelayFileProblem::NoSource);
        }
        if self.sources.contains(&self.listen) {
            return Err(RelayFileProblem::OwnAddress(self.listen));
        }
        check_name("name", &self.name)?;
        self.scopes.iter().try_for_each(|(name, scope)| check_scope(name, scope))?;
        check_range("batch_ms", self.batch_ms, 1, 1000)?;
        check_range("log_events", self.log_events as u64, 1000, 10_000_000)?;
        check_range("log_mb", self.log_mb as u64, 1, 4096)?;
        check_range("subscribers", self.subscribers as u64, 1, 100_000)?;
        check_range("catch_up_at_once", self.catch_up_at_once as u64, 1, 10_000)?;
        check_range("admit_wait_ms", self.admit_wait_ms, 0, 5500)?;
        check_range("stall_ms", self.stall_ms, 500, 60_000)?;
        check_range("lost_ms", self.lost_ms, 1000, 600_000)?;
        check_range("gzip_level", u64::from(self.gzip_level), 1, 9)?;
        check_range("longest_backoff_ms", self.longest_backoff_ms, 100, 10_000)
    }

    /// Names the first key in which `next` differs from this file and which only a restart can change.
    pub fn needs_restart(&self, next: &RelayFile) -> Option<&'static str> {
        let differs = [
            ("listen", self.listen != next.listen),
            ("name", self.name != next.name),
            ("root", self.root != next.root),
            ("batch_ms", self.batch_ms != next.batch_ms),
            ("log_events", self.log_events != next.log_events),
            ("log_mb", self.log_mb != next.log_mb),
            ("subscribers", self.subscribers != next.subscribers),
            ("catch_up_at_once", self.catch_up_at_once != next.catch_up_at_once),
            ("admit_wait_ms", self.admit_wait_ms != next.admit_wait_ms),
            ("stall_ms", self.stall_ms != next.stall_ms),
            ("lost_ms", self.lost_ms != next.lost_ms),
            ("gzip_level", self.gzip_level != next.gzip_level),
            ("scopes", self.scopes != next.scopes),
        ];
        differs.into_iter().find(|(_, differs)| *differs).map(|(key, _)| key)
    }

    /// Bounds and times of the relay.
    pub fn relay_settings(&self, seed: u64) -> RelaySettings {
        let defaults = RelaySettings::default();
        RelaySettings {
            log: LogLimits { events: self.log_events, bytes: self.log_mb * BYTES_PER_MEGABYTE },
            batch_interval: Duration::from_millis(self.batch_ms),
            max_catching_up: self.catch_up_at_once,
            max_waiting: self.subscribers,
            admission_timeout: Duration::from_millis(self.admit_wait_ms),
            stall_timeout: Duration::from_millis(self.stall_ms),
            max_subscribers: self.subscribers,
            positions: PositionLimits {
                lost_retention: Duration::from_millis(self.lost_ms),
                max_lost: self.subscribers,
                ..defaults.positions
            },
            scopes: self.scopes.clone(),
            gzip_level: self.gzip_level,
            seed,
            ..defaults
        }
    }

    /// How the relay subscribes to its sources.
    pub fn subscriber_settings(&self) -> SubscriberSettings {
        SubscriberSettings {
            sources: self.sources.clone(),
            kind: if self.root { SourceKind::Plain } else { SourceKind::Relay },
            verify: true,
            // Whether the relay goes on with another history is decided when it is reported.
            restart_history: true,
            gzip: self.gzip_upstream,
            scope: None,
            max_backoff: Duration::from_millis(self.longest_backoff_ms),
        }
    }
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), RelayFileProblem> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err(RelayFileProblem::OutOfRange { key, value, min, max }),
    }
}

fn check_scope(name: &str, scope: &Scope) -> Result<(), RelayFileProblem> {
    check_name("scopes", name)?;
    match &scope.sources {
        Some(sources) if sources.classes.is_empty() => {
            Err(RelayFileProblem::NoSourceClass { scope: name.to_string() })
        }
        _ => Ok(()),
    }
}

fn check_name(key: &'static str, name: &str) -> Result<(), RelayFileProblem> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        true => Ok(()),
        false => Err(RelayFileProblem::Name { key, name: name.to_string() }),
    }
}
