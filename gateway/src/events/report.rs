//! What operators see of the stream of events.
use super::documents::DocumentsReport;
use larchway_distribution::EventNumber;
use serde::Serialize;

/// The answer to a call for the state of the events. The names of its fields are those of the console.
#[derive(Debug, Serialize)]
pub(super) struct OperatorReport {
    pub source: Option<String>,
    pub relays: bool,
    pub cursor: EventNumber,
    pub caught_up: bool,
    /// Time since the source was known to be alive, as far as events are applied; none before that was first known.
    pub lag_ms: Option<u64>,
    /// Whether the lag is past its limit, so that no copy of the gateway's own answers.
    pub lagging: bool,
    /// Gaps and skipped events, after each of which all copies of the gateway's own were dropped.
    pub gaps: u64,
    /// The documents of configuration, where they are applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<DocumentsReport>,
}
