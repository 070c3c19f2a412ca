//! The operator file that configures a gateway to get its events from relays.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Range of `lag_ms`. The minimum exceeds the heartbeat interval of 1 s plus the transmission delay.
const LAG_MS: RangeInclusive<u64> = 1_200..=60_000;
/// Maximum number of relays.
const MAX_RELAYS: usize = 64;

/// The events file under `deploy/`. `larchway schema events` prints its schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EventsFile {
    /// Addresses of the relays, with ports. They replace the configuration's `bulletin`. Each gateway tries them in its
    /// own order.
    pub relays: Vec<SocketAddr>,
    /// Name of a scope configured at the relays, to which the store list is reduced. Without it, all stores are sent.
    pub scope: Option<String>,
    /// Whether events are transferred with gzip compression.
    #[serde(default = "enabled")]
    pub gzip: bool,
    /// Whether the gateway reports its position, the last event it has applied, to the relays.
    #[serde(default = "enabled")]
    pub report: bool,
    /// Maximum age of the gateway's event state in ms, from 1200 to 60000. Beyond it, the gateway does not serve its
    /// own cached copies, and asks stores for copies younger than the time within which a purge is done everywhere.
    #[serde(default = "lag_ms")]
    pub lag_ms: u64,
    /// Whether configuration documents received as events override the gateway's own configuration file.
    #[serde(default)]
    pub configuration: bool,
}

fn enabled() -> bool {
    true
}

fn lag_ms() -> u64 {
    1_500
}

/// Reasons why an events file is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EventsFileError {
    /// The number of relays is 0 or too large.
    #[error("relays: there are {count}, not from 1 to {MAX_RELAYS}")]
    RelayCount {
        /// Number of relays.
        count: usize,
    },
    /// A relay is listed more than once.
    #[error("relays: {0} stands twice")]
    RepeatedRelay(SocketAddr),
    /// The scope name is empty or has invalid characters.
    #[error("scope: {0:?} must be letters, digits, '.', '_' or '-'")]
    ScopeName(String),
    /// The maximum lag is out of range.
    #[error("lag_ms: {lag_ms} is not from {} to {}", LAG_MS.start(), LAG_MS.end())]
    LagOutOfRange {
        /// The configured value in ms.
        lag_ms: u64,
    },
}

impl EventsFile {
    /// Validates all values.
    ///
    /// # Errors
    ///
    /// Fails at the first key with an invalid value.
    pub fn check(&self) -> Result<(), EventsFileError> {
        let count = self.relays.len();
        if !(1..=MAX_RELAYS).contains(&count) {
            return Err(EventsFileError::RelayCount { count });
        }
        if let Some(relay) = self.repeated_relay() {
            return Err(EventsFileError::RepeatedRelay(relay));
        }
        if let Some(scope) = self.scope.as_ref().filter(|scope| !is_scope_name(scope)) {
            return Err(EventsFileError::ScopeName(scope.clone()));
        }
        if !LAG_MS.contains(&self.lag_ms) {
            return Err(EventsFileError::LagOutOfRange { lag_ms: self.lag_ms });
        }
        Ok(())
    }

    /// The first relay that repeats an earlier one.
    fn repeated_relay(&self) -> Option<SocketAddr> {
        let mut relays = self.relays.iter().enumerate();
        relays.find(|(index, relay)| self.relays[..*index].contains(relay)).map(|(_, relay)| *relay)
    }
}

/// Whether a text is a valid scope name: one or more letters, digits, `.`, `_` or `-`.
fn is_scope_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.bytes().all(allowed)
}
