//! The endpoint set as it is shown: its roster, its sources, and one row for each endpoint.
use crate::reason::Reason;
use imbl::OrdMap;
use larchway::{MonotonicTime, ServerId, State};
use serde::Serialize;

/// The state of one endpoint in a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterEntry {
    /// The state.
    pub state: State,
    /// The reason for the state.
    pub reason: Reason,
}

/// A roster as it was published.
#[derive(Debug, Clone)]
pub struct PublishedRoster {
    /// When it was published.
    pub published_at: MonotonicTime,
    /// Its endpoints.
    pub endpoints: OrdMap<ServerId, RosterEntry>,
}

/// The state of one source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceStatus {
    /// Whether it has been read completely at least once.
    pub ready: bool,
    /// Whether it can be reached.
    pub connected: bool,
}

/// One endpoint as the operator's console shows it. The serialized names are part of the console's protocol.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: String,
    /// Its number, hexadecimal.
    pub id: String,
    /// Its address.
    pub dial: Option<String>,
    /// Its zone, as an index into the zones of the settings.
    pub zone: usize,
    /// Its kind, as an index into the kinds of the settings.
    pub kind: usize,
    /// Its state, by [`state_name`](crate::reason::state_name).
    pub state: &'static str,
    /// The reason for its state.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// For how long it has had this state and reason, in ms.
    pub for_ms: u64,
    /// Its state in the list: `up`, `draining` or `gone`; none if the list has never named it.
    pub list: Option<&'static str>,
    /// Time since its entry in the list changed, in ms.
    pub list_age_ms: Option<u64>,
    /// Names of its nodes.
    pub nodes: Vec<String>,
    /// Time since one of its nodes changed, in ms.
    pub nodes_age_ms: Option<u64>,
    /// Flap penalty; a flap adds 1,000.
    pub penalty: u64,
    /// Number of its process, counted from 1.
    pub incarnation: u32,
    /// When its process started, in ms of the monotonic clock; 0 if it started long ago.
    pub started_ms: u64,
    /// Time since it last answered, in ms.
    pub answered_ms: Option<u64>,
}
