//! The operator file by which a gateway takes its events from relays.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Lag allowed, ms: a heartbeat comes each second, and is a part of a second under way.
const LAG_MS: RangeInclusive<u64> = 1_200..=60_000;
const MOST_RELAYS: usize = 64;

/// The file of the events under `deploy/`. Its schema is printed by `larchway schema events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EventsFile {
    /// Addresses of the relays, with their ports; they take the place of the configuration's `bulletin`. Each gateway
    /// asks them in an order of its own.
    pub relays: Vec<SocketAddr>,
    /// The scope, of those that the relays know, to which the list of stores is reduced; without it, all are told.
    pub scope: Option<String>,
    /// Whether the events come compressed.
    #[serde(default = "yes")]
    pub gzip: bool,
    /// Whether the gateway tells the relays how far it has applied the events.
    #[serde(default = "yes")]
    pub report: bool,
    /// How old what is known of the events may be, in ms, from 1200 to 60000. Past it the gateway answers from no copy of
    /// its own, and asks stores for copies that are younger than a purge takes to be done everywhere.
    #[serde(default = "lag_ms")]
    pub lag_ms: u64,
}

fn yes() -> bool {
    true
}

fn lag_ms() -> u64 {
    1_500
}

impl EventsFile {
    /// Whether its values can be used; names the one that cannot.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=MOST_RELAYS).contains(&self.relays.len()) {
            return Err(format!("relays: there are {}, not from 1 to {MOST_RELAYS}", self.relays.len()));
        }
        let repeated = self.relays.iter().enumerate().find(|(at, relay)| self.relays[..*at].contains(relay));
        if let Some((_, relay)) = repeated {
            return Err(format!("relays: {relay} stands twice"));
        }
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if let Some(scope) = self.scope.as_ref().filter(|scope| scope.is_empty() || !scope.bytes().all(plain))
        {
            return Err(format!("scope: {scope:?} must be letters, digits, '.', '_' or '-'"));
        }
        match LAG_MS.contains(&self.lag_ms) {
            true => Ok(()),
            false => {
                Err(format!("lag_ms: {} is not from {} to {}", self.lag_ms, LAG_MS.start(), LAG_MS.end()))
            }
        }
    }
}
